package rankscheduler

import (
	"maps"
	"time"

	"camphormill.dev/parts/routes"
)

const (
	// maxRefused bounds the number of retained refused requests. It covers several
	// seconds of a burst at ten times the load at the time of writing.
	maxRefused = 8192
	// minRetryAfter is the shortest retry-after of a refused request, about the
	// duration of one stream.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter is the longest retry-after of a request that was refused for want of room. Callers of
	// streams give up after some seconds.
	maxRetryAfter = 2500 * time.Millisecond
	// returnShare is the share of the starts that the returning requests of one priority may need.
	returnShare = 0.2
	// outputWeight is the weight of the newest request in the moving average of output lengths.
	outputWeight = 0.02
	// endMargin is the factor by which a request must be expected to outlast its caller's time to be refused for it.
	// Expected output lengths are often far off.
	endMargin = 2
)

// displace refuses the waiting requests that a more urgent one has left without a slot in time.
func (s *Scheduler) displace(now time.Time) {
	for _, d := range s.queue.Displaced(now) {
		r := s.waiting[d.ID]
		delete(s.waiting, d.ID)
		s.displaced = append(s.displaced, s.refuse(now, r, now))
	}
}

// TakeDisplaced returns the refusals of waiting requests that offers since the last call have displaced.
func (s *Scheduler) TakeDisplaced() []Decision {
	displaced := s.displaced
	s.displaced = nil
	return displaced
}

// outlastsCaller reports whether a request is expected to run much longer than its caller waits.
func (s *Scheduler) outlastsCaller(now time.Time, r Request, work float64) bool {
	expected := time.Duration(work * float64(s.queue.ServiceTime()))
	return !r.EndBy.IsZero() && expected > endMargin*r.EndBy.Sub(now)
}

// workOf returns the expected work of a request relative to that of a usual one, by the length of its output, which
// decides how long it holds its slot.
func (s *Scheduler) workOf(r Request) float64 {
	if r.OutputTokens <= 0 {
		return 1
	}
	if s.outputTokens == 0 {
		s.outputTokens = float64(r.OutputTokens)
	}
	s.outputTokens += outputWeight * (float64(r.OutputTokens) - s.outputTokens)
	return float64(r.OutputTokens) / s.outputTokens
}

// refuse refuses a request and retains the time of its first refusal, from which the
// latency goal counts when the request is retried. freeAt is the time at which a slot is
// expected to be free, or now if that is not known.
func (s *Scheduler) refuse(now time.Time, r Request, freeAt time.Time) Decision {
	if _, ok := s.refused[r.Fingerprint]; !ok {
		if len(s.refused) >= maxRefused {
			s.evictRefused(now)
		}
		if len(s.refused) < maxRefused {
			s.refused[r.Fingerprint] = now
		}
	}
	return Decision{ID: r.ID, RetryAt: s.returnAt(now, r, later(freeAt, now.Add(minRetryAfter)))}
}

// returnAt returns when a refused request should come back, not before the given time. Requests of one priority return
// one after the other, at a rate that leaves most of the slots to new ones.
func (s *Scheduler) returnAt(now time.Time, r Request, earliest time.Time) time.Time {
	if !s.byPriority(r) || len(s.assignments) == 0 {
		return earliest // if nothing runs, the rate of starts is not known
	}
	at := later(s.nextReturn[*r.Priority], earliest)
	if latest := later(now.Add(maxRetryAfter), earliest); at.After(latest) {
		return latest
	}
	spacing := s.queue.ServiceTime().Seconds() / (returnShare * float64(len(s.assignments)))
	s.nextReturn[*r.Priority] = at.Add(time.Duration(spacing * float64(time.Second)))
	return at
}

// evictRefused deletes the retained refusals that are older than maxSlotHold.
func (s *Scheduler) evictRefused(now time.Time) {
	for fingerprint, first := range s.refused {
		if now.Sub(first) > maxSlotHold {
			delete(s.refused, fingerprint)
		}
	}
}

// dropPastReturns forgets the returns that are past.
func (s *Scheduler) dropPastReturns(now time.Time) {
	maps.DeleteFunc(s.nextReturn, func(_ routes.Priority, at time.Time) bool { return at.Before(now) })
}
