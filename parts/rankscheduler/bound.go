package rankscheduler

import (
	"math"
	"time"

	"camphormill.dev/parts/pace"
)

const (
	// minBoundShare is the least share of the slots to which the pace bounds a group. Below it a stalled rank, not
	// the number of requests, makes passes long.
	minBoundShare = 0.2
	// usualPassWeight is the weight of the newest expected duration of a pass, ten times a second, in the moving
	// average. Slots are held for one to two seconds.
	usualPassWeight = 0.06
)

// SetEngine sets what decides the duration of the group's passes.
func (s *Scheduler) SetEngine(e pace.Engine) { s.engine = e }

// NeedsSkew reports whether the pace of the group bounds the requests that run, so that RecordSkew is to be called.
func (s *Scheduler) NeedsSkew() bool { return s.config.ByPriority && s.pauseGoal() > 0 }

// RecordSkew records the skew of the experts' load under the expert map in force; see pace.Bound.WithSkew.
func (s *Scheduler) RecordSkew(now time.Time, ofDemand, withSpeeds float64) {
	s.pace = s.pace.WithSkew(now, ofDemand, withSpeeds)
}

// RecordPause records the longest pause that the caller of a running request has seen so far. The request is about to
// end.
func (s *Scheduler) RecordPause(now time.Time, id string, longest time.Duration) {
	if a, ok := s.assignments[id]; ok {
		s.margin = s.margin.WithPause(now, longest, a.request.PauseGoal)
	}
}

// Margin returns the factor by which the pauses that callers saw have changed the bound.
func (s *Scheduler) Margin() float64 { return s.margin.Factor() }

// setBound sets the number of requests that may run by the pace of the group, given the slots of its ranks.
func (s *Scheduler) setBound(now time.Time, slots int) {
	s.updateSlowdown()
	n, bounded := s.pace.WithMargin(s.margin).Requests(now, len(s.ranks), s.engine, s.pauseGoal())
	n = max(n, int(math.Ceil(minBoundShare*float64(slots))))
	if !s.NeedsSkew() || !bounded || n >= slots {
		n = 0
	}
	s.bound = n
}

// updateSlowdown tells the queue how much longer passes are expected to take now than they did lately.
func (s *Scheduler) updateSlowdown() {
	if !s.NeedsSkew() || s.engine.PerRequest <= 0 || len(s.ranks) == 0 {
		s.queue.SetSlowdown(1)
		return
	}
	pass := float64(s.engine.Pass(float64(len(s.assignments))/float64(len(s.ranks)), max(s.pace.Current(), 1)))
	if s.usualPass == 0 {
		s.usualPass = pass
	}
	s.usualPass += usualPassWeight * (pass - s.usualPass)
	s.queue.SetSlowdown(max(pass/s.usualPass, 1))
}

// pauseGoal returns the shortest pause between two events that the callers of running requests accept, 0 if none is
// known.
func (s *Scheduler) pauseGoal() time.Duration {
	shortest := time.Duration(0)
	for _, a := range s.assignments {
		if pause := a.request.PauseGoal; pause > 0 && (shortest == 0 || pause < shortest) {
			shortest = pause
		}
	}
	return shortest
}

// RequestBound returns the number of requests that may run by the pace of the group, 0 for no bound.
func (s *Scheduler) RequestBound() int { return s.bound }
