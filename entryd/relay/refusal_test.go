package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/entryd/relay"
	"camphormill.dev/parts/routes"
)

// TestPromiseWithoutProofIsNotPassedOn guards against a target's status that tells the caller "not run, send it
// again" for a call that may not be repeated, when the target does not say that it did not run it.
func TestPromiseWithoutProofIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		run := func(proof string) func(e *entry, w http.ResponseWriter, r *http.Request) {
			return func(e *entry, w http.ResponseWriter, r *http.Request) {
				e.recordRun("t0", r)
				w.Header().Set("Seal", "t0")
				if proof != "" {
					w.Header().Set("Not-Run", proof)
				}
				w.WriteHeader(status)
			}
		}
		for _, route := range []routes.Route{
			{Repeat: routes.AtMostOnce, MaxAttempts: 2, Timeout: time.Second},
			{Repeat: routes.Stream, MaxAttempts: 2, Timeout: time.Second},
		} {
			e := start(t, route, run(""), run(""))
			got, header, _, err := e.call(t, http.MethodPost, "/r/x", "key")
			is.NoErr(err)
			is.Equal(got, http.StatusBadGateway)
			is.Equal(header.Get("Seal"), "") // it is not the target's answer
			is.Equal(header.Get("Retry-After"), "")
			is.Equal(e.runCount(), 1) // and it runs at no second target
		}
		e := start(t, routes.Route{Repeat: routes.AtMostOnce, MaxAttempts: 1, Timeout: time.Second}, run("yes"))
		got, _, _, err := e.call(t, http.MethodPost, "/r/x", "key")
		is.NoErr(err)
		is.Equal(got, http.StatusServiceUnavailable)
	}
}

// TestRequestWithoutIDGetsConnectionOfItsOwn guards against a response that can't be matched with its request, on
// a connection that has carried others.
func TestRequestWithoutIDGetsConnectionOfItsOwn(t *testing.T) {
	is := is.New(t)
	e := startConfigured(t, routes.Route{Repeat: routes.Idempotent, MaxAttempts: 1, Timeout: time.Second}, routes.Service{Name: "s"}, func(c *relay.Config) {
		read := c.Protocol.Read
		c.Protocol.Read = func(r *http.Request) relay.RequestInfo {
			info := read(r)
			info.AttemptID = ""
			return info
		}
	}, serve("t0"))
	for range 2 {
		status, _, _, err := e.call(t, http.MethodGet, "/r/x", "key")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	is.True(e.seen[0].RemoteAddr != e.seen[1].RemoteAddr)
}
