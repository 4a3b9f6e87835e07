package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/placement"
)

// roundRobin assigns experts to ranks in round-robin order.
func roundRobin(experts, ranks int) placement.Layout {
	l := make(placement.Layout, ranks)
	for e := range experts {
		l[e%ranks] = append(l[e%ranks], e)
	}
	return l
}

// TestBalanceReducesSkew assigns 72 experts, a few of them hot, to 12 ranks in
// round-robin order, as after a change in demand. Three rounds with at most three
// fetched experts a rank must bring the slowest rank near the mean.
func TestBalanceReducesSkew(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 7))
		p := placement.Problem{Loads: zipf(rng, 72, 1.0), ExpertSlots: 8, Ranks: 12}
		layout := roundRobin(72, 12)
		for range 3 {
			b := placement.Balance(p, layout, placement.BalanceConfig{TargetSkew: 1.1, MaxFetches: 3})
			for rank, held := range b.Layout {
				is.True(len(held) <= p.ExpertSlots)
				fetched := 0
				for _, e := range held {
					if !slices.Contains(layout[rank], e) {
						fetched++
					}
				}
				is.True(fetched <= 3) // a rank fetches at most MaxFetches experts
			}
			layout = b.Layout
		}
		seen := map[int]bool{}
		for _, held := range layout {
			for _, e := range held {
				seen[e] = true
			}
		}
		is.Equal(len(seen), 72)                   // no expert is lost
		is.True(p.Skew(layout) < 1.25)            // nearly even after three rounds
		is.True(p.Skew(roundRobin(72, 12)) > 1.5) // the layout at the start was uneven
	}
}

// TestBalanceRelievesSlowRank checks that a rank that runs five times slower ends up
// with about a fifth of the load of another rank instead of an equal share.
func TestBalanceRelievesSlowRank(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 7))
	speeds := slices.Repeat([]float64{1}, 12)
	speeds[3] = 0.2
	p := placement.Problem{Loads: zipf(rng, 72, 0.1), ExpertSlots: 8, Ranks: 12, Speeds: speeds}
	layout := roundRobin(72, 12)
	before := p.Skew(layout)
	for range 4 {
		layout = placement.Balance(p, layout, placement.BalanceConfig{TargetSkew: 1.1, MaxFetches: 3}).Layout
	}
	is.True(before > 4)
	is.True(p.Skew(layout) < 1.4)
}
