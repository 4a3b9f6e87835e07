package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// path is how a proxied connection behaves.
type path int32

// The states of a path.
const (
	clear   path = iota
	delayed      // each piece takes a while
	silent       // nothing passes, nothing is closed
	oneWay       // answers do not come back
	reset        // connections are reset
)

const pathDelay = 150 * time.Millisecond

// proxy passes connections on over loopback, with faults. It is safe for
// concurrent use.
type proxy struct {
	listener net.Listener
	to       string
	state    atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(listen, to string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, conns: map[net.Conn]bool{}}
	go p.run()
	return p, nil
}

func (p *proxy) set(s path) {
	p.state.Store(int32(s))
	if s != reset {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		closeHard(conn)
	}
}

func closeHard(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) close() { _ = p.listener.Close() }

func (p *proxy) run() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *proxy) track(conn net.Conn, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if add {
		p.conns[conn] = true
		return
	}
	delete(p.conns, conn)
}

func (p *proxy) serve(in net.Conn) {
	if path(p.state.Load()) == reset {
		closeHard(in)
		return
	}
	out, err := net.Dial("tcp", p.to)
	if err != nil {
		closeHard(in)
		return
	}
	p.track(in, true)
	defer p.track(in, false)
	done := make(chan struct{}, 2)
	go func() { p.pass(out, in, false); done <- struct{}{} }()
	go func() { p.pass(in, out, true); done <- struct{}{} }()
	<-done
	closeHard(in)
	_ = out.Close()
	<-done
}

// pass copies one direction; back is towards the one who connected.
func (p *proxy) pass(to io.Writer, from net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for {
			s := path(p.state.Load())
			if s == delayed {
				time.Sleep(pathDelay)
			}
			if s != silent && (s != oneWay || !back) {
				break
			}
			time.Sleep(20 * time.Millisecond) // held up until the path clears
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
