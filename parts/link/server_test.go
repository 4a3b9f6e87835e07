package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/link"
)

// pipeListener accepts the connections that it is given.
type pipeListener struct {
	net.Listener
	conns chan net.Conn
}

// Accept waits for the next connection.
func (l pipeListener) Accept() (net.Conn, error) { return <-l.conns, nil }

// TestFrozenPeerDoesNotHoldUpNotice guards against a daemon whose stop overruns because a peer doesn't read.
func TestFrozenPeerDoesNotHoldUpNotice(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	conns := make(chan net.Conn)
	server := &link.Server{}
	go server.Serve(pipeListener{listener, conns})
	near, far := net.Pipe() // a write waits until the peer reads
	defer func() { _ = near.Close() }()
	conns <- far
	second, other := net.Pipe()
	defer func() { _ = second.Close() }()
	conns <- other // the server has added the first
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	notified := make(chan struct{})
	go func() {
		defer close(notified)
		server.NotifyAll(ctx, "leaving", nil)
	}()
	select {
	case <-notified:
		is.True(ctx.Err() != nil) // it had waited
	case <-time.After(2 * time.Second): // below the limit of a write
		t.Fatal("the notice is still being sent")
	}
}
