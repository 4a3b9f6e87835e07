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

// runPoison sends one request that kills each target that runs it, among drafts of
// other callers. The caller of the request sends it again through every entry in
// turn. runPoison returns how many targets were killed and how many of the other
// drafts were refused as quarantined. With shareStrikes, entries tell each other
// which targets died while they ran which request (strikes).
func runPoison(seed uint64, shareStrikes bool) (crashes, quarantined int) {
	f := newFleet(fleetConfig{seed: seed, entries: 3, targets: 6, kind: contract.WorkDraft, capacity: 4})
	f.shareStrikes = shareStrikes
	f.executor.onCrash = func(t *target) {
		t.kill()
		go func() {
			time.Sleep(200 * time.Millisecond)
			t.start()
		}()
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	const otherDrafts = 12
	for i := range otherDrafts {
		wg.Go(func() {
			time.Sleep(f.random.upTo(800 * time.Millisecond))
			c := &draftCaller{fleet: f, organisation: "muscat", body: fmt.Sprintf("brief %d", i)}
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
				Organisation: "muscat", Kind: contract.WorkDraft, ServiceName: serviceName, Body: []byte(crashMarker),
				Deadline: time.Now().Add(8 * time.Second),
			}
			e.call(r, func(d *dispatch.Dispatcher, ctx context.Context, r dispatch.Request) dispatch.Result {
				return d.RunRepeatable(ctx, r, func(string) {})
			})
		}
	}
	wg.Wait()
	time.Sleep(time.Second)
	f.stop()
	synctest.Wait()
	return f.executor.crashes, quarantined
}

// TestPoisonRequestKillsAtMostTwoTargets guards against a request that kills one
// target after another, because it is retried elsewhere or because its caller sends
// it again through other entries.
func TestPoisonRequestKillsAtMostTwoTargets(t *testing.T) {
	counts := newTally()
	forSeeds(t, schedules(), func(t *testing.T, seed uint64) {
		crashes, quarantined := runPoison(seed, true)
		is.New(t).True(crashes <= 2) // no third target is killed
		counts.add("other drafts quarantined", quarantined)
	})
	t.Logf("%v of %d", counts, 12*schedules()) // each schedule has 12 other drafts
}

// TestUnsharedStrikesKillMoreTargets checks that the schedules can detect a third
// killed target. Entries that do not share their strikes each let the request kill
// two targets.
func TestUnsharedStrikesKillMoreTargets(t *testing.T) {
	counts := newTally()
	forSeeds(t, 20, func(_ *testing.T, seed uint64) {
		if crashes, _ := runPoison(seed, false); crashes > 2 {
			counts.add("more than two", 1)
		}
	})
	is.New(t).True(counts.count("more than two") > 0)
	t.Logf("schedules in which the request killed more than two targets: %v of 20", counts)
}

// runPoisonPrefix sends drafts with prompts of their own through all entries. Those of every third
// caller begin with a prefix that kills each target that begins to answer it. It returns how many
// targets were killed, and how many of the sound drafts, and how many were done.
func runPoisonPrefix(seed uint64, shareParts bool) (crashes, sound, done int) {
	f := newFleet(fleetConfig{seed: seed, entries: 3, targets: 6, kind: contract.WorkDraft, capacity: 4})
	f.shareParts = shareParts
	f.executor.onCrash = func(t *target) {
		t.kill()
		go func() {
			time.Sleep(200 * time.Millisecond)
			t.start()
		}()
	}
	const drafts = 30
	const soundPrefix, poisonPrefix = 1, 2
	for i := range drafts {
		body, prefix := fmt.Sprintf("brief %d", i), uint64(soundPrefix)
		if i%3 == 2 {
			body, prefix = fmt.Sprintf("%s %d", crashMarker, i), poisonPrefix
		}
		r := dispatch.Request{
			Organisation: "muscat", Kind: contract.WorkDraft, ServiceName: serviceName, Body: []byte(body), Prefix: prefix,
			Deadline: time.Now().Add(8 * time.Second),
		}
		result, _ := f.entries[(i/3+i)%len(f.entries)].call(r, func(d *dispatch.Dispatcher, ctx context.Context, r dispatch.Request) dispatch.Result {
			return d.RunRepeatable(ctx, r, func(string) {})
		})
		if prefix == soundPrefix {
			sound++
			if result.Outcome == contract.OutcomeDone {
				done++
			}
		}
		time.Sleep(f.random.upTo(200 * time.Millisecond))
	}
	time.Sleep(time.Second)
	f.stop()
	synctest.Wait()
	return f.executor.crashes, sound, done
}

// TestPoisonPrefixKillsAtMostTwoTargets guards against drafts that share nothing but the beginning
// of their prompts, which kills each target that begins to answer it.
func TestPoisonPrefixKillsAtMostTwoTargets(t *testing.T) {
	counts := newTally()
	forSeeds(t, schedules(), func(t *testing.T, seed uint64) {
		is := is.New(t)
		crashes, sound, done := runPoisonPrefix(seed, true)
		is.True(crashes <= 2)
		is.Equal(done, sound) // those of the same caller are all served
		counts.add("targets killed", crashes)
	})
	t.Logf("%v in %d schedules", counts, schedules())
}

// TestUnsharedPartsKillMoreTargets checks that the schedules can detect a third killed target.
func TestUnsharedPartsKillMoreTargets(t *testing.T) {
	counts := newTally()
	forSeeds(t, 20, func(_ *testing.T, seed uint64) {
		if crashes, _, _ := runPoisonPrefix(seed, false); crashes > 2 {
			counts.add("more than two", 1)
		}
	})
	is.New(t).True(counts.count("more than two") > 0)
}
