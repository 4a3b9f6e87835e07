package reservation

import (
	"container/heap"
	"time"

	"camphormill.dev/parts/contract"
)

// Decision is what the caller of Begin, the gate of a target daemon, must do with a call.
type Decision string

// The decisions of Begin.
const (
	DecisionStart  Decision = "start"  // run the call; no other call with this reservation runs
	DecisionWait   Decision = "wait"   // the call is already running; wait for its answer
	DecisionReplay Decision = "replay" // the call has run; return the retained answer
	DecisionRefuse Decision = "refuse" // do not run the call; the answer has the outcome
)

type phase int

const (
	phaseRunning phase = iota
	phaseDone
	phaseVoided
)

type entry struct {
	phase phase
	// fingerprint is that of the request that the reservation is bound to. It is 0 if the
	// reservation was voided before its first use.
	fingerprint uint64
	answer      contract.Answer
	deadline    time.Time
}

// Ledger records the reservations used at one incarnation of one target daemon. It
// keeps the latest time passed to it as its clock, so that the clock never goes
// backwards. It is not safe for concurrent use.
type Ledger struct {
	target      string
	incarnation string
	capacity    int
	maxBytes    int
	bytes       int           // of the retained answers
	maxAhead    time.Duration // maximum time from now to a deadline
	latestTime  time.Time     // latest time seen
	entries     map[string]*entry
	expiry      expiryHeap
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	Target      string
	Incarnation string
	Capacity    int           // maximum number of retained reservations
	MaxAhead    time.Duration // maximum time from now to a deadline
	// MaxAnswerBytes is the size of the retained answers from which no further call is started; 0 is 256 MiB.
	MaxAnswerBytes int
}

const defaultMaxAnswerBytes = 256 << 20

// NewLedger returns an empty ledger.
func NewLedger(c LedgerConfig) *Ledger {
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	return &Ledger{
		target:      c.Target,
		incarnation: c.Incarnation,
		capacity:    c.Capacity,
		maxBytes:    c.MaxAnswerBytes,
		maxAhead:    c.MaxAhead,
		entries:     map[string]*entry{},
	}
}

// advance moves the clock of the ledger forward to now, drops expired reservations
// and returns the clock. A now before the latest time seen leaves the clock as it
// is, so that a system clock that is set back revives no expired reservation.
func (l *Ledger) advance(now time.Time) time.Time {
	if now.After(l.latestTime) {
		l.latestTime = now
	}
	for len(l.expiry) > 0 && !l.expiry[0].deadline.After(l.latestTime) {
		expired := heap.Pop(&l.expiry).(expiryItem)
		l.bytes -= len(l.entries[expired.id].answer.Body)
		delete(l.entries, expired.id)
	}
	return l.latestTime
}

// Begin decides what to do with a call that presents the claims. organisation is that of
// the caller. fingerprint is that of the request; a reservation is bound to the first
// fingerprint that it is used with. The answer is set for DecisionReplay and
// DecisionRefuse, and is to be returned to the caller unchanged. After DecisionStart,
// Finish must be called with the answer of the call.
func (l *Ledger) Begin(now time.Time, c Claims, organisation string, fingerprint uint64) (Decision, contract.Answer) {
	if answer, refused := l.check(now, c, organisation); refused {
		return DecisionRefuse, answer
	}
	e, ok := l.entries[c.ID]
	if !ok {
		return l.start(c, fingerprint)
	}
	if e.fingerprint != fingerprint && e.phase != phaseVoided {
		return DecisionRefuse, contract.NotRunAnswer(contract.NewFailure(contract.KindReservationMismatch,
			"the reservation was used with a different request body", "request a new reservation for each request"))
	}
	switch e.phase {
	case phaseRunning:
		return DecisionWait, contract.Answer{}
	case phaseDone:
		answer := e.answer
		answer.Replayed = true
		return DecisionReplay, answer
	}
	return DecisionRefuse, contract.NotRunAnswer(contract.NewFailure(contract.KindReservationVoided,
		"the reservation was voided before the call ran", "request a new reservation"))
}

// check refuses claims that belong to another organisation, target or incarnation,
// that have expired, or whose deadline is too far ahead. It returns the answer to refuse
// them with and true, or false if the claims are acceptable.
func (l *Ledger) check(now time.Time, c Claims, organisation string) (contract.Answer, bool) {
	if c.Organisation != organisation {
		return contract.NotRunAnswer(contract.NewFailure(contract.KindReservationInvalid,
			"the reservation is not one of ours", "send it as it was given, or ask for a new one")), true
	}
	if c.Target != l.target || c.Incarnation != l.incarnation {
		return contract.UnknownAnswer(contract.NewFailure(contract.KindIncarnationGone,
			"the target process that the reservation belongs to has ended",
			"ask the service whether the call took effect before sending it again")), true
	}
	clock := l.advance(now)
	if !c.Deadline.After(clock) {
		return contract.UnknownAnswer(contract.NewFailure(contract.KindReservationExpired,
			"the reservation has expired and its answer is no longer retained",
			"ask the service whether the call took effect before sending it again")), true
	}
	if c.Deadline.Sub(clock) > l.maxAhead {
		return contract.UnknownAnswer(contract.NewFailure(contract.KindReservationInvalid,
			"the deadline of the reservation is too far ahead for this target",
			"request a new reservation")), true
	}
	return contract.Answer{}, false
}

func (l *Ledger) start(c Claims, fingerprint uint64) (Decision, contract.Answer) {
	if l.bytes >= l.maxBytes || !l.record(c, phaseRunning, fingerprint) {
		return DecisionRefuse, l.fullAnswer()
	}
	return DecisionStart, contract.Answer{}
}

// fullAnswer is the answer when the ledger is at capacity or retains too many bytes. Its outcome is unknown and not
// "not run", because the ledger cannot record the refusal: a later call with the same
// reservation may start once an entry has expired.
func (l *Ledger) fullAnswer() contract.Answer {
	return contract.UnknownAnswer(contract.NewFailure(contract.KindOverloaded,
		"the target retains as many reservations, or as many bytes of their answers, as it may",
		"send the call again later with the same reservation").WithRetryAt(l.expiry[0].deadline))
}

// record adds a reservation and reports whether there was room for it.
func (l *Ledger) record(c Claims, p phase, fingerprint uint64) bool {
	if len(l.entries) >= l.capacity {
		return false
	}
	l.entries[c.ID] = &entry{phase: p, fingerprint: fingerprint, deadline: c.Deadline}
	heap.Push(&l.expiry, expiryItem{id: c.ID, deadline: c.Deadline})
	return true
}

// Finish retains the answer of a started call for replay. An answer with
// OutcomeNotRun voids the reservation instead, so that no later call with it can
// run. Finish has no effect if the reservation has expired or is not running.
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
	l.bytes += len(answer.Body)
}

// Settle returns the state of a reservation. If its call has not started, Settle
// voids the reservation first. The state is unknown if the claims are refused or the
// ledger is full.
func (l *Ledger) Settle(now time.Time, c Claims, organisation string) contract.Settlement {
	if answer, refused := l.check(now, c, organisation); refused {
		return contract.Settlement{State: contract.SettleUnknown, Failure: answer.Failure}
	}
	e, ok := l.entries[c.ID]
	if !ok {
		if !l.record(c, phaseVoided, 0) {
			return contract.Settlement{State: contract.SettleUnknown, Failure: l.fullAnswer().Failure}
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

// Len returns the number of retained reservations.
func (l *Ledger) Len() int {
	return len(l.entries)
}

// expiryItem is the deadline of one reservation in the expiry heap.
type expiryItem struct {
	id       string
	deadline time.Time
}

// expiryHeap is a container/heap with the earliest deadline first.
type expiryHeap []expiryItem

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].deadline.Before(h[j].deadline) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an element. It implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryItem)) }

// Pop removes the last element. It implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
