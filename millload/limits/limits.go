// Package limits is an experiment that measures how well an organisation's limit holds
// over many entries while its traffic shifts between them, and how many bytes the
// exchange of demand costs.
package limits

import (
	"math/rand/v2"
	"time"

	"camphormill.dev/millload/experiment"
	"camphormill.dev/parts/limit"
)

// Settings are the settings of the experiment.
type Settings struct {
	Seed        uint64  `json:"seed"`
	Entries     []int   `json:"entries"`    // numbers of entries to measure
	PerSecond   float64 `json:"per_second"` // limit in requests per second
	OfferedLoad float64 `json:"offered"`    // demand as a multiple of the limit
	Seconds     int     `json:"seconds"`    // simulated time
	ShiftAt     int     `json:"shift_at_s"` // second at which the hot traffic moves to other entries
	HotShare    float64 `json:"hot_share"`  // share of entries that get most of the traffic
	// ExchangePeriodS is the period, in seconds, after which every entry has received the
	// demand of all others.
	ExchangePeriodS float64 `json:"round_s"`
	// RecordBytes is the size of the record in which one entry publishes its demand.
	RecordBytes float64 `json:"record_bytes"`
}

// Kind returns the experiment for the table of experiments.
func Kind() experiment.Kind {
	return experiment.NewKind("limits", "an organisation's limit over many entries while traffic shifts", run)
}

func run(s Settings) *experiment.Report {
	report := &experiment.Report{Columns: []string{
		"entries", "steady, of limit", "first 2 s after shift", "after that", "bytes/s an entry", "equal shares: steady",
	}}
	for _, entries := range s.Entries {
		steady, afterShift, later := measure(s, entries, true)
		equalShares, _, _ := measure(s, entries, false)
		report.AddRow(entries, steady, afterShift, later, s.RecordBytes*float64(entries)/s.ExchangePeriodS, equalShares)
	}
	return report
}

// measure returns the rate of admitted requests as a share of the limit: in the second half
// of the time before the shift, in the two seconds after it, and after that. The run must
// last more than two seconds after the shift. The limit is divided by demand, or
// into equal shares if byDemand is false.
func measure(s Settings, entries int, byDemand bool) (steady, afterShift, later float64) {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(entries)))
	publishedDemand := make([]float64, entries) // demand in requests per second, by entry
	limiters := make([]*limit.Limiter, entries)
	for i := range limiters {
		limiters[i] = limit.NewLimiter(func(string) float64 {
			if !byDemand {
				return 1 / float64(entries)
			}
			total := 0.0
			for _, demand := range publishedDemand {
				total += demand
			}
			return limit.EntryShare(publishedDemand[i], total, entries)
		})
	}
	admitted := make([]int, s.Seconds) // requests by second
	rate := limit.Rate{PerSecond: s.PerSecond, Burst: s.PerSecond / 10}
	const tick = 10 * time.Millisecond
	// perTick may be fractional; the last request of a tick is drawn.
	perTick := s.PerSecond * s.OfferedLoad * tick.Seconds()
	nextExchange := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < time.Duration(s.Seconds)*time.Second; elapsed += tick {
		now := time.Unix(0, 0).Add(elapsed)
		if elapsed >= nextExchange {
			nextExchange += time.Duration(s.ExchangePeriodS * float64(time.Second))
			for i, l := range limiters {
				publishedDemand[i] = l.Demand(now, func(string) float64 { return limit.MinPublishedDemand(s.PerSecond, entries) }, 1)["o"]
			}
		}
		for n := perTick; n > rng.Float64(); n-- {
			i := pickEntry(rng, entries, s.HotShare, elapsed >= time.Duration(s.ShiftAt)*time.Second)
			if ok, _ := limiters[i].Admit(now, "o", rate); ok {
				admitted[int(elapsed/time.Second)]++
			}
		}
	}
	admittedShare := func(from, to int) float64 {
		total := 0
		for _, n := range admitted[from:to] {
			total += n
		}
		return float64(total) / float64(to-from) / s.PerSecond
	}
	return admittedShare(s.ShiftAt/2, s.ShiftAt), admittedShare(s.ShiftAt, s.ShiftAt+2), admittedShare(s.ShiftAt+2, s.Seconds)
}

// pickEntry draws the entry of a request. One request in ten goes to any entry, the
// others to the hot entries, which are the first ones before the shift and the last ones
// after it.
func pickEntry(rng *rand.Rand, entries int, hotShare float64, shifted bool) int {
	hot := max(1, int(hotShare*float64(entries)))
	if rng.IntN(10) == 0 {
		return rng.IntN(entries)
	}
	if shifted {
		return entries - 1 - rng.IntN(hot)
	}
	return rng.IntN(hot)
}
