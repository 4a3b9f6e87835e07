package rack

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

// GroupConfig describes a lock-step group.
type GroupConfig struct {
	Ranks, Sets, Experts, Places, Spare, Slots int
	PassEvery                                  time.Duration
	CopyTime                                   time.Duration // of a prepare
	// LatePart is the share of orders that are carried out late and unanswered.
	LatePart float64
	// CutPart is the share of events at which a stream is cut off.
	CutPart float64
}

// Group is a lock-step group of engines. It is safe for concurrent use.
type Group struct {
	config GroupConfig
	book   *Book

	mu      sync.Mutex
	step    int64
	engines []*engineState
	hot     int
	mixed   string // what broke the rule of one map, if anything
	changes int
	ticks   int // since the last pass
}

type engineState struct {
	id             string
	born           int64
	version, fence int64
	ready, armed   int64
	armAt, held    int64
	lists, next    [][]int
	counts         [][]int64
	running        int
	pace           float64 // over 1 is slow
}

const nothingHeld = -1

// NewGroup returns a group that makes passes until the process ends.
func NewGroup(c GroupConfig, book *Book) *Group {
	g := &Group{config: c, book: book}
	for rank := range c.Ranks {
		e := &engineState{id: fmt.Sprintf("i-%d", rank), born: time.Now().UnixMilli(), held: nothingHeld, pace: 1}
		for range c.Sets {
			var held []int
			for x := rank; x < c.Experts; x += c.Ranks {
				held = append(held, x)
			}
			e.lists = append(e.lists, held)
			e.counts = append(e.counts, make([]int64, c.Experts))
		}
		g.engines = append(g.engines, e)
	}
	go func() {
		for range time.Tick(c.PassEvery) {
			g.pass()
		}
	}()
	return g
}

// Shift makes other experts popular.
func (g *Group) Shift() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hot = (g.hot + g.config.Experts/3 + 1) % g.config.Experts
}

// Slow sets how many times slower than usual a rank runs its requests.
func (g *Group) Slow(rank int, pace float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engines[rank].pace = pace
}

// slowness is how many times longer than usual passes take: all ranks wait for the
// slowest that has requests.
func (g *Group) slowness() float64 {
	most := 1.0
	for _, e := range g.engines {
		if e.running > 0 {
			most = max(most, e.pace)
		}
	}
	return most
}

// Verdict returns what broke the rule of one map, how often the map changed, and
// whether a pass is held now.
func (g *Group) Verdict() (broken string, changes int, held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.engines {
		held = held || e.held == g.step+1
	}
	return g.mixed, g.changes, held
}

func (g *Group) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ticks++; float64(g.ticks) < g.slowness() {
		return
	}
	g.ticks = 0
	next := g.step + 1
	for _, e := range g.engines {
		if e.held == next {
			return
		}
	}
	g.step = next
	before := g.engines[0].version
	for rank, e := range g.engines {
		if e.armed != 0 && e.armAt == next {
			e.version, e.lists, e.armed = e.armed, e.next, 0
		}
		for s := range e.counts {
			for x := range e.counts[s] {
				e.counts[s][x] += 50
			}
			for i := range 3 {
				e.counts[s][(g.hot+i*g.config.Ranks)%g.config.Experts] += 1200
			}
		}
		if e.version != g.engines[0].version {
			g.mixed = fmt.Sprintf("pass %d: rank %d has map %d, rank 0 map %d", next, rank, e.version, g.engines[0].version)
		}
	}
	if g.engines[0].version != before {
		g.changes++
	}
}

// Routes serves one rank's engine.
func (g *Group) Routes(rank int) func(r chi.Router) {
	return func(r chi.Router) {
		r.Get("/api/report", func(w http.ResponseWriter, _ *http.Request) { g.report(w, rank) })
		r.Get("/api/picked", func(w http.ResponseWriter, r *http.Request) { g.picked(w, r, rank) })
		r.Post("/api/order", func(w http.ResponseWriter, r *http.Request) { g.order(w, r, rank) })
		r.HandleFunc("/*", func(w http.ResponseWriter, r *http.Request) { g.stream(w, r, rank) })
	}
}

func (g *Group) report(w http.ResponseWriter, rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.engines[rank]
	number := func(n, none int64) any {
		if n == none {
			return nil
		}
		return n
	}
	writeJSON(w, map[string]any{
		"group": map[string]any{"name": "g", "epoch": 1, "rank": rank, "state": "open"}, "size": len(g.engines), "pace": e.pace,
		"active": e.running, "queued": 0, "step": g.step, "map": e.version, "born": e.born,
		"prepared": number(e.ready, 0), "armed": number(e.armed, 0), "held": number(e.held, nothingHeld),
	})
}

func (g *Group) picked(w http.ResponseWriter, r *http.Request, rank int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.engines[rank]
	if r.URL.Query().Has("lists") {
		writeJSON(w, map[string]any{"epoch": 1, "map": map[string]any{"version": e.version, "experts": e.lists}, "prepared": nil})
		return
	}
	writeJSON(w, map[string]any{"step": g.step, "epoch": 1, "counts": e.counts})
}

type orderBody struct {
	Op      string    `json:"op"`
	Fence   int64     `json:"fence"`
	Epoch   int64     `json:"epoch"`
	Version int64     `json:"version"`
	Step    int64     `json:"step"`
	Map     [][][]int `json:"map"`
}

func (g *Group) order(w http.ResponseWriter, r *http.Request, rank int) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if rand.Float64() < g.config.LatePart {
		const longest = 3000 // ms that an order may come late
		late := time.Duration(500+rand.IntN(longest)) * time.Millisecond
		time.AfterFunc(late, func() { g.take(rank, o) })
		select {
		case <-r.Context().Done():
		case <-time.After(late):
		}
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(g.take(rank, o))
}

func (g *Group) take(rank int, o orderBody) int {
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
		if o.Version <= max(e.ready, e.version) || e.armed != 0 || len(o.Map) != g.config.Sets {
			return http.StatusConflict
		}
		lists := make([][]int, g.config.Sets)
		for s := range lists {
			lists[s] = o.Map[s][rank]
		}
		time.AfterFunc(g.config.CopyTime, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			e.ready, e.next = o.Version, lists
		})
	case "arm":
		if e.armed == o.Version {
			return http.StatusOK
		}
		if e.ready != o.Version || g.step >= o.Step {
			return http.StatusConflict
		}
		e.armed, e.armAt = o.Version, o.Step
	case "disarm":
		if e.version == o.Version {
			return http.StatusConflict
		}
		if e.armed == o.Version {
			e.armed = 0
		}
	case "hold":
		if g.step >= o.Step || (e.held != nothingHeld && e.held != o.Step) {
			return http.StatusConflict
		}
		e.held = o.Step
	case "go":
		if e.held == o.Step {
			e.held = nothingHeld
		}
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// StreamEvents is how many events a stream has.
const StreamEvents = 8

func (g *Group) stream(w http.ResponseWriter, r *http.Request, rank int) {
	id := g.engines[rank].id
	if !g.book.begin(w, r, id) {
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
	g.book.run(r, id)
	from := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", id)
	flush := http.NewResponseController(w)
	for n := from; n <= StreamEvents; n++ {
		g.mu.Lock()
		took := time.Duration(2 * g.slowness() * float64(g.config.PassEvery))
		g.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(took):
		}
		if rand.Float64() < g.config.CutPart {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n) // in the middle of an event
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 20)) // a caller who has gone ends the context
		_ = flush.Flush()
	}
}
