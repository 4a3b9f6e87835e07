// Package lease decides who leads a group, from a stream of the platform's log. The
// offset of a lease in the log is its fencing token. Leases only limit how long two
// processes act as leader at the same time; correctness depends on the fencing token.
package lease

import (
	"encoding/json"
	"time"
)

// Record is a new lease or the renewal of a lease in the log.
type Record struct {
	Group  string `json:"group"`
	Holder string `json:"holder"` // incarnation of the leading process
	// Renews is the offset of the lease that this record renews. It is absent in a
	// new lease.
	Renews *int64 `json:"renews,omitempty"`
}

// Table holds the state of the lease stream after the records applied so far. A lease
// ages by the clock of the reader, from when its newest record was read. It is not safe
// for concurrent use.
type Table struct {
	timeout time.Duration
	next    int64            // offset of the next record
	leases  map[string]lease // by group
}

type lease struct {
	fence  int64 // offset of the record of the new lease
	holder string
	readAt time.Time // when the newest record of the lease was read
}

// NewTable returns an empty table in which a lease expires when no renewal was read
// for the timeout.
func NewTable(timeout time.Duration) *Table {
	return &Table{timeout: timeout, leases: map[string]lease{}}
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

// Apply applies the record at the offset, read at now. A new lease replaces the newest one
// of the group even if that has not expired. Apply ignores records that it has already
// applied or cannot decode, and renewals of a lease that is not the newest or has another
// holder.
func (t *Table) Apply(now time.Time, offset int64, data []byte) {
	if offset < t.next {
		return
	}
	t.next = offset + 1
	var r Record
	if err := json.Unmarshal(data, &r); err != nil || r.Group == "" {
		return
	}
	current, ok := t.leases[r.Group]
	if r.Renews == nil {
		t.leases[r.Group] = lease{fence: offset, holder: r.Holder, readAt: now}
		return
	}
	if ok && current.fence == *r.Renews && current.holder == r.Holder {
		current.readAt = now
		t.leases[r.Group] = current
	}
}

// Holder returns the holder of the newest lease of a group and its fencing token. The
// lease may have expired.
func (t *Table) Holder(group string) (holder string, fence int64, ok bool) {
	current, ok := t.leases[group]
	return current.holder, current.fence, ok
}

// Available reports whether the group has no lease or an expired one, so that any process
// may append a new lease.
func (t *Table) Available(now time.Time, group string) bool {
	current, ok := t.leases[group]
	return !ok || now.Sub(current.readAt) > t.timeout
}
