package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/routes"
)

// freeAddress returns a loopback address for datagrams.
func freeAddress(t testing.TB) string {
	t.Helper()
	probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = probe.Close() }()
	return probe.LocalAddr().String()
}

// startLeader starts a leader for the entry's group. It grants every request a slot at the
// first target and moves movable requests to the second target after the given time.
func (e *entry) startLeader(t *testing.T, after time.Duration) {
	t.Helper()
	is := is.New(t)
	hosts := []mesh.Host{e.mesh.Self(), {Name: "leader", Role: mesh.RoleTarget, Address: freeAddress(t), Zone: "z", Engine: "unused"}}
	var m *mesh.Mesh
	m, err := mesh.Listen(mesh.Config{
		Self: hosts[1], PeerTimeout: time.Second, Now: time.Now, Log: zerolog.Nop(),
		Handle: func(from mesh.Host, message mesh.Message) {
			a := message.SlotRequest
			if a == nil {
				return
			}
			m.Send(from.Name, mesh.Message{SlotResponse: &mesh.SlotResponse{ID: a.ID, Engine: e.addresses[0]}})
			if !a.Movable {
				return
			}
			// The move is sent three times, as it is when datagrams are lost.
			for i := range 3 {
				time.AfterFunc(after+time.Duration(i)*20*time.Millisecond, func() {
					m.Send(from.Name, mesh.Message{SlotResponse: &mesh.SlotResponse{ID: a.ID, Engine: e.addresses[1], Moved: true}})
				})
			}
		},
	})
	is.NoErr(err)
	go m.Run(t.Context())
	list := mesh.Directory{
		Register: func(context.Context, mesh.Host) error { return nil },
		Hosts:    func(context.Context) ([]mesh.Host, error) { return hosts, nil },
	}
	go m.Join(t.Context(), list)
	go e.mesh.Join(t.Context(), list)
	for i := 0; len(m.Known(mesh.RoleEntry)) == 0 && i < 200; i++ {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(len(m.Known(mesh.RoleEntry)) > 0)
	e.slots.Handle(hosts[1], mesh.Message{LeaderAnnouncement: &mesh.LeaderAnnouncement{Service: "s", Group: "g", Fence: 1, Open: true}})
}

// slowEvents sends one event and then waits until its request is cancelled, like an engine
// that slows its group down.
func slowEvents(cancelled chan<- struct{}) func(e *entry, w http.ResponseWriter, r *http.Request) {
	return func(e *entry, w http.ResponseWriter, r *http.Request) {
		e.recordRun("slow", r)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		cancelled <- struct{}{}
	}
}

func remainingEvents(e *entry, w http.ResponseWriter, r *http.Request) {
	e.recordRun("fast", r)
	w.Header().Set("Content-Type", "text/event-stream")
	if r.Header.Get("After") != "1" {
		_, _ = fmt.Fprint(w, "id: 1\ndata: a\n\n")
	}
	_, _ = fmt.Fprint(w, "id: 2\ndata: b\n\n")
}

func streamRoute(attempts int) routes.Route {
	return routes.Route{Repeat: routes.Stream, Resumable: true, MaxAttempts: attempts, Timeout: 2 * time.Second}
}

// TestMovedStreamResumesAtNewEngine covers a rank that becomes slow in the middle of a
// stream: the caller must get each event once, and the request at the slow engine must be
// cancelled at once.
func TestMovedStreamResumesAtNewEngine(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{}, 1)
	e := startWith(t, streamRoute(2), routes.Service{Name: "s", Engine: &routes.Engine{Slots: 4}}, slowEvents(cancelled), remainingEvents)
	e.startLeader(t, 200*time.Millisecond)
	startedAt := time.Now()
	status, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	is.True(time.Since(startedAt) < time.Second)
	<-cancelled
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal(strings.Join(e.runs, ","), "slow a1,fast a1")
}

// TestSingleAttemptRequestIsNotMoved checks that a request whose route allows one attempt
// is not offered for a move.
func TestSingleAttemptRequestIsNotMoved(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{}, 1)
	e := startWith(t, streamRoute(1), routes.Service{Name: "s", Engine: &routes.Engine{Slots: 4}}, slowEvents(cancelled), remainingEvents)
	e.startLeader(t, 100*time.Millisecond)
	_, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
	is.True(err != nil) // cut off at the route's timeout
	is.Equal(body, "id: 1\ndata: a\n\n")
	<-cancelled
	is.Equal(e.runCount(), 1)
}

// TestEntryAvoidsSlowRanksWithoutResponse guards against requests at a slow rank when the
// leader's responses are lost: a single request there would slow down all ranks.
func TestEntryAvoidsSlowRanksWithoutResponse(t *testing.T) {
	is := is.New(t)
	e := startWith(t, streamRoute(2), routes.Service{Name: "s", Engine: &routes.Engine{Slots: 4}}, serve("slow"), serve("fast"))
	e.slots.Handle(mesh.Host{Name: "leader"}, mesh.Message{LeaderAnnouncement: &mesh.LeaderAnnouncement{Service: "s", Group: "g", Fence: 1, Open: true, SlowEngines: e.addresses[:1]}})
	for range 6 {
		_, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
		is.NoErr(err)
		is.Equal(body, "answer of fast")
	}
}

// TestRefusedRequestReturnsWhenGroupIsOpen guards against a retry-after that ends while the group is
// still closed, so that the caller is refused a second time.
func TestRefusedRequestReturnsWhenGroupIsOpen(t *testing.T) {
	is := is.New(t)
	e := startWith(t, streamRoute(2), routes.Service{Name: "s", Engine: &routes.Engine{Slots: 4}}, serve("t0"))
	e.slots.Handle(mesh.Host{Name: "leader"}, mesh.Message{LeaderAnnouncement: &mesh.LeaderAnnouncement{Service: "s", Group: "g", Fence: 1, OpensInMS: 3000}})
	status, header, _, err := e.call(t, http.MethodPost, "/r/x", "key")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	retryAfter, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(retryAfter > 2.5 && retryAfter < 5)
	is.Equal(e.runCount(), 0)
}
