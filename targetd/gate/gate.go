// Package gate controls all access to the engine or service beside a target daemon: it
// admits calls and runs them, a call under a reservation at most once, and drains the target.
// Decisions that only one process may make, such as whether a reservation is used for the first
// time, are made here, because no other process runs the target's calls.
package gate

import (
	"context"
	"sync"
	"time"

	"camphormill.dev/parts/admission"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/reservation"
)

// Work runs a call at the engine or service. For a call of kind contract.WorkDraft it passes
// each token to emit.
type Work func(ctx context.Context, call contract.Call, emit func(token string)) contract.Answer

// Config configures a Gate.
type Config struct {
	Target      string // name of the target
	Incarnation string // identifies this process of the target
	Kind        contract.WorkKind
	ServiceName string // the gate refuses calls for another service
	Version     string // the gate refuses calls for another version, but not calls for any version
	Capacity    int    // number of slots
	Signer      reservation.Signer
	Ledger      *reservation.Ledger // for use by the gate only, which locks it
	Work        Work
	Now         func() time.Time
	// Weight returns the weight of an organisation: when the target is full, organisations get
	// slots in proportion to their weights. If Weight is nil, all weights are equal.
	Weight func(organisation string) float64
}

// Gate admits and runs calls for one target. It is safe for concurrent use.
type Gate struct {
	config Config

	frames *frameWriters

	mu             sync.Mutex // guards the fields below
	ledger         *reservation.Ledger
	queue          *admission.Queue
	queuedAttempts map[string]chan contract.Answer // by attempt; receives one answer, and one without a failure admits the attempt
	reservedRuns   map[string]chan struct{}        // by reservation ID; closed when the run has ended
	cancels        map[string]context.CancelFunc   // by attempt; only of running calls without a reservation
	draining       bool
	inflight       int           // number of calls that hold a slot
	idle           chan struct{} // closed once the gate is draining and no call is in flight

	ending  context.Context // ends all running calls
	endRuns context.CancelFunc
}

// New returns a gate that admits calls until Drain is called.
func New(c Config) *Gate {
	ending, endRuns := context.WithCancel(context.Background())
	return &Gate{
		config:         c,
		frames:         newFrameWriters(),
		ledger:         c.Ledger,
		queue:          admission.NewQueue(c.Capacity),
		queuedAttempts: map[string]chan contract.Answer{},
		reservedRuns:   map[string]chan struct{}{},
		cancels:        map[string]context.CancelFunc{},
		idle:           make(chan struct{}),
		ending:         ending,
		endRuns:        endRuns,
	}
}

// Run runs a call and returns its final answer. The end of ctx cancels a call without a
// reservation, since such a call may be repeated. A call under a reservation continues without
// its caller, since its answer is retained.
func (g *Gate) Run(ctx context.Context, call contract.Call, emit func(token string)) contract.Answer {
	if f := g.checkServed(call); f != nil {
		return g.withReportedLoad(contract.NotRunAnswer(f))
	}
	if call.Reservation == "" {
		return g.withReportedLoad(g.admitAndRun(ctx, call, emit))
	}
	return g.withReportedLoad(g.runReserved(ctx, call, emit))
}

// checkServed returns a failure if the target does not serve the call's service and version. A
// call without a version accepts any.
func (g *Gate) checkServed(call contract.Call) *contract.Failure {
	c := g.config
	if call.Kind == c.Kind && call.ServiceName == c.ServiceName && (call.Version == "" || call.Version == c.Version) {
		return nil
	}
	return contract.NewFailure(contract.KindNoTarget,
		"this target does not serve "+call.ServiceName+" "+call.Version, "send the call to another target")
}

// runReserved runs a call under a reservation at most once. A repeated call waits for the end of
// the run; on the next turn of the loop it gets the answer that the ledger holds.
func (g *Gate) runReserved(ctx context.Context, call contract.Call, emit func(token string)) contract.Answer {
	claims, err := g.config.Signer.Verify(call.Reservation)
	if err != nil {
		return contract.NotRunAnswer(contract.AsFailure(err))
	}
	bodyFingerprint := quarantine.Fingerprint(call.Method+" "+call.Path, call.ServiceName, call.Body)
	for {
		g.mu.Lock()
		decision, answer := g.ledger.Begin(g.config.Now(), claims, call.Organisation, bodyFingerprint)
		ended := g.reservedRuns[claims.ID]
		if decision == reservation.DecisionStart {
			g.reservedRuns[claims.ID] = make(chan struct{})
		}
		g.mu.Unlock()
		switch decision {
		case reservation.DecisionStart:
			return g.runStarted(ctx, claims, call, emit)
		case reservation.DecisionWait:
			if f := waitForRun(ctx, ended); f != nil {
				return contract.UnknownAnswer(f)
			}
		default:
			return answer
		}
	}
}

// waitForRun returns nil when ended is closed, or a failure if ctx ends first.
func waitForRun(ctx context.Context, ended <-chan struct{}) *contract.Failure {
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return contract.NewFailure(contract.KindDeadline,
			"the call is still running", "present the same reservation again")
	}
}

// runStarted runs a call that the ledger has started, and records its answer in the ledger.
func (g *Gate) runStarted(ctx context.Context, claims reservation.Claims, call contract.Call, emit func(token string)) contract.Answer {
	// The end of ctx removes the call from the queue, but does not cancel its work.
	answer := g.admitAndRun(ctx, call, emit)
	g.mu.Lock()
	g.ledger.Finish(g.config.Now(), claims.ID, answer)
	close(g.reservedRuns[claims.ID])
	delete(g.reservedRuns, claims.ID)
	g.mu.Unlock()
	return answer
}

// admitAndRun waits for a slot and runs the call in it. A call that gets no slot is answered as
// not run.
func (g *Gate) admitAndRun(ctx context.Context, call contract.Call, emit func(token string)) contract.Answer {
	if f := g.admit(ctx, call); f != nil {
		return contract.NotRunAnswer(f)
	}
	start := g.config.Now()
	if g.ending.Err() != nil { // it left the queue because others were ended
		g.release(call.Attempt, 0)
		return contract.NotRunAnswer(drainingFailure())
	}
	workCtx, cancel := g.workContext(ctx, call)
	answer := g.config.Work(workCtx, call, emit)
	cancel()
	g.release(call.Attempt, g.config.Now().Sub(start))
	if g.ending.Err() != nil && answer.Outcome != contract.OutcomeDone {
		answer = contract.Answer{Outcome: answer.Outcome, Failure: endedFailure()}
	}
	return answer
}

// workContext returns the context for the work of a call, which EndRuns ends, and records its cancel function for
// Cancel. The context of a call under a reservation does not end with ctx, and Cancel does not
// reach it.
func (g *Gate) workContext(ctx context.Context, call contract.Call) (context.Context, context.CancelFunc) {
	if call.Reservation != "" {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	if call.Reservation == "" {
		g.mu.Lock()
		g.cancels[call.Attempt] = cancel
		g.mu.Unlock()
	}
	unlink := context.AfterFunc(g.ending, cancel)
	return ctx, func() {
		unlink()
		cancel()
	}
}

// admit returns nil once the call holds a slot, which the caller must release. It returns the
// failure if the call is refused or leaves the queue without a slot.
func (g *Gate) admit(ctx context.Context, call contract.Call) *contract.Failure {
	request := admission.Request{
		ID:           call.Attempt,
		Organisation: call.Organisation,
		Weight:       g.weight(call.Organisation),
		Class:        call.Class,
		Deadline:     call.Deadline,
	}
	now := g.config.Now()
	g.mu.Lock()
	if g.draining {
		g.mu.Unlock()
		return drainingFailure()
	}
	if call.NoWait && !g.queue.HasFreeSlot() {
		g.mu.Unlock()
		return contract.NewFailure(contract.KindBusy, "the target has no free slot", "send the call to another target")
	}
	decision, retryAt := g.queue.Offer(now, request)
	answers := make(chan contract.Answer, 1)
	switch decision {
	case admission.DecisionRun:
		g.inflight++
	case admission.DecisionWait:
		g.queuedAttempts[call.Attempt] = answers
	}
	g.mu.Unlock()
	switch decision {
	case admission.DecisionRun:
		return nil
	case admission.DecisionRefuse:
		return contract.NewFailure(contract.KindOverloaded,
			"the target cannot start the request before its deadline", "retry after the given time").WithRetryAt(retryAt)
	}
	return g.waitInQueue(ctx, call, answers)
}

func (g *Gate) weight(organisation string) float64 {
	if g.config.Weight == nil {
		return 1
	}
	return g.config.Weight(organisation)
}

// waitInQueue waits until the gate has decided on a queued call, until its deadline or until the
// end of ctx, and returns what admit returns.
func (g *Gate) waitInQueue(ctx context.Context, call contract.Call, answers chan contract.Answer) *contract.Failure {
	timer := time.NewTimer(call.Deadline.Sub(g.config.Now()))
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer.Failure
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	removed := g.queue.Remove(call.Attempt)
	delete(g.queuedAttempts, call.Attempt)
	g.mu.Unlock()
	if !removed {
		// The attempt left the queue in the meantime, because the gate had decided on it. That
		// decision is final.
		return (<-answers).Failure
	}
	return contract.NewFailure(contract.KindDeadline,
		"the deadline passed while the request was queued", "retry later or allow more time").
		WithRetryAt(g.config.Now())
}

// release frees the slot that a call held for the elapsed time, and gives it to the next queued
// attempt.
func (g *Gate) release(attempt string, elapsed time.Duration) {
	now := g.config.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.cancels, attempt)
	g.inflight--
	g.queue.Done(elapsed)
	g.admitNext(now)
	g.closeIfIdle()
}

// admitNext gives the free slots to queued attempts, and refuses attempts whose deadline has
// passed. The caller holds g.mu.
func (g *Gate) admitNext(now time.Time) {
	for {
		next, expired := g.queue.Next(now)
		for _, r := range expired {
			g.decide(r.ID, contract.NotRunAnswer(contract.NewFailure(contract.KindDeadline,
				"the deadline passed while the request was queued", "retry later or allow more time").WithRetryAt(now)))
		}
		if next == nil {
			return
		}
		g.inflight++
		g.decide(next.ID, contract.Answer{})
	}
}

// decide sends the decision on an attempt to the call that waits in the queue, if it still
// waits. The caller holds g.mu.
func (g *Gate) decide(attempt string, answer contract.Answer) {
	if answers, ok := g.queuedAttempts[attempt]; ok {
		delete(g.queuedAttempts, attempt)
		answers <- answer
	}
}

// Settle returns the state of a reservation, and voids the reservation if its call has not
// started. The state of a reservation with an invalid signature is unknown.
func (g *Gate) Settle(r contract.SettleRequest) contract.Settlement {
	claims, err := g.config.Signer.Verify(r.Reservation)
	if err != nil {
		return contract.Settlement{State: contract.SettleUnknown, Failure: contract.AsFailure(err)}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Settle(g.config.Now(), claims, r.Organisation)
}

// Cancel cancels the work of an attempt whose caller no longer waits. It has no effect on an
// attempt under a reservation, or on one whose work has not begun.
func (g *Gate) Cancel(r contract.CancelRequest) {
	g.mu.Lock()
	cancel := g.cancels[r.Attempt]
	g.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Drain starts to drain the gate: it refuses new and queued attempts, and returns a channel
// that is closed once no call is in flight. A further call returns the same channel.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return g.idle
	}
	g.draining = true
	for _, r := range g.queue.Flush() {
		g.decide(r.ID, contract.NotRunAnswer(drainingFailure()))
	}
	g.closeIfIdle()
	return g.idle
}

func drainingFailure() *contract.Failure {
	return contract.NewFailure(contract.KindLeaving, "the target is shutting down", "send the call to another target")
}

// EndRuns ends the work of all running calls. Their answers say that they may have run, unless their work is
// certain that they have not.
func (g *Gate) EndRuns() { g.endRuns() }

func endedFailure() *contract.Failure {
	return contract.NewFailure(contract.KindLeaving, "the target shut down while it ran the call",
		"send a repeatable call to another target; look up with the service whether any other took effect")
}

// closeIfIdle closes g.idle if the gate is draining and no call is in flight. The caller holds
// g.mu.
func (g *Gate) closeIfIdle() {
	if !g.draining || g.inflight > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// Load returns the target's load as the gate measures it. EngineMS is the smoothed time for
// which a call holds its slot.
func (g *Gate) Load() contract.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return contract.Load{
		Running:  g.queue.Running(),
		Queued:   g.queue.Queued(),
		Capacity: g.config.Capacity,
		EngineMS: float64(g.queue.ServiceTime()) / float64(time.Millisecond),
		Leaving:  g.draining,
	}
}

// withReportedLoad returns the answer with the target's current load. The caller does not hold
// g.mu.
func (g *Gate) withReportedLoad(a contract.Answer) contract.Answer {
	a.Load = g.Load()
	return a
}
