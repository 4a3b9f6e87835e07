// Package routing chooses the target of a request: first who may serve it, then
// who will serve it soonest.
package routing

import (
	"time"

	"camphormill.dev/parts/contract"
)

// Target is what an entry knows of one target. It is immutable.
type Target struct {
	Name     string
	Zone     string
	Kind     contract.WorkKind
	Serves   string
	Version  string
	Load     contract.Load // as the target last told, on an answer or heartbeat
	LoadAt   time.Time     // when it was told
	Inflight int           // sent by this entry and not yet answered
	Sent     int           // sent by this entry since LoadAt
	Leaving  bool
	Reached  bool // a link is up
}

// Request is what routing needs to know of a request.
type Request struct {
	Kind     contract.WorkKind
	Serves   string
	Version  string // empty for any that the preset allows
	Zone     string // where the entry is
	Prefix   uint64 // fingerprint of the prompt's prefix; 0 for none
	Excluded map[string]bool
	// Allows says whether the preset in force lets the version serve; nil
	// allows all.
	Allows func(version string) bool
}

// free says whether the target had a free place when it last told, less what
// this entry sent since.
func (t *Target) free() bool {
	return max(t.Load.Running+t.Load.Queued+t.Sent, t.Inflight) < t.Load.Capacity
}

// Eligible says whether the target can serve the request at all.
func (q Request) Eligible(t *Target) bool {
	if t.Kind != q.Kind || t.Serves != q.Serves || t.Leaving || !t.Reached {
		return false
	}
	if q.Excluded[t.Name] {
		return false
	}
	if q.Version != "" {
		return t.Version == q.Version
	}
	return q.Allows == nil || q.Allows(t.Version)
}
