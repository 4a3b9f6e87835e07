package expertmap_test

import (
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/expertmap"
)

// naiveLeader commits a switch a few steps ahead to each rank without a freeze and
// without waiting for all ranks.
type naiveLeader struct {
	fence  expertmap.Fence
	wanted expertmap.MapID
	from   expertmap.Step // first step of the new segment; 0 until a status has been read
	base   expertmap.Schedule
	acked  map[int]bool
}

func (n naiveLeader) Orders() map[int]expertmap.Order {
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

func (n naiveLeader) Answer(s expertmap.Status) leader {
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

func (n naiveLeader) Done() bool { return len(n.acked) == ranks }

// TestNaiveSwitchMixesMaps verifies that the check in TestEveryStepHasOneMap detects a
// step under two maps: a switch without a freeze must cause some.
func TestNaiveSwitchMixesMaps(t *testing.T) {
	is := is.New(t)
	violations := 0
	for seed := range uint64(200) {
		r := newRun(t, seed)
		r.addCoordinator()
		is.True(r.finish())
		for range 20 {
			r.runStep(r.rng.IntN(ranks))
		}
		r.wanted++
		r.fence++
		r.leaders = append(r.leaders, naiveLeader{fence: r.fence, wanted: r.wanted})
		for range 400 {
			r.naiveEvent(len(r.leaders) - 1)
		}
		if r.violation != "" {
			violations++
		}
	}
	is.True(violations > 0) // a switch without a freeze mixes maps in some run
	t.Logf("naive switch mixed maps in %d of 200 runs", violations)
}

// naiveEvent simulates one random event. It delivers a resume order of a naiveLeader to
// one rank as freeze, commit and resume, as a protocol without agreement of the group
// would do.
func (r *run) naiveEvent(leader int) {
	switch r.rng.IntN(4) {
	case 0, 1:
		r.runStep(r.rng.IntN(ranks))
	case 2:
		r.send(leader)
	case 3:
		if len(r.orders) == 0 {
			return
		}
		m := takeMessage(r.rng, &r.orders)
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
