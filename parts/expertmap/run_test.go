package expertmap_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"camphormill.dev/parts/expertmap"
)

// schedules is how many seeded schedules a proof runs; SCHEDULES raises it.
func schedules() int {
	const inCI = 2000
	if n, err := strconv.Atoi(os.Getenv("SCHEDULES")); err == nil {
		return n
	}
	return inCI
}

// firstSeed is where the seeds begin; FIRST_SEED moves it.
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

// engine runs the steps of one rank that hold a permit, in lock-step.
type engine struct {
	permits   map[expertmap.Step]expertmap.MapID
	started   expertmap.Step
	completed expertmap.Step
}

// run is one seeded schedule of a group under faults. Messages wait in a bag and
// are delivered in any order, late, doubled or never.
type run struct {
	t        *testing.T
	rng      *rand.Rand
	ranks    []expertmap.Rank
	engines  []*engine
	started  map[expertmap.Step]map[expertmap.MapID]bool
	orders   []sent
	answers  []answer
	leaders  []leader
	fence    expertmap.Fence
	wanted   expertmap.MapID
	violated string

	processes int
}

type sent struct {
	to     int
	leader int
	order  expertmap.Order
}

type answer struct {
	leader int
	status expertmap.Status
}

// leader is what a run needs of a coordinator; the naive one is a fixture.
type leader interface {
	Orders() map[int]expertmap.Order
	Answer(s expertmap.Status) leader
	Done() bool
}

type ours struct{ expertmap.Coordinator }

func (o ours) Answer(s expertmap.Status) leader { return ours{o.WithStatus(s)} }
func (o ours) Done() bool                       { return o.Phase() == expertmap.PhaseDone }

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

func (r *run) lead() {
	r.fence++
	r.leaders = append(r.leaders, ours{expertmap.NewCoordinator(expertmap.CoordinatorConfig{
		Fence: r.fence, Ranks: ranks, Window: window, Wanted: r.wanted,
	})})
}

// send puts the orders of a leader into the bag.
func (r *run) send(i int) {
	orders := r.leaders[i].Orders()
	for rank := range ranks { // in order, so that a seed gives the same run
		if order, ok := orders[rank]; ok {
			r.orders = append(r.orders, sent{to: rank, leader: i, order: order})
		}
	}
}

func take[T any](rng *rand.Rand, bag *[]T) T {
	i := len(*bag) - 1
	const late = 3 // one in so many is not the newest
	if rng.IntN(late) == 0 {
		i = rng.IntN(len(*bag))
	}
	m := (*bag)[i]
	const doubled = 5 // one in so many is delivered again later
	if rng.IntN(doubled) > 0 {
		*bag = append((*bag)[:i], (*bag)[i+1:]...)
	}
	return m
}

func (r *run) deliverOrder() {
	if len(r.orders) == 0 {
		return
	}
	m := take(r.rng, &r.orders)
	next, status := r.ranks[m.to].WithOrder(m.order)
	if m.order.Kind == expertmap.OrderLoad {
		next = next.WithLoaded(m.order.Map)
		status = next.Status()
	}
	for _, missing := range next.Wanted() {
		next = next.WithLoaded(missing)
	}
	r.ranks[m.to] = next
	r.answers = append(r.answers, answer{leader: m.leader, status: status})
}

func (r *run) deliverAnswer() {
	if len(r.answers) == 0 {
		return
	}
	m := take(r.rng, &r.answers)
	r.leaders[m.leader] = r.leaders[m.leader].Answer(m.status)
}

func (r *run) step(i int) {
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
	if !permitted || r.slowest() < next-1 {
		return
	}
	e.started = next
	if r.started[next] == nil {
		r.started[next] = map[expertmap.MapID]bool{}
	}
	r.started[next][m] = true
	if len(r.started[next]) > 1 {
		r.violated = fmt.Sprintf("step %d ran under two maps", next)
	}
	e.completed = next
	r.ranks[i] = r.ranks[i].WithCompleted(next)
}

func (r *run) slowest() expertmap.Step {
	slowest := r.engines[0].completed
	for _, e := range r.engines {
		slowest = min(slowest, e.completed)
	}
	return slowest
}

// replace gives a rank a new process that remembers nothing; its engine lives on.
func (r *run) replace(i int) {
	r.processes++
	r.ranks[i] = expertmap.NewRank(expertmap.RankConfig{
		Rank: i, Incarnation: strconv.Itoa(r.processes), Window: window, Completed: r.engines[i].completed,
	})
}

// event makes one random event. A leader that is no longer scheduled is frozen;
// it may wake at any time, long after others took over.
func (r *run) event(faults bool) {
	if faults && r.rng.IntN(faultEvery) == 0 {
		r.fault()
		return
	}
	switch r.rng.IntN(12) {
	case 0, 1, 2, 3:
		r.step(r.rng.IntN(ranks))
	case 4, 5, 6:
		r.deliverOrder()
	case 7, 8, 9, 10:
		r.deliverAnswer()
	case 11:
		i := len(r.leaders) - 1
		if r.rng.IntN(4) == 0 {
			i = r.rng.IntN(len(r.leaders))
		}
		r.send(i)
	}
}

// faultEvery is how many events pass between two faults, on average.
const faultEvery = 90

func (r *run) fault() {
	switch r.rng.IntN(6) {
	case 0:
		r.wanted++
		r.lead()
	case 1:
		r.lead()
	case 2, 3:
		if i := r.rng.IntN(ranks); r.othersRemember(i) {
			r.replace(i)
		}
	case 4:
		if len(r.orders) > 0 {
			r.orders = r.orders[1:]
		}
	case 5:
		if len(r.answers) > 0 {
			r.answers = r.answers[1:]
		}
	}
}

// othersRemember keeps the stated assumption: some rank keeps its memory.
func (r *run) othersRemember(i int) bool {
	for j, rank := range r.ranks {
		if j != i && len(rank.Status().Schedule) > 0 {
			return true
		}
	}
	return false
}

// settle lets the newest leader finish with no more faults.
func (r *run) settle() bool {
	r.lead()
	last := len(r.leaders) - 1
	const patience = 4000
	for range patience {
		r.send(last)
		for len(r.orders) > 0 {
			r.deliverOrder()
		}
		for len(r.answers) > 0 {
			r.deliverAnswer()
		}
		if r.leaders[last].Done() {
			return true
		}
	}
	return false
}
