// Package popularity estimates for the leader of a group how often each expert is
// chosen, from counts that the ranks report several times a second. The estimate is
// an exponentially decayed sum. When demand shifts to other experts, the new counts
// replace the sum at once instead of being blended into it.
package popularity

import "math"

const (
	// decay is the factor applied to earlier choices at each interval. With ten
	// intervals a second the estimate covers about one second, long enough for
	// differences between single requests to average out.
	decay = 0.9
	// maxThreshold is the distance (half the L1 distance) between an interval and
	// the estimate above which demand has shifted in a group of any size. In a group
	// of 12 ranks, differences between single requests reach 0.25, and a shift in
	// demand is 0.33 or more.
	maxThreshold = 0.28
	// In larger groups, differences between single requests average out within an
	// interval (0.03 to 0.09 with 63 ranks) and shifts are smaller (0.15 to 0.24).
	// The threshold there is thresholdFactor times the usual distance, but not less
	// than minThreshold.
	thresholdFactor = 2
	minThreshold    = 0.12
	// usualWeight is the weight of the newest interval in the usual distance.
	usualWeight = 0.1
	// minChoices is the number of choices per expert and set that a comparison
	// needs at least.
	minChoices = 8
	// minIntervalShare is the share of the choices of a usual interval that a
	// comparison needs as well.
	minIntervalShare = 0.3
)

// Estimate is the estimated demand for experts, by set of layers and expert. It is
// immutable. The zero value has no demand yet.
type Estimate struct {
	choices       [][]float64 // decayed sum, by set and expert
	total         float64     // choices per set, averaged over the sets
	recent        [][]float64 // collected until there are enough to compare
	recentTotal   float64     // choices per set in recent
	shifts        int
	usualDistance float64 // usual distance of an interval from the estimate; 0 if not known yet
	// mixed is set if the newest interval may contain both old and new demand. The
	// next interval then replaces the estimate.
	mixed bool
}

// With returns the estimate updated with the choices of an interval, by set and
// expert. Choices are collected until there are enough to compare with the estimate.
func (e Estimate) With(choices [][]float64) Estimate {
	if len(choices) == 0 || len(choices[0]) == 0 {
		return e
	}
	next := e
	next.recent = sum(e.recent, choices, 1)
	next.recentTotal = mean(next.recent)
	// (1-decay)*e.total is the number of choices of a usual interval.
	if next.recentTotal < minChoices*float64(len(choices[0])) || next.recentTotal < minIntervalShare*(1-decay)*e.total {
		return next
	}
	fresh := next.recent
	next.recent, next.recentTotal = nil, 0
	d := math.Inf(1)
	if e.choices != nil {
		d = distance(normalised(e.choices), normalised(fresh))
	}
	next.mixed = false
	switch {
	case e.mixed:
		next.choices = fresh
	case d > e.threshold():
		next.choices = fresh
		next.shifts++
		next.mixed = d <= maxThreshold // a larger distance means that most of the interval is new demand
	default:
		next.choices = sum(e.choices, fresh, decay)
		next.usualDistance = e.usualDistance + usualWeight*(d-e.usualDistance)
		if e.usualDistance == 0 {
			next.usualDistance = d
		}
	}
	next.total = mean(next.choices)
	return next
}

// threshold returns the distance above which demand has shifted.
func (e Estimate) threshold() float64 {
	if e.usualDistance == 0 {
		return maxThreshold
	}
	return min(max(thresholdFactor*e.usualDistance, minThreshold), maxThreshold)
}

// mean returns the number of choices per set, averaged over the sets.
func mean(choices [][]float64) float64 {
	total := 0.0
	for _, set := range choices {
		for _, c := range set {
			total += c
		}
	}
	return total / float64(max(len(choices), 1))
}

// Shares returns the share of each expert in the demand of its set, by set and
// expert. It returns nil while there is no demand yet and while the newest interval
// may contain both old and new demand.
func (e Estimate) Shares() [][]float64 {
	if e.choices == nil || e.mixed {
		return nil
	}
	return normalised(e.choices)
}

// Shifts returns how often demand has shifted. The first interval counts as a shift.
func (e Estimate) Shifts() int { return e.shifts }

// sum returns b plus a scaled by the factor.
func sum(a, b [][]float64, factor float64) [][]float64 {
	out := make([][]float64, len(b))
	for s := range b {
		out[s] = make([]float64, len(b[s]))
		copy(out[s], b[s])
		if s < len(a) && len(a[s]) == len(b[s]) {
			for x := range a[s] {
				out[s][x] += factor * a[s][x]
			}
		}
	}
	return out
}

// normalised returns the choices scaled so that each set with at least one choice
// sums to 1.
func normalised(choices [][]float64) [][]float64 {
	out := make([][]float64, len(choices))
	for s, set := range choices {
		total := 0.0
		for _, c := range set {
			total += c
		}
		out[s] = make([]float64, len(set))
		for x, c := range set {
			out[s][x] = c / math.Max(total, 1)
		}
	}
	return out
}

// distance returns half the L1 distance between the shares of a and b, averaged over
// the sets: the share of choices that moved to other experts.
func distance(a, b [][]float64) float64 {
	if len(a) != len(b) {
		return 1
	}
	total := 0.0
	for s := range a {
		if len(a[s]) != len(b[s]) {
			return 1
		}
		for x := range a[s] {
			total += math.Abs(a[s][x]-b[s][x]) / 2
		}
	}
	return total / float64(max(len(a), 1))
}
