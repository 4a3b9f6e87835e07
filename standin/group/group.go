// Package group is a stand-in for the engines of a group of ranks that run in
// lock-step on an expert map. It keeps the history of steps and counts those
// that ran under two maps.
package group

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Config is what a Group is built from.
type Config struct {
	Ranks   int
	Experts int
	Step    time.Duration // of an even step
	Load    time.Duration // of the weights of one map
	LogURL  string        // where the layouts of maps are
}

// Group is the engines of all ranks.
type Group struct {
	config Config

	mu      sync.Mutex
	ranks   []rank
	layouts map[int64][][]int // of the first layer, by map
	mixed   int
	steps   int
	skews   map[int64][]float64 // of the steps, by map
	started time.Time
}

type rank struct {
	permits   map[int64]int64
	completed int64
}

// New returns a group that has made no step; Run makes them.
func New(c Config) *Group {
	g := &Group{config: c, layouts: map[int64][][]int{}, skews: map[int64][]float64{}, started: time.Now()}
	for range c.Ranks {
		g.ranks = append(g.ranks, rank{permits: map[int64]int64{}, completed: -1})
	}
	return g
}

// Run makes steps. It never returns.
func (g *Group) Run() {
	for {
		time.Sleep(g.step())
	}
}

// step makes one step of all ranks that hold a permit for it, and returns how
// long it took: as long as the slowest rank.
func (g *Group) step() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.ranks[0].completed + 1
	used, first := int64(0), true
	for _, r := range g.ranks {
		m, permitted := r.permits[next]
		if !permitted {
			return time.Millisecond
		}
		if !first && m != used {
			g.mixed++
		}
		used, first = m, false
	}
	for i := range g.ranks {
		g.ranks[i].completed = next
		delete(g.ranks[i].permits, next)
	}
	g.steps++
	skew := g.skew(used)
	g.skews[used] = append(g.skews[used], skew)
	return time.Duration(float64(g.config.Step) * skew)
}

// popularity is that of the experts now: it drifts over minutes.
func (g *Group) popularity() []float64 {
	turn := time.Since(g.started).Minutes()
	loads := make([]float64, g.config.Experts)
	for e := range loads {
		place := math.Mod(float64(e)+turn*4, float64(g.config.Experts))
		loads[e] = 1000 / math.Pow(place+1, 0.8)
	}
	return loads
}

// skew is the time of the slowest rank against the mean under a map. The caller
// holds the lock.
func (g *Group) skew(m int64) float64 {
	layout := g.layouts[m]
	if len(layout) == 0 {
		return 1
	}
	loads := g.popularity()
	counts := make([]int, len(loads))
	for _, experts := range layout {
		for _, e := range experts {
			counts[e]++
		}
	}
	slowest, total := 0.0, 0.0
	for _, experts := range layout {
		load := 0.0
		for _, e := range experts {
			load += loads[e] / float64(counts[e])
		}
		slowest = max(slowest, load)
		total += load
	}
	return slowest / (total / float64(len(layout)))
}

// Routes adds the engines' interface to a router.
func (g *Group) Routes(r chi.Router) {
	r.Get("/v1/ranks/{rank}", g.progress)
	r.Post("/v1/ranks/{rank}/permits", g.permit)
	r.Post("/v1/ranks/{rank}/load", g.load)
	r.Get("/v1/loads", g.loads)
	r.Get("/v1/history", g.history)
}

func (g *Group) rank(r *http.Request) *rank {
	i, err := strconv.Atoi(chi.URLParam(r, "rank"))
	if err != nil || i < 0 || i >= len(g.ranks) {
		return &rank{permits: map[int64]int64{}}
	}
	return &g.ranks[i]
}

func (g *Group) progress(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	completed := g.rank(r).completed
	g.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]int64{"completed": completed})
}

func (g *Group) permit(w http.ResponseWriter, r *http.Request) {
	var permits []struct {
		From, Through, Map int64
	}
	if err := json.NewDecoder(r.Body).Decode(&permits); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	rank := g.rank(r)
	for _, p := range permits {
		for t := max(p.From, rank.completed+1); t <= p.Through; t++ {
			rank.permits[t] = p.Map
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (g *Group) load(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Map int64 `json:"map"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(g.config.Load)
	layout, err := g.fetch(body.Map)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	g.mu.Lock()
	g.layouts[body.Map] = layout
	g.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// fetch reads the layout of a map from the log.
func (g *Group) fetch(m int64) ([][]int, error) {
	resp, err := http.Get(g.config.LogURL + "/v1/streams/maps/records?from=" + strconv.FormatInt(m, 10))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var page struct {
		Records []struct {
			Offset int64
			Data   struct{ Layout [][][]int }
		}
	}
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		return nil, err
	}
	if len(page.Records) == 0 || page.Records[0].Offset != m || len(page.Records[0].Data.Layout) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return page.Records[0].Data.Layout[0], nil
}

func (g *Group) loads(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string][][]float64{"layers": {g.popularity()}})
}

// History sums up the steps that a group made.
type History struct {
	Steps        int     `json:"steps"`
	Maps         int     `json:"maps"`
	Mixed        int     `json:"mixed"` // steps that ran under two maps
	SkewFirstMap float64 `json:"skew_first_map"`
	SkewLastMap  float64 `json:"skew_last_map"`
}

// Ask asks the group at the URL for its history.
func Ask(url string) (History, error) {
	var h History
	resp, err := http.Get(url + "/v1/history")
	if err != nil {
		return h, err
	}
	defer resp.Body.Close()
	return h, json.NewDecoder(resp.Body).Decode(&h)
}

func (g *Group) history(w http.ResponseWriter, _ *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	first, last := int64(math.MaxInt64), int64(-1)
	for m := range g.skews {
		first, last = min(first, m), max(last, m)
	}
	_ = json.NewEncoder(w).Encode(History{
		Steps: g.steps, Maps: len(g.skews), Mixed: g.mixed,
		SkewFirstMap: mean(g.skews[first]), SkewLastMap: mean(g.skews[last]),
	})
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total / float64(len(values))
}
