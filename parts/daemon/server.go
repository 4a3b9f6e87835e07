package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// stopPollInterval is the interval at which a server that stops closes the connections that wait.
	stopPollInterval = 20 * time.Millisecond
	// nextRequestTime is how long a stopping server waits for a request on a connection that was just opened, or whose
	// caller has just got a response without a request to close it: one is usually on its way.
	nextRequestTime = 500 * time.Millisecond
)

// pastTime is a deadline that has passed.
var pastTime = time.Unix(1, 0)

// Server is an HTTP server whose stop answers each request that it reads. Shutdown of http.Server closes
// without an answer a connection whose request it has not yet read completely, or not yet begun to handle.
type Server struct {
	http             *http.Server
	limits           Limits
	stopping         atomic.Bool
	evicted, refused atomic.Int64 // connections

	mu          sync.Mutex
	listener    *trackingListener         // nil before Serve
	connections map[*trackedConn]struct{} // open
}

// NewServer returns a server with the configuration of s, which must set neither Handler, ConnState nor ConnContext.
func NewServer(s *http.Server, limits Limits) *Server {
	server := &Server{http: s, limits: limits, connections: map[*trackedConn]struct{}{}}
	s.ConnState = server.recordState
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	return server
}

// ConnectionStats tells what the bound on a server's connections has done.
type ConnectionStats struct {
	Open    int
	Evicted int64 // closed to make room
	Refused int64 // closed at once, without room
}

// Connections returns what the bound on the connections has done.
func (s *Server) Connections() ConnectionStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ConnectionStats{Open: len(s.connections), Evicted: s.evicted.Load(), Refused: s.refused.Load()}
}

// Serve serves the handler until Stop. Its error is nil after Stop.
func (s *Server) Serve(listener net.Listener, handler http.Handler) error {
	s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		r, end := trackBody(r)
		defer end()
		handler.ServeHTTP(w, r)
	})
	tracked := &trackingListener{Listener: listener, server: s, ended: make(chan struct{})}
	s.mu.Lock()
	s.listener = tracked
	s.mu.Unlock()
	err := s.http.Serve(tracked)
	tracked.end()
	if s.stopping.Load() {
		return nil
	}
	return err
}

// Stop closes the listener, once it has accepted the connections that callers have opened, and each connection that
// waits for a request. It returns when all are closed. Requests that have begun to arrive are answered. When ctx ends
// first, Stop returns its error; Close cuts off the rest.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		listener.stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-listener.ended:
		}
	}
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for s.closeWaiting() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return s.http.Close()
}

// Close closes all connections at once.
func (s *Server) Close() error {
	s.stopping.Store(true)
	return s.http.Close()
}

// closeWaiting closes the connections that wait for a request and returns the number of connections that
// were open before.
func (s *Server) closeWaiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.connections {
		c.closeIfWaiting(now)
	}
	return len(s.connections)
}

// recordState is called by the HTTP server at each change of a connection's state.
func (s *Server) recordState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.recordRequest()
		c.recordHead()
	case http.StateIdle:
		c.recordWaiting()
	}
}

// remove is called when a connection is closed, also by a handler that has taken it over.
func (s *Server) remove(c *trackedConn) {
	c.releaseHead()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
}

// trackingListener accepts connections that tell whether a request has begun to arrive.
type trackingListener struct {
	net.Listener
	server    *Server
	closeOnce sync.Once
	closeErr  error
	ended     chan struct{} // closed when the server of the listener has stopped accepting
	endOnce   sync.Once
	queued    *os.File // accepted while there was no descriptor to use it; only for Accept
}

// Close closes the listener. Both Stop and the HTTP server close it, and a second close would fail.
func (l *trackingListener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// stop makes Accept return what has been opened and then end. Closing the listener at once would reset the
// connections that the kernel has accepted, which callers have sent requests on.
func (l *trackingListener) stop() {
	if _, ok := l.Listener.(syscall.Conn); ok {
		if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok && d.SetDeadline(pastTime) == nil {
			return
		}
	}
	_ = l.Close() // its error would be that it is closed already
}

// Accept waits for the next connection. When the server stops, it returns those that wait to be accepted, and then an
// error.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.accept()
		if err != nil {
			return nil, err
		}
		if tracked := l.server.track(conn); tracked != nil {
			return tracked, nil
		}
	}
}

// accept is Accept without the bound on connections.
func (l *trackingListener) accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && l.server.stopping.Load() {
		return l.acceptQueued()
	}
	return conn, err
}

// track adds a connection to those of the server. If there is no room for it, it closes the connection and returns nil.
func (s *Server) track(conn net.Conn) *trackedConn {
	now := time.Now()
	tracked := &trackedConn{
		Conn: conn, onClose: s.remove, budget: s.limits.Budget, waiting: true, waitingUntil: now.Add(nextRequestTime),
		activity: activity{phase: phaseOpened, since: now},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.makeRoom(now) {
		_ = conn.Close()
		return nil
	}
	s.connections[tracked] = struct{}{}
	return tracked
}

// acceptQueued returns a connection that the kernel has accepted. If there is none, it closes the listener. Without
// descriptors, its error is temporary: connections that end leave some.
func (l *trackingListener) acceptQueued() (net.Conn, error) {
	if l.queued == nil {
		accepted, err := l.acceptNow()
		if isTemporary(err) {
			return nil, err
		}
		if err != nil {
			_ = l.Close()
			l.end()
			return nil, net.ErrClosed
		}
		l.queued = os.NewFile(uintptr(accepted), "connection")
	}
	conn, err := net.FileConn(l.queued) // a duplicate
	if isTemporary(err) {
		return nil, temporary(err)
	}
	_ = l.queued.Close()
	l.queued = nil
	return conn, err
}

// acceptNow accepts a connection without waiting, whatever the deadline of the listener.
func (l *trackingListener) acceptNow() (accepted int, err error) {
	source, ok := l.Listener.(syscall.Conn)
	if !ok {
		return 0, net.ErrClosed
	}
	control, err := source.SyscallConn()
	if err != nil {
		return 0, err
	}
	var acceptErr error
	err = control.Control(func(fd uintptr) { // Read would fail, because the deadline has passed
		for {
			accepted, _, acceptErr = unix.Accept4(int(fd), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			if acceptErr != unix.EINTR && acceptErr != unix.ECONNABORTED {
				return
			}
		}
	})
	if err != nil {
		return 0, err
	}
	return accepted, acceptErr
}

// isTemporary reports whether an error says that there are no descriptors.
func isTemporary(err error) bool { return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) }

// temporary returns the system's error itself, which the HTTP server knows to be temporary.
func temporary(err error) error {
	var number syscall.Errno
	if errors.As(err, &number) {
		return number
	}
	return err
}

// end notes that the server has stopped accepting.
func (l *trackingListener) end() { l.endOnce.Do(func() { close(l.ended) }) }
