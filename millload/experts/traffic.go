// Package experts measures the placement of experts: step-time skew against the
// bytes that rebalancing moves, under drifting popularity.
package experts

import (
	"math"
	"math/rand/v2"
)

// traffic is the popularity of experts, interval by interval.
type traffic struct {
	rng    *rand.Rand
	logits []float64
	drift  float64
	burst  int // expert in a burst, or -1
	until  int // interval at which the burst ends
}

// tokensPerSecond is the load of one layer.
const tokensPerSecond = 100_000

func newTraffic(seed uint64, layer, experts int, exponent, drift float64) *traffic {
	t := &traffic{rng: rand.New(rand.NewPCG(seed, uint64(layer))), drift: drift, burst: -1}
	t.logits = make([]float64, experts)
	for rank, e := range t.rng.Perm(experts) {
		t.logits[e] = -exponent * math.Log(float64(rank+1))
	}
	return t
}

// next moves on by one interval and returns the loads in it.
func (t *traffic) next(interval int, s Settings) []float64 {
	for e := range t.logits {
		t.logits[e] += t.drift * t.rng.NormFloat64()
	}
	if interval == s.SeasonAt {
		t.season()
	}
	if interval == s.BurstAt {
		t.burst, t.until = t.rng.IntN(len(t.logits)), interval+s.BurstLength
	}
	if interval == t.until {
		t.burst = -1
	}
	return t.loads()
}

// season gives a third of the experts the popularity of others.
func (t *traffic) season() {
	n := len(t.logits)
	for range n / 6 {
		a, b := t.rng.IntN(n), t.rng.IntN(n)
		t.logits[a], t.logits[b] = t.logits[b], t.logits[a]
	}
}

// burstFactor is how much more popular an expert in a burst is.
const burstFactor = 4

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
