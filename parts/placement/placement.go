// Package placement decides for the leader of a group which ranks hold which
// experts of one layer or set of layers. It replicates hot experts, evens out the
// load of the ranks, and moves an expert only if the gain is worth the transfer.
package placement

import (
	"cmp"
	"slices"
)

// Layout lists the experts that each rank holds, by rank and expert slot. A rank
// holds at most one replica of an expert. A layout is immutable.
type Layout [][]int

// Problem describes the load of one layer, or set of layers, and the ranks that
// serve it.
type Problem struct {
	Loads       []float64 // by expert, in one unit such as tokens per second
	Speeds      []float64 // speed of each rank relative to a healthy one; nil means 1 for all
	ExpertSlots int       // number of experts that a rank can hold
	Ranks       int
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

// meanTime returns the step time if all ranks finished at the same time.
func (p Problem) meanTime() float64 {
	return p.totalLoad() / p.totalSpeed()
}

// Skew returns the ratio of the step time of the slowest rank to the mean step time
// under a layout; 1 is even. The load of an expert is split evenly among its
// replicas.
func (p Problem) Skew(l Layout) float64 {
	mean := p.meanTime()
	if mean <= 0 {
		return 1
	}
	counts := countReplicas(l, len(p.Loads))
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

// LowerBound returns a lower bound of the skew of any layout. The slowest rank is
// never faster than the mean, and some rank holds the heaviest replica, even if the
// replicas are distributed optimally.
func (p Problem) LowerBound() float64 {
	mean := p.meanTime()
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

// replicaCounts returns the number of replicas of each expert that minimises the
// load of the heaviest replica. It fills all expert slots, but gives no expert more
// replicas than there are ranks.
func (p Problem) replicaCounts() []int {
	counts := make([]int, len(p.Loads))
	for e := range counts {
		counts[e] = 1
	}
	for spare := p.Ranks*p.ExpertSlots - len(counts); spare > 0; spare-- {
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

// countReplicas returns the number of replicas of each expert.
func countReplicas(l Layout, experts int) []int {
	counts := make([]int, experts)
	for _, held := range l {
		for _, e := range held {
			counts[e]++
		}
	}
	return counts
}

// PackReplicas computes a new layout that ignores the current one. It assigns the
// heaviest replicas first, each to the least loaded rank. It gives the first layout of
// a group and a baseline.
func PackReplicas(p Problem) Layout {
	counts := p.replicaCounts()
	order := make([]int, 0, p.Ranks*p.ExpertSlots)
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
			if len(l[rank]) >= p.ExpertSlots || slices.Contains(l[rank], e) {
				continue
			}
			if best < 0 || loads[rank]/p.speed(rank) < loads[best]/p.speed(best) {
				best = rank
			}
		}
		if best < 0 {
			continue // every rank is full or holds a replica of the expert already
		}
		l[best] = append(l[best], e)
		loads[best] += weight(e)
	}
	return l
}

// CountFetches returns the number of experts that ranks must fetch to change from one
// layout to another.
func CountFetches(from, to Layout) int {
	fetched := 0
	for rank, experts := range to {
		for _, e := range experts {
			if rank >= len(from) || !slices.Contains(from[rank], e) {
				fetched++
			}
		}
	}
	return fetched
}
