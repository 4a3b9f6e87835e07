package rankagent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/rankscheduler"
)

// TestExpectedOutageFollowsEarlierOnes checks that the time until a closed group opens is estimated
// from its outages, and that the start of a leader is none.
func TestExpectedOutageFollowsEarlierOnes(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	o := outages{}.withState(now, true)
	is.Equal(o.opensIn(now), time.Duration(0))
	o = o.withState(now, false)
	is.Equal(o.opensIn(now.Add(time.Second)), initialOutage-time.Second)
	is.Equal(o.opensIn(now.Add(time.Minute)), time.Duration(0)) // longer than expected
	o = o.withState(now.Add(2*time.Second), true).withState(now.Add(5*time.Second), false)
	is.Equal(o.opensIn(now.Add(5*time.Second)), 2*time.Second)
	o = o.withState(now.Add(9*time.Second), true).withState(now.Add(20*time.Second), false)
	is.Equal(o.opensIn(now.Add(20*time.Second)), 3*time.Second)
}

// TestQueuedRequestReturnsWhenGroupIsOpen guards against a retry-after that ends while the group is still
// closed, for the requests that were queued when it closed.
func TestQueuedRequestReturnsWhenGroupIsOpen(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := &leader{outages: outages{}.withState(now, true)}
	refused := rankscheduler.Decision{ID: "a", RetryAt: now.Add(time.Second)}
	is.Equal(l.retryIn(now, refused), time.Second)
	l.outages = l.outages.withState(now, false)
	is.Equal(l.retryIn(now, refused), initialOutage)
}
