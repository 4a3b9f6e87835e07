package stops

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	completions = "/v1/completions"
	call        = "/v1/services/" + service + "/confirmations/17"
	draft       = `{"model":"` + model + `","prompt":"p"}`
	stream      = `{"model":"` + model + `","prompt":"p","stream":true}`
)

// TestStopOfEntryBesideSilentEnginesAnswersEverything guards against an entry that ends at the end of its stop time without
// an answer to requests that it has accepted.
func TestStopOfEntryBesideSilentEnginesAnswersEverything(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	drafts := &engine{}
	drafts.run = func(r *http.Request, _ string, events func(int, int)) {
		events(0, 2)
		<-r.Context().Done()
	}
	calls := &engine{}
	f.startTarget("drafts", "draft", model, "5s", drafts)
	f.startTarget("calls", "service", service, "5s", calls)
	entry := f.startEntry("entry", "3s")
	entry.awaitStatus(http.StatusOK)
	entry.awaitTargets(2)
	reserved := entry.send("POST", "/v1/reservations", `{"service":"`+service+`"}`)
	is.Equal(reserved.status, http.StatusCreated)

	begun := entry.sendAsync("POST", completions, stream)
	running := map[string]<-chan response{
		"draft":             entry.sendAsync("POST", completions, draft),
		"read":              entry.sendAsync("GET", call, ""),
		"call":              entry.sendAsync("POST", call, "{}"),
		"call with key":     entry.sendAsync("POST", call, "{}", "Idempotency-Key", "k"),
		"call, reservation": entry.sendAsync("POST", call, "{}", "Camphormill-Reservation", reserved.Reservation),
	}
	incomplete := entry.sendIncomplete(is)
	eventually(t, "engines have not got all", func() bool { return drafts.runs() == 2 && calls.runs() == 4 })
	entry.signal()
	entry.awaitStatus(http.StatusServiceUnavailable)

	refused := entry.send("POST", completions, draft, "Camphormill-Timeout-Ms", longTimeout)
	is.NoErr(refused.err)
	is.Equal([]string{refused.Outcome, refused.Kind}, []string{"not_run", "leaving"})
	is.True(!refused.RetryAt.IsZero())
	is.Equal(drafts.runs(), 2)
	refused = entry.send("POST", call, "{}", "Camphormill-Timeout-Ms", longTimeout, "Idempotency-Key", "k2")
	is.Equal([]string{refused.Outcome, refused.Kind}, []string{"unknown", "leaving"})
	accepted := entry.send("POST", call, "{}", "Camphormill-Timeout-Ms", "300")
	is.Equal(accepted.Outcome, "unknown") // at its deadline
	is.Equal(calls.runs(), 5)

	for name, answer := range running {
		got := <-answer
		t.Log(name, got.status, got.Kind)
		is.NoErr(got.err)
		is.True(got.status >= http.StatusInternalServerError)
		is.Equal([]string{got.Outcome, got.Kind}, []string{"unknown", "leaving"})
	}
	got := <-begun
	is.Equal(got.status, http.StatusOK)
	is.True(got.err != nil) // no regular end
	is.Equal(strings.Count(got.body, `"text":"w`), 2)
	is.True(strings.Contains(got.body, "event: error"))
	is.True(strings.Contains(<-incomplete, `"outcome":"not_run","kind":"leaving"`))
	is.Equal(entry.exitCode(), 1)
}

// sendIncomplete sends a request without the end of its body, and returns the response.
func (d *daemon) sendIncomplete(is *is.I) <-chan string {
	conn, err := net.Dial("tcp", strings.TrimPrefix(d.callers, "http://"))
	is.NoErr(err)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-of-muscat\r\nCamphormill-Timeout-Ms: %s\r\nContent-Length: 100\r\n\r\n{",
		completions, longTimeout)
	is.NoErr(err)
	got := make(chan string, 1)
	go func() {
		defer func() { _ = conn.Close() }()
		raw, _ := io.ReadAll(conn)
		got <- string(raw)
	}()
	return got
}

// TestStopsOfTargetsLeaveRequestsToOthers guards against targets that end at the end of their stop time without an answer to
// what they run, so that the entry takes their ends for deaths by the request and quarantines it.
func TestStopsOfTargetsLeaveRequestsToOthers(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	var mu sync.Mutex
	silent, running := 2, make(chan string, 2) // names of the targets that stay silent
	engines := map[string]*daemon{}
	for _, name := range []string{"drafts-0", "drafts-1", "drafts-2"} {
		e := &engine{}
		e.run = func(r *http.Request, body string, events func(int, int)) {
			mu.Lock()
			stays := silent > 0
			silent--
			mu.Unlock()
			if stays {
				running <- name
				<-r.Context().Done()
				return
			}
			events(resumeFrom(body), eventCount)
		}
		engines[name] = f.startTarget(name, "draft", model, "5s", e)
	}
	calls := &engine{}
	target := f.startTarget("calls", "service", service, "5s", calls)
	entry := f.startEntry("entry", "20s")
	entry.awaitStatus(http.StatusOK)
	entry.awaitTargets(4)

	got := entry.sendAsync("POST", completions, stream)
	called := entry.sendAsync("POST", call, "{}", "Idempotency-Key", "k")
	first := engines[<-running]
	eventually(t, "the service has not got the call", func() bool { return calls.runs() == 1 })
	target.signal()
	first.signal()
	is.Equal(first.exitCode(), 1)
	var whole response
	select {
	case name := <-running:
		engines[name].signal()
		is.Equal(engines[name].exitCode(), 1)
		whole = <-got
	case whole = <-got:
		t.Fatal("no other target has run the draft: ", whole.body)
	}
	is.NoErr(whole.err)
	is.Equal(whole.status, http.StatusOK)
	is.Equal(strings.Count(whole.body, `"text":"w`), eventCount)
	is.True(strings.HasSuffix(whole.body, "data: [DONE]\n\n"))
	answer := <-called
	is.NoErr(answer.err)
	is.Equal([]string{answer.Outcome, answer.Kind}, []string{"unknown", "leaving"})
	is.Equal(target.exitCode(), 1)
	is.Equal(entry.send("POST", completions, draft).status, http.StatusOK)
}

// TestOverlappingStopsLoseNothing guards against requests that end without an answer while an entry and its target stop at
// once, each told so twice.
func TestOverlappingStopsLoseNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	slow := &engine{run: func(r *http.Request, body string, events func(int, int)) {
		events(resumeFrom(body), 3)
		select {
		case <-time.After(300 * time.Millisecond):
			events(3, eventCount)
		case <-r.Context().Done():
		}
	}}
	target := f.startTarget("drafts", "draft", model, "20s", slow)
	entry := f.startEntry("entry", "20s")
	entry.awaitStatus(http.StatusOK)
	entry.awaitTargets(1)
	var callers sync.WaitGroup
	var mu sync.Mutex
	whole, refused, broken := 0, 0, []string{}
	for range 8 {
		callers.Go(func() {
			for {
				got := entry.send("POST", completions, stream, "Camphormill-Timeout-Ms", "8000")
				mu.Lock()
				switch {
				case got.status == http.StatusOK && got.err == nil && strings.HasSuffix(got.body, "data: [DONE]\n\n"):
					whole++
				case got.status == http.StatusServiceUnavailable && got.Outcome == "not_run":
					refused++
				case got.status == 0 && !errors.Is(got.err, io.EOF) && !errors.Is(got.err, io.ErrUnexpectedEOF):
					mu.Unlock()
					return // the entry no longer listens
				default:
					broken = append(broken, fmt.Sprint(got))
				}
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	eventually(t, "no requests", func() bool { return slow.runs() >= 8 })
	for range 2 {
		target.signal()
		entry.signal()
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	is.Equal(entry.exitCode(), 0)
	is.Equal(target.exitCode(), 0)
	is.Equal(broken, []string{})
	is.True(whole >= 8)
	t.Log("whole", whole, "refused", refused)
}

// TestStopDuringStartEndsUnready guards against an entry that is stopped before it is ready and that becomes ready during its stop
// or doesn't end.
func TestStopDuringStartEndsUnready(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.holdHosts(true)
	entry := f.startEntry("entry", "20s")
	entry.awaitStatus(http.StatusServiceUnavailable)
	early := entry.send("POST", completions, draft, "Camphormill-Timeout-Ms", "1000")
	if early.err == nil { // it listens for callers
		is.Equal([]string{early.Outcome, early.Kind}, []string{"not_run", "not_ready"})
	}
	entry.signal()
	eventually(t, "entry does not leave", func() bool { return entry.readyReason() == "leaving" })
	f.holdHosts(false)
	for status := entry.readyStatus(); status != 0; status = entry.readyStatus() {
		is.Equal(status, http.StatusServiceUnavailable)
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(entry.exitCode(), 0)
}

// TestOverlappingStopsBesideSilentEnginesAnswerEverything guards against requests that end without an answer when their entry and
// their targets stop at once, whichever has less time for it.
func TestOverlappingStopsBesideSilentEnginesAnswerEverything(t *testing.T) {
	cases := map[string]struct {
		entry, targets string // their stop timeouts
		entryExit      int
	}{
		"entry first":   {"3s", "5s", 1},
		"targets first": {"20s", "4s", 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			drafts, calls := &engine{}, &engine{}
			drafts.run = func(r *http.Request, _ string, events func(int, int)) {
				events(0, 2)
				<-r.Context().Done()
			}
			targets := []*daemon{f.startTarget("drafts", "draft", model, c.targets, drafts), f.startTarget("calls", "service", service, c.targets, calls)}
			entry := f.startEntry("entry", c.entry)
			entry.awaitStatus(http.StatusOK)
			entry.awaitTargets(2)
			begun := entry.sendAsync("POST", completions, stream)
			answers := []<-chan response{
				entry.sendAsync("POST", completions, draft),
				entry.sendAsync("POST", call, "{}"),
				entry.sendAsync("POST", call, "{}", "Idempotency-Key", "k"),
			}
			eventually(t, "engines have not got all", func() bool { return drafts.runs() == 2 && calls.runs() == 2 })
			for _, d := range append(targets, entry) {
				d.signal()
			}
			for _, answer := range answers {
				got := <-answer
				is.NoErr(got.err)
				is.Equal([]string{got.Outcome, got.Kind}, []string{"unknown", "leaving"})
			}
			got := <-begun
			is.True(got.err != nil) // no regular end
			is.True(strings.Contains(got.body, "event: error"))
			is.Equal(entry.exitCode(), c.entryExit)
			is.Equal(targets[1].exitCode(), 1) // nothing but its end ends a call of a silent service
			targets[0].exitCode()
		})
	}
}
