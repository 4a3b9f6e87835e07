package fakeplatform

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// GroupConfig configures a lock-step group. ExpertSlots is the maximum of experts of a set on a
// rank; SpareExpertSlots is the maximum of new experts that a rank can copy at once.
type GroupConfig struct {
	Ranks, Sets, Experts, ExpertSlots, SpareExpertSlots, Slots int
	PassInterval                                               time.Duration // interval of passes without slow ranks
	CopyTime                                                   time.Duration // time that a prepare order takes to copy the experts
	// LateOrderShare is the share of orders, between 0 and 1, that are carried out late and get no
	// response.
	LateOrderShare float64
	// CutStreamShare is the share of events, between 0 and 1, at which a stream is cut off.
	CutStreamShare float64
	// FailedResumeShare is the share of the streams to be resumed, between 0 and 1, that are answered with an
	// error.
	FailedResumeShare float64
}

// Group is a lock-step group of engines that checks that every pass runs under one map. It is
// safe for concurrent use.
type Group struct {
	config   GroupConfig
	recorder *Recorder

	mu         sync.Mutex
	lastPass   int64
	engines    []*engineState // by rank
	hotExpert  int            // first of the most popular experts
	mixedPass  string         // last pass that ran under two maps, or empty
	mapChanges int
	ticks      int // elapsed pass intervals since the last pass, or since a pass was last held up
}

// engineState is the state of the engine of one rank.
type engineState struct {
	id                   string
	startedMS            int64 // Unix milliseconds
	version, fence       int64 // map in force; highest fencing token seen
	prepared, armed      int64 // versions of maps; 0 for none
	armedPass, heldPass  int64
	experts, nextExperts [][]int   // by set, of the map in force and of the prepared map
	counts               [][]int64 // by set and expert, since the start
	running              int       // requests
	slowdown             float64   // factor of the time of a request; above 1 is slow
}

// noPass is the value of heldPass when no pass is held.
const noPass = -1

// NewGroup returns a group and starts its passes, which run until the process ends.
func NewGroup(c GroupConfig, recorder *Recorder) *Group {
	g := &Group{config: c, recorder: recorder}
	for rank := range c.Ranks {
		e := &engineState{id: fmt.Sprintf("i-%d", rank), startedMS: time.Now().UnixMilli(), heldPass: noPass, slowdown: 1}
		for range c.Sets {
			var initialExperts []int
			for x := rank; x < c.Experts; x += c.Ranks {
				initialExperts = append(initialExperts, x)
			}
			e.experts = append(e.experts, initialExperts)
			e.counts = append(e.counts, make([]int64, c.Experts))
		}
		g.engines = append(g.engines, e)
	}
	go func() {
		for range time.Tick(c.PassInterval) {
			g.runPass()
		}
	}()
	return g
}

// ShiftPopularity changes which experts are popular.
func (g *Group) ShiftPopularity() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hotExpert = (g.hotExpert + g.config.Experts/3 + 1) % g.config.Experts
}

// SetSlowdown sets the factor by which a rank runs its requests slower than usual.
func (g *Group) SetSlowdown(rank int, slowdown float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engines[rank].slowdown = slowdown
}

// passFactor returns the factor, at least 1, by which passes take longer than usual: all ranks wait for the
// slowest rank that has requests. The caller holds g.mu.
func (g *Group) passFactor() float64 {
	slowest := 1.0
	for _, e := range g.engines {
		if e.running > 0 {
			slowest = max(slowest, e.slowdown)
		}
	}
	return slowest
}

// CheckResult returns a description of the last pass that ran under two maps, or "" if none did,
// the number of map changes, and whether the next pass is held.
func (g *Group) CheckResult() (mixedPass string, mapChanges int, held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.engines {
		held = held || e.heldPass == g.lastPass+1
	}
	return g.mixedPass, g.mapChanges, held
}

// runPass runs the next pass on all ranks, unless it is held on any rank or slow ranks still
// delay it. Maps that are armed for the pass come into force.
func (g *Group) runPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ticks++; float64(g.ticks) < g.passFactor() {
		return
	}
	g.ticks = 0
	next := g.lastPass + 1
	for _, e := range g.engines {
		if e.heldPass == next {
			return
		}
	}
	g.lastPass = next
	before := g.engines[0].version
	for rank, e := range g.engines {
		if e.armed != 0 && e.armedPass == next {
			e.version, e.experts, e.armed = e.armed, e.nextExperts, 0
		}
		for s := range e.counts {
			for x := range e.counts[s] {
				e.counts[s][x] += 50
			}
			// Three experts are popular. They are as far apart as there are ranks: under the first map,
			// which gives expert x to rank x modulo Ranks, they share a rank if Experts is a multiple of Ranks.
			for i := range 3 {
				e.counts[s][(g.hotExpert+i*g.config.Ranks)%g.config.Experts] += 1200
			}
		}
		if e.version != g.engines[0].version {
			g.mixedPass = fmt.Sprintf("pass %d: rank %d runs under map %d, rank 0 under map %d", next, rank, e.version, g.engines[0].version)
		}
	}
	if g.engines[0].version != before {
		g.mapChanges++
	}
}

// Routes returns the routes of the engine of one rank.
func (g *Group) Routes(rank int) func(r chi.Router) {
	return func(r chi.Router) {
		r.Get("/api/report", func(w http.ResponseWriter, _ *http.Request) { g.handleReport(w, rank) })
		r.Get("/api/picked", func(w http.ResponseWriter, r *http.Request) { g.handlePicked(w, r, rank) })
		r.Post("/api/order", func(w http.ResponseWriter, r *http.Request) { g.handleOrder(w, r, rank) })
		r.HandleFunc("/*", func(w http.ResponseWriter, r *http.Request) { g.handleStream(w, r, rank) })
	}
}

func (g *Group) handleReport(w http.ResponseWriter, rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.engines[rank]
	orNull := func(n, none int64) any {
		if n == none {
			return nil
		}
		return n
	}
	writeJSON(w, map[string]any{
		"group": map[string]any{"name": "g", "epoch": 1, "rank": rank, "state": "open"}, "size": len(g.engines), "pace": e.slowdown,
		"active": e.running, "queued": 0, "step": g.lastPass, "map": e.version, "born": e.startedMS,
		"prepared": orNull(e.prepared, 0), "armed": orNull(e.armed, 0), "held": orNull(e.heldPass, noPass),
	})
}

// handlePicked returns the expert counts of a rank, or the experts that it holds.
func (g *Group) handlePicked(w http.ResponseWriter, r *http.Request, rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.engines[rank]
	if r.URL.Query().Has("lists") {
		writeJSON(w, map[string]any{"epoch": 1, "map": map[string]any{"version": e.version, "experts": e.experts}, "prepared": nil})
		return
	}
	writeJSON(w, map[string]any{"step": g.lastPass, "epoch": 1, "counts": e.counts})
}

type orderBody struct {
	Op      string    `json:"op"`
	Fence   int64     `json:"fence"`
	Epoch   int64     `json:"epoch"`
	Version int64     `json:"version"`
	Step    int64     `json:"step"`
	Map     [][][]int `json:"map"`
}

// handleOrder applies an order, or, by chance, applies it late and drops the connection.
func (g *Group) handleOrder(w http.ResponseWriter, r *http.Request, rank int) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if rand.Float64() < g.config.LateOrderShare {
		const maxDelayMS = 3000 // beyond the minimum of 500 ms
		delay := time.Duration(500+rand.IntN(maxDelayMS)) * time.Millisecond
		time.AfterFunc(delay, func() { g.applyOrder(rank, o) })
		select {
		case <-r.Context().Done():
		case <-time.After(delay):
		}
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(g.applyOrder(rank, o))
}

// applyOrder carries out an order on a rank and returns the status code of the response: 412 for a
// fencing token below an earlier one, 409 if the order does not fit the state of the rank.
func (g *Group) applyOrder(rank int, o orderBody) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.engines[rank]
	if o.Fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = o.Fence
	if o.Epoch != 1 {
		return http.StatusConflict
	}
	switch o.Op {
	case "prepare":
		if o.Version <= max(e.prepared, e.version) || e.armed != 0 || len(o.Map) != g.config.Sets {
			return http.StatusConflict
		}
		experts := make([][]int, g.config.Sets)
		for s := range experts {
			experts[s] = o.Map[s][rank]
		}
		time.AfterFunc(g.config.CopyTime, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			e.prepared, e.nextExperts = o.Version, experts
		})
	case "arm":
		if e.armed == o.Version {
			return http.StatusOK
		}
		if e.prepared != o.Version || g.lastPass >= o.Step {
			return http.StatusConflict
		}
		e.armed, e.armedPass = o.Version, o.Step
	case "disarm":
		if e.version == o.Version {
			return http.StatusConflict
		}
		if e.armed == o.Version {
			e.armed = 0
		}
	case "hold":
		if g.lastPass >= o.Step || (e.heldPass != noPass && e.heldPass != o.Step) {
			return http.StatusConflict
		}
		e.heldPass = o.Step
	case "go":
		if e.heldPass == o.Step {
			e.heldPass = noPass
		}
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// StreamEvents is the number of events of a complete stream.
const StreamEvents = 8

// handleStream runs a request that streams events, from the one after the last event that the
// caller has received. Without a free slot it responds that the request did not run.
func (g *Group) handleStream(w http.ResponseWriter, r *http.Request, rank int) {
	id := g.engines[rank].id
	if !g.recorder.accept(w, r, id) {
		return
	}
	g.mu.Lock()
	full := g.engines[rank].running >= g.config.Slots
	if !full {
		g.engines[rank].running++
	}
	g.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.engines[rank].running--
	}()
	g.recorder.recordRun(r, id)
	from := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
		if rand.Float64() < g.config.FailedResumeShare {
			http.Error(w, "error", http.StatusInternalServerError)
			return
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", id)
	controller := http.NewResponseController(w)
	for n := from; n <= StreamEvents; n++ {
		g.mu.Lock()
		eventTime := time.Duration(2 * g.passFactor() * float64(g.config.PassInterval))
		g.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventTime):
		}
		if rand.Float64() < g.config.CutStreamShare {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n) // cut off within an event
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 20)) // fails only if the caller has disconnected, which ends the context
		_ = controller.Flush()
	}
}
