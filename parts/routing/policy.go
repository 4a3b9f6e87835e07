package routing

import "math"

// Policy is a named routing policy. Pick returns the index of the chosen target, or
// -1 when no target is eligible. Pick is not safe for concurrent use, because a policy
// may keep state between calls.
type Policy struct {
	Name string
	Pick func(r Request, targets []Target) int
}

// PolicyConfig holds the dependencies of the policies.
type PolicyConfig struct {
	// Uint64N returns a random number below n.
	Uint64N func(n uint64) uint64
	// ExpectedHit estimates the fraction of the prompt prefix that the target
	// holds in its cache, from 0 to 1. Nil disables prefix affinity.
	ExpectedHit func(target string, prefix uint64) float64
}

// sampleSize is the number of random eligible targets that NewScored compares.
const sampleSize = 4

// zonePenalty is added to the score of a target in another zone, as a fraction of
// the service time of one request.
const zonePenalty = 0.15

// prefixHitSaving is the fraction of the service time that a full prefix hit saves.
const prefixHitSaving = 0.5

// NewScored returns a policy that compares a few random eligible targets by their
// predicted completion time. Targets that may hold the prompt prefix in their cache
// are always compared too. The number of allocations does not depend on the number
// of targets.
func NewScored(c PolicyConfig) Policy {
	pick := func(r Request, targets []Target) int {
		best, bestScore := -1, math.Inf(1)
		consider := func(i int) {
			if score := c.score(r, &targets[i]); score < bestScore {
				best, bestScore = i, score
			}
		}
		n := uint64(len(targets))
		if n == 0 {
			return -1
		}
		sampled := 0
		const maxDraws = 4 * sampleSize
		for t := 0; t < maxDraws && sampled < sampleSize; t++ {
			i := int(c.Uint64N(n))
			if r.Eligible(&targets[i]) {
				consider(i)
				sampled++
			}
		}
		if sampled == 0 || r.Prefix != 0 {
			c.scan(r, targets, sampled == 0, consider)
		}
		return best
	}
	return Policy{Name: "scored", Pick: pick}
}

// AnyFreeSlot reports whether at least one of a few random eligible targets appears to
// have a free slot, so that a request need not queue at a busy target.
func AnyFreeSlot(c PolicyConfig, r Request, targets []Target) bool {
	for range 2 * sampleSize {
		if len(targets) == 0 {
			return false
		}
		t := &targets[c.Uint64N(uint64(len(targets)))]
		if r.Eligible(t) && t.hasFreeSlot() {
			return true
		}
	}
	return false
}

// scan passes the index of every eligible target to consider or, unless all is set,
// only of those that may hold the prompt prefix.
func (c PolicyConfig) scan(r Request, targets []Target, all bool, consider func(i int)) {
	if !all && c.ExpectedHit == nil {
		return
	}
	for i := range targets {
		t := &targets[i]
		if !r.Eligible(t) {
			continue
		}
		if all || c.ExpectedHit(t.Name, r.Prefix) > 0 {
			consider(i)
		}
	}
}

// score predicts how long the request would take at the target, in multiples of the
// service time at an idle target.
func (c PolicyConfig) score(r Request, t *Target) float64 {
	capacity := float64(max(t.Load.Capacity, 1))
	// The reported load counts the requests of all entries, but not yet those
	// that this entry has sent since the report. The load is at least the number of
	// this entry's requests without a response.
	load := float64(max(t.Load.Running+t.Load.Queued+t.SentSinceReport, t.Inflight))
	score := (load + 1) / capacity
	if queue := load + 1 - capacity; queue > 0 {
		score += queue / capacity
	}
	// A target whose slowest rank takes long for a step scores worse.
	if t.Load.StepMS > 0 && t.Load.EngineMS > 0 {
		score *= 1 + t.Load.StepMS/t.Load.EngineMS
	}
	if t.Zone != r.Zone {
		score += zonePenalty
	}
	if r.Prefix != 0 && c.ExpectedHit != nil {
		score -= prefixHitSaving * c.ExpectedHit(t.Name, r.Prefix)
	}
	return score
}

// NewRandom returns a baseline policy: a uniformly random eligible target.
func NewRandom(c PolicyConfig) Policy {
	pick := func(r Request, targets []Target) int {
		chosen, seen := -1, uint64(0)
		for i := range targets {
			if !r.Eligible(&targets[i]) {
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

// NewRoundRobin returns a baseline policy: the eligible targets in turn.
func NewRoundRobin() Policy {
	next := 0
	pick := func(r Request, targets []Target) int {
		for range targets {
			i := next % len(targets)
			next = i + 1
			if r.Eligible(&targets[i]) {
				return i
			}
		}
		return -1
	}
	return Policy{Name: "round_robin", Pick: pick}
}

// NewLeastReported returns a baseline policy: the eligible target with the fewest
// running requests in its last report.
func NewLeastReported() Policy {
	pick := func(r Request, targets []Target) int {
		best := -1
		for i := range targets {
			if !r.Eligible(&targets[i]) {
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
