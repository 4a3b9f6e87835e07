package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/entryd/relay"
	"camphormill.dev/parts/routes"
)

func serve(name string) func(e *entry, w http.ResponseWriter, r *http.Request) {
	return func(e *entry, w http.ResponseWriter, r *http.Request) {
		e.recordRun(name, r)
		w.Header().Set("Seal", name)
		_, _ = io.WriteString(w, "answer of "+name)
	}
}

// dropConnection runs the request and closes the connection without a response.
func dropConnection(name string) func(e *entry, w http.ResponseWriter, r *http.Request) {
	return func(e *entry, w http.ResponseWriter, r *http.Request) {
		e.recordRun(name, r)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}
}

func refuseNotRun(_ *entry, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func atMostOnce() routes.Route {
	return routes.Route{Repeat: routes.AtMostOnce, MaxAttempts: 2, Timeout: 2 * time.Second}
}

func TestResponsePassesUnchangedWithoutKey(t *testing.T) {
	is := is.New(t)
	e := start(t, atMostOnce(), serve("t0"))
	status, header, body, err := e.call(t, http.MethodPost, "/r/a%2Fb?q=1", "key")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, "answer of t0")
	is.Equal(header.Get("Seal"), "t0")
	seen := e.seen[0]
	is.Equal(seen.RequestURI, "/r/a%2Fb?q=1")
	is.Equal(seen.Header.Get("Key"), "") // a key must not reach a target
	is.Equal(seen.Header.Get("Customer"), "clerks")
	is.Equal(seen.Header.Get("Only"), "t0")
}

func TestUnknownKeyAndRouteAreRejected(t *testing.T) {
	is := is.New(t)
	e := start(t, atMostOnce(), serve("t0"))
	status, _, _, _ := e.call(t, http.MethodPost, "/r/x", "wrong")
	is.Equal(status, http.StatusUnauthorized)
	status, _, _, _ = e.call(t, http.MethodPost, "/other/", "key")
	is.Equal(status, http.StatusNotFound)
	is.Equal(e.runCount(), 0)
}

// TestLostResponseIsNotRetried guards against a second run of an at-most-once request: its
// target runs it and closes the connection without a response. The caller must not be told
// that the request did not run.
func TestLostResponseIsNotRetried(t *testing.T) {
	is := is.New(t)
	e := start(t, atMostOnce(), dropConnection("t0"), dropConnection("t1"))
	status, header, _, _ := e.call(t, http.MethodPost, "/r/x", "key")
	is.Equal(status, http.StatusBadGateway)
	is.Equal(header.Get("Retry-After"), "")
	is.Equal(e.runCount(), 1)
}

// TestRefusedRequestIsRetriedOnAnotherTarget guards against giving up when one target did
// not run the request and another would.
func TestRefusedRequestIsRetriedOnAnotherTarget(t *testing.T) {
	is := is.New(t)
	for range 10 { // the first target is chosen at random
		e := start(t, atMostOnce(), refuseNotRun, serve("t1"))
		status, _, body, _ := e.call(t, http.MethodPost, "/r/x", "key")
		is.Equal(status, http.StatusOK)
		is.Equal(body, "answer of t1")
		is.Equal(e.runCount(), 1)
	}
}

// TestRefusalByAllTargetsReturnsRetryAfter checks that a request no target ran is answered
// with 503 and retry-after.
func TestRefusalByAllTargetsReturnsRetryAfter(t *testing.T) {
	is := is.New(t)
	e := start(t, atMostOnce(), refuseNotRun, refuseNotRun)
	status, header, _, _ := e.call(t, http.MethodPost, "/r/x", "key")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	is.Equal(e.runCount(), 0)
}

func TestIdempotentRequestIsRetriedAfterLostResponse(t *testing.T) {
	is := is.New(t)
	for range 10 {
		e := start(t, routes.Route{Repeat: routes.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second}, dropConnection("t0"), serve("t1"))
		status, _, body, _ := e.call(t, http.MethodGet, "/r/x", "key")
		is.Equal(status, http.StatusOK)
		is.Equal(body, "answer of t1")
	}
}

// streamEvents writes events 1 to 6, from the one after the After header on. After
// stopAfter events it cuts the stream off in the middle of the next event.
func streamEvents(name string, stopAfter int) func(e *entry, w http.ResponseWriter, r *http.Request) {
	return func(e *entry, w http.ResponseWriter, r *http.Request) {
		e.recordRun(name, r)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Seal", name)
		from := 1
		if after := r.Header.Get("After"); after != "" {
			_, _ = fmt.Sscan(after, &from)
			from++
		}
		for id := from; id <= 6; id++ {
			if id-from == stopAfter {
				_, _ = fmt.Fprintf(w, "id: %d\nda", id) // in the middle of an event
				_ = http.NewResponseController(w).Flush()
				conn, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					_ = conn.Close()
				}
				return
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// TestBrokenStreamResumesOnAnotherTarget guards against duplicate and missing events when
// a stream is cut off and resumed on another target.
func TestBrokenStreamResumesOnAnotherTarget(t *testing.T) {
	is := is.New(t)
	route := routes.Route{Repeat: routes.Stream, Resumable: true, MaxAttempts: 2, Timeout: 3 * time.Second}
	e := start(t, route, streamEvents("t0", 3), streamEvents("t1", 3))
	status, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	want := ""
	for id := 1; id <= 6; id++ {
		want += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	}
	is.Equal(body, want)
	is.Equal(e.runCount(), 2)
}

// TestBrokenStreamWithoutResumeEndsWithError guards against a cut-off stream that looks
// complete to the caller when its route does not allow a resume.
func TestBrokenStreamWithoutResumeEndsWithError(t *testing.T) {
	is := is.New(t)
	e := start(t, routes.Route{Repeat: routes.Stream, MaxAttempts: 2, Timeout: 3 * time.Second}, streamEvents("t0", 3), streamEvents("t1", 3))
	_, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
	is.True(err != nil) // the body must not end like a complete one
	is.Equal(strings.Count(body, "data"), 3)
	is.Equal(e.runCount(), 1)
}

// TestRouteTimeoutEndsRequest checks that the caller is answered when the route's timeout
// has passed, although the target is still running the request.
func TestRouteTimeoutEndsRequest(t *testing.T) {
	is := is.New(t)
	slow := func(e *entry, w http.ResponseWriter, r *http.Request) {
		e.recordRun("t0", r)
		select {
		case <-r.Context().Done():
		case <-time.After(3 * time.Second):
		}
	}
	route := atMostOnce()
	route.Timeout = 200 * time.Millisecond
	e := start(t, route, slow)
	startedAt := time.Now()
	status, _, _, _ := e.call(t, http.MethodPost, "/r/x", "key")
	is.Equal(status, http.StatusGatewayTimeout)
	is.True(time.Since(startedAt) < 600*time.Millisecond)
}

// TestStaleRoutesRejectKeyedRequests guards against serving a revoked key while the store
// is unreachable: once the routes' freshness proof is too old, requests are refused until
// the store is back.
func TestStaleRoutesRejectKeyedRequests(t *testing.T) {
	is := is.New(t)
	e := start(t, atMostOnce(), serve("t0"))
	e.storeDown.Store(true)
	deadline := time.Now().Add(3 * time.Second)
	status := http.StatusOK
	var header http.Header
	for status == http.StatusOK && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
		status, header, _, _ = e.call(t, http.MethodPost, "/r/x", "key")
	}
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	e.storeDown.Store(false)
	for status != http.StatusOK && time.Now().Before(deadline.Add(3*time.Second)) {
		time.Sleep(20 * time.Millisecond)
		status, _, _, _ = e.call(t, http.MethodPost, "/r/x", "key")
	}
	is.Equal(status, http.StatusOK) // served again once the store is back
}

// TestRequestThatKillsTargetsIsQuarantined guards against a request that kills each target
// that runs it while its caller keeps repeating it.
func TestRequestThatKillsTargetsIsQuarantined(t *testing.T) {
	is := is.New(t)
	killServer := func(name string) func(e *entry, w http.ResponseWriter, r *http.Request) {
		return func(e *entry, w http.ResponseWriter, r *http.Request) {
			e.recordRun(name, r)
			if server, ok := r.Context().Value(http.ServerContextKey).(*http.Server); ok {
				go func() { _ = server.Close() }()
			}
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				time.Sleep(30 * time.Millisecond) // so that the listener closes before the connection
				_ = conn.Close()
			}
		}
	}
	route := routes.Route{Repeat: routes.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second}
	e := start(t, route, killServer("t0"), killServer("t1"), killServer("t2"), killServer("t3"), killServer("t4"))
	for range 4 {
		_, _, _, _ = e.call(t, http.MethodGet, "/r/x", "key")
	}
	is.True(e.runCount() <= 2) // two strikes quarantine the request
}

// TestCallerDisconnectCancelsTargetRequest guards against a target that keeps running a
// request whose caller has disconnected.
func TestCallerDisconnectCancelsTargetRequest(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	e := start(t, atMostOnce(), func(e *entry, _ http.ResponseWriter, r *http.Request) {
		e.recordRun("t0", r)
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL+"/r/x", nil)
	is.NoErr(err)
	r.Host = "h"
	r.Header.Set("Key", "key")
	go func() {
		response, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	for i := 0; e.runCount() == 0 && i < 200; i++ {
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(time.Second):
		is.Fail() // the target is still running the request
	}
}

// TestRestartedTargetIsFoundImmediately guards against refusals until the next regular
// read of the registry when the only target has restarted at its address under a new ID.
func TestRestartedTargetIsFoundImmediately(t *testing.T) {
	is := is.New(t)
	e := start(t, atMostOnce(), func(e *entry, w http.ResponseWriter, r *http.Request) {
		if e.restarted.Load() && r.Header.Get("Only") != "t0b" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		serve("t0b")(e, w, r)
	})
	time.Sleep(250 * time.Millisecond) // the registry snapshot must be old enough for a refresh
	e.restarted.Store(true)
	status, _, _, _ := e.call(t, http.MethodPost, "/r/x", "key")
	is.Equal(status, http.StatusOK)
	is.Equal(e.runCount(), 1)
}

// TestDrainingEntryRefusesStreams checks that an entry about to stop refuses requests
// whose responses it would cut off, with a short retry-after, and still serves other
// requests.
func TestDrainingEntryRefusesStreams(t *testing.T) {
	is := is.New(t)
	e := startWith(t, streamRoute(2), routes.Service{Name: "s", Engine: &routes.Engine{Slots: 4}}, serve("t0"))
	e.relay.StartDrain(relay.Drain{CutOff: time.Now().Add(1900 * time.Millisecond), OnlyKnownFrom: time.Now()})
	status, header, _, err := e.call(t, http.MethodPost, "/r/x", "key")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(header.Get("Retry-After"), "0.01")
	is.Equal(e.runCount(), 0)
	e = start(t, routes.Route{Repeat: routes.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second}, serve("t0"))
	e.relay.StartDrain(relay.Drain{CutOff: time.Now().Add(3 * time.Second), OnlyKnownFrom: time.Now()})
	status, _, _, err = e.call(t, http.MethodGet, "/r/x", "key")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}
