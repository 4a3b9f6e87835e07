// Package membership decides for a daemon which other daemons are live. Daemons gossip
// versioned records, one for each origin, with a few random peers. The newest record of
// an origin wins, so that messages may be delayed, duplicated or reordered.
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

// Record is the state that one daemon, the origin, publishes about itself.
type Record struct {
	Origin        string `json:"origin"`
	Role          Role   `json:"role"`
	Address       string `json:"address"`          // where peers and entries connect
	CallerAddress string `json:"public,omitempty"` // address where an entry accepts callers
	// Operations is the address of the operations endpoint of the daemon.
	Operations   string `json:"operations,omitempty"`
	Zone         string `json:"zone"`
	Started      int64  `json:"started"`           // start time in nanoseconds; orders incarnations
	Sequence     int64  `json:"sequence"`          // orders the records of one incarnation
	Incarnation  string `json:"incarnation"`       // identifies one run of the daemon's process
	ConfigOffset int64  `json:"config_offset"`     // version of the daemon's configuration
	Leaving      bool   `json:"leaving,omitempty"` // the daemon is draining
	// Starting is set while the daemon cannot accept work yet.
	Starting bool `json:"starting,omitempty"`
	// Demand is the demand at this entry, in requests per second, of the
	// organisations whose demand is high enough to be published.
	Demand map[string]float64 `json:"demand,omitempty"`
}

// SimilarTo reports whether the record differs so little from an older record of the same
// incarnation that it need not be published at once. It compares Started, Leaving,
// Starting, Address and Demand, and ignores other changes, such as that of the
// configuration version, and any change of demand by at most a quarter.
func (r Record) SimilarTo(old Record) bool {
	if r.Started != old.Started || r.Leaving != old.Leaving || r.Starting != old.Starting || r.Address != old.Address || len(r.Demand) != len(old.Demand) {
		return false
	}
	const maxDemandChange = 0.25
	for organisation, demand := range r.Demand {
		before, found := old.Demand[organisation]
		if !found || math.Abs(demand-before) > maxDemandChange*before {
			return false
		}
	}
	return true
}

// newer reports whether r replaces old.
func (r Record) newer(old Record) bool {
	if r.Started != old.Started {
		return r.Started > old.Started
	}
	return r.Sequence > old.Sequence
}

// RecordVersion is the version of the newest known record of an origin.
type RecordVersion struct {
	Started  int64 `json:"started"`
	Sequence int64 `json:"sequence"`
}

// peer is the newest record of an origin and the state of its failure detection.
type peer struct {
	record       Record
	lastReceived time.Time
	// contacted is set once the origin itself has called or answered.
	contacted bool
	// suspect is set when the origin could not be reached. It is cleared by the
	// next record of the origin or by direct contact.
	suspect bool
}

// Table holds the newest record of each origin. It is not safe for concurrent
// use.
type Table struct {
	self    string
	records map[string]peer
	// protected holds the origins that the platform lists.
	protected map[string]bool
	timeout   time.Duration
}

// NewTable returns a table for the daemon named self. An origin counts as live until
// the timeout has passed since its last new record or the last direct contact. The daemon
// itself always counts as live once its record is stored.
func NewTable(self string, timeout time.Duration) *Table {
	return &Table{self: self, records: map[string]peer{}, protected: map[string]bool{}, timeout: timeout}
}

// Put stores a record and reports whether it replaced an older one or was the first of
// its origin. It ignores a record of unusual size, and one of a new origin if makeRoom finds no room. The record of this
// daemon is stored by Put only, because Merge ignores it.
func (t *Table) Put(now time.Time, r Record) bool {
	old, ok := t.records[r.Origin]
	if (ok && !r.newer(old.record)) || r.isOverlong() || (!ok && !t.makeRoom(now)) {
		return false
	}
	t.records[r.Origin] = peer{record: r, lastReceived: now, contacted: old.contacted}
	return true
}

// Merge stores the records of a peer and returns how many were new. It ignores records
// whose origin is this daemon.
func (t *Table) Merge(now time.Time, records []Record) int {
	added := 0
	for _, r := range records {
		if r.Origin != t.self && t.Put(now, r) {
			added++
		}
	}
	return added
}

// Versions returns the versions of all records, so that a peer can send newer ones.
func (t *Table) Versions() map[string]RecordVersion {
	versions := make(map[string]RecordVersion, len(t.records))
	for origin, p := range t.records {
		versions[origin] = RecordVersion{Started: p.record.Started, Sequence: p.record.Sequence}
	}
	return versions
}

// Newer returns the records that are newer than the given versions or missing from
// them, sorted by origin.
func (t *Table) Newer(versions map[string]RecordVersion) []Record {
	var newer []Record
	for _, origin := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[origin].record
		version, found := versions[origin]
		if !found || r.newer(Record{Started: version.Started, Sequence: version.Sequence}) {
			newer = append(newer, r)
		}
	}
	return newer
}

// Live returns the records of a role whose origins are live, sorted by origin.
func (t *Table) Live(now time.Time, role Role) []Record {
	var live []Record
	for _, origin := range slices.Sorted(maps.Keys(t.records)) {
		p := t.records[origin]
		if p.record.Role == role && t.isLive(now, p) {
			live = append(live, p.record)
		}
	}
	return live
}

func (t *Table) isLive(now time.Time, p peer) bool {
	return p.record.Origin == t.self || now.Sub(p.lastReceived) <= t.timeout
}

// SetTimeout changes the timeout after which an origin without a new record or direct
// contact no longer counts as live. If the interval between records is raised, the timeout
// must be raised too.
func (t *Table) SetTimeout(d time.Duration) {
	t.timeout = d
}

// MarkAlive records direct contact with an origin, which proves that it is alive.
func (t *Table) MarkAlive(now time.Time, origin string) {
	if p, ok := t.records[origin]; ok {
		p.lastReceived, p.contacted = now, true
		p.suspect = false
		t.records[origin] = p
	}
}

// Suspect records that an origin could not be reached.
func (t *Table) Suspect(origin string) {
	if p, ok := t.records[origin]; ok {
		p.suspect = true
		t.records[origin] = p
	}
}

// Reachable returns the records of Live except those of origins marked by Suspect.
func (t *Table) Reachable(now time.Time, role Role) []Record {
	return slices.DeleteFunc(t.Live(now, role), func(r Record) bool { return t.records[r.Origin].suspect })
}

// DropExpired drops the records of origins without a new record or direct contact for
// more than ten timeouts.
func (t *Table) DropExpired(now time.Time) {
	const retentionFactor = 10
	for origin, p := range t.records {
		if origin != t.self && now.Sub(p.lastReceived) > retentionFactor*t.timeout {
			delete(t.records, origin)
		}
	}
}

// GossipMessage is one gossip message. Versions are the versions that the sender holds, and
// Records are the records that the receiver appears to lack.
type GossipMessage struct {
	Versions map[string]RecordVersion `json:"marks,omitempty"`
	Records  []Record                 `json:"records,omitempty"`
}
