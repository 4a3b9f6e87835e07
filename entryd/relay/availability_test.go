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

// TestTargetIsLeftAloneForItsRetryAfter guards against requests to a target within the time for which it
// wants none, and checks that it gets requests again afterwards. A request that no other target can
// serve is refused at once and told when to come back.
func TestTargetIsLeftAloneForItsRetryAfter(t *testing.T) {
	is := is.New(t)
	const pause = 400 * time.Millisecond
	var refusedAt time.Time
	early := 0
	e := start(t, atMostOnce(), func(e *entry, w http.ResponseWriter, r *http.Request) {
		if refusedAt.IsZero() {
			refusedAt = time.Now()
			w.Header().Set("Not-Run", "1")
			w.Header().Set("Retry-After", "0.4")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if time.Since(refusedAt) < pause {
			early++
		}
		serve("t0")(e, w, r)
	})
	for range 5 {
		status, header, _, _ := e.call(t, http.MethodPost, "/r/x", "key")
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(header.Get("Retry-After") >= "0.3" && header.Get("Retry-After") <= "0.4")
	}
	time.Sleep(time.Until(refusedAt.Add(pause + 20*time.Millisecond)))
	status, _, _, _ := e.call(t, http.MethodPost, "/r/x", "key")
	is.Equal(status, http.StatusOK)
	is.Equal(early, 0)
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
