package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"camphormill.dev/parts/admission"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/routes"
)

func urgent(id string, route int, deadline time.Duration) admission.Request {
	return admission.Request{ID: id, Class: contract.ClassInteractive, Priority: routes.Priority{Route: route}, Deadline: start.Add(deadline)}
}

// TestUrgentRequestDisplacesLessUrgentOne guards against urgent requests that wait behind less urgent ones, and against
// less urgent ones that wait for a slot that they can no longer get in time.
func TestUrgentRequestDisplacesLessUrgentOne(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue(1)
	for range 100 { // each request takes 100 ms
		q.Offer(start, urgent("warm", 0, time.Hour))
		q.Done(100 * time.Millisecond)
	}
	q.Offer(start, urgent("runs", 2, time.Second))
	for i := range 3 {
		d, _ := q.Offer(start, urgent(fmt.Sprint("late-", i), 2, 450*time.Millisecond))
		is.Equal(d, admission.DecisionWait)
	}
	for i := range 2 {
		d, _ := q.Offer(start, urgent(fmt.Sprint("urgent-", i), 0, 250*time.Millisecond))
		is.Equal(d, admission.DecisionWait)
	}
	displaced := q.Displaced(start)
	is.Equal(len(displaced), 1)
	is.Equal(displaced[0].ID, "late-2") // the last of the least urgent
	q.Done(100 * time.Millisecond)
	next, _ := q.Next(start)
	is.Equal(next.ID, "urgent-0")
}

// TestOrganisationGoesBeforeRoute guards against a route's priority that overrules that of the organisation.
func TestOrganisationGoesBeforeRoute(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue(1)
	q.Offer(start, urgent("runs", 0, time.Hour))
	q.Offer(start, admission.Request{ID: "b", Priority: routes.Priority{Organisation: 1}, Deadline: start.Add(time.Hour)})
	q.Offer(start, admission.Request{ID: "a", Priority: routes.Priority{Route: 2}, Deadline: start.Add(time.Hour)})
	q.Done(time.Millisecond)
	next, _ := q.Next(start)
	is.Equal(next.ID, "a")
}

// TestFloodOfLargeRequestsIsShared guards against shares by the number of requests: an organisation with requests of
// ten times the work would get ten times the slot time.
func TestFloodOfLargeRequestsIsShared(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue(1)
	q.Offer(start, urgent("runs", 0, time.Hour))
	for i := range 40 {
		q.Offer(start, admission.Request{ID: fmt.Sprint("l", i), Organisation: "large", Work: 10, Deadline: start.Add(time.Hour)})
		q.Offer(start, admission.Request{ID: fmt.Sprint("s", i), Organisation: "small", Work: 1, Deadline: start.Add(time.Hour)})
	}
	got := map[string]int{}
	for range 33 {
		q.Done(time.Millisecond)
		next, _ := q.Next(start)
		got[next.Organisation]++
	}
	is.True(got["large"] >= 2 && got["large"] <= 4)
}

// TestQueueAnswersEachRequestOnce plays offers, ends and the passing of time in any order. It guards against a request
// without an answer or with two, against a start before that of a more urgent one beyond the minimum share, and
// against a priority that starves.
func TestQueueAnswersEachRequestOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const share = 0.1
		q := admission.NewQueue(rapid.IntRange(1, 4).Draw(rt, "capacity"))
		q.SetMinimumShare(share)
		now := start
		answers, waiting := map[string]int{}, map[string]admission.Request{}
		offered, outOfOrder, starts := 0, 0, 0
		refuse := func(all []admission.Request) {
			for _, r := range all {
				answers[r.ID]++
				delete(waiting, r.ID)
			}
		}
		dispatch := func() {
			for {
				next, expired := q.Next(now)
				refuse(expired)
				if next == nil {
					return
				}
				answers[next.ID]++
				delete(waiting, next.ID)
				starts++
				for _, w := range waiting {
					if w.Priority.Compare(next.Priority) < 0 {
						outOfOrder++
						break
					}
				}
			}
		}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				offered++
				r := urgent(fmt.Sprint(offered), rapid.IntRange(0, 2).Draw(rt, "route"), 0)
				r.Deadline = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(rt, "deadline")) * time.Millisecond)
				switch d, _ := q.Offer(now, r); d {
				case admission.DecisionWait:
					waiting[r.ID] = r
					refuse(q.Displaced(now))
				default:
					answers[r.ID]++
				}
			case 2:
				if q.Running() > 0 {
					q.Done(time.Duration(rapid.IntRange(1, 300).Draw(rt, "elapsed")) * time.Millisecond)
					dispatch()
				}
			default:
				now = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(rt, "time")) * time.Millisecond)
				refuse(q.Expired(now))
			}
		}
		if q.Queued() != len(waiting) {
			rt.Fatalf("%d requests wait, %d are known to", q.Queued(), len(waiting))
		}
		refuse(q.Flush())
		for i := range offered {
			if n := answers[fmt.Sprint(i+1)]; n != 1 {
				rt.Fatalf("request %d has %d answers", i+1, n)
			}
		}
		if float64(outOfOrder) > share*float64(starts)+1 {
			rt.Fatalf("%d of %d starts were before a more urgent request", outOfOrder, starts)
		}
	})
}

// TestPassedOverPriorityIsServed guards against a priority that waits for good behind more urgent ones.
func TestPassedOverPriorityIsServed(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue(1)
	q.SetMinimumShare(0.1)
	q.Offer(start, urgent("runs", 0, time.Hour))
	for i := range 100 {
		q.Offer(start, urgent(fmt.Sprint("u", i), 0, time.Hour))
		q.Offer(start, urgent(fmt.Sprint("m", i), 1, time.Hour))
		q.Offer(start, urgent(fmt.Sprint("l", i), 2, time.Hour))
	}
	got := map[int]int{}
	for range 100 {
		q.Done(time.Millisecond)
		next, _ := q.Next(start)
		got[next.Priority.Route]++
	}
	is.Equal(got[1]+got[2], 10)
	is.True(got[1] >= 4 && got[2] >= 4)
}

// BenchmarkOfferToFullQueue measures what a request costs a leader while 500 others wait.
func BenchmarkOfferToFullQueue(b *testing.B) {
	q := admission.NewQueue(1)
	q.SetMinimumShare(0.1)
	q.Offer(start, urgent("runs", 0, time.Hour))
	for i := range 500 {
		q.Offer(start, urgent(fmt.Sprint("w", i), i%3, 100*time.Hour))
	}
	b.ReportAllocs()
	for b.Loop() {
		q.Offer(start, urgent("new", 0, 100*time.Hour))
		q.Displaced(start)
		q.Remove("new")
	}
}
