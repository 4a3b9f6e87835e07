package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/mesh"
)

// TestAnsweringLeaderStaysInUse guards against an entry that stops to ask a leader whose announcements were
// lost, though the leader answers its requests for slots.
func TestAnsweringLeaderStaysInUse(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := NewSlotClient(SlotClientConfig{Now: func() time.Time { return now }, Log: zerolog.Nop()})
	leader, other := mesh.Host{Name: "t1"}, mesh.Host{Name: "t2"}
	c.Handle(leader, mesh.Message{LeaderAnnouncement: &mesh.LeaderAnnouncement{Service: "s", Group: "g", Fence: 1, Open: true}})
	now = now.Add(leaderTimeout - time.Millisecond)
	c.Handle(leader, mesh.Message{SlotResponse: &mesh.SlotResponse{ID: "a", Engine: "e"}})
	now = now.Add(2 * time.Millisecond)
	is.Equal(len(c.liveLeaders("s")), 1)
	now = now.Add(leaderTimeout)
	c.Handle(other, mesh.Message{SlotResponse: &mesh.SlotResponse{ID: "a", Engine: "e"}}) // no leader
	is.Equal(len(c.liveLeaders("s")), 0)
}
