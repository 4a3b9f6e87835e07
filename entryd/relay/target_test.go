package relay_test

import (
	"bufio"
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

// received is a request as a target has read it.
type received struct{ method, target, host, body string }

// startEcho starts an entry whose target records each request as it has read it.
func startEcho(t testing.TB) (*entry, func() []received) {
	t.Helper()
	var requests []received
	e := start(t, routes.Route{Repeat: routes.AtMostOnce, MaxAttempts: 1, Timeout: time.Second}, func(e *entry, w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		defer e.mu.Unlock()
		requests = append(requests, received{r.Method, r.RequestURI, r.Host, string(body)})
	})
	return e, func() []received {
		e.mu.Lock()
		defer e.mu.Unlock()
		taken := requests
		requests = nil
		return taken
	}
}

// sendRaw sends a request with the method and request target as they stand, and returns the response's status.
func (e *entry) sendRaw(method, target, host, body string) (int, error) {
	conn, err := net.Dial("tcp", e.server.Listener.Addr().String())
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nKey: key\r\nId: a1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", method, target, host, len(body), body); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// requestTargets are request targets of the route, in forms that HTTP/1.1 allows.
var requestTargets = []string{
	"/r/x", "/r/x?", "/r/x??", "/r/?", "/r/x?a=1&b=2", "/r/x?a=%20&b=+", "/r/x;v=1", "/r/x?a;b", "/r/a%2Fb", "/r/a%2fb/../c", "/r//x", "/r/./x",
	"/r/a%00b", "/r/%7Ex~", "/r/\"quoted\"", "/r/a\"b%2Fc", "/r/{x}|y\\z^`", "/r/caf\xc3\xa9", "/r/\xff\xfe", "/r/x?q=\"\xc3\xa9\"", "/r/x?#", "/r/x#f", "/r/*", "/r/a:b@c",
	"http://h/r/x", "http://h/r/x?", "http://h/r/a\"b%2Fc", "HTTP://h/r/x",
}

// TestRequestTargetGoesOutAsItCameIn guards against a target that runs a request with another path or query than
// its caller sent, since the URL was decoded and encoded again.
func TestRequestTargetGoesOutAsItCameIn(t *testing.T) {
	is := is.New(t)
	e, take := startEcho(t)
	for _, target := range requestTargets {
		for _, method := range []string{http.MethodGet, http.MethodPost, "PURGE"} {
			status, err := e.sendRaw(method, target, "h", "body")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(take(), []received{{method, target, "h", "body"}})
		}
	}
	for _, target := range []string{"*", "/r/%zz", "/r/%", "r/x", "//h/r/x", "http://h", "http://other/r/x"} {
		status, err := e.sendRaw("PURGE", target, "h", "") // not OPTIONS, which net/http answers itself in tests
		is.NoErr(err)
		is.True(status == http.StatusBadRequest || status == http.StatusNotFound)
		is.Equal(take(), nil)
	}
}

// FuzzRequestTarget sends requests by raw bytes. Whatever the target runs has the method, the request target and
// the body that were sent.
func FuzzRequestTarget(f *testing.F) {
	for _, target := range requestTargets {
		f.Add("GET", target, "")
		f.Add("POST", target, "body")
	}
	f.Add("get", "/r/x", "GET /r/y HTTP/1.1\r\nHost: h\r\n\r\n")
	e, take := startEcho(f)
	f.Fuzz(func(t *testing.T, method, target, body string) {
		if strings.ContainsAny(method+target, "\r\n") {
			return // it would be another request
		}
		status, err := e.sendRaw(method, target, "h", body)
		if err != nil {
			return // the entry's response to a request that is none
		}
		switch requests := take(); {
		case len(requests) > 1:
			t.Fatalf("%d requests ran", len(requests))
		case len(requests) == 1:
			if got, want := requests[0], (received{method, target, requests[0].host, body}); got != want {
				t.Fatalf("ran %q, sent %q", got, want)
			}
		case status < http.StatusBadRequest:
			t.Fatalf("status %d without a run", status)
		}
	})
}
