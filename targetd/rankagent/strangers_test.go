package rankagent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/rankscheduler"
)

// TestReportsOfUnknownRanksAreIgnored guards against memory that grows with the numbers of ranks in reports.
func TestReportsOfUnknownRanksAreIgnored(t *testing.T) {
	is := is.New(t)
	a, _, _ := leadingAgent(t)
	l := a.currentLeader()
	for i := range 10_000 {
		l.handle(mesh.Host{Name: "stranger"}, mesh.Message{RankReport: &mesh.RankReport{Service: "s", Group: "g", Rank: i, Size: 100_000, Open: true}})
		l.handle(mesh.Host{Name: "stranger"}, mesh.Message{RankReport: &mesh.RankReport{Service: "s", Group: "g", Rank: -i, Size: 12, Open: true}})
	}
	l.handle(mesh.Host{Name: "t11"}, mesh.Message{RankReport: &mesh.RankReport{Service: "s", Group: "g", Rank: 11, Size: 12, Open: true}})
	is.True(len(l.ranks) <= 12)
	is.Equal(l.ranks[11].host, "t11")
}

// TestRequestersWithoutSlotAreForgotten guards against memory that grows with requests whose release was lost.
func TestRequestersWithoutSlotAreForgotten(t *testing.T) {
	is := is.New(t)
	a, now, _ := leadingAgent(t)
	l := a.currentLeader()
	l.scheduler.SetRanks(*now, []rankscheduler.Rank{{Engine: "e0", Slots: 60, Slowdown: 1}})
	for i := range 20_000 {
		l.handle(mesh.Host{Name: "e0"}, mesh.Message{SlotRequest: &mesh.SlotRequest{ID: fmt.Sprint("r", i), Service: "s", LatestInMS: 1 << 40, StartInMS: 1 << 40}})
	}
	l.handle(mesh.Host{Name: "e0"}, mesh.Message{SlotRequest: &mesh.SlotRequest{ID: strings.Repeat("x", 10<<10), Service: "s", LatestInMS: 1000, StartInMS: 1000}})
	for id := range l.requesterHosts {
		is.True(len(id) <= 1024)
	}
	is.True(len(l.requesterHosts) <= 16384)
	l.mu.Lock()
	defer l.mu.Unlock()
	for range 40 {
		*now = now.Add(15 * time.Second)
		l.sendDecisions(l.scheduler.Dispatch(*now))
	}
	is.Equal(len(l.requesterHosts), l.scheduler.Running()+l.scheduler.Waiting())
}
