// Package routes measures the choice of targets by small queues at the targets:
// several entries, each with its own stale view, choose by the daemons' policies.
package routes

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"camphormill.dev/millload/experiment"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/routing"
)

// Settings of the experiment.
type Settings struct {
	Seed     uint64  `json:"seed"`
	Entries  int     `json:"entries"`
	Targets  int     `json:"targets"`
	Capacity int     `json:"capacity"` // of a target
	Load     float64 `json:"load"`     // share of the whole capacity
	Seconds  float64 `json:"seconds"`
	// ServiceMS is the mean time that a request holds its place.
	ServiceMS float64 `json:"service_ms"`
	// ReportLagMS is the age of the load reports of targets.
	ReportLagMS float64 `json:"report_lag_ms"`
	SlowTargets int     `json:"slow_targets"`
	SlowFactor  float64 `json:"slow_factor"`
	// DeadFrom and DeadTo are when the first third of the targets, a zone, is
	// gone, as parts of the whole time.
	DeadFrom float64 `json:"dead_from"`
	DeadTo   float64 `json:"dead_to"`
}

// Kind is the experiment's entry in the table of experiments.
func Kind() experiment.Kind {
	return experiment.New("routes", "choice of targets: wait for a place, by policy", run)
}

func run(s Settings) *experiment.Report {
	report := &experiment.Report{Columns: []string{"policy", "requests", "wait p50 ms", "wait p95 ms", "wait p99 ms", "waited", "calls a request"}}
	plot := &experiment.Plot{Title: fmt.Sprintf("%d targets at %.0f%%", s.Targets, 100*s.Load), X: "quantile", Y: "wait, ms"}
	for _, name := range []string{"random", "round_robin", "least_reported", "scored", "scored+bounce"} {
		w := newWorld(s, name)
		w.run()
		slices.Sort(w.waits)
		at := func(q float64) float64 { return w.waits[int(q*float64(len(w.waits)-1))] }
		waited := 0
		for _, wait := range w.waits {
			if wait > 0 {
				waited++
			}
		}
		report.Add(name, len(w.waits), at(0.5), at(0.95), at(0.99), float64(waited)/float64(len(w.waits)), float64(w.messages)/float64(len(w.waits)))
		line := experiment.Line{Name: name}
		for _, q := range []float64{0.5, 0.75, 0.9, 0.95, 0.99} {
			line.Points = append(line.Points, [2]float64{q, at(q)})
		}
		plot.Lines = append(plot.Lines, line)
	}
	report.Plot = plot
	return report
}

// event is an arrival, or the end of a request at a target.
type event struct {
	at            float64 // milliseconds
	entry, target int     // target is -1 for an arrival
	reply         bool    // the answer reaches the entry
	load          contract.Load
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an event; it belongs to container/heap.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event; it belongs to container/heap.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

type waiting struct {
	since float64
	entry int
}

type target struct {
	running int
	queue   []waiting
	slow    float64
}

type world struct {
	settings Settings
	rng      *rand.Rand
	config   routing.PolicyConfig
	policies []routing.Policy // of each entry
	views    [][]routing.Target
	targets  []target
	reports  [][]contract.Load // of each target, newest last
	events   eventHeap
	waits    []float64
	scored   bool
	bounces  bool // from busy targets, as the daemons do
	messages int  // calls sent to targets
}

// hop is the time from entry to target, in milliseconds.
const hop = 1.0

func newWorld(s Settings, policy string) *world {
	w := &world{settings: s, rng: rand.New(rand.NewPCG(s.Seed, s.Seed)), scored: policy == "scored" || policy == "scored+bounce", bounces: policy == "scored+bounce"}
	w.targets = make([]target, s.Targets)
	for i := range w.targets {
		w.targets[i].slow = 1
		if i < s.SlowTargets {
			w.targets[i].slow = s.SlowFactor
		}
	}
	config := routing.PolicyConfig{Uint64N: w.rng.Uint64N}
	w.config = config
	for range s.Entries {
		w.policies = append(w.policies, map[string]func() routing.Policy{
			"random":         func() routing.Policy { return routing.NewRandom(config) },
			"round_robin":    routing.NewRoundRobin,
			"least_reported": routing.NewLeastReported,
			"scored":         func() routing.Policy { return routing.NewScored(config) },
			"scored+bounce":  func() routing.Policy { return routing.NewScored(config) },
		}[policy]())
		view := make([]routing.Target, s.Targets)
		for i := range view {
			view[i] = routing.Target{Name: fmt.Sprint(i), Zone: "a", Load: contract.Load{Capacity: s.Capacity}, Reached: true}
		}
		w.views = append(w.views, view)
	}
	return w
}

// perMS is the rate of arrivals.
func (w *world) perMS() float64 {
	s := w.settings
	capacity := 0.0
	for _, t := range w.targets {
		capacity += float64(s.Capacity) / t.slow
	}
	return s.Load * capacity / s.ServiceMS
}

func (w *world) run() {
	end := w.settings.Seconds * 1000
	w.events = append(w.events, event{at: 0, target: -1})
	nextReport := 0.0
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		for nextReport <= e.at {
			w.report(nextReport / end)
			nextReport += w.settings.ReportLagMS
		}
		switch {
		case e.reply:
			w.answered(e)
		case e.target >= 0:
			w.finish(e)
		case e.at < end:
			w.arrive(e.at)
			heap.Push(&w.events, event{at: e.at + w.rng.ExpFloat64()/w.perMS(), target: -1})
		}
	}
}

// report gives entries the loads that targets had one lag ago, and whether the
// zone that fails is there.
func (w *world) report(part float64) {
	loads := make([]contract.Load, len(w.targets))
	for i, t := range w.targets {
		loads[i] = w.load(t)
	}
	w.reports = append(w.reports, loads)
	old := w.reports[max(0, len(w.reports)-2)]
	if len(w.reports) > 2 {
		w.reports = w.reports[1:]
	}
	dead := part >= w.settings.DeadFrom && part < w.settings.DeadTo
	for _, view := range w.views {
		for i := range view {
			view[i].Reached = !dead || i >= len(view)/3
			if !w.scored {
				view[i].Load = old[i]
			}
		}
	}
}

func (w *world) load(t target) contract.Load {
	return contract.Load{Running: t.running, Queued: len(t.queue), Capacity: w.settings.Capacity}
}

func (w *world) arrive(at float64) {
	w.send(at, at, w.rng.IntN(w.settings.Entries), map[string]bool{})
}

// send brings a request that came at since to a target, or on from a busy one.
func (w *world) send(at, since float64, entry int, tried map[string]bool) {
	view := w.views[entry]
	q := routing.Request{Zone: "a", Excluded: tried}
	i := w.policies[entry].Pick(q, view)
	w.messages++
	t := &w.targets[i]
	free := t.running < w.settings.Capacity
	const maxBounces = 2
	if tried[view[i].Name] = true; !free && w.bounces && len(tried) <= maxBounces && routing.AnyFree(w.config, q, view) {
		view[i].Load, view[i].Sent = w.load(*t), 0
		w.send(at+2*hop, since, entry, tried)
		return
	}
	view[i].Inflight++
	view[i].Sent++
	if free {
		w.waits = append(w.waits, at-since)
		w.start(at, entry, i)
		return
	}
	t.queue = append(t.queue, waiting{since: since, entry: entry})
}

func (w *world) start(at float64, entry, i int) {
	t := &w.targets[i]
	t.running++
	// Lognormal service times: a few long drafts among many short ones.
	const sigma = 0.8
	took := w.settings.ServiceMS * math.Exp(sigma*w.rng.NormFloat64()-sigma*sigma/2) * t.slow
	heap.Push(&w.events, event{at: at + took, entry: entry, target: i})
}

func (w *world) finish(e event) {
	t := &w.targets[e.target]
	t.running--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		w.waits = append(w.waits, e.at-next.since)
		w.start(e.at, next.entry, e.target)
	}
	heap.Push(&w.events, event{at: e.at + hop, entry: e.entry, target: e.target, reply: true, load: w.load(*t)})
}

// answered is the answer with the target's load on it, as the daemons send it.
func (w *world) answered(e event) {
	v := &w.views[e.entry][e.target]
	v.Inflight--
	if w.scored {
		v.Load, v.Sent, v.LoadAt = e.load, 0, time.Time{}
	}
}
