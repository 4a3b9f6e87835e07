// Package targetchoice is an experiment that compares policies for the choice of targets by the
// time that requests wait for a slot. Several entries, each with a stale view
// of its own, choose targets by the policies of the daemons.
package targetchoice

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

// Settings are the settings of the experiment.
type Settings struct {
	Seed     uint64  `json:"seed"`
	Entries  int     `json:"entries"`
	Targets  int     `json:"targets"`
	Capacity int     `json:"capacity"` // slots of a target
	Load     float64 `json:"load"`     // share of the capacity of all targets
	Seconds  float64 `json:"seconds"`
	// ServiceMS is the mean time that a request holds its slot.
	ServiceMS float64 `json:"service_ms"`
	// ReportLagMS is the period of load reports and the age that a report has when the
	// entries receive it. It must be above 0, or the simulation does not end.
	ReportLagMS float64 `json:"report_lag_ms"`
	SlowTargets int     `json:"slow_targets"` // number of slow targets
	SlowFactor  float64 `json:"slow_factor"`  // how many times slower they are
	// OutageFrom and OutageTo bound the time in which the first third of the targets is
	// unreachable, as if their zone failed; in the simulation all targets are in one zone.
	// They are fractions of the simulated time.
	OutageFrom float64 `json:"dead_from"`
	OutageTo   float64 `json:"dead_to"`
}

// Kind returns the experiment for the table of experiments.
func Kind() experiment.Kind {
	return experiment.NewKind("routes", "choice of targets: wait for a slot, by policy", run)
}

func run(s Settings) *experiment.Report {
	report := &experiment.Report{Columns: []string{"policy", "requests", "wait p50 ms", "wait p95 ms", "wait p99 ms", "waited", "calls a request"}}
	plot := &experiment.Plot{Title: fmt.Sprintf("%d targets at %.0f%%", s.Targets, 100*s.Load), X: "quantile", Y: "wait, ms"}
	for _, name := range []string{"random", "round_robin", "least_reported", "scored", "scored+bounce"} {
		sim := newSimulation(s, name)
		sim.run()
		slices.Sort(sim.waitsMS)
		quantile := func(q float64) float64 { return sim.waitsMS[int(q*float64(len(sim.waitsMS)-1))] }
		waited := 0
		for _, wait := range sim.waitsMS {
			if wait > 0 {
				waited++
			}
		}
		report.AddRow(name, len(sim.waitsMS), quantile(0.5), quantile(0.95), quantile(0.99), float64(waited)/float64(len(sim.waitsMS)), float64(sim.sends)/float64(len(sim.waitsMS)))
		line := experiment.Line{Name: name}
		for _, q := range []float64{0.5, 0.75, 0.9, 0.95, 0.99} {
			line.Points = append(line.Points, [2]float64{q, quantile(q)})
		}
		plot.Lines = append(plot.Lines, line)
	}
	report.Plot = plot
	return report
}

// event is the arrival of a request, the end of a request at a target, or the arrival of
// its reply at the entry.
type event struct {
	atMS          float64
	entry, target int           // target is -1 for the arrival of a request
	reply         bool          // whether this is the arrival of a reply
	load          contract.Load // in a reply
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].atMS < h[j].atMS }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an event. It implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event. It implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

type queuedRequest struct {
	arrivedMS float64
	entry     int
}

type target struct {
	running  int
	queue    []queuedRequest
	slowdown float64 // factor on service times
}

// simulation processes events in the order of their times, which are in milliseconds.
type simulation struct {
	settings   Settings
	rng        *rand.Rand
	config     routing.PolicyConfig
	policies   []routing.Policy   // by entry
	views      [][]routing.Target // by entry
	targets    []target
	reports    [][]contract.Load // of all targets, newest last
	events     eventHeap
	waitsMS    []float64 // of the requests that got a slot, from arrival, with reroutes
	replyLoads bool      // views take loads from replies instead of reports
	reroutes   bool      // busy targets refuse and the entry tries another, as the daemons do
	sends      int       // calls sent to targets
}

// hopMS is the one-way latency of the network between an entry and a target. It counts for
// replies and reroutes, not for the first way to a target.
const hopMS = 1.0

func newSimulation(s Settings, policy string) *simulation {
	sim := &simulation{settings: s, rng: rand.New(rand.NewPCG(s.Seed, s.Seed)), replyLoads: policy == "scored" || policy == "scored+bounce", reroutes: policy == "scored+bounce"}
	sim.targets = make([]target, s.Targets)
	for i := range sim.targets {
		sim.targets[i].slowdown = 1
		if i < s.SlowTargets {
			sim.targets[i].slowdown = s.SlowFactor
		}
	}
	config := routing.PolicyConfig{Uint64N: sim.rng.Uint64N}
	sim.config = config
	for range s.Entries {
		sim.policies = append(sim.policies, map[string]func() routing.Policy{
			"random":         func() routing.Policy { return routing.NewRandom(config) },
			"round_robin":    routing.NewRoundRobin,
			"least_reported": routing.NewLeastReported,
			"scored":         func() routing.Policy { return routing.NewScored(config) },
			"scored+bounce":  func() routing.Policy { return routing.NewScored(config) },
		}[policy]())
		view := make([]routing.Target, s.Targets)
		for i := range view {
			view[i] = routing.Target{Name: fmt.Sprint(i), Zone: "a", Load: contract.Load{Capacity: s.Capacity}, Connected: true}
		}
		sim.views = append(sim.views, view)
	}
	return sim
}

// arrivalsPerMS is the mean rate of arriving requests.
func (sim *simulation) arrivalsPerMS() float64 {
	s := sim.settings
	capacity := 0.0
	for _, t := range sim.targets {
		capacity += float64(s.Capacity) / t.slowdown
	}
	return s.Load * capacity / s.ServiceMS
}

func (sim *simulation) run() {
	endMS := sim.settings.Seconds * 1000
	sim.events = append(sim.events, event{atMS: 0, target: -1})
	nextReportMS := 0.0
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		for nextReportMS <= e.atMS {
			sim.report(nextReportMS / endMS)
			nextReportMS += sim.settings.ReportLagMS
		}
		switch {
		case e.reply:
			sim.receiveReply(e)
		case e.target >= 0:
			sim.finish(e)
		case e.atMS < endMS:
			sim.arrive(e.atMS)
			heap.Push(&sim.events, event{atMS: e.atMS + sim.rng.ExpFloat64()/sim.arrivalsPerMS(), target: -1})
		}
	}
}

// report updates the views of all entries with the loads that targets had one report
// period ago, unless the views take loads from replies, and with the reachability of the
// targets in the outage. fraction is the part of the simulated time that has passed.
func (sim *simulation) report(fraction float64) {
	loads := make([]contract.Load, len(sim.targets))
	for i, t := range sim.targets {
		loads[i] = sim.load(t)
	}
	sim.reports = append(sim.reports, loads)
	delayed := sim.reports[max(0, len(sim.reports)-2)]
	if len(sim.reports) > 2 {
		sim.reports = sim.reports[1:]
	}
	outage := fraction >= sim.settings.OutageFrom && fraction < sim.settings.OutageTo
	for _, view := range sim.views {
		for i := range view {
			view[i].Connected = !outage || i >= len(view)/3
			if !sim.replyLoads {
				view[i].Load = delayed[i]
			}
		}
	}
}

// load returns the load that a target reports.
func (sim *simulation) load(t target) contract.Load {
	return contract.Load{Running: t.running, Queued: len(t.queue), Capacity: sim.settings.Capacity}
}

func (sim *simulation) arrive(atMS float64) {
	sim.send(atMS, atMS, sim.rng.IntN(sim.settings.Entries), map[string]bool{})
}

// send sends a request that arrived at arrivedMS to a target at atMS. If the target is
// busy, send may reroute the request to another one, at most maxReroutes times. A reroute
// takes 2*hopMS but is decided at once, by the loads that the targets have now. tried holds
// the names of the targets tried so far.
func (sim *simulation) send(atMS, arrivedMS float64, entry int, tried map[string]bool) {
	view := sim.views[entry]
	r := routing.Request{Zone: "a", Excluded: tried}
	i := sim.policies[entry].Pick(r, view)
	sim.sends++
	t := &sim.targets[i]
	free := t.running < sim.settings.Capacity
	const maxReroutes = 2
	if tried[view[i].Name] = true; !free && sim.reroutes && len(tried) <= maxReroutes && routing.AnyFreeSlot(sim.config, r, view) {
		view[i].Load, view[i].SentSinceReport = sim.load(*t), 0
		sim.send(atMS+2*hopMS, arrivedMS, entry, tried)
		return
	}
	view[i].Inflight++
	view[i].SentSinceReport++
	if free {
		sim.waitsMS = append(sim.waitsMS, atMS-arrivedMS)
		sim.start(atMS, entry, i)
		return
	}
	t.queue = append(t.queue, queuedRequest{arrivedMS: arrivedMS, entry: entry})
}

// start runs a request in a slot of target i.
func (sim *simulation) start(atMS float64, entry, i int) {
	t := &sim.targets[i]
	t.running++
	// Service times are lognormal with mean ServiceMS: a few drafts are long, most short.
	const sigma = 0.8
	serviceMS := sim.settings.ServiceMS * math.Exp(sigma*sim.rng.NormFloat64()-sigma*sigma/2) * t.slowdown
	heap.Push(&sim.events, event{atMS: atMS + serviceMS, entry: entry, target: i})
}

// finish frees the slot of a request, starts the next in queue and sends the reply.
func (sim *simulation) finish(e event) {
	t := &sim.targets[e.target]
	t.running--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		sim.waitsMS = append(sim.waitsMS, e.atMS-next.arrivedMS)
		sim.start(e.atMS, next.entry, e.target)
	}
	heap.Push(&sim.events, event{atMS: e.atMS + hopMS, entry: e.entry, target: e.target, reply: true, load: sim.load(*t)})
}

// receiveReply handles a reply, which carries the load of the target as in the daemons.
func (sim *simulation) receiveReply(e event) {
	v := &sim.views[e.entry][e.target]
	v.Inflight--
	if sim.replyLoads {
		v.Load, v.SentSinceReport, v.ReportedAt = e.load, 0, time.Time{}
	}
}
