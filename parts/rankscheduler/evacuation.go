package rankscheduler

import (
	"maps"
	"slices"
	"time"
)

// evacuationTTL is the time after which the evacuation of a zone is forgotten that no request named again.
// Requests name the evacuated zones that their entry knows.
const evacuationTTL = 2 * time.Second

// SetEvacuated records the zones whose engines must get no requests, as a request names them. They hold for
// evacuationTTL.
func (s *Scheduler) SetEvacuated(now time.Time, zones []string) {
	for _, zone := range zones {
		if !s.takesEvacuation(zone) {
			continue
		}
		s.evacuated[zone] = now.Add(evacuationTTL)
	}
}

// EvacuatedZones returns the sorted zones whose engines get no requests.
func (s *Scheduler) EvacuatedZones() []string { return slices.Sorted(maps.Keys(s.evacuated)) }

func (s *Scheduler) isEvacuated(now time.Time, zone string) bool {
	return now.Before(s.evacuated[zone])
}

// hasUsableRank reports whether any rank is in no evacuated zone.
func (s *Scheduler) hasUsableRank(now time.Time) bool {
	for _, r := range s.ranks {
		if !s.isEvacuated(now, r.Zone) {
			return true
		}
	}
	return false
}

// dropExpiredEvacuations forgets the zones that no request names any more.
func (s *Scheduler) dropExpiredEvacuations(now time.Time) {
	maps.DeleteFunc(s.evacuated, func(_ string, until time.Time) bool { return !now.Before(until) })
}
