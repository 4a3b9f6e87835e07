package relay

import (
	"time"

	"camphormill.dev/parts/routes"
)

const (
	// durationWindow is how long the slowest response of a route is remembered, at least.
	durationWindow = 30 * time.Second
	// drainMargin is the factor by which a response may take longer than any of its size did lately, and still
	// end before the entry stops.
	drainMargin = 1.25
)

// Drain tells until when a draining entry answers requests.
type Drain struct {
	StartedAt time.Time
	// CutOff is when the entry closes all connections.
	CutOff time.Time
	// OnlyKnownFrom is the time from which the entry refuses calls of which it can't tell how long they
	// take.
	OnlyKnownFrom time.Time
	// OthersReady reports whether another entry accepts callers; nil stands for yes.
	OthersReady func() bool
}

// responseTimes remembers the slowest responses of each route, in time per token of the longest possible
// output, or per response where outputs have no tokens.
type responseTimes struct {
	rotatesAt        time.Time
	current, earlier map[string]time.Duration // by route; earlier is of the window before
}

// size returns the factor by which a response is longer than one of a single token. A count that no caller
// can mean is cut.
func size(maxTokens int) time.Duration {
	const largest = 1 << 20
	return time.Duration(min(max(maxTokens, 1), largest))
}

// record adds a complete response.
func (t *responseTimes) record(now time.Time, route string, maxTokens int, took time.Duration) {
	t.rotate(now)
	t.current[route] = max(t.current[route], took/size(maxTokens))
}

// longest returns how long a response takes at the slowest rate of its route lately, or false if the route
// had no response.
func (t *responseTimes) longest(now time.Time, route string, maxTokens int) (time.Duration, bool) {
	t.rotate(now)
	perToken := max(t.current[route], t.earlier[route])
	return perToken * size(maxTokens), perToken > 0
}

// rotate begins a new window if the current one is over.
func (t *responseTimes) rotate(now time.Time) {
	switch {
	case t.current != nil && now.Before(t.rotatesAt):
		return
	case now.Before(t.rotatesAt.Add(durationWindow)):
		t.earlier = t.current
	default:
		t.earlier = nil
	}
	t.current, t.rotatesAt = map[string]time.Duration{}, now.Add(durationWindow)
}

// StartDrain starts draining: every response asks its caller to close the connection, and requests
// that might be cut off are refused, so that their callers go to another entry.
func (rl *Relay) StartDrain(d Drain) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.drain = &d
	rl.config.Limits.StartDrain()
}

// EndRequests ends all running requests. Those of which the caller has got nothing yet are answered: their targets may
// have run them, unless they were not sent.
func (rl *Relay) EndRequests() { rl.endRequests() }

// requestsEnded reports whether EndRequests has been called.
func (rl *Relay) requestsEnded() bool { return rl.ending.Err() != nil }

// draining reports whether the entry is about to stop.
func (rl *Relay) draining() bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.drain != nil
}

// stopBasis is what tells a draining entry that it may accept a request.
type stopBasis string

const (
	byDeadline stopBasis = "deadline" // it ends before the entry stops
	byEstimate stopBasis = "estimate" // responses of its route were fast enough lately
	byNothing  stopBasis = "nothing"  // the stop has just begun
)

// outlastsStop reports whether the entry may stop before the response to a request that has just come is
// complete. It records what says so.
func (rl *Relay) outlastsStop(c *call) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.drain == nil {
		return false
	}
	now := rl.config.Now()
	c.intoStop = now.Sub(rl.drain.StartedAt)
	basis, ends := rl.stopBasis(now, c)
	c.acceptedBy = basis
	return !ends
}

// mustLeave reports whether a request that is about to be sent to a target may outlast the stop, which may have begun
// since it came, and can still be refused as not run.
func (rl *Relay) mustLeave(c *call) bool {
	if c.headSent || c.mayHaveRun {
		return false
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.drain == nil {
		return false
	}
	_, ends := rl.stopBasis(rl.config.Now(), c)
	return !ends
}

// stopBasis returns what tells whether a response ends before the entry stops, and whether it does. An estimate is
// enough for a call, which has its answer also at the end of the stop, but not for a stream: one that has begun can only
// be cut off then. The caller holds rl.mu, and the entry drains.
func (rl *Relay) stopBasis(now time.Time, c *call) (stopBasis, bool) {
	if !c.deadline.After(rl.drain.CutOff) {
		return byDeadline, true
	}
	if c.route.Repeat == routes.Stream {
		return "", false
	}
	longest, known := rl.responseTimes.longest(now, c.route.Name, c.info.MaxOutputTokens)
	if !known {
		return byNothing, now.Before(rl.drain.OnlyKnownFrom)
	}
	return byEstimate, !now.Add(time.Duration(drainMargin * float64(longest))).After(rl.drain.CutOff)
}

// leavingRetryAfter returns the retry-after of a request that a draining entry refuses: at once if another entry can
// serve it.
func (rl *Relay) leavingRetryAfter() time.Duration {
	rl.mu.Lock()
	drain := rl.drain
	rl.mu.Unlock()
	if drain == nil || drain.OthersReady == nil || drain.OthersReady() {
		return drainRetryAfter
	}
	return noEntryRetryAfter
}

// cutsOff reports whether the entry has begun to close the connections of running requests.
func (rl *Relay) cutsOff() bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.drain != nil && !rl.config.Now().Before(rl.drain.CutOff)
}

// recordDuration records how long a complete response took.
func (rl *Relay) recordDuration(c *call) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.responseTimes.record(rl.config.Now(), c.route.Name, c.info.MaxOutputTokens, c.outcome.Duration)
}
