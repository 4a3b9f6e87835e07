package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/admission"
	"camphormill.dev/parts/contract"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func request(organisation string, n int, weight float64, class contract.Class) admission.Request {
	return admission.Request{
		ID: fmt.Sprintf("%s-%d", organisation, n), Organisation: organisation, Weight: weight, Class: class,
		Deadline: start.Add(time.Hour),
	}
}

// TestSlotsAreSharedByWeight queues 60 requests of one organisation before another
// organisation with twice the weight sends its own.
func TestSlotsAreSharedByWeight(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue(1)
	q.Offer(start, request("first", 0, 1, contract.ClassInteractive))
	for n := range 60 {
		q.Offer(start, request("flood", n, 1, contract.ClassInteractive))
	}
	for n := range 60 {
		q.Offer(start, request("heavy", n, 2, contract.ClassInteractive))
	}
	got := map[string]int{}
	for range 30 {
		q.Done(time.Millisecond)
		next, _ := q.Next(start)
		got[next.Organisation]++
	}
	is.True(got["heavy"] >= 19 && got["heavy"] <= 21) // two thirds of the slots
}

func TestInteractiveRunsBeforeBatch(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue(1)
	q.Offer(start, request("a", 0, 1, contract.ClassInteractive))
	q.Offer(start, request("a", 1, 1, contract.ClassBatch))
	q.Offer(start, request("b", 2, 1, contract.ClassInteractive))
	q.Done(time.Millisecond)
	next, _ := q.Next(start)
	is.Equal(next.Class, contract.ClassInteractive)
}

// TestUnmeetableDeadlineIsRefusedAtOnce checks that a request that cannot start in
// time is refused on arrival, not at its deadline.
func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue(1)
	for n := range 10 {
		q.Offer(start, request("a", n, 1, contract.ClassInteractive))
	}
	urgent := request("b", 0, 1, contract.ClassInteractive)
	urgent.Deadline = start.Add(100 * time.Millisecond)
	decision, retryAt := q.Offer(start, urgent)
	is.Equal(decision, admission.DecisionRefuse)
	is.True(retryAt.After(urgent.Deadline)) // the predicted start is after the deadline
}

func TestExpiredAndRemovedRequestsDoNotRun(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue(1)
	for n := range 3 {
		q.Offer(start, request("a", n, 1, contract.ClassInteractive))
	}
	is.True(q.Remove("a-1"))
	is.Equal(q.Remove("a-1"), false)
	q.Done(time.Millisecond)
	next, expired := q.Next(start.Add(2 * time.Hour))
	is.True(next == nil)
	is.Equal(len(expired), 1)
	is.Equal(q.Running(), 0)
}

func ExampleQueue() {
	q := admission.NewQueue(1)
	decision, _ := q.Offer(start, request("a", 0, 1, contract.ClassInteractive))
	fmt.Println(decision)
	decision, _ = q.Offer(start, request("b", 1, 1, contract.ClassInteractive))
	fmt.Println(decision)
	q.Done(20 * time.Millisecond)
	next, _ := q.Next(start)
	fmt.Println(next.ID)
	// Output:
	// run
	// wait
	// b-1
}
