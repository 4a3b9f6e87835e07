package rankscheduler

import "time"

const (
	// maxWaiting bounds the queued requests of a group.
	maxWaiting = 8192
	// maxLimits and maxEvacuated bound the engines and zones that requests name, besides the engines of the group.
	maxLimits    = 4096
	maxEvacuated = 256
	// maxNameBytes bounds the name of an engine or a zone.
	maxNameBytes = 512
)

// Holds reports whether the request runs or is queued.
func (s *Scheduler) Holds(id string) bool {
	if _, ok := s.assignments[id]; ok {
		return true
	}
	_, ok := s.waiting[id]
	return ok
}

// freeLostSlots frees the slots whose release was lost.
func (s *Scheduler) freeLostSlots(now time.Time) {
	if now.Before(s.expireAt) {
		return
	}
	oldest := now
	for id, a := range s.assignments {
		if now.Sub(a.startedAt) > maxSlotHold {
			delete(s.assignments, id)
			s.loads.end(a.engine)
			s.queue.Done(maxSlotHold)
		} else if a.startedAt.Before(oldest) {
			oldest = a.startedAt
		}
	}
	s.expireAt = oldest.Add(maxSlotHold)
}

// takesLimit reports whether a limit of the engine is kept.
func (s *Scheduler) takesLimit(engine string) bool {
	_, known := s.limits[engine]
	if _, isRank := s.ranks[engine]; known || isRank {
		return true
	}
	return len(engine) <= maxNameBytes && len(s.limits) < maxLimits
}

// takesEvacuation reports whether the evacuation of the zone is kept.
func (s *Scheduler) takesEvacuation(zone string) bool {
	_, known := s.evacuated[zone]
	return known || (len(zone) <= maxNameBytes && len(s.evacuated) < maxEvacuated)
}
