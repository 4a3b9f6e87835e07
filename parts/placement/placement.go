// Package placement decides which ranks hold which experts of one layer: it
// replicates hot experts, packs them to even rank load, and keeps what is in
// place unless moving it is worth its cost.
package placement

import (
	"cmp"
	"slices"
)

// Layout gives the experts that each rank holds, by rank and slot. An expert
// stands at most once on a rank. It is immutable.
type Layout [][]int

// Problem is one layer at one time.
type Problem struct {
	Loads  []float64 // tokens a second, by expert
	Speeds []float64 // of each rank against a healthy one; nil means all 1
	Slots  int       // experts that a rank can hold
	Ranks  int
}

func (p Problem) speed(rank int) float64 {
	if p.Speeds == nil {
		return 1
	}
	return p.Speeds[rank]
}

func (p Problem) totalSpeed() float64 {
	if p.Speeds == nil {
		return float64(p.Ranks)
	}
	total := 0.0
	for _, s := range p.Speeds {
		total += s
	}
	return total
}

func (p Problem) totalLoad() float64 {
	total := 0.0
	for _, l := range p.Loads {
		total += l
	}
	return total
}

// mean is the time of a step if all ranks ended together.
func (p Problem) mean() float64 {
	return p.totalLoad() / p.totalSpeed()
}

// Skew is the step time of the slowest rank against the mean: 1 is even. An
// expert's load is split evenly among its replicas.
func (p Problem) Skew(l Layout) float64 {
	mean := p.mean()
	if mean <= 0 {
		return 1
	}
	counts := replicas(l, len(p.Loads))
	slowest := 0.0
	for rank, experts := range l {
		load := 0.0
		for _, e := range experts {
			load += p.Loads[e] / float64(counts[e])
		}
		slowest = max(slowest, load/p.speed(rank))
	}
	return slowest / mean
}

// LowerBound is a skew below which no layout can be: no rank can do better than
// the mean, and some rank holds a replica of the expert that weighs most even
// when replicas are shared out best.
func (p Problem) LowerBound() float64 {
	mean := p.mean()
	if mean <= 0 {
		return 1
	}
	heaviest := 0.0
	for e, count := range p.replicaCounts() {
		heaviest = max(heaviest, p.Loads[e]/float64(count))
	}
	fastest := 1.0
	for _, s := range p.Speeds {
		fastest = max(fastest, s)
	}
	return max(1, heaviest/fastest/mean)
}

// replicaCounts shares out all slots so that the heaviest replica is as light as
// can be.
func (p Problem) replicaCounts() []int {
	counts := make([]int, len(p.Loads))
	for e := range counts {
		counts[e] = 1
	}
	for spare := p.Ranks*p.Slots - len(counts); spare > 0; spare-- {
		heaviest := -1
		for e, count := range counts {
			if count >= p.Ranks {
				continue
			}
			if heaviest < 0 || p.Loads[e]/float64(count) > p.Loads[heaviest]/float64(counts[heaviest]) {
				heaviest = e
			}
		}
		if heaviest < 0 {
			break
		}
		counts[heaviest]++
	}
	return counts
}

func replicas(l Layout, experts int) []int {
	counts := make([]int, experts)
	for _, held := range l {
		for _, e := range held {
			counts[e]++
		}
	}
	return counts
}

// FromScratch lays out all experts anew, heaviest replicas first, each on the
// least loaded rank. It is the baseline that ignores what is in place.
func FromScratch(p Problem) Layout {
	counts := p.replicaCounts()
	order := make([]int, 0, p.Ranks*p.Slots)
	for e, count := range counts {
		for range count {
			order = append(order, e)
		}
	}
	weight := func(e int) float64 { return p.Loads[e] / float64(counts[e]) }
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(weight(b), weight(a)) })
	l := make(Layout, p.Ranks)
	loads := make([]float64, p.Ranks)
	for _, e := range order {
		best := -1
		for rank := range l {
			if len(l[rank]) >= p.Slots || slices.Contains(l[rank], e) {
				continue
			}
			if best < 0 || loads[rank]/p.speed(rank) < loads[best]/p.speed(best) {
				best = rank
			}
		}
		if best < 0 {
			continue // only replicas of one expert are left for full ranks
		}
		l[best] = append(l[best], e)
		loads[best] += weight(e)
	}
	return l
}

// Moved counts the experts that ranks must fetch to go from one layout to
// another.
func Moved(from, to Layout) int {
	moved := 0
	for rank, experts := range to {
		for _, e := range experts {
			if rank >= len(from) || !slices.Contains(from[rank], e) {
				moved++
			}
		}
	}
	return moved
}
