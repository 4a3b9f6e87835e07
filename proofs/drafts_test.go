package proofs

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/parts/contract"
)

// draftCaller requests one streamed draft and records the tokens and the result that
// it received.
type draftCaller struct {
	fleet        *fleet
	organisation string
	body         string
	hangsUp      bool // whether the caller cancels its request after half of the tokens

	answered bool // false if the entry was killed before it answered
	result   dispatch.Result
	tokens   []string
}

func (c *draftCaller) run() {
	e := c.fleet.entries[c.fleet.random.intN(len(c.fleet.entries))]
	r := dispatch.Request{
		Organisation: c.organisation, Class: contract.ClassInteractive, Kind: contract.WorkDraft, ServiceName: serviceName,
		Body: []byte(c.body), Stream: true, Deadline: time.Now().Add(8 * time.Second),
	}
	c.result, c.answered = e.call(r, func(d *dispatch.Dispatcher, ctx context.Context, r dispatch.Request) dispatch.Result {
		ctx, hangUp := context.WithCancel(ctx)
		defer hangUp()
		return d.RunRepeatable(ctx, r, func(token string) {
			c.tokens = append(c.tokens, token)
			if c.hangsUp && len(c.tokens) == draftLength/2 {
				hangUp()
			}
		})
	})
}

// started reports whether an engine started the draft.
func (c *draftCaller) started() bool {
	c.fleet.executor.mu.Lock()
	defer c.fleet.executor.mu.Unlock()
	return c.fleet.executor.draftsStarted[c.organisation+" "+c.body]
}

// check checks what the caller received. It returns a description of the
// first violation, or an empty string. The received tokens must be the beginning of
// the caller's own answer, all from one model version.
func (c *draftCaller) check() string {
	version := ""
	for i, got := range c.tokens {
		if version == "" {
			parts := strings.Split(got, "/")
			version = parts[len(parts)-2]
		}
		if want := expectedToken(c.organisation, []byte(c.body), version, i); got != want {
			return fmt.Sprintf("token %d is %q instead of %q", i, got, want)
		}
	}
	if c.answered && c.result.Outcome == contract.OutcomeNotRun && c.started() {
		return "reported as not run, but an engine started it"
	}
	if c.answered && c.result.Outcome == contract.OutcomeDone && len(c.tokens) != draftLength {
		return fmt.Sprintf("reported as done with %d of %d tokens", len(c.tokens), draftLength)
	}
	return ""
}

// runDrafts runs one schedule of drafts of two organisations with the same bodies,
// over targets of two model versions. withFaults injects faults and lets one caller in
// four hang up.
func runDrafts(seed uint64, withFaults bool) []*draftCaller {
	f := newFleet(fleetConfig{
		seed: seed, entries: 2, targets: 4, kind: contract.WorkDraft, capacity: 4, versions: []string{"v1", "v2"},
	})
	f.executor.maxDelay = 400 * time.Millisecond
	var callers []*draftCaller
	var faults, wg sync.WaitGroup
	stop := make(chan struct{})
	if withFaults {
		faults.Go(func() { f.injectFaults(stop, faultKindCount) })
	}
	const drafts = 12
	for i := range drafts {
		c := &draftCaller{
			fleet: f, organisation: []string{"muscat", "nizwa"}[i%2], body: fmt.Sprintf("brief %d", i/2),
			hangsUp: withFaults && f.random.intN(4) == 0,
		}
		callers = append(callers, c)
		wg.Go(func() {
			time.Sleep(f.random.upTo(time.Second))
			c.run()
		})
	}
	wg.Wait()
	close(stop)
	faults.Wait()
	f.stop()
	synctest.Wait()
	return callers
}

// TestDraftsReachCallersIntact guards against an answer with missing, repeated or
// another request's tokens, or with tokens of two model versions. These could come about
// when a draft resumes on another target because its target was killed, frozen or
// cut off, while another organisation sends an equal body.
func TestDraftsReachCallersIntact(t *testing.T) {
	counts := newTally()
	forSeeds(t, schedules(), func(t *testing.T, seed uint64) {
		for _, c := range runDrafts(seed, true) {
			if violation := c.check(); violation != "" {
				t.Fatalf("%s of %s: %s", c.body, c.organisation, violation)
			}
			if c.answered && !c.hangsUp {
				counts.add(string(c.result.Outcome), 1)
			}
			if c.result.Attempts > 1 {
				counts.add("resumed", 1)
			}
		}
	})
	is.New(t).True(counts.count("resumed") > 0) // some drafts were indeed resumed
	t.Logf("drafts under faults: %v", counts)
}

// TestDraftsSucceedWithoutFaults guards against a system that is safe only because
// it refuses drafts: without faults, every draft must end as done.
func TestDraftsSucceedWithoutFaults(t *testing.T) {
	forSeeds(t, 50, func(t *testing.T, seed uint64) {
		for _, c := range runDrafts(seed, false) {
			is := is.New(t)
			is.Equal(c.check(), "")
			is.Equal(c.result.Outcome, contract.OutcomeDone)
		}
	})
}

// restartDraft runs one draft under a naive policy: it tries one target after
// another until one completes the draft, each attempt starts from the first token,
// and the caller receives the tokens of every attempt.
func restartDraft(f *fleet) *draftCaller {
	c := &draftCaller{fleet: f, organisation: "muscat", body: "brief"}
	for _, t := range f.targets {
		call := contract.Call{
			Attempt: t.name, Organisation: c.organisation, Kind: contract.WorkDraft, ServiceName: serviceName,
			Body: []byte(c.body), Deadline: time.Now().Add(8 * time.Second),
		}
		answer, err := f.entries[0].pool.Run(context.Background(), t.name, call, func(frame contract.Frame) {
			c.tokens = append(c.tokens, frame.Token)
		})
		if err == nil && answer.Outcome == contract.OutcomeDone {
			break
		}
	}
	return c
}

// TestRestartedDraftMixesAnswers checks that the schedules can detect a wrong answer,
// by running the naive policy of restartDraft.
func TestRestartedDraftMixesAnswers(t *testing.T) {
	counts := newTally()
	forSeeds(t, 40, func(_ *testing.T, seed uint64) {
		f := newFleet(fleetConfig{seed: seed, entries: 1, targets: 4, kind: contract.WorkDraft, capacity: 4, versions: []string{"v1", "v2"}})
		f.executor.maxDelay = 400 * time.Millisecond
		stop := make(chan struct{})
		var faults sync.WaitGroup
		faults.Go(func() { f.injectFaults(stop, 3) }) // without the faults that kill or freeze the entry
		if restartDraft(f).check() != "" {
			counts.add("mixed", 1)
		}
		close(stop)
		faults.Wait()
		f.stop()
		synctest.Wait()
	})
	is.New(t).True(counts.count("mixed") > 0)
	t.Logf("restarting drafts gave a wrong answer: %v of 40", counts)
}

// TestRefusedRetryIsNotReportedNotRun guards against a draft that started and is
// reported as not run. It kills the target that runs the draft while the only
// other target refuses new work, so that the last attempt is refused.
func TestRefusedRetryIsNotReportedNotRun(t *testing.T) {
	forSeeds(t, 20, func(t *testing.T, seed uint64) {
		f := newFleet(fleetConfig{seed: seed, entries: 1, targets: 2, kind: contract.WorkDraft, capacity: 4})
		f.executor.maxDelay = 400 * time.Millisecond
		f.targets[1].process.gate.Drain() // the entry has not been notified yet
		c := &draftCaller{fleet: f, organisation: "muscat", body: "brief"}
		var wg sync.WaitGroup
		wg.Go(c.run)
		time.Sleep(150 * time.Millisecond)
		f.targets[0].kill()
		wg.Wait()
		f.stop()
		synctest.Wait()
		is := is.New(t)
		is.Equal(c.check(), "")
		is.True(c.result.Outcome != contract.OutcomeNotRun || !c.started())
	})
}
