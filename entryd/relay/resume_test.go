package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/routes"
)

// sendAndBreak returns a target that sends the events and closes the connection in the middle of a chunk.
func sendAndBreak(name, events string) func(e *entry, w http.ResponseWriter, r *http.Request) {
	return func(e *entry, w http.ResponseWriter, r *http.Request) {
		e.recordRun(name, r)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, events)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// callUntilFirst sends requests until the first target has run one, since targets are chosen at random.
func callUntilFirst(t *testing.T, route routes.Route, first, second func(e *entry, w http.ResponseWriter, r *http.Request)) (body string, runs []string, err error) {
	t.Helper()
	for range 20 {
		e := start(t, route, first, second)
		_, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
		if e.runs[0] == "first a1" {
			return body, e.runs, err
		}
	}
	t.Fatal("the first target ran no request")
	return "", nil, nil
}

// TestEventWithoutIDIsNotSentTwice guards against a stream that is resumed after the last event with an ID,
// although events without one have been passed on since.
func TestEventWithoutIDIsNotSentTwice(t *testing.T) {
	is := is.New(t)
	second := func(e *entry, w http.ResponseWriter, r *http.Request) {
		e.recordRun("second", r)
		w.Header().Set("Content-Type", "text/event-stream")
		if r.Header.Get("After") == "" {
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		}
		_, _ = io.WriteString(w, "data: b\n\nid: 3\ndata: c\n\n")
	}
	const sent = "id: 1\ndata: a\n\ndata: b\n\n"
	body, runs, err := callUntilFirst(t, streamRoute(2), sendAndBreak("first", sent), second)
	is.True(err != nil)
	is.Equal(body, sent)
	is.Equal(len(runs), 1)

	const withComment = "id: 1\ndata: a\n\n: still working\n\n"
	body, _, err = callUntilFirst(t, streamRoute(2), sendAndBreak("first", withComment), second)
	is.NoErr(err) // a comment is no part of the stream, so that nothing would come twice
	is.Equal(body, withComment+"data: b\n\nid: 3\ndata: c\n\n")
}

// TestResumedStreamThatStartsAgainIsCutOff guards against a caller who gets events twice because the
// target of a resumed stream ignores where to go on.
func TestResumedStreamThatStartsAgainIsCutOff(t *testing.T) {
	is := is.New(t)
	const sent, comment = "id: 8\ndata: a\n\nid: 9\ndata: b\n\n", ": resumed\n\n"
	for _, resumedAt := range []string{"8", "9", "10", "next"} {
		second := func(e *entry, w http.ResponseWriter, r *http.Request) {
			e.recordRun("second", r)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = fmt.Fprintf(w, "%sid: %s\ndata: c\n\n", comment, resumedAt)
		}
		body, runs, err := callUntilFirst(t, streamRoute(2), sendAndBreak("first", sent), second)
		is.Equal(len(runs), 2)
		if resumedAt == "8" || resumedAt == "9" {
			is.True(err != nil)
			is.Equal(body, sent+comment)
			continue
		}
		is.NoErr(err)
		is.Equal(body, sent+comment+"id: "+resumedAt+"\ndata: c\n\n")
	}
}

// TestStreamWithoutIDsIsNotMoved guards against a stream that its entry cancels for a move, and then
// can't resume.
func TestStreamWithoutIDsIsNotMoved(t *testing.T) {
	is := is.New(t)
	steady := func(e *entry, w http.ResponseWriter, r *http.Request) {
		e.recordRun("steady", r)
		w.Header().Set("Content-Type", "text/event-stream")
		for range 8 {
			_, _ = io.WriteString(w, "data: a\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}
	e := startWith(t, streamRoute(2), routes.Service{Name: "s", Engine: &routes.Engine{Slots: 4}}, steady, serve("other"))
	e.startLeader(t, 200*time.Millisecond)
	_, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
	is.NoErr(err)
	is.Equal(len(body), 8*len("data: a\n\n"))
	is.Equal(e.runCount(), 1)
}
