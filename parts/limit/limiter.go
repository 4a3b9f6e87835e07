// Package limit holds the limits of organisations and the budget of retries.
package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Share is the part of a limit that one entry may give out, from 0 to 1.
type Share func(organisation string) float64

// Limiter gives each organisation its rate at this entry. It is not safe for
// concurrent use.
type Limiter struct {
	share   Share
	buckets map[string]*bucket
}

type bucket struct {
	tokens  float64
	updated time.Time
	demand  float64 // requests a second, smoothed
	asked   time.Time
}

// demandMemory is how long the demand estimate looks back.
const demandMemory = 2 * time.Second

// leastBurst is the burst that an entry lets pass however small its share: few
// requests come evenly.
const leastBurst = 4

// NewLimiter returns a limiter whose rates are scaled by share.
func NewLimiter(share Share) *Limiter {
	return &Limiter{share: share, buckets: map[string]*bucket{}}
}

// Rate is a limit in force.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Admit takes one request of the organisation. When it refuses, it says when a
// request would pass.
func (l *Limiter) Admit(now time.Time, organisation string, r Rate) (bool, time.Time) {
	share := l.share(organisation)
	rate := r.PerSecond * share
	burst := max(r.Burst*share, min(r.Burst, leastBurst), 1)
	b, ok := l.buckets[organisation]
	if !ok {
		b = &bucket{tokens: burst, updated: now, asked: now}
		l.buckets[organisation] = b
	}
	b.observe(now)
	b.refill(now, rate, burst)
	if b.tokens >= 1 {
		b.tokens--
		return true, time.Time{}
	}
	if rate <= 0 {
		return false, now.Add(demandMemory)
	}
	wait := (1 - b.tokens) / rate
	return false, now.Add(time.Duration(wait * float64(time.Second)))
}

func (b *bucket) refill(now time.Time, rate, burst float64) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed > 0 {
		b.tokens += elapsed * rate
		b.updated = now
	}
	b.tokens = math.Min(b.tokens, burst)
}

// observe counts one request into the smoothed demand.
func (b *bucket) observe(now time.Time) {
	b.decay(now)
	b.demand += 1 / demandMemory.Seconds()
}

func (b *bucket) decay(now time.Time) {
	elapsed := now.Sub(b.asked)
	if elapsed <= 0 {
		return
	}
	b.demand *= math.Exp(-elapsed.Seconds() / demandMemory.Seconds())
	b.asked = now
}

// Demand returns the demand of the organisations that ask for at least their
// floor, in requests a second, and forgets organisations that have gone quiet. Of
// more than most it keeps those furthest above their floors.
func (l *Limiter) Demand(now time.Time, floor func(organisation string) float64, most int) map[string]float64 {
	heavy := map[string]float64{}
	var names []string
	const quiet = 0.001
	for name, b := range l.buckets {
		b.decay(now)
		if b.demand >= floor(name) {
			heavy[name] = b.demand
			names = append(names, name)
		}
		if b.demand < quiet {
			delete(l.buckets, name)
		}
	}
	if len(names) <= most {
		return heavy
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(heavy[b]/floor(b), heavy[a]/floor(a)) })
	for _, name := range names[most:] {
		delete(heavy, name)
	}
	return heavy
}
