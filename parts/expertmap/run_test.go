package expertmap_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"camphormill.dev/parts/expertmap"
)

// runCount returns the number of seeded runs of TestEveryStepHasOneMap. The environment
// variable SCHEDULES overrides it.
func runCount() int {
	const defaultCount = 2000
	if n, err := strconv.Atoi(os.Getenv("SCHEDULES")); err == nil {
		return n
	}
	return defaultCount
}

// firstSeed returns the first seed. The environment variable FIRST_SEED overrides it.
func firstSeed() uint64 {
	n, err := strconv.ParseUint(os.Getenv("FIRST_SEED"), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

const (
	ranks  = 4
	window = 5
)

// engine is a fake engine of one rank. It runs the steps that have a permit in
// lock-step with the other ranks.
type engine struct {
	permits   map[expertmap.Step]expertmap.MapID
	started   expertmap.Step
	completed expertmap.Step
}

// run is one seeded simulation of a group under faults. Messages in flight are
// delivered in any sequence, late, more than once or never.
type run struct {
	t         *testing.T
	rng       *rand.Rand
	ranks     []expertmap.Rank
	engines   []*engine
	started   map[expertmap.Step]map[expertmap.MapID]bool
	orders    []sentOrder
	responses []response
	leaders   []leader
	fence     expertmap.Fence
	wanted    expertmap.MapID
	violation string

	replacements int
}

type sentOrder struct {
	to     int
	leader int
	order  expertmap.Order
}

type response struct {
	leader int
	status expertmap.Status
}

// leader is the part of a coordinator that a run needs. underTest and naiveLeader
// implement it.
type leader interface {
	Orders() map[int]expertmap.Order
	Answer(s expertmap.Status) leader
	Done() bool
}

// underTest adapts the Coordinator to leader.
type underTest struct{ expertmap.Coordinator }

func (u underTest) Answer(s expertmap.Status) leader { return underTest{u.WithStatus(s)} }
func (u underTest) Done() bool                       { return u.Phase() == expertmap.PhaseDone }

func newRun(t *testing.T, seed uint64) *run {
	r := &run{t: t, rng: rand.New(rand.NewPCG(seed, seed)), started: map[expertmap.Step]map[expertmap.MapID]bool{}}
	for i := range ranks {
		r.ranks = append(r.ranks, expertmap.NewRank(expertmap.RankConfig{Rank: i, Incarnation: "first", Window: window, Completed: expertmap.NoStep}))
		r.engines = append(r.engines, newEngine(expertmap.NoStep))
	}
	return r
}

func newEngine(at expertmap.Step) *engine {
	return &engine{permits: map[expertmap.Step]expertmap.MapID{}, started: at, completed: at}
}

func (r *run) addCoordinator() {
	r.fence++
	r.leaders = append(r.leaders, underTest{expertmap.NewCoordinator(expertmap.CoordinatorConfig{
		Fence: r.fence, Ranks: ranks, Window: window, Wanted: r.wanted,
	})})
}

// send adds the orders of a leader to the messages in flight.
func (r *run) send(i int) {
	orders := r.leaders[i].Orders()
	for rank := range ranks { // in a fixed sequence, so that a seed reproduces a run
		if order, ok := orders[rank]; ok {
			r.orders = append(r.orders, sentOrder{to: rank, leader: i, order: order})
		}
	}
}

// takeMessage removes a random message from the messages in flight, most often the newest.
// Some messages are not removed, so that they are delivered again.
func takeMessage[T any](rng *rand.Rand, inFlight *[]T) T {
	i := len(*inFlight) - 1
	const randomOneIn = 3 // one in this many deliveries takes a random message
	if rng.IntN(randomOneIn) == 0 {
		i = rng.IntN(len(*inFlight))
	}
	m := (*inFlight)[i]
	const duplicateOneIn = 5 // one in this many messages is delivered again later
	if rng.IntN(duplicateOneIn) > 0 {
		*inFlight = append((*inFlight)[:i], (*inFlight)[i+1:]...)
	}
	return m
}

func (r *run) deliverOrder() {
	if len(r.orders) == 0 {
		return
	}
	m := takeMessage(r.rng, &r.orders)
	next, status := r.ranks[m.to].WithOrder(m.order)
	if m.order.Kind == expertmap.OrderLoad {
		next = next.WithLoaded(m.order.Map)
		status = next.Status()
	}
	for _, missing := range next.MissingMaps() {
		next = next.WithLoaded(missing)
	}
	r.ranks[m.to] = next
	r.responses = append(r.responses, response{leader: m.leader, status: status})
}

func (r *run) deliverResponse() {
	if len(r.responses) == 0 {
		return
	}
	m := takeMessage(r.rng, &r.responses)
	r.leaders[m.leader] = r.leaders[m.leader].Answer(m.status)
}

func (r *run) runStep(i int) {
	rank, permits := r.ranks[i].WithPermits()
	r.ranks[i] = rank
	e := r.engines[i]
	for _, p := range permits {
		for t := p.From; t <= p.Through; t++ {
			e.permits[t] = p.Map
		}
	}
	next := e.started + 1
	m, permitted := e.permits[next]
	if !permitted || r.minCompleted() < next-1 {
		return
	}
	e.started = next
	if r.started[next] == nil {
		r.started[next] = map[expertmap.MapID]bool{}
	}
	r.started[next][m] = true
	if len(r.started[next]) > 1 {
		r.violation = fmt.Sprintf("step %d ran under two maps", next)
	}
	e.completed = next
	r.ranks[i] = r.ranks[i].WithCompleted(next)
}

func (r *run) minCompleted() expertmap.Step {
	minCompleted := r.engines[0].completed
	for _, e := range r.engines {
		minCompleted = min(minCompleted, e.completed)
	}
	return minCompleted
}

// replaceProcess gives a rank a new process without state. Its engine keeps running.
func (r *run) replaceProcess(i int) {
	r.replacements++
	r.ranks[i] = expertmap.NewRank(expertmap.RankConfig{
		Rank: i, Incarnation: strconv.Itoa(r.replacements), Window: window, Completed: r.engines[i].completed,
	})
}

// randomEvent simulates one random event. A leader that others have replaced may still
// send orders at any later time, like a process that was suspended and continues.
func (r *run) randomEvent(faults bool) {
	if faults && r.rng.IntN(faultEvery) == 0 {
		r.injectFault()
		return
	}
	switch r.rng.IntN(12) {
	case 0, 1, 2, 3:
		r.runStep(r.rng.IntN(ranks))
	case 4, 5, 6:
		r.deliverOrder()
	case 7, 8, 9, 10:
		r.deliverResponse()
	case 11:
		i := len(r.leaders) - 1
		if r.rng.IntN(4) == 0 {
			i = r.rng.IntN(len(r.leaders))
		}
		r.send(i)
	}
}

// faultEvery is the mean number of events between two faults.
const faultEvery = 90

func (r *run) injectFault() {
	switch r.rng.IntN(6) {
	case 0:
		r.wanted++
		r.addCoordinator()
	case 1:
		r.addCoordinator()
	case 2, 3:
		if i := r.rng.IntN(ranks); r.otherKeepsState(i) {
			r.replaceProcess(i)
		}
	case 4:
		if len(r.orders) > 0 {
			r.orders = r.orders[1:]
		}
	case 5:
		if len(r.responses) > 0 {
			r.responses = r.responses[1:]
		}
	}
}

// otherKeepsState reports whether a rank other than i has kept its state. The protocol
// assumes that at least one rank always does.
func (r *run) otherKeepsState(i int) bool {
	for j, rank := range r.ranks {
		if j != i && len(rank.Status().Schedule) > 0 {
			return true
		}
	}
	return false
}

// finish runs a new leader without further faults and reports whether it finishes.
func (r *run) finish() bool {
	r.addCoordinator()
	last := len(r.leaders) - 1
	const maxRounds = 4000
	for range maxRounds {
		r.send(last)
		for len(r.orders) > 0 {
			r.deliverOrder()
		}
		for len(r.responses) > 0 {
			r.deliverResponse()
		}
		if r.leaders[last].Done() {
			return true
		}
	}
	return false
}
