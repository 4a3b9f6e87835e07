// Package admission decides for a target which requests run, wait or are refused in
// front of its engine or service. Slots are shared between organisations by weight,
// interactive requests run before batch requests, and a request that cannot start
// before its deadline is refused immediately.
package admission

import (
	"time"

	"camphormill.dev/parts/contract"
)

// Request holds the properties of a request that admission depends on.
type Request struct {
	ID           string
	Organisation string
	Weight       float64 // share of the slots relative to other organisations; 1 if not positive
	Class        contract.Class
	Deadline     time.Time // time before which the request must get a slot
}

type waitingRequest struct {
	request Request
	// start is the virtual start time of weighted fair queueing. A request lasts 1/weight
	// units of virtual time.
	start float64
}

// Queue admits requests up to a number of slots and queues the rest. It reads no
// clock: callers pass the current time. It is not safe for concurrent use.
type Queue struct {
	capacity      int                                 // slots
	running       int                                 // slots in use
	waiting       map[contract.Class][]waitingRequest // by virtual start time
	virtualFinish map[string]float64                  // last virtual finish time by organisation
	virtualTime   float64
	serviceTime   time.Duration // smoothed time that a request holds its slot
}

// initialServiceTime is the service time assumed before the first measurement.
const initialServiceTime = 50 * time.Millisecond

// serviceTimeWeight is the weight of the newest service time in the moving average.
const serviceTimeWeight = 0.1

// NewQueue returns an empty queue with capacity slots.
func NewQueue(capacity int) *Queue {
	return &Queue{
		capacity:      capacity,
		waiting:       map[contract.Class][]waitingRequest{},
		virtualFinish: map[string]float64{},
		serviceTime:   initialServiceTime,
	}
}

// SetCapacity changes the number of slots. Requests that already run keep their
// slots. Waiting requests get new slots only by calls of Next.
func (q *Queue) SetCapacity(capacity int) {
	q.capacity = capacity
}

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int {
	return q.running
}

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int {
	return len(q.waiting[contract.ClassInteractive]) + len(q.waiting[contract.ClassBatch])
}

// HasFreeSlot reports whether a new request would run immediately.
func (q *Queue) HasFreeSlot() bool {
	return q.running < q.capacity && q.Queued() == 0
}

// ServiceTime returns the smoothed time that a request holds its slot.
func (q *Queue) ServiceTime() time.Duration {
	return q.serviceTime
}

// Decision says what happens to a new request.
type Decision string

// The decisions of Offer.
const (
	DecisionRun    Decision = "run"    // the request has a slot
	DecisionWait   Decision = "wait"   // the request is queued
	DecisionRefuse Decision = "refuse" // no slot is expected before its deadline
)

// Offer admits, queues or refuses a request. For a refused request it also returns
// the time at which a slot is expected to be free.
func (q *Queue) Offer(now time.Time, r Request) (Decision, time.Time) {
	if q.HasFreeSlot() {
		q.running++
		return DecisionRun, time.Time{}
	}
	free := now.Add(q.predictedWait(r.Class))
	if !free.Before(r.Deadline) {
		return DecisionRefuse, free
	}
	q.enqueue(r)
	return DecisionWait, time.Time{}
}

// predictedWait estimates how long a new request of the class would wait for a slot.
func (q *Queue) predictedWait(class contract.Class) time.Duration {
	ahead := len(q.waiting[contract.ClassInteractive])
	if class == contract.ClassBatch {
		ahead = q.Queued()
	}
	return time.Duration(ahead+1) * q.serviceTime / time.Duration(max(q.capacity, 1))
}

// enqueue inserts the request by its virtual start time, so that organisations get
// slots in proportion to their weights.
func (q *Queue) enqueue(r Request) {
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	start := max(q.virtualTime, q.virtualFinish[r.Organisation])
	q.virtualFinish[r.Organisation] = start + 1/weight
	queue := q.waiting[r.Class]
	at := len(queue)
	for at > 0 && queue[at-1].start > start {
		at--
	}
	queue = append(queue, waitingRequest{})
	copy(queue[at+1:], queue[at:])
	queue[at] = waitingRequest{request: r, start: start}
	q.waiting[r.Class] = queue
}

// Done releases the slot of a request that held it for the elapsed time. The caller
// then calls Next to assign the slot.
func (q *Queue) Done(elapsed time.Duration) {
	q.running--
	q.serviceTime += time.Duration(serviceTimeWeight * float64(elapsed-q.serviceTime))
}

// Next assigns a free slot to the next waiting request and returns that request, or
// nil if no slot is free or no request waits. It also removes and returns the requests
// that it met whose deadline had passed.
func (q *Queue) Next(now time.Time) (run *Request, expired []Request) {
	for _, class := range []contract.Class{contract.ClassInteractive, contract.ClassBatch} {
		for len(q.waiting[class]) > 0 && q.running < q.capacity {
			first := q.waiting[class][0]
			q.waiting[class] = q.waiting[class][1:]
			q.virtualTime = max(q.virtualTime, first.start)
			if !now.Before(first.request.Deadline) {
				expired = append(expired, first.request)
				continue
			}
			q.running++
			return &first.request, expired
		}
	}
	q.resetVirtualTime()
	return nil, expired
}

// Expired removes and returns the waiting requests whose deadline has passed.
func (q *Queue) Expired(now time.Time) []Request {
	var expired []Request
	for class, queue := range q.waiting {
		remaining := queue[:0]
		for _, w := range queue {
			if now.Before(w.request.Deadline) {
				remaining = append(remaining, w)
			} else {
				expired = append(expired, w.request)
			}
		}
		q.waiting[class] = remaining
	}
	return expired
}

// Remove deletes a waiting request and reports whether it was in the queue.
func (q *Queue) Remove(id string) bool {
	for class, queue := range q.waiting {
		for i, w := range queue {
			if w.request.ID == id {
				q.waiting[class] = append(queue[:i:i], queue[i+1:]...)
				return true
			}
		}
	}
	return false
}

// Flush removes and returns all waiting requests, for a target that drains.
func (q *Queue) Flush() []Request {
	var all []Request
	for class, queue := range q.waiting {
		for _, w := range queue {
			all = append(all, w.request)
		}
		q.waiting[class] = nil
	}
	return all
}

// resetVirtualTime clears the virtual times when no request waits.
func (q *Queue) resetVirtualTime() {
	if q.Queued() == 0 && len(q.virtualFinish) > 0 {
		q.virtualFinish = map[string]float64{}
		q.virtualTime = 0
	}
}
