package rankagent

import (
	"time"

	"camphormill.dev/parts/mapswitch"
)

// passWindow is the time over which passes are counted. At about 25 passes a second a shorter
// window would be too noisy.
const passWindow = 400 * time.Millisecond

// idleThreshold is the length of a window above which the group was idle during the window. Even
// on the slowest rank a pass does not take seconds.
const idleThreshold = 2 * time.Second

const (
	// orderDuration is the time to hold a pass and arm all ranks for it: two messages and two
	// orders of about 15 ms each. orderDurationPerRank is added for each rank of a large group.
	orderDuration        = 60 * time.Millisecond
	orderDurationPerRank = 500 * time.Microsecond
	// defaultPassDuration is assumed before any pass duration was measured.
	defaultPassDuration = 40 * time.Millisecond
	// maxOrderDuration bounds the time that a hold, arming and the release took lately as far as it counts.
	maxOrderDuration = 400 * time.Millisecond
	// holdTimeWeight is the weight of the newest of these times if it is shorter than the usual one.
	holdTimeWeight = 0.2
	// longPassFactor is the number of orderDurations from which passesAhead counts a pass as
	// long. A hold then arrives in time for the next pass in three of four cases.
	longPassFactor = 4
)

// passDurations measures the mean duration of a group's passes. It is immutable.
type passDurations struct {
	windowStart time.Time
	windowFirst mapswitch.Pass // newest pass at windowStart
	mean        time.Duration  // mean of the last complete window; 0 before the first one
}

// withPass returns the measurement after a rank reported that pass has begun. An idle group runs
// no passes and keeps its mean.
func (p passDurations) withPass(now time.Time, pass mapswitch.Pass) passDurations {
	if p.windowStart.IsZero() || pass < p.windowFirst || (pass != p.windowFirst && now.Sub(p.windowStart) > idleThreshold) {
		return passDurations{windowStart: now, windowFirst: pass, mean: p.mean}
	}
	if now.Sub(p.windowStart) < passWindow || pass == p.windowFirst {
		return p
	}
	return passDurations{windowStart: now, windowFirst: pass, mean: now.Sub(p.windowStart) / time.Duration(pass-p.windowFirst)}
}

// passesAhead returns how many passes after the newest known one the pass should be that a switch
// holds, given the minimum duration of a pass, the number of ranks and how long it took lately from the choice of the
// pass to its release. This is the number of passes that begin within orderDuration or that time, plus one that may begin in the meantime. Long passes omit that extra one: a
// hold that arrives too late is refused, which costs less than another pass under the old map.
func (p passDurations) passesAhead(minPass time.Duration, ranks int, holdTook time.Duration) mapswitch.Pass {
	duration := orderDuration
	if ranks > largeGroupSize {
		duration += orderDurationPerRank * time.Duration(ranks)
	}
	mean := max(p.mean, minPass)
	if mean == 0 {
		mean = defaultPassDuration
	}
	if mean >= longPassFactor*duration {
		return 1
	}
	duration = max(duration, min(holdTook, maxOrderDuration))
	return 1 + mapswitch.Pass((duration+mean-1)/mean)
}

// withHoldTime returns the usual time from the choice of a pass to its release after another one. A group that waits
// at a held pass makes all its streams late, so that a longer time counts at once.
func withHoldTime(usual, took time.Duration) time.Duration {
	return max(took, usual+time.Duration(holdTimeWeight*float64(took-usual)))
}
