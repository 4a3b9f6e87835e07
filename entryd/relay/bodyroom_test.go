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

	"camphormill.dev/entryd/relay"
	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/routes"
)

// startWithBudget runs a relay with the given budget, whose target answers with size bytes.
func startWithBudget(t *testing.T, route routes.Route, budget *bytebudget.Budget, size int) *entry {
	t.Helper()
	return startConfigured(t, route, routes.Service{Name: "s"}, func(c *relay.Config) { c.Budget = budget },
		func(e *entry, w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			e.recordRun("t0", r)
			_, _ = io.WriteString(w, strings.Repeat("x", size))
			w.Header().Set("Got", fmt.Sprint(len(body)))
		})
}

// rawCall sends a head and a part of the body on a new connection.
func (e *entry) rawCall(t *testing.T, head, body string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.server.URL, "http://"))
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: h\r\nKey: key\r\n"+head+"\r\n\r\n"+body)
	is.New(t).NoErr(err)
	return conn
}

func readResponse(t *testing.T, conn net.Conn) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.New(t).NoErr(err)
	return response
}

var callRoute = routes.Route{Repeat: routes.AtMostOnce, MaxAttempts: 1, Timeout: 5 * time.Second}

// TestBodyWithoutRoomIsRefusedUnrun guards against bodies that are kept without a bound, and against a refusal that
// says neither that the request did not run nor when to come back.
func TestBodyWithoutRoomIsRefusedUnrun(t *testing.T) {
	is := is.New(t)
	budget := bytebudget.New(bytebudget.Config{Bytes: 256 << 10, StallTime: time.Hour, Now: time.Now})
	e := startWithBudget(t, callRoute, budget, 4)
	first := e.rawCall(t, "Content-Length: 250000", strings.Repeat("b", 249_999))
	for budget.Stats().Held < 200_000 {
		time.Sleep(time.Millisecond)
	}
	response := readResponse(t, e.rawCall(t, "Content-Length: 250000", strings.Repeat("b", 100_000)))
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("Retry-After"), "1")
	is.True(response.Close)
	is.Equal(e.runCount(), 0)
	status, _, _, err := e.call(t, http.MethodPost, "/r/x", "key") // an ordinary request needs no room
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	_, err = io.WriteString(first, "b")
	is.NoErr(err)
	is.Equal(readResponse(t, first).StatusCode, http.StatusOK)
	for budget.Stats().Held > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestStalledBodyGivesWay guards against senders that stop just short of the end and keep all room for themselves.
func TestStalledBodyGivesWay(t *testing.T) {
	for name, head := range map[string]string{"length": "Content-Length: 250000", "chunks": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			budget := bytebudget.New(bytebudget.Config{Bytes: 256 << 10, StallTime: 50 * time.Millisecond, Now: time.Now})
			e := startWithBudget(t, callRoute, budget, 4)
			part := strings.Repeat("b", 249_999)
			if name == "chunks" {
				part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
			}
			stalled := e.rawCall(t, head, part)
			time.Sleep(200 * time.Millisecond)
			response := readResponse(t, e.rawCall(t, "Content-Length: 250000", strings.Repeat("b", 250_000)))
			is.Equal(response.StatusCode, http.StatusOK)
			response = readResponse(t, stalled)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(response.Header.Get("Retry-After"), "1")
			is.Equal(e.runCount(), 1)
		})
	}
}

// TestBodyEndsWithDeadline guards against a caller that stops within its body and keeps the request for good.
func TestBodyEndsWithDeadline(t *testing.T) {
	is := is.New(t)
	route := callRoute
	route.Timeout = 100 * time.Millisecond
	e := startWithBudget(t, route, bytebudget.ForProcess(0), 4)
	response := readResponse(t, e.rawCall(t, "Content-Length: 10", "b"))
	is.Equal(response.StatusCode, http.StatusRequestTimeout)
	is.Equal(response.Header.Get("Retry-After"), "0.3")
	is.Equal(e.runCount(), 0)
}

// TestUnreadResponsesGiveWay guards against callers that don't read and so make the entry hold their responses.
func TestUnreadResponsesGiveWay(t *testing.T) {
	is := is.New(t)
	budget := bytebudget.New(bytebudget.Config{Bytes: 1 << 20, StallTime: 50 * time.Millisecond, Now: time.Now})
	e := startWithBudget(t, callRoute, budget, 250_000)
	head := "Content-Length: 0\r\n\r\n" + strings.Repeat("POST /r/x HTTP/1.1\r\nHost: h\r\nKey: key\r\nContent-Length: 0\r\n\r\n", 100)
	for range 20 {
		_ = e.rawCall(t, strings.TrimSuffix(head, "\r\n\r\n"), "")
	}
	time.Sleep(500 * time.Millisecond)
	status, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(len(body), 250_000)
	is.True(budget.Stats().Held <= 1<<20)
	is.True(budget.Stats().Evicted > 0)
}
