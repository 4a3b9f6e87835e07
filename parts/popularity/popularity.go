// Package popularity estimates how often each expert of a group is chosen, from
// counts that the ranks report several times a second. A change of what is in
// demand replaces the estimate at once instead of fading into it.
package popularity

import "math"

const (
	// keep is what is left of old choices after an interval: with ten intervals a
	// second the estimate covers about a second, over which the content of single
	// requests evens out.
	keep = 0.9
	// changed is half the L1 distance between an interval and the estimate from
	// which demand counts as changed: what single requests choose differs by up to
	// a quarter in a group of 12 ranks, a drift of popularity by a third and more.
	changed = 0.28
	// In a larger group single requests even out within an interval (0.03 to 0.09
	// with 63 ranks) and drifts are smaller (0.15 to 0.24). There demand counts as
	// changed from calmTimes the usual distance on, at least leastChanged.
	calmTimes    = 2
	leastChanged = 0.12
	// calmWeight is the weight of the newest interval in the usual distance.
	calmWeight = 0.1
	// enough is the least number of choices an expert and set for a comparison.
	enough = 8
	// enoughShare is the part of a usual interval's choices that is needed besides.
	enoughShare = 0.3
)

// Estimate is the demand for experts, by set and expert. It is immutable.
type Estimate struct {
	choices [][]float64 // faded sum, by set and expert
	total   float64     // mean of the sets
	recent  [][]float64 // gathered until there are enough to compare
	waiting float64     // total of recent
	shifts  int
	calm    float64 // usual distance of an interval; 0 before there is one
	// mixed says that demand has changed within the newest interval, as far as is
	// known: the next one replaces it.
	mixed bool
}

// With returns the estimate after an interval's choices, by set and expert.
func (e Estimate) With(choices [][]float64) Estimate {
	if len(choices) == 0 || len(choices[0]) == 0 {
		return e
	}
	next := e
	next.recent = sum(e.recent, choices, 1)
	next.waiting = mean(next.recent)
	if next.waiting < enough*float64(len(choices[0])) || next.waiting < enoughShare*(1-keep)*e.total {
		return next
	}
	fresh := next.recent
	next.recent, next.waiting = nil, 0
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
		next.mixed = d <= changed // else most of it is new
	default:
		next.choices = sum(e.choices, fresh, keep)
		next.calm = e.calm + calmWeight*(d-e.calm)
		if e.calm == 0 {
			next.calm = d
		}
	}
	next.total = mean(next.choices)
	return next
}

// threshold is the distance from which demand counts as changed.
func (e Estimate) threshold() float64 {
	if e.calm == 0 {
		return changed
	}
	return min(max(calmTimes*e.calm, leastChanged), changed)
}

// mean is the number of choices in a set.
func mean(choices [][]float64) float64 {
	total := 0.0
	for _, set := range choices {
		for _, c := range set {
			total += c
		}
	}
	return total / float64(max(len(choices), 1))
}

// Shares returns the demand by set and expert, each set summing to 1, or nil
// before there is any and while it is mixed with what was in demand before.
func (e Estimate) Shares() [][]float64 {
	if e.choices == nil || e.mixed {
		return nil
	}
	return normalised(e.choices)
}

// Shifts counts how often demand has changed at once.
func (e Estimate) Shifts() int { return e.shifts }

// sum adds b to what is kept of a.
func sum(a, b [][]float64, kept float64) [][]float64 {
	out := make([][]float64, len(b))
	for s := range b {
		out[s] = make([]float64, len(b[s]))
		copy(out[s], b[s])
		if s < len(a) && len(a[s]) == len(b[s]) {
			for x := range a[s] {
				out[s][x] += kept * a[s][x]
			}
		}
	}
	return out
}

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

// distance is the mean over the sets of the share of choices that went elsewhere.
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
