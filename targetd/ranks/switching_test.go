package ranks

import (
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/placement"
)

// TestNextDriftFindsLittleAtASlowRank plays a rank that is twelve times slower, and a
// drift of demand right after its experts were moved: until the next switch no rank
// may take more than three times the mean.
func TestNextDriftFindsLittleAtASlowRank(t *testing.T) {
	is := is.New(t)
	const (
		ranks, experts, places, spare = 12, 72, 8, 8
		pace                          = 12
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
	speeds, actual := make([]float64, ranks), make([]float64, ranks)
	for i := range speeds {
		speeds[i], actual[i] = 1, 1
	}
	speeds[5], actual[5] = speed(pace, true), speed(pace, false)
	p := placement.Problem{Loads: demand(0), Speeds: speeds, Slots: places, Ranks: ranks}
	next := placement.Balance(p, layout, placement.BalanceConfig{Target: 1.15, Spare: spare}).Layout
	worst := 0.0
	for offset := 1; offset < experts; offset++ {
		after := placement.Problem{Loads: demand(offset), Speeds: actual, Slots: places, Ranks: ranks}
		worst = max(worst, after.Skew(next))
	}
	is.True(worst < 3)
}
