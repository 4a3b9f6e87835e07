package proofs

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// fakeNetwork is an in-memory network between named hosts. It can freeze hosts
// and reset connections, which loses the bytes in transit.
type fakeNetwork struct {
	latency func() time.Duration // returns the delay of the next write

	mu            sync.Mutex
	freezeChanged chan struct{} // closed and replaced when a host freezes or thaws
	listeners     map[string]*fakeListener
	frozen        map[string]bool
	conns         map[*fakeConn]bool
}

func newFakeNetwork(latency func() time.Duration) *fakeNetwork {
	return &fakeNetwork{
		latency: latency, freezeChanged: make(chan struct{}), listeners: map[string]*fakeListener{},
		frozen: map[string]bool{}, conns: map[*fakeConn]bool{},
	}
}

// fakeListener accepts the connections to one host.
type fakeListener struct {
	net    *fakeNetwork
	host   string
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// listen returns a new listener of the host, which replaces the earlier one.
func (n *fakeNetwork) listen(host string) *fakeListener {
	const backlog = 64
	l := &fakeListener{net: n, host: host, queue: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[host] = l
	return l
}

func (l *fakeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *fakeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.listeners[l.host] == l {
		delete(l.net.listeners, l.host)
	}
	return nil
}

func (l *fakeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the dial function of one host. Frozen hosts still accept connections,
// but no bytes are delivered.
func (n *fakeNetwork) dial(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil {
			return nil, errors.New("connection refused")
		}
		outbound := &halfConn{updated: make(chan struct{})}
		inbound := &halfConn{updated: make(chan struct{})}
		local := &fakeConn{net: n, host: from, peer: to, in: inbound, out: outbound}
		remote := &fakeConn{net: n, host: to, peer: from, in: outbound, out: inbound}
		select {
		case l.queue <- remote:
		case <-l.closed:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mu.Lock()
		n.conns[local], n.conns[remote] = true, true
		n.mu.Unlock()
		return local, nil
	}
}

// cut resets the connections between two hosts and discards the bytes in
// transit. An empty name stands for any host.
func (n *fakeNetwork) cut(a, b string) {
	n.mu.Lock()
	var matching []*fakeConn
	for c := range n.conns {
		if (c.host == a || a == "") && (c.peer == b || b == "") {
			matching = append(matching, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matching {
		c.in.reset()
		c.out.reset()
		_ = c.Close()
	}
}

// freeze stops, or with false resumes, the delivery of bytes from and to a host. Bytes
// written meanwhile are kept.
func (n *fakeNetwork) freeze(host string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[host] = frozen
	close(n.freezeChanged)
	n.freezeChanged = make(chan struct{})
}

// freezeChange returns a channel that is closed when the set of frozen hosts changes
// if either host is frozen, and nil otherwise.
func (n *fakeNetwork) freezeChange(a, b string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[a] || n.frozen[b] {
		return n.freezeChanged
	}
	return nil
}

// chunk is the data of one write, readable from deliverAt on.
type chunk struct {
	deliverAt time.Time
	data      []byte
}

// halfConn is one direction of a connection.
type halfConn struct {
	mu      sync.Mutex
	chunks  []chunk       // written and not yet read
	closed  bool          // whether writes fail, and reads once chunks is empty
	updated chan struct{} // closed and replaced at each update
}

// update runs f under mu and wakes the reader.
func (d *halfConn) update(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	close(d.updated)
	d.updated = make(chan struct{})
}

// reset closes the direction and discards the bytes in transit.
func (d *halfConn) reset() {
	d.update(func() { d.chunks, d.closed = nil, true })
}

// fakeConn is one end of a connection.
type fakeConn struct {
	net        *fakeNetwork
	host, peer string
	in, out    *halfConn
}

func (c *fakeConn) Read(p []byte) (int, error) {
	for {
		freezeChanged := c.net.freezeChange(c.host, c.peer) // nil unless either host is frozen
		c.in.mu.Lock()
		updated := c.in.updated
		var wait time.Duration
		if freezeChanged == nil && len(c.in.chunks) > 0 {
			if wait = time.Until(c.in.chunks[0].deliverAt); wait <= 0 {
				n := copy(p, c.in.chunks[0].data)
				c.in.chunks[0].data = c.in.chunks[0].data[n:]
				if len(c.in.chunks[0].data) == 0 {
					c.in.chunks = c.in.chunks[1:]
				}
				c.in.mu.Unlock()
				return n, nil
			}
		}
		closed := c.in.closed && len(c.in.chunks) == 0
		c.in.mu.Unlock()
		if closed {
			return 0, io.EOF
		}
		waitAny(updated, freezeChanged, wait)
	}
}

// waitAny waits until either channel is closed or d has passed, where zero or less
// means an hour. A nil channel is never closed.
func waitAny(a, b <-chan struct{}, d time.Duration) {
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

func (c *fakeConn) Write(p []byte) (int, error) {
	err := net.ErrClosed
	deliverAt := time.Now().Add(c.net.latency())
	c.out.update(func() {
		if c.out.closed {
			return
		}
		err = nil
		if n := len(c.out.chunks); n > 0 && deliverAt.Before(c.out.chunks[n-1].deliverAt) {
			deliverAt = c.out.chunks[n-1].deliverAt // a later write is never delivered earlier
		}
		c.out.chunks = append(c.out.chunks, chunk{deliverAt: deliverAt, data: append([]byte(nil), p...)})
	})
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *fakeConn) Close() error {
	c.in.reset() // a closed connection reads nothing more, like a closed socket
	c.out.update(func() { c.out.closed = true })
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	delete(c.net.conns, c)
	return nil
}

// The addresses are empty, and deadlines have no effect.

func (c *fakeConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *fakeConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *fakeConn) SetDeadline(time.Time) error      { return nil }
func (c *fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }
