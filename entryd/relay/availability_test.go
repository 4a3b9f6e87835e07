package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/routes"
)

// TestLeavingTargetGetsNoMoreRequests guards against sending requests to a target that said in an
// answer that it leaves, before the registry says so.
func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	is := is.New(t)
	for range 4 { // the first target is chosen at random
		e := start(t, atMostOnce(), func(e *entry, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Leaving", "1")
			serve("t0")(e, w, r)
		}, serve("t1"))
		for range 20 {
			status, _, _, err := e.call(t, http.MethodPost, "/r/x", "key")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
		}
		toLeaving := 0
		for _, run := range e.runs {
			if run == "t0 a1" {
				toLeaving++
			}
		}
		is.True(toLeaving <= 1)
	}
}

// TestLeaderDoesNotPlaceAtLeavingEngine checks that a slot at an engine that leaves is not used.
func TestLeaderDoesNotPlaceAtLeavingEngine(t *testing.T) {
	is := is.New(t)
	e := startWith(t, streamRoute(2), routes.Service{Name: "s", Engine: &routes.Engine{Slots: 4}}, func(e *entry, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Leaving", "1")
		serve("t0")(e, w, r)
	}, serve("t1"))
	e.startLeader(t, time.Hour) // grants all slots at t0
	for range 5 {
		_, _, _, err := e.call(t, http.MethodPost, "/r/x", "key")
		is.NoErr(err)
	}
	is.Equal(e.runs, []string{"t0 a1", "t1 a1", "t1 a1", "t1 a1", "t1 a1"})
}
