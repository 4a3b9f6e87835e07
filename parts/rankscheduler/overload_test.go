package rankscheduler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/pace"
	"camphormill.dev/parts/rankscheduler"
	"camphormill.dev/parts/routes"
)

// The group of the overload tests, with the costs that a deployment publishes.
const (
	overloadRanks  = 24
	overloadSlots  = 10
	streamEvents   = 19
	pauseGoal      = 150 * time.Millisecond
	shiftInterval  = 3400 * time.Millisecond
	shiftedFor     = time.Second // until the expert map has followed a shift of demand
	shiftedSkew    = 3.0
	usualSkew      = 1.15
	firstEventGoal = 300 * time.Millisecond
)

var overloadEngine = pace.Engine{Idle: 23 * time.Millisecond, PerRequest: 5450 * time.Microsecond, Prompt: 14 * time.Millisecond, ExpertShare: 0.85}

// stream is a stream of the overload tests.
type stream struct {
	priority int
	events   int
	late     bool
}

// result counts the ends of the streams of one priority.
type result struct{ asked, inTime, late, refused int }

func (r result) share() float64 { return float64(r.inTime) / float64(max(r.asked, 1)) }

// playOverload plays 20 s of requests of three priorities at a group whose demand for experts shifts. rate is the number of
// requests a second at a time. Without byPriority the scheduler has its zero
// configuration.
func playOverload(t *testing.T, byPriority bool, rate func(at time.Duration) float64) []result {
	t.Helper()
	is := is.New(t)
	s := rankscheduler.New(rankscheduler.Config{ByPriority: byPriority, MinimumShare: 0.1})
	var ranks []rankscheduler.Rank
	for i := range overloadRanks {
		ranks = append(ranks, rankscheduler.Rank{Engine: fmt.Sprint("e", i), Slots: overloadSlots, Slowdown: 1})
	}
	s.SetEngine(overloadEngine)
	results := make([]result, 3)
	started, waiting := map[string]*stream{}, map[string]*stream{}
	answered := map[string]int{}
	begin := time.Unix(0, 0)
	record := func(d rankscheduler.Decision) {
		st := waiting[d.ID]
		if d.Queued || st == nil {
			return
		}
		delete(waiting, d.ID)
		answered[d.ID]++
		if d.Engine == "" {
			results[st.priority].refused++
			return
		}
		started[d.ID] = st
	}
	const step = 5 * time.Millisecond
	due, n, passEnds := 0.0, 0, time.Duration(0)
	for at := time.Duration(0); at < 20*time.Second; at += step {
		now := begin.Add(at)
		skew := usualSkew
		if at%shiftInterval < shiftedFor {
			skew = shiftedSkew
		}
		if at%(100*time.Millisecond) == 0 {
			s.RecordSkew(now, skew, skew)
			s.SetRanks(now, ranks)
			for _, d := range s.Dispatch(now) {
				record(d)
			}
		}
		if at >= passEnds {
			pass := overloadEngine.Pass(float64(len(started))/overloadRanks, skew)
			passEnds = at + pass
			for id, st := range started {
				st.events++
				st.late = st.late || pass > pauseGoal
				if st.events < streamEvents {
					continue
				}
				delete(started, id)
				if st.late {
					results[st.priority].late++
				} else {
					results[st.priority].inTime++
				}
				for _, d := range s.Release(now, id) {
					record(d)
				}
			}
		}
		for due += rate(at) * step.Seconds(); due >= 1; due-- {
			n++
			id := fmt.Sprint(n)
			st := &stream{priority: n % 3}
			results[st.priority].asked++
			waiting[id] = st
			record(s.Offer(now, rankscheduler.Request{
				ID: id, Fingerprint: uint64(n), Organisation: fmt.Sprint(n % 5), Priority: &routes.Priority{Route: st.priority}, PauseGoal: pauseGoal,
				OutputTokens: 50 + n%100, StartBy: now.Add(firstEventGoal), WaitUntil: now.Add(maxWait),
			}))
			for _, d := range s.TakeDisplaced() {
				record(d)
			}
		}
	}
	for id, count := range answered {
		is.Equal(count, 1) // each request has one answer
		_ = id
	}
	for p, r := range results {
		t.Logf("priority %d: %d asked, %d in time, %d late, %d refused", p, r.asked, r.inTime, r.late, r.refused)
	}
	return results
}

// TestShiftsOfDemandLeaveStreamsInTime guards against a group that runs as many requests as it has slots, so that each
// shift of the demand for experts makes all running streams late. The load is what a group bears between two shifts.
func TestShiftsOfDemandLeaveStreamsInTime(t *testing.T) {
	is := is.New(t)
	rate := func(time.Duration) float64 { return 100 }
	total := func(results []result) (sum result) {
		for _, r := range results {
			sum.asked, sum.inTime, sum.late, sum.refused = sum.asked+r.asked, sum.inTime+r.inTime, sum.late+r.late, sum.refused+r.refused
		}
		return sum
	}
	bounded, unbounded := total(playOverload(t, true, rate)), total(playOverload(t, false, rate))
	is.True(bounded.share() > unbounded.share()+0.2)
	is.True(float64(bounded.late) < 0.02*float64(bounded.asked))
}

// TestBurstCostsTheLeastUrgent guards against a burst of twice the capacity that is paid for by urgent requests.
func TestBurstCostsTheLeastUrgent(t *testing.T) {
	is := is.New(t)
	results := playOverload(t, true, func(at time.Duration) float64 {
		if at > 5*time.Second && at < 15*time.Second {
			return 160
		}
		return 70
	})
	is.True(results[0].share() > 0.9)
	is.True(results[0].share() > results[1].share())
	is.True(results[1].share() > results[2].share())
	is.True(results[2].share() > 0.25) // the rules' bound on a kind that starves
}

// TestRoomThatShrinksCostsTheLeastUrgent guards against urgent requests that are refused when a group loses a third of its
// room for good.
func TestRoomThatShrinksCostsTheLeastUrgent(t *testing.T) {
	is := is.New(t)
	results := playOverload(t, true, func(time.Duration) float64 { return 125 })
	is.True(results[0].share() > 0.9)
	is.True(results[0].share() > results[2].share())
	is.True(results[2].share() > 0.25)
}

// TestRefusedRequestsReturnOneAfterTheOther guards against refused requests that all come back at the same moment, into the
// same overload, and against urgent ones that return behind less urgent ones.
func TestRefusedRequestsReturnOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	s := rankscheduler.New(rankscheduler.Config{ByPriority: true})
	now := time.Unix(0, 0)
	s.SetRanks(now, []rankscheduler.Rank{{Engine: "e0", Slots: 1, Slowdown: 1}})
	offer := func(id string, route int) rankscheduler.Decision {
		return s.Offer(now, rankscheduler.Request{ID: id, Priority: &routes.Priority{Route: route}, StartBy: now, WaitUntil: now})
	}
	is.Equal(offer("runs", 0).Engine, "e0")
	var last time.Time
	for i := range 100 {
		d := offer(fmt.Sprint("r", i), 1)
		is.True(d.Engine == "" && !d.Queued)
		is.True(i == 0 || d.RetryAt.After(last) || d.RetryAt.Equal(now.Add(2500*time.Millisecond))) // callers give up later
		last = d.RetryAt
	}
	is.True(offer("urgent", 0).RetryAt.Before(last))
}

// TestRequestThatOutlastsItsCallerIsRefused guards against a start for a request that can't end before its caller gives up.
func TestRequestThatOutlastsItsCallerIsRefused(t *testing.T) {
	is := is.New(t)
	s := rankscheduler.New(rankscheduler.Config{ByPriority: true})
	now := time.Unix(0, 0)
	s.SetRanks(now, []rankscheduler.Rank{{Engine: "e0", Slots: 10, Slowdown: 1}})
	offer := func(id string, endIn time.Duration) rankscheduler.Decision {
		return s.Offer(now, rankscheduler.Request{ID: id, Priority: &routes.Priority{}, OutputTokens: 100, StartBy: now.Add(time.Second), WaitUntil: now.Add(time.Second), EndBy: now.Add(endIn)})
	}
	for i := range 100 { // each runs for a second
		is.Equal(offer(fmt.Sprint(i), time.Hour).Engine, "e0")
		now = now.Add(time.Second)
		s.Release(now, fmt.Sprint(i))
	}
	is.Equal(offer("short", 300*time.Millisecond).Engine, "")
	is.Equal(offer("enough", 2*time.Second).Engine, "e0")
}
