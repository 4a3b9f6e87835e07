package registry_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphormill.dev/parts/registry"
)

// TestRegisteredTargetIsKnownAfterGrace guards against a target that is dropped for good although it is
// registered, because it came back as it was. It plays removals, returns, grace periods, listings and restores in any
// order against a model of the entries in the store: at the end of all grace periods, a target is known if and only if
// it is registered.
func TestRegisteredTargetIsKnownAfterGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		const grace = 2 * time.Second
		var r registry.Registry
		stored := map[string]registry.Target{}   // the entries in the store
		heldBack := map[string]registry.Target{} // entries of a restored copy that a listing has yet to confirm
		var copied map[string]registry.Target    // the older copy
		ids := []string{"a", "b", "c"}
		list := func() []registry.Target {
			var targets []registry.Target
			for _, id := range ids {
				if target, ok := stored[id]; ok {
					targets = append(targets, target)
				}
			}
			return targets
		}
		clone := func() map[string]registry.Target {
			c := map[string]registry.Target{}
			for id, target := range stored {
				c[id] = target
			}
			return c
		}
		graceEnd := func(t *rapid.T) time.Time {
			if rapid.Bool().Draw(t, "outage") {
				return now.Add(grace)
			}
			return time.Time{}
		}
		drained := map[registry.Target]bool{} // incarnations that drain, by their entry without the state
		write := func(target registry.Target) registry.Target {
			target.State = registry.Ready
			if drained[target] {
				target.State = registry.Draining
			}
			return target
		}
		t.Repeat(map[string]func(*rapid.T){
			"register": func(t *rapid.T) {
				target := registry.Target{ID: rapid.SampledFrom(ids).Draw(t, "id"), Service: "s", State: registry.Ready, Started: time.Unix(rapid.Int64Range(1, 2).Draw(t, "started"), 0)}
				if old, ok := stored[target.ID]; ok && old.Started.After(target.Started) {
					return // a process that has ended writes nothing
				}
				if rapid.Bool().Draw(t, "drains") {
					drained[target] = true
				}
				stored[target.ID] = write(target)
				delete(heldBack, target.ID)
				r = r.With(stored[target.ID])
			},
			"remove": func(t *rapid.T) {
				id := rapid.SampledFrom(ids).Draw(t, "id")
				if _, ok := stored[id]; !ok {
					return
				}
				delete(stored, id)
				delete(heldBack, id)
				r = r.Without(id, graceEnd(t))
			},
			"lapse during an outage, seen by a listing": func(t *rapid.T) {
				for _, id := range ids {
					if rapid.Bool().Draw(t, "lapses") {
						delete(stored, id)
					}
				}
				r = r.WithListing(list(), now.Add(grace))
				clear(heldBack)
			},
			"list": func(t *rapid.T) {
				r = r.WithListing(list(), graceEnd(t))
				clear(heldBack)
			},
			"copy": func(*rapid.T) { copied = clone() },
			"restore": func(*rapid.T) {
				if copied == nil {
					return
				}
				known := map[string]bool{}
				for _, id := range ids {
					target, ok := r.Target(id)
					old, listed := copied[id]
					known[id] = ok && listed && target.Started.After(old.Started)
				}
				stored = clone()
				clear(stored)
				for id, target := range copied {
					stored[id] = write(registry.Target{ID: target.ID, Service: target.Service, State: registry.Ready, Started: target.Started})
				}
				var count int
				r, count = r.WithRestoredListing(list(), now.Add(grace))
				clear(heldBack)
				for id, target := range stored {
					if _, ok := r.Target(id); !ok {
						heldBack[id] = target
					}
					if known[id] { // a later incarnation is known: the process of the copy has ended
						target, _ := r.Target(id)
						stored[id] = target
					}
				}
				if count != len(heldBack) {
					t.Fatalf("%d targets held back, want %d", count, len(heldBack))
				}
			},
			"grace ends": func(*rapid.T) {
				now = now.Add(grace)
				r = r.WithoutExpired(now)
			},
			"": func(t *rapid.T) {
				after := r.WithoutExpired(now.Add(grace))
				if after.Missing() != 0 {
					t.Fatalf("%d targets are missing after all grace periods", after.Missing())
				}
				for _, id := range ids {
					want, registered := stored[id]
					_, held := heldBack[id]
					got, known := after.Target(id)
					if known != (registered && !held) {
						t.Fatalf("target %s: registered %t, held back %t, known %t after its grace period", id, registered, held, known)
					}
					if known && got.State != want.State && got.State != registry.Draining {
						t.Fatalf("target %s is %s, registered as %s", id, got.State, want.State)
					}
					if _, ok := r.Target(id); registered && !held && !ok {
						t.Fatalf("target %s is registered and not known", id)
					}
				}
				if after.Lapsed("s") && slices.ContainsFunc(ids, func(id string) bool { _, ok := after.Target(id); return ok }) {
					t.Fatal("a service with targets counts as lapsed")
				}
			},
		})
	})
}
