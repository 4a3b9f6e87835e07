package placement

import (
	"slices"
)

// maxReceivers is the number of ranks with the least load that are considered for a replica. It bounds the
// time for a change in a group of many ranks.
const maxReceivers = 32

// BalanceResult is the result of Balance for one set of layers.
type BalanceResult struct {
	Layout  Layout
	Fetched int     // number of experts that ranks must fetch
	Skew    float64 // predicted skew of Layout
}

// BalanceConfig holds the limits of Balance and BalanceSets.
type BalanceConfig struct {
	TargetSkew float64 // skew at which a set is left as it is
	MaxFetches int     // maximum number of experts that one rank fetches in a set
	// MaxTotalFetches is the maximum number of experts that all ranks fetch together in all sets; 0 for no
	// limit.
	MaxTotalFetches int
	// Yield is called after each change, so that a long computation can let others use the processor. It may be
	// nil.
	Yield func()
}

// Balance takes load from the slowest rank, one expert at a time, until the skew
// reaches c.TargetSkew or no change within c.MaxFetches lowers the sum of squared step
// times. A change removes an expert from the slowest rank, replicates it on another
// rank, or does both. Ranks need not be full: a slow rank may end up with few experts,
// because each expert it gives up has a replica on another rank.
func Balance(p Problem, current Layout, c BalanceConfig) BalanceResult {
	return BalanceSets([]Problem{p}, []Layout{current}, c)[0]
}

// BalanceSets balances several sets of layers like Balance, always the one with the highest skew next, since
// a pass takes the sum of the times of the slowest rank of each set. c.MaxTotalFetches thus goes where it
// gains most.
func BalanceSets(problems []Problem, current []Layout, c BalanceConfig) []BalanceResult {
	total := 0
	balancers := make([]*balancer, len(problems))
	for s, p := range problems {
		balancers[s] = newBalancer(p, current[s], c, &total)
	}
	for {
		var next *balancer
		for _, b := range balancers {
			if !b.stuck && b.skew > c.TargetSkew && (next == nil || b.skew > next.skew) {
				next = b
			}
		}
		if next == nil {
			break
		}
		next.stuck = !next.applyBestChange()
		if c.Yield != nil {
			c.Yield()
		}
	}
	results := make([]BalanceResult, len(problems))
	for s, b := range balancers {
		results[s] = BalanceResult{Layout: b.layout, Fetched: CountFetches(current[s], b.layout), Skew: problems[s].Skew(b.layout)}
	}
	return results
}

// balancer is the mutable state of one run of Balance.
type balancer struct {
	problem  Problem
	config   BalanceConfig
	layout   Layout
	counts   []int     // number of replicas of each expert
	holders  [][]int   // ranks that hold each expert, by expert
	loads    []float64 // load of each rank
	slowness []float64 // reciprocal of the speed of each rank
	fetched  [][]int   // experts that each rank must fetch, by rank
	total    *int      // number of experts that ranks must fetch, in all sets
	mean     float64   // step time if all ranks finished at the same time
	skew     float64   // of layout
	stuck    bool      // no change has a gain
	// deltas, seen and touched are scratch buffers of gain. deltas and seen are
	// indexed by rank and cleared after each use.
	deltas  []float64
	seen    []bool
	touched []int
	byLoad  []int // ranks by step time, as of the last call of receivers
	// mayReceive is a scratch buffer of receivers.
	mayReceive []int
}

func newBalancer(p Problem, current Layout, c BalanceConfig, total *int) *balancer {
	b := &balancer{
		total: total, mean: p.meanTime(),
		problem: p, config: c, layout: make(Layout, p.Ranks), counts: countReplicas(current, len(p.Loads)),
		holders: make([][]int, len(p.Loads)), loads: make([]float64, p.Ranks), fetched: make([][]int, p.Ranks),
		deltas: make([]float64, p.Ranks), seen: make([]bool, p.Ranks),
	}
	for rank := range b.layout {
		if rank >= len(current) {
			continue // a rank that current lacks starts empty
		}
		b.layout[rank] = slices.Clone(current[rank])
		for _, e := range current[rank] {
			b.holders[e] = append(b.holders[e], rank)
			b.loads[rank] += p.Loads[e] / float64(b.counts[e])
		}
	}
	for rank := range p.Ranks {
		b.byLoad, b.slowness = append(b.byLoad, rank), append(b.slowness, 1/p.speed(rank))
	}
	b.updateSkew()
	return b
}

func (b *balancer) updateSkew() {
	if b.skew = 1; b.mean > 0 {
		b.skew = b.stepTime(b.slowest()) / b.mean
	}
}

// receivers returns the ranks with the least load that may fetch an expert. The result is valid until the next
// call.
func (b *balancer) receivers() []int {
	// Few ranks have changed their place since the last call, which makes an insertion sort the fastest.
	for i := 1; i < len(b.byLoad); i++ {
		rank, at := b.byLoad[i], i
		for time := b.stepTime(rank); at > 0 && time < b.stepTime(b.byLoad[at-1]); at-- {
			b.byLoad[at] = b.byLoad[at-1]
		}
		b.byLoad[at] = rank
	}
	b.mayReceive = b.mayReceive[:0]
	for _, rank := range b.byLoad {
		if b.mayFetch(rank) {
			b.mayReceive = append(b.mayReceive, rank)
		}
		if len(b.mayReceive) == maxReceivers {
			break
		}
	}
	return b.mayReceive
}

func (b *balancer) stepTime(rank int) float64 { return b.loads[rank] * b.slowness[rank] }

func (b *balancer) slowest() int {
	slowest := 0
	for rank := range b.loads {
		if b.stepTime(rank) > b.stepTime(slowest) {
			slowest = rank
		}
	}
	return slowest
}

// change adds the expert add to rank to (unless add is negative) and removes the
// expert drop from rank from (unless drop is negative).
type change struct {
	add, to    int
	drop, from int
	// evict is the expert that rank to gives up to make room for add. It is
	// negative if rank to has room.
	evict int
	gain  float64 // decrease of the sum of squared step times
}

// applyBestChange applies the change for the slowest rank with the largest gain. It returns
// false if no change has a gain.
func (b *balancer) applyBestChange() bool {
	slow := b.slowest()
	best := change{}
	consider := func(c change) {
		if c.gain = b.gain(c); c.gain > best.gain {
			best = c
		}
	}
	receivers := b.receivers()
	for _, e := range b.layout[slow] {
		if b.counts[e] > 1 {
			consider(change{add: -1, drop: e, from: slow, evict: -1})
		}
		for _, rank := range receivers {
			if rank == slow || slices.Contains(b.layout[rank], e) {
				continue
			}
			evict := -1
			if len(b.layout[rank]) >= b.problem.ExpertSlots {
				if evict = b.victim(rank, e); evict < 0 {
					continue
				}
			}
			consider(change{add: e, to: rank, drop: -1, evict: evict})
			consider(change{add: e, to: rank, drop: e, from: slow, evict: evict})
		}
	}
	if best.gain <= 1e-9*b.mean*b.mean {
		return false
	}
	b.apply(best)
	b.updateSkew()
	return true
}

// mayFetch reports whether the limits allow the rank to fetch another expert.
func (b *balancer) mayFetch(rank int) bool {
	return len(b.fetched[rank]) < b.config.MaxFetches && (b.config.MaxTotalFetches == 0 || *b.total < b.config.MaxTotalFetches)
}

// victim returns the expert to evict from the rank, or -1 if there is none: the one
// whose eviction adds the least load to each of its other holders. Excluded are the
// expert keep, experts without another replica, and experts that this run of Balance
// makes the rank fetch.
func (b *balancer) victim(rank, keep int) int {
	victim, least := -1, 0.0
	for _, f := range b.layout[rank] {
		if f == keep || b.counts[f] < 2 || slices.Contains(b.fetched[rank], f) {
			continue
		}
		weight := b.problem.Loads[f] / float64(b.counts[f]) / float64(b.counts[f]-1)
		if victim < 0 || weight < least {
			victim, least = f, weight
		}
	}
	return victim
}

// gain returns the decrease of the sum of squared step times after the change.
func (b *balancer) gain(c change) float64 {
	b.touched = b.touched[:0]
	b.eachDelta(c, b.addDelta)
	gain := 0.0
	for _, rank := range b.touched {
		old := b.stepTime(rank)
		now := (b.loads[rank] + b.deltas[rank]) * b.slowness[rank]
		gain += old*old - now*now
		b.deltas[rank] = 0
		b.seen[rank] = false
	}
	return gain
}

// addDelta adds d to the change in load of a rank.
func (b *balancer) addDelta(rank int, d float64) {
	if !b.seen[rank] {
		b.seen[rank] = true
		b.touched = append(b.touched, rank)
	}
	b.deltas[rank] += d
}

// eachDelta calls report with the change in load of each affected rank. It may call
// report more than once for a rank.
func (b *balancer) eachDelta(c change, report func(rank int, d float64)) {
	if c.evict >= 0 {
		b.eachDropDelta(c.evict, c.to, report)
	}
	expert := c.add
	if expert < 0 {
		b.eachDropDelta(c.drop, c.from, report)
		return
	}
	count := float64(b.counts[expert])
	load := b.problem.Loads[expert]
	after := count + 1 // number of replicas after the change
	if c.drop >= 0 {
		after = count
	}
	for _, rank := range b.holders[expert] {
		if c.drop >= 0 && rank == c.from {
			report(rank, -load/count)
			continue
		}
		report(rank, load/after-load/count)
	}
	report(c.to, load/after)
}

// eachDropDelta calls report with the changes in load when the rank from gives up
// the expert.
func (b *balancer) eachDropDelta(expert, from int, report func(rank int, d float64)) {
	count := float64(b.counts[expert])
	load := b.problem.Loads[expert]
	for _, rank := range b.holders[expert] {
		if rank == from {
			report(rank, -load/count)
			continue
		}
		report(rank, load/(count-1)-load/count)
	}
}

func (b *balancer) apply(c change) {
	b.eachDelta(c, func(rank int, d float64) { b.loads[rank] += d })
	if c.evict >= 0 {
		b.remove(c.evict, c.to)
	}
	if c.add >= 0 {
		b.layout[c.to] = append(b.layout[c.to], c.add)
		b.holders[c.add] = append(b.holders[c.add], c.to)
		b.counts[c.add]++
		b.fetched[c.to] = append(b.fetched[c.to], c.add)
		*b.total++
	}
	if c.drop >= 0 {
		b.remove(c.drop, c.from)
	}
}

func (b *balancer) remove(expert, rank int) {
	b.layout[rank] = slices.DeleteFunc(b.layout[rank], func(e int) bool { return e == expert })
	b.holders[expert] = slices.DeleteFunc(b.holders[expert], func(r int) bool { return r == rank })
	b.counts[expert]--
	if at := slices.Index(b.fetched[rank], expert); at >= 0 {
		b.fetched[rank] = slices.Delete(b.fetched[rank], at, at+1)
		*b.total--
	}
}
