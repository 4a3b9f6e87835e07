// Package overload is an experiment on retries under overload. The load of one target
// rises above its capacity, usually to twice the capacity, and falls back; the experiment
// measures whether goodput, the rate of requests that end by their deadline, recovers.
package overload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"camphormill.dev/millload/experiment"
	"camphormill.dev/parts/admission"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/limit"
)

// Settings are the settings of the experiment.
type Settings struct {
	Seed       uint64  `json:"seed"`
	Capacity   int     `json:"capacity"`    // slots of the target
	ServiceMS  int     `json:"service_ms"`  // time that a request holds its slot
	TimeoutMS  int     `json:"timeout_ms"`  // of the caller
	Load       float64 `json:"load"`        // before and after the overload, as a share of the capacity
	Peak       float64 `json:"peak"`        // in the overload, as a share of the capacity
	PeakFromS  int     `json:"peak_from_s"` // second at which the overload begins
	PeakToS    int     `json:"peak_to_s"`   // second at which it ends
	Seconds    int     `json:"seconds"`     // simulated time
	RetryShare float64 `json:"retry_share"` // retries allowed per first attempt
}

// Kind returns the experiment for the table of experiments.
func Kind() experiment.Kind {
	return experiment.NewKind("overload", "goodput when load goes to twice the capacity and back", run)
}

func run(s Settings) *experiment.Report {
	report := &experiment.Report{Columns: []string{"policy", "goodput before", "in overload", "after", "recovered after s", "retries"}}
	report.Plot = &experiment.Plot{Title: "goodput", X: "seconds", Y: "served in time, of capacity"}
	for _, name := range []string{"naive", "camphormill"} {
		sim := newSimulation(s, name == "naive")
		sim.run()
		before := sim.goodput(0, s.PeakFromS)
		// Recovered means that the goodput over 5 s is at least 95 % of that before.
		recovered := "never"
		for second := s.PeakToS; second+5 <= s.Seconds; second++ {
			if sim.goodput(second, second+5) >= 0.95*before {
				recovered = fmt.Sprint(second - s.PeakToS)
				break
			}
		}
		report.AddRow(name, before, sim.goodput(s.PeakFromS, s.PeakToS), sim.goodput(s.PeakToS, s.Seconds), recovered, sim.retries)
		line := experiment.Line{Name: name}
		for second := range s.Seconds {
			line.Points = append(line.Points, [2]float64{float64(second), sim.goodput(second, second+1)})
		}
		report.Plot.Lines = append(report.Plot.Lines, line)
	}
	return report
}

// simulation advances in ticks of one millisecond. In the naive variant the target has a
// plain FIFO queue and callers retry at their deadline without a budget. In the other one,
// "camphormill", the target has the admission queue and the entry retries within a budget.
type simulation struct {
	settings Settings
	naive    bool
	rng      *rand.Rand
	now      time.Time
	queue    *admission.Queue
	budget   *limit.RetryBudget
	fifo     []request          // queue of the naive variant
	ends     map[int]int        // number of requests that end, by tick
	retryAt  map[int]int        // number of retries that arrive, by tick
	queued   map[string]request // requests in queue, by ID
	served   []int              // requests that end by their deadline, by second
	running  int                // slots in use in the naive variant
	retries  int
	lastID   int
}

type request struct {
	deadline int // in ticks
}

// The limit of retries, beside the experiment's retry share.
const (
	retryReserve = 25
	retryWindow  = 10 * time.Second
)

func newSimulation(s Settings, naive bool) *simulation {
	return &simulation{
		settings: s, naive: naive, rng: rand.New(rand.NewPCG(s.Seed, s.Seed)), now: time.Unix(0, 0),
		queue: admission.NewQueue(s.Capacity), budget: limit.NewRetryBudget(limit.RetryLimit{Ratio: s.RetryShare, Reserve: retryReserve, Window: retryWindow}, 0),
		ends: map[int]int{}, retryAt: map[int]int{}, queued: map[string]request{}, served: make([]int, s.Seconds+1),
	}
}

// clock returns the simulated time for the retry budget.
func (sim *simulation) clock() freshness.Instant {
	return freshness.Instant(sim.now.Sub(time.Unix(0, 0)))
}

// goodput returns the mean goodput from one second to another, as a share of the
// capacity.
func (sim *simulation) goodput(from, to int) float64 {
	total := 0
	for second := from; second < to; second++ {
		total += sim.served[second]
	}
	perSecond := float64(sim.settings.Capacity) * 1000 / float64(sim.settings.ServiceMS)
	return float64(total) / float64(to-from) / perSecond
}

func (sim *simulation) run() {
	for tick := range sim.settings.Seconds * 1000 {
		sim.now = time.Unix(0, 0).Add(time.Duration(tick) * time.Millisecond)
		sim.release(tick)
		for range sim.arrivals(tick) {
			sim.budget.Deposit(sim.clock())
			sim.offer(tick)
		}
		for range sim.retryAt[tick] {
			sim.retries++
			sim.offer(tick)
		}
		delete(sim.retryAt, tick)
	}
}

// arrivals draws how many new requests arrive in a tick (a Poisson process).
func (sim *simulation) arrivals(tick int) int {
	s := sim.settings
	load := s.Load
	if second := tick / 1000; second >= s.PeakFromS && second < s.PeakToS {
		load = s.Peak
	}
	mean := load * float64(s.Capacity) / float64(s.ServiceMS)
	n := 0
	for at := sim.rng.ExpFloat64() / mean; at < 1; at += sim.rng.ExpFloat64() / mean {
		n++
	}
	return n
}

// offer sends one request, new or retried, to the target.
func (sim *simulation) offer(tick int) {
	r := request{deadline: tick + sim.settings.TimeoutMS}
	if sim.naive {
		// The caller gives up at its deadline and retries. The target receives
		// no cancellation and serves the old request as well.
		sim.fifo = append(sim.fifo, r)
		sim.startFromFIFO(tick)
		return
	}
	sim.lastID++
	id := fmt.Sprint(sim.lastID)
	decision, _ := sim.queue.Offer(sim.now, admission.Request{
		ID: id, Organisation: "o", Weight: 1, Class: contract.ClassInteractive,
		// The queue deadline is the latest start that still ends before the timeout, so
		// a request that cannot end in time is refused at once.
		Deadline: sim.now.Add(time.Duration(sim.settings.TimeoutMS-sim.settings.ServiceMS) * time.Millisecond),
	})
	switch decision {
	case admission.DecisionRun:
		sim.start(tick, r)
	case admission.DecisionWait:
		sim.queued[id] = r
	case admission.DecisionRefuse:
		sim.retry(tick)
	}
}

// retry schedules a retry by the entry at a random time within the next TimeoutMS if its
// budget allows one. Otherwise the request is given up.
func (sim *simulation) retry(tick int) {
	if sim.budget.Withdraw(sim.clock(), 1) {
		sim.retryAt[tick+1+sim.rng.IntN(sim.settings.TimeoutMS)]++
	}
}

// start starts a request in a free slot. A naive request that will end too late is retried
// at its deadline, or in the next tick if the deadline has passed.
func (sim *simulation) start(tick int, r request) {
	end := tick + sim.settings.ServiceMS
	sim.ends[end]++
	if end <= r.deadline {
		sim.served[min(end/1000, sim.settings.Seconds)]++
		return
	}
	if sim.naive {
		sim.retryAt[max(r.deadline, tick+1)]++
	}
}

// startFromFIFO starts queued requests of the naive variant while slots are free.
func (sim *simulation) startFromFIFO(tick int) {
	for sim.running < sim.settings.Capacity && len(sim.fifo) > 0 {
		r := sim.fifo[0]
		sim.fifo = sim.fifo[1:]
		sim.running++
		sim.start(tick, r)
	}
}

// release frees the slots of the requests that end in a tick and starts queued ones.
func (sim *simulation) release(tick int) {
	for range sim.ends[tick] {
		if sim.naive {
			sim.running--
			sim.startFromFIFO(tick)
			continue
		}
		sim.queue.Done(time.Duration(sim.settings.ServiceMS) * time.Millisecond)
		next, expired := sim.queue.Next(sim.now)
		for range expired {
			sim.retry(tick)
		}
		if next != nil {
			sim.start(tick, sim.queued[next.ID])
			delete(sim.queued, next.ID)
		}
	}
	delete(sim.ends, tick)
}
