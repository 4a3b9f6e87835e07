package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/routes"
)

const (
	soundPart  = "a1"
	poisonPart = "dead"
)

// dieOn returns a target that streams an answer, but dies when it begins to answer a request
// with the part.
func dieOn(part string, deaths *atomic.Int64) func(e *entry, w http.ResponseWriter, r *http.Request) {
	return func(e *entry, w http.ResponseWriter, r *http.Request) {
		if !slices.Contains(strings.Fields(r.Header.Get("Parts")), part) {
			streamEvents("sound", 7)(e, w, r)
			return
		}
		e.recordRun("died", r)
		deaths.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
		if server, ok := r.Context().Value(http.ServerContextKey).(*http.Server); ok {
			go func() { _ = server.Close() }()
		}
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			time.Sleep(30 * time.Millisecond) // so that the listener closes before the connection
			_ = conn.Close()
		}
	}
}

// callWithParts sends a request with a prompt of its own that has the shared parts.
func (e *entry) callWithParts(t *testing.T, id string, parts ...string) (int, http.Header) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.server.URL+"/r/x", strings.NewReader("prompt "+id))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", id)
	r.Header.Set("Key", "key")
	r.Header.Set("Parts", strings.Join(parts, " "))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header
}

// TestSharedPartThatKillsTargetsIsQuarantined guards against requests that share nothing but one
// prompt part, which kills each target that begins to answer it, and that kill one target after
// another.
func TestSharedPartThatKillsTargetsIsQuarantined(t *testing.T) {
	is := is.New(t)
	var deaths atomic.Int64
	target := dieOn(poisonPart, &deaths)
	route := routes.Route{Repeat: routes.Stream, Resumable: true, MaxAttempts: 2, Timeout: 2 * time.Second}
	e := start(t, route, target, target, target, target, target, target)
	status, _ := e.callWithParts(t, "s0", soundPart)
	is.Equal(status, http.StatusOK)
	var header http.Header
	for i := range 5 {
		status, header = e.callWithParts(t, fmt.Sprint("d", i), soundPart, poisonPart)
	}
	is.True(deaths.Load() <= 2)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(header.Get("Retry-After") != "")
	status, _ = e.callWithParts(t, "s1", soundPart)
	is.Equal(status, http.StatusOK) // the part that the sound requests share with them is not quarantined
}
