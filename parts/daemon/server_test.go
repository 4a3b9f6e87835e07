package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/daemon"
)

// slowListener accepts connections that hand over what they have read when release is closed, as on a host
// with little processor time. read gets a value for each read that is held.
type slowListener struct {
	net.Listener
	hold    func(n int) bool // by the number of the read on its connection, from 0
	read    chan struct{}
	release chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowConn{Conn: conn, listener: l}, err
}

type slowConn struct {
	net.Conn
	listener *slowListener
	reads    int
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.listener.hold(c.reads) {
		c.listener.read <- struct{}{}
		<-c.listener.release
	}
	c.reads++
	return n, err
}

// get sends a request on a connection and returns the response's body.
func get(conn net.Conn, reader *bufio.Reader, path string) (string, error) {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return "", err
	}
	return readBody(reader)
}

func readBody(reader *bufio.Reader) (string, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

var echoPath = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })

// TestRequestReadAsServerStopsIsAnswered guards against a stop that closes a connection whose request has been
// read but not yet handled, so that it runs and its response is lost.
func TestRequestReadAsServerStopsIsAnswered(t *testing.T) {
	for _, held := range []int{0, 1} { // the first request of its connection, or the second
		t.Run(fmt.Sprint(held), func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			slow := &slowListener{Listener: listener, hold: func(n int) bool { return n == held }, read: make(chan struct{}), release: make(chan struct{})}
			server := daemon.NewServer(&http.Server{}, daemon.Limits{})
			go func() { _ = server.Serve(slow, echoPath) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			if held > 0 {
				body, err := get(conn, reader, "/first")
				is.NoErr(err)
				is.Equal(body, "/first")
				time.Sleep(20 * time.Millisecond) // the server waits for the next request
			}
			_, err = io.WriteString(conn, "GET /last HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			<-slow.read
			stopped := make(chan error, 1)
			go func() { stopped <- server.Stop(context.Background()) }()
			time.Sleep(time.Second) // the server closes all connections that wait
			close(slow.release)
			body, err := readBody(reader)
			is.NoErr(err)
			is.Equal(body, "/last")
			is.NoErr(<-stopped)
		})
	}
}

// TestFirstRequestOfNewConnectionIsAnswered guards against a stop that closes a connection that a caller has
// just opened, before the first request has come.
func TestFirstRequestOfNewConnectionIsAnswered(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := daemon.NewServer(&http.Server{}, daemon.Limits{})
	go func() { _ = server.Serve(listener, echoPath) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	silent, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	time.Sleep(50 * time.Millisecond) // the server has accepted them
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	body, err := get(conn, bufio.NewReader(conn), "/x")
	is.NoErr(err)
	is.Equal(body, "/x")
	is.NoErr(<-stopped) // the silent one does not hold the stop up
}

// TestStopAnswersWhatHasBegun stops a server under callers who keep their connections, send requests in two
// parts and two at once. Each request that ran has a response.
func TestStopAnswersWhatHasBegun(t *testing.T) {
	is := is.New(t)
	for range 40 {
		var mu sync.Mutex
		ran := map[string]bool{}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		server := daemon.NewServer(&http.Server{}, daemon.Limits{})
		go func() {
			_ = server.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				ran[r.URL.Path] = true
				mu.Unlock()
				_, _ = io.WriteString(w, r.URL.Path)
			}))
		}()
		answered := map[string]bool{}
		var callers sync.WaitGroup
		for i := range 16 {
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			callers.Go(func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					paths := []string{fmt.Sprintf("/%d/%d", i, n)}
					request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", paths[0])
					if i%2 == 1 {
						_, _ = io.WriteString(conn, request[:10])
						time.Sleep(time.Millisecond)
						request = request[10:]
					}
					if i%4 == 0 {
						paths = append(paths, fmt.Sprintf("/%d/%d/second", i, n))
						request += fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", paths[1])
					}
					_, _ = io.WriteString(conn, request)
					for _, path := range paths {
						body, err := readBody(reader)
						if err != nil {
							return
						}
						mu.Lock()
						answered[path] = body == path
						mu.Unlock()
					}
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		is.NoErr(server.Stop(context.Background()))
		callers.Wait()
		is.True(len(ran) > 0)
		for path := range ran {
			is.True(answered[path])
		}
	}
}

// TestStopEndsWithContext covers a request that outlasts the time for a stop.
func TestStopEndsWithContext(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := daemon.NewServer(&http.Server{}, daemon.Limits{})
	running := make(chan struct{})
	go func() {
		_ = server.Serve(listener, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			close(running)
			<-r.Context().Done()
		}))
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	go func() { _, _ = get(conn, bufio.NewReader(conn), "/x") }()
	<-running
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.Equal(server.Stop(ctx), context.DeadlineExceeded)
	is.NoErr(server.Close())
}

// lateListener is a listener whose Accept returns some time after its Close.
type lateListener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		time.Sleep(50 * time.Millisecond)
	}
	return conn, err
}

// TestStopOfIdleServerSucceeds guards against a stop that fails because it closes the listener again before the
// HTTP server has seen the first close.
func TestStopOfIdleServerSucceeds(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := daemon.NewServer(&http.Server{}, daemon.Limits{})
	served := make(chan error, 1)
	go func() { served <- server.Serve(lateListener{listener}, http.NotFoundHandler()) }()
	time.Sleep(50 * time.Millisecond) // the server accepts
	is.NoErr(server.Stop(t.Context()))
	is.NoErr(<-served)
}

// heldListener is a TCP listener whose Accept waits until release is closed, as on a host with little processor time:
// before it takes a connection, or before it returns one.
type heldListener struct {
	*net.TCPListener
	before, after chan struct{} // nil for no wait
	accepting     chan struct{} // gets a value when Accept waits
}

func (l *heldListener) wait(release chan struct{}) {
	if release != nil {
		select {
		case l.accepting <- struct{}{}:
		default:
		}
		<-release
	}
}

// Accept waits for the next connection.
func (l *heldListener) Accept() (net.Conn, error) {
	l.wait(l.before)
	conn, err := l.TCPListener.Accept()
	if err == nil {
		l.wait(l.after)
	}
	return conn, err
}

// TestRequestsOfUnacceptedConnectionsAreAnswered guards against a stop that resets connections with requests that the
// kernel has accepted and the server has not, and against one that ends while a connection is being accepted.
func TestRequestsOfUnacceptedConnectionsAreAnswered(t *testing.T) {
	for name, listener := range map[string]*heldListener{
		"in the queue": {before: make(chan struct{})}, "being accepted": {after: make(chan struct{})},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			opened, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			listener.TCPListener, listener.accepting = opened.(*net.TCPListener), make(chan struct{}, 1)
			server := daemon.NewServer(&http.Server{}, daemon.Limits{})
			served := make(chan error, 1)
			go func() { served <- server.Serve(listener, echoPath) }()
			var conns []net.Conn
			for range 3 {
				conn, err := net.Dial("tcp", opened.Addr().String())
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
				is.NoErr(err)
				conns = append(conns, conn)
			}
			<-listener.accepting
			stopped := make(chan error, 1)
			go func() { stopped <- server.Stop(t.Context()) }()
			time.Sleep(100 * time.Millisecond)
			for _, release := range []chan struct{}{listener.before, listener.after} {
				if release != nil {
					close(release)
				}
			}
			for _, conn := range conns {
				body, err := readBody(bufio.NewReader(conn))
				is.NoErr(err)
				is.Equal(body, "/x")
			}
			is.NoErr(<-stopped)
			is.NoErr(<-served)
			_, err = net.Dial("tcp", opened.Addr().String())
			is.True(err != nil) // the listener is closed
		})
	}
}

// heldReadListener accepts connections of which one read waits for release before it begins, as on a host with
// little processor time.
type heldReadListener struct {
	net.Listener
	held    int // number of the read on its connection, from 0
	reading chan struct{}
	release chan struct{}
}

// Accept waits for the next connection.
func (l *heldReadListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldReadConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

type heldReadConn struct {
	*net.TCPConn
	listener *heldReadListener
	reads    int
}

// Read reads from the connection.
func (c *heldReadConn) Read(p []byte) (int, error) {
	c.reads++
	if c.reads-1 == c.listener.held {
		c.listener.reading <- struct{}{}
		<-c.listener.release
	}
	return c.TCPConn.Read(p)
}

// TestRequestInBuffersOfClosedConnectionIsAnswered guards against a stop that closes a connection whose request has
// arrived and waits for the server to read it.
func TestRequestInBuffersOfClosedConnectionIsAnswered(t *testing.T) {
	is := is.New(t)
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := &heldReadListener{Listener: opened, reading: make(chan struct{}), release: make(chan struct{})}
	server := daemon.NewServer(&http.Server{}, daemon.Limits{})
	go func() { _ = server.Serve(listener, echoPath) }()
	conn, err := net.Dial("tcp", opened.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	<-listener.reading
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(t.Context()) }()
	time.Sleep(time.Second) // the server closes all connections that wait
	_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the request arrives
	close(listener.release)
	body, err := readBody(bufio.NewReader(conn))
	is.NoErr(err)
	is.Equal(body, "/x")
	is.NoErr(<-stopped)
}

// startHeld starts a server whose handler of /held waits until release is closed or its caller has left.
func startHeld(t *testing.T) (server *daemon.Server, conn net.Conn, running, release chan struct{}) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server = daemon.NewServer(&http.Server{}, daemon.Limits{})
	running, release = make(chan struct{}), make(chan struct{})
	go func() {
		_ = server.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				running <- struct{}{}
				select {
				case <-release:
				case <-r.Context().Done():
					panic(http.ErrAbortHandler)
				}
			}
			echoPath(w, r)
		}))
	}()
	conn, err = net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return server, conn, running, release
}

// TestRequestBegunBeforeEarlierResponseIsAnswered guards against a stop that closes a connection of whose next request
// the server has read a part before it answered the one before.
func TestRequestBegunBeforeEarlierResponseIsAnswered(t *testing.T) {
	const first, second = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n", "GET /second HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, parts := range map[string][3]string{ // by when they are sent: at first, while the handler runs, during the stop
		"one byte":   {first, second[:1], second[1:]},
		"pipelined":  {first + second[:20], "", second[20:]},
		"short line": {first + second[:2], "", second[2:]},
		"whole":      {first + second, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, conn, running, release := startHeld(t)
			send := func(part int) {
				_, err := io.WriteString(conn, parts[part])
				is.NoErr(err)
			}
			send(0)
			<-running
			send(1)
			time.Sleep(50 * time.Millisecond) // the server reads it
			close(release)
			reader := bufio.NewReader(conn)
			body, err := readBody(reader)
			is.NoErr(err)
			is.Equal(body, "/held")
			stopped := make(chan error, 1)
			go func() { stopped <- server.Stop(t.Context()) }()
			time.Sleep(time.Second) // the server closes all connections that wait
			send(2)
			body, err = readBody(reader)
			is.NoErr(err)
			is.Equal(body, "/second")
			is.NoErr(<-stopped)
		})
	}
}

// TestRequestAfterResponseOfStoppingServerIsAnswered guards against a stop that closes a connection as soon as a response
// has ended that was begun before the stop and doesn't tell its caller that the connection closes.
func TestRequestAfterResponseOfStoppingServerIsAnswered(t *testing.T) {
	is := is.New(t)
	server, conn, running, release := startHeld(t)
	_, err := io.WriteString(conn, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-running
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(t.Context()) }()
	time.Sleep(50 * time.Millisecond) // the server closes all connections that wait
	close(release)
	reader := bufio.NewReader(conn)
	body, err := readBody(reader)
	is.NoErr(err)
	is.Equal(body, "/held")
	time.Sleep(100 * time.Millisecond)
	body, err = get(conn, reader, "/second")
	is.NoErr(err)
	is.Equal(body, "/second")
	is.NoErr(<-stopped)
}

// TestStopWaitsForHijackedConnections guards against a process that ends between the moment in which a handler takes a
// connection over and that in which it closes it, so that an incomplete response ends like a complete one.
func TestStopWaitsForHijackedConnections(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := daemon.NewServer(&http.Server{}, daemon.Limits{})
	hijacked := make(chan net.Conn)
	go func() {
		_ = server.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := http.NewResponseController(w).Hijack()
			hijacked <- conn
		}))
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /x HTTP/1.0\r\n\r\n")
	is.NoErr(err)
	taken := <-hijacked
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	is.Equal(server.Stop(ctx), context.DeadlineExceeded)
	is.NoErr(taken.Close())
	is.NoErr(server.Stop(t.Context()))
}

// TestRequestInBuffersOfIdleConnectionIsAnswered guards against a connection that is closed when its idle time is over
// although a request has arrived and waits for the server to read it.
func TestRequestInBuffersOfIdleConnectionIsAnswered(t *testing.T) {
	is := is.New(t)
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	const afterFirstRequest = 2 // after the request and the watch on its caller
	listener := &heldReadListener{Listener: opened, held: afterFirstRequest, reading: make(chan struct{}), release: make(chan struct{})}
	const idleTimeout = 50 * time.Millisecond
	server := daemon.NewServer(&http.Server{IdleTimeout: idleTimeout, ReadHeaderTimeout: time.Second}, daemon.Limits{})
	go func() { _ = server.Serve(listener, echoPath) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", opened.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	body, err := get(conn, reader, "/first")
	is.NoErr(err)
	is.Equal(body, "/first")
	<-listener.reading
	_, err = io.WriteString(conn, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(2 * idleTimeout)
	close(listener.release)
	body, err = readBody(reader)
	is.NoErr(err)
	is.Equal(body, "/second")
}

// brokenListener is a listener whose Accept fails for good.
type brokenListener struct {
	net.Listener
}

// Accept fails.
func (brokenListener) Accept() (net.Conn, error) { return nil, io.ErrClosedPipe }

// TestStopAfterServeHasEnded guards against a stop that waits for a listener that nobody accepts from any more.
func TestStopAfterServeHasEnded(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := daemon.NewServer(&http.Server{}, daemon.Limits{})
	is.Equal(server.Serve(brokenListener{listener}, echoPath), io.ErrClosedPipe)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	is.NoErr(server.Stop(ctx))
}

// TestStopWaitsForDescriptors guards against a stop that resets connections with requests in the listener's queue because the
// process has no descriptor left at that moment.
func TestStopWaitsForDescriptors(t *testing.T) {
	is := is.New(t)
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := &heldListener{TCPListener: opened.(*net.TCPListener), before: make(chan struct{}), accepting: make(chan struct{}, 1)}
	server := daemon.NewServer(&http.Server{}, daemon.Limits{})
	go func() { _ = server.Serve(listener, echoPath) }()
	conn, err := net.Dial("tcp", opened.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-listener.accepting
	var limit syscall.Rlimit
	is.NoErr(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	free, err := syscall.Open("/dev/null", syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
	is.NoErr(err)
	is.NoErr(syscall.Close(free))
	none := limit
	none.Cur = uint64(free) // the next descriptor is over the limit
	is.NoErr(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none))
	defer func() { _ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit) }()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	close(listener.before)
	time.Sleep(50 * time.Millisecond)
	is.NoErr(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)) // others have been closed
	body, err := readBody(bufio.NewReader(conn))
	is.NoErr(err)
	is.Equal(body, "/x")
	is.NoErr(<-stopped)
}
