package rankagent_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNewLeaderDoesNotAnnounceOpenGroupAsClosed guards against a new leader that announces its
// group as closed before it has received reports of its ranks. Entries refuse requests of a closed
// group.
func TestNewLeaderDoesNotAnnounceOpenGroupAsClosed(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newFakeGroup(30 * time.Millisecond)
	g.start(t, ctx)
	announcements, closed := 0, 0
	for deadline := time.Now().Add(5 * time.Second); announcements < 3 && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
		g.mu.Lock()
		announcements, closed = g.announcements, g.closedAnnouncements
		g.mu.Unlock()
	}
	is.True(announcements >= 3)
	is.Equal(closed, 0)
}

// awaitAnnouncement waits until the entry has heard that the group is open, or closed, and returns
// whether it has within the time limit.
func (g *fakeGroup) awaitAnnouncement(open bool, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		g.mu.Lock()
		heard := g.announcements > 0 && g.lastAnnouncedOpen == open
		g.mu.Unlock()
		if heard {
			return true
		}
	}
	return false
}

// TestGroupClosesWhenEngineDies guards against a leader that keeps granting slots until the other
// ranks, which wait for the dead one, report that their group is broken. A rank whose engine stays
// away must not keep a group closed that has been formed again without it.
func TestGroupClosesWhenEngineDies(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newFakeGroup(30 * time.Millisecond)
	g.start(t, ctx)
	setRefusing := func(rank int, refusing bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.refusing[rank] = refusing
	}
	is.True(g.awaitAnnouncement(true, 5*time.Second))
	setRefusing(2, true)
	is.True(g.awaitAnnouncement(false, 500*time.Millisecond))
	setRefusing(2, false)
	is.True(g.awaitAnnouncement(true, 500*time.Millisecond))
	setRefusing(3, true)
	is.True(g.awaitAnnouncement(false, 500*time.Millisecond))
	g.mu.Lock()
	for i := range g.engines[:3] {
		g.engines[i].view.Epoch++
	}
	g.mu.Unlock()
	is.True(g.awaitAnnouncement(true, time.Second))
}

// TestEnginesOfOtherGroupsAreNotPolled guards against a leader that takes the hosts of other groups, which
// never report to it, for silent ones, and keeps reading their engines. Such reads are paid for.
func TestEnginesOfOtherGroupsAreNotPolled(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newFakeGroup(30 * time.Millisecond)
	g.otherGroup = true
	g.start(t, ctx)
	is.True(g.awaitAnnouncement(true, 5*time.Second))
	time.Sleep(2 * time.Second) // real time, since daemons run on the real clock
	g.mu.Lock()
	defer g.mu.Unlock()
	is.True(g.otherReads <= 4) // a few leaders may follow one another at the start
}
