package proofs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/parts/contract"
)

// submission is one attempt of a caller to send its call, with the outcome that
// the caller received. The submissions are the recorded history of a call.
type submission struct {
	sentAt, answeredAt int64 // Unix nanoseconds, which order the events
	outcome            contract.Outcome
}

// caller sends one non-idempotent service call in the way that docs/CALLERS.md
// requires of callers.
type caller struct {
	fleet    *fleet
	id       string
	reserved bool // whether the call is sent under a reservation

	mu          sync.Mutex
	submissions []submission
	wrongAnswer string // the last wrong answer received, if any
}

// request returns the call, due in 3 s, under a reservation token, which may be empty.
func (c *caller) request(token string) dispatch.Request {
	return dispatch.Request{
		Organisation: "muscat", Class: contract.ClassInteractive, Kind: contract.WorkService, ServiceName: serviceName,
		Method: "POST", Path: "/confirm", Body: []byte(c.id), Reservation: token,
		Deadline: time.Now().Add(3 * time.Second),
	}
}

// callOnce runs a call that must not run twice.
func callOnce(d *dispatch.Dispatcher, ctx context.Context, r dispatch.Request) dispatch.Result {
	return d.RunOnce(ctx, r)
}

// submit sends the call once under a reservation token, which may be empty.
func (c *caller) submit(token string) contract.Outcome {
	return c.send(c.request(token))
}

// send sends the request once through a random entry and records the outcome.
func (c *caller) send(r dispatch.Request) contract.Outcome {
	e := c.fleet.entries[c.fleet.random.intN(len(c.fleet.entries))]
	s := submission{sentAt: time.Now().UnixNano(), outcome: contract.OutcomeUnknown}
	result, answered := e.call(r, callOnce)
	s.answeredAt = time.Now().UnixNano()
	if answered {
		s.outcome = result.Outcome
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submissions = append(c.submissions, s)
	if s.outcome == contract.OutcomeDone && string(result.Body) != string(expectedAnswer(r.Organisation, r.Body)) {
		c.wrongAnswer = "answer to another request: " + string(result.Body)
	}
	return s.outcome
}

// run sends the call. A call without a reservation is sent once. A call with one is
// sent until its outcome is known, in at most maxRounds rounds; some rounds first
// send it twice concurrently.
func (c *caller) run() {
	token := ""
	if c.reserved {
		token = c.reserve()
		if token == "" {
			return
		}
	}
	const maxRounds = 6
	for range maxRounds {
		if c.reserved && c.fleet.random.intN(3) == 0 {
			var wg sync.WaitGroup
			wg.Go(func() { c.submit(token) })
			c.submit(token)
			wg.Wait()
		}
		if c.submit(token) != contract.OutcomeUnknown || !c.reserved {
			return
		}
		time.Sleep(c.fleet.random.upTo(time.Second))
	}
}

// reserve returns the token of a new reservation, or an empty string if no entry
// granted one.
func (c *caller) reserve() string {
	const maxAttempts = 20
	for range maxAttempts {
		d, _ := c.fleet.entries[c.fleet.random.intN(len(c.fleet.entries))].current()
		if token, _, err := d.Reserve("muscat", serviceName, nil); err == nil {
			return token
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// countOutcome returns how many submissions had the outcome. It takes no lock, so
// all submissions must have ended.
func (c *caller) countOutcome(outcome contract.Outcome) int {
	n := 0
	for _, s := range c.submissions {
		if s.outcome == outcome {
			n++
		}
	}
	return n
}

// check checks the call's recorded history. It returns a description of the first
// violation, or an empty string. All submissions must have ended.
func (c *caller) check() string {
	effects := c.fleet.executor.effectCount(c.id)
	switch {
	case c.wrongAnswer != "":
		return c.wrongAnswer
	case effects > 1:
		return fmt.Sprintf("call ran %d times instead of at most once", effects)
	case c.countOutcome(contract.OutcomeNotRun) > 0 && effects > 0:
		return "reported as not run, but it ran"
	case c.countOutcome(contract.OutcomeDone) > 0 && effects == 0:
		return "reported as done, but it did not run"
	case c.reserved && !porcupine.CheckOperations(reservationModel, c.porcupineOperations()):
		return fmt.Sprintf("no order of the submissions explains their outcomes: %+v", c.submissions)
	}
	return ""
}

// porcupineOperations returns the recorded history in porcupine's terms.
func (c *caller) porcupineOperations() []porcupine.Operation {
	var ops []porcupine.Operation
	for i, s := range c.submissions {
		ops = append(ops, porcupine.Operation{ClientId: i, Input: nil, Call: s.sentAt, Output: s.outcome, Return: s.answeredAt})
	}
	return ops
}

// reservationModel is the sequential model of one reservation: fresh at first,
// then either used (the call is done) or voided (it never runs) for good. The state
// is the first known outcome, and OutcomeUnknown as long as there is none.
var reservationModel = porcupine.Model{
	Init: func() any { return contract.OutcomeUnknown },
	Step: func(state, _, output any) (bool, any) {
		if output == contract.OutcomeUnknown {
			return true, state // allows any state; later outcomes must agree with each other
		}
		return state == contract.OutcomeUnknown || state == output, output
	},
}

// injectFaults injects one random fault after another until stop is closed. It
// draws from the first kindCount kinds of fault (see injectFault), and waits for
// each fault to end.
func (f *fleet) injectFaults(stop <-chan struct{}, kindCount int) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(f.random.upTo(300 * time.Millisecond)):
		}
		f.injectFault(f.random.intN(kindCount))
	}
}

// injectFault injects one fault and returns once the fault has ended: 0 cuts the
// connections between an entry and a target, 1 kills a target, 2 freezes a target,
// 3 kills an entry, 4 freezes an entry.
func (f *fleet) injectFault(kind int) {
	t := f.targets[f.random.intN(len(f.targets))]
	e := f.entries[f.random.intN(len(f.entries))]
	pause := f.random.upTo(600 * time.Millisecond)
	switch kind {
	case 0:
		f.net.cut(e.name, t.name)
	case 1:
		t.kill()
		time.Sleep(pause)
		t.start()
	case 2:
		f.net.freeze(t.name, true)
		time.Sleep(4 * pause)
		f.net.freeze(t.name, false)
	case 3:
		e.kill()
		time.Sleep(pause)
		e.start()
	case 4:
		f.net.freeze(e.name, true)
		time.Sleep(2 * pause)
		f.net.freeze(e.name, false)
	}
}

// faultKindCount is the number of kinds that injectFault handles.
const faultKindCount = 5

// runCalls runs one schedule of concurrent callers, half of them with a
// reservation. Each caller sends its call with send. With withFaults, services are
// faulty and one or two sequences of faults run at the same time.
func runCalls(seed uint64, withFaults bool, send func(c *caller)) []*caller {
	f := newFleet(fleetConfig{seed: seed, entries: 2, targets: 3, kind: contract.WorkService, capacity: 2})
	f.executor.faulty = withFaults
	var callers []*caller
	var faults, wg sync.WaitGroup
	stop := make(chan struct{})
	if withFaults {
		for range 1 + f.random.intN(2) {
			faults.Go(func() { f.injectFaults(stop, faultKindCount) })
		}
	}
	const calls = 12
	for i := range calls {
		c := &caller{fleet: f, id: fmt.Sprintf("call-%d", i), reserved: i%2 == 0}
		callers = append(callers, c)
		wg.Go(func() {
			time.Sleep(f.random.upTo(time.Second))
			send(c)
		})
	}
	wg.Wait()
	close(stop)
	faults.Wait()
	time.Sleep(5 * time.Second) // calls still in transit take effect
	f.stop()
	synctest.Wait()
	return callers
}

// TestCallsRunAtMostOnce guards against a call that runs twice, and against an
// outcome that contradicts what ran. Either could happen when a caller sends a
// call again, through another entry or twice concurrently, while targets and
// entries are killed or frozen, connections are cut and services lose answers.
func TestCallsRunAtMostOnce(t *testing.T) {
	outcomes := newTally()
	forSeeds(t, schedules(), func(t *testing.T, seed uint64) {
		for _, c := range runCalls(seed, true, (*caller).run) {
			if violation := c.check(); violation != "" {
				t.Fatalf("%s: %s", c.id, violation)
			}
			for _, s := range c.submissions {
				outcomes.add(string(s.outcome), 1)
			}
		}
	})
	t.Logf("outcomes of submissions under faults: %v", outcomes)
}

// TestCallsSucceedWithoutFaults guards against a system that is safe only because
// it refuses calls or loses track of them: without faults, every submission must
// end as done.
func TestCallsSucceedWithoutFaults(t *testing.T) {
	forSeeds(t, 50, func(t *testing.T, seed uint64) {
		for _, c := range runCalls(seed, false, (*caller).run) {
			is := is.New(t)
			is.Equal(c.check(), "")
			is.Equal(c.countOutcome(contract.OutcomeDone), len(c.submissions))
		}
	})
}

// TestRetryOnTimeoutRunsTwice checks that the schedules can detect a call that
// runs twice. It uses a naive policy, which treats the call as repeatable, so that it
// is retried on another target when the answer was lost.
func TestRetryOnTimeoutRunsTwice(t *testing.T) {
	retryOnTimeout := func(c *caller) {
		r := c.request("")
		c.fleet.entries[0].call(r, func(d *dispatch.Dispatcher, ctx context.Context, r dispatch.Request) dispatch.Result {
			return d.RunRepeatable(ctx, r, func(string) {})
		})
	}
	counts := newTally()
	forSeeds(t, 60, func(_ *testing.T, seed uint64) {
		for _, c := range runCalls(seed, true, retryOnTimeout) {
			counts.add("calls", 1)
			if c.fleet.executor.effectCount(c.id) > 1 {
				counts.add("twice", 1)
			}
		}
	})
	is.New(t).True(counts.count("twice") > 0)
	t.Logf("retry on timeout: %v", counts)
}
