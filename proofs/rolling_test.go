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

// drainNotice is the time after the start of a drain from which the target must
// receive no new work.
const drainNotice = 2 * time.Second

// runRollingReplacement replaces all targets, one after another, under load, while
// the host list does not change. stopTarget stops one target. runRollingReplacement
// returns a description of one piece of work that started too late on a draining
// target, or an empty string, and the requests that did not end as done.
func runRollingReplacement(seed uint64, kind contract.WorkKind, stopTarget func(t *target)) (lateStart string, failed []string) {
	f := newFleet(fleetConfig{seed: seed, entries: 2, targets: 2, kind: kind, capacity: 8})
	// Per target, the time from drainNotice after its drain started until its
	// replacement starts.
	noWorkWindows := map[string][2]time.Time{}
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
				if problem := sendRequest(f, kind, id); problem != "" {
					mu.Lock()
					failed = append(failed, id+": "+problem)
					mu.Unlock()
				}
			}
		})
	}
	for _, t := range f.targets {
		time.Sleep(f.random.upTo(500 * time.Millisecond))
		drainStart := time.Now()
		stopTarget(t)
		time.Sleep(2500 * time.Millisecond) // past drainNotice, so that late work would show
		noWorkWindows[t.name] = [2]time.Time{drainStart.Add(drainNotice), time.Now()}
		t.start()
		time.Sleep(2 * time.Second) // entries connect again
	}
	close(stop)
	wg.Wait()
	f.stop()
	synctest.Wait()
	for name, window := range noWorkWindows {
		for _, start := range f.executor.workStarts[name] {
			if start.After(window[0]) && start.Before(window[1]) {
				lateStart = fmt.Sprintf("%s started work %v after its drain started", name, start.Sub(window[0])+drainNotice)
			}
		}
	}
	return lateStart, failed
}

// sendRequest sends one request and returns a description of why it did not end as
// done, or an empty string.
func sendRequest(f *fleet, kind contract.WorkKind, id string) string {
	if kind == contract.WorkDraft {
		c := &draftCaller{fleet: f, organisation: "muscat", body: id}
		c.run()
		if problem := c.check(); problem != "" || c.result.Outcome == contract.OutcomeDone {
			return problem
		}
		return fmt.Sprintf("%s %v", c.result.Outcome, c.result.Failure)
	}
	c := &caller{fleet: f, id: id}
	if c.submit("") == contract.OutcomeDone {
		return c.wrongAnswer
	}
	return fmt.Sprintf("%+v", c.submissions)
}

// TestRollingReplacementLosesNoRequests guards against requests that are cut off or
// refused because their target drains, and against new work on a target later than
// drainNotice after its drain started. Either could happen when an entry is notified late of the drain.
func TestRollingReplacementLosesNoRequests(t *testing.T) {
	forSeeds(t, schedules(), func(t *testing.T, seed uint64) {
		kind := []contract.WorkKind{contract.WorkDraft, contract.WorkService}[seed%2]
		lateStart, failed := runRollingReplacement(seed, kind, (*target).drain)
		is := is.New(t)
		is.Equal(lateStart, "")         // no new work later than drainNotice
		is.Equal(failed, []string(nil)) // no request was cut off or refused
	})
}

// TestAbruptStopLosesRequests checks that the schedules can detect a lost request, by
// killing targets instead of draining them.
func TestAbruptStopLosesRequests(t *testing.T) {
	counts := newTally()
	forSeeds(t, 20, func(_ *testing.T, seed uint64) {
		_, failed := runRollingReplacement(seed, contract.WorkService, (*target).kill)
		counts.add("lost", len(failed))
	})
	is.New(t).True(counts.count("lost") > 0)
	t.Logf("requests with abrupt stops: %v in 20 schedules", counts)
}
