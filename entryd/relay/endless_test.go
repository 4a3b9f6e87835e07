package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// respondRaw returns a target that writes bytes of its own choice to the connection, which is closed
// when write returns.
func respondRaw(name string, write func(conn net.Conn, id string)) func(e *entry, w http.ResponseWriter, r *http.Request) {
	return func(e *entry, w http.ResponseWriter, r *http.Request) {
		e.recordRun(name, r)
		_, _ = io.Copy(io.Discard, r.Body)
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			write(conn, r.Header.Get("Id"))
			_ = conn.Close()
		}
	}
}

// drip writes a byte every 20 ms until the peer closes the connection or 4 s have passed.
func drip(conn net.Conn) {
	for range 200 {
		if _, err := io.WriteString(conn, "x"); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestEndlessRefusalDoesNotDelayRetry guards against waiting for the body of a response that says that
// the request did not run, when that body does not end.
func TestEndlessRefusalDoesNotDelayRetry(t *testing.T) {
	is := is.New(t)
	for _, length := range []string{"", "Content-Length: 1000\r\n"} {
		for range 4 { // the first target is chosen at random
			e := start(t, atMostOnce(), respondRaw("t0", func(conn net.Conn, id string) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nNot-Run: 1\r\n%s\r\n", id, length)
				drip(conn)
			}), serve("t1"))
			startedAt := time.Now()
			status, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, "answer of t1")
			is.True(time.Since(startedAt) < 500*time.Millisecond)
		}
	}
}

// TestEndlessBodyIsCutOff guards against a response body without end that takes the entry's bandwidth
// until the route's timeout. What the caller gets must not look complete.
func TestEndlessBodyIsCutOff(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	route := atMostOnce()
	route.Timeout = 20 * time.Second
	e := start(t, route, respondRaw("t0", func(conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n", id)
		block := []byte(strings.Repeat("x", 64<<10))
		for sent.Load() < 1<<30 {
			n, err := conn.Write(block)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}))
	status, _, _, err := e.call(t, http.MethodPost, "/r/x", "key")
	is.Equal(status, http.StatusOK)
	is.True(err != nil)
	is.True(sent.Load() < 128<<20)
}

// TestEndlessBytesAreNotKept guards against an entry that reads, and keeps, bytes of a faulty target without end: such that are
// no response, in the head, between responses, or where the framing or an event of a body is due.
func TestEndlessBytesAreNotKept(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nId: a1\r\nContent-Type: text/event-stream\r\n"
	for name, test := range map[string]struct{ begin, repeated string }{
		"status line":   {"HTTP/1.1 200 ", "x"},
		"no response":   {"", "\x00\x01\x02"},
		"empty lines":   {"", "\r\n"},
		"header":        {"HTTP/1.1 200 OK\r\nId: a1\r\nX: ", "x"},
		"header lines":  {"HTTP/1.1 200 OK\r\nId: a1\r\n", "X: x\r\n"},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"chunk size":    {"HTTP/1.1 200 OK\r\nId: a1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk":         {"HTTP/1.1 200 OK\r\nId: a1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":       {"HTTP/1.1 200 OK\r\nId: a1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: x\r\n"},
		"event":         {stream + "\r\nid: 1\ndata: ", "x"},
		"chunked event": {stream + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			route := streamRoute(1)
			route.Timeout = 20 * time.Second
			ended := make(chan int64, 1)
			e := start(t, route, respondRaw("t0", func(conn net.Conn, _ string) {
				sent := int64(0)
				block := []byte(test.begin)
				for sent < 1<<30 {
					n, err := conn.Write(block)
					if sent += int64(n); err != nil {
						break
					}
					block = []byte(strings.Repeat(test.repeated, 64<<10/len(test.repeated)))
				}
				ended <- sent
			}))
			startedAt := time.Now()
			status, _, _, err := e.call(t, http.MethodPost, "/r/x", "key")
			is.True(err != nil || status == http.StatusBadGateway)
			is.True(time.Since(startedAt) < 5*time.Second)
			is.True(<-ended < 32<<20) // what the entry and both socket buffers have taken
		})
	}
}
