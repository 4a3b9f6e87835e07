package link_test

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
)

// serveLink starts a server with the methods "echo" and "block", and returns its address.
func serveLink(t *testing.T, limits link.Limits) (address string, server *link.Server, unblock func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	blocked := make(chan struct{})
	server = &link.Server{Limits: limits, Methods: link.Methods{
		"echo": {Inline: true, Run: func(_ context.Context, _ *link.Conn, params json.RawMessage) (any, error) { return params, nil }},
		"block": {
			Run: func(context.Context, *link.Conn, json.RawMessage) (any, error) {
				<-blocked
				return "ran", nil
			},
			Refused: func(json.RawMessage, *contract.Failure) any { return "refused" },
		},
	}}
	go server.Serve(listener)
	t.Cleanup(server.Close)
	return listener.Addr().String(), server, func() { close(blocked) }
}

func dialLink(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func callEcho(t *testing.T, conn *link.Conn, text string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var echoed string
	err := conn.Call(ctx, "echo", text, &echoed)
	if err == nil && echoed != text {
		t.Errorf("got %d bytes, want %d", len(echoed), len(text))
	}
	return err
}

// TestOverlongMessageIsRefusedBeforeItIsRead guards against memory that grows with the length that a peer announces.
func TestOverlongMessageIsRefusedBeforeItIsRead(t *testing.T) {
	is := is.New(t)
	for _, length := range []uint64{1 << 26, 1 << 40, 1 << 63} {
		address, _, _ := serveLink(t, link.Limits{})
		conn := dialLink(t, address)
		_, err := conn.Write(append(binary.AppendUvarint(nil, length), '{'))
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
		_, err = conn.Read(make([]byte, 1))
		is.True(err == io.EOF || strings.Contains(err.Error(), "reset"))
	}
}

// TestLongAnswerArrives guards against a limit below what daemons send: an answer of 8 MiB in base64.
func TestLongAnswerArrives(t *testing.T) {
	address, _, _ := serveLink(t, link.Limits{Budget: bytebudget.ForProcess(1024)})
	is.New(t).NoErr(callEcho(t, link.NewConn(dialLink(t, address), nil), strings.Repeat("x", 11<<20)))
}

// TestMessagesThatStopShortGiveWay guards against memory that is held by peers who never end their messages.
func TestMessagesThatStopShortGiveWay(t *testing.T) {
	is := is.New(t)
	budget := bytebudget.New(bytebudget.Config{Bytes: 4 << 20, StallTime: 100 * time.Millisecond, Now: time.Now})
	address, _, _ := serveLink(t, link.Limits{Budget: budget})
	known := link.NewConn(dialLink(t, address), nil)
	is.NoErr(callEcho(t, known, "hello"))
	short := append(binary.AppendUvarint(nil, 1<<20), strings.Repeat("x", 1<<20-1)...)
	for range 20 {
		conn := dialLink(t, address)
		go func() { _, _ = conn.Write(short) }()
	}
	is.NoErr(callEcho(t, known, strings.Repeat("x", 1<<20)))
	is.NoErr(callEcho(t, link.NewConn(dialLink(t, address), nil), strings.Repeat("x", 1<<20)))
	is.True(budget.Stats().Held <= budget.Size())
}

// TestSilentConnectionsGiveWayToPeers guards against a crowd that keeps the daemons of the fleet out.
func TestSilentConnectionsGiveWayToPeers(t *testing.T) {
	is := is.New(t)
	const most = 8
	address, server, _ := serveLink(t, link.Limits{Connections: most})
	known := link.NewConn(dialLink(t, address), nil)
	is.NoErr(callEcho(t, known, "hello"))
	for i := range 10 * most {
		conn := dialLink(t, address)
		if i%2 == 0 {
			_, _ = conn.Write([]byte{100, '{'})
		}
	}
	is.NoErr(callEcho(t, known, "still there"))
	is.NoErr(callEcho(t, link.NewConn(dialLink(t, address), nil), "newcomer"))
	is.True(server.Connections().Open <= most)
	is.True(server.Connections().Evicted > 0)
}

// TestCallsWithoutMemoryAreRefused guards against calls that wait in any number.
func TestCallsWithoutMemoryAreRefused(t *testing.T) {
	is := is.New(t)
	budget := bytebudget.New(bytebudget.Config{Bytes: 1 << 20, StallTime: time.Second, Now: time.Now})
	address, _, unblock := serveLink(t, link.Limits{Budget: budget})
	conn := link.NewConn(dialLink(t, address), nil)
	const calls = 200
	answers := make(chan string, calls)
	for range calls {
		go func() {
			var answer string
			if err := conn.Call(t.Context(), "block", strings.Repeat("x", 8<<10), &answer); err != nil {
				answer = err.Error()
			}
			answers <- answer
		}()
	}
	is.Equal(<-answers, "refused") // while others run
	is.NoErr(callEcho(t, conn, "hello"))
	unblock()
	ran := 0
	for range calls - 1 {
		if <-answers == "ran" {
			ran++
		}
	}
	is.True(ran > 0 && ran < calls)
	is.NoErr(callEcho(t, conn, "hello"))
}

// TestPeerThatDoesNotReadIsClosed guards against responses that wait for ever for a peer to read them.
func TestPeerThatDoesNotReadIsClosed(t *testing.T) {
	is := is.New(t)
	address, server, _ := serveLink(t, link.Limits{})
	conn := dialLink(t, address)
	object := `{"jsonrpc":"2.0","id":1,"method":"echo","params":"` + strings.Repeat("x", 1<<20) + `"}`
	message := append(binary.AppendUvarint(nil, uint64(len(object))), object...)
	is.NoErr(conn.SetWriteDeadline(time.Now().Add(time.Minute)))
	for range 100 {
		if _, err := conn.Write(message); err != nil {
			break
		}
	}
	for server.Connections().Open > 0 {
		time.Sleep(10 * time.Millisecond)
	}
}
