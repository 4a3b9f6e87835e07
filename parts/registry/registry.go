// Package registry decides for an entry which registered targets may receive requests.
// Targets register themselves under an id. A draining target stays in the registry but
// receives no new requests.
package registry

import (
	"maps"
	"slices"
	"time"
)

// State is the state that a target reports about itself.
type State string

// The states of a target.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Target is one incarnation of a server process, as it registered itself.
type Target struct {
	ID      string
	Service string
	Address string // host and port
	Zone    string
	Version string
	Slots   int // requests that the target runs concurrently
	State   State
	Started time.Time // orders incarnations
	// ColdUntil is when the target stops being cold, by the clock of the entry; zero if it is not cold.
	ColdUntil time.Time
}

// coldTolerance is the difference up to which two reports of a cold target name the same end. Reports
// come with a lag that varies.
const coldTolerance = 1500 * time.Millisecond

// withColdOf returns the target with the end of the cold time that an earlier entry of the same incarnation named, if
// its own is a little earlier. A later one may belong to a new cold time.
func (t Target) withColdOf(old Target) Target {
	earlier := old.ColdUntil.Sub(t.ColdUntil)
	if t.Started.Equal(old.Started) && !t.ColdUntil.IsZero() && earlier > 0 && earlier < coldTolerance {
		t.ColdUntil = old.ColdUntil
	}
	return t
}

// Registry is an immutable snapshot of all targets. The zero Registry is empty.
type Registry struct {
	targets map[string]Target // by id
	// missing holds, by target id, the end of the grace period of targets whose
	// entries lapsed around an outage.
	missing map[string]time.Time
	// lapsed holds the services whose last target was dropped at the end of its grace period.
	lapsed map[string]bool
	// removed holds the latest removed incarnations, maxRemoved at most, the oldest first.
	removed []incarnation
}

// incarnation identifies one life of a target.
type incarnation struct {
	id      string
	started time.Time
}

// maxRemoved bounds the removed incarnations that a Registry remembers.
const maxRemoved = 512

// With returns the registry after the entry of a target was written, which ends its grace period, also if
// the entry is as it was before. An incarnation that is draining stays so: it never leaves that state, so a Ready
// entry was written earlier and has arrived late.
func (r Registry) With(t Target) Registry {
	old, known := r.targets[t.ID]
	if known && old.State == Draining && t.State == Ready && old.Started.Equal(t.Started) {
		t = old
	}
	if known {
		t = t.withColdOf(old)
	}
	if known && old == t && !r.IsMissing(t.ID) {
		return r
	}
	next := r.clone()
	next.targets[t.ID] = t
	delete(next.missing, t.ID)
	delete(next.lapsed, t.Service)
	return next
}

// IsMissing reports whether a target is in its grace period.
func (r Registry) IsMissing(id string) bool {
	_, missing := r.missing[id]
	return missing
}

// Missing returns the number of targets in their grace period.
func (r Registry) Missing() int { return len(r.missing) }

// Lapsed reports whether the last target of a service was dropped at the end of its grace period, and none has
// registered since.
func (r Registry) Lapsed(service string) bool { return r.lapsed[service] }

// Without returns the registry after the entry of a target was removed. If graceEnd is not
// zero, the target stays until that time, because its entry may have lapsed during an
// outage of the registry itself. A target that is missing already keeps its earlier end.
func (r Registry) Without(id string, graceEnd time.Time) Registry {
	if _, known := r.targets[id]; !known {
		return r
	}
	next := r.clone()
	if graceEnd.IsZero() {
		next.removed = append(slices.Clone(r.removed[max(len(r.removed)-maxRemoved+1, 0):]), incarnation{id, r.targets[id].Started})
		delete(next.targets, id)
		delete(next.missing, id)
		return next
	}
	if _, known := next.missing[id]; !known {
		next.missing[id] = graceEnd
	}
	return next
}

// WithListing returns the registry after a full listing. Targets that are not listed are
// removed as by Without with graceEnd, but those that are missing already keep their grace period.
func (r Registry) WithListing(listed []Target, graceEnd time.Time) Registry {
	next := r
	present := map[string]bool{}
	for _, t := range listed {
		present[t.ID] = true
		next = next.With(t)
	}
	for _, id := range slices.Sorted(maps.Keys(r.targets)) {
		if !present[id] && !r.IsMissing(id) {
			next = next.Without(id, graceEnd)
		}
	}
	return next
}

// WithRestoredListing returns the registry after a full listing of a store that has come back from an
// older copy. Incarnations that were removed since that copy, or replaced by a later one, don't come
// back, and targets that are missing in it have until graceEnd to register again. heldBack is the number of
// removed incarnations that the copy lists: one of them may live and have registered again as it was, which
// only a later listing shows, when the entries that nobody renews have lapsed.
func (r Registry) WithRestoredListing(listed []Target, graceEnd time.Time) (next Registry, heldBack int) {
	var current []Target
	for _, t := range listed {
		known, ok := r.targets[t.ID]
		switch {
		case ok && known.Started.After(t.Started):
			current = append(current, known)
		case ok || !slices.Contains(r.removed, incarnation{t.ID, t.Started}):
			current = append(current, t)
		default:
			heldBack++
		}
	}
	return r.WithListing(current, graceEnd), heldBack
}

// WithoutExpired returns the registry at the time now, without the targets whose grace period is
// over.
func (r Registry) WithoutExpired(now time.Time) Registry {
	next := r
	for id, until := range r.missing {
		if now.Before(until) {
			continue
		}
		service := r.targets[id].Service
		next = next.Without(id, time.Time{})
		if !next.knows(service) {
			next.lapsed[service] = true
		}
	}
	return next
}

// knows reports whether any target of a service is known.
func (r Registry) knows(service string) bool {
	for _, t := range r.targets {
		if t.Service == service {
			return true
		}
	}
	return false
}

// HasZone reports whether any target is in the zone.
func (r Registry) HasZone(zone string) bool {
	for _, t := range r.targets {
		if t.Zone == zone {
			return true
		}
	}
	return false
}

// Cold returns the targets of a service that are cold at the time now, in no particular order.
func (r Registry) Cold(service string, now time.Time) []Target {
	var cold []Target
	for _, t := range r.targets {
		if t.Service == service && now.Before(t.ColdUntil) {
			cold = append(cold, t)
		}
	}
	return cold
}

// ColdCount returns the number of targets that are cold at the time now.
func (r Registry) ColdCount(now time.Time) int {
	n := 0
	for _, t := range r.targets {
		if now.Before(t.ColdUntil) {
			n++
		}
	}
	return n
}

// Target returns a target by id.
func (r Registry) Target(id string) (Target, bool) {
	t, ok := r.targets[id]
	return t, ok
}

// AtAddress returns the target at the address. Addresses are reused, so it returns the
// target that started last.
func (r Registry) AtAddress(address string) (Target, bool) {
	var found Target
	ok := false
	for _, t := range r.targets {
		if t.Address == address && (!ok || t.Started.After(found.Started) || (t.Started.Equal(found.Started) && t.ID > found.ID)) {
			found, ok = t, true
		}
	}
	return found, ok
}

// Serving returns the ready targets of a service, including missing ones, sorted by id.
func (r Registry) Serving(service string) []Target {
	var serving []Target
	for _, id := range slices.Sorted(maps.Keys(r.targets)) {
		if t := r.targets[id]; t.Service == service && t.State == Ready {
			serving = append(serving, t)
		}
	}
	return serving
}

// Len returns the number of targets, including draining and missing ones.
func (r Registry) Len() int { return len(r.targets) }

func (r Registry) clone() Registry {
	next := Registry{targets: maps.Clone(r.targets), missing: maps.Clone(r.missing), lapsed: maps.Clone(r.lapsed), removed: r.removed}
	if next.targets == nil {
		next.targets = map[string]Target{}
	}
	if next.missing == nil {
		next.missing = map[string]time.Time{}
	}
	if next.lapsed == nil {
		next.lapsed = map[string]bool{}
	}
	return next
}
