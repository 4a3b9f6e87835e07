package relay_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/entryd/relay"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/routes"
)

// TestTargetOutOfReachIsNotTakenForDead guards against a sound request that all entries refuse for ten minutes, since
// two of its targets were cut off while they ran it. If they turn out to have restarted, it is refused.
func TestTargetOutOfReachIsNotTakenForDead(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		is := is.New(t)
		cutOff := func(_, _ string, _ time.Duration) (net.Conn, error) { return nil, os.ErrDeadlineExceeded }
		strikes := 0
		var losing atomic.Bool
		losing.Store(true)
		lose := func(e *entry, w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if losing.Load() {
				panic(http.ErrAbortHandler)
			}
			serve("t0")(e, w, r)
		}
		route := routes.Route{Repeat: routes.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second}
		e := startConfigured(t, route, routes.Service{Name: "s"}, func(c *relay.Config) {
			c.Dial, c.OnStrike = cutOff, func(quarantine.Strike) { strikes++ }
		}, lose, lose)
		_, _, _, err := e.call(t, http.MethodGet, "/r/x", "key")
		is.NoErr(err)
		is.Equal(strikes, 0)
		losing.Store(false)
		status, _, _, err := e.call(t, http.MethodGet, "/r/x", "key")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		if restarts {
			e.restarted.Store(true)
			time.Sleep(300 * time.Millisecond) // the registry snapshot must be old enough for a refresh
			e.view.RefreshTargets(t.Context())
			is.Equal(strikes, 1) // of the target that has restarted
		}
	}
}

// TestDeathDuringCutIsKnownAfterwards guards against a prompt part that kills a second target, because the
// first one died while the entry that had sent the request was cut off from it and saw no refused connection.
func TestDeathDuringCutIsKnownAfterwards(t *testing.T) {
	for name, test := range map[string]struct {
		restarts, answered bool
		status             int
	}{
		"target restarts":                     {true, false, http.StatusServiceUnavailable},
		"target lives behind the cut":         {false, false, http.StatusOK},
		"part was answered since it was sent": {true, true, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cutOff := func(_, _ string, _ time.Duration) (net.Conn, error) { return nil, os.ErrDeadlineExceeded }
			route := routes.Route{Repeat: routes.Stream, MaxAttempts: 1, Timeout: 2 * time.Second}
			e := startConfigured(t, route, routes.Service{Name: "s"}, func(c *relay.Config) { c.Dial = cutOff }, func(e *entry, w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Id") != "lost" {
					streamEvents("t0", 7)(e, w, r)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				panic(http.ErrAbortHandler)
			})
			status, _ := e.callWithParts(t, "lost", poisonPart)
			is.Equal(status, http.StatusBadGateway)
			if test.answered {
				status, _ = e.callWithParts(t, "sound", poisonPart)
				is.Equal(status, http.StatusOK)
			}
			e.restarted.Store(test.restarts)
			time.Sleep(300 * time.Millisecond) // the registry snapshot must be old enough for a refresh
			e.view.RefreshTargets(t.Context())
			time.Sleep(100 * time.Millisecond) // the other entries are asked first
			status, _ = e.callWithParts(t, "next", poisonPart)
			is.Equal(status, test.status)
		})
	}
}
