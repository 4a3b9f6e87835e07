package limit

import (
	"math"
	"time"
)

// BurstSeconds is the time over which a Bucket collects requests that were not sent. It holds at
// least one request.
const BurstSeconds = 0.5

// Bucket grants requests up to a rate. It is immutable; its methods return the bucket that follows.
// The zero Bucket grants nothing.
type Bucket struct {
	perSecond float64 // requests per second
	tokens    float64 // requests that may be sent now
	filledAt  time.Time
}

// NewBucket returns a full bucket.
func NewBucket(now time.Time, perSecond float64) Bucket {
	return Bucket{perSecond: perSecond, tokens: burst(perSecond), filledAt: now}
}

// NewEmptyBucket returns a bucket without tokens.
func NewEmptyBucket(now time.Time, perSecond float64) Bucket {
	return Bucket{perSecond: perSecond, filledAt: now}
}

func burst(perSecond float64) float64 { return max(1, perSecond*BurstSeconds) }

// PerSecond returns the rate.
func (b Bucket) PerSecond() float64 { return b.perSecond }

// filled returns the bucket with the tokens collected until now.
func (b Bucket) filled(now time.Time) Bucket {
	if elapsed := now.Sub(b.filledAt).Seconds(); elapsed > 0 {
		b.tokens = math.Min(b.tokens+elapsed*b.perSecond, burst(b.perSecond))
		b.filledAt = now
	}
	return b
}

// WithRate returns the bucket with another rate.
func (b Bucket) WithRate(now time.Time, perSecond float64) Bucket {
	b = b.filled(now)
	b.perSecond = perSecond
	b.tokens = math.Min(b.tokens, burst(perSecond))
	return b
}

// Take grants a request if the rate allows one now.
func (b Bucket) Take(now time.Time) (Bucket, bool) {
	b = b.filled(now)
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

// NextIn returns the time until the bucket grants a request, 0 if it does now.
func (b Bucket) NextIn(now time.Time) time.Duration {
	b = b.filled(now)
	if b.tokens >= 1 {
		return 0
	}
	const longest = float64(time.Hour)
	return time.Duration(math.Min((1-b.tokens)/b.perSecond*float64(time.Second), longest))
}
