package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/routes"
)

// beginning is what the caller has got of a stream of two events when its first target breaks it off.
const beginning = "id: 1\ndata: a\n\n"

// failures are responses with which a target doesn't resume a stream, as their status, type and body.
var failures = []struct {
	status      int
	contentType string
	body        string
}{
	{http.StatusInternalServerError, "text/plain", "error\n"},
	{http.StatusInternalServerError, "text/event-stream", "id: 2\ndata: error\n\n"},
	{http.StatusBadGateway, "", ""},
	{http.StatusGatewayTimeout, "text/plain", "too late\n"},
	{http.StatusBadRequest, "application/json", `{"error": "unknown event"}`},
	{http.StatusNotFound, "text/html", "<html></html>"},
	{http.StatusTemporaryRedirect, "", ""},
	{http.StatusOK, "application/json", "{}"},
	{http.StatusOK, "text/plain", "id: 2\ndata: b\n\n"},
	{http.StatusOK, "text/plain", strings.Repeat("x", 300<<10)}, // more than the relay buffers
	{http.StatusInternalServerError, "text/plain", strings.Repeat("x", 300<<10)},
	{http.StatusNoContent, "text/event-stream", ""},
	{http.StatusPartialContent, "text/event-stream", "id: 2\ndata: b\n\n"},
}

// fail returns a target that gives one of the failures.
func fail(name string, status int, contentType, body string) func(e *entry, w http.ResponseWriter, r *http.Request) {
	return func(e *entry, w http.ResponseWriter, r *http.Request) {
		e.recordRun(name, r)
		w.Header()["Content-Type"] = nil
		if contentType != "" {
			w.Header().Set("Content-Type", contentType)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// TestFailedResumeIsNotAppended guards against a stream that ends regularly after the response of a target
// that did not resume it, so that the caller takes a part, or an error's text, for the whole.
func TestFailedResumeIsNotAppended(t *testing.T) {
	is := is.New(t)
	for _, f := range failures {
		body, runs, err := callUntilFirst(t, streamRoute(2), sendAndBreak("first", beginning), fail("second", f.status, f.contentType, f.body))
		is.Equal(len(runs), 2)
		is.Equal(body, beginning)
		is.True(err != nil) // the response has no regular end
	}
}

// TestFailedResumeGoesOnAtAnotherTarget guards against a caller whose stream is cut off although another
// target could resume it.
func TestFailedResumeGoesOnAtAnotherTarget(t *testing.T) {
	is := is.New(t)
	for _, f := range failures {
		resumed := false
		for i := 0; i < 40 && !resumed; i++ { // targets are chosen at random
			e := start(t, streamRoute(3), sendAndBreak("first", beginning), fail("second", f.status, f.contentType, f.body), remainingEvents)
			status, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
			if strings.Join(e.runs, ",") != "first a1,second a1,fast a1" {
				continue
			}
			resumed = true
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, beginning+"id: 2\ndata: b\n\n")
		}
		is.True(resumed)
	}
}

// TestMovedStreamIsNotJoinedToError guards against the response of an engine that fails a stream moved to it,
// and that is appended to the events of the engine before.
func TestMovedStreamIsNotJoinedToError(t *testing.T) {
	is := is.New(t)
	for _, f := range failures {
		cancelled := make(chan struct{}, 1)
		e := startWith(t, streamRoute(2), routes.Service{Name: "s", Engine: &routes.Engine{Slots: 4}}, slowEvents(cancelled), fail("second", f.status, f.contentType, f.body))
		e.startLeader(t, 50*time.Millisecond)
		_, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
		is.True(err != nil)
		is.Equal(body, beginning)
		<-cancelled
	}
}

// TestFailedResumeByRawBytes is TestFailedResumeIsNotAppended for responses that net/http would not write:
// without length or chunks, broken off, or no response at all.
func TestFailedResumeByRawBytes(t *testing.T) {
	is := is.New(t)
	for _, raw := range []string{
		"HTTP/1.1 500 Internal Server Error\r\nId: a1\r\n\r\nerror\n",
		"HTTP/1.1 500 Internal Server Error\r\nId: a1\r\nContent-Length: 100\r\n\r\nerror\n",
		"HTTP/1.0 500 Internal Server Error\r\nId: a1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: a1\r\n\r\nid: 2\ndata: b\n\n",
		"HTTP/1.1 200 OK\r\nId: a1\r\nContent-Type: text/event-stream\r\n\r\nHTTP/1.1 500 Internal Server Error\r\n",
		"error\n",
		"",
	} {
		second := respondRaw("second", func(conn net.Conn, _ string) { _, _ = fmt.Fprint(conn, raw) })
		body, runs, err := callUntilFirst(t, streamRoute(2), sendAndBreak("first", beginning), second)
		is.Equal(len(runs), 2)
		is.Equal(body, beginning)
		is.True(err != nil)
	}
}
