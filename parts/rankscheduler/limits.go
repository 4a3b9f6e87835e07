package rankscheduler

import (
	"maps"
	"math"
	"slices"
	"time"

	"camphormill.dev/parts/limit"
)

// limitTTL is the time after which a rate limit is dropped that no request named again. Requests
// name the limits that their entry knows.
const limitTTL = 2 * time.Second

// rankLimit is the rate limit of an engine.
type rankLimit struct {
	bucket  limit.Bucket
	expires time.Time
}

// SetLimit sets the requests per second that an engine takes. It holds for limitTTL.
func (s *Scheduler) SetLimit(now time.Time, engine string, perSecond float64) {
	if !s.takesLimit(engine) {
		return
	}
	l, ok := s.limits[engine]
	if !ok || !l.expires.After(now) {
		l.bucket = limit.NewBucket(now, perSecond)
	}
	s.limits[engine] = rankLimit{bucket: l.bucket.WithRate(now, perSecond), expires: now.Add(limitTTL)}
}

// limitOf returns the rate limit of an engine; false if it has none.
func (s *Scheduler) limitOf(now time.Time, engine string) (rankLimit, bool) {
	l, ok := s.limits[engine]
	return l, ok && l.expires.After(now)
}

// nextIn returns the time until the limit of an engine allows a request.
func (s *Scheduler) nextIn(now time.Time, engine string) time.Duration {
	if l, ok := s.limitOf(now, engine); ok {
		return l.bucket.NextIn(now)
	}
	return 0
}

// countStart counts a request that starts at an engine against its limit.
func (s *Scheduler) countStart(now time.Time, engine string) {
	if l, ok := s.limitOf(now, engine); ok {
		l.bucket, _ = l.bucket.Take(now)
		s.limits[engine] = l
	}
}

// limitsAllowIn returns the time until the limit of some engine allows a request.
func (s *Scheduler) limitsAllowIn(now time.Time) time.Duration {
	if len(s.limits) == 0 {
		return 0
	}
	shortest := time.Duration(math.MaxInt64)
	for engine, rank := range s.ranks {
		if s.isEvacuated(now, rank.Zone) {
			continue
		}
		shortest = min(shortest, s.nextIn(now, engine))
	}
	return shortest
}

// usableSlots returns how many slots a rank can keep in use within its limit: those that it starts
// in the time for which a request holds its slot.
func (s *Scheduler) usableSlots(now time.Time, r Rank) int {
	l, ok := s.limitOf(now, r.Engine)
	if !ok {
		return r.Slots
	}
	held := max(s.queue.ServiceTime(), time.Second)
	return min(r.Slots, max(int(math.Ceil(l.bucket.PerSecond()*held.Seconds())), 1))
}

// dropExpiredLimits forgets the limits that no request names any more.
func (s *Scheduler) dropExpiredLimits(now time.Time) {
	maps.DeleteFunc(s.limits, func(_ string, l rankLimit) bool { return !l.expires.After(now) })
}

// LimitedEngines returns the sorted addresses of the engines with a rate limit.
func (s *Scheduler) LimitedEngines() []string { return slices.Sorted(maps.Keys(s.limits)) }
