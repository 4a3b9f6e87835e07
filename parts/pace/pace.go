// Package pace bounds the requests that a lock-step group runs by the pace at which it makes events.
// All ranks of a group make a pass together, and the pause between two events of a stream is a pass. A pass
// takes longer with each request that runs, and with the skew of the experts: after a shift of demand
// about three times as long, until the expert map has followed. Requests then arrive faster than they end, and
// each one more makes all others late.
package pace

import (
	"time"
)

const (
	// goalShare is the share of the accepted pause that a pass may take. The rest is for passes that are longer
	// than usual: ranks that copy experts are 15% slower.
	goalShare = 0.85
	// promptsPerPass is the number of usual prompts that the rank with most of them reads in a pass of a busy group.
	promptsPerPass = 1
	// intervals of intervalLength are the memory of the bound: demand that has shifted will shift again, and a
	// group that has filled up in between can't be emptied in time.
	intervals      = 5
	intervalLength = 2 * time.Second
)

// Engine holds what decides the duration of a pass.
type Engine struct {
	Idle        time.Duration // duration of a pass without requests
	PerRequest  time.Duration // added by each request that a rank runs, if the experts' load is even; 0: not known
	Prompt      time.Duration // time to read a usual prompt
	ExpertShare float64       // share of PerRequest that the experts take
}

// Pass returns the expected duration of a pass with a number of requests on each rank and a skew of the
// experts' load, the ratio of the slowest rank to the mean.
func (e Engine) Pass(perRank, skew float64) time.Duration {
	return e.Idle + promptsPerPass*e.Prompt + time.Duration(perRank*float64(e.requestCost(skew)))
}

// requestCost returns what each request on a rank adds to a pass.
func (e Engine) requestCost(skew float64) time.Duration {
	return time.Duration(float64(e.PerRequest) * (1 - e.ExpertShare + e.ExpertShare*skew))
}

// Bound remembers the highest skew that demand has caused in the last ten seconds. It is immutable; the zero Bound
// knows none.
type Bound struct {
	current float64 // skew with the speeds of the ranks as they are now
	// highest holds the highest skew of the last intervals; the interval that began last is the first.
	highest [intervals]float64
	begun   time.Time // of the first interval
	margin  Margin
}

// WithMargin returns the bound with a correction by the pauses that callers saw.
func (b Bound) WithMargin(m Margin) Bound {
	b.margin = m
	return b
}

// WithSkew returns the bound with a new skew of the experts' load. ofDemand leaves out the speeds of the ranks and is
// remembered; withSpeeds counts them and holds until the next call, so that a rank that recovers or gives up its experts
// bounds the group no longer.
func (b Bound) WithSkew(now time.Time, ofDemand, withSpeeds float64) Bound {
	b = b.advanced(now)
	b.highest[0] = max(b.highest[0], ofDemand)
	b.current = withSpeeds
	return b
}

// advanced returns the bound at a time, without the intervals that are too old.
func (b Bound) advanced(now time.Time) Bound {
	if b.begun.IsZero() || now.Sub(b.begun) >= intervals*intervalLength {
		return Bound{begun: now, current: b.current, margin: b.margin}
	}
	for now.Sub(b.begun) >= intervalLength {
		copy(b.highest[1:], b.highest[:])
		b.highest[0] = 0
		b.begun = b.begun.Add(intervalLength)
	}
	return b
}

// Current returns the latest skew with the speeds of the ranks, 0 if there is none.
func (b Bound) Current() float64 { return b.current }

// Skew returns the skew to expect: the highest that is remembered, or the current one. It is 0 if none is known.
func (b Bound) Skew(now time.Time) float64 {
	highest := b.current
	for _, skew := range b.advanced(now).highest {
		highest = max(highest, skew)
	}
	return highest
}

// Requests returns how many requests a group may run so that its passes stay within the pause that callers accept, at
// least one; false if the pause, the cost of a request or the skew is not known.
func (b Bound) Requests(now time.Time, ranks int, e Engine, pause time.Duration) (int, bool) {
	skew := b.Skew(now)
	if pause <= 0 || e.PerRequest <= 0 || skew == 0 {
		return 0, false
	}
	left := time.Duration(goalShare*b.margin.Factor()*float64(pause)) - e.Pass(0, skew)
	return max(int(float64(left)/float64(e.requestCost(skew))*float64(ranks)), 1), true
}
