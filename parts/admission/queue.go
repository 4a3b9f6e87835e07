// Package admission decides for a target, or for a group of targets, which requests run, wait or are
// refused. When there is too little room, requests of a more urgent priority go first, and among
// equals the slots are shared between organisations by weight. Requests of the batch class wait for
// all others. A request that cannot start before its deadline is refused immediately, and so are
// waiting ones that a more urgent arrival displaces.
package admission

import (
	"maps"
	"slices"
	"time"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/routes"
)

// Request holds the properties of a request that admission depends on.
type Request struct {
	ID           string
	Organisation string
	Weight       float64 // share of the slots relative to other organisations; 1 if not positive
	Class        contract.Class
	Priority     routes.Priority
	Work         float64   // expected work relative to that of a usual request; 1 if not positive
	Deadline     time.Time // time before which the request must get a slot
}

// level is the place of a request in the order of admission. Lower levels go first.
type level struct {
	batch    bool
	priority routes.Priority
}

func levelOf(r Request) level {
	return level{batch: r.Class == contract.ClassBatch, priority: r.Priority}
}

// compare returns a negative number if requests of the level go before those of the other.
func (l level) compare(other level) int {
	if l.batch != other.batch {
		if l.batch {
			return 1
		}
		return -1
	}
	return l.priority.Compare(other.priority)
}

type waitingRequest struct {
	request Request
	level   level
	// start is the virtual start time of weighted fair queueing. A request lasts work/weight
	// units of virtual time.
	start float64
}

// Queue admits requests up to a number of slots and queues the rest. It reads no
// clock: callers pass the current time. It is not safe for concurrent use.
type Queue struct {
	capacity      int                // slots
	running       int                // slots in use
	waiting       []waitingRequest   // in the order of admission
	virtualFinish map[string]float64 // last virtual finish time by organisation
	virtualTime   float64
	serviceTime   time.Duration // smoothed time that a request holds its slot
	minimumShare  float64       // share of the starts for levels that are passed over
	sinceShare    int           // starts since the last one by the minimum share
	slowdown      float64       // by which slots become free later than usual; 1 if they don't
	// passedOver counts the starts of more urgent requests since the last one of a level that waits.
	passedOver map[level]int
}

// initialServiceTime is the service time assumed before the first measurement.
const initialServiceTime = 50 * time.Millisecond

// serviceTimeWeight is the weight of the newest service time in the moving average.
const serviceTimeWeight = 0.1

// NewQueue returns an empty queue with capacity slots.
func NewQueue(capacity int) *Queue {
	return &Queue{capacity: capacity, virtualFinish: map[string]float64{}, serviceTime: initialServiceTime, slowdown: 1, passedOver: map[level]int{}}
}

// SetMinimumShare sets the share of the starts that goes to the priority that was passed over most, so
// that more urgent ones do not starve it. 0 is none. The batch class gets none.
func (q *Queue) SetMinimumShare(share float64) { q.minimumShare = share }

// SetSlowdown sets the factor by which requests take longer now than those that have ended lately, so that waits are
// predicted in time when slots begin to become free more slowly.
func (q *Queue) SetSlowdown(factor float64) { q.slowdown = factor }

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
func (q *Queue) Queued() int { return len(q.waiting) }

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
	free := now.Add(q.PredictedWait(r))
	if !free.Before(r.Deadline) {
		return DecisionRefuse, free
	}
	q.enqueue(r)
	return DecisionWait, time.Time{}
}

// PredictedWait estimates how long a new request would wait for a slot.
func (q *Queue) PredictedWait(r Request) time.Duration {
	l := levelOf(r)
	ahead := 0
	for ahead < len(q.waiting) && q.waiting[ahead].level.compare(l) <= 0 {
		ahead++
	}
	return q.waitBehind(ahead)
}

// waitBehind estimates the wait of a request behind a number of waiting ones. Slots in use beyond the capacity
// must become free first.
func (q *Queue) waitBehind(ahead int) time.Duration {
	awaited := max(q.running-q.capacity, 0) + ahead + 1
	interval := q.slowdown * float64(q.serviceTime) / float64(max(q.running, q.capacity, 1))
	return time.Duration(float64(awaited) * interval)
}

// enqueue inserts the request by its level and its virtual start time, so that
// organisations get slots in proportion to their weights.
func (q *Queue) enqueue(r Request) {
	weight, work := r.Weight, r.Work
	if weight <= 0 {
		weight = 1
	}
	if work <= 0 {
		work = 1
	}
	start := max(q.virtualTime, q.virtualFinish[r.Organisation])
	q.virtualFinish[r.Organisation] = start + work/weight
	w := waitingRequest{request: r, level: levelOf(r), start: start}
	at := len(q.waiting)
	for at > 0 && w.before(q.waiting[at-1]) {
		at--
	}
	q.waiting = slices.Insert(q.waiting, at, w)
}

// before reports whether the request goes before another one that came earlier.
func (w waitingRequest) before(other waitingRequest) bool {
	if c := w.level.compare(other.level); c != 0 {
		return c < 0
	}
	return w.start < other.start
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
	for len(q.waiting) > 0 && q.running < q.capacity {
		at := q.nextIndex()
		next := q.waiting[at]
		q.waiting = slices.Delete(q.waiting, at, at+1)
		q.virtualTime = max(q.virtualTime, next.start)
		if !now.Before(next.request.Deadline) {
			expired = append(expired, next.request)
			continue
		}
		q.running++
		q.countStart(next.level)
		return &next.request, expired
	}
	q.resetVirtualTime()
	return nil, expired
}

// nextIndex returns the index of the waiting request that goes next: the first one, unless another level is
// due by the minimum share.
func (q *Queue) nextIndex() int {
	if q.minimumShare <= 0 {
		return 0
	}
	if float64(q.sinceShare+1)*q.minimumShare < 1 {
		return 0
	}
	due := q.waiting[0].level
	for l, n := range q.passedOver {
		if n > q.passedOver[due] || (n == q.passedOver[due] && l.compare(due) < 0) {
			due = l
		}
	}
	return max(slices.IndexFunc(q.waiting, func(w waitingRequest) bool { return w.level == due }), 0)
}

// countStart counts the start of a request of a level for the levels behind it that wait.
func (q *Queue) countStart(started level) {
	waits := map[level]bool{}
	for _, w := range q.waiting {
		waits[w.level] = true
	}
	maps.DeleteFunc(q.passedOver, func(l level, _ int) bool { return l == started || !waits[l] })
	q.sinceShare++
	for l := range waits {
		switch c := l.compare(started); {
		case c > 0 && !l.batch:
			q.passedOver[l]++
		case c < 0:
			q.sinceShare = 0 // a less urgent request has started by the minimum share
		}
	}
}

// Displaced removes and returns the waiting requests that cannot start before their deadlines any more, because
// more urgent ones have come. The first of each level stays, as the minimum share may serve it.
func (q *Queue) Displaced(now time.Time) []Request {
	var displaced []Request
	var previous level
	seen, ahead := 0, 0
	q.waiting = slices.DeleteFunc(q.waiting, func(w waitingRequest) bool {
		isFirst := seen == 0 || previous != w.level
		seen++
		previous = w.level
		if !isFirst && !now.Add(q.waitBehind(ahead)).Before(w.request.Deadline) {
			displaced = append(displaced, w.request)
			return true
		}
		ahead++
		return false
	})
	return displaced
}

// Expired removes and returns the waiting requests whose deadline has passed.
func (q *Queue) Expired(now time.Time) []Request {
	return q.remove(func(r Request) bool { return !now.Before(r.Deadline) })
}

// Remove deletes a waiting request and reports whether it was in the queue.
func (q *Queue) Remove(id string) bool {
	return len(q.remove(func(r Request) bool { return r.ID == id })) > 0
}

// Flush removes and returns all waiting requests, for a target that drains.
func (q *Queue) Flush() []Request {
	return q.remove(func(Request) bool { return true })
}

// remove removes and returns the waiting requests that match.
func (q *Queue) remove(matches func(r Request) bool) []Request {
	var removed []Request
	q.waiting = slices.DeleteFunc(q.waiting, func(w waitingRequest) bool {
		if !matches(w.request) {
			return false
		}
		removed = append(removed, w.request)
		return true
	})
	return removed
}

// resetVirtualTime clears the virtual times when no request waits.
func (q *Queue) resetVirtualTime() {
	if q.Queued() == 0 && len(q.virtualFinish) > 0 {
		q.virtualFinish = map[string]float64{}
		q.virtualTime = 0
	}
}
