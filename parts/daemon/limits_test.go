package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/daemon"
)

// startLimited serves requests within limits. /hold is not answered before release is closed, /body reads the whole
// body, /large answers with 16 MiB.
func startLimited(t *testing.T, limits daemon.Limits) (server *daemon.Server, address string, release chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server = daemon.NewServer(&http.Server{ReadHeaderTimeout: time.Minute}, limits)
	release = make(chan struct{})
	go func() {
		_ = server.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/hold":
				<-release
			case "/body":
				_, _ = io.Copy(io.Discard, r.Body)
			case "/large":
				_, _ = io.WriteString(w, strings.Repeat("x", 16<<20))
			}
			_, _ = io.WriteString(w, "done")
		}))
	}()
	t.Cleanup(func() { _ = server.Close() })
	return server, listener.Addr().String(), release
}

func dial(t *testing.T, address, send string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, send)
	is.New(t).NoErr(err)
	return conn
}

// ask sends an ordinary request on a new connection, again and again until it is answered.
func ask(t *testing.T, address string) {
	t.Helper()
	for range 100 {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			var body string
			body, err = get(conn, bufio.NewReader(conn), "/x")
			_ = conn.Close()
			if err == nil {
				is.New(t).Equal(body, "done")
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("an ordinary request was not answered")
}

// isClosed reports whether the server closes a connection within a moment, and reads what comes before.
func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err := io.Copy(io.Discard, conn)
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// TestStalledClientsMakeRoom guards against clients that open all connections of a server and keep others out.
func TestStalledClientsMakeRoom(t *testing.T) {
	const connections = 8
	for name, send := range map[string]string{
		"nothing sent":   "",
		"head begun":     "GET /x HTTP/1.1\r\nHost: h\r\n",
		"body begun":     "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx",
		"chunk begun":    "POST /body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\na\r\nx",
		"body not read":  "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx",
		"not reading":    "GET /large HTTP/1.1\r\nHost: h\r\n\r\n",
		"kept open idle": "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server, address, _ := startLimited(t, daemon.Limits{Connections: connections})
			for range 3 * connections {
				_ = dial(t, address, send)
			}
			ask(t, address)
			is.True(server.Connections().Open <= connections)
			is.True(server.Connections().Evicted > 0)
		})
	}
}

// TestRunningRequestsKeepTheirConnections guards against newcomers that push out callers whose requests run.
func TestRunningRequestsKeepTheirConnections(t *testing.T) {
	is := is.New(t)
	server, address, release := startLimited(t, daemon.Limits{Connections: 4})
	var running []net.Conn
	for i := range 4 {
		running = append(running, dial(t, address, fmt.Sprintf("POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", i, strings.Repeat("x", i))))
	}
	// The server knows of a body's end when the handler has read it.
	time.Sleep(100 * time.Millisecond)
	is.True(isClosed(dial(t, address, "")))
	is.Equal(server.Connections(), daemon.ConnectionStats{Open: 4, Refused: 1})
	close(release)
	body, err := readBody(bufio.NewReader(running[0]))
	is.NoErr(err)
	is.Equal(body, "done")
	ask(t, address) // the first one is idle now
}

// TestLargeHeadsStayWithinBudget guards against heads that stop short of their end and fill the memory.
func TestLargeHeadsStayWithinBudget(t *testing.T) {
	is := is.New(t)
	budget := bytebudget.New(bytebudget.Config{Bytes: 600 << 10, StallTime: 50 * time.Millisecond, Now: time.Now})
	_, address, _ := startLimited(t, daemon.Limits{Budget: budget})
	lines := strings.Repeat("a: b\r\n", 2000)
	alone := dial(t, address, "GET /x HTTP/1.1\r\nHost: h\r\n"+lines+"\r\n")
	_, err := readBody(bufio.NewReader(alone))
	is.NoErr(err)
	for range 20 {
		_ = dial(t, address, "GET /x HTTP/1.1\r\nHost: h\r\n"+lines)
		time.Sleep(10 * time.Millisecond)
	}
	ask(t, address)
	stats := budget.Stats()
	is.True(stats.Held <= budget.Size())
	is.True(stats.Evicted+stats.Refused > 0)
}

// TestRestOfUnreadBodyIsNotAwaited guards against connections that stay open for good because their handler didn't read
// the body and its sender has stopped.
func TestRestOfUnreadBodyIsNotAwaited(t *testing.T) {
	is := is.New(t)
	_, address, _ := startLimited(t, daemon.Limits{})
	conn := dial(t, address, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	body, err := readBody(bufio.NewReader(conn))
	is.NoErr(err)
	is.Equal(body, "done")
	time.Sleep(1500 * time.Millisecond)
	is.True(isClosed(conn))
}

// TestLongRequestOutlivesTimeForBody guards against a deadline for the body that ends the request after the body has come.
func TestLongRequestOutlivesTimeForBody(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := daemon.NewServer(&http.Server{}, daemon.Limits{})
	go func() {
		_ = server.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			_, _ = io.Copy(io.Discard, r.Body)
			select {
			case <-r.Context().Done():
			case <-time.After(300 * time.Millisecond):
				_, _ = io.WriteString(w, "done")
			}
		}))
	}()
	t.Cleanup(func() { _ = server.Close() })
	conn := dial(t, listener.Addr().String(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	body, err := readBody(bufio.NewReader(conn))
	is.NoErr(err)
	is.Equal(body, "done")
}

// TestRefusalOfLateBodyIsSentAtOnce guards against a refusal that waits for the rest of a body whose time is over.
func TestRefusalOfLateBodyIsSentAtOnce(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := daemon.NewServer(&http.Server{}, daemon.Limits{})
	go func() {
		_ = server.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
			_, err := io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprint(w, errors.Is(err, os.ErrDeadlineExceeded))
		}))
	}()
	t.Cleanup(func() { _ = server.Close() })
	conn := dial(t, listener.Addr().String(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	is.NoErr(conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond)))
	body, err := readBody(bufio.NewReader(conn))
	is.NoErr(err)
	is.Equal(body, "true")
}
