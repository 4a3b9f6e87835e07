package relay_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"camphormill.dev/entryd/relay"
	"camphormill.dev/parts/mesh"
)

func silentMesh(t *testing.T) *mesh.Mesh {
	t.Helper()
	m, err := mesh.Listen(mesh.Config{
		Self: mesh.Host{Name: "e0", Role: mesh.RoleEntry}, Now: time.Now, Log: zerolog.Nop(),
		Socket: &mesh.Socket{Send: func([]byte, netip.AddrPort) error { return nil }},
	})
	is.New(t).NoErr(err)
	return m
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestStrangersTargetsDoNotFillLimits guards against memory that grows with the targets that peers name.
func TestStrangersTargetsDoNotFillLimits(t *testing.T) {
	is := is.New(t)
	l := relay.NewLimits(relay.LimitsConfig{Mesh: silentMesh(t), Now: time.Now, Log: zerolog.Nop()})
	before := heapBytes()
	long := strings.Repeat("x", 10<<10)
	for i := range 10_000 {
		name := fmt.Sprint("stranger-", i)
		l.Handle(mesh.Host{}, mesh.Message{TargetLimits: []mesh.TargetLimit{{Target: name, PerSecond: 1}, {Target: long + name, PerSecond: 1}}})
		l.Handle(mesh.Host{}, mesh.Message{LimitRequest: &mesh.LimitRequest{ID: "1", Target: name + "c", PerSecond: 1, Cold: true}})
		l.Handle(mesh.Host{}, mesh.Message{LimitRequest: &mesh.LimitRequest{ID: "1", Target: long + name, PerSecond: 1, Cold: true}})
	}
	after := heapBytes()
	is.True(l.Count() <= 8192)
	is.True(after < before+(16<<20))
}

// TestStrangersGroupsDoNotFillLeaders guards against memory that grows with the services and groups that peers name.
func TestStrangersGroupsDoNotFillLeaders(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := relay.NewSlotClient(relay.SlotClientConfig{Mesh: silentMesh(t), Now: func() time.Time { return now }, Log: zerolog.Nop()})
	before := heapBytes()
	long := strings.Repeat("x", 10<<10)
	for i := range 50_000 {
		name := fmt.Sprint("stranger-", i)
		c.Handle(mesh.Host{Name: name}, mesh.Message{LeaderAnnouncement: &mesh.LeaderAnnouncement{Service: name, Group: "g", Fence: 1}})
		c.Handle(mesh.Host{Name: name}, mesh.Message{LeaderAnnouncement: &mesh.LeaderAnnouncement{Service: "s", Group: name, Fence: 1}})
		if i < 5_000 {
			c.Handle(mesh.Host{Name: name}, mesh.Message{LeaderAnnouncement: &mesh.LeaderAnnouncement{Service: long + name, Group: "g", Fence: 1}})
		}
	}
	is.True(heapBytes() < before+(16<<20))
	now = now.Add(time.Hour) // the strangers are silent
	c.Handle(mesh.Host{Name: "leader"}, mesh.Message{LeaderAnnouncement: &mesh.LeaderAnnouncement{Service: "known", Group: "g", Fence: 7}})
	is.True(c.Fenced("known", "g", 6)) // a service finds room
}
