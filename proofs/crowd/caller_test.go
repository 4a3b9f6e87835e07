//go:build crowd

package crowd

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"camphormill.dev/standin/fakeplatform"
)

const (
	// callerTimeout is the time within which an ordinary caller wants its answer, and tryTimeout that of one try of a
	// request that may be repeated.
	callerTimeout = 30 * time.Second
	tryTimeout    = 10 * time.Second
	// retryPause is the pause before a retry for which the answer names none.
	retryPause = 200 * time.Millisecond
	// minRetryPause is the shortest pause before a retry.
	minRetryPause = 10 * time.Millisecond
	// maxAnswerBytes bounds the answers that a caller reads.
	maxAnswerBytes = 1 << 20
)

// requestIDs numbers all requests of a test run.
var requestIDs atomic.Int64

func nextID() string { return fmt.Sprint("q-", requestIDs.Add(1)) }

// caller is an ordinary caller: it sends one request at a time, each try on a new connection, and retries as the
// answers allow.
type caller struct {
	fleet  *fleet
	client *http.Client
}

func newCaller(f *fleet) *caller {
	return &caller{fleet: f, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// request is an ordinary request. want returns an error for an answer that is not the right one.
type request struct {
	method, url string
	body        string
	repeatable  bool
	want        func(id string, header http.Header, body string) error
}

// answerOrdinary checks that a small POST, a stream and a GET are answered.
func (f *fleet) answerOrdinary(t *testing.T) {
	t.Helper()
	is := is.NewRelaxed(t)
	c := newCaller(f)
	is.NoErr(c.post("an ordinary body"))
	is.NoErr(c.stream())
	is.NoErr(c.get())
	if len(f.targets) > 0 {
		is.NoErr(c.draft())
	}
}

// post sends a call with the body.
func (c *caller) post(body string) error {
	return c.ask(request{method: http.MethodPost, url: c.url("/calls/x"), body: body, want: wantEcho(body)})
}

func (c *caller) get() error {
	return c.ask(request{method: http.MethodGet, url: c.url("/reads/x"), repeatable: true, want: wantEcho("")})
}

func (c *caller) stream() error {
	return c.ask(request{method: http.MethodPost, url: c.url(fmt.Sprint("/streams/x?events=", shortEvents)), body: "prompt", repeatable: true, want: wantEvents(shortEvents)})
}

// draft asks the engine beside the target daemon for a stream.
func (c *caller) draft() error {
	return c.ask(request{method: http.MethodPost, url: c.url("/drafts/x"), body: "prompt", repeatable: true, want: wantEvents(fakeplatform.StreamEvents)})
}

// lookUp sends a GET to another door of a daemon.
func (c *caller) lookUp(address, path string) error {
	return c.ask(request{method: http.MethodGet, url: "http://" + address + path, repeatable: true, want: func(string, http.Header, string) error { return nil }})
}

func (c *caller) url(path string) string {
	return "http://" + c.fleet.entry.address(callersPort) + path
}

func wantEcho(body string) func(string, http.Header, string) error {
	expected := echo(int64(len(body)), crc32.ChecksumIEEE([]byte(body)))
	return func(id string, header http.Header, got string) error {
		if got != expected || header.Get("Response-Seal") == "" || header.Get("Attempt-Id") != id {
			return errors.Errorf("wrong answer %.80q with header %v", got, header)
		}
		return nil
	}
}

func wantEvents(events int) func(string, http.Header, string) error {
	return func(_ string, header http.Header, got string) error {
		if n := strings.Count(got, "\n\n"); n != events || header.Get("Response-Seal") == "" {
			return errors.Errorf("stream of %d events instead of %d", n, events)
		}
		return nil
	}
}

// ask sends a request, again after failures that allow it, until it is answered or callerTimeout is over.
func (c *caller) ask(r request) error {
	deadline := time.Now().Add(callerTimeout)
	for {
		pause, err := c.try(r, deadline)
		if err == nil || pause < 0 {
			return err
		}
		if time.Now().Add(pause).After(deadline) {
			return errors.Wrapf(err, "%s %s was not answered within %s", r.method, r.url, callerTimeout)
		}
		time.Sleep(pause)
	}
}

// noRetry is the pause before a retry that is not allowed.
const noRetry = -1

// try sends a request once. After an error it returns the pause before the next try, or noRetry.
func (c *caller) try(r request, deadline time.Time) (time.Duration, error) {
	id := nextID()
	if tryEnd := time.Now().Add(tryTimeout); r.repeatable && tryEnd.Before(deadline) {
		deadline = tryEnd
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, r.method, r.url, strings.NewReader(r.body))
	if err != nil {
		return noRetry, err
	}
	out.Host = fakeplatform.Host
	out.Header.Set("Attempt-Id", id)
	out.Header.Set("Deadline", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	out.Header.Set("Authorization", "Token "+apiKey)
	response, err := c.client.Do(out)
	if err != nil {
		return retryPause, err // no answer has begun
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	switch {
	case response.StatusCode == http.StatusOK && err == nil:
		return noRetry, r.want(id, response.Header, string(body))
	case response.StatusCode == http.StatusOK:
		return c.pauseAfter(r), errors.Wrap(err, "answer ended early")
	}
	failure := errors.Errorf("%s %s: status %d", r.method, r.url, response.StatusCode)
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		if err != nil {
			return retryPause, failure
		}
		return max(time.Duration(seconds*float64(time.Second)), minRetryPause), failure
	case http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
		return c.pauseAfter(r), failure
	}
	return noRetry, failure
}

// pauseAfter returns the pause after a failure that promises nothing.
func (c *caller) pauseAfter(r request) time.Duration {
	if r.repeatable {
		return retryPause
	}
	return noRetry
}
