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

// drafter sends one streamed draft and keeps what it received.
type drafter struct {
	fleet        *fleet
	organisation string
	body         string
	leaves       bool // the caller hangs up in the middle

	answered bool
	result   dispatch.Result
	tokens   []string
}

func (c *drafter) run() {
	e := c.fleet.entries[c.fleet.random.intn(len(c.fleet.entries))]
	r := dispatch.Request{
		Organisation: c.organisation, Class: contract.ClassInteractive, Kind: contract.WorkDraft, Serves: serves,
		Body: []byte(c.body), Stream: true, Deadline: time.Now().Add(8 * time.Second),
	}
	c.result, c.answered = e.call(r, func(d *dispatch.Dispatcher, ctx context.Context, r dispatch.Request) dispatch.Result {
		ctx, hangUp := context.WithCancel(ctx)
		defer hangUp()
		return d.Draft(ctx, r, func(token string) {
			c.tokens = append(c.tokens, token)
			if c.leaves && len(c.tokens) == draftLength/2 {
				hangUp()
			}
		})
	})
}

// began says whether an engine began the draft.
func (c *drafter) began() bool {
	c.fleet.world.mu.Lock()
	defer c.fleet.world.mu.Unlock()
	return c.fleet.world.drafted[c.organisation+" "+c.body]
}

// check says what is wrong with what the caller received, or nothing. Whatever
// it received must be the beginning of its own answer, in one version.
func (c *drafter) check() string {
	version := ""
	for i, got := range c.tokens {
		if version == "" {
			parts := strings.Split(got, "/")
			version = parts[len(parts)-2]
		}
		if want := token(c.organisation, []byte(c.body), version, i); got != want {
			return fmt.Sprintf("token %d is %q instead of %q", i, got, want)
		}
	}
	if c.answered && c.result.Outcome == contract.OutcomeNotRun && c.began() {
		return "said not run, and an engine began it"
	}
	if c.answered && c.result.Outcome == contract.OutcomeDone && len(c.tokens) != draftLength {
		return fmt.Sprintf("done with %d tokens of %d", len(c.tokens), draftLength)
	}
	return ""
}

// runDrafts makes one schedule of drafts of two organisations with the same
// bodies, over targets of two versions.
func runDrafts(seed uint64, withFaults bool) []*drafter {
	f := newFleet(fleetConfig{
		seed: seed, entries: 2, targets: 4, kind: contract.WorkDraft, capacity: 4, versions: []string{"v1", "v2"},
	})
	f.world.slow = 400 * time.Millisecond
	var drafters []*drafter
	var faults, wg sync.WaitGroup
	stop := make(chan struct{})
	if withFaults {
		faults.Go(func() { f.faults(stop, faultKinds) })
	}
	const drafts = 12
	for i := range drafts {
		c := &drafter{
			fleet: f, organisation: []string{"muscat", "nizwa"}[i%2], body: fmt.Sprintf("brief %d", i/2),
			leaves: withFaults && f.random.intn(4) == 0,
		}
		drafters = append(drafters, c)
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
	return drafters
}

func TestDraftsReachTheirCallerWhole(t *testing.T) {
	counts := newTally()
	forSeeds(t, schedules(), func(t *testing.T, seed uint64) {
		for _, c := range runDrafts(seed, true) {
			if problem := c.check(); problem != "" {
				t.Fatalf("%s of %s: %s", c.body, c.organisation, problem)
			}
			if c.answered && !c.leaves {
				counts.add(string(c.result.Outcome), 1)
			}
			if c.result.Attempts > 1 {
				counts.add("resumed", 1)
			}
		}
	})
	is.New(t).True(counts.of("resumed") > 0) // the schedules reach the case
	t.Logf("drafts under faults: %v", counts)
}

func TestDraftsEndDoneWithoutFaults(t *testing.T) {
	forSeeds(t, 50, func(t *testing.T, seed uint64) {
		for _, c := range runDrafts(seed, false) {
			is := is.New(t)
			is.Equal(c.check(), "")
			is.Equal(c.result.Outcome, contract.OutcomeDone)
		}
	})
}

// startOver is the naive policy: it passes on every frame of every attempt and
// begins again from the first token.
func startOver(f *fleet) *drafter {
	c := &drafter{fleet: f, organisation: "muscat", body: "brief"}
	for _, t := range f.targets {
		call := contract.Call{
			Attempt: t.name, Organisation: c.organisation, Kind: contract.WorkDraft, Serves: serves,
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

// TestStartingOverMixesAnswers shows that the check has teeth.
func TestStartingOverMixesAnswers(t *testing.T) {
	counts := newTally()
	forSeeds(t, 40, func(_ *testing.T, seed uint64) {
		f := newFleet(fleetConfig{seed: seed, entries: 1, targets: 4, kind: contract.WorkDraft, capacity: 4, versions: []string{"v1", "v2"}})
		f.world.slow = 400 * time.Millisecond
		stop := make(chan struct{})
		var faults sync.WaitGroup
		faults.Go(func() { f.faults(stop, 3) })
		if startOver(f).check() != "" {
			counts.add("mixed", 1)
		}
		close(stop)
		faults.Wait()
		f.stop()
		synctest.Wait()
	})
	is.New(t).True(counts.of("mixed") > 0)
	t.Logf("starting over gave a wrong answer: %v of 40", counts)
}

// TestRefusedRetryIsNotNotRun kills the target that runs a draft while the only
// other one refuses new work: the draft began, so it must not end "not run".
func TestRefusedRetryIsNotNotRun(t *testing.T) {
	forSeeds(t, 20, func(t *testing.T, seed uint64) {
		f := newFleet(fleetConfig{seed: seed, entries: 1, targets: 2, kind: contract.WorkDraft, capacity: 4})
		f.world.slow = 400 * time.Millisecond
		f.targets[1].process.gate.Leave() // the entry has not heard of it
		c := &drafter{fleet: f, organisation: "muscat", body: "brief"}
		var wg sync.WaitGroup
		wg.Go(c.run)
		time.Sleep(150 * time.Millisecond)
		f.targets[0].kill()
		wg.Wait()
		f.stop()
		synctest.Wait()
		is := is.New(t)
		is.Equal(c.check(), "")
		is.True(c.result.Outcome != contract.OutcomeNotRun || !c.began())
	})
}
