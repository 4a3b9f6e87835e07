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
	s := rankscheduler.New(rankscheduler.Config{})
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

// TestEvacuatedRanksGetNoRequests guards against slots at ranks in an evacuated zone, also for requests that can go
// nowhere else or that move, and against a capacity that still counts them.
func TestEvacuatedRanksGetNoRequests(t *testing.T) {
	is := is.New(t)
	s := rankscheduler.New(rankscheduler.Config{})
	now := time.Unix(0, 0)
	ranks := []rankscheduler.Rank{{Engine: "e0", Zone: "a", Slots: 2, Slowdown: 1}, {Engine: "e1", Zone: "b", Slots: 2, Slowdown: 1}}
	s.SetRanks(now, ranks)
	offer := func(id string) rankscheduler.Decision {
		return s.Offer(now, rankscheduler.Request{ID: id, Zone: "a", Exclude: []string{"e1"}, StartBy: now, WaitUntil: now, Movable: true})
	}
	is.Equal(offer("a").Engine, "e0")
	s.SetEvacuated(now, []string{"a"})
	s.SetRanks(now, ranks)
	is.Equal(offer("b").Engine, "e1")                    // although the request excludes it
	is.Equal(len(s.MoveOffSlowRanks(now)), 0)            // what runs there ends there
	is.Equal(offer("c").Engine, "e1")                    // the one that runs in the zone takes no slot of another rank
	is.True(offer("d").Engine == "" && s.Waiting() == 0) // refused, not queued
	s.SetEvacuated(now, []string{"a", "b"})
	s.SetRanks(now, ranks)
	is.True(s.Load() > 1) // so that entries ask other groups first
	s.Release(now, "c")
	d := offer("e")
	is.True(d.Engine == "" && !d.Queued)
	now = now.Add(5 * time.Second) // no request names the zones any more
	s.SetRanks(now, ranks)
	is.True(offer("f").Engine != "")
}
