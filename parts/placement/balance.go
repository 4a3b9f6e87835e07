package placement

import "slices"

// Balanced is a way to even out one set of layers.
type Balanced struct {
	Layout Layout
	Added  int     // experts that ranks must fetch
	Skew   float64 // predicted
}

// BalanceConfig bounds what Balance may do.
type BalanceConfig struct {
	Target float64 // skew at which it stops
	Spare  int     // experts that one rank may fetch
}

// Balance takes load from the slowest rank, one expert at a time, until the skew
// is at the target or nothing helps. Ranks need not be full; a slow rank may end
// with few experts, each of which then stands elsewhere.
func Balance(p Problem, current Layout, c BalanceConfig) Balanced {
	b := newBalancer(p, current, c)
	for b.time(b.slowest()) > c.Target*p.mean() && b.improve() {
	}
	return Balanced{Layout: b.held, Added: Moved(current, b.held), Skew: p.Skew(b.held)}
}

type balancer struct {
	problem Problem
	config  BalanceConfig
	held    Layout
	counts  []int
	holders [][]int // ranks by expert
	loads   []float64
	fetched [][]int // new experts by rank
	// deltas, seen and touched are the scratch of value.
	deltas  []float64
	seen    []bool
	touched []int
}

func newBalancer(p Problem, current Layout, c BalanceConfig) *balancer {
	b := &balancer{
		problem: p, config: c, held: make(Layout, p.Ranks), counts: replicas(current, len(p.Loads)),
		holders: make([][]int, len(p.Loads)), loads: make([]float64, p.Ranks), fetched: make([][]int, p.Ranks),
		deltas: make([]float64, p.Ranks), seen: make([]bool, p.Ranks),
	}
	for rank := range b.held {
		if rank >= len(current) {
			continue
		}
		b.held[rank] = slices.Clone(current[rank])
		for _, e := range current[rank] {
			b.holders[e] = append(b.holders[e], rank)
			b.loads[rank] += p.Loads[e] / float64(b.counts[e])
		}
	}
	return b
}

func (b *balancer) time(rank int) float64 { return b.loads[rank] / b.problem.speed(rank) }

func (b *balancer) slowest() int {
	slowest := 0
	for rank := range b.loads {
		if b.time(rank) > b.time(slowest) {
			slowest = rank
		}
	}
	return slowest
}

// change puts add on rank (unless add is negative) and takes drop from rank
// from (unless drop is negative). Its value is by how much the sum of squared
// times falls.
type change struct {
	add, to    int
	drop, from int
	// evict is the expert that makes room for add; negative when there is room.
	evict int
	value float64
}

// improve makes the change for the slowest rank that helps most.
func (b *balancer) improve() bool {
	slow := b.slowest()
	best := change{}
	consider := func(c change) {
		if c.value = b.value(c); c.value > best.value {
			best = c
		}
	}
	for _, e := range b.held[slow] {
		if b.counts[e] > 1 {
			consider(change{add: -1, drop: e, from: slow, evict: -1})
		}
		for rank := range b.held {
			if rank == slow || slices.Contains(b.held[rank], e) || len(b.fetched[rank]) >= b.config.Spare {
				continue
			}
			evict := -1
			if len(b.held[rank]) >= b.problem.Slots {
				if evict = b.victim(rank, e); evict < 0 {
					continue
				}
			}
			consider(change{add: e, to: rank, drop: -1, evict: evict})
			consider(change{add: e, to: rank, drop: e, from: slow, evict: evict})
		}
	}
	if best.value <= 1e-9*b.problem.mean()*b.problem.mean() {
		return false
	}
	b.apply(best)
	return true
}

// victim is the expert on the rank whose loss there weighs least: its other
// holders take its tokens.
func (b *balancer) victim(rank, instead int) int {
	victim, least := -1, 0.0
	for _, f := range b.held[rank] {
		if f == instead || b.counts[f] < 2 || slices.Contains(b.fetched[rank], f) {
			continue
		}
		weight := b.problem.Loads[f] / float64(b.counts[f]) / float64(b.counts[f]-1)
		if victim < 0 || weight < least {
			victim, least = f, weight
		}
	}
	return victim
}

// value is by how much the change lowers the sum of squared times.
func (b *balancer) value(c change) float64 {
	b.touched = b.touched[:0]
	b.delta(c, b.touch)
	value := 0.0
	for _, rank := range b.touched {
		old := b.time(rank)
		now := (b.loads[rank] + b.deltas[rank]) / b.problem.speed(rank)
		value += old*old - now*now
		b.deltas[rank] = 0
		b.seen[rank] = false
	}
	return value
}

func (b *balancer) touch(rank int, d float64) {
	if !b.seen[rank] {
		b.seen[rank] = true
		b.touched = append(b.touched, rank)
	}
	b.deltas[rank] += d
}

// delta tells by how much the loads of ranks change.
func (b *balancer) delta(c change, tell func(rank int, d float64)) {
	if c.evict >= 0 {
		b.dropDelta(c.evict, c.to, tell)
	}
	expert := c.add
	if expert < 0 {
		b.dropDelta(c.drop, c.from, tell)
		return
	}
	count := float64(b.counts[expert])
	load := b.problem.Loads[expert]
	after := count + 1
	if c.drop >= 0 {
		after = count
	}
	for _, rank := range b.holders[expert] {
		if c.drop >= 0 && rank == c.from {
			tell(rank, -load/count)
			continue
		}
		tell(rank, load/after-load/count)
	}
	tell(c.to, load/after)
}

func (b *balancer) dropDelta(expert, from int, tell func(rank int, d float64)) {
	count := float64(b.counts[expert])
	load := b.problem.Loads[expert]
	for _, rank := range b.holders[expert] {
		if rank == from {
			tell(rank, -load/count)
			continue
		}
		tell(rank, load/(count-1)-load/count)
	}
}

func (b *balancer) apply(c change) {
	b.delta(c, func(rank int, d float64) { b.loads[rank] += d })
	if c.evict >= 0 {
		b.remove(c.evict, c.to)
	}
	if c.add >= 0 {
		b.held[c.to] = append(b.held[c.to], c.add)
		b.holders[c.add] = append(b.holders[c.add], c.to)
		b.counts[c.add]++
		b.fetched[c.to] = append(b.fetched[c.to], c.add)
	}
	if c.drop >= 0 {
		b.remove(c.drop, c.from)
	}
}

func (b *balancer) remove(expert, rank int) {
	b.held[rank] = slices.DeleteFunc(b.held[rank], func(e int) bool { return e == expert })
	b.holders[expert] = slices.DeleteFunc(b.holders[expert], func(r int) bool { return r == rank })
	b.counts[expert]--
	if at := slices.Index(b.fetched[rank], expert); at >= 0 {
		b.fetched[rank] = slices.Delete(b.fetched[rank], at, at+1)
	}
}
