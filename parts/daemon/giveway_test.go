package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/daemon"
)

// TestStalledBodiesBehindLargeHeadsGiveWay guards against clients who fill the budget with whole heads, stop in the body and
// keep every other head out.
func TestStalledBodiesBehindLargeHeadsGiveWay(t *testing.T) {
	is := is.New(t)
	budget := bytebudget.New(bytebudget.Config{Bytes: 600 << 10, StallTime: 50 * time.Millisecond, Now: time.Now})
	_, address, _ := startLimited(t, daemon.Limits{Budget: budget})
	head := "POST /body HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", 2000) // 12 KiB
	for range 3 {
		_ = dial(t, address, head+"Content-Length: 10\r\n\r\nx")
	}
	time.Sleep(300 * time.Millisecond) // far over the stall time
	conn := dial(t, address, "GET /x HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: b\r\n", 2000)+"\r\n")
	_, err := readBody(bufio.NewReader(conn))
	is.NoErr(err)
}

// TestRefusalWithoutContinueIsAnsweredAtOnce guards against a refusal that waits for a body that its client sends only when it is
// asked to.
func TestRefusalWithoutContinueIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	_, address, _ := startLimited(t, daemon.Limits{})
	conn := dial(t, address, "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 10\r\n\r\n")
	is.NoErr(conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond)))
	_, err := readBody(bufio.NewReader(conn))
	is.NoErr(err)
}

// TestRefusalBeforeLargeBodyIsNotReset guards against a reset that overtakes the refusal of a body that is still being sent.
func TestRefusalBeforeLargeBodyIsNotReset(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := daemon.NewServer(&http.Server{}, daemon.Limits{})
	go func() {
		_ = server.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}))
	}()
	t.Cleanup(func() { _ = server.Close() })
	conn := dial(t, listener.Addr().String(), "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 100_000))
	reader := bufio.NewReader(conn)
	_, err = readBody(reader)
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
	_, err = reader.ReadByte()
	is.True(!errors.Is(err, syscall.ECONNRESET)) // the refusal may still be on its way
}

// deadlineListener accepts connections that record their deadline for reading.
type deadlineListener struct {
	net.Listener
	deadlines chan time.Time
}

func (l deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return deadlineConn{conn, l.deadlines}, err
}

type deadlineConn struct {
	net.Conn
	deadlines chan time.Time
}

func (c deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadlines <- t
	return c.Conn.SetReadDeadline(t)
}

// TestDeadlineOfUnreadBodyEndsWithItsRequest guards against a request that is cancelled in the middle because an earlier one on
// its connection was refused before its body was read.
func TestDeadlineOfUnreadBodyEndsWithItsRequest(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	deadlines := make(chan time.Time, 100)
	server := daemon.NewServer(&http.Server{}, daemon.Limits{})
	running := make(chan struct{}, 1)
	release := make(chan struct{})
	go func() {
		_ = server.Serve(deadlineListener{listener, deadlines}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				running <- struct{}{}
				<-release
			}
			_, _ = io.WriteString(w, "done")
		}))
	}()
	t.Cleanup(func() { _ = server.Close() })
	conn := dial(t, listener.Addr().String(), "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	reader := bufio.NewReader(conn)
	_, err = readBody(reader)
	is.NoErr(err)
	_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-running
	var last time.Time
	for len(deadlines) > 0 {
		last = <-deadlines
	}
	close(release)
	is.Equal(last, time.Time{}) // a request that runs has no deadline for reading
}

// startSlow serves requests and records their paths. The connections of the server hold a read for which hold is true.
func startSlow(t *testing.T, limits daemon.Limits, hold func(n int) bool) (slow *slowListener, address string, ran func(path string) bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	slow = &slowListener{Listener: listener, hold: hold, read: make(chan struct{}), release: make(chan struct{})}
	server := daemon.NewServer(&http.Server{}, limits)
	var paths sync.Map
	go func() {
		_ = server.Serve(slow, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			paths.Store(r.URL.Path, true)
			_, _ = io.WriteString(w, "done")
		}))
	}()
	t.Cleanup(func() { _ = server.Close() })
	return slow, listener.Addr().String(), func(path string) bool { _, ok := paths.Load(path); return ok }
}

// TestRequestOfClosedIdleConnectionDoesNotRun guards against a request that runs although its connection was closed to make
// room while it was being read.
func TestRequestOfClosedIdleConnectionDoesNotRun(t *testing.T) {
	is := is.New(t)
	slow, address, ran := startSlow(t, daemon.Limits{Connections: 1}, func(n int) bool { return n == 1 })
	conn := dial(t, address, "")
	_, err := get(conn, bufio.NewReader(conn), "/first")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond) // the server waits for the next request
	_, err = fmt.Fprint(conn, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-slow.read
	ask(t, address)
	close(slow.release)
	time.Sleep(100 * time.Millisecond)
	is.True(!ran("/second"))
}

// TestRequestOfEvictedHeadDoesNotRun guards against a request that runs although its connection was closed to make room for
// other heads while its last bytes were being read.
func TestRequestOfEvictedHeadDoesNotRun(t *testing.T) {
	is := is.New(t)
	budget := bytebudget.New(bytebudget.Config{Bytes: 300 << 10, StallTime: 50 * time.Millisecond, Now: time.Now})
	var armed atomic.Bool
	slow, address, ran := startSlow(t, daemon.Limits{Budget: budget}, func(int) bool { return armed.CompareAndSwap(true, false) })
	lines := strings.Repeat("a: b\r\n", 2000)
	conn := dial(t, address, "GET /evicted HTTP/1.1\r\nHost: h\r\n"+lines)
	time.Sleep(200 * time.Millisecond) // over the stall time
	armed.Store(true)
	_, err := fmt.Fprint(conn, "\r\n")
	is.NoErr(err)
	<-slow.read
	other := dial(t, address, "GET /other HTTP/1.1\r\nHost: h\r\n"+lines+"\r\n")
	_, err = readBody(bufio.NewReader(other))
	is.NoErr(err)
	is.Equal(budget.Stats().Evicted, int64(1))
	close(slow.release)
	time.Sleep(100 * time.Millisecond)
	is.True(!ran("/evicted"))
}

// TestHeadWithoutRoomIsNotCalledBad guards against a proper request that is answered with 400, which its caller doesn't send
// again, because there was no memory for its head.
func TestHeadWithoutRoomIsNotCalledBad(t *testing.T) {
	is := is.New(t)
	budget := bytebudget.New(bytebudget.Config{Bytes: 100 << 10, StallTime: time.Minute, Now: time.Now})
	_, address, _ := startLimited(t, daemon.Limits{Budget: budget})
	is.True(budget.Open(func() {}).Grow(90 << 10))
	conn := dial(t, address, "GET /x HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: b\r\n", 600)) // 3.6 KiB, in one read
	is.NoErr(conn.SetReadDeadline(time.Now().Add(time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		is.True(response.StatusCode != http.StatusBadRequest)
	}
}
