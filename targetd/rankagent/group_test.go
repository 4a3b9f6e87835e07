package rankagent_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/mapswitch"
)

// TestDemandShiftCausesOneSwitch uses slow passes, so that the held pass begins well after the
// switch has ended for the leader. A leader that planned in between would take the old layout
// for the current one and copy all replicas again.
func TestDemandShiftCausesOneSwitch(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newFakeGroup(150 * time.Millisecond)
	g.start(t, ctx)
	var version mapswitch.Version
	deadline := time.Now().Add(8 * time.Second)
	for version == 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
		version, _, _ = g.mapState()
	}
	is.True(version != 0)        // the group has switched its map
	is.Equal(g.orderedMaps(), 1) // to the first one that was ordered
	time.Sleep(2 * time.Second)  // real time, since engines and daemons run on the real clock
	last, mixed, refused := g.mapState()
	is.Equal(last, version)
	is.Equal(g.orderedMaps(), 1) // no second switch for the same demand
	is.Equal(refused, 0)
	is.True(!mixed)
}

// TestNoSwitchStartsWhileRanksAreArmed uses passes of 1.2 s, as with a rank that is twelve
// times slower than normal: the held pass begins more than a second after the switch has ended
// for the leader. Armed engines refuse another map, so the leader must not prepare one in
// between.
func TestNoSwitchStartsWhileRanksAreArmed(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newFakeGroup(1200 * time.Millisecond)
	g.start(t, ctx)
	var version mapswitch.Version
	deadline := time.Now().Add(15 * time.Second)
	for version == 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
		version, _, _ = g.mapState()
	}
	is.True(version != 0)        // the group has switched its map
	is.Equal(g.orderedMaps(), 1) // to the first one that was ordered
	_, mixed, refused := g.mapState()
	is.Equal(refused, 0)
	is.True(!mixed)
}

// TestHoldOfFrozenLeaderIsReleased freezes the leader's daemon right after it has held a pass.
// The other daemons must release the pass within 1.5 s without the frozen daemon, and all ranks
// must run the same map.
func TestHoldOfFrozenLeaderIsReleased(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newFakeGroup(30 * time.Millisecond)
	g.freezeAtHold = true
	g.start(t, ctx)
	deadline := time.Now().Add(8 * time.Second)
	for g.heldTime().IsZero() && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(!g.heldTime().IsZero()) // a pass was held and its leader froze
	passesAtFreeze := g.passCount()
	time.Sleep(1500 * time.Millisecond)
	is.True(g.passCount() > passesAtFreeze+5) // the group runs passes again
	_, mixed, _ := g.mapState()
	is.True(!mixed)
}

// TestEngineSettingsComeFromEntry uses a store that does not answer in time. The group must
// still elect a leader and switch its map, with the engine settings from an entry.
func TestEngineSettingsComeFromEntry(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newFakeGroup(30 * time.Millisecond)
	g.storeBlocked = true
	g.start(t, ctx)
	var version mapswitch.Version
	deadline := time.Now().Add(5 * time.Second)
	for version == 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
		version, _, _ = g.mapState()
	}
	is.True(version > 0)
}

// TestFailingSwitchesPause guards against a group that orders one map after the other although each switch is given
// up: copies make its passes longer.
func TestFailingSwitchesPause(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newFakeGroup(20 * time.Millisecond)
	g.neverCopies = true
	g.start(t, ctx)
	for i := 0; g.orderedMaps() < 3 && i < 1500; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	is.Equal(len(g.orderedAt), 3)
	first, second := g.orderedAt[1].Sub(g.orderedAt[0]), g.orderedAt[2].Sub(g.orderedAt[1])
	const pause = 2 * time.Second // after two switches that were given up
	is.True(second > first+pause-500*time.Millisecond)
}

// TestCopiesOfEarlierLeaderAreNotArmed guards against ranks that are armed with different contents under one version. A
// leader orders copies of a map, one rank does not get the order, and the leader is gone before any copy is complete. Its
// successor sees no trace of that map, and must not give its own map the same version.
func TestCopiesOfEarlierLeaderAreNotArmed(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newFakeGroup(5 * time.Millisecond)
	abandoned := []int{0, 1, 2, 3} // the same for all ranks, as no plan of the successor would be
	const lost = groupRanks - 1    // the rank that the order did not reach
	for i := range lost {
		e := &g.engines[i]
		e.highest, e.copying, e.next = 1, 1, abandoned
	}
	g.start(t, ctx)
	inForce := func() bool {
		version, _, _ := g.mapState()
		return version != 0
	}
	for i := 0; !inForce() && i < 1500; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(inForce())
	time.Sleep(500 * time.Millisecond) // all ranks have begun a pass under the map
	g.mu.Lock()
	defer g.mu.Unlock()
	is.True(!g.mixedMaps)
	for i := range g.engines {
		is.True(!slices.Equal(g.engines[i].held, abandoned)) // no rank holds the map of the earlier leader
	}
}
