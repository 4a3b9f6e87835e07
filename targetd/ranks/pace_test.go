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
