// Package membership is what daemons know of each other: versioned records, one
// per origin, exchanged with a few random peers. The newest record of an origin
// wins, so that messages may be late, doubled or reordered.
package membership

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Role is the role of a daemon.
type Role string

// The roles.
const (
	RoleEntry  Role = "entry"
	RoleTarget Role = "target"
)

// Record is one daemon's word about itself.
type Record struct {
	Origin  string `json:"origin"`
	Role    Role   `json:"role"`
	Address string `json:"address"` // where peers and entries link to
	Public  string `json:"public,omitempty"`
	// Operations is the address of the daemon's operations door.
	Operations   string `json:"operations,omitempty"`
	Zone         string `json:"zone"`
	Started      int64  `json:"started"` // orders incarnations; nanoseconds
	Sequence     int64  `json:"sequence"`
	Incarnation  string `json:"incarnation"`
	ConfigOffset int64  `json:"config_offset"`
	Leaving      bool   `json:"leaving,omitempty"`
	// Starting says that the daemon cannot take work yet.
	Starting bool `json:"starting,omitempty"`
	// Demand is requests a second of heavy organisations at this entry.
	Demand map[string]float64 `json:"demand,omitempty"`
}

// Resembles says whether two records of one process tell the same but for the
// configuration version and demand that differs by less than a quarter. Such a
// record is no news.
func (r Record) Resembles(old Record) bool {
	if r.Started != old.Started || r.Leaving != old.Leaving || r.Starting != old.Starting || r.Address != old.Address || len(r.Demand) != len(old.Demand) {
		return false
	}
	const noise = 0.25
	for organisation, demand := range r.Demand {
		before, known := old.Demand[organisation]
		if !known || math.Abs(demand-before) > noise*before {
			return false
		}
	}
	return true
}

// newer says whether r replaces old.
func (r Record) newer(old Record) bool {
	if r.Started != old.Started {
		return r.Started > old.Started
	}
	return r.Sequence > old.Sequence
}

// Mark names the newest record known of an origin.
type Mark struct {
	Started  int64 `json:"started"`
	Sequence int64 `json:"sequence"`
}

type held struct {
	record  Record
	heardAt time.Time
	// suspect is set when the origin could not be reached, until it is heard
	// of again.
	suspect bool
}

// Table holds the newest record of each origin. It is not safe for concurrent
// use.
type Table struct {
	self    string
	records map[string]held
	silence time.Duration
}

// NewTable returns a table for the daemon named self, in which an origin that
// has said nothing new for the silence no longer counts as live.
func NewTable(self string, silence time.Duration) *Table {
	return &Table{self: self, records: map[string]held{}, silence: silence}
}

// Put takes a record and says whether it was news. A daemon's own record comes
// only from itself.
func (t *Table) Put(now time.Time, r Record) bool {
	old, ok := t.records[r.Origin]
	if ok && !r.newer(old.record) {
		return false
	}
	t.records[r.Origin] = held{record: r, heardAt: now}
	return true
}

// Merge takes a peer's records and returns how many were news.
func (t *Table) Merge(now time.Time, records []Record) int {
	news := 0
	for _, r := range records {
		if r.Origin != t.self && t.Put(now, r) {
			news++
		}
	}
	return news
}

// Marks names what is held, for a peer to send what is newer.
func (t *Table) Marks() map[string]Mark {
	marks := make(map[string]Mark, len(t.records))
	for origin, h := range t.records {
		marks[origin] = Mark{Started: h.record.Started, Sequence: h.record.Sequence}
	}
	return marks
}

// Newer returns the records that are newer than the marks.
func (t *Table) Newer(marks map[string]Mark) []Record {
	var newer []Record
	for _, origin := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[origin].record
		mark, known := marks[origin]
		if !known || r.newer(Record{Started: mark.Started, Sequence: mark.Sequence}) {
			newer = append(newer, r)
		}
	}
	return newer
}

// Live returns the records of a role that were heard of within the silence.
func (t *Table) Live(now time.Time, role Role) []Record {
	var live []Record
	for _, origin := range slices.Sorted(maps.Keys(t.records)) {
		h := t.records[origin]
		if h.record.Role == role && t.isLive(now, h) {
			live = append(live, h.record)
		}
	}
	return live
}

func (t *Table) isLive(now time.Time, h held) bool {
	return h.record.Origin == t.self || now.Sub(h.heardAt) <= t.silence
}

// SetSilence changes after how long without news an origin no longer counts as
// live; it grows with the time between two records of an origin.
func (t *Table) SetSilence(d time.Duration) {
	t.silence = d
}

// Heard notes direct contact with an origin, which says that it lives.
func (t *Table) Heard(now time.Time, origin string) {
	if h, ok := t.records[origin]; ok {
		h.heardAt = now
		h.suspect = false
		t.records[origin] = h
	}
}

// Suspect notes that an origin could not be reached.
func (t *Table) Suspect(origin string) {
	if h, ok := t.records[origin]; ok {
		h.suspect = true
		t.records[origin] = h
	}
}

// Reachable returns the live records of a role without the suspects.
func (t *Table) Reachable(now time.Time, role Role) []Record {
	return slices.DeleteFunc(t.Live(now, role), func(r Record) bool { return t.records[r.Origin].suspect })
}

// Forget drops records silent for ten times the silence.
func (t *Table) Forget(now time.Time) {
	const patience = 10
	for origin, h := range t.records {
		if origin != t.self && now.Sub(h.heardAt) > patience*t.silence {
			delete(t.records, origin)
		}
	}
}

// Exchange is one round of gossip: what the sender holds and what it thinks the
// receiver lacks.
type Exchange struct {
	Marks   map[string]Mark `json:"marks,omitempty"`
	Records []Record        `json:"records,omitempty"`
}
