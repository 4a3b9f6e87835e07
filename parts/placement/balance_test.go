package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/placement"
)

// inTurn assigns experts to ranks one after the other.
func inTurn(experts, ranks int) placement.Layout {
	l := make(placement.Layout, ranks)
	for e := range experts {
		l[e%ranks] = append(l[e%ranks], e)
	}
	return l
}

// TestBalanceEvensOutASkewedSet plays the load of a change in demand: 72 experts
// on 12 ranks in turn, a few of them hot. Three rounds of few copies must bring
// the slowest rank near the mean.
func TestBalanceEvensOutASkewedSet(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 7))
		p := placement.Problem{Loads: zipf(rng, 72, 1.0), Slots: 8, Ranks: 12}
		layout := inTurn(72, 12)
		for range 3 {
			b := placement.Balance(p, layout, placement.BalanceConfig{Target: 1.1, Spare: 3})
			for rank, held := range b.Layout {
				is.True(len(held) <= p.Slots)
				fetched := 0
				for _, e := range held {
					if !slices.Contains(layout[rank], e) {
						fetched++
					}
				}
				is.True(fetched <= 3) // a rank fetches no more than it has room for
			}
			layout = b.Layout
		}
		seen := map[int]bool{}
		for _, held := range layout {
			for _, e := range held {
				seen[e] = true
			}
		}
		is.Equal(len(seen), 72)               // no expert is lost
		is.True(p.Skew(layout) < 1.25)        // near even after three rounds
		is.True(p.Skew(inTurn(72, 12)) > 1.5) // it was far from it
	}
}

// TestBalanceSparesASlowRank plays a rank that runs five times slower: it must
// end with about a fifth of a share, not with an even one.
func TestBalanceSparesASlowRank(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 7))
	speeds := slices.Repeat([]float64{1}, 12)
	speeds[3] = 0.2
	p := placement.Problem{Loads: zipf(rng, 72, 0.1), Slots: 8, Ranks: 12, Speeds: speeds}
	layout := inTurn(72, 12)
	before := p.Skew(layout)
	for range 4 {
		layout = placement.Balance(p, layout, placement.BalanceConfig{Target: 1.1, Spare: 3}).Layout
	}
	is.True(before > 4)
	is.True(p.Skew(layout) < 1.4)
}
