package rankagent_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// electionRanks is the size of the groups in the tests of leadership.
const electionRanks = 129

// awaitLeader waits until a daemon other than that of the given rank leads the group and the entries have
// heard it, and returns its rank and the time that this took.
func (f *largeFleet) awaitLeader(other int) (int, time.Duration) {
	start := time.Now()
	for time.Since(start) < 10*time.Second {
		time.Sleep(10 * time.Millisecond)
		for _, leader := range f.leaders() {
			if leader != other && f.entriesFollow(f.hosts[leader].Name) {
				return leader, time.Since(start)
			}
		}
	}
	return -1, time.Since(start)
}

// entriesFollow reports whether all entries last heard an open group's announcement from the host.
func (f *largeFleet) entriesFollow(host string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts[f.ranks:] {
		if f.following[h.Name] != host {
			return false
		}
	}
	return true
}

// TestDeadLeaderOfLargeGroupIsReplacedSoon guards against a large group without a leader for seconds, and
// against many daemons that take the lead from each other.
func TestDeadLeaderOfLargeGroupIsReplacedSoon(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startLargeFleet(t, electionRanks)
		defer f.stop()
		time.Sleep(idleTime)
		f.shiftDemand(1)
		f.play(t, 4*time.Second)
		leader, claims := f.leaders()[0], f.claimCount()
		f.stops[leader]()
		_, took := f.awaitLeader(leader)
		t.Logf("group open again after %v", took)
		is.True(took <= 1500*time.Millisecond)
		f.play(t, 4*time.Second)
		is.Equal(f.claimCount(), claims+1) // one daemon took the lead
		is.True(!f.mixedMaps())
	})
}

// TestLeadersOfLargeGroupDieTogether guards against a group that stays without a leader because the
// daemons that would be the first to claim the leadership are lost with the leader.
func TestLeadersOfLargeGroupDieTogether(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startLargeFleet(t, electionRanks)
		defer f.stop()
		time.Sleep(idleTime)
		f.shiftDemand(1)
		f.play(t, 2*time.Second)
		leader := f.leaders()[0]
		for i := range 20 {
			f.stops[(leader+i)%electionRanks]()
		}
		successor, took := f.awaitLeader(leader)
		t.Logf("rank %d leads after %v", successor, took)
		is.True(successor >= 0)
		is.True(took <= 5*time.Second)
	})
}

// TestSilenceOfOneLinkChangesNoLeader cuts off hosts that do not lead. When their links are back, they have
// not heard the leader for long, but others have.
func TestSilenceOfOneLinkChangesNoLeader(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startLargeFleet(t, electionRanks)
		defer f.stop()
		time.Sleep(idleTime)
		f.shiftDemand(1)
		f.play(t, 4*time.Second)
		leader, claims := f.leaders()[0], f.claimCount()
		for i := range 5 {
			f.network.deafen(f.hosts[(leader+1+i)%electionRanks].Address, f.hosts[leader].Address, 3*time.Second)
		}
		f.play(t, 6*time.Second)
		is.Equal(f.claimCount(), claims)
		is.Equal(f.leaders(), []int{leader})
	})
}

// TestPausedLeaderActsOnNothingWhenItReturns pauses the leader's daemon for some seconds. It must not grant
// slots or give orders by what it knew before, though nobody has told it of its successor yet.
func TestPausedLeaderActsOnNothingWhenItReturns(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startLargeFleet(t, electionRanks)
		defer f.stop()
		time.Sleep(idleTime)
		f.shiftDemand(1)
		f.play(t, 4*time.Second)
		leader := f.leaders()[0]
		f.pause(leader, 3*time.Second)
		successor, took := f.awaitLeader(leader)
		t.Logf("rank %d leads after %v, %d claims, leaders %v", successor, took, f.claimCount(), f.leaders())
		time.Sleep(3 * time.Second)
		is.True(successor >= 0)
		is.Equal(f.leaders(), []int{successor})
		f.mu.Lock()
		defer f.mu.Unlock()
		is.Equal(f.staleGrants, 0) // the paused daemon granted no slot after its return
		is.True(!f.mixed)
	})
}

// TestRankWithoutMapInForceGetsWholeLayout restarts daemons, so that they know no layout when a switch
// changes the map in force. They refuse the changes and must be sent the whole layout.
func TestRankWithoutMapInForceGetsWholeLayout(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := startLargeFleet(t, electionRanks)
		defer f.stop()
		time.Sleep(idleTime)
		f.shiftDemand(1)
		f.play(t, 4*time.Second)
		leader := f.leaders()[0]
		before := f.switchCount()
		for i := range 10 {
			f.restart(t, (leader+5+11*i)%electionRanks)
		}
		time.Sleep(time.Second)
		f.shiftDemand(2)
		f.play(t, 6*time.Second)
		is.True(before > 0)
		is.True(f.switchCount() > before)
		is.True(f.skew() <= 1.5)
		f.mu.Lock()
		defer f.mu.Unlock()
		is.Equal(f.badPrepares, 0) // no engine was told to prepare anything but a whole layout
		is.True(!f.mixed)
	})
}
