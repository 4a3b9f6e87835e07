package routing

import "math"

// Policy chooses among targets. It returns -1 when none is eligible.
type Policy struct {
	Name string
	Pick func(q Request, targets []Target) int
}

// PolicyConfig holds the seams of the policies.
type PolicyConfig struct {
	// Uint64N returns a random number below n.
	Uint64N func(n uint64) uint64
	// ExpectedHit estimates the share of the prompt's prefix that the target
	// holds in its cache, from 0 to 1; nil means no affinity.
	ExpectedHit func(target string, prefix uint64) float64
}

// choices is how many eligible targets NewScored compares.
const choices = 4

// zonePenalty is the extra cost of a target in another zone, as a share of the
// time of one request.
const zonePenalty = 0.15

// prefixShare is the share of a request's time that a full prefix hit saves.
const prefixShare = 0.5

// NewScored compares a few random eligible targets by predicted wait, and the
// target most likely to hold the prompt's prefix besides. Its allocations do
// not depend on the number of targets.
func NewScored(c PolicyConfig) Policy {
	pick := func(q Request, targets []Target) int {
		best, bestScore := -1, math.Inf(1)
		consider := func(i int) {
			if score := c.score(q, &targets[i]); score < bestScore {
				best, bestScore = i, score
			}
		}
		n := uint64(len(targets))
		if n == 0 {
			return -1
		}
		found := 0
		const tries = 4 * choices
		for t := 0; t < tries && found < choices; t++ {
			i := int(c.Uint64N(n))
			if q.Eligible(&targets[i]) {
				consider(i)
				found++
			}
		}
		if found == 0 || q.Prefix != 0 {
			c.scan(q, targets, found == 0, consider)
		}
		return best
	}
	return Policy{Name: "scored", Pick: pick}
}

// AnyFree says whether one of a few random eligible targets seems to have a free
// place, so that a request need not wait at a busy one.
func AnyFree(c PolicyConfig, q Request, targets []Target) bool {
	for range 2 * choices {
		if len(targets) == 0 {
			return false
		}
		t := &targets[c.Uint64N(uint64(len(targets)))]
		if q.Eligible(t) && t.free() {
			return true
		}
	}
	return false
}

// scan considers every eligible target, or only those that may hold the prefix.
func (c PolicyConfig) scan(q Request, targets []Target, all bool, consider func(i int)) {
	if !all && c.ExpectedHit == nil {
		return
	}
	for i := range targets {
		t := &targets[i]
		if !q.Eligible(t) {
			continue
		}
		if all || c.ExpectedHit(t.Name, q.Prefix) > 0 {
			consider(i)
		}
	}
}

// score predicts how long the request would take at the target, in units of an
// unloaded request.
func (c PolicyConfig) score(q Request, t *Target) float64 {
	capacity := float64(max(t.Load.Capacity, 1))
	// What the target told counts the requests of all entries; what this
	// entry sent since is not in it yet.
	running := float64(max(t.Load.Running+t.Load.Queued+t.Sent, t.Inflight))
	score := (running + 1) / capacity
	if queue := running + 1 - capacity; queue > 0 {
		score += queue / capacity
	}
	if t.Load.StepMS > 0 && t.Load.EngineMS > 0 {
		score *= 1 + t.Load.StepMS/t.Load.EngineMS
	}
	if t.Zone != q.Zone {
		score += zonePenalty
	}
	if q.Prefix != 0 && c.ExpectedHit != nil {
		score -= prefixShare * c.ExpectedHit(t.Name, q.Prefix)
	}
	return score
}

// NewRandom is a baseline: any eligible target.
func NewRandom(c PolicyConfig) Policy {
	pick := func(q Request, targets []Target) int {
		chosen, seen := -1, uint64(0)
		for i := range targets {
			if !q.Eligible(&targets[i]) {
				continue
			}
			seen++
			if c.Uint64N(seen) == 0 {
				chosen = i
			}
		}
		return chosen
	}
	return Policy{Name: "random", Pick: pick}
}

// NewRoundRobin is a baseline: eligible targets in turn.
func NewRoundRobin() Policy {
	next := 0
	pick := func(q Request, targets []Target) int {
		for range targets {
			i := next % len(targets)
			next = i + 1
			if q.Eligible(&targets[i]) {
				return i
			}
		}
		return -1
	}
	return Policy{Name: "round_robin", Pick: pick}
}

// NewLeastReported is a baseline: the eligible target that last reported the
// least load.
func NewLeastReported() Policy {
	pick := func(q Request, targets []Target) int {
		best := -1
		for i := range targets {
			if !q.Eligible(&targets[i]) {
				continue
			}
			if best < 0 || targets[i].Load.Running < targets[best].Load.Running {
				best = i
			}
		}
		return best
	}
	return Policy{Name: "least_reported", Pick: pick}
}
