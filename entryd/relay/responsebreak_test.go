package relay_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/routes"
)

// logBuffer collects the log lines of a relay. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	raw bytes.Buffer
}

// Write appends log lines.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.raw.Write(p)
}

// withMessage returns the fields of the lines that have a message.
func (b *logBuffer) withMessage(t *testing.T, message string) []map[string]any {
	t.Helper()
	b.mu.Lock()
	raw := slices.Clone(b.raw.Bytes())
	b.mu.Unlock()
	var lines []map[string]any
	for line := range bytes.Lines(raw) {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatal(err)
		}
		if fields["message"] == message {
			lines = append(lines, fields)
		}
	}
	return lines
}

// waitForLine returns the only line with a message; it is written just after the response.
func (e *entry) waitForLine(t *testing.T, message string) map[string]any {
	t.Helper()
	for range 200 {
		if lines := e.logs.withMessage(t, message); len(lines) > 0 {
			is.New(t).Equal(len(lines), 1)
			return lines[0]
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no line %q", message)
	return nil
}

// TestLineOfBrokenResponseTellsItsEnd guards against logs that don't tell how a response was framed,
// where and how it ended, and what its caller got.
func TestLineOfBrokenResponseTellsItsEnd(t *testing.T) {
	is := is.New(t)
	broken := respondRaw("t0", func(conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\nda", id)
	})
	e := start(t, routes.Route{Repeat: routes.Stream, MaxAttempts: 2, Timeout: 2 * time.Second}, broken)
	_, _, _, err := e.call(t, http.MethodPost, "/r/x", "key")
	is.True(err != nil)
	line := e.waitForLine(t, "response ended early")
	want := map[string]any{
		"request": "a1", "target": "t0", "framing": "connection", "position": "inside_event", "ended_by": "close", "events": 1.0, "bytes": 8.0, "caller_got": "cut_off",
	}
	for field, value := range want {
		is.Equal(line[field], value)
	}

	large := respondRaw("t0", func(conn net.Conn, id string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 500000\r\n\r\n%s", id, make([]byte, 400000))
		_ = conn.(*net.TCPConn).SetLinger(0)
		time.Sleep(100 * time.Millisecond) // the reset must not overtake the bytes
	})
	e = start(t, atMostOnce(), large)
	_, _, _, err = e.call(t, http.MethodPost, "/r/x", "key")
	is.True(err != nil)
	line = e.waitForLine(t, "response ended early")
	want = map[string]any{"framing": "length", "position": "inside_body", "ended_by": "reset", "bytes": 400000.0, "caller_got": "cut_off"}
	for field, value := range want {
		is.Equal(line[field], value)
	}
}
