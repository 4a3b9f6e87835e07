package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/routes"
)

// TestStreamMovedToEngineThatRefusesIsNotCutOff guards against a move that breaks off a running stream because the
// engine to which the leader moves it doesn't run it, though another one would.
func TestStreamMovedToEngineThatRefusesIsNotCutOff(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{}, 1)
	refuse := func(_ *entry, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	e := startWith(t, streamRoute(2), routes.Service{Name: "s", Engine: &routes.Engine{Slots: 4}}, slowEvents(cancelled), refuse, remainingEvents)
	e.startLeader(t, 200*time.Millisecond)
	status, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}
