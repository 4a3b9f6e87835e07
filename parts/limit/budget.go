package limit

import (
	"math"
	"time"

	"camphormill.dev/parts/freshness"
)

// RetryLimit bounds the retries of all entries together: those in any Window are at most Ratio times the
// first attempts of that window, or of the window before if it has more, plus Reserve.
type RetryLimit struct {
	Ratio   float64       // retries for each first attempt
	Reserve float64       // further retries in a window
	Window  time.Duration // above zero
}

// Parts of a RetryLimit.
const (
	// earnedPart is the part of Ratio that each first attempt earns. The rest bounds what an entry saves of the earned retries:
	// that part of Ratio for each of its first attempts in the last window.
	earnedPart = 0.5
	// The reserve is divided equally among the entries. An entry starts with startPart of its share, gets refillPart of it in
	// each window and saves up to savedPart. Together, with a second start in the same window, they are below 1: the rest is
	// for entries that are not known yet, and for retries that arrive a moment after they were withdrawn.
	startPart  = 0.1
	refillPart = 0.3
	savedPart  = 0.4
)

// RetryBudget is the part of one entry in a RetryLimit. Entries keep the limit together without a message: what an entry
// saves is bounded by first attempts that the limit counts too, and an entry that starts has saved nothing, so that a
// restart grants no retry anew but the small startPart. It is not safe for concurrent use.
type RetryBudget struct {
	limit    RetryLimit
	recent   windowCount // first attempts
	earned   float64     // retries
	reserve  float64     // retries
	filled   bool        // the reserve has been filled before
	filledAt freshness.Instant
}

// NewRetryBudget returns the budget of an entry that started at startedAt.
func NewRetryBudget(l RetryLimit, startedAt freshness.Instant) *RetryBudget {
	return &RetryBudget{limit: l, recent: newWindowCount(l.Window), filledAt: startedAt}
}

// SetRatio changes the ratio of the limit.
func (b *RetryBudget) SetRatio(ratio float64) { b.limit.Ratio = ratio }

// fill adds what the reserve has got until now and drops what may no longer be saved. As long as the number of
// entries is not known, the reserve stays as it is, and is not to be used.
func (b *RetryBudget) fill(now freshness.Instant, entries int) {
	b.earned = math.Min(b.earned, (1-earnedPart)*b.limit.Ratio*float64(b.recent.count(now)))
	if entries <= 0 {
		return
	}
	share := b.limit.Reserve / float64(entries)
	added := refillPart * share * time.Duration(now-b.filledAt).Seconds() / b.limit.Window.Seconds()
	if !b.filled {
		added += startPart * share
	}
	b.reserve = math.Min(b.reserve+added, savedPart*share)
	b.filled, b.filledAt = true, now
}

// Deposit records a first attempt.
func (b *RetryBudget) Deposit(now freshness.Instant) {
	b.recent.add(now)
	b.earned += earnedPart * b.limit.Ratio
}

// Withdraw spends a retry and reports whether the budget allowed it. entries is the number of entries that share the
// reserve, 0 if it is not known.
func (b *RetryBudget) Withdraw(now freshness.Instant, entries int) bool {
	if b.Tokens(now, entries) < 1 {
		return false
	}
	fromEarned := math.Min(b.earned, 1)
	b.earned -= fromEarned
	b.reserve -= 1 - fromEarned
	return true
}

// Return gives back a retry that was withdrawn and not sent.
func (b *RetryBudget) Return() { b.earned++ }

// Tokens returns the retries that may be sent now.
func (b *RetryBudget) Tokens(now freshness.Instant, entries int) float64 {
	b.fill(now, entries)
	if entries <= 0 {
		return b.earned
	}
	return b.earned + b.reserve
}

// windowSlots is the number of parts of a window in which events are counted.
const windowSlots = 20

// windowCount counts the events of the last window, except for up to one slot at its beginning.
type windowCount struct {
	slot   time.Duration
	number int64 // of the current slot
	counts [windowSlots]int
}

func newWindowCount(window time.Duration) windowCount {
	return windowCount{slot: max(window/windowSlots, 1)}
}

// advance clears the slots that have left the window.
func (w *windowCount) advance(now freshness.Instant) {
	number := int64(time.Duration(now) / w.slot)
	for n := max(w.number+1, number-windowSlots+1); n <= number; n++ {
		w.counts[n%windowSlots] = 0
	}
	w.number = max(w.number, number)
}

func (w *windowCount) add(now freshness.Instant) {
	w.advance(now)
	w.counts[w.number%windowSlots]++
}

func (w *windowCount) count(now freshness.Instant) int {
	w.advance(now)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}
