package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// linkState selects the fault of a proxied link.
type linkState int32

// The states of a link. The fault log prints them as numbers.
const (
	clear          linkState = iota // data passes undisturbed
	delayed                         // each chunk of data is delayed by linkDelay
	stalled                         // no data passes and connections stay open
	repliesStalled                  // data passes to the server only
	reset                           // connections are reset
)

const linkDelay = 150 * time.Millisecond

// proxy forwards TCP connections over loopback and injects link faults. It is safe
// for concurrent use.
type proxy struct {
	listener net.Listener
	server   string // address to forward to
	state    atomic.Int32

	mu    sync.Mutex        // guards conns
	conns map[net.Conn]bool // open connections of clients
}

// newProxy starts a proxy that listens on the address and forwards to the server. It fails
// if it cannot listen.
func newProxy(address, server string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, server: server, conns: map[net.Conn]bool{}}
	go p.run()
	return p, nil
}

// setState changes the state of the link. State reset also closes open connections.
func (p *proxy) setState(s linkState) {
	p.state.Store(int32(s))
	if s != reset {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		closeWithReset(conn)
	}
}

// closeWithReset closes a connection with a TCP reset.
func closeWithReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// close ends the listener; open connections stay open.
func (p *proxy) close() { _ = p.listener.Close() }

func (p *proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
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

// serve forwards one connection in both directions until either ends. It resets the
// connection in state reset and if the server cannot be reached.
func (p *proxy) serve(client net.Conn) {
	if linkState(p.state.Load()) == reset {
		closeWithReset(client)
		return
	}
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		closeWithReset(client)
		return
	}
	p.track(client, true)
	defer p.track(client, false)
	done := make(chan struct{}, 2)
	go func() { p.forward(server, client, false); done <- struct{}{} }()
	go func() { p.forward(client, server, true); done <- struct{}{} }()
	<-done
	closeWithReset(client)
	_ = server.Close()
	<-done
}

// forward copies one direction of a connection, as the state of the link allows, until a
// read or write fails. reply marks the direction towards the client.
func (p *proxy) forward(to io.Writer, from net.Conn, reply bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		for {
			s := linkState(p.state.Load())
			if s == delayed {
				time.Sleep(linkDelay)
			}
			if s != stalled && (s != repliesStalled || !reply) {
				break
			}
			time.Sleep(20 * time.Millisecond) // holds the data until the state changes
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
