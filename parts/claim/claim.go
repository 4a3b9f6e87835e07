// Package claim folds the stream in which a caller's own idempotency key is
// claimed for one reservation. The first claim in log order wins. Whether a
// claim still holds is judged by the log's own append times alone, so that all
// readers agree whatever their clocks show.
package claim

import (
	"encoding/json"
	"time"
)

// Claim asks that an organisation's key stand for a reservation.
type Claim struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	Reservation  string `json:"reservation"`
	// Voided names the reservation that this one replaces. Its gate has said
	// that it did not run and never will, so that the key may stand for
	// another.
	Voided string `json:"voided,omitempty"`
}

// Batch is one record of the claims stream; entries batch their callers'
// claims, since the log takes only several hundred appends a second.
type Batch struct {
	ID     string  `json:"id"`
	Claims []Claim `json:"claims"`
}

type name struct {
	organisation string
	key          string
}

type winner struct {
	reservation string
	appendedAt  time.Time
}

// Table is the fold of the claims stream. It is not safe for concurrent use.
type Table struct {
	window  time.Duration
	winners map[name]winner
	order   []name // by append time, for forgetting
	latest  time.Time
	next    int64
}

// NewTable returns an empty table in which a claim holds for the window. The
// window must be shorter than the log's retention.
func NewTable(window time.Duration) *Table {
	return &Table{window: window, winners: map[name]winner{}}
}

// Next is the offset to read from.
func (t *Table) Next() int64 {
	return t.next
}

// Skip moves to a later offset after the log's retention removed older records.
func (t *Table) Skip(offset int64) {
	t.next = max(t.next, offset)
}

// Fold takes the record at the offset, appended at the log's time.
func (t *Table) Fold(offset int64, appendedAt time.Time, data []byte) {
	if offset < t.next {
		return
	}
	t.next = offset + 1
	if appendedAt.After(t.latest) {
		t.latest = appendedAt
	}
	t.forget()
	var batch Batch
	if err := json.Unmarshal(data, &batch); err != nil {
		return
	}
	for _, c := range batch.Claims {
		t.claim(c)
	}
}

func (t *Table) claim(c Claim) {
	n := name{organisation: c.Organisation, key: c.Key}
	held, ok := t.winners[n]
	if !ok {
		t.winners[n] = winner{reservation: c.Reservation, appendedAt: t.latest}
		t.order = append(t.order, n)
		return
	}
	if c.Voided != "" && c.Voided == held.reservation {
		held.reservation = c.Reservation
		t.winners[n] = held
	}
}

// forget drops claims older than the window, oldest first.
func (t *Table) forget() {
	for len(t.order) > 0 {
		first := t.order[0]
		if t.latest.Sub(t.winners[first].appendedAt) <= t.window {
			return
		}
		delete(t.winners, first)
		t.order = t.order[1:]
	}
}

// Winner returns the reservation that the key stands for.
func (t *Table) Winner(organisation, key string) (string, bool) {
	w, ok := t.winners[name{organisation: organisation, key: key}]
	return w.reservation, ok
}

// Len is how many claims hold.
func (t *Table) Len() int {
	return len(t.winners)
}
