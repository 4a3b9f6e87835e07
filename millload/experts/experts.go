package experts

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"camphormill.dev/millload/experiment"
	"camphormill.dev/parts/placement"
)

// Settings of the experiment.
type Settings struct {
	Seed      uint64  `json:"seed"`
	Ranks     int     `json:"ranks"`
	Experts   int     `json:"experts"`
	Slots     int     `json:"slots"`
	Layers    int     `json:"layers"`
	Intervals int     `json:"intervals"`
	Exponent  float64 `json:"zipf_exponent"`
	Drift     float64 `json:"drift"` // of the logarithm of popularity, each interval
	ExpertGiB float64 `json:"expert_gib"`

	SeasonAt    int     `json:"season_at"`
	BurstAt     int     `json:"burst_at"`
	BurstLength int     `json:"burst_length"`
	StallAt     int     `json:"stall_at"`
	StallLength int     `json:"stall_length"`
	StallSpeed  float64 `json:"stall_speed"`

	// CostWeights are swept at a skew weight of 1, for the curve.
	CostWeights []float64 `json:"cost_weights"`
	// Named weights are reported by name.
	Named map[string]placement.Weights `json:"named"`
}

// Kind is the experiment's entry in the table of experiments.
func Kind() experiment.Kind {
	return experiment.New("experts", "placement of experts: skew against bytes moved", run)
}

// policy decides a layout for the next interval.
type policy struct {
	name    string
	weights *placement.Weights // nil for a baseline
	decide  func(p placement.Problem, current placement.Layout) placement.Layout
}

func policies(s Settings) []policy {
	all := []policy{
		{name: "static", decide: func(_ placement.Problem, current placement.Layout) placement.Layout { return current }},
		{name: "from scratch", decide: func(p placement.Problem, _ placement.Layout) placement.Layout { return placement.FromScratch(p) }},
	}
	names := make([]string, 0, len(s.Named))
	for name := range s.Named {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		all = append(all, improving(name, s.Named[name], s))
	}
	for _, cost := range s.CostWeights {
		all = append(all, improving(fmt.Sprintf("cost %g", cost), placement.Weights{Skew: 1, Cost: cost}, s))
	}
	return all
}

func improving(name string, w placement.Weights, s Settings) policy {
	w.ExpertGiB = s.ExpertGiB
	return policy{name: name, weights: &w, decide: func(p placement.Problem, current placement.Layout) placement.Layout {
		return placement.Improve(p, current, w).Layout
	}}
}

// outcome is what one policy did over all layers and intervals.
type outcome struct {
	skew   []float64 // against an even step
	excess []float64 // skew against the lower bound
	moved  int
	plans  []time.Duration
}

func run(s Settings) *experiment.Report {
	report := &experiment.Report{Columns: []string{
		"policy", "skew mean", "skew p95", "over bound mean", "over bound p50", "over bound p95", "GiB moved", "of scratch", "plan p50 ms", "plan p99 ms",
	}}
	all := policies(s)
	scratch := 0.0
	curve := experiment.Line{Name: "cost weights"}
	others := []experiment.Line{}
	for _, p := range all {
		o := measure(s, p)
		gib := float64(o.moved) * s.ExpertGiB
		if p.name == "from scratch" {
			scratch = gib
		}
		report.Add(p.name, mean(o.skew), quantile(o.skew, 0.95), mean(o.excess), quantile(o.excess, 0.5), quantile(o.excess, 0.95), gib, ratio(gib, scratch),
			milliseconds(quantile(o.plans, 0.5)), milliseconds(quantile(o.plans, 0.99)))
		point := [2]float64{gib, mean(o.excess)}
		if p.weights != nil && p.name[:4] == "cost" {
			curve.Points = append(curve.Points, point)
		} else {
			others = append(others, experiment.Line{Name: p.name, Points: [][2]float64{point}})
		}
	}
	title := fmt.Sprintf("%d ranks, %d experts, %d layers", s.Ranks, s.Experts, s.Layers)
	report.Plot = &experiment.Plot{Title: title, X: "GiB moved", Y: "step time over lower bound", Lines: append([]experiment.Line{curve}, others...)}
	return report
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// measure runs a policy: each interval it plans with what it has observed, and
// the loads of the next interval judge it.
func measure(s Settings, p policy) outcome {
	var o outcome
	for layer := range s.Layers {
		t := newTraffic(s.Seed, layer, s.Experts, s.Exponent, s.Drift)
		stalled := rand.New(rand.NewPCG(s.Seed, uint64(layer)+1000)).IntN(s.Ranks)
		problem := placement.Problem{Ranks: s.Ranks, Slots: s.Slots, Loads: t.next(0, s)}
		layout := placement.FromScratch(problem)
		forecast := placement.Forecast{}.With(problem.Loads)
		for interval := 1; interval < s.Intervals; interval++ {
			planned := problem
			planned.Loads = forecast.Next()
			began := time.Now()
			next := p.decide(planned, layout)
			o.plans = append(o.plans, time.Since(began))
			o.moved += placement.Moved(layout, next)
			layout = next
			problem.Loads = t.next(interval, s)
			problem.Speeds = speeds(s, interval, stalled)
			skew := problem.Skew(layout)
			o.skew = append(o.skew, skew)
			o.excess = append(o.excess, skew/problem.LowerBound()-1)
			forecast = forecast.With(problem.Loads)
		}
	}
	return o
}

// speeds are those of the ranks in an interval; one rank stalls for a time.
func speeds(s Settings, interval, stalled int) []float64 {
	all := slices.Repeat([]float64{1}, s.Ranks)
	if interval >= s.StallAt && interval < s.StallAt+s.StallLength {
		all[stalled] = s.StallSpeed
	}
	return all
}

func mean(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total / float64(len(values))
}

func quantile[T float64 | time.Duration](values []T, q float64) T {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
