// Package popularity estimates how often each expert of a group is chosen, from
// counts that the ranks report several times a second. A change of what is in
// demand replaces the estimate at once instead of fading into it.
package popularity

import "math"

const (
	// fade is the weight of a new interval in a steady estimate, so that noise
	// evens out over about ten intervals.
	fade = 0.12
	// changed is half the L1 distance between the shares of two intervals and
	// the estimate from which demand counts as changed; below it lies what
	// sampling alone does at some thousand choices an interval.
	changed = 0.16
	// enough is the least number of choices an expert and set for a comparison.
	enough = 8
)

// Estimate is the demand for experts, by set and expert. It is immutable.
type Estimate struct {
	shares [][]float64 // of a set's choices; each set sums to 1
	recent [][]float64 // choices gathered until there are enough to compare
	total  float64     // of recent, mean of the sets
	shifts int
}

// With returns the estimate after an interval's choices, by set and expert.
func (e Estimate) With(choices [][]float64) Estimate {
	next := Estimate{shares: e.shares, recent: sum(e.recent, choices), shifts: e.shifts}
	if len(choices) == 0 {
		return e
	}
	for _, set := range choices {
		for _, c := range set {
			next.total += c / float64(len(choices))
		}
	}
	next.total += e.total
	if next.total < enough*float64(len(choices[0])) {
		return next
	}
	fresh := normalised(next.recent)
	next.recent, next.total = nil, 0
	if e.shares == nil || distance(e.shares, fresh) > changed {
		next.shares = fresh
		next.shifts++
		return next
	}
	next.shares = mix(e.shares, fresh)
	return next
}

// Shares returns the demand by set and expert, or nil before there is any.
func (e Estimate) Shares() [][]float64 { return e.shares }

// Shifts counts how often demand has changed at once.
func (e Estimate) Shifts() int { return e.shifts }

func sum(a, b [][]float64) [][]float64 {
	out := make([][]float64, len(b))
	for s := range b {
		out[s] = make([]float64, len(b[s]))
		copy(out[s], b[s])
		if s < len(a) && len(a[s]) == len(b[s]) {
			for x := range a[s] {
				out[s][x] += a[s][x]
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

func mix(old, fresh [][]float64) [][]float64 {
	out := make([][]float64, len(old))
	for s := range old {
		out[s] = make([]float64, len(old[s]))
		for x := range old[s] {
			out[s][x] = (1-fade)*old[s][x] + fade*fresh[s][x]
		}
	}
	return out
}
