// Package overload measures retries: load goes to twice the capacity for a time
// and back, and goodput must come back with it.
package overload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"camphormill.dev/millload/experiment"
	"camphormill.dev/parts/admission"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/limit"
)

// Settings of the experiment.
type Settings struct {
	Seed       uint64  `json:"seed"`
	Capacity   int     `json:"capacity"`   // places of the one target
	ServiceMS  int     `json:"service_ms"` // that a request holds its place
	TimeoutMS  int     `json:"timeout_ms"` // of the caller
	Load       float64 `json:"load"`       // share of the capacity, before and after
	Peak       float64 `json:"peak"`       // the same in the overload
	PeakFromS  int     `json:"peak_from_s"`
	PeakToS    int     `json:"peak_to_s"`
	Seconds    int     `json:"seconds"`
	RetryShare float64 `json:"retry_share"`
}

// Kind is the experiment's entry in the table of experiments.
func Kind() experiment.Kind {
	return experiment.New("overload", "goodput when load goes to twice the capacity and back", run)
}

func run(s Settings) *experiment.Report {
	report := &experiment.Report{Columns: []string{"policy", "goodput before", "in overload", "after", "recovered after s", "retries"}}
	report.Plot = &experiment.Plot{Title: "goodput", X: "seconds", Y: "served in time, of capacity"}
	for _, name := range []string{"naive", "camphormill"} {
		w := newWorld(s, name == "naive")
		w.run()
		before := w.mean(0, s.PeakFromS)
		recovered := "never"
		for second := s.PeakToS; second+5 <= s.Seconds; second++ {
			if w.mean(second, second+5) >= 0.95*before {
				recovered = fmt.Sprint(second - s.PeakToS)
				break
			}
		}
		report.Add(name, before, w.mean(s.PeakFromS, s.PeakToS), w.mean(s.PeakToS, s.Seconds), recovered, w.retries)
		line := experiment.Line{Name: name}
		for second := range s.Seconds {
			line.Points = append(line.Points, [2]float64{float64(second), w.mean(second, second+1)})
		}
		report.Plot.Lines = append(report.Plot.Lines, line)
	}
	return report
}

// world advances in ticks of a millisecond.
type world struct {
	settings Settings
	naive    bool
	rng      *rand.Rand
	now      time.Time
	queue    *admission.Queue
	budget   *limit.Budget
	line     []call      // the naive queue: first come, first served
	ends     map[int]int // how many places become free at a tick
	due      map[int]int // retries that come at a tick
	calls    map[string]call
	served   []int // in time, by second
	running  int
	retries  int
	ids      int
}

type call struct {
	deadline int // tick
}

func newWorld(s Settings, naive bool) *world {
	return &world{
		settings: s, naive: naive, rng: rand.New(rand.NewPCG(s.Seed, s.Seed)), now: time.Unix(0, 0),
		queue: admission.NewQueue(s.Capacity), budget: limit.NewBudget(),
		ends: map[int]int{}, due: map[int]int{}, calls: map[string]call{}, served: make([]int, s.Seconds+1),
	}
}

// mean is the goodput between two seconds, as a share of the capacity.
func (w *world) mean(from, to int) float64 {
	total := 0
	for second := from; second < to; second++ {
		total += w.served[second]
	}
	perSecond := float64(w.settings.Capacity) * 1000 / float64(w.settings.ServiceMS)
	return float64(total) / float64(to-from) / perSecond
}

func (w *world) run() {
	for tick := range w.settings.Seconds * 1000 {
		w.now = time.Unix(0, 0).Add(time.Duration(tick) * time.Millisecond)
		w.release(tick)
		for range w.arrivals(tick) {
			w.budget.FirstTry(w.settings.RetryShare)
			w.offer(tick)
		}
		for range w.due[tick] {
			w.retries++
			w.offer(tick)
		}
		delete(w.due, tick)
	}
}

func (w *world) arrivals(tick int) int {
	s := w.settings
	load := s.Load
	if second := tick / 1000; second >= s.PeakFromS && second < s.PeakToS {
		load = s.Peak
	}
	mean := load * float64(s.Capacity) / float64(s.ServiceMS)
	n := 0
	for at := w.rng.ExpFloat64() / mean; at < 1; at += w.rng.ExpFloat64() / mean {
		n++
	}
	return n
}

// offer brings one request, new or sent again, to the target.
func (w *world) offer(tick int) {
	c := call{deadline: tick + w.settings.TimeoutMS}
	if w.naive {
		// The caller gives up at its deadline and sends again; the target does
		// not know and serves the old request all the same.
		w.line = append(w.line, c)
		w.startNaive(tick)
		return
	}
	w.ids++
	id := fmt.Sprint(w.ids)
	verdict, _ := w.queue.Offer(w.now, admission.Request{
		ID: id, Organisation: "o", Weight: 1, Class: contract.ClassInteractive,
		// A request that cannot start in time to end in time is refused at once.
		Deadline: w.now.Add(time.Duration(w.settings.TimeoutMS-w.settings.ServiceMS) * time.Millisecond),
	})
	switch verdict {
	case admission.VerdictRun:
		w.begin(tick, c)
	case admission.VerdictWait:
		w.calls[id] = c
	case admission.VerdictRefuse:
		w.again(tick)
	}
}

// again lets the entry try once more, if its budget has a retry.
func (w *world) again(tick int) {
	if w.budget.Retry() {
		w.due[tick+1+w.rng.IntN(w.settings.TimeoutMS)]++
	}
}

func (w *world) begin(tick int, c call) {
	end := tick + w.settings.ServiceMS
	w.ends[end]++
	if end <= c.deadline {
		w.served[min(end/1000, w.settings.Seconds)]++
		return
	}
	if w.naive {
		w.due[max(c.deadline, tick+1)]++
	}
}

func (w *world) startNaive(tick int) {
	for w.running < w.settings.Capacity && len(w.line) > 0 {
		c := w.line[0]
		w.line = w.line[1:]
		w.running++
		w.begin(tick, c)
	}
}

func (w *world) release(tick int) {
	for range w.ends[tick] {
		if w.naive {
			w.running--
			w.startNaive(tick)
			continue
		}
		w.queue.Done(time.Duration(w.settings.ServiceMS) * time.Millisecond)
		next, late := w.queue.Next(w.now)
		for range late {
			w.again(tick)
		}
		if next != nil {
			w.begin(tick, w.calls[next.ID])
			delete(w.calls, next.ID)
		}
	}
	delete(w.ends, tick)
}
