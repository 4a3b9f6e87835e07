// Package freshness decides whether the version that a daemon uses is recent enough
// to serve from. The age counts from before the confirming read was sent, so a
// delayed response never makes stale data look current. The clock must keep running
// while the host is suspended.
package freshness

import (
	"math"
	"math/rand/v2"
	"time"
)

// Instant is a reading of a clock that never stops or goes backwards, such as the
// time since the host started.
type Instant time.Duration

// Life identifies the process whose clock an Instant is of. Instants of two lives can't be compared: the host may
// have started anew in between, and its clock with it.
type Life uint32

// NewLife returns the identity of a process that starts. It is never 0.
func NewLife() Life { return Life(rand.Uint32N(math.MaxUint32)) + 1 }

// Add returns the instant that is d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Proof records the newest confirmed version and when it was confirmed. It is
// immutable; the zero Proof confirms nothing.
type Proof struct {
	version   int64
	asOf      Instant // when the confirming read was sent
	confirmed bool
}

// With returns the proof after a read that was sent at asOf and found version to be
// the newest. A confirmation of an older version, or by a read that was not sent later than
// the current one, changes nothing.
func (p Proof) With(version int64, asOf Instant) Proof {
	if p.confirmed && (version < p.version || asOf <= p.asOf) {
		return p
	}
	return Proof{version: version, asOf: asOf, confirmed: true}
}

// Version returns the newest confirmed version.
func (p Proof) Version() int64 { return p.version }

// Age returns the time since the confirming read was sent. It returns false if inUse, the
// version in use, is older than the newest confirmed version or nothing is confirmed.
func (p Proof) Age(now Instant, inUse int64) (time.Duration, bool) {
	if !p.confirmed || inUse < p.version {
		return 0, false
	}
	return time.Duration(now - p.asOf), true
}

// IsCurrent reports whether inUse was confirmed as current less than bound ago.
func (p Proof) IsCurrent(now Instant, inUse int64, bound time.Duration) bool {
	age, ok := p.Age(now, inUse)
	return ok && age >= 0 && age < bound
}
