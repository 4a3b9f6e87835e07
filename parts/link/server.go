package link

import (
	"context"
	"net"
	"sync"
)

// Server accepts connections from peers and serves Methods on them. Methods must be
// set before Serve is called. The methods of Server are safe for concurrent use.
type Server struct {
	Methods  Methods
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
		if err != nil {
			return
		}
		s.add(newConn(conn, s.Methods, &s.active))
	}
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
