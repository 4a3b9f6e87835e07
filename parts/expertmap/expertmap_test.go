package expertmap_test

import (
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/expertmap"
)

// TestEveryStepHasOneMap runs a group under random message delays, duplicates, losses and
// process replacements, and checks that no step runs under two maps and that the group
// continues after the faults.
func TestEveryStepHasOneMap(t *testing.T) {
	switches := 0
	for i := range uint64(runCount()) {
		seed := firstSeed() + i
		r := newRun(t, seed)
		r.addCoordinator()
		const events = 2500
		for range events {
			r.randomEvent(true)
		}
		if r.violation != "" {
			t.Fatalf("seed %d: %s", seed, r.violation)
		}
		switches += r.mapsUsed()
		if !r.finish() {
			t.Fatalf("seed %d: the last coordinator did not finish: %v", seed, r.leaders[len(r.leaders)-1])
		}
		before := r.minCompleted()
		for range 100 {
			for i := range ranks {
				r.runStep(i)
			}
		}
		if r.violation != "" || r.minCompleted() < before+50 {
			t.Fatalf("seed %d: after the faults: %q, steps %d to %d", seed, r.violation, before, r.minCompleted())
		}
	}
	t.Logf("%d runs; %d maps were used under faults", runCount(), switches)
}

// mapsUsed returns the number of maps under which steps ran.
func (r *run) mapsUsed() int {
	used := map[expertmap.MapID]bool{}
	for _, maps := range r.started {
		for m := range maps {
			used[m] = true
		}
	}
	return len(used)
}

// TestReplacedProcessIgnoresOrdersToPredecessor guards against a new process of a rank
// that accepts orders to its predecessor: duplicates of the freeze, commit and resume
// of an earlier coordinator, delivered in order. 3 of 360,000 random runs showed this.
func TestReplacedProcessIgnoresOrdersToPredecessor(t *testing.T) {
	is := is.New(t)
	oldSchedule := expertmap.Schedule{{From: 0, Map: 1}}
	r := expertmap.NewRank(expertmap.RankConfig{Incarnation: "second", Window: window, Completed: 28}).WithLoaded(1)
	for _, kind := range []expertmap.OrderKind{expertmap.OrderFreeze, expertmap.OrderCommit, expertmap.OrderResume} {
		r, _ = r.WithOrder(expertmap.Order{Kind: kind, Fence: 3, Incarnation: "first", Schedule: oldSchedule})
	}
	_, permits := r.WithPermits()
	is.Equal(len(permits), 0) // the new process grants no permits under the old map
}
