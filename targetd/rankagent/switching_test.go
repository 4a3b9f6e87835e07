package rankagent

import (
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/placement"
)

// TestDemandDriftDoesNotOverloadSlowRank has a rank that is twelve times slower than normal,
// and a drift of demand right after a rebalance. Until the next switch no rank may take more
// than three times the mean step time.
func TestDemandDriftDoesNotOverloadSlowRank(t *testing.T) {
	is := is.New(t)
	const (
		ranks, experts, slots, spare = 12, 72, 8, 8
		slowdown                     = 12
	)
	demand := func(offset int) []float64 {
		loads := make([]float64, experts)
		total := 0.0
		for x := range loads {
			loads[x] = 1 / float64(4+(x+offset)%experts)
			total += loads[x]
		}
		for x := range loads {
			loads[x] /= total
		}
		return loads
	}
	layout := make(placement.Layout, ranks)
	for x := range experts {
		layout[x%ranks] = append(layout[x%ranks], x)
	}
	speeds, actualSpeeds := make([]float64, ranks), make([]float64, ranks)
	for i := range speeds {
		speeds[i], actualSpeeds[i] = 1, 1
	}
	speeds[5], actualSpeeds[5] = relativeSpeed(slowdown, true), relativeSpeed(slowdown, false)
	p := placement.Problem{Loads: demand(0), Speeds: speeds, ExpertSlots: slots, Ranks: ranks}
	rebalanced := placement.Balance(p, layout, placement.BalanceConfig{TargetSkew: 1.15, MaxFetches: spare}).Layout
	maxSkew := 0.0
	for offset := 1; offset < experts; offset++ {
		drifted := placement.Problem{Loads: demand(offset), Speeds: actualSpeeds, ExpertSlots: slots, Ranks: ranks}
		maxSkew = max(maxSkew, drifted.Skew(rebalanced))
	}
	is.True(maxSkew < 3)
}
