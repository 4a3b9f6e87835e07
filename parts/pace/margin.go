package pace

import (
	"slices"
	"time"
)

const (
	// marginInterval is the time over which the pauses of streams are compared with what their callers accept, and
	// minMarginStreams the number of streams that a comparison needs.
	marginInterval   = time.Second
	minMarginStreams = 16
	// marginQuantile is the quantile of the pauses that counts. A pass that is too long pauses nearly all streams, and
	// what delays a few has other causes.
	marginQuantile = 0.75
	// stalled is the ratio of a pause to the accepted one above which the group stood still. Fewer requests don't help.
	stalled = 1.5
	// nearGoal is the ratio that passes should not exceed. Below relaxedRatio there is room for more requests.
	nearGoal     = 0.97
	relaxedRatio = 0.9
	// marginMemory is how long a ratio is remembered. Passes are longest after a shift of demand, every few seconds.
	marginMemory = 10 * time.Second
	// A margin shrinks by the excess of a ratio, and by maxTightening at most, and grows by relaxing in each interval.
	// It shrinks once in tighteningInterval, since streams go on to end for seconds that saw the same long pass.
	tighteningInterval = 3 * time.Second
	minMargin          = 0.8
	maxMargin          = 1.1
	maxTightening      = 0.9
	relaxing           = 1.01
)

// Margin corrects the share of the accepted pause that a pass may take by the pauses that callers saw. They hold what
// the published costs leave out: long prompts, copies of experts, the way to the caller. It is immutable; the zero
// Margin corrects nothing.
type Margin struct {
	shrunk    float64   // 1 less the factor
	ratios    []float64 // of the streams that ended since begun
	begun     time.Time
	highest   float64 // ratio that is remembered
	until     time.Time
	tightened time.Time
}

// Factor returns the factor by which the share is corrected.
func (m Margin) Factor() float64 { return 1 - m.shrunk }

// WithPause returns the margin after a stream has ended whose longest pause was the given one, and whose caller accepts
// the other.
func (m Margin) WithPause(now time.Time, longest, accepted time.Duration) Margin {
	if accepted <= 0 || longest <= 0 || longest.Seconds() > stalled*accepted.Seconds() {
		return m
	}
	if m.begun.IsZero() {
		m.begun = now
	}
	m.ratios = append(slices.Clip(m.ratios), longest.Seconds()/accepted.Seconds())
	if now.Sub(m.begun) < marginInterval {
		return m
	}
	ratios := m.ratios
	m.ratios, m.begun = nil, now
	if len(ratios) < minMarginStreams {
		return m
	}
	slices.Sort(ratios)
	return m.withRatio(now, ratios[int(marginQuantile*float64(len(ratios)))])
}

// withRatio returns the margin after an interval with the given ratio.
func (m Margin) withRatio(now time.Time, ratio float64) Margin {
	if ratio >= m.highest || !now.Before(m.until) {
		m.highest, m.until = ratio, now.Add(marginMemory)
	}
	factor := m.Factor()
	switch {
	case ratio > nearGoal && now.Sub(m.tightened) < tighteningInterval:
	case ratio > nearGoal:
		factor *= max(nearGoal/ratio, maxTightening)
		m.tightened = now
	case m.highest < relaxedRatio:
		factor *= relaxing
	}
	m.shrunk = 1 - min(max(factor, minMargin), maxMargin)
	return m
}
