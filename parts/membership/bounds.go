package membership

import (
	"slices"
	"time"
)

const (
	// maxRecords bounds the records of a Table, far above the number of daemons of a fleet.
	maxRecords = 4096
	// evictedAtOnce is how many records give way at once, since finding them visits all.
	evictedAtOnce = maxRecords / 16
	// maxTextBytes bounds each text of a record, and maxDemands the organisations whose demand it holds.
	maxTextBytes = 512
	maxDemands   = 64
)

// isOverlong reports whether the record is larger than any that a daemon publishes.
func (r Record) isOverlong() bool {
	for _, text := range []string{r.Origin, string(r.Role), r.Address, r.CallerAddress, r.Operations, r.Zone, r.Incarnation} {
		if len(text) > maxTextBytes {
			return true
		}
	}
	for organisation := range r.Demand {
		if len(organisation) > maxTextBytes {
			return true
		}
	}
	return len(r.Demand) > maxDemands
}

// Protect keeps the record of an origin from giving way to others. The platform lists it.
func (t *Table) Protect(origin string) { t.protected[origin] = true }

// makeRoom makes room for one more origin and reports whether there is any. The records that give way are the oldest of
// those whose origins are not protected and have never been in contact with this daemon, or are no longer live.
func (t *Table) makeRoom(now time.Time) bool {
	if len(t.records) < maxRecords {
		return true
	}
	var evictable []string
	for origin, p := range t.records {
		if origin != t.self && !t.protected[origin] && (!p.contacted || !t.isLive(now, p)) {
			evictable = append(evictable, origin)
		}
	}
	slices.SortFunc(evictable, func(a, b string) int { return t.records[a].lastReceived.Compare(t.records[b].lastReceived) })
	for _, origin := range evictable[:min(len(evictable), evictedAtOnce)] {
		delete(t.records, origin)
	}
	return len(evictable) > 0
}
