package mapswitch_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/mapswitch"
)

const ranks = 4

// engine is a fake of the engine of one rank.
type engine struct {
	view  mapswitch.View
	fence mapswitch.Fence // the highest token seen
	armAt mapswitch.Pass
}

func (e *engine) execute(o mapswitch.Order) mapswitch.Result {
	if o.Fence < e.fence {
		return mapswitch.Fenced
	}
	e.fence = o.Fence
	if o.Epoch != e.view.Epoch {
		return mapswitch.Refused
	}
	switch o.Kind {
	case mapswitch.Prepare:
		if o.Version < e.view.Prepared || e.view.Armed != 0 {
			return mapswitch.Refused
		}
		e.view.Prepared = o.Version
	case mapswitch.Arm:
		if e.view.Armed == o.Version || e.view.Map == o.Version {
			return mapswitch.Done
		}
		if e.view.Prepared != o.Version || e.view.Pass >= o.Pass {
			return mapswitch.Refused
		}
		e.view.Armed, e.armAt = o.Version, o.Pass
	case mapswitch.Disarm:
		if e.view.Map == o.Version {
			return mapswitch.Refused
		}
		if e.view.Armed == o.Version {
			e.view.Armed = 0
		}
	case mapswitch.Hold:
		if e.view.Pass >= o.Pass || (e.view.Held != mapswitch.NoPass && e.view.Held != o.Pass) {
			return mapswitch.Refused
		}
		e.view.Held = o.Pass
	case mapswitch.Release:
		if e.view.Held == o.Pass {
			e.view.Held = mapswitch.NoPass
		}
	}
	return mapswitch.Done
}

type delayedOrder struct {
	rank  int
	order mapswitch.Order
}

// simulation is a group under a random schedule: orders are lost or executed
// late, results are lost, leaders die, and the state of ranks is read at any time.
type simulation struct {
	rng       *rand.Rand
	engines   [ranks]engine
	delayed   []delayedOrder
	mixedMaps bool
	// earlyRelease simulates a leader that releases the held pass without waiting
	// until all ranks are armed.
	earlyRelease bool
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 3))}
	for i := range sim.engines {
		sim.engines[i].view = mapswitch.View{Epoch: 1, Held: mapswitch.NoPass}
	}
	return sim
}

// beginPass begins the next pass unless a rank holds it.
func (sim *simulation) beginPass() {
	next := sim.engines[0].view.Pass + 1
	for _, e := range sim.engines {
		if e.view.Held == next {
			return
		}
	}
	for i := range sim.engines {
		e := &sim.engines[i]
		e.view.Pass = next
		if e.view.Armed != 0 && e.armAt == next {
			e.view.Map, e.view.Armed = e.view.Armed, 0
		}
	}
	for _, e := range sim.engines {
		sim.mixedMaps = sim.mixedMaps || e.view.Map != sim.engines[0].view.Map
	}
}

// event simulates one random event and returns the updated switch.
func (sim *simulation) event(s mapswitch.Switch) mapswitch.Switch {
	rank := sim.rng.IntN(ranks)
	switch sim.rng.IntN(6) {
	case 0:
		sim.beginPass()
	case 1:
		return s.WithView(rank, sim.engines[rank].view)
	case 2:
		if len(sim.delayed) > 0 {
			at := sim.rng.IntN(len(sim.delayed))
			d := sim.delayed[at]
			sim.delayed = append(sim.delayed[:at], sim.delayed[at+1:]...)
			sim.engines[d.rank].execute(d.order)
		}
	default:
		o, ok := s.Orders()[rank]
		if !ok {
			return s
		}
		switch sim.rng.IntN(4) {
		case 0: // executed late, the result is lost
			sim.delayed = append(sim.delayed, delayedOrder{rank, o})
		case 1: // executed, the result is lost
			sim.engines[rank].execute(o)
		default:
			return s.WithResult(rank, o, sim.engines[rank].execute(o))
		}
	}
	return s
}

// runSwitches simulates a series of switches. Some time out, and others are left
// unfinished by a leader that dies.
func (sim *simulation) runSwitches(t *testing.T) {
	fence := mapswitch.Fence(10)
	for version := mapswitch.Version(1); version < 12; version++ {
		fence += 2
		s := mapswitch.New(mapswitch.Config{Fence: fence, Epoch: 1, Ranks: ranks, Version: version, Holder: sim.rng.IntN(ranks), HoldAhead: 3})
		timeout, death := sim.rng.IntN(600), sim.rng.IntN(900)
		for i := 0; s.Phase() != mapswitch.Finished; i++ {
			if i == timeout {
				s = s.TimedOut()
			}
			if i == death {
				break
			}
			if sim.earlyRelease && s.Phase() == mapswitch.Arming && sim.rng.IntN(20) == 0 {
				for rank := range sim.engines {
					sim.engines[rank].view.Held = mapswitch.NoPass
				}
			}
			if s = sim.event(s); i > 20_000 {
				t.Fatal("the switch did not finish within 20,000 events")
			}
		}
		fence = sim.recover(t, fence+2, version)
	}
}

// recover simulates a new leader that finds held passes and rolls them back. It
// returns the highest fencing token used.
func (sim *simulation) recover(t *testing.T, fence mapswitch.Fence, version mapswitch.Version) mapswitch.Fence {
	for i := 0; ; i++ {
		holders := map[int]mapswitch.Pass{}
		for rank, e := range sim.engines {
			if e.view.Held != mapswitch.NoPass {
				holders[rank] = e.view.Held
			}
		}
		if len(holders) == 0 {
			return fence
		}
		fence += 2
		s := mapswitch.NewRollback(mapswitch.Config{Fence: fence, Epoch: 1, Ranks: ranks, Version: version}, holders)
		for s.Phase() != mapswitch.Finished {
			s = sim.event(s)
		}
		if i > 1000 {
			t.Fatal("a pass is still held after 1,000 rollbacks")
		}
	}
}

// TestRanksNeverMixMaps runs random schedules of switches with lost and late
// orders and leaders that die, and checks that no two ranks begin a pass under
// different maps.
func TestRanksNeverMixMaps(t *testing.T) {
	is := is.New(t)
	switched := 0
	for seed := range uint64(3000) {
		sim := newSimulation(seed)
		sim.runSwitches(t)
		if sim.mixedMaps {
			t.Fatalf("seed %d: two ranks began a pass under different maps", seed)
		}
		if sim.engines[0].view.Map > 0 {
			switched++
		}
	}
	is.True(switched > 2700) // most schedules reach a new map
}

// TestEarlyReleaseMixesMaps verifies that the check in TestRanksNeverMixMaps
// detects mixed maps: a leader that releases the pass too early must cause them.
func TestEarlyReleaseMixesMaps(t *testing.T) {
	is := is.New(t)
	mixed := 0
	for seed := range uint64(200) {
		sim := newSimulation(seed)
		sim.earlyRelease = true
		sim.runSwitches(t)
		if sim.mixedMaps {
			mixed++
		}
	}
	is.True(mixed > 0)
}
