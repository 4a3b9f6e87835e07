// Package gate is the single way into the engine or service beside a target
// daemon: it deduplicates, admits, runs and drains. Everything that must be
// exclusive is decided here, by the one process that does the work anyway.
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

// Work runs a call at the engine or service and emits the tokens of a draft.
type Work func(ctx context.Context, call contract.Call, emit func(token string)) contract.Answer

// Config is what a Gate is built from.
type Config struct {
	Target      string
	Incarnation string
	Kind        contract.WorkKind
	Serves      string
	Version     string
	Capacity    int
	Sealer      reservation.Sealer
	Ledger      *reservation.Ledger
	Work        Work
	Now         func() time.Time
	// Weight is an organisation's share when the target is full.
	Weight func(organisation string) float64
}

// Gate is safe for concurrent use.
type Gate struct {
	config Config

	frames *frameWriters

	mu       sync.Mutex
	ledger   *reservation.Ledger
	queue    *admission.Queue
	waiting  map[string]chan contract.Answer // by attempt; an empty answer admits
	running  map[string]chan struct{}        // by reservation id; closed at the end
	cancels  map[string]context.CancelFunc   // by attempt
	leaving  bool
	inflight int
	idle     chan struct{} // closed when leaving and nothing is in flight
}

// New returns a gate.
func New(c Config) *Gate {
	return &Gate{
		config:  c,
		frames:  newFrameWriters(),
		ledger:  c.Ledger,
		queue:   admission.NewQueue(c.Capacity),
		waiting: map[string]chan contract.Answer{},
		running: map[string]chan struct{}{},
		cancels: map[string]context.CancelFunc{},
		idle:    make(chan struct{}),
	}
}

// Run carries out a call and returns its final answer. For a call that may be
// repeated, ctx ends the work; one under a reservation goes on without its
// caller, since its answer is kept.
func (g *Gate) Run(ctx context.Context, call contract.Call, emit func(token string)) contract.Answer {
	if f := g.mismatch(call); f != nil {
		return g.withLoad(contract.Refusal(f))
	}
	if call.Reservation == "" {
		return g.withLoad(g.admitAndWork(ctx, call, emit))
	}
	return g.withLoad(g.runReserved(ctx, call, emit))
}

func (g *Gate) mismatch(call contract.Call) *contract.Failure {
	c := g.config
	if call.Kind == c.Kind && call.Serves == c.Serves && (call.Version == "" || call.Version == c.Version) {
		return nil
	}
	return contract.NewFailure(contract.KindNoTarget,
		"this target does not serve "+call.Serves+" "+call.Version, "send the call to another target")
}

// runReserved runs a call under a reservation at most once.
func (g *Gate) runReserved(ctx context.Context, call contract.Call, emit func(token string)) contract.Answer {
	claims, err := g.config.Sealer.Open(call.Reservation)
	if err != nil {
		return contract.Refusal(contract.AsFailure(err))
	}
	body := quarantine.Fingerprint(call.Method+" "+call.Path, call.Serves, call.Body)
	for {
		g.mu.Lock()
		decision, answer := g.ledger.Begin(g.config.Now(), claims, call.Organisation, body)
		ended := g.running[claims.ID]
		if decision == reservation.DecisionStart {
			g.running[claims.ID] = make(chan struct{})
		}
		g.mu.Unlock()
		switch decision {
		case reservation.DecisionStart:
			return g.start(ctx, claims, call, emit)
		case reservation.DecisionWait:
			if f := wait(ctx, ended); f != nil {
				return contract.Uncertain(f)
			}
		default:
			return answer
		}
	}
}

func wait(ctx context.Context, ended <-chan struct{}) *contract.Failure {
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return contract.NewFailure(contract.KindDeadline,
			"the call still runs", "present the same reservation again")
	}
}

func (g *Gate) start(ctx context.Context, claims reservation.Claims, call contract.Call, emit func(token string)) contract.Answer {
	// The queue may be left with the caller, the work may not.
	answer := g.admitAndWork(ctx, call, emit)
	g.mu.Lock()
	g.ledger.Finish(g.config.Now(), claims.ID, answer)
	close(g.running[claims.ID])
	delete(g.running, claims.ID)
	g.mu.Unlock()
	return answer
}

// admitAndWork waits for a place and does the work in it.
func (g *Gate) admitAndWork(ctx context.Context, call contract.Call, emit func(token string)) contract.Answer {
	if f := g.admit(ctx, call); f != nil {
		return contract.Refusal(f)
	}
	began := g.config.Now()
	workCtx, cancel := g.workContext(ctx, call)
	answer := g.config.Work(workCtx, call, emit)
	cancel()
	g.release(call.Attempt, g.config.Now().Sub(began))
	return answer
}

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
	return ctx, cancel
}

// admit returns nil once the call holds a place.
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
	if g.leaving {
		g.mu.Unlock()
		return leavingFailure()
	}
	if call.NoWait && !g.queue.Free() {
		g.mu.Unlock()
		return contract.NewFailure(contract.KindBusy, "the target has no free place", "send the call to another target")
	}
	verdict, at := g.queue.Offer(now, request)
	turn := make(chan contract.Answer, 1)
	switch verdict {
	case admission.VerdictRun:
		g.inflight++
	case admission.VerdictWait:
		g.waiting[call.Attempt] = turn
	}
	g.mu.Unlock()
	switch verdict {
	case admission.VerdictRun:
		return nil
	case admission.VerdictRefuse:
		return contract.NewFailure(contract.KindOverloaded,
			"the target cannot start the request in time", "come back later").WithRetryAt(at)
	}
	return g.awaitTurn(ctx, call, turn)
}

func (g *Gate) weight(organisation string) float64 {
	if g.config.Weight == nil {
		return 1
	}
	return g.config.Weight(organisation)
}

func (g *Gate) awaitTurn(ctx context.Context, call contract.Call, turn chan contract.Answer) *contract.Failure {
	timer := time.NewTimer(call.Deadline.Sub(g.config.Now()))
	defer timer.Stop()
	select {
	case answer := <-turn:
		return answer.Failure
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	removed := g.queue.Remove(call.Attempt)
	delete(g.waiting, call.Attempt)
	g.mu.Unlock()
	if !removed {
		// Its turn came in between: what was decided holds.
		return (<-turn).Failure
	}
	return contract.NewFailure(contract.KindDeadline,
		"the request waited until its time was over", "come back later or allow more time").
		WithRetryAt(g.config.Now())
}

// release frees the place of a call and hands it to the next.
func (g *Gate) release(attempt string, taken time.Duration) {
	now := g.config.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.cancels, attempt)
	g.inflight--
	g.queue.Done(taken)
	g.handOut(now)
	g.noteIdle()
}

func (g *Gate) handOut(now time.Time) {
	for {
		next, late := g.queue.Next(now)
		for _, r := range late {
			g.tell(r.ID, contract.Refusal(contract.NewFailure(contract.KindDeadline,
				"the request waited until its time was over", "come back later or allow more time").WithRetryAt(now)))
		}
		if next == nil {
			return
		}
		g.inflight++
		g.tell(next.ID, contract.Answer{})
	}
}

func (g *Gate) tell(attempt string, answer contract.Answer) {
	if turn, ok := g.waiting[attempt]; ok {
		delete(g.waiting, attempt)
		turn <- answer
	}
}

// Settle says what became of a reservation and voids it if it has not started.
func (g *Gate) Settle(r contract.SettleRequest) contract.Settlement {
	claims, err := g.config.Sealer.Open(r.Reservation)
	if err != nil {
		return contract.Settlement{State: contract.SettleUnknown, Failure: contract.AsFailure(err)}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Settle(g.config.Now(), claims, r.Organisation)
}

// Cancel ends the work of an attempt for which nobody waits any more.
func (g *Gate) Cancel(r contract.CancelRequest) {
	g.mu.Lock()
	cancel := g.cancels[r.Attempt]
	g.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Leave refuses new work from now on, sends back what waits, and returns a
// channel that is closed once nothing is in flight.
func (g *Gate) Leave() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return g.idle
	}
	g.leaving = true
	for _, r := range g.queue.Flush() {
		g.tell(r.ID, contract.Refusal(leavingFailure()))
	}
	g.noteIdle()
	return g.idle
}

func leavingFailure() *contract.Failure {
	return contract.NewFailure(contract.KindLeaving, "the target is leaving", "send the call to another target")
}

func (g *Gate) noteIdle() {
	if !g.leaving || g.inflight > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// Load is the gate's own view of the target's load.
func (g *Gate) Load() contract.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return contract.Load{
		Running:  g.queue.Running(),
		Queued:   g.queue.Queued(),
		Capacity: g.config.Capacity,
		EngineMS: float64(g.queue.Service()) / float64(time.Millisecond),
		Leaving:  g.leaving,
	}
}

func (g *Gate) withLoad(a contract.Answer) contract.Answer {
	a.Load = g.Load()
	return a
}
