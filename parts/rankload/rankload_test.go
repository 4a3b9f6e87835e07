package rankload_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/rankload"
)

const (
	slots    = 12
	hold     = 1800 * time.Millisecond // that a stream keeps its place at full batches
	start    = 200 * time.Millisecond
	latest   = 700 * time.Millisecond
	tick     = 10 * time.Millisecond
	capacity = 12 * slots
)

func placer() *rankload.Placer {
	p := rankload.New()
	var ranks []rankload.Rank
	for i := range 12 {
		ranks = append(ranks, rankload.Rank{Engine: fmt.Sprint("e", i), Slots: slots, Pace: 1})
	}
	p.SetRanks(ranks)
	return p
}

// caller is one request as its caller lives it: refused, it comes back once.
type caller struct {
	id     int
	first  time.Time
	came   bool
	placed time.Time
}

// TestBurstServesFreshRequestsInTime plays twice the capacity for ten seconds.
// Callers come back once when they are told to. Those that meet their goal must be
// about the capacity: requests that are late already must not take the places of
// those that are not.
func TestBurstServesFreshRequestsInTime(t *testing.T) {
	is := is.New(t)
	p := placer()
	now := time.Unix(0, 0)
	callers := map[string]*caller{}
	back := map[time.Time][]*caller{}
	ends := map[time.Time][]string{}
	inTime, late, asked := 0, 0, 0
	take := func(v rankload.Verdict) {
		c := callers[v.ID]
		switch {
		case v.Engine != "":
			c.placed = now
			if now.Sub(c.first) <= start {
				inTime++
			} else {
				late++
			}
			end := now.Add(hold).Truncate(tick)
			ends[end] = append(ends[end], v.ID)
		case !v.Wait && !c.came:
			c.came = true
			at := v.Return.Truncate(tick).Add(tick)
			back[at] = append(back[at], c)
		}
	}
	offer := func(c *caller, id string) {
		callers[id] = c
		take(p.Offer(now, rankload.Request{ID: id, Fingerprint: uint64(c.id), Prompt: 800, StartBy: now.Add(start), Latest: now.Add(latest)}))
	}
	rate := 2 * float64(capacity) / hold.Seconds()
	due := 0.0
	for range int(10 * time.Second / tick) {
		now = now.Add(tick)
		for _, id := range ends[now] {
			for _, v := range p.Release(now, id) {
				take(v)
			}
		}
		for _, v := range p.Next(now) {
			take(v)
		}
		for _, c := range back[now] {
			offer(c, fmt.Sprint(c.id, " again"))
		}
		for due += rate * tick.Seconds(); due >= 1; due-- {
			asked++
			offer(&caller{id: asked, first: now}, fmt.Sprint(asked))
		}
	}
	could := float64(capacity) / hold.Seconds() * 10
	t.Logf("%d asked, %d in time, %d late, capacity %.0f", asked, inTime, late, could)
	is.True(float64(inTime) > 0.85*could) // about the capacity, throughout the burst
	is.True(p.Running() <= capacity)
}

// TestPlacesSpareASlowRank gives work to all ranks but one that runs slowly, since
// all of them wait for it.
func TestPlacesSpareASlowRank(t *testing.T) {
	is := is.New(t)
	p := rankload.New()
	var ranks []rankload.Rank
	for i := range 4 {
		ranks = append(ranks, rankload.Rank{Engine: fmt.Sprint("e", i), Slots: slots, Pace: 1})
	}
	ranks[2].Pace = 5
	p.SetRanks(ranks)
	given := map[string]int{}
	now := time.Unix(0, 0)
	for i := range 24 {
		now = now.Add(time.Second)
		v := p.Offer(now, rankload.Request{ID: fmt.Sprint(i), Fingerprint: uint64(i), Prompt: 500, StartBy: now.Add(start), Latest: now.Add(latest)})
		given[v.Engine]++
		if i > 8 {
			p.Release(now, fmt.Sprint(i-8))
		}
	}
	is.Equal(given["e2"], 0)
	is.True(given["e0"] > 4 && given["e1"] > 4 && given["e3"] > 4)
}

// TestSlowRankIsVacated plays a rank that becomes twelve times slower while all ranks
// have work: every request of it that may go on elsewhere is moved, without taking
// more places than the others have, and nothing comes back to it.
func TestSlowRankIsVacated(t *testing.T) {
	is := is.New(t)
	p := rankload.New()
	var ranks []rankload.Rank
	for i := range 4 {
		ranks = append(ranks, rankload.Rank{Engine: fmt.Sprint("e", i), Slots: slots, Pace: 1})
	}
	p.SetRanks(ranks)
	now := time.Unix(0, 0)
	at := map[string]string{}
	for i := range 24 {
		id := fmt.Sprint(i)
		v := p.Offer(now, rankload.Request{ID: id, Fingerprint: uint64(i), StartBy: now.Add(start), Latest: now.Add(latest), Movable: i >= 4})
		at[id] = v.Engine
		now = now.Add(time.Second / 4)
	}
	is.Equal(len(p.Vacate(now)), 0) // no rank is slow
	ranks[1].Pace = 12
	told := map[string]int{}
	for range 5 {
		p.SetRanks(ranks)
		for _, v := range p.Vacate(now) {
			is.True(v.Moved)
			is.Equal(at[v.ID], "e1")
			is.True(v.Engine != "e1")
			told[v.ID]++
		}
	}
	stay := 0
	for id, engine := range at {
		if engine != "e1" {
			continue
		}
		if told[id] == 0 {
			stay++
			continue
		}
		is.Equal(told[id], 3) // datagrams get lost
	}
	is.True(stay <= 4) // those that must not run twice
	is.True(len(told) >= 4)
	for i := 24; i < 44; i++ {
		v := p.Offer(now, rankload.Request{ID: fmt.Sprint(i), Fingerprint: uint64(i), StartBy: now.Add(start), Latest: now.Add(latest)})
		is.True(v.Engine != "e1")
	}
}

// TestRanksRunRequestsWhileThatHelpsTheGroup checks from which pace on a rank is
// vacated: it depends on how many places go with it.
func TestRanksRunRequestsWhileThatHelpsTheGroup(t *testing.T) {
	is := is.New(t)
	vacated := func(paces ...float64) int {
		p := rankload.New()
		var ranks []rankload.Rank
		for i, pace := range paces {
			ranks = append(ranks, rankload.Rank{Engine: fmt.Sprint("e", i), Slots: slots, Pace: pace})
		}
		p.SetRanks(ranks)
		return len(p.Slow())
	}
	many := func(n int, pace float64, rest ...float64) []float64 {
		return append(slices.Repeat([]float64{pace}, n), rest...)
	}
	is.Equal(vacated(many(12, 1)...), 0)
	is.Equal(vacated(many(11, 1, 1.1)...), 0)            // its places are worth more than the 0.1
	is.Equal(vacated(many(11, 1, 1.6)...), 1)            // 11 in 1.7 against 12 in 2.3
	is.Equal(vacated(many(11, 1, 12)...), 1)             //
	is.Equal(vacated(many(8, 1, many(4, 1.2)...)...), 0) // 8 in 1.7 against 12 in 1.9
	is.Equal(vacated(many(12, 3)...), 0)                 // all alike
	is.Equal(vacated(many(10, 0, 0, 0)...), 0)           // nothing known yet
}

// TestRequestsStayInTheirZone plays a calm load from entries in three zones, and then a
// zone that asks for more than its ranks have: most requests stay in their zone, no
// rank gets more than it has places, and the others take what is too much.
func TestRequestsStayInTheirZone(t *testing.T) {
	is := is.New(t)
	p := rankload.New()
	var ranks []rankload.Rank
	zoneOf := map[string]string{}
	for i := range 12 {
		r := rankload.Rank{Engine: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%3), Slots: slots, Pace: 1}
		ranks = append(ranks, r)
		zoneOf[r.Engine] = r.Zone
	}
	p.SetRanks(ranks)
	now := time.Unix(0, 0)
	running := map[string]int{}
	same, all := 0, 0
	offer := func(zone string) {
		all++
		v := p.Offer(now, rankload.Request{ID: fmt.Sprint(all), Zone: zone, Prompt: 800, Fingerprint: uint64(all), StartBy: now.Add(start), Latest: now.Add(latest)})
		is.True(v.Engine != "")
		running[v.Engine]++
		is.True(running[v.Engine] <= slots)
		if zoneOf[v.Engine] == zone {
			same++
		}
	}
	for i := range 72 { // half of the places
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

// TestAskedAgainGetsTheSameWord plays a lost verdict.
func TestAskedAgainGetsTheSameWord(t *testing.T) {
	is := is.New(t)
	p := placer()
	now := time.Unix(0, 0)
	r := rankload.Request{ID: "a", Fingerprint: 1, StartBy: now.Add(start), Latest: now.Add(latest)}
	first := p.Offer(now, r)
	is.Equal(p.Offer(now.Add(30*time.Millisecond), r), first)
	is.Equal(p.Running(), 1)
	p.Release(now, "a")
	is.Equal(p.Running(), 0)
}
