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

// interval plays a tenth of a second of a few requests: each prefers experts of
// its own beside the common demand, which begins at the offset.
func interval(rng *rand.Rand, offset int) [][]float64 { return busyInterval(rng, offset, 8, 1) }

// busyInterval has more requests, whose common demand only partly begins at the offset.
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
				private := 0.4 / float64(1+(x+own)%experts)
				out[s][x] += 500 * (common + private)
			}
		}
	}
	return out
}

// TestContentOfRequestsIsNoShift plays steady demand with differing requests,
// which once counted as a change in nearly every interval.
func TestContentOfRequestsIsNoShift(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	var e popularity.Estimate
	for range 200 {
		e = e.With(interval(rng, 0))
	}
	is.Equal(e.Shifts(), 1) // the first interval only
}

// TestShiftCountsAtOnce plays a drift of popularity: two intervals later the
// estimate must follow the new demand.
func TestShiftCountsAtOnce(t *testing.T) {
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
	is.Equal(hottest, 36) // (36+36)%72 is 0, the hottest place
}

// TestSmallDriftOfALargeGroupCountsAtOnce plays a group with many requests an
// interval: the demand of a fifth of them goes elsewhere, less than what single
// requests of a small group differ by. It must be followed within three intervals,
// and be one change.
func TestSmallDriftOfALargeGroupCountsAtOnce(t *testing.T) {
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
	soon := e.Shares()[0][36]
	for range 100 {
		e = e.With(busyInterval(rng, 36, requests, part))
	}
	is.Equal(e.Shifts(), 2)
	end := e.Shares()[0][36]
	is.True(math.Abs(soon-end) < 0.2*math.Abs(end-before))
}

// TestMixedIntervalIsNotPlannedFor has a drift in the middle of an interval: half old
// demand and half new is what nobody asks for, and a layout for it needs another
// switch.
func TestMixedIntervalIsNotPlannedFor(t *testing.T) {
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
	soon := e.Shares()[0][36]
	is.Equal(e.Shifts(), 2)
	for range 100 {
		e = e.With(busyInterval(rng, 36, requests, part))
	}
	end := e.Shares()[0][36]
	is.True(math.Abs(soon-end) < 0.1*end)
}
