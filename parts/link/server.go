package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// acceptBackoff is the pause after which a server accepts connections again that had no descriptor for one.
const acceptBackoff = 50 * time.Millisecond

// Server accepts connections from peers and serves Methods on them. Methods must be
// set before Serve is called. The methods of Server are safe for concurrent use.
type Server struct {
	Methods Methods
	// Limits bounds what peers make the process hold. It must be set before Serve is called.
	Limits Limits
	Log    zerolog.Logger

	evicted, rejected atomic.Int64 // connections
	running           atomic.Int64 // memory of the calls that run
	loggedAt          atomic.Int64 // Unix time in nanoseconds of the last line about a limit

	listener net.Listener
	mu       sync.Mutex
	conns    map[*Conn]bool
	closed   bool
	active   activity
}

// Serve accepts connections until the listener fails, which it also does when it or
// the server is closed.
func (s *Server) Serve(l net.Listener) {
	s.mu.Lock()
	s.listener = l
	s.conns = map[*Conn]bool{}
	closed := s.closed
	s.mu.Unlock()
	if closed {
		_ = l.Close()
		return
	}
	for {
		conn, err := l.Accept()
		if isPassing(err) {
			time.Sleep(acceptBackoff)
			continue
		}
		if err != nil {
			return
		}
		if !s.makeRoom(time.Now()) {
			s.rejected.Add(1)
			_ = conn.Close()
			continue
		}
		s.add(newConn(conn, s.Methods, connConfig{active: &s.active, running: &s.running, limits: s.Limits, onError: s.logLimit}))
	}
}

// isPassing reports whether accepting connections failed only for the moment, such as for want of descriptors.
func isPassing(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// makeRoom closes a connection if there are as many as are allowed. It returns false if none gives way.
func (s *Server) makeRoom(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Limits.Connections <= 0 || len(s.conns) < s.Limits.Connections {
		return true
	}
	var first *Conn
	var highest rank
	var since time.Time
	for c := range s.conns {
		r, from := c.stream.activity.rank(now)
		if r > highest || (r == highest && r != rankNever && from.Before(since)) {
			first, highest, since = c, r, from
		}
	}
	if first == nil {
		return false
	}
	s.evicted.Add(1)
	delete(s.conns, first)
	_ = first.stream.Close() // the reader of the connection ends the rest
	return true
}

// ConnectionStats tells what the limits of a Server have done.
type ConnectionStats struct {
	Open    int
	Evicted int64 // closed to make room
	Refused int64 // closed at once, without room
}

// Connections returns what the limits have done.
func (s *Server) Connections() ConnectionStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ConnectionStats{Open: len(s.conns), Evicted: s.evicted.Load(), Refused: s.rejected.Load()}
}

// logLimit logs why a connection is closed, once a second at most.
func (s *Server) logLimit(err error) {
	now, last := time.Now().UnixNano(), s.loggedAt.Load()
	if now-last < int64(time.Second) || !s.loggedAt.CompareAndSwap(last, now) {
		return
	}
	s.Log.Warn().Err(err).Msg("closing the connection of a peer")
}

// add tracks a connection until it is lost. It closes the connection if the server
// is closed.
func (s *Server) add(c *Conn) {
	s.mu.Lock()
	closed := s.closed
	if !closed {
		s.conns[c] = true
	}
	s.mu.Unlock()
	if closed {
		c.Close()
		return
	}
	go func() {
		<-c.Done()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// NotifyAll sends a notification to every connected peer and waits until all are
// written or ctx ends. It ignores errors.
func (s *Server) NotifyAll(ctx context.Context, method string, params any) {
	s.mu.Lock()
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, c := range conns {
		wg.Go(func() { _ = c.Notify(ctx, method, params) }) // a lost peer detects the loss itself
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		wg.Wait()
	}()
	select {
	case <-written:
	case <-ctx.Done():
	}
}

// Drain waits until no call is in flight, or returns the error of ctx when that ends.
// The server still accepts connections and calls.
func (s *Server) Drain(ctx context.Context) error {
	return s.active.wait(ctx)
}

// Close closes the listener and all connections. It does not wait for calls in flight:
// see Drain.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	conns := s.conns
	s.conns = map[*Conn]bool{}
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	for c := range conns {
		c.Close()
	}
}

// activity counts the calls and notifications in flight. begin and end do nothing on a
// nil *activity.
type activity struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when count returns to zero; nil if no Drain waits
}

func (a *activity) begin() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
}

func (a *activity) end() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.count == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

func (a *activity) wait(ctx context.Context) error {
	a.mu.Lock()
	if a.count == 0 {
		a.mu.Unlock()
		return nil
	}
	if a.idle == nil {
		a.idle = make(chan struct{})
	}
	idle := a.idle
	a.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
