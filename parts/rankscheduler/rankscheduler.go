// Package rankscheduler decides for the leader of a lock-step group which requests are
// admitted and at which rank each of them runs. All ranks wait for the slowest one,
// so a request is assigned a slot at the rank where its part of a pass stays
// shortest. A request that cannot start in time is refused on arrival with a time to
// retry at.
//
// The package handles two kinds of overload. In a burst of twice the capacity for
// several seconds, larger batches would lengthen every pass and delay every stream,
// so requests beyond the slots are queued or refused. If a rank becomes many times
// slower than the others, all ranks wait for it as long as it runs requests, so
// requests that can continue at another rank are moved at once.
package rankscheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"camphormill.dev/parts/admission"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/pace"
	"camphormill.dev/parts/routes"
)

const (
	// fixedPassCost is the time of a pass that does not depend on the batch size,
	// in units of the time of one request in the batch: 5.85 ms / 0.355 ms.
	fixedPassCost = 16
	// sharedPassShare is the ratio of two parts of a pass: the time that all ranks
	// spend on the requests of the whole group (about 20 ms in the experts, whose load
	// the expert map balances), and the time that a rank's own requests take with a
	// slowdown of 1 (29 ms).
	sharedPassShare = 0.7
	// prefillTokensPerRequest is the number of prompt tokens in prefill that load a
	// rank as much as one request in decode.
	prefillTokensPerRequest = 200
	// prefillTime is the time for which a prompt counts as in prefill.
	prefillTime = 150 * time.Millisecond
	// crossZoneCost is the cost of a rank in another availability zone, in units of
	// the time of one request in the batch. Traffic between zones is billed, and its
	// connections are reused less often. With a cost of 3, more streams were late on
	// one day (docs/MEASUREMENTS.md).
	crossZoneCost = 1
	// maxSlotHold is the time after which a slot is freed if its release was lost.
	// No route that users have configured on their platform allows a longer response.
	maxSlotHold = 9 * time.Second
	// maxMoveSends is the number of times a move is sent, once per tick of the
	// leader, because datagrams can be lost.
	maxMoveSends = 3
)

// Rank is the known state of one rank.
type Rank struct {
	Engine   string // address of the engine
	Zone     string
	Slots    int     // maximum number of requests that the rank should run at once
	Active   int     // requests that the engine reported, including waiting ones
	Slowdown float64 // pass time relative to a healthy rank; 0 if not known
}

// Request is a request for a slot.
type Request struct {
	ID           string
	Organisation string
	Zone         string // availability zone of the entry that sends the request
	// Fingerprint is equal for all tries of the same request by its caller.
	Fingerprint  uint64
	PromptTokens int // length in tokens
	OutputTokens int // expected length in tokens; 0 if not known
	// Priority orders requests. It is nil for those of older entries, for which nothing holds that Config.ByPriority
	// says.
	Priority *routes.Priority
	// PauseGoal is the longest pause between two events that the caller accepts; 0 if there is none.
	PauseGoal time.Duration
	// EndBy is the time after which the response is of no use; zero if not known.
	EndBy time.Time
	// StartBy is the time by which the request needs a slot to meet its latency goal,
	// counted from this try. For a retry, the goal counts from the first refusal; see
	// queueRequest. WaitUntil is the time after which a slot is of no use.
	StartBy   time.Time
	WaitUntil time.Time
	Exclude   []string // engines to exclude
	// Movable is set if the request may move to another rank while it runs.
	Movable bool
}

// Decision says what becomes of a request. If Engine is empty and Queued is not set, the
// request is refused.
type Decision struct {
	ID     string
	Engine string // engine that runs the request; empty if it has no slot
	Queued bool   // the request is queued
	// Moved is set if the request moves to Engine from the rank where it ran.
	Moved   bool
	RetryAt time.Time // time at which a refused request should be retried
}

// assignment is a request that has a slot at an engine.
type assignment struct {
	request   Request
	engine    string
	startedAt time.Time
	moveSends int // number of times its move was sent
}

// Scheduler admits requests and assigns them to ranks. It is not safe for concurrent
// use. It reads no clock: the current time is an argument.
type Scheduler struct {
	config      Config
	ranks       map[string]Rank
	loads       rankLoads
	assignments map[string]assignment
	// expireAt is when the first slot of an assignment may have been held for maxSlotHold.
	expireAt time.Time
	waiting  map[string]Request
	queue    *admission.Queue
	// refused holds the time of the first refusal by request fingerprint.
	refused map[uint64]time.Time
	// slots is the maximum number of requests that each engine should run, by address:
	// Rank.Slots, or 0 if the rank is too slow to run any.
	slots map[string]int
	// assignable is the sum of the slots of the ranks that are in no evacuated zone.
	assignable int
	// limits holds the rate limits of engines by address.
	limits map[string]rankLimit
	// evacuated holds the zones whose engines must get no requests, with the time at which each is
	// forgotten.
	evacuated map[string]time.Time
	// outputTokens is a moving average of the expected output lengths of requests.
	outputTokens float64
	engine       pace.Engine
	usualPass    float64 // moving average of the expected duration of a pass, in nanoseconds
	pace         pace.Bound
	margin       pace.Margin
	nextReturn   map[routes.Priority]time.Time // when the next refused request of a priority should come back
	bound        int                           // requests that may run by the pace of the group; 0 for no bound
	displaced    []Decision
}

// defaultPriority is the priority of requests without one, such as those of older entries.
var defaultPriority = routes.Priority{Route: 5}

// Config says what gives way when there is too little room. With the zero Config all requests wait in one line, and
// ranks run as many as they have slots.
type Config struct {
	// ByPriority admits more urgent requests first, bounds the requests that run by the pace of the group, and
	// spreads the return of refused ones. It takes effect for requests with a priority.
	ByPriority bool
	// MinimumShare is the share of the starts that goes to the priority that was passed over most.
	MinimumShare float64
}

// byPriority reports whether the order of admission and what belongs to it holds for a request.
func (s *Scheduler) byPriority(r Request) bool { return s.config.ByPriority && r.Priority != nil }

// New returns a Scheduler without ranks.
func New(c Config) *Scheduler {
	queue := admission.NewQueue(0)
	queue.SetMinimumShare(c.MinimumShare)
	return &Scheduler{
		config: c, queue: queue, ranks: map[string]Rank{}, assignments: map[string]assignment{}, waiting: map[string]Request{},
		refused: map[uint64]time.Time{}, limits: map[string]rankLimit{}, evacuated: map[string]time.Time{}, nextReturn: map[routes.Priority]time.Time{},
	}
}

// SetRanks replaces the ranks that requests can be assigned to.
func (s *Scheduler) SetRanks(now time.Time, ranks []Rank) {
	s.dropExpiredLimits(now)
	s.dropExpiredEvacuations(now)
	s.dropPastReturns(now)
	s.ranks = make(map[string]Rank, len(ranks))
	for _, r := range ranks {
		s.ranks[r.Engine] = r
	}
	s.loads = newRankLoads(now, ranks, s.assignments)
	slowdownLimit := maxSlowdown(ranks)
	s.slots = make(map[string]int, len(ranks))
	s.assignable = 0
	capacity := 0
	for _, r := range ranks {
		s.slots[r.Engine] = s.usableSlots(now, r)
		if r.Slowdown > slowdownLimit {
			s.slots[r.Engine] = 0
		}
		slots := s.slots[r.Engine]
		if s.isEvacuated(now, r.Zone) {
			slots = 0
		}
		s.assignable += slots
		// Requests that a rank ran before it became slow or was evacuated take no slots of other ranks.
		capacity += max(slots, min(s.loads.running(r.Engine), r.Slots))
	}
	s.setBound(now, capacity)
	if s.bound > 0 {
		capacity = min(capacity, s.bound)
	}
	s.queue.SetCapacity(capacity)
}

// maxSlowdown returns the slowdown up to which ranks should run requests to maximise
// the throughput of the group, that is the slots of these ranks divided by the time of a
// pass. The unit of that time is the time that a rank's own requests take with a slowdown
// of 1. Each additional rank adds its slots, but makes every pass as long as that of the
// slowest rank with requests. A rank without requests delays no other.
func maxSlowdown(ranks []Rank) float64 {
	bySlowdown := slices.Clone(ranks)
	slices.SortFunc(bySlowdown, func(a, b Rank) int { return cmp.Compare(a.Slowdown, b.Slowdown) })
	slots, bestThroughput, limit := 0, 0.0, math.Inf(1)
	for _, r := range bySlowdown {
		slots += r.Slots
		if throughput := float64(slots) / (max(r.Slowdown, 1) + sharedPassShare); throughput >= bestThroughput {
			bestThroughput, limit = throughput, max(r.Slowdown, 1)
		}
	}
	return limit
}

// MoveOffSlowRanks moves the movable requests away from ranks that are too slow to run any
// request, and returns the moves to send. Each move is returned by up to maxMoveSends
// calls or until its request ends, because datagrams can be lost.
func (s *Scheduler) MoveOffSlowRanks(now time.Time) []Decision {
	var decisions []Decision
	for _, id := range slices.Sorted(maps.Keys(s.assignments)) {
		a := s.assignments[id]
		switch {
		case a.moveSends > 0 && a.moveSends < maxMoveSends: // send the move again
		case a.moveSends == 0 && a.request.Movable && s.tooSlow(a.engine):
			to := s.bestRank(now, a.request.Zone, []string{a.engine})
			if s.tooSlow(to) {
				continue // the other rank with the lowest cost is too slow too, or no other rank is left
			}
			s.countStart(now, to)
			s.loads.end(a.engine)
			a.engine, a.startedAt = to, now // the new rank has to prefill the prompt too
			s.loads.start(now, a)
		default:
			continue
		}
		a.moveSends++
		s.assignments[id] = a
		decisions = append(decisions, Decision{ID: id, Engine: a.engine, Moved: true})
	}
	return decisions
}

// SlowEngines returns the sorted addresses of the engines that are too slow to run any
// request.
func (s *Scheduler) SlowEngines() []string {
	var slow []string
	for _, engine := range slices.Sorted(maps.Keys(s.slots)) {
		if s.slots[engine] == 0 {
			slow = append(slow, engine)
		}
	}
	return slow
}

// tooSlow reports whether the rank of an engine should run no requests. An unknown engine
// is not too slow. The empty address, which means that no rank was found, counts as too
// slow.
func (s *Scheduler) tooSlow(engine string) bool {
	slots, known := s.slots[engine]
	return engine == "" || (known && slots == 0)
}

// Running returns the number of slots in use.
func (s *Scheduler) Running() int { return len(s.assignments) }

// Waiting returns the number of queued requests.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// Load returns the share of the slots that requests use or wait for; above 1 if more wait than are
// free.
func (s *Scheduler) Load() float64 {
	slots := s.assignable
	if s.bound > 0 {
		slots = min(slots, s.bound)
	}
	load := float64(len(s.assignments) + len(s.waiting))
	if slots == 0 && len(s.ranks) > 0 {
		return 1 + load // no rank may get a request
	}
	return load / float64(max(slots, 1))
}

// Offer assigns a slot to a request, queues it, or refuses it. It returns the same
// decision again for a request that runs or is queued.
func (s *Scheduler) Offer(now time.Time, r Request) Decision {
	if a, ok := s.assignments[r.ID]; ok {
		return Decision{ID: r.ID, Engine: a.engine}
	}
	if _, ok := s.waiting[r.ID]; ok {
		return Decision{ID: r.ID, Queued: true}
	}
	if !s.hasUsableRank(now) {
		return s.refuse(now, r, now)
	}
	if wait := s.limitsAllowIn(now); wait > 0 {
		return s.refuse(now, r, now.Add(wait))
	}
	if len(s.waiting) >= maxWaiting {
		return s.refuse(now, r, now.Add(maxRetryAfter))
	}
	queued := s.queueRequest(now, r)
	if s.byPriority(r) && s.outlastsCaller(now, r, queued.Work) {
		return s.refuse(now, r, now)
	}
	decision, freeAt := s.queue.Offer(now, queued)
	switch decision {
	case admission.DecisionRun:
		return s.assign(now, r)
	case admission.DecisionWait:
		s.waiting[r.ID] = r
		if s.byPriority(r) {
			s.displace(now)
		}
		return Decision{ID: r.ID, Queued: true}
	}
	return s.refuse(now, r, freeAt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// queueRequest returns the request for the admission queue. A retry that can no longer
// meet its latency goal gets the batch class, behind requests that still can, and may
// wait until WaitUntil. StartBy counts from this try, but the goal from the first refusal,
// so the goal is missed if more time has passed since that refusal than is left to StartBy.
func (s *Scheduler) queueRequest(now time.Time, r Request) admission.Request {
	queued := admission.Request{
		ID: r.ID, Organisation: r.Organisation, Class: contract.ClassInteractive, Work: 1, Deadline: r.StartBy,
	}
	if s.config.ByPriority {
		queued.Priority = defaultPriority
	}
	if s.byPriority(r) {
		queued.Priority, queued.Work = *r.Priority, s.workOf(r)
	}
	if first, ok := s.refused[r.Fingerprint]; ok && now.Sub(first) > r.StartBy.Sub(now) {
		queued.Class, queued.Deadline = contract.ClassBatch, r.WaitUntil
	}
	return queued
}

// assign gives a request a slot at the best rank. It ignores the excluded engines
// only if no other engine is left.
func (s *Scheduler) assign(now time.Time, r Request) Decision {
	engine := s.bestRank(now, r.Zone, r.Exclude)
	if engine == "" {
		engine = s.bestRank(now, r.Zone, nil)
	}
	s.countStart(now, engine)
	if len(s.assignments) == 0 {
		s.expireAt = now.Add(maxSlotHold)
	}
	a := assignment{request: r, engine: engine, startedAt: now}
	s.assignments[r.ID] = a
	s.loads.start(now, a)
	return Decision{ID: r.ID, Engine: engine}
}

// bestRank returns the engine of the rank whose part of a pass stays shortest, with a
// preference for the zone of the entry, or "" if every engine is excluded, at its rate limit or in an evacuated
// zone.
func (s *Scheduler) bestRank(now time.Time, zone string, exclude []string) string {
	s.loads.endPrefills(now)
	best, lowest := "", math.Inf(1)
	for i := range s.loads.ranks {
		rank := &s.loads.ranks[i]
		if slices.Contains(exclude, rank.Engine) || (len(s.limits) > 0 && s.nextIn(now, rank.Engine) > 0) || (len(s.evacuated) > 0 && s.isEvacuated(now, rank.Zone)) {
			continue
		}
		load := rank.load()
		cost := max(rank.Slowdown, 1) * (fixedPassCost + load)
		if rank.Zone != zone {
			cost += crossZoneCost
		}
		if load >= float64(rank.Slots) {
			cost += fixedPassCost // the request may have to wait there
		}
		if cost < lowest {
			best, lowest = rank.Engine, cost
		}
	}
	return best
}

// Release frees the slot of a request, or removes the request from the queue. It
// returns the decisions on queued requests that this allows.
func (s *Scheduler) Release(now time.Time, id string) []Decision {
	if _, ok := s.waiting[id]; ok {
		delete(s.waiting, id)
		s.queue.Remove(id)
		return nil
	}
	if a, ok := s.assignments[id]; ok {
		delete(s.assignments, id)
		s.loads.end(a.engine)
		s.queue.Done(now.Sub(a.startedAt))
	}
	return s.Dispatch(now)
}

// Dispatch returns the decisions on queued requests that get a slot now or that are
// refused because they cannot start in time. It also frees slots whose release was
// lost.
func (s *Scheduler) Dispatch(now time.Time) []Decision {
	var decisions []Decision
	s.freeLostSlots(now)
	refused := s.queue.Expired(now)
	usable := s.hasUsableRank(now)
	for usable && s.limitsAllowIn(now) == 0 {
		run, late := s.queue.Next(now)
		refused = append(refused, late...)
		if run == nil {
			break
		}
		r := s.waiting[run.ID]
		delete(s.waiting, run.ID)
		decisions = append(decisions, s.assign(now, r))
	}
	if !usable {
		refused = append(refused, s.queue.Flush()...)
	}
	for _, late := range refused {
		r := s.waiting[late.ID]
		delete(s.waiting, late.ID)
		decisions = append(decisions, s.refuse(now, r, now))
	}
	slices.SortFunc(decisions, func(a, b Decision) int { return cmp.Compare(a.ID, b.ID) })
	return decisions
}
