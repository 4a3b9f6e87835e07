package pace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/pace"
)

var engine = pace.Engine{Idle: 23 * time.Millisecond, PerRequest: 5450 * time.Microsecond, Prompt: 14 * time.Millisecond, ExpertShare: 0.85}

func ExampleBound_Requests() {
	now := time.Unix(0, 0)
	b := pace.Bound{}.WithSkew(now, 3, 3)
	n, _ := b.Requests(now, 24, engine, 150*time.Millisecond)
	fmt.Println(n, engine.Pass(float64(n)/24, 3).Round(time.Millisecond))
	// Output: 147 127ms
}

// TestShiftIsRemembered guards against a group that fills up between two shifts of demand, so that the next one makes all of
// its streams late, and against a bound that stays when shifts have ended.
func TestShiftIsRemembered(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	requests := func(b pace.Bound, at time.Duration) int {
		n, ok := b.Requests(now.Add(at), 24, engine, 150*time.Millisecond)
		is.True(ok)
		return n
	}
	b := pace.Bound{}.WithSkew(now, 3, 3)
	shifted := requests(b, 0)
	b = b.WithSkew(now.Add(4*time.Second), 1.1, 1.1)
	is.Equal(requests(b, 4*time.Second), shifted)
	b = b.WithSkew(now.Add(11*time.Second), 1.1, 1.1)
	is.True(requests(b, 11*time.Second) > 2*shifted)
}

// TestRecoveredRankBoundsNoLonger guards against a bound that stays for seconds after a slow rank has recovered.
func TestRecoveredRankBoundsNoLonger(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := pace.Bound{}.WithSkew(now, 1.1, 13)
	slow, _ := b.Requests(now, 24, engine, 150*time.Millisecond)
	b = b.WithSkew(now.Add(100*time.Millisecond), 1.1, 1.1)
	recovered, _ := b.Requests(now.Add(100*time.Millisecond), 24, engine, 150*time.Millisecond)
	is.True(slow < 48 && recovered > 240)
}

// TestNoBoundWithoutPublishedCosts guards against a bound where the configuration calls for none.
func TestNoBoundWithoutPublishedCosts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	b := pace.Bound{}.WithSkew(now, 3, 3)
	_, ok := b.Requests(now, 24, engine, 0)
	is.True(!ok)
	_, ok = b.Requests(now, 24, pace.Engine{Idle: engine.Idle}, 150*time.Millisecond)
	is.True(!ok)
	_, ok = pace.Bound{}.Requests(now, 24, engine, 150*time.Millisecond)
	is.True(!ok)
}
