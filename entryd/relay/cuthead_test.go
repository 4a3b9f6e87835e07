package relay_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"camphormill.dev/parts/routes"
)

// TestResponseCutInsideHeadIsNotWhole guards against a caller that gets a successful response with an empty body, framed as
// whole, after a target that closed its connection in the middle of the head.
func TestResponseCutInsideHeadIsNotWhole(t *testing.T) {
	for name, route := range map[string]routes.Route{"call": atMostOnce(), "stream": streamRoute(1)} {
		for _, framing := range []string{"", "Content-Length: 5\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"} {
			head := "HTTP/1.1 200 OK\r\nId: a1\r\n" + framing
			if name == "stream" {
				head += "Content-Type: text/event-stream\r\n"
			}
			head += "\r\n"
			var length atomic.Int64
			e := start(t, route, respondRaw("t0", func(conn net.Conn, _ string) {
				_, _ = io.WriteString(conn, head[:length.Load()])
			}))
			for length.Store(1); length.Load() < int64(len(head)); length.Add(1) {
				status, _, body, err := e.call(t, http.MethodPost, "/r/x", "key")
				if runs := e.runCount(); int64(runs) < length.Load() {
					t.Fatalf("%s: target got %d requests, expected %d", name, runs, length.Load())
				}
				if err == nil && status == http.StatusOK {
					t.Errorf("%s: whole response with body %q after the head %q", name, body, head[:length.Load()])
				}
			}
		}
	}
}
