package rankagent

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/routes"
)

// leadingAgent returns an agent that has claimed the leadership of a group after a long silence, the clock
// by which it runs, and the number of its claims.
func leadingAgent(t *testing.T) (*Agent, *time.Time, *int) {
	t.Helper()
	a, now, claims := claimingAgent(t, func(*Agent, *time.Time) {})
	is.New(t).True(a.Leading())
	return a, now, claims
}

// claimingAgent is leadingAgent with what happens during the call to the store. The agent need not lead.
func claimingAgent(t *testing.T, duringClaim func(a *Agent, now *time.Time)) (*Agent, *time.Time, *int) {
	t.Helper()
	start := time.Now()
	now, claims := start, 0
	m, err := mesh.Listen(mesh.Config{Now: func() time.Time { return now }, Socket: &mesh.Socket{Send: func([]byte, netip.AddrPort) error { return nil }}})
	is.New(t).NoErr(err)
	var a *Agent
	a = New(Config{
		Self: mesh.Host{Name: "t1"}, Service: "s", Mesh: m, Now: func() time.Time { return now }, Log: zerolog.Nop(),
		SteadyClock: func() freshness.Instant { return freshness.Instant(now.Sub(start)) },
		Store: Store{ClaimLeadership: func(context.Context, string) (mapswitch.Fence, error) {
			claims++
			duringClaim(a, &now)
			return ClaimFence(int64(claims)), nil
		}},
	})
	a.setReport(Report{Group: "g", Rank: 1, Size: 12, Open: true}, nil, nil)
	a.setSettings(routes.Engine{Slots: 6})
	now = now.Add(10 * time.Second)
	a.claimIfLeaderSilent(t.Context())
	return a, &now, &claims
}

// TestRightToLeadCountsFromStartOfClaim guards against two leaders that act at the same time: the store records a
// claim, its answer takes longer than others wait for a silent leader, and one of them has claimed meanwhile.
func TestRightToLeadCountsFromStartOfClaim(t *testing.T) {
	is := is.New(t)
	a, _, claims := claimingAgent(t, func(_ *Agent, now *time.Time) { *now = now.Add(maxLeaderTimeout + time.Millisecond) })
	is.Equal(*claims, 1)
	is.True(a.currentLeader() == nil) // it gives no order and assigns no request
}

// TestClaimThatHasARivalIsDropped guards against a daemon that leads under its claim although a later claim of
// another was announced while it waited for the store's answer.
func TestClaimThatHasARivalIsDropped(t *testing.T) {
	is := is.New(t)
	rival := mesh.LeaderAnnouncement{Service: "s", Group: "g", Fence: ClaimFence(5), Rank: 2}
	a, now, claims := claimingAgent(t, func(a *Agent, now *time.Time) { a.follow("t2", rival, *now) })
	is.Equal(*claims, 1)
	is.True(!a.Leading())
	a.claimIfLeaderSilent(t.Context()) // nor does it claim again before the rival is silent
	is.Equal(*claims, 1)
	*now = now.Add(10 * time.Second)
	a.claimIfLeaderSilent(t.Context())
	is.Equal(*claims, 2)
}

// TestSupersededLeaderDoesNotClaimAgain guards against a leader that learns from a rank's report of a
// higher fence, has not heard its successor yet, and claims the leadership at once.
func TestSupersededLeaderDoesNotClaimAgain(t *testing.T) {
	is := is.New(t)
	a, now, claims := leadingAgent(t)
	for range 20 {
		*now = now.Add(readInterval)
		a.tickLeader()
	}
	a.currentLeader().handleReport("t2", mesh.RankReport{Group: "g", Rank: 2, Fence: ClaimFence(5)})
	for range 4 { // less than the time after which a silent leader counts as lost
		*now = now.Add(readInterval)
		a.tickLeader()
		a.claimIfLeaderSilent(t.Context())
	}
	is.Equal(*claims, 1)
	for waited := time.Duration(0); *claims == 1 && waited < 2*retireTime; waited += readInterval { // the successor stays silent
		*now = now.Add(readInterval)
		a.tickLeader()
		a.claimIfLeaderSilent(t.Context())
	}
	is.Equal(*claims, 2)
}

// TestRetiringLeaderStopsWhenSuccessorKnowsRanks checks that a leader goes on assigning requests while its
// successor learns the states of the ranks, and no longer.
func TestRetiringLeaderStopsWhenSuccessorKnowsRanks(t *testing.T) {
	is := is.New(t)
	a, now, _ := leadingAgent(t)
	successor := mesh.LeaderAnnouncement{Service: "s", Group: "g", Fence: ClaimFence(5), Discovering: true}
	is.True(a.follow("t2", successor, *now))
	is.True(a.Leading())
	is.True(a.currentLeader().isRetiring())
	successor.Discovering = false
	is.True(!a.follow("t2", successor, now.Add(time.Millisecond)))
	is.True(!a.Leading())
}
