// Package limits measures how well an organisation's limit holds over many
// entries while its traffic shifts, and what the exchange of demand costs.
package limits

import (
	"math/rand/v2"
	"time"

	"camphormill.dev/millload/experiment"
	"camphormill.dev/parts/limit"
)

// Settings of the experiment.
type Settings struct {
	Seed      uint64  `json:"seed"`
	Entries   []int   `json:"entries"` // fleets to measure
	PerSecond float64 `json:"per_second"`
	Offered   float64 `json:"offered"` // demand as a multiple of the limit
	Seconds   int     `json:"seconds"`
	ShiftAt   int     `json:"shift_at_s"` // when all traffic goes to other entries
	Hot       float64 `json:"hot_share"`  // entries that have most of the traffic
	// RoundS is the time until an entry's demand is known to all others.
	RoundS float64 `json:"round_s"`
	// RecordBytes is the size of one entry's word about its demand.
	RecordBytes float64 `json:"record_bytes"`
}

// Kind is the experiment's entry in the table of experiments.
func Kind() experiment.Kind {
	return experiment.New("limits", "an organisation's limit over many entries while traffic shifts", run)
}

func run(s Settings) *experiment.Report {
	report := &experiment.Report{Columns: []string{
		"entries", "steady, of limit", "first 2 s after shift", "after that", "bytes/s an entry", "equal shares: steady",
	}}
	for _, entries := range s.Entries {
		steady, first, later := measure(s, entries, true)
		equal, _, _ := measure(s, entries, false)
		report.Add(entries, steady, first, later, s.RecordBytes*float64(entries)/s.RoundS, equal)
	}
	return report
}

// measure returns what was admitted, as a share of the limit: before the shift,
// in the two seconds after it, and after that.
func measure(s Settings, entries int, divided bool) (steady, first, later float64) {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(entries)))
	published := make([]float64, entries)
	limiters := make([]*limit.Limiter, entries)
	for i := range limiters {
		limiters[i] = limit.NewLimiter(func(string) float64 {
			if !divided {
				return 1 / float64(entries)
			}
			total := 0.0
			for _, demand := range published {
				total += demand
			}
			return limit.DividedShare(published[i], total, entries)
		})
	}
	admitted := make([]int, s.Seconds)
	rate := limit.Rate{PerSecond: s.PerSecond, Burst: s.PerSecond / 10}
	const tick = 10 * time.Millisecond
	perTick := s.PerSecond * s.Offered * tick.Seconds()
	nextRound := time.Duration(0)
	for at := time.Duration(0); at < time.Duration(s.Seconds)*time.Second; at += tick {
		now := time.Unix(0, 0).Add(at)
		if at >= nextRound {
			nextRound += time.Duration(s.RoundS * float64(time.Second))
			for i, l := range limiters {
				published[i] = l.Demand(now, func(string) float64 { return limit.PublishFloor(s.PerSecond, entries) }, 1)["o"]
			}
		}
		for n := perTick; n > rng.Float64(); n-- {
			i := pick(rng, entries, s.Hot, at >= time.Duration(s.ShiftAt)*time.Second)
			if ok, _ := limiters[i].Admit(now, "o", rate); ok {
				admitted[int(at/time.Second)]++
			}
		}
	}
	over := func(from, to int) float64 {
		total := 0
		for _, n := range admitted[from:to] {
			total += n
		}
		return float64(total) / float64(to-from) / s.PerSecond
	}
	return over(s.ShiftAt/2, s.ShiftAt), over(s.ShiftAt, s.ShiftAt+2), over(s.ShiftAt+2, s.Seconds)
}

// pick chooses the entry of a request: nine in ten go to the hot entries, which
// are the first ones before the shift and the last ones after it.
func pick(rng *rand.Rand, entries int, hot float64, shifted bool) int {
	n := max(1, int(hot*float64(entries)))
	if rng.IntN(10) == 0 {
		return rng.IntN(entries)
	}
	if shifted {
		return entries - 1 - rng.IntN(n)
	}
	return rng.IntN(n)
}
