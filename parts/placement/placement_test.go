package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/placement"
)

// zipf returns Zipf-distributed loads of experts in random order.
func zipf(rng *rand.Rand, experts int, exponent float64) []float64 {
	loads := make([]float64, experts)
	for i, expert := range rng.Perm(experts) {
		loads[expert] = 1000 / math.Pow(float64(i+1), exponent)
	}
	return loads
}

func problem(seed uint64, ranks, slots int) placement.Problem {
	rng := rand.New(rand.NewPCG(seed, seed))
	return placement.Problem{Loads: zipf(rng, 64, 0.8), ExpertSlots: slots, Ranks: ranks}
}

func TestImproveKeepsLayoutsValid(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		p := problem(seed, 16, 6)
		start := placement.PackReplicas(p)
		p.Loads = zipf(rand.New(rand.NewPCG(seed, 1)), 64, 0.8)
		plan := placement.Improve(p, start, placement.Weights{Skew: 1, ExpertGiB: 0.04})
		seen := map[int]bool{}
		for _, held := range plan.Layout {
			is.True(len(held) <= p.ExpertSlots)
			sorted := slices.Sorted(slices.Values(held))
			is.Equal(len(slices.Compact(sorted)), len(held)) // no expert twice on a rank
			for _, e := range held {
				seen[e] = true
			}
		}
		is.Equal(len(seen), 64)                                 // every expert has a replica
		is.True(plan.Skew <= p.Skew(start)+1e-9)                // never worse
		is.True(math.Abs(plan.Skew-p.Skew(plan.Layout)) < 1e-9) // the plan reports the skew of its layout
		is.True(plan.Skew >= p.LowerBound()-1e-9)
	}
}

func TestImproveMovesNothingForASmallDrift(t *testing.T) {
	is := is.New(t)
	p := problem(3, 16, 6)
	start := placement.PackReplicas(p)
	p.Loads[7] *= 1.05
	plan := placement.Improve(p, start, placement.Weights{Skew: 1, Cost: 100, ExpertGiB: 0.04})
	is.Equal(plan.Fetched, 0)
}

func TestImproveRelievesSlowRank(t *testing.T) {
	is := is.New(t)
	p := problem(4, 16, 6)
	start := placement.PackReplicas(p)
	p.Speeds = slices.Repeat([]float64{1}, 16)
	p.Speeds[5] = 0.5
	plan := placement.Improve(p, start, placement.Weights{Skew: 1, ExpertGiB: 0.04})
	is.True(p.Skew(start) > 1.5)
	is.True(plan.Skew < 1.1)
}

func BenchmarkImprove256(b *testing.B) {
	p := problem(1, 256, 1)
	start := placement.PackReplicas(p)
	p.Loads = zipf(rand.New(rand.NewPCG(9, 9)), 64, 0.8)
	b.ReportAllocs()
	for b.Loop() {
		placement.Improve(p, start, placement.Weights{Skew: 1, Cost: 0.05, ExpertGiB: 0.04})
	}
}

func ExampleImprove() {
	p := placement.Problem{Loads: []float64{90, 30, 30, 30}, Ranks: 3, ExpertSlots: 2}
	start := placement.Layout{{0, 1}, {1, 2}, {2, 3}}
	plan := placement.Improve(p, start, placement.Weights{Skew: 1, Cost: 0.1, ExpertGiB: 0.04})
	fmt.Printf("skew %.2f to %.2f by fetching %d experts\n", p.Skew(start), plan.Skew, plan.Fetched)
	// Output: skew 1.75 to 1.00 by fetching 1 experts
}

func ExampleForecast() {
	f := placement.Forecast{}.With([]float64{10, 10}).With([]float64{20, 10})
	fmt.Printf("%.1f\n", f.Next())
	// Output: [17.7 10.0]
}
