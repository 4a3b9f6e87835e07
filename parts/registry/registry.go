// Package registry holds the targets that registered themselves, by id. Leaving
// targets stay known but take no new work.
package registry

import (
	"maps"
	"slices"
	"time"
)

// State is what a target says of itself.
type State string

// The states of a target.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Target is one incarnation of a server process.
type Target struct {
	ID      string
	Service string
	Address string // host and port
	Zone    string
	Version string
	Slots   int
	State   State
	Started time.Time
}

// Registry is one view of all targets. It is immutable.
type Registry struct {
	targets map[string]Target
	// missing holds the targets whose entries lapsed around an outage, and
	// until when they may come back.
	missing map[string]time.Time
}

// With returns the registry after a target's entry was written. An incarnation
// that leaves does not come back: an entry that says so was written earlier and
// arrived late.
func (r Registry) With(t Target) Registry {
	if old, known := r.targets[t.ID]; known && old.State == Draining && t.State == Ready && old.Started.Equal(t.Started) {
		return r
	}
	next := r.clone()
	next.targets[t.ID] = t
	delete(next.missing, t.ID)
	return next
}

// Without returns the registry after a target's entry was removed. A target
// with a time of grace stays until then: its entry may have lapsed because the
// registry itself was away.
func (r Registry) Without(id string, grace time.Time) Registry {
	if _, known := r.targets[id]; !known {
		return r
	}
	next := r.clone()
	if grace.IsZero() {
		delete(next.targets, id)
		delete(next.missing, id)
		return next
	}
	if _, waiting := next.missing[id]; !waiting {
		next.missing[id] = grace
	}
	return next
}

// Only returns the registry after a full listing: targets that are not in it
// are removed as by Without.
func (r Registry) Only(listed []Target, grace time.Time) Registry {
	next := r
	present := map[string]bool{}
	for _, t := range listed {
		present[t.ID] = true
		if next.targets[t.ID] != t {
			next = next.With(t)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.targets)) {
		if !present[id] {
			next = next.Without(id, grace)
		}
	}
	return next
}

// At returns the registry at a moment: missing targets whose grace is over are
// gone.
func (r Registry) At(now time.Time) Registry {
	next := r
	for id, until := range r.missing {
		if !now.Before(until) {
			next = next.Without(id, time.Time{})
		}
	}
	return next
}

// Target returns a target by id.
func (r Registry) Target(id string) (Target, bool) {
	t, ok := r.targets[id]
	return t, ok
}

// AtAddress returns the target that answers at the address. Addresses are
// used again, so the one that started last counts.
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

// Serving returns the ready targets of a service, by id.
func (r Registry) Serving(service string) []Target {
	var serving []Target
	for _, id := range slices.Sorted(maps.Keys(r.targets)) {
		if t := r.targets[id]; t.Service == service && t.State == Ready {
			serving = append(serving, t)
		}
	}
	return serving
}

// Len counts the targets.
func (r Registry) Len() int { return len(r.targets) }

func (r Registry) clone() Registry {
	next := Registry{targets: maps.Clone(r.targets), missing: maps.Clone(r.missing)}
	if next.targets == nil {
		next.targets = map[string]Target{}
	}
	if next.missing == nil {
		next.missing = map[string]time.Time{}
	}
	return next
}
