package proofs

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/contract"
)

// quietAfter is how soon a leaving target must receive no new work.
const quietAfter = 2 * time.Second

// runRolling replaces every target gracefully, one after another, under load,
// while the host list says nothing of it. stopTarget makes one stop.
func runRolling(seed uint64, kind contract.WorkKind, stopTarget func(t *target)) (late string, failed []string) {
	f := newFleet(fleetConfig{seed: seed, entries: 2, targets: 2, kind: kind, capacity: 8})
	stopped := map[string][2]time.Time{} // when it began to leave, and when it was replaced
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 3 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("work-%d-%d", i, n)
				time.Sleep(f.random.upTo(150 * time.Millisecond))
				if problem := oneRequest(f, kind, id); problem != "" {
					mu.Lock()
					failed = append(failed, id+": "+problem)
					mu.Unlock()
				}
			}
		})
	}
	for _, t := range f.targets {
		time.Sleep(f.random.upTo(500 * time.Millisecond))
		began := time.Now()
		stopTarget(t)
		time.Sleep(2500 * time.Millisecond)
		stopped[t.name] = [2]time.Time{began.Add(quietAfter), time.Now()}
		t.start()
		time.Sleep(2 * time.Second) // entries link again
	}
	close(stop)
	wg.Wait()
	f.stop()
	synctest.Wait()
	for name, span := range stopped {
		for _, at := range f.world.starts[name] {
			if at.After(span[0]) && at.Before(span[1]) {
				late = fmt.Sprintf("%s began work %v after it began to leave", name, at.Sub(span[0])+quietAfter)
			}
		}
	}
	return late, failed
}

// oneRequest says why a request did not end done, or nothing.
func oneRequest(f *fleet, kind contract.WorkKind, id string) string {
	if kind == contract.WorkDraft {
		c := &drafter{fleet: f, organisation: "muscat", body: id}
		c.run()
		if problem := c.check(); problem != "" || c.result.Outcome == contract.OutcomeDone {
			return problem
		}
		return fmt.Sprintf("%s %v", c.result.Outcome, c.result.Failure)
	}
	c := &caller{fleet: f, id: id}
	if c.present("") == contract.OutcomeDone {
		return c.wrong
	}
	return fmt.Sprintf("%+v", c.presentations)
}

func TestRollingReplacementLosesNothing(t *testing.T) {
	forSeeds(t, schedules(), func(t *testing.T, seed uint64) {
		kind := []contract.WorkKind{contract.WorkDraft, contract.WorkService}[seed%2]
		late, failed := runRolling(seed, kind, (*target).leave)
		is := is.New(t)
		is.Equal(late, "")              // no new work after a few seconds
		is.Equal(failed, []string(nil)) // nothing cut off, nobody refused
	})
}

// TestStoppingAtOnceLosesWork shows that the check has teeth.
func TestStoppingAtOnceLosesWork(t *testing.T) {
	counts := newTally()
	forSeeds(t, 20, func(_ *testing.T, seed uint64) {
		_, failed := runRolling(seed, contract.WorkService, (*target).kill)
		counts.add("lost", len(failed))
	})
	is.New(t).True(counts.of("lost") > 0)
	t.Logf("stopping at once: %v in 20 schedules", counts)
}
