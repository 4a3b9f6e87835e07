package popularity_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/popularity"
)

const (
	sets    = 4
	experts = 72
)

// interval returns the choices of 8 requests in a tenth of a second. Each request
// prefers some experts of its own in addition to the common demand, which is highest
// for the expert at -offset modulo the number of experts.
func interval(rng *rand.Rand, offset int) [][]float64 { return busyInterval(rng, offset, 8, 1) }

// busyInterval is like interval, but with the given number of requests, and only the
// given part of the common demand is shifted by the offset.
func busyInterval(rng *rand.Rand, offset, requests int, part float64) [][]float64 {
	out := make([][]float64, sets)
	for s := range out {
		out[s] = make([]float64, experts)
	}
	for range requests {
		own := rng.IntN(experts)
		for s := range out {
			for x := range experts {
				common := part/float64(1+(x+offset)%experts) + (1-part)/float64(1+x)
				individual := 0.4 / float64(1+(x+own)%experts)
				out[s][x] += 500 * (common + individual)
			}
		}
	}
	return out
}

// TestDifferentRequestsAreNoShift guards against taking differences between single
// requests under steady demand for a shift, which happened in nearly every interval.
func TestDifferentRequestsAreNoShift(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var e popularity.Estimate
	for range 200 {
		e = e.With(interval(rng, 0))
	}
	is.Equal(e.Shifts(), 1) // the first interval only
}

// TestShiftReplacesEstimate checks that the estimate follows the new demand two
// intervals after a shift.
func TestShiftReplacesEstimate(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var e popularity.Estimate
	for range 50 {
		e = e.With(interval(rng, 0))
	}
	for range 2 {
		e = e.With(interval(rng, 36))
	}
	is.Equal(e.Shifts(), 2)
	shares := e.Shares()[0]
	hottest := 0
	for x := range shares {
		if shares[x] > shares[hottest] {
			hottest = x
		}
	}
	is.Equal(hottest, 36) // (36+36)%72 is 0, the hottest position
}

// TestSmallShiftInLargeGroup simulates many requests per interval and a shift of a
// fifth of the demand, which is less than the differences between single requests of
// a small group. The estimate must follow within three intervals and count one shift.
func TestSmallShiftInLargeGroup(t *testing.T) {
	is := is.New(t)
	const requests, part = 300, 0.35
	rng := rand.New(rand.NewPCG(1, 2))
	var e popularity.Estimate
	for range 100 {
		e = e.With(busyInterval(rng, 36, requests, 0))
	}
	is.Equal(e.Shifts(), 1)
	before := e.Shares()[0][36]
	for range 3 {
		e = e.With(busyInterval(rng, 36, requests, part))
	}
	is.Equal(e.Shifts(), 2)
	early := e.Shares()[0][36]
	for range 100 {
		e = e.With(busyInterval(rng, 36, requests, part))
	}
	is.Equal(e.Shifts(), 2)
	end := e.Shares()[0][36]
	is.True(math.Abs(early-end) < 0.2*math.Abs(end-before))
}

// TestMixedIntervalHasNoShares checks a shift in the middle of an interval. Its mix of
// old and new demand fits neither, and a layout planned for it would have to be
// replaced by another switch.
func TestMixedIntervalHasNoShares(t *testing.T) {
	is := is.New(t)
	const requests, part = 300, 0.5
	rng := rand.New(rand.NewPCG(1, 2))
	var e popularity.Estimate
	for range 100 {
		e = e.With(busyInterval(rng, 36, requests, 0))
	}
	is.True(e.Shares() != nil)
	e = e.With(busyInterval(rng, 36, requests, part/2))
	is.True(e.Shares() == nil)
	e = e.With(busyInterval(rng, 36, requests, part))
	early := e.Shares()[0][36]
	is.Equal(e.Shifts(), 2)
	for range 100 {
		e = e.With(busyInterval(rng, 36, requests, part))
	}
	end := e.Shares()[0][36]
	is.True(math.Abs(early-end) < 0.1*end)
}
