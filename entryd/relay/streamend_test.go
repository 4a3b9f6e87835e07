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

// TestStreamThatEndsInsideEventIsBroken guards against a stream without a length that its target breaks
// off, and that looks complete because the connection was closed and not reset.
func TestStreamThatEndsInsideEventIsBroken(t *testing.T) {
	is := is.New(t)
	ending := func(name, events string) func(e *entry, w http.ResponseWriter, r *http.Request) {
		return respondRaw(name, func(conn net.Conn, id string) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n%s", id, events)
		})
	}
	const complete = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for range 4 {
		route := routes.Route{Repeat: routes.Stream, Resumable: true, MaxAttempts: 2, Timeout: 2 * time.Second}
		e := start(t, route, ending("t0", "id: 1\ndata: a\n\nid: 2\nda"), remainingEvents)
		status, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.Equal(body, complete)
	}
	route := routes.Route{Repeat: routes.Stream, MaxAttempts: 2, Timeout: 2 * time.Second}
	e := start(t, route, ending("t0", complete))
	_, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
	is.NoErr(err) // the connection's end between two events ends the stream
	is.Equal(body, complete)
	e = start(t, route, ending("t0", "id: 1\ndata: a\n\nid: 2\nda"))
	_, _, _, err = e.call(t, http.MethodPost, "/r/x", "key")
	is.True(err != nil)
}

// TestEmptyStreamThatEndsWithConnectionIsBroken guards against the head of a broken stream that is passed on
// as a complete stream without events.
func TestEmptyStreamThatEndsWithConnectionIsBroken(t *testing.T) {
	is := is.New(t)
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for _, test := range []struct {
		response string
		status   int
	}{
		{head + "\r\n", http.StatusBadGateway},
		{head + "Content-Length: 0\r\n\r\n", http.StatusOK},
		{head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", http.StatusOK},
	} {
		e := start(t, routes.Route{Repeat: routes.Stream, MaxAttempts: 2, Timeout: 2 * time.Second}, respondRaw("t0", func(conn net.Conn, _ string) {
			_, _ = io.WriteString(conn, test.response)
		}))
		status, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
		is.NoErr(err)
		is.Equal(status, test.status)
		is.Equal(body, "")
	}
}

// TestEventWithLineOfBufferSizeIsNotSplit guards against an event that is passed on in two parts, and
// resumed after the first, because one of its lines fills the reader's buffer exactly.
func TestEventWithLineOfBufferSizeIsNotSplit(t *testing.T) {
	is := is.New(t)
	for _, buffer := range []int{2 << 10, 4 << 10, 8 << 10} {
		first := "id: 1\ndata: " + strings.Repeat("x", buffer-len("data: ")) + "\n"
		events := []string{first + "data: end\n\n", "id: 2\ndata: b\n\n"}
		fleet := startFramingFleet(t, streamRoute(2))
		for _, framing := range []string{byLength, byChunks, byConnection} {
			id := fleet.newID()
			raw := newRawResponse(framing, id, "text/event-stream", events)
			got := fleet.call(t, id, "HTTP/1.1", cutResponse{rawResponse: raw, cut: raw.cutAfter(len(first)), ending: endClose}, events)
			is.NoErr(got.err)
			is.Equal(got.body, strings.Join(events, ""))
		}
	}
}

// TestHeadOfStreamIsComplete guards against the response to a HEAD request, which never has a body, that is
// taken for a broken stream.
func TestHeadOfStreamIsComplete(t *testing.T) {
	is := is.New(t)
	e := start(t, routes.Route{Repeat: routes.Stream, MaxAttempts: 2, Timeout: 2 * time.Second}, respondRaw("t0", func(conn net.Conn, _ string) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
	}))
	status, _, _, err := e.call(t, http.MethodHead, "/r/x", "key")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

// TestEventStreamIsBrokenOnAnyRoute guards against an event stream that ends inside an event and looks
// complete, because its route is none for streams or its content type is spelled in capitals.
func TestEventStreamIsBrokenOnAnyRoute(t *testing.T) {
	is := is.New(t)
	large := strings.Repeat("id: 1\ndata: "+strings.Repeat("x", 1000)+"\n\n", 300)
	for _, repeat := range []routes.RepeatPolicy{routes.AtMostOnce, routes.Idempotent, routes.Stream} {
		for _, contentType := range []string{"text/event-stream", "Text/Event-Stream; charset=UTF-8"} {
			for _, test := range []struct {
				body   string
				broken bool
			}{
				{"", true},
				{"id: 1\ndata: a\n", true},
				{"id: 1\ndata: a\n\nid: 2\n", true},
				{"id: 1\ndata: a\n\n", false},
				{"id: 1\r\ndata: a\r\n\r\n", false},
				{large, false},
				{large + "id: 2", true},
				{large + "\n", false},
			} {
				e := start(t, routes.Route{Repeat: repeat, MaxAttempts: 1, Timeout: 2 * time.Second}, respondRaw("t0", func(conn net.Conn, _ string) {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n\r\n%s", contentType, test.body)
				}))
				status, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
				is.Equal(err != nil || status != http.StatusOK, test.broken)
				if !test.broken {
					is.Equal(body, test.body)
				}
			}
		}
	}
}

// TestResponseOfDyingTargetIsBroken guards against a response without length or chunks that ends because
// its target dies, which closes the connection like its regular end.
func TestResponseOfDyingTargetIsBroken(t *testing.T) {
	is := is.New(t)
	dying := func(header, body string) func(e *entry, w http.ResponseWriter, r *http.Request) {
		return func(e *entry, w http.ResponseWriter, r *http.Request) {
			server := r.Context().Value(http.ServerContextKey).(*http.Server)
			respondRaw("t0", func(conn net.Conn, _ string) {
				_ = server.Close() // leaves conn open
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", header, body)
			})(e, w, r)
		}
	}
	const event, stream, large = "id: 1\ndata: a\n\n", "Content-Type: text/event-stream\r\n", 300 << 10
	for _, test := range []struct {
		repeat       routes.RepeatPolicy
		header, body string
		status       int
		broken       bool
	}{
		{routes.Stream, stream, event, http.StatusOK, true},
		{routes.Stream, stream + "Leaving: 1\r\n", event, http.StatusOK, false},
		{routes.Stream, stream + "Content-Length: 15\r\n", event, http.StatusOK, false},
		{routes.AtMostOnce, "", "confirmed", http.StatusBadGateway, false},
		{routes.AtMostOnce, "Leaving: 1\r\n", "confirmed", http.StatusOK, false},
		{routes.AtMostOnce, "", strings.Repeat("x", large), http.StatusOK, true},
	} {
		e := start(t, routes.Route{Repeat: test.repeat, MaxAttempts: 1, Timeout: 2 * time.Second}, dying(test.header, test.body))
		status, _, _, err := e.call(t, http.MethodPost, "/r/x", "key")
		is.Equal(status, test.status)
		is.Equal(err != nil, test.broken)
	}
	for range 4 { // the first target is chosen at random
		e := start(t, streamRoute(2), dying(stream, event), remainingEvents)
		_, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
		is.NoErr(err)
		is.Equal(body, event+"id: 2\ndata: b\n\n")
	}
}
