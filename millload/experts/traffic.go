// Package experts is an experiment that compares policies for the placement of experts by
// the step-time skew they reach and the bytes their rebalancing moves, under drifting
// popularity.
package experts

import (
	"math"
	"math/rand/v2"
)

// traffic generates the load of the experts of one layer, interval by interval.
type traffic struct {
	rng      *rand.Rand
	logits   []float64 // logarithms of popularity, by expert
	drift    float64   // standard deviation of the change of a logit per interval
	burst    int       // expert in a burst, or -1
	burstEnd int       // interval at which the burst ends
}

// tokensPerSecond is the total load of one layer.
const tokensPerSecond = 100_000

// newTraffic returns traffic whose popularity follows a Zipf distribution with the
// exponent, in random order of experts.
func newTraffic(seed uint64, layer, experts int, exponent, drift float64) *traffic {
	t := &traffic{rng: rand.New(rand.NewPCG(seed, uint64(layer))), drift: drift, burst: -1}
	t.logits = make([]float64, experts)
	for position, e := range t.rng.Perm(experts) {
		t.logits[e] = -exponent * math.Log(float64(position+1))
	}
	return t
}

// next advances by one interval, to the one with the given number, and returns the load of
// each expert in it, in tokens per second.
func (t *traffic) next(interval int, s Settings) []float64 {
	for e := range t.logits {
		t.logits[e] += t.drift * t.rng.NormFloat64()
	}
	if interval == s.PopularitySwapAt {
		t.swapPopularity()
	}
	if interval == s.BurstAt {
		t.burst, t.burstEnd = t.rng.IntN(len(t.logits)), interval+s.BurstLength
	}
	if interval == t.burstEnd {
		t.burst = -1
	}
	return t.loads()
}

// swapPopularity exchanges the popularity of up to a third of the experts in pairs.
func (t *traffic) swapPopularity() {
	n := len(t.logits)
	for range n / 6 {
		a, b := t.rng.IntN(n), t.rng.IntN(n)
		t.logits[a], t.logits[b] = t.logits[b], t.logits[a]
	}
}

// burstFactor multiplies the popularity of an expert in a burst.
const burstFactor = 4

// loads returns the load of each expert in tokens per second; they add up to
// tokensPerSecond.
func (t *traffic) loads() []float64 {
	loads := make([]float64, len(t.logits))
	total := 0.0
	for e, logit := range t.logits {
		loads[e] = math.Exp(logit)
		if e == t.burst {
			loads[e] *= burstFactor
		}
		total += loads[e]
	}
	for e := range loads {
		loads[e] *= tokensPerSecond / total
	}
	return loads
}
