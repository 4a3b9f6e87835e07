package placement

import (
	"math"
	"slices"
)

// Weights are the weights of skew and transfer in the cost of a plan. The cost has no
// unit; only the ratio of Skew to Cost matters.
type Weights struct {
	Skew float64 // cost of each unit of skew
	Cost float64 // cost of each GiB that ranks fetch
	// ExpertGiB is the size of the model weights of one expert, in GiB.
	ExpertGiB float64
}

// Plan is a layout to change to, with the number of fetches that it takes.
type Plan struct {
	Layout  Layout
	Fetched int     // number of experts that ranks must fetch
	Skew    float64 // predicted skew of Layout
}

// maxVictims is the maximum number of experts that are considered for giving up a
// replica in one move. Those with the least load per remaining replica are considered.
const maxVictims = 8

// goodSkewRatio is the ratio of skew to its lower bound at which the search stops.
const goodSkewRatio = 1.005

// maxFetches is the number of fetched experts at which the search stops.
const maxFetches = 256

// Improve relieves the slowest rank move by move: a move adds a replica of one of its
// experts on another rank, or swaps the expert for a lighter one. Improve returns the
// plan with the lowest cost among all prefixes of this sequence of moves. If no prefix
// costs less than the current layout, the plan is the current layout, so a small
// drift in load moves nothing.
func Improve(p Problem, current Layout, w Weights) Plan {
	s := newSearch(p, current)
	best := Plan{Layout: current, Skew: s.skew()}
	bestMoves := 0 // length of the best prefix
	bestCost := w.Skew * best.Skew
	bound := p.LowerBound()
	for s.fetched < maxFetches && s.skew() > bound*goodSkewRatio {
		if w.Skew*bound+w.Cost*w.ExpertGiB*float64(s.fetched+1) >= bestCost {
			break // even an optimal layout would not be worth another move
		}
		before := s.slowestTime()
		if !s.applyBestMove() || s.slowestTime() > before {
			break
		}
		cost := w.Skew*s.skew() + w.Cost*w.ExpertGiB*float64(s.fetched)
		if cost < bestCost {
			bestCost = cost
			best.Skew = s.skew()
			bestMoves = len(s.moves)
		}
	}
	if bestMoves > 0 {
		best.Layout = replay(current, s.moves[:bestMoves])
		best.Fetched = CountFetches(current, best.Layout)
	}
	return best
}

// search is the mutable state of one run of Improve.
type search struct {
	problem Problem
	layout  [][]int
	counts  []int
	loads   []float64 // load of each rank
	fetched int       // number of experts fetched by the moves so far, repeated fetches included
	moves   []move
	scratch []float64 // buffer of predictReplica
	victims []int     // buffer of cheapestVictims
}

func newSearch(p Problem, l Layout) *search {
	s := &search{problem: p, counts: countReplicas(l, len(p.Loads)), loads: make([]float64, p.Ranks), scratch: make([]float64, p.Ranks)}
	s.layout = make([][]int, p.Ranks)
	for rank, experts := range l {
		s.layout[rank] = slices.Clone(experts)
		for _, e := range experts {
			s.loads[rank] += s.replicaLoad(e)
		}
	}
	return s
}

func (s *search) replicaLoad(e int) float64 {
	return s.problem.Loads[e] / float64(s.counts[e])
}

func (s *search) stepTime(rank int) float64 {
	return s.loads[rank] / s.problem.speed(rank)
}

func (s *search) slowest() int {
	slowest := 0
	for rank := range s.loads {
		if s.stepTime(rank) > s.stepTime(slowest) {
			slowest = rank
		}
	}
	return slowest
}

func (s *search) slowestTime() float64 {
	return s.stepTime(s.slowest())
}

func (s *search) skew() float64 {
	mean := s.problem.meanTime()
	if mean <= 0 {
		return 1
	}
	return s.slowestTime() / mean
}

// replay applies the moves to a copy of a layout.
func replay(l Layout, moves []move) Layout {
	next := make(Layout, len(l))
	for rank, experts := range l {
		next[rank] = slices.Clone(experts)
	}
	for _, m := range moves {
		m.applyTo(next)
	}
	return next
}

// move replaces expert drop with expert add on rank. A swap also replaces add with
// drop on the rank other.
type move struct {
	add, drop   int
	rank, other int     // other is -1 for a move that is not a swap
	time        float64 // predicted step time of the slowest rank
	sumSquares  float64 // sum of squared step times; breaks ties
}

// applyTo applies the move to a layout.
func (m move) applyTo(layout [][]int) {
	replace(layout[m.rank], m.drop, m.add)
	if m.other >= 0 {
		replace(layout[m.other], m.add, m.drop)
	}
}

// betterThan reports whether the move leads to a lower step time than other, or at
// an equal step time to a lower sum of squares.
func (m move) betterThan(other move) bool {
	const tolerance = 1e-12
	if math.Abs(m.time-other.time) > tolerance*other.time {
		return m.time < other.time
	}
	return m.sumSquares < other.sumSquares
}

// applyBestMove applies the best single move for the slowest rank. It returns false if
// every move that it considers is predicted to raise the step time of the slowest rank.
func (s *search) applyBestMove() bool {
	slow := s.slowest()
	none := move{time: s.stepTime(slow), sumSquares: math.Inf(1)}
	best := none
	for _, e := range s.layout[slow] {
		best = s.tryReplicas(e, best)
		if s.problem.ExpertSlots > 1 || s.problem.Speeds != nil {
			best = s.trySwaps(slow, e, best) // otherwise a swap only exchanges the whole loads of two equal ranks
		}
	}
	if math.IsInf(best.sumSquares, 1) {
		return false
	}
	s.apply(best)
	return true
}

// tryReplicas considers moves that add a replica of expert e in place of a replica
// of another expert that has several. It returns the best of these moves and best.
func (s *search) tryReplicas(e int, best move) move {
	if s.counts[e] >= s.problem.Ranks {
		return best
	}
	for _, f := range s.cheapestVictims(e) {
		rank := s.rankFor(e, f)
		if rank < 0 {
			continue
		}
		if m := s.predictReplica(e, f, rank); m.betterThan(best) {
			best = m
		}
	}
	return best
}

// cheapestVictims returns up to maxVictims experts other than e that have several
// replicas and so can give one up, in ascending order of the load per remaining replica.
// The result is valid until the next call.
func (s *search) cheapestVictims(e int) []int {
	after := func(f int) float64 { return s.problem.Loads[f] / float64(s.counts[f]-1) }
	victims := s.victims[:0]
	for f, count := range s.counts {
		if f == e || count < 2 {
			continue
		}
		if len(victims) == maxVictims && after(f) >= after(victims[maxVictims-1]) {
			continue
		}
		if len(victims) < maxVictims {
			victims = append(victims, f)
		}
		at := len(victims) - 1
		for ; at > 0 && after(victims[at-1]) > after(f); at-- {
			victims[at] = victims[at-1]
		}
		victims[at] = f
	}
	s.victims = victims
	return victims
}

// rankFor returns the rank with the shortest step time among those that hold f but
// not e, or -1 if there is none.
func (s *search) rankFor(e, f int) int {
	best := -1
	for rank, held := range s.layout {
		if !slices.Contains(held, f) || slices.Contains(held, e) {
			continue
		}
		if best < 0 || s.stepTime(rank) < s.stepTime(best) {
			best = rank
		}
	}
	return best
}

// predictReplica returns the move that replaces f with e on the rank, with the
// predicted step times.
func (s *search) predictReplica(e, f, rank int) move {
	loads := s.scratch
	copy(loads, s.loads)
	newE := s.problem.Loads[e] / float64(s.counts[e]+1)
	newF := s.problem.Loads[f] / float64(s.counts[f]-1)
	lessE, moreF := s.replicaLoad(e)-newE, newF-s.replicaLoad(f)
	for r, held := range s.layout {
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
		m.sumSquares += t * t
	}
	return m
}

// trySwaps considers moves that swap e on the slowest rank for a lighter expert on
// another rank. It returns the best of these moves and best.
func (s *search) trySwaps(slow, e int, best move) move {
	squares, second := 0.0, -1
	for r := range s.loads {
		t := s.stepTime(r)
		squares += t * t
		if r != slow && (second < 0 || t > s.stepTime(second)) {
			second = r
		}
	}
	for rank, held := range s.layout {
		if rank == slow || slices.Contains(held, e) {
			continue
		}
		otherTime := s.stepTime(second) // of the slowest rank but slow; not counted if that rank takes part in the swap
		if rank == second {
			otherTime = 0
		}
		for _, f := range held {
			shift := s.replicaLoad(e) - s.replicaLoad(f)
			if shift <= 0 || slices.Contains(s.layout[slow], f) {
				continue
			}
			m := s.predictSwap(slow, rank, shift)
			m.add, m.drop = e, f
			m.time = max(m.time, otherTime)
			m.sumSquares += squares
			if m.betterThan(best) {
				best = m
			}
		}
	}
	return best
}

// predictSwap returns the move that shifts load from slow to rank. Its time is the
// longer step time of these two ranks after the move, and its sumSquares is the
// change of the sum of squared step times.
func (s *search) predictSwap(slow, rank int, shift float64) move {
	a := (s.loads[slow] - shift) / s.problem.speed(slow)
	b := (s.loads[rank] + shift) / s.problem.speed(rank)
	old := s.stepTime(slow)*s.stepTime(slow) + s.stepTime(rank)*s.stepTime(rank)
	return move{rank: rank, other: slow, time: max(a, b), sumSquares: a*a + b*b - old}
}

func (s *search) apply(m move) {
	m.applyTo(s.layout)
	s.moves = append(s.moves, m)
	s.fetched++
	if m.other >= 0 {
		s.fetched++
	} else {
		s.counts[m.add]++
		s.counts[m.drop]--
	}
	for r, held := range s.layout {
		s.loads[r] = 0
		for _, e := range held {
			s.loads[r] += s.replicaLoad(e)
		}
	}
}

func replace(held []int, old, replacement int) {
	held[slices.Index(held, old)] = replacement
}
