package experts

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"camphormill.dev/millload/experiment"
	"camphormill.dev/parts/placement"
)

// Settings are the settings of the experiment. The simulation runs in intervals; in each of
// them after the first, a policy chooses a layout. Times and lengths are numbers of intervals.
type Settings struct {
	Seed      uint64  `json:"seed"`
	Ranks     int     `json:"ranks"`
	Experts   int     `json:"experts"`
	Slots     int     `json:"slots"` // number of experts that a rank can hold in each layer
	Layers    int     `json:"layers"`
	Intervals int     `json:"intervals"`
	Exponent  float64 `json:"zipf_exponent"`
	Drift     float64 `json:"drift"`      // standard deviation per interval of the logarithm of popularity
	ExpertGiB float64 `json:"expert_gib"` // size of one expert of one layer

	PopularitySwapAt int     `json:"season_at"` // when experts exchange their popularity
	BurstAt          int     `json:"burst_at"`  // when one expert a layer becomes burstFactor times as popular
	BurstLength      int     `json:"burst_length"`
	StallAt          int     `json:"stall_at"` // when one rank, drawn for each layer, becomes slower
	StallLength      int     `json:"stall_length"`
	StallSpeed       float64 `json:"stall_speed"` // of the stalled rank, as a share of its normal speed

	// CostWeights holds values of placement.Weights.Cost. Each of them, with a skew weight
	// of 1, gives one point of the line "cost weights" in the plot.
	CostWeights []float64 `json:"cost_weights"`
	// Named holds further weights by the name under which they are reported. A name must
	// have at least 4 bytes; one that begins with "cost" joins the line "cost weights".
	Named map[string]placement.Weights `json:"named"`
}

// Kind returns the experiment for the table of experiments.
func Kind() experiment.Kind {
	return experiment.NewKind("experts", "placement of experts: skew against bytes moved", run)
}

// policy decides the layout for the next interval.
type policy struct {
	name    string
	weights *placement.Weights // nil for static and from scratch, which use no weights
	decide  func(p placement.Problem, current placement.Layout) placement.Layout
}

// policies returns the policies to compare: the two baselines static, which never changes
// the layout, and from scratch, which packs a new one in each interval, then a policy for
// each of s.Named and s.CostWeights.
func policies(s Settings) []policy {
	all := []policy{
		{name: "static", decide: func(_ placement.Problem, current placement.Layout) placement.Layout { return current }},
		{name: "from scratch", decide: func(p placement.Problem, _ placement.Layout) placement.Layout { return placement.PackReplicas(p) }},
	}
	names := make([]string, 0, len(s.Named))
	for name := range s.Named {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		all = append(all, improvePolicy(name, s.Named[name], s))
	}
	for _, cost := range s.CostWeights {
		all = append(all, improvePolicy(fmt.Sprintf("cost %g", cost), placement.Weights{Skew: 1, Cost: cost}, s))
	}
	return all
}

// improvePolicy returns the policy that improves the current layout under the weights.
func improvePolicy(name string, w placement.Weights, s Settings) policy {
	w.ExpertGiB = s.ExpertGiB
	return policy{name: name, weights: &w, decide: func(p placement.Problem, current placement.Layout) placement.Layout {
		return placement.Improve(p, current, w).Layout
	}}
}

// measurement holds what one policy reached over all layers and intervals.
type measurement struct {
	skew      []float64       // step time of the slowest rank relative to the mean
	excess    []float64       // skew divided by its lower bound, less 1
	moved     int             // number of experts that ranks had to fetch
	planTimes []time.Duration // of the decisions, by the clock of this machine
}

func run(s Settings) *experiment.Report {
	report := &experiment.Report{Columns: []string{
		"policy", "skew mean", "skew p95", "over bound mean", "over bound p50", "over bound p95", "GiB moved", "of scratch", "plan p50 ms", "plan p99 ms",
	}}
	all := policies(s)
	scratchGiB := 0.0
	curve := experiment.Line{Name: "cost weights"}
	singlePoints := []experiment.Line{}
	for _, p := range all {
		m := measure(s, p)
		gib := float64(m.moved) * s.ExpertGiB
		if p.name == "from scratch" {
			scratchGiB = gib
		}
		report.AddRow(p.name, mean(m.skew), quantile(m.skew, 0.95), mean(m.excess), quantile(m.excess, 0.5), quantile(m.excess, 0.95), gib, ratio(gib, scratchGiB),
			milliseconds(quantile(m.planTimes, 0.5)), milliseconds(quantile(m.planTimes, 0.99)))
		point := [2]float64{gib, mean(m.excess)}
		if p.weights != nil && p.name[:4] == "cost" {
			curve.Points = append(curve.Points, point)
		} else {
			singlePoints = append(singlePoints, experiment.Line{Name: p.name, Points: [][2]float64{point}})
		}
	}
	title := fmt.Sprintf("%d ranks, %d experts, %d layers", s.Ranks, s.Experts, s.Layers)
	report.Plot = &experiment.Plot{Title: title, X: "GiB moved", Y: "step time over lower bound", Lines: append([]experiment.Line{curve}, singlePoints...)}
	return report
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// measure runs a policy. In each interval the policy plans with the loads forecast from
// those observed so far and with the speeds of the previous interval. The layout is then
// measured with the loads and speeds of the interval itself.
func measure(s Settings, p policy) measurement {
	var m measurement
	for layer := range s.Layers {
		t := newTraffic(s.Seed, layer, s.Experts, s.Exponent, s.Drift)
		// The offset 1000 gives a random sequence other than that of the traffic, whose
		// second seed is the layer alone.
		stalledRank := rand.New(rand.NewPCG(s.Seed, uint64(layer)+1000)).IntN(s.Ranks)
		problem := placement.Problem{Ranks: s.Ranks, ExpertSlots: s.Slots, Loads: t.next(0, s)}
		layout := placement.PackReplicas(problem)
		forecast := placement.Forecast{}.With(problem.Loads)
		for interval := 1; interval < s.Intervals; interval++ {
			planned := problem
			planned.Loads = forecast.Next()
			start := time.Now()
			next := p.decide(planned, layout)
			m.planTimes = append(m.planTimes, time.Since(start))
			m.moved += placement.CountFetches(layout, next)
			layout = next
			problem.Loads = t.next(interval, s)
			problem.Speeds = speeds(s, interval, stalledRank)
			skew := problem.Skew(layout)
			m.skew = append(m.skew, skew)
			m.excess = append(m.excess, skew/problem.LowerBound()-1)
			forecast = forecast.With(problem.Loads)
		}
	}
	return m
}

// speeds returns the relative speeds of the ranks in an interval. One rank is slower
// while the stall lasts.
func speeds(s Settings, interval, stalledRank int) []float64 {
	all := slices.Repeat([]float64{1}, s.Ranks)
	if interval >= s.StallAt && interval < s.StallAt+s.StallLength {
		all[stalledRank] = s.StallSpeed
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

// quantile returns the quantile q, from 0 to 1, of the values.
func quantile[T float64 | time.Duration](values []T, q float64) T {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
