package ranks

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/mapswitch"
)

func TestPaceCountsPasses(t *testing.T) {
	is := is.New(t)
	var p passPace
	now := time.Unix(0, 0)
	for i := range 100 {
		p = p.with(now.Add(time.Duration(i)*20*time.Millisecond), mapswitch.Pass(i/2))
	}
	is.True(p.mean > 35*time.Millisecond && p.mean < 45*time.Millisecond)
	is.Equal(p.with(now.Add(time.Hour), p.first), p) // idle
}

// TestPaceLeavesOutIdleTime has a group without requests for ten seconds; what
// it was given then looked as if one pass had taken so long.
func TestPaceLeavesOutIdleTime(t *testing.T) {
	is := is.New(t)
	var p passPace
	now := time.Unix(0, 0)
	p = p.with(now, 1).with(now.Add(10*time.Second), 2)
	is.Equal(p.mean, time.Duration(0))
	p = p.with(now.Add(10500*time.Millisecond), 12)
	is.Equal(p.mean, 50*time.Millisecond)
}

// TestHeldPassLiesAnOrderTimeAhead checks that ranks can be armed before the held
// pass, and that slow passes are not waited for longer than needed.
func TestHeldPassLiesAnOrderTimeAhead(t *testing.T) {
	is := is.New(t)
	is.Equal(passPace{}.ahead(0), mapswitch.Pass(3)) // nothing measured yet
	is.Equal(passPace{mean: 40 * time.Millisecond}.ahead(0), mapswitch.Pass(3))
	is.Equal(passPace{mean: 25 * time.Millisecond}.ahead(0), mapswitch.Pass(4))
	is.Equal(passPace{mean: 600 * time.Millisecond}.ahead(0), mapswitch.Pass(1))
	// A rank has just become slow: the passes measured were shorter.
	is.Equal(passPace{mean: 50 * time.Millisecond}.ahead(350*time.Millisecond), mapswitch.Pass(1))
}
