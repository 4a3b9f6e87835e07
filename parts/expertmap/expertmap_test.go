package expertmap_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"

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

// naive commits a switch a few steps ahead to each rank, without a freeze and
// without waiting for all.
type naive struct {
	fence  expertmap.Fence
	wanted expertmap.MapID
	from   expertmap.Step
	base   expertmap.Schedule
	acked  map[int]bool
}

func (n naive) Orders() map[int]expertmap.Order {
	orders := map[int]expertmap.Order{}
	for rank := range ranks {
		if n.acked[rank] {
			continue
		}
		kind := expertmap.OrderRead
		if n.from > 0 {
			kind = expertmap.OrderResume
		}
		orders[rank] = expertmap.Order{Kind: kind, Fence: n.fence, Schedule: n.base.With(expertmap.Segment{From: n.from, Map: n.wanted})}
	}
	return orders
}

func (n naive) Answer(s expertmap.Status) leader {
	if n.from == 0 {
		n.from = s.Horizon + 2*window
		n.base = s.Schedule
		return n
	}
	acked := map[int]bool{s.Rank: true}
	for rank := range n.acked {
		acked[rank] = true
	}
	n.acked = acked
	return n
}

func (n naive) Done() bool { return len(n.acked) == ranks }

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

func TestEveryStepHasOneMap(t *testing.T) {
	switches := 0
	for i := range uint64(schedules()) {
		seed := firstSeed() + i
		r := newRun(t, seed)
		r.lead()
		const events = 2500
		for range events {
			r.event(true)
		}
		if r.violated != "" {
			t.Fatalf("seed %d: %s", seed, r.violated)
		}
		switches += r.mapsUsed()
		if !r.settle() {
			t.Fatalf("seed %d: the last coordinator did not finish: %v", seed, r.leaders[len(r.leaders)-1])
		}
		before := r.slowest()
		for range 100 {
			for i := range ranks {
				r.step(i)
			}
		}
		if r.violated != "" || r.slowest() < before+50 {
			t.Fatalf("seed %d: after the faults: %q, steps %d to %d", seed, r.violated, before, r.slowest())
		}
	}
	t.Logf("%d schedules; %d maps came into use amid faults", schedules(), switches)
}

// mapsUsed counts the maps under which steps ran.
func (r *run) mapsUsed() int {
	used := map[expertmap.MapID]bool{}
	for _, maps := range r.started {
		for m := range maps {
			used[m] = true
		}
	}
	return len(used)
}

// TestReplacedProcessIgnoresOrdersOfItsForerunner replays what three schedules
// in 360,000 found: a doubled freeze, commit and resume of a coordinator long
// gone, delivered in order to a process that had just taken over a rank.
func TestReplacedProcessIgnoresOrdersOfItsForerunner(t *testing.T) {
	is := is.New(t)
	late := expertmap.Schedule{{From: 0, Map: 1}}
	r := expertmap.NewRank(expertmap.RankConfig{Incarnation: "second", Window: window, Completed: 28}).WithLoaded(1)
	for _, kind := range []expertmap.OrderKind{expertmap.OrderFreeze, expertmap.OrderCommit, expertmap.OrderResume} {
		r, _ = r.WithOrder(expertmap.Order{Kind: kind, Fence: 3, Incarnation: "first", Schedule: late})
	}
	_, permits := r.WithPermits()
	is.Equal(len(permits), 0) // the new process grants nothing under the old map
}

// TestNaiveSwitchMixesMaps shows that the check has teeth.
func TestNaiveSwitchMixesMaps(t *testing.T) {
	is := is.New(t)
	violations := 0
	for seed := range uint64(200) {
		r := newRun(t, seed)
		r.lead()
		is.True(r.settle())
		for range 20 {
			r.step(r.rng.IntN(ranks))
		}
		r.wanted++
		r.fence++
		r.leaders = append(r.leaders, naive{fence: r.fence, wanted: r.wanted})
		for range 400 {
			r.naiveEvent(len(r.leaders) - 1)
		}
		if r.violated != "" {
			violations++
		}
	}
	is.True(violations > 0) // a switch without freeze mixes maps in some schedule
	t.Logf("naive switch mixed maps in %d of 200 schedules", violations)
}

// naiveEvent delivers a naive commit as freeze, commit and resume of one rank
// alone, which is what a protocol without the group's agreement does.
func (r *run) naiveEvent(leader int) {
	switch r.rng.IntN(4) {
	case 0, 1:
		r.step(r.rng.IntN(ranks))
	case 2:
		r.send(leader)
	case 3:
		if len(r.orders) == 0 {
			return
		}
		m := take(r.rng, &r.orders)
		rank := r.ranks[m.to]
		if m.order.Kind == expertmap.OrderResume {
			for _, kind := range []expertmap.OrderKind{expertmap.OrderFreeze, expertmap.OrderCommit} {
				o := m.order
				o.Kind = kind
				o.Incarnation = rank.Status().Incarnation
				rank, _ = rank.WithOrder(o)
			}
			rank = rank.WithLoaded(r.wanted)
			m.order.Incarnation = rank.Status().Incarnation
		}
		rank, status := rank.WithOrder(m.order)
		r.ranks[m.to] = rank
		r.leaders[m.leader] = r.leaders[m.leader].Answer(status)
	}
}

func ExampleSchedule() {
	s := expertmap.Schedule{{From: 0, Map: 7}}.With(expertmap.Segment{From: 40, Map: 9})
	fmt.Println(s.At(39), s.At(40))
	// Output: 7 9
}

func ExampleRank() {
	r := expertmap.NewRank(expertmap.RankConfig{Rank: 0, Incarnation: "a", Window: 2, Completed: expertmap.NoStep})
	schedule := expertmap.Schedule{{From: 0, Map: 7}}
	for _, kind := range []expertmap.OrderKind{expertmap.OrderFreeze, expertmap.OrderCommit, expertmap.OrderResume} {
		r, _ = r.WithOrder(expertmap.Order{Kind: kind, Fence: 1, Incarnation: "a", Schedule: schedule})
	}
	_, permits := r.WithPermits()
	fmt.Println("before the weights:", permits)
	_, permits = r.WithLoaded(7).WithPermits()
	fmt.Println("after:", permits)
	// Output:
	// before the weights: []
	// after: [{0 1 7}]
}

func ExampleCoordinator() {
	c := expertmap.NewCoordinator(expertmap.CoordinatorConfig{Fence: 1, Ranks: 1, Window: 2, Wanted: 7})
	r := expertmap.NewRank(expertmap.RankConfig{Rank: 0, Incarnation: "a", Window: 2, Completed: expertmap.NoStep}).WithLoaded(7)
	for c.Phase() != expertmap.PhaseDone {
		fmt.Print(c.Phase(), " ")
		var status expertmap.Status
		r, status = r.WithOrder(c.Orders()[0])
		c = c.WithStatus(status)
	}
	fmt.Println(c.Phase(), r.Status().Schedule)
	// Output: read load freeze commit resume read done [{0 7}]
}
