// Package claim decides for entries which reservation an idempotency key of a caller
// stands for. Keys are claimed in a stream of the platform's log, and the first claim in
// log order wins. Claims expire by the append times of the log alone, so that all
// readers agree whatever their own clocks show.
package claim

import (
	"encoding/json"
	"time"
)

// Claim requests that a key of an organisation stand for a reservation.
type Claim struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Reservation  string `json:"reservation"`
	// Replaces is the reservation that this one replaces, if any. Its target has
	// reported that its call has not run and never will, so the key may stand for
	// another reservation.
	Replaces string `json:"voided,omitempty"`
}

// Batch is one record of the claims stream. Entries batch the claims of their callers
// because the log accepts only several hundred appends per second.
type Batch struct {
	ID     string  `json:"id"`
	Claims []Claim `json:"claims"`
}

// claimedKey is an idempotency key with the organisation that it belongs to.
type claimedKey struct {
	organisation string
	key          string
}

// winner is the reservation that a key stands for.
type winner struct {
	reservation string
	appendedAt  time.Time // of the first claim of the key
}

// Table holds the state of the claims stream after the records applied so far. It is
// not safe for concurrent use.
type Table struct {
	window       time.Duration
	winners      map[claimedKey]winner
	expiryOrder  []claimedKey // by append time, for expiry
	latestAppend time.Time    // latest append time; never goes backwards
	next         int64        // offset of the next record
}

// NewTable returns an empty table in which a claim is valid for the window after its
// append, by the append times of later records. The window
// must be shorter than the retention of the log.
func NewTable(window time.Duration) *Table {
	return &Table{window: window, winners: map[claimedKey]winner{}}
}

// Next returns the offset of the next record to read.
func (t *Table) Next() int64 {
	return t.next
}

// Skip advances to a later offset after retention has removed older records from the
// log.
func (t *Table) Skip(offset int64) {
	t.next = max(t.next, offset)
}

// Apply applies the record at the offset; appendedAt is its append time by the clock of
// the log. It ignores records that it has already applied or cannot decode.
func (t *Table) Apply(offset int64, appendedAt time.Time, data []byte) {
	if offset < t.next {
		return
	}
	t.next = offset + 1
	if appendedAt.After(t.latestAppend) {
		t.latestAppend = appendedAt
	}
	t.dropExpired()
	var batch Batch
	if err := json.Unmarshal(data, &batch); err != nil {
		return
	}
	for _, c := range batch.Claims {
		t.applyClaim(c)
	}
}

// applyClaim applies one claim. The claim takes effect if the key is unclaimed, or if it
// replaces the reservation that the key stands for; the key then still expires with its
// first claim.
func (t *Table) applyClaim(c Claim) {
	key := claimedKey{organisation: c.Organisation, key: c.Key}
	current, ok := t.winners[key]
	if !ok {
		t.winners[key] = winner{reservation: c.Reservation, appendedAt: t.latestAppend}
		t.expiryOrder = append(t.expiryOrder, key)
		return
	}
	if c.Replaces != "" && c.Replaces == current.reservation {
		current.reservation = c.Reservation
		t.winners[key] = current
	}
}

// dropExpired drops claims older than the window, oldest first.
func (t *Table) dropExpired() {
	for len(t.expiryOrder) > 0 {
		first := t.expiryOrder[0]
		if t.latestAppend.Sub(t.winners[first].appendedAt) <= t.window {
			return
		}
		delete(t.winners, first)
		t.expiryOrder = t.expiryOrder[1:]
	}
}

// Winner returns the reservation that the key stands for, or false if there is no valid
// claim of the key.
func (t *Table) Winner(organisation, key string) (string, bool) {
	w, ok := t.winners[claimedKey{organisation: organisation, key: key}]
	return w.reservation, ok
}

// Len returns the number of claimed keys.
func (t *Table) Len() int {
	return len(t.winners)
}
