package placement

import (
	"math"
	"slices"
)

// Weights say what a plan is worth.
type Weights struct {
	Skew float64 // for each point of skew above 1
	Cost float64 // for each GiB that ranks fetch
	// ExpertGiB is the size of one expert's weights.
	ExpertGiB float64
}

// Plan is the layout to go to, and what it costs.
type Plan struct {
	Layout Layout
	Moved  int     // experts that ranks must fetch
	Skew   float64 // predicted
}

// victims is how many of the experts that are cheapest to take a replica from
// are tried for each move.
const victims = 8

// closeEnough is the skew against the lower bound at which a plan is good.
const closeEnough = 1.005

// maxMoves bounds the moves of one plan.
const maxMoves = 256

// Improve moves experts one by one away from the slowest rank, and returns the
// stretch of these moves that is worth most. When none is worth its cost, the
// layout stays as it is, which keeps small drifts from moving anything.
func Improve(p Problem, current Layout, w Weights) Plan {
	s := newSearch(p, current)
	best := Plan{Layout: current, Skew: s.skew()}
	worth := 0 // how many moves the best stretch has
	bestValue := w.Skew * best.Skew
	bound := p.LowerBound()
	for s.moved < maxMoves && s.skew() > bound*closeEnough {
		if w.Skew*bound+w.Cost*w.ExpertGiB*float64(s.moved+1) >= bestValue {
			break // even a perfect layout would not be worth another move
		}
		before := s.slowestTime()
		if !s.step() || s.slowestTime() > before {
			break
		}
		value := w.Skew*s.skew() + w.Cost*w.ExpertGiB*float64(s.moved)
		if value < bestValue {
			bestValue = value
			best.Skew = s.skew()
			worth = len(s.moves)
		}
	}
	if worth > 0 {
		best.Layout = replay(current, s.moves[:worth])
		best.Moved = Moved(current, best.Layout)
	}
	return best
}

// search is a layout under change.
type search struct {
	problem Problem
	held    [][]int
	counts  []int
	loads   []float64 // by rank
	moved   int       // experts fetched by the moves so far
	moves   []move
	scratch []float64 // of replica
	chosen  []int     // of cheapest
}

func newSearch(p Problem, l Layout) *search {
	s := &search{problem: p, counts: replicas(l, len(p.Loads)), loads: make([]float64, p.Ranks), scratch: make([]float64, p.Ranks)}
	s.held = make([][]int, p.Ranks)
	for rank, experts := range l {
		s.held[rank] = slices.Clone(experts)
		for _, e := range experts {
			s.loads[rank] += s.weight(e)
		}
	}
	return s
}

func (s *search) weight(e int) float64 {
	return s.problem.Loads[e] / float64(s.counts[e])
}

func (s *search) time(rank int) float64 {
	return s.loads[rank] / s.problem.speed(rank)
}

func (s *search) slowest() int {
	slowest := 0
	for rank := range s.loads {
		if s.time(rank) > s.time(slowest) {
			slowest = rank
		}
	}
	return slowest
}

func (s *search) slowestTime() float64 {
	return s.time(s.slowest())
}

func (s *search) skew() float64 {
	mean := s.problem.mean()
	if mean <= 0 {
		return 1
	}
	return s.slowestTime() / mean
}

// replay makes the moves on a copy of a layout.
func replay(l Layout, moves []move) Layout {
	next := make(Layout, len(l))
	for rank, experts := range l {
		next[rank] = slices.Clone(experts)
	}
	for _, m := range moves {
		m.on(next)
	}
	return next
}

// move puts expert Add on Rank in place of expert Drop; a swap also puts Drop on
// Other in place of Add.
type move struct {
	add, drop   int
	rank, other int // other is -1 for a replica
	time        float64
	spread      float64 // breaks ties: sum of squares of the times it changes
}

// on makes the move on a layout.
func (m move) on(held [][]int) {
	replace(held[m.rank], m.drop, m.add)
	if m.other >= 0 {
		replace(held[m.other], m.add, m.drop)
	}
}

func (m move) better(than move) bool {
	const same = 1e-12
	if math.Abs(m.time-than.time) > same*than.time {
		return m.time < than.time
	}
	return m.spread < than.spread
}

// step makes the best single move for the slowest rank. It returns false when
// none makes things better.
func (s *search) step() bool {
	slow := s.slowest()
	none := move{time: s.time(slow), spread: math.Inf(1)}
	best := none
	for _, e := range s.held[slow] {
		best = s.tryReplicas(e, best)
		if s.problem.Slots > 1 || s.problem.Speeds != nil {
			best = s.trySwaps(slow, e, best) // else it only renames ranks
		}
	}
	if math.IsInf(best.spread, 1) {
		return false
	}
	s.apply(best)
	return true
}

// tryReplicas considers another replica of the expert in place of a replica of
// one that can spare it.
func (s *search) tryReplicas(e int, best move) move {
	if s.counts[e] >= s.problem.Ranks {
		return best
	}
	for _, f := range s.cheapest(e) {
		rank := s.placeFor(e, f)
		if rank < 0 {
			continue
		}
		if m := s.replica(e, f, rank); m.better(best) {
			best = m
		}
	}
	return best
}

// cheapest returns the experts whose other replicas would weigh least without
// one of them, cheapest first.
func (s *search) cheapest(e int) []int {
	after := func(f int) float64 { return s.problem.Loads[f] / float64(s.counts[f]-1) }
	chosen := s.chosen[:0]
	for f, count := range s.counts {
		if f == e || count < 2 {
			continue
		}
		if len(chosen) == victims && after(f) >= after(chosen[victims-1]) {
			continue
		}
		if len(chosen) < victims {
			chosen = append(chosen, f)
		}
		at := len(chosen) - 1
		for ; at > 0 && after(chosen[at-1]) > after(f); at-- {
			chosen[at] = chosen[at-1]
		}
		chosen[at] = f
	}
	s.chosen = chosen
	return chosen
}

// placeFor returns the rank on which e would best take the place of f, or -1.
func (s *search) placeFor(e, f int) int {
	best := -1
	for rank, held := range s.held {
		if !slices.Contains(held, f) || slices.Contains(held, e) {
			continue
		}
		if best < 0 || s.time(rank) < s.time(best) {
			best = rank
		}
	}
	return best
}

// replica predicts the times after e takes the place of f on the rank.
func (s *search) replica(e, f, rank int) move {
	loads := s.scratch
	copy(loads, s.loads)
	newE := s.problem.Loads[e] / float64(s.counts[e]+1)
	newF := s.problem.Loads[f] / float64(s.counts[f]-1)
	lessE, moreF := s.weight(e)-newE, newF-s.weight(f)
	for r, held := range s.held {
		for _, x := range held {
			switch x {
			case e:
				loads[r] -= lessE
			case f:
				loads[r] += moreF
			}
		}
	}
	loads[rank] += newE - newF
	m := move{add: e, drop: f, rank: rank, other: -1}
	for r, load := range loads {
		t := load / s.problem.speed(r)
		m.time = max(m.time, t)
		m.spread += t * t
	}
	return m
}

// trySwaps considers giving e to another rank in exchange for a lighter expert.
func (s *search) trySwaps(slow, e int, best move) move {
	squares, second := 0.0, -1
	for r := range s.loads {
		t := s.time(r)
		squares += t * t
		if r != slow && (second < 0 || t > s.time(second)) {
			second = r
		}
	}
	for rank, held := range s.held {
		if rank == slow || slices.Contains(held, e) {
			continue
		}
		others := s.time(second) // bounds the time of all ranks but these two
		if rank == second {
			others = 0
		}
		for _, f := range held {
			less := s.weight(e) - s.weight(f)
			if less <= 0 || slices.Contains(s.held[slow], f) {
				continue
			}
			m := s.swap(slow, rank, less)
			m.add, m.drop = e, f
			m.time = max(m.time, others)
			m.spread += squares
			if m.better(best) {
				best = m
			}
		}
	}
	return best
}

// swap predicts the times of two ranks after less load goes from slow to rank.
func (s *search) swap(slow, rank int, less float64) move {
	a := (s.loads[slow] - less) / s.problem.speed(slow)
	b := (s.loads[rank] + less) / s.problem.speed(rank)
	old := s.time(slow)*s.time(slow) + s.time(rank)*s.time(rank)
	return move{rank: rank, other: slow, time: max(a, b), spread: a*a + b*b - old}
}

func (s *search) apply(m move) {
	m.on(s.held)
	s.moves = append(s.moves, m)
	s.moved++
	if m.other >= 0 {
		s.moved++
	} else {
		s.counts[m.add]++
		s.counts[m.drop]--
	}
	for r, held := range s.held {
		s.loads[r] = 0
		for _, e := range held {
			s.loads[r] += s.weight(e)
		}
	}
}

func replace(held []int, old, by int) {
	held[slices.Index(held, old)] = by
}
