// Package group is a stand-in for the engines of a group of ranks that run in lock-step on
// an expert map. It keeps a history of the steps and detects those that ran under two maps,
// which a correct map switch never causes. A map is named by the offset of its record in the stream
// maps of the log.
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

// Config configures a Group.
type Config struct {
	Ranks   int
	Experts int
	Step    time.Duration // duration of a step when all ranks are equally loaded
	Load    time.Duration // time to load the weights of one map
	LogURL  string        // URL of the log that holds the layouts of maps
}

// Group holds the engines of all ranks. It is safe for concurrent use.
type Group struct {
	config Config

	mu      sync.Mutex
	ranks   []rank
	layouts map[int64][][]int // experts of the first layer by rank, by map
	mixed   int               // times that a rank ran a step under another map than the rank before it
	steps   int
	skews   map[int64][]float64 // of each step, by map
	started time.Time
}

type rank struct {
	permits   map[int64]int64 // map under which a step may run, by step
	completed int64           // last completed step; -1 before the first
}

// New returns a group that runs no steps until Run is called.
func New(c Config) *Group {
	g := &Group{config: c, layouts: map[int64][][]int{}, skews: map[int64][]float64{}, started: time.Now()}
	for range c.Ranks {
		g.ranks = append(g.ranks, rank{permits: map[int64]int64{}, completed: -1})
	}
	return g
}

// Run runs steps. It never returns.
func (g *Group) Run() {
	for {
		time.Sleep(g.runStep())
	}
}

// runStep runs the next step if all ranks hold a permit for it, and returns its duration,
// which is that of the slowest rank. Without a permit of every rank it runs nothing and
// returns the time to wait.
func (g *Group) runStep() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.ranks[0].completed + 1
	version, first := int64(0), true
	for _, r := range g.ranks {
		m, permitted := r.permits[next]
		if !permitted {
			return time.Millisecond
		}
		if !first && m != version {
			g.mixed++
		}
		version, first = m, false
	}
	for i := range g.ranks {
		g.ranks[i].completed = next
		delete(g.ranks[i].permits, next)
	}
	g.steps++
	skew := g.skew(version)
	g.skews[version] = append(g.skews[version], skew)
	return time.Duration(float64(g.config.Step) * skew)
}

// popularity returns the current load of each expert. It follows a power law whose most
// popular expert moves by 4 positions a minute.
func (g *Group) popularity() []float64 {
	minutes := time.Since(g.started).Minutes()
	loads := make([]float64, g.config.Experts)
	for e := range loads {
		popularityRank := math.Mod(float64(e)+minutes*4, float64(g.config.Experts))
		loads[e] = 1000 / math.Pow(popularityRank+1, 0.8)
	}
	return loads
}

// skew returns the load of the slowest rank divided by the mean under a map, and 1 for a map
// whose layout is unknown. The caller holds g.mu.
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

// Routes adds the engines' HTTP API to a router.
func (g *Group) Routes(r chi.Router) {
	r.Get("/v1/ranks/{rank}", g.handleProgress)
	r.Post("/v1/ranks/{rank}/permits", g.handlePermits)
	r.Post("/v1/ranks/{rank}/load", g.handleLoad)
	r.Get("/v1/loads", g.handleLoads)
	r.Get("/v1/history", g.handleHistory)
}

// rank returns the rank that the path of a request names, or, if the group has no such rank, an
// empty one whose changes have no effect. The caller holds g.mu.
func (g *Group) rank(r *http.Request) *rank {
	i, err := strconv.Atoi(chi.URLParam(r, "rank"))
	if err != nil || i < 0 || i >= len(g.ranks) {
		return &rank{permits: map[int64]int64{}}
	}
	return &g.ranks[i]
}

func (g *Group) handleProgress(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	completed := g.rank(r).completed
	g.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]int64{"completed": completed})
}

// handlePermits adds permits to a rank: each lets it run the steps From to Through under Map.
// Completed steps are left out.
func (g *Group) handlePermits(w http.ResponseWriter, r *http.Request) {
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
		for step := max(p.From, rank.completed+1); step <= p.Through; step++ {
			rank.permits[step] = p.Map
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleLoad loads the weights of a map, which takes the configured time.
func (g *Group) handleLoad(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Map int64 `json:"map"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(g.config.Load)
	layout, err := g.fetchLayout(body.Map)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	g.mu.Lock()
	g.layouts[body.Map] = layout
	g.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// fetchLayout reads the layout of the first layer of a map from the log. It returns
// io.ErrUnexpectedEOF if the log has no such map.
func (g *Group) fetchLayout(m int64) ([][]int, error) {
	response, err := http.Get(g.config.LogURL + "/v1/streams/maps/records?from=" + strconv.FormatInt(m, 10))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var page struct {
		Records []struct {
			Offset int64
			Data   struct{ Layout [][][]int }
		}
	}
	if err := json.NewDecoder(response.Body).Decode(&page); err != nil {
		return nil, err
	}
	if len(page.Records) == 0 || page.Records[0].Offset != m || len(page.Records[0].Data.Layout) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return page.Records[0].Data.Layout[0], nil
}

// handleLoads returns the load of each expert. The stand-in has one layer.
func (g *Group) handleLoads(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string][][]float64{"layers": {g.popularity()}})
}

// History summarises the steps that a group ran.
type History struct {
	Steps        int     `json:"steps"`
	Maps         int     `json:"maps"`           // number of maps under which steps ran
	Mixed        int     `json:"mixed"`          // 0 if each step ran under one map; otherwise a step may count several times
	SkewFirstMap float64 `json:"skew_first_map"` // mean over the steps under the first map
	SkewLastMap  float64 `json:"skew_last_map"`  // mean over the steps under the last map
}

// FetchHistory reads the history of the group at a base URL.
func FetchHistory(url string) (History, error) {
	var h History
	response, err := http.Get(url + "/v1/history")
	if err != nil {
		return h, err
	}
	defer response.Body.Close()
	return h, json.NewDecoder(response.Body).Decode(&h)
}

func (g *Group) handleHistory(w http.ResponseWriter, _ *http.Request) {
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
