package stops

import (
	"errors"
	"fmt"
	"io"
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
