package proofs

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// network carries connections between named hosts and can freeze hosts, cut
// connections and lose what was on its way.
type network struct {
	latency func() time.Duration

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced when a freeze ends
	listeners map[string]*listener
	frozen    map[string]bool
	conns     map[*end]bool
}

func newNetwork(latency func() time.Duration) *network {
	return &network{
		latency: latency, changed: make(chan struct{}), listeners: map[string]*listener{},
		frozen: map[string]bool{}, conns: map[*end]bool{},
	}
}

// listener accepts the connections to one host.
type listener struct {
	net    *network
	host   string
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (n *network) listen(host string) *listener {
	const backlog = 64
	l := &listener{net: n, host: host, queue: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[host] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.listeners[l.host] == l {
		delete(l.net.listeners, l.host)
	}
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the dial of one host.
func (n *network) dial(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil {
			return nil, errors.New("connection refused")
		}
		there := &direction{arrived: make(chan struct{})}
		back := &direction{arrived: make(chan struct{})}
		near := &end{net: n, host: from, peer: to, in: back, out: there}
		far := &end{net: n, host: to, peer: from, in: there, out: back}
		select {
		case l.queue <- far:
		case <-l.closed:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mu.Lock()
		n.conns[near], n.conns[far] = true, true
		n.mu.Unlock()
		return near, nil
	}
}

// cut resets the connections between two hosts; what was on its way is lost. An
// empty name stands for any host.
func (n *network) cut(a, b string) {
	n.mu.Lock()
	var hit []*end
	for e := range n.conns {
		if (e.host == a || a == "") && (e.peer == b || b == "") {
			hit = append(hit, e)
		}
	}
	n.mu.Unlock()
	for _, e := range hit {
		e.in.reset()
		e.out.reset()
		_ = e.Close()
	}
}

func (n *network) freeze(host string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[host] = frozen
	close(n.changed)
	n.changed = make(chan struct{})
}

// stuck returns a channel to wait on while either host is frozen, else nil.
func (n *network) stuck(a, b string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[a] || n.frozen[b] {
		return n.changed
	}
	return nil
}

type chunk struct {
	at   time.Time
	data []byte
}

// direction is one way of a connection.
type direction struct {
	mu      sync.Mutex
	chunks  []chunk
	closed  bool
	arrived chan struct{} // closed and replaced at each change
}

func (d *direction) change(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	close(d.arrived)
	d.arrived = make(chan struct{})
}

func (d *direction) reset() {
	d.change(func() { d.chunks, d.closed = nil, true })
}

// end is one end of a connection.
type end struct {
	net        *network
	host, peer string
	in, out    *direction
}

func (e *end) Read(p []byte) (int, error) {
	for {
		stuck := e.net.stuck(e.host, e.peer)
		e.in.mu.Lock()
		arrived := e.in.arrived
		var wait time.Duration
		if stuck == nil && len(e.in.chunks) > 0 {
			if wait = time.Until(e.in.chunks[0].at); wait <= 0 {
				n := copy(p, e.in.chunks[0].data)
				e.in.chunks[0].data = e.in.chunks[0].data[n:]
				if len(e.in.chunks[0].data) == 0 {
					e.in.chunks = e.in.chunks[1:]
				}
				e.in.mu.Unlock()
				return n, nil
			}
		}
		closed := e.in.closed && len(e.in.chunks) == 0
		e.in.mu.Unlock()
		if closed {
			return 0, io.EOF
		}
		await(arrived, stuck, wait)
	}
}

// await waits for any of the channels, or the time when it is above zero.
func await(a, b <-chan struct{}, d time.Duration) {
	if d <= 0 {
		d = time.Hour
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-a:
	case <-b:
	case <-timer.C:
	}
}

func (e *end) Write(p []byte) (int, error) {
	err := net.ErrClosed
	at := time.Now().Add(e.net.latency())
	e.out.change(func() {
		if e.out.closed {
			return
		}
		err = nil
		if n := len(e.out.chunks); n > 0 && at.Before(e.out.chunks[n-1].at) {
			at = e.out.chunks[n-1].at // bytes keep their order
		}
		e.out.chunks = append(e.out.chunks, chunk{at: at, data: append([]byte(nil), p...)})
	})
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func (e *end) Close() error {
	e.in.reset() // a closed end reads nothing more, as a closed socket
	e.out.change(func() { e.out.closed = true })
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	delete(e.net.conns, e)
	return nil
}

func (e *end) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (e *end) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (e *end) SetDeadline(time.Time) error      { return nil }
func (e *end) SetReadDeadline(time.Time) error  { return nil }
func (e *end) SetWriteDeadline(time.Time) error { return nil }
