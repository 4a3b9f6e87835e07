package rankscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/rankscheduler"
)

// TestLimitedRankGetsNoMoreThanItsLimit guards against assigning a rank, from any entry, more
// requests than it says it takes. The other ranks serve those that don't fit.
func TestLimitedRankGetsNoMoreThanItsLimit(t *testing.T) {
	is := is.New(t)
	const perSecond, seconds = 2.0, 20
	s := newScheduler()
	now := time.Unix(0, 0)
	assigned := map[string]int{}
	refused := 0
	running := []string{}
	for i := range 60 * seconds {
		now = now.Add(time.Second / 60)
		s.SetLimit(now, "e3", perSecond)
		id := fmt.Sprint("r", i)
		d := s.Offer(now, rankscheduler.Request{ID: id, Fingerprint: uint64(i), StartBy: now.Add(200 * time.Millisecond), WaitUntil: now.Add(700 * time.Millisecond)})
		if d.Engine == "" {
			refused++
			continue
		}
		assigned[d.Engine]++
		if running = append(running, id); len(running) > 60 { // each runs for a second
			s.Release(now, running[0])
			running = running[1:]
		}
	}
	is.Equal(refused, 0)
	is.True(assigned["e3"] <= perSecond*seconds+1)
	is.True(assigned["e3"] >= perSecond*seconds/2) // it is still used
}

// TestRequestIsRefusedWhenAllRanksAreAtTheirLimit checks that a request which no rank takes is refused
// at once, with the time at which one does.
func TestRequestIsRefusedWhenAllRanksAreAtTheirLimit(t *testing.T) {
	is := is.New(t)
	s := rankscheduler.New()
	now := time.Unix(0, 0)
	s.SetRanks(now, []rankscheduler.Rank{{Engine: "e0", Slots: slots, Slowdown: 1}})
	s.SetLimit(now, "e0", 0.5)
	offer := func(id string) rankscheduler.Decision {
		return s.Offer(now, rankscheduler.Request{ID: id, StartBy: now.Add(200 * time.Millisecond), WaitUntil: now.Add(700 * time.Millisecond)})
	}
	is.Equal(offer("a").Engine, "e0")
	d := offer("b")
	is.True(d.Engine == "" && !d.Queued)
	is.Equal(d.RetryAt, now.Add(2*time.Second))
	now = now.Add(4 * time.Second) // no request has named the limit for a while
	is.Equal(offer("c").Engine, "e0")
	is.Equal(offer("d").Engine, "e0")
}
