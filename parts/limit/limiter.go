// Package limit decides, for one entry, which requests fit into the rate limit of
// their organisation and how many retries the entry may send.
package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ShareFunc returns the fraction of the organisation's limit that this entry may admit,
// from 0 to 1.
type ShareFunc func(organisation string) float64

// Limiter holds one token bucket for each organisation at this entry. It is not safe
// for concurrent use.
type Limiter struct {
	share   ShareFunc
	buckets map[string]*bucket
}

type bucket struct {
	tokens     float64
	refilledAt time.Time
	demand     float64   // smoothed requests per second, as of demandAt
	demandAt   time.Time // last decay of demand
}

// demandTimeConstant is the time constant of the exponential decay of demand.
const demandTimeConstant = 2 * time.Second

// minBurst is the burst, in requests, that an entry admits even with a small share,
// because requests rarely arrive evenly spaced. A smaller Rate.Burst limits it.
const minBurst = 4

// NewLimiter returns a limiter that scales every rate and burst by share.
func NewLimiter(share ShareFunc) *Limiter {
	return &Limiter{share: share, buckets: map[string]*bucket{}}
}

// Rate is the rate limit of an organisation over all entries.
type Rate struct {
	PerSecond float64 // requests per second
	Burst     float64 // requests
}

// Admit counts one request of the organisation and reports whether it is within this
// entry's share of the limit r. For a refused request it also returns the time at
// which to retry. Refused requests count as demand too.
func (l *Limiter) Admit(now time.Time, organisation string, r Rate) (bool, time.Time) {
	share := l.share(organisation)
	rate := r.PerSecond * share
	burst := max(r.Burst*share, min(r.Burst, minBurst), 1)
	b, ok := l.buckets[organisation]
	if !ok {
		b = &bucket{tokens: burst, refilledAt: now, demandAt: now}
		l.buckets[organisation] = b
	}
	b.observe(now)
	b.refill(now, rate, burst)
	if b.tokens >= 1 {
		b.tokens--
		return true, time.Time{}
	}
	if rate <= 0 {
		return false, now.Add(demandTimeConstant)
	}
	wait := (1 - b.tokens) / rate
	return false, now.Add(time.Duration(wait * float64(time.Second)))
}

func (b *bucket) refill(now time.Time, rate, burst float64) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed > 0 {
		b.tokens += elapsed * rate
		b.refilledAt = now
	}
	b.tokens = math.Min(b.tokens, burst)
}

// observe adds one request to the smoothed demand.
func (b *bucket) observe(now time.Time) {
	b.decay(now)
	b.demand += 1 / demandTimeConstant.Seconds()
}

func (b *bucket) decay(now time.Time) {
	elapsed := now.Sub(b.demandAt)
	if elapsed <= 0 {
		return
	}
	b.demand *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	b.demandAt = now
}

// Demand returns the demand, in requests per second, of the organisations whose
// demand is at least their floor, which the function floor returns in the same unit.
// It returns at most maxCount organisations, those with the highest demand relative to
// their floor, and drops the buckets of organisations with negligible demand.
func (l *Limiter) Demand(now time.Time, floor func(organisation string) float64, maxCount int) map[string]float64 {
	demands := map[string]float64{}
	var names []string
	const negligible = 0.001 // requests per second
	for name, b := range l.buckets {
		b.decay(now)
		if b.demand >= floor(name) {
			demands[name] = b.demand
			names = append(names, name)
		}
		if b.demand < negligible {
			delete(l.buckets, name)
		}
	}
	if len(names) <= maxCount {
		return demands
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(demands[b]/floor(b), demands[a]/floor(a)) })
	for _, name := range names[maxCount:] {
		delete(demands, name)
	}
	return demands
}
