package reservation

import (
	"container/heap"
	"time"

	"camphormill.dev/parts/contract"
)

// Decision says what the gate does with a presented call.
type Decision string

// The decisions of Begin.
const (
	DecisionStart  Decision = "start"  // run it now; nobody else will
	DecisionWait   Decision = "wait"   // it runs already; wait for its answer
	DecisionReplay Decision = "replay" // it ran; here is its answer
	DecisionRefuse Decision = "refuse" // see the answer's outcome
)

type phase int

const (
	phaseRunning phase = iota
	phaseDone
	phaseVoided
)

type entry struct {
	phase    phase
	body     uint64 // fingerprint of the request it is bound to
	answer   contract.Answer
	deadline time.Time
}

// Ledger is the record of one incarnation of one target daemon. Instants are
// its own clock, made never to go backwards. It is not safe for concurrent use.
type Ledger struct {
	target      string
	incarnation string
	capacity    int
	longest     time.Duration // how far ahead a deadline may lie
	latest      time.Time
	entries     map[string]*entry
	expiry      expiryHeap
}

// LedgerConfig is what a Ledger is built from.
type LedgerConfig struct {
	Target      string
	Incarnation string
	Capacity    int           // the most reservations remembered
	Longest     time.Duration // the furthest deadline taken
}

// NewLedger returns an empty ledger.
func NewLedger(c LedgerConfig) *Ledger {
	return &Ledger{
		target:      c.Target,
		incarnation: c.Incarnation,
		capacity:    c.Capacity,
		longest:     c.Longest,
		entries:     map[string]*entry{},
	}
}

// advance moves the ledger's clock, which a clock stepped back cannot revert,
// and forgets what has expired.
func (l *Ledger) advance(now time.Time) time.Time {
	if now.After(l.latest) {
		l.latest = now
	}
	for len(l.expiry) > 0 && !l.expiry[0].deadline.After(l.latest) {
		expired := heap.Pop(&l.expiry).(expiring)
		delete(l.entries, expired.id)
	}
	return l.latest
}

// Begin decides about a call presented with the claims. body is the fingerprint
// of the request; a reservation is bound to the first body it is used with.
// When the decision is not DecisionStart or DecisionWait, the answer is final.
func (l *Ledger) Begin(now time.Time, c Claims, organisation string, body uint64) (Decision, contract.Answer) {
	if answer, refused := l.check(now, c, organisation); refused {
		return DecisionRefuse, answer
	}
	e, ok := l.entries[c.ID]
	if !ok {
		return l.start(c, body)
	}
	if e.body != body && e.phase != phaseVoided {
		return DecisionRefuse, contract.Refusal(contract.NewFailure(contract.KindReservationMismatch,
			"the reservation belongs to another request", "ask for a reservation for each request"))
	}
	switch e.phase {
	case phaseRunning:
		return DecisionWait, contract.Answer{}
	case phaseDone:
		answer := e.answer
		answer.Replayed = true
		return DecisionReplay, answer
	}
	return DecisionRefuse, contract.Refusal(contract.NewFailure(contract.KindReservationVoided,
		"the reservation was voided before it ran", "ask for a new reservation"))
}

// check refuses claims that this incarnation cannot speak for, or no longer.
func (l *Ledger) check(now time.Time, c Claims, organisation string) (contract.Answer, bool) {
	if c.Organisation != organisation {
		return contract.Refusal(contract.NewFailure(contract.KindReservationInvalid,
			"the reservation is not one of ours", "send it as it was given, or ask for a new one")), true
	}
	if c.Target != l.target || c.Incarnation != l.incarnation {
		return contract.Uncertain(contract.NewFailure(contract.KindIncarnationGone,
			"the process that held the reservation has ended",
			"look up with the service whether the call took effect before sending it anew")), true
	}
	clock := l.advance(now)
	if !c.Deadline.After(clock) {
		return contract.Uncertain(contract.NewFailure(contract.KindReservationExpired,
			"the reservation's time is over and its answer is no longer kept",
			"look up with the service whether the call took effect before sending it anew")), true
	}
	if c.Deadline.Sub(clock) > l.longest {
		return contract.Uncertain(contract.NewFailure(contract.KindReservationInvalid,
			"the reservation reaches further ahead than this target remembers",
			"ask for a new reservation")), true
	}
	return contract.Answer{}, false
}

func (l *Ledger) start(c Claims, body uint64) (Decision, contract.Answer) {
	if !l.record(c, phaseRunning, body) {
		return DecisionRefuse, l.full()
	}
	return DecisionStart, contract.Answer{}
}

// full is unknown and not "not run", since without room the ledger cannot hold
// to having refused: the same reservation may start once there is room.
func (l *Ledger) full() contract.Answer {
	return contract.Uncertain(contract.NewFailure(contract.KindOverloaded,
		"the target remembers as many reservations as it can",
		"present the same reservation again later").WithRetryAt(l.expiry[0].deadline))
}

func (l *Ledger) record(c Claims, p phase, body uint64) bool {
	if len(l.entries) >= l.capacity {
		return false
	}
	l.entries[c.ID] = &entry{phase: p, body: body, deadline: c.Deadline}
	heap.Push(&l.expiry, expiring{id: c.ID, deadline: c.Deadline})
	return true
}

// Finish keeps the answer of a started call for replay. An answer of
// OutcomeNotRun voids the reservation, so that it holds.
func (l *Ledger) Finish(now time.Time, id string, answer contract.Answer) {
	l.advance(now)
	e, ok := l.entries[id]
	if !ok || e.phase != phaseRunning {
		return
	}
	if answer.Outcome == contract.OutcomeNotRun {
		e.phase = phaseVoided
		return
	}
	e.phase = phaseDone
	e.answer = answer
}

// Settle says what became of a reservation and voids it if it has not started.
func (l *Ledger) Settle(now time.Time, c Claims, organisation string) contract.Settlement {
	if answer, refused := l.check(now, c, organisation); refused {
		return contract.Settlement{State: contract.SettleUnknown, Failure: answer.Failure}
	}
	e, ok := l.entries[c.ID]
	if !ok {
		if !l.record(c, phaseVoided, 0) {
			return contract.Settlement{State: contract.SettleUnknown, Failure: l.full().Failure}
		}
		return contract.Settlement{State: contract.SettleVoided}
	}
	switch e.phase {
	case phaseRunning:
		return contract.Settlement{State: contract.SettleRunning}
	case phaseDone:
		return contract.Settlement{State: contract.SettleDone}
	}
	return contract.Settlement{State: contract.SettleVoided}
}

// Len is how many reservations are remembered.
func (l *Ledger) Len() int {
	return len(l.entries)
}

type expiring struct {
	id       string
	deadline time.Time
}

type expiryHeap []expiring

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an element; it belongs to container/heap.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiring)) }

// Pop removes the last element; it belongs to container/heap.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
