package expertmap_test

import (
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/expertmap"
)

func TestEveryStepHasOneMap(t *testing.T) {
	switches := 0
	for i := range uint64(schedules()) {
		seed := firstSeed() + i
		r := newRun(t, seed)
		r.lead()
		const events = 2500
		for range events {
			r.event(true)
		}
		if r.violated != "" {
			t.Fatalf("seed %d: %s", seed, r.violated)
		}
		switches += r.mapsUsed()
		if !r.settle() {
			t.Fatalf("seed %d: the last coordinator did not finish: %v", seed, r.leaders[len(r.leaders)-1])
		}
		before := r.slowest()
		for range 100 {
			for i := range ranks {
				r.step(i)
			}
		}
		if r.violated != "" || r.slowest() < before+50 {
			t.Fatalf("seed %d: after the faults: %q, steps %d to %d", seed, r.violated, before, r.slowest())
		}
	}
	t.Logf("%d schedules; %d maps came into use amid faults", schedules(), switches)
}

// mapsUsed counts the maps under which steps ran.
func (r *run) mapsUsed() int {
	used := map[expertmap.MapID]bool{}
	for _, maps := range r.started {
		for m := range maps {
			used[m] = true
		}
	}
	return len(used)
}

// TestReplacedProcessIgnoresOrdersOfItsForerunner replays what three schedules
// in 360,000 found: a doubled freeze, commit and resume of a coordinator long
// gone, delivered in order to a process that had just taken over a rank.
func TestReplacedProcessIgnoresOrdersOfItsForerunner(t *testing.T) {
	is := is.New(t)
	late := expertmap.Schedule{{From: 0, Map: 1}}
	r := expertmap.NewRank(expertmap.RankConfig{Incarnation: "second", Window: window, Completed: 28}).WithLoaded(1)
	for _, kind := range []expertmap.OrderKind{expertmap.OrderFreeze, expertmap.OrderCommit, expertmap.OrderResume} {
		r, _ = r.WithOrder(expertmap.Order{Kind: kind, Fence: 3, Incarnation: "first", Schedule: late})
	}
	_, permits := r.WithPermits()
	is.Equal(len(permits), 0) // the new process grants nothing under the old map
}
