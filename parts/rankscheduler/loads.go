package rankscheduler

import (
	"cmp"
	"slices"
	"time"
)

// rankLoads holds the load of each rank, so that a placement need not visit all requests.
type rankLoads struct {
	ranks    []rankLoad     // by address of the engine
	index    map[string]int // of an engine in ranks
	prefills []prefill      // in the order of their ends
}

type rankLoad struct {
	Rank
	assigned int     // requests that have a slot there
	prefill  float64 // load of the prompts in prefill
}

// prefill is a prompt that a rank reads.
type prefill struct {
	engine string
	load   float64
	endsAt time.Time
}

// newRankLoads returns the loads of the ranks that the assignments make.
func newRankLoads(now time.Time, ranks []Rank, assignments map[string]assignment) rankLoads {
	l := rankLoads{ranks: make([]rankLoad, len(ranks)), index: make(map[string]int, len(ranks))}
	for i, r := range ranks {
		l.ranks[i] = rankLoad{Rank: r}
	}
	slices.SortFunc(l.ranks, func(a, b rankLoad) int { return cmp.Compare(a.Engine, b.Engine) })
	for i, r := range l.ranks {
		l.index[r.Engine] = i
	}
	for _, a := range assignments {
		l.start(now, a)
	}
	slices.SortFunc(l.prefills, func(a, b prefill) int { return a.endsAt.Compare(b.endsAt) })
	return l
}

// start adds a request that has got a slot.
func (l *rankLoads) start(now time.Time, a assignment) {
	i, ok := l.index[a.engine]
	if !ok {
		return
	}
	l.ranks[i].assigned++
	if endsAt := a.startedAt.Add(prefillTime); endsAt.After(now) {
		load := float64(a.request.PromptTokens) / prefillTokensPerRequest
		l.ranks[i].prefill += load
		l.prefills = append(l.prefills, prefill{engine: a.engine, load: load, endsAt: endsAt})
	}
}

// end removes a request that has given up its slot. Its prompt counts as in prefill until prefillTime is over.
func (l *rankLoads) end(engine string) {
	if i, ok := l.index[engine]; ok {
		l.ranks[i].assigned--
	}
}

// endPrefills removes the prompts that have been read.
func (l *rankLoads) endPrefills(now time.Time) {
	ended := 0
	for ended < len(l.prefills) && !l.prefills[ended].endsAt.After(now) {
		p := l.prefills[ended]
		l.ranks[l.index[p.engine]].prefill -= p.load
		ended++
	}
	l.prefills = l.prefills[ended:]
}

// running returns the number of requests that have a slot at an engine.
func (l *rankLoads) running(engine string) int {
	if i, ok := l.index[engine]; ok {
		return l.ranks[i].assigned
	}
	return 0
}

// load returns the load of the rank in requests: the assigned or the reported number, whichever is larger, plus
// the prompts in prefill.
func (r *rankLoad) load() float64 {
	// The report may still include requests released since it was made.
	const maxUnreportedReleases = 2
	return float64(max(r.assigned, r.Active-maxUnreportedReleases)) + max(r.prefill, 0)
}
