// Package freshness proves that what a daemon knows was current at a moment of
// its own clock. A proof counts from before the confirming read was sent, so a
// late answer never looks fresh. The clock must run on while a host is
// suspended.
package freshness

import "time"

// Instant is a reading of a clock that never stops or goes back, such as the
// time since the host started.
type Instant time.Duration

// Proof says as of when the newest version was known. It is immutable.
type Proof struct {
	version int64
	asOf    Instant
	known   bool
}

// With returns the proof after a confirmation: the newest version at some time
// after asOf was version. An older confirmation changes nothing.
func (p Proof) With(version int64, asOf Instant) Proof {
	if p.known && (version < p.version || asOf <= p.asOf) {
		return p
	}
	return Proof{version: version, asOf: asOf, known: true}
}

// Version is the newest version known.
func (p Proof) Version() int64 { return p.version }

// Age is how old the proof is at a moment, or false when there is none for the
// version in use.
func (p Proof) Age(now Instant, inUse int64) (time.Duration, bool) {
	if !p.known || inUse < p.version {
		return 0, false
	}
	return time.Duration(now - p.asOf), true
}

// Holds says whether the version in use was current within the bound.
func (p Proof) Holds(now Instant, inUse int64, bound time.Duration) bool {
	age, ok := p.Age(now, inUse)
	return ok && age >= 0 && age < bound
}
