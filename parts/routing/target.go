// Package routing chooses the target of each request for an entry daemon. It first
// filters out targets that cannot serve the request, then picks the one that is
// expected to serve it soonest.
package routing

import (
	"time"

	"camphormill.dev/parts/contract"
)

// Target is an immutable snapshot of the state of one target, as far as it is known
// to an entry.
type Target struct {
	Name            string
	Zone            string
	Kind            contract.WorkKind
	ServiceName     string
	Version         string
	Load            contract.Load // last reported load, from a response or a heartbeat
	ReportedAt      time.Time     // when Load was reported
	Inflight        int           // requests from this entry without a response yet
	SentSinceReport int           // requests sent by this entry since ReportedAt
	Leaving         bool          // the target is draining
	Connected       bool          // a link to the target is established
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	Kind        contract.WorkKind
	ServiceName string
	Version     string          // empty: any version that the active preset allows
	Zone        string          // zone of the entry
	Prefix      uint64          // fingerprint of the prompt prefix; 0 if there is none
	Excluded    map[string]bool // names of targets that must not be chosen
	// Allows reports whether the active preset lets the version serve. Nil
	// allows every version.
	Allows func(version string) bool
}

// hasFreeSlot reports whether the target has a free slot, by its last reported
// load plus the requests that this entry has sent since.
func (t *Target) hasFreeSlot() bool {
	return max(t.Load.Running+t.Load.Queued+t.SentSinceReport, t.Inflight) < t.Load.Capacity
}

// Eligible reports whether the target may serve the request, whatever its load.
func (r Request) Eligible(t *Target) bool {
	if t.Kind != r.Kind || t.ServiceName != r.ServiceName || t.Leaving || !t.Connected {
		return false
	}
	if r.Excluded[t.Name] {
		return false
	}
	if r.Version != "" {
		return t.Version == r.Version
	}
	return r.Allows == nil || r.Allows(t.Version)
}
