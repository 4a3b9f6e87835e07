package storeview

import (
	"slices"
	"time"
)

// evacuations are the zones whose targets must get no requests. They are immutable.
type evacuations struct {
	listed []string // as last read from the configuration stream, sorted
	era    int64    // of the store at that read
	known  bool     // the stream has been read
	// held are zones that were evacuated before the store came back from an older copy, which may lack the
	// record. They stay until heldUntil, when the operators' records have been written again.
	held      []string
	heldUntil time.Time
}

// withListed returns the evacuations after the stream was read in an era of the store.
func (e evacuations) withListed(zones []string, era int64, now time.Time) evacuations {
	next := evacuations{listed: zones, era: era, known: true, held: e.held, heldUntil: e.heldUntil}
	if e.known && era > e.era {
		next.held, next.heldUntil = e.zones(), now.Add(restoredLapse)
	}
	return next
}

// withoutExpired returns the evacuations at a time, without held zones whose time is over.
func (e evacuations) withoutExpired(now time.Time) evacuations {
	if !now.Before(e.heldUntil) {
		e.held = nil
	}
	return e
}

// zones returns all evacuated zones, sorted.
func (e evacuations) zones() []string {
	all := slices.Concat(e.listed, e.held)
	slices.Sort(all)
	return slices.Compact(all)
}

// listedEvacuations returns the evacuated zones as last read, for the peers, which hold others back by themselves.
func (v *View) listedEvacuations() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.evacuated.listed
}

// setEvacuated puts the evacuated zones in force. The caller holds v.mu.
func (v *View) setEvacuated(next evacuations) {
	before, zones := v.evacuated.zones(), next.zones()
	v.evacuated = next
	if slices.Equal(zones, before) {
		return
	}
	v.config.Log.Warn().Strs("zones", zones).Strs("before", before).Strs("held", next.held).Int64("era", next.era).Msg("evacuated zones changed")
	for _, zone := range zones {
		if v.listed && !v.targets.HasZone(zone) {
			v.config.Log.Warn().Str("zone", zone).Msg("no target is registered in the evacuated zone; check its name")
		}
	}
	if v.routes != nil {
		v.routes = v.routes.WithEvacuatedZones(zones)
	}
}
