package proofs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/parts/contract"
)

// runPoison sends, among innocent drafts, one request that kills each target
// that runs it; its caller sends it again through every entry in turn. It
// returns how many targets died and how many innocent drafts were refused as
// quarantined.
func runPoison(seed uint64, tellStrikes bool) (crashes, quarantined int) {
	f := newFleet(fleetConfig{seed: seed, entries: 3, targets: 6, kind: contract.WorkDraft, capacity: 4})
	f.strikes = tellStrikes
	f.world.onCrash = func(t *target) {
		t.kill()
		go func() {
			time.Sleep(200 * time.Millisecond)
			t.start()
		}()
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	const innocents = 12
	for i := range innocents {
		wg.Go(func() {
			time.Sleep(f.random.upTo(800 * time.Millisecond))
			c := &drafter{fleet: f, organisation: "muscat", body: fmt.Sprintf("brief %d", i)}
			c.run()
			mu.Lock()
			defer mu.Unlock()
			if c.result.Failure != nil && c.result.Failure.Kind == contract.KindQuarantined {
				quarantined++
			}
		})
	}
	for range 2 {
		for _, e := range f.entries {
			r := dispatch.Request{
				Organisation: "muscat", Kind: contract.WorkDraft, Serves: serves, Body: []byte(crashMarker),
				Deadline: time.Now().Add(8 * time.Second),
			}
			e.call(r, func(d *dispatch.Dispatcher, ctx context.Context, r dispatch.Request) dispatch.Result {
				return d.Draft(ctx, r, func(string) {})
			})
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	f.stop()
	synctest.Wait()
	return f.world.crashes, quarantined
}

func TestPoisonKillsAtMostTwoTargets(t *testing.T) {
	counts := newTally()
	forSeeds(t, schedules(), func(t *testing.T, seed uint64) {
		crashes, innocents := runPoison(seed, true)
		is.New(t).True(crashes <= 2) // no third target dies
		counts.add("innocent drafts quarantined", innocents)
	})
	t.Logf("%v of %d", counts, 12*schedules())
}

// TestUntoldStrikesKillMore shows that the check has teeth: entries that keep
// their strikes to themselves let each kill its own two targets.
func TestUntoldStrikesKillMore(t *testing.T) {
	counts := newTally()
	forSeeds(t, 20, func(_ *testing.T, seed uint64) {
		if crashes, _ := runPoison(seed, false); crashes > 2 {
			counts.add("more than two", 1)
		}
	})
	is.New(t).True(counts.of("more than two") > 0)
	t.Logf("targets died: %v of 20 schedules", counts)
}
