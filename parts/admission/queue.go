// Package admission is the queue before an engine or service: fair between
// organisations by weight, interactive before batch, and quick to refuse what
// cannot start in time.
package admission

import (
	"time"

	"camphormill.dev/parts/contract"
)

// Request is what the queue needs to know of a request.
type Request struct {
	ID           string
	Organisation string
	Weight       float64
	Class        contract.Class
	Deadline     time.Time
}

type waiting struct {
	request Request
	start   float64 // virtual start time
}

// Queue admits requests up to a capacity. Time passes only through its
// arguments. It is not safe for concurrent use.
type Queue struct {
	capacity int
	running  int
	waiting  map[contract.Class][]waiting
	finish   map[string]float64 // last virtual finish time of an organisation
	virtual  float64
	service  time.Duration // smoothed time a request holds its place
}

// firstServiceGuess stands for the service time before any was seen.
const firstServiceGuess = 50 * time.Millisecond

// serviceMemory is the weight of the newest service time in the smoothed one.
const serviceMemory = 0.1

// NewQueue returns an empty queue.
func NewQueue(capacity int) *Queue {
	return &Queue{
		capacity: capacity,
		waiting:  map[contract.Class][]waiting{},
		finish:   map[string]float64{},
		service:  firstServiceGuess,
	}
}

// SetCapacity changes how many requests may hold a place. Those that hold one
// keep it.
func (q *Queue) SetCapacity(capacity int) {
	q.capacity = capacity
}

// Running is how many requests hold a place.
func (q *Queue) Running() int {
	return q.running
}

// Queued is how many requests wait.
func (q *Queue) Queued() int {
	return len(q.waiting[contract.ClassInteractive]) + len(q.waiting[contract.ClassBatch])
}

// Free says whether a request would run at once.
func (q *Queue) Free() bool {
	return q.running < q.capacity && q.Queued() == 0
}

// Service is the smoothed time that a request holds its place.
func (q *Queue) Service() time.Duration {
	return q.service
}

// Verdict is the queue's word on a new request.
type Verdict string

// The verdicts.
const (
	VerdictRun    Verdict = "run"
	VerdictWait   Verdict = "wait"
	VerdictRefuse Verdict = "refuse"
)

// Offer takes a request. A refused request is told when a place should be free.
func (q *Queue) Offer(now time.Time, r Request) (Verdict, time.Time) {
	if q.Free() {
		q.running++
		return VerdictRun, time.Time{}
	}
	free := now.Add(q.predictedWait(r.Class))
	if !free.Before(r.Deadline) {
		return VerdictRefuse, free
	}
	q.enqueue(r)
	return VerdictWait, time.Time{}
}

// predictedWait is how long a request of the class would wait for a place.
func (q *Queue) predictedWait(class contract.Class) time.Duration {
	ahead := len(q.waiting[contract.ClassInteractive])
	if class == contract.ClassBatch {
		ahead = q.Queued()
	}
	return time.Duration(ahead+1) * q.service / time.Duration(max(q.capacity, 1))
}

// enqueue places the request by its virtual start time, so that organisations
// get places in proportion to their weights.
func (q *Queue) enqueue(r Request) {
	weight := r.Weight
	if weight <= 0 {
		weight = 1
	}
	start := max(q.virtual, q.finish[r.Organisation])
	q.finish[r.Organisation] = start + 1/weight
	line := q.waiting[r.Class]
	at := len(line)
	for at > 0 && line[at-1].start > start {
		at--
	}
	line = append(line, waiting{})
	copy(line[at+1:], line[at:])
	line[at] = waiting{request: r, start: start}
	q.waiting[r.Class] = line
}

// Done frees the place of a request that held it for the time taken.
func (q *Queue) Done(taken time.Duration) {
	q.running--
	q.service += time.Duration(serviceMemory * float64(taken-q.service))
}

// Next returns a request that gets a free place now, and those whose time is
// over while they waited.
func (q *Queue) Next(now time.Time) (run *Request, late []Request) {
	for _, class := range []contract.Class{contract.ClassInteractive, contract.ClassBatch} {
		for len(q.waiting[class]) > 0 && q.running < q.capacity {
			first := q.waiting[class][0]
			q.waiting[class] = q.waiting[class][1:]
			q.virtual = max(q.virtual, first.start)
			if !now.Before(first.request.Deadline) {
				late = append(late, first.request)
				continue
			}
			q.running++
			return &first.request, late
		}
	}
	q.rest()
	return nil, late
}

// Expired removes and returns the waiting requests whose time is over.
func (q *Queue) Expired(now time.Time) []Request {
	var late []Request
	for class, line := range q.waiting {
		kept := line[:0]
		for _, w := range line {
			if now.Before(w.request.Deadline) {
				kept = append(kept, w)
			} else {
				late = append(late, w.request)
			}
		}
		q.waiting[class] = kept
	}
	return late
}

// Remove takes a waiting request out of the queue, and says whether it was there.
func (q *Queue) Remove(id string) bool {
	for class, line := range q.waiting {
		for i, w := range line {
			if w.request.ID == id {
				q.waiting[class] = append(line[:i:i], line[i+1:]...)
				return true
			}
		}
	}
	return false
}

// Flush removes and returns all waiting requests, for a target that leaves.
func (q *Queue) Flush() []Request {
	var all []Request
	for class, line := range q.waiting {
		for _, w := range line {
			all = append(all, w.request)
		}
		q.waiting[class] = nil
	}
	return all
}

// rest forgets virtual times once nobody waits.
func (q *Queue) rest() {
	if q.Queued() == 0 && len(q.finish) > 0 {
		q.finish = map[string]float64{}
		q.virtual = 0
	}
}
