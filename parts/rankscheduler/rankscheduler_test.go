package rankscheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/rankscheduler"
)

const (
	slots      = 12
	streamTime = 1800 * time.Millisecond // time that a stream keeps its slot at full batches
	startGoal  = 200 * time.Millisecond
	maxWait    = 700 * time.Millisecond
	tick       = 10 * time.Millisecond
	capacity   = 12 * slots
)

func newScheduler() *rankscheduler.Scheduler {
	s := rankscheduler.New(rankscheduler.Config{})
	var ranks []rankscheduler.Rank
	for i := range 12 {
		ranks = append(ranks, rankscheduler.Rank{Engine: fmt.Sprint("e", i), Slots: slots, Slowdown: 1})
	}
	s.SetRanks(time.Unix(0, 0), ranks)
	return s
}

// caller is the caller of one request. It retries once if the request is refused.
type caller struct {
	id         int
	first      time.Time
	retried    bool
	assignedAt time.Time
}

// TestBurstServesFreshRequestsInTime simulates twice the capacity for ten seconds.
// Callers of refused requests retry once at the returned time. The number of requests
// that meet their latency goal must be close to the capacity: late requests must not
// take the slots of requests that can still meet their goal.
func TestBurstServesFreshRequestsInTime(t *testing.T) {
	is := is.New(t)
	s := newScheduler()
	now := time.Unix(0, 0)
	callers := map[string]*caller{}
	retries := map[time.Time][]*caller{}
	ends := map[time.Time][]string{}
	inTime, late, offered := 0, 0, 0
	record := func(d rankscheduler.Decision) {
		c := callers[d.ID]
		switch {
		case d.Engine != "":
			c.assignedAt = now
			if now.Sub(c.first) <= startGoal {
				inTime++
			} else {
				late++
			}
			end := now.Add(streamTime).Truncate(tick)
			ends[end] = append(ends[end], d.ID)
		case !d.Queued && !c.retried:
			c.retried = true
			at := d.RetryAt.Truncate(tick).Add(tick)
			retries[at] = append(retries[at], c)
		}
	}
	offer := func(c *caller, id string) {
		callers[id] = c
		record(s.Offer(now, rankscheduler.Request{ID: id, Fingerprint: uint64(c.id), PromptTokens: 800, StartBy: now.Add(startGoal), WaitUntil: now.Add(maxWait)}))
	}
	rate := 2 * float64(capacity) / streamTime.Seconds()
	due := 0.0
	for range int(10 * time.Second / tick) {
		now = now.Add(tick)
		for _, id := range ends[now] {
			for _, d := range s.Release(now, id) {
				record(d)
			}
		}
		for _, d := range s.Dispatch(now) {
			record(d)
		}
		for _, c := range retries[now] {
			offer(c, fmt.Sprint(c.id, " again"))
		}
		for due += rate * tick.Seconds(); due >= 1; due-- {
			offered++
			offer(&caller{id: offered, first: now}, fmt.Sprint(offered))
		}
	}
	servable := float64(capacity) / streamTime.Seconds() * 10
	t.Logf("%d requests, %d in time, %d late, capacity %.0f", offered, inTime, late, servable)
	is.True(float64(inTime) > 0.85*servable) // close to the capacity over the whole burst
	is.True(s.Running() <= capacity)
}

// TestSlowRankGetsNoRequests checks that requests are assigned to all ranks but a slow
// one, because all ranks would wait for it.
func TestSlowRankGetsNoRequests(t *testing.T) {
	is := is.New(t)
	s := rankscheduler.New(rankscheduler.Config{})
	var ranks []rankscheduler.Rank
	for i := range 4 {
		ranks = append(ranks, rankscheduler.Rank{Engine: fmt.Sprint("e", i), Slots: slots, Slowdown: 1})
	}
	ranks[2].Slowdown = 5
	s.SetRanks(time.Unix(0, 0), ranks)
	assigned := map[string]int{}
	now := time.Unix(0, 0)
	for i := range 24 {
		now = now.Add(time.Second)
		d := s.Offer(now, rankscheduler.Request{ID: fmt.Sprint(i), Fingerprint: uint64(i), PromptTokens: 500, StartBy: now.Add(startGoal), WaitUntil: now.Add(maxWait)})
		assigned[d.Engine]++
		if i > 8 {
			s.Release(now, fmt.Sprint(i-8))
		}
	}
	is.Equal(assigned["e2"], 0)
	is.True(assigned["e0"] > 4 && assigned["e1"] > 4 && assigned["e3"] > 4)
}

// TestRequestsMoveOffSlowRank simulates a rank that becomes twelve times slower while
// all ranks run requests: each of its movable requests is moved to another rank, and
// the slow rank gets no new requests.
func TestRequestsMoveOffSlowRank(t *testing.T) {
	is := is.New(t)
	s := rankscheduler.New(rankscheduler.Config{})
	var ranks []rankscheduler.Rank
	for i := range 4 {
		ranks = append(ranks, rankscheduler.Rank{Engine: fmt.Sprint("e", i), Slots: slots, Slowdown: 1})
	}
	s.SetRanks(time.Unix(0, 0), ranks)
	now := time.Unix(0, 0)
	engineOf := map[string]string{}
	for i := range 24 {
		id := fmt.Sprint(i)
		d := s.Offer(now, rankscheduler.Request{ID: id, Fingerprint: uint64(i), StartBy: now.Add(startGoal), WaitUntil: now.Add(maxWait), Movable: i >= 4})
		engineOf[id] = d.Engine
		now = now.Add(time.Second / 4)
	}
	is.Equal(len(s.MoveOffSlowRanks(now)), 0) // no rank is slow
	ranks[1].Slowdown = 12
	moveSends := map[string]int{}
	for range 5 {
		s.SetRanks(time.Unix(0, 0), ranks)
		for _, d := range s.MoveOffSlowRanks(now) {
			is.True(d.Moved)
			is.Equal(engineOf[d.ID], "e1")
			is.True(d.Engine != "e1")
			moveSends[d.ID]++
		}
	}
	unmoved := 0
	for id, engine := range engineOf {
		if engine != "e1" {
			continue
		}
		if moveSends[id] == 0 {
			unmoved++
			continue
		}
		is.Equal(moveSends[id], 3) // repeated because datagrams can be lost
	}
	is.True(unmoved <= 4) // requests that must not run twice
	is.True(len(moveSends) >= 4)
	for i := 24; i < 44; i++ {
		d := s.Offer(now, rankscheduler.Request{ID: fmt.Sprint(i), Fingerprint: uint64(i), StartBy: now.Add(startGoal), WaitUntil: now.Add(maxWait)})
		is.True(d.Engine != "e1")
	}
}

// TestRankIsSlowIfItLowersThroughput checks at which slowdown a rank counts as too slow.
// This depends on how many slots the group would lose.
func TestRankIsSlowIfItLowersThroughput(t *testing.T) {
	is := is.New(t)
	slowRanks := func(rankSlowdowns ...float64) int {
		s := rankscheduler.New(rankscheduler.Config{})
		var ranks []rankscheduler.Rank
		for i, slowdown := range rankSlowdowns {
			ranks = append(ranks, rankscheduler.Rank{Engine: fmt.Sprint("e", i), Slots: slots, Slowdown: slowdown})
		}
		s.SetRanks(time.Unix(0, 0), ranks)
		return len(s.SlowEngines())
	}
	slowdowns := func(n int, slowdown float64, rest ...float64) []float64 {
		return append(slices.Repeat([]float64{slowdown}, n), rest...)
	}
	is.Equal(slowRanks(slowdowns(12, 1)...), 0)
	is.Equal(slowRanks(slowdowns(11, 1, 1.1)...), 0)                 // 12 ranks in 1.8 beat 11 ranks in 1.7
	is.Equal(slowRanks(slowdowns(11, 1, 1.6)...), 1)                 // 11 ranks in 1.7 beat 12 ranks in 2.3
	is.Equal(slowRanks(slowdowns(11, 1, 12)...), 1)                  // 11 ranks in 1.7 beat 12 ranks in 12.7
	is.Equal(slowRanks(slowdowns(8, 1, slowdowns(4, 1.2)...)...), 0) // 12 ranks in 1.9 beat 8 ranks in 1.7
	is.Equal(slowRanks(slowdowns(12, 3)...), 0)                      // all ranks are equally slow
	is.Equal(slowRanks(slowdowns(10, 0, 0, 0)...), 0)                // no slowdown is known yet
}

// TestRequestsStayInTheirZone simulates a moderate load from entries in three zones,
// then a zone that sends more requests than its ranks have slots. Most requests must
// stay in their zone, no rank may run more requests than it has slots, and ranks of
// other zones must take the rest.
func TestRequestsStayInTheirZone(t *testing.T) {
	is := is.New(t)
	s := rankscheduler.New(rankscheduler.Config{})
	var ranks []rankscheduler.Rank
	zoneOf := map[string]string{}
	for i := range 12 {
		r := rankscheduler.Rank{Engine: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%3), Slots: slots, Slowdown: 1}
		ranks = append(ranks, r)
		zoneOf[r.Engine] = r.Zone
	}
	s.SetRanks(time.Unix(0, 0), ranks)
	now := time.Unix(0, 0)
	running := map[string]int{}
	same, all := 0, 0
	offer := func(zone string) {
		all++
		d := s.Offer(now, rankscheduler.Request{ID: fmt.Sprint(all), Zone: zone, PromptTokens: 800, Fingerprint: uint64(all), StartBy: now.Add(startGoal), WaitUntil: now.Add(maxWait)})
		is.True(d.Engine != "")
		running[d.Engine]++
		is.True(running[d.Engine] <= slots)
		if zoneOf[d.Engine] == zone {
			same++
		}
	}
	for i := range 72 { // half of the slots
		now = now.Add(15 * time.Millisecond)
		offer(fmt.Sprint("z", i%3))
	}
	is.True(same > all*8/10)
	for range 60 {
		now = now.Add(15 * time.Millisecond)
		offer("z0")
	}
	least, most := slots, 0
	for _, r := range ranks {
		least, most = min(least, running[r.Engine]), max(most, running[r.Engine])
	}
	is.True(most <= slots && least >= 8)
}

// TestRepeatedOfferGetsSameDecision simulates a request that is offered again because
// its decision was lost.
func TestRepeatedOfferGetsSameDecision(t *testing.T) {
	is := is.New(t)
	s := newScheduler()
	now := time.Unix(0, 0)
	r := rankscheduler.Request{ID: "a", Fingerprint: 1, StartBy: now.Add(startGoal), WaitUntil: now.Add(maxWait)}
	first := s.Offer(now, r)
	is.Equal(s.Offer(now.Add(30*time.Millisecond), r), first)
	is.Equal(s.Running(), 1)
	s.Release(now, "a")
	is.Equal(s.Running(), 0)
}
