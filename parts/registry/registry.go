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
}

// Registry is an immutable snapshot of all targets. The zero Registry is empty.
type Registry struct {
	targets map[string]Target // by id
	// missing holds, by target id, the end of the grace period of targets whose
	// entries lapsed around an outage.
	missing map[string]time.Time
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

// With returns the registry after the entry of a target was written. It ignores a Ready
// entry of an incarnation that is already draining: an incarnation never leaves that
// state, so the entry was written earlier and has arrived late.
func (r Registry) With(t Target) Registry {
	if old, known := r.targets[t.ID]; known && old.State == Draining && t.State == Ready && old.Started.Equal(t.Started) {
		return r
	}
	next := r.clone()
	next.targets[t.ID] = t
	delete(next.missing, t.ID)
	return next
}

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
// removed as by Without with graceEnd.
func (r Registry) WithListing(listed []Target, graceEnd time.Time) Registry {
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
			next = next.Without(id, graceEnd)
		}
	}
	return next
}

// WithRestoredListing returns the registry after a full listing of a store that has come back from an
// older copy. Incarnations that were removed since that copy, or replaced by a later one, don't come
// back, and targets that are missing in it have until graceEnd to register again.
func (r Registry) WithRestoredListing(listed []Target, graceEnd time.Time) Registry {
	var current []Target
	for _, t := range listed {
		known, ok := r.targets[t.ID]
		switch {
		case ok && known.Started.After(t.Started):
			current = append(current, known)
		case ok || !slices.Contains(r.removed, incarnation{t.ID, t.Started}):
			current = append(current, t)
		}
	}
	return r.WithListing(current, graceEnd)
}

// WithoutExpired returns the registry at the time now, without the targets whose grace period is
// over.
func (r Registry) WithoutExpired(now time.Time) Registry {
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
	next := Registry{targets: maps.Clone(r.targets), missing: maps.Clone(r.missing), removed: r.removed}
	if next.targets == nil {
		next.targets = map[string]Target{}
	}
	if next.missing == nil {
		next.missing = map[string]time.Time{}
	}
	return next
}
