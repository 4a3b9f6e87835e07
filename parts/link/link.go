// Package link is the transport between the daemons: JSON-RPC 2.0 over TCP, with
// concurrent calls in both directions on each connection. It makes no decisions
// about requests.
package link

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"camphormill.dev/parts/contract"
)

// writeTimeout bounds one write. A peer that reads nothing for so long counts as
// lost.
const writeTimeout = 3 * time.Second

// Method implements one method of the protocol.
type Method struct {
	// Inline runs the method on the goroutine that reads the connection, so that
	// its messages are handled in order. Such a method must not block.
	Inline bool
	// Run handles one call or notification from peer. A caller receives a
	// *contract.Failure unchanged, and any other error as an upstream_failure; an
	// error of a notification is dropped. ctx ends when the connection is closed or
	// lost, not when the caller stops waiting.
	Run func(ctx context.Context, peer *Conn, params json.RawMessage) (any, error)
	// Refused returns the response to a call that the daemon has no memory to run. If it is nil, the caller receives
	// the failure.
	Refused func(params json.RawMessage, f *contract.Failure) any
}

// Methods maps method names to their implementations.
type Methods map[string]Method

// Conn is one connection to a peer. It is safe for concurrent use.
type Conn struct {
	rpc    *jsonrpc2.Conn
	stream *stream
}

// NewConn returns a Conn over a network connection and serves methods to the peer
// until the connection is closed.
func NewConn(conn net.Conn, methods Methods) *Conn {
	return newConn(conn, methods, connConfig{running: &atomic.Int64{}})
}

// connConfig is what a server sets for its connections.
type connConfig struct {
	active  *activity     // nil if calls need no draining
	running *atomic.Int64 // memory of the calls that run
	limits  Limits
	onError func(error) // called when a message breaks a limit; nil for none
}

func newConn(conn net.Conn, methods Methods, config connConfig) *Conn {
	c := &Conn{stream: newStream(&meteredConn{Conn: conn}, config.limits, config.running, config.onError)}
	ready := make(chan struct{})
	handler := handler{methods: methods, conn: c, ready: ready, active: config.active, replying: &sync.Mutex{}}
	noLogs := jsonrpc2.SetLogger(discardLogger{})
	c.rpc = jsonrpc2.NewConn(context.Background(), c.stream, handler, noLogs)
	close(ready)
	return c
}

// Call calls a method of the peer and decodes the response into result. A failure
// of the method is returned as *contract.Failure. Any other error leaves open whether
// the peer ran the method.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	err := c.rpc.Call(ctx, method, params, result)
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) && rpcErr.Data != nil {
		var f contract.Failure
		if json.Unmarshal(*rpcErr.Data, &f) == nil && f.Kind != "" {
			return &f
		}
	}
	return err
}

// Notify sends a notification, a message without a response.
func (c *Conn) Notify(ctx context.Context, method string, params any) error {
	return c.rpc.Notify(ctx, method, params)
}

// Done returns a channel that is closed when the connection is closed or lost.
func (c *Conn) Done() <-chan struct{} {
	return c.rpc.DisconnectNotify()
}

// Close closes the connection.
func (c *Conn) Close() {
	_ = c.rpc.Close() // the only error is that it is closed already
}

type discardLogger struct{}

// Printf discards a log line of the JSON-RPC library. A lost connection is reported
// by the errors of calls.
func (discardLogger) Printf(string, ...any) {}

// meteredConn bounds each write by writeTimeout and adds its bytes to sent and
// received.
type meteredConn struct {
	net.Conn
}

// Write writes p within writeTimeout and counts the bytes. It closes the connection if that fails: a part of a message may
// have been sent.
func (m *meteredConn) Write(p []byte) (int, error) {
	if err := m.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := m.Conn.Write(p)
	sent.Add(uint64(n))
	if err != nil {
		_ = m.Conn.Close()
	}
	return n, err
}

// Read reads into p and counts the bytes.
func (m *meteredConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	received.Add(uint64(n))
	return n, err
}

// sent and received count the bytes of all links of the process, and refused the calls that there was no memory to run.
var sent, received, refused atomic.Uint64

// BytesSent returns the number of bytes that all links of this process have sent.
func BytesSent() uint64 { return sent.Load() }

// CallsRefused returns the number of calls that this process refused for want of memory.
func CallsRefused() uint64 { return refused.Load() }

// BytesReceived returns the number of bytes that all links of this process have
// received.
func BytesReceived() uint64 { return received.Load() }

type handler struct {
	methods Methods
	conn    *Conn
	ready   chan struct{} // closed when conn.rpc is set
	active  *activity     // nil on connections whose calls need no draining
	// replying is held while a response is encoded and written, so that a peer which doesn't read makes the daemon hold
	// no more than one.
	replying *sync.Mutex
}

// Handle serves one call or notification of the peer.
func (h handler) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-h.ready
	method, ok := h.methods[req.Method]
	if !ok {
		h.reply(ctx, req, nil, contract.NewFailure(contract.KindInvalidRequest,
			"the method "+req.Method+" is not known to this daemon", "run the same version of both daemons"))
		return
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	h.active.begin()
	if method.Inline {
		h.serve(ctx, req, method, params)
		return
	}
	call, ok := h.conn.stream.beginCall()
	if !ok {
		h.conn.stream.endCall(call)
		h.refuse(ctx, req, method, params)
		return
	}
	go func() {
		defer h.conn.stream.endCall(call)
		h.serve(ctx, req, method, params)
	}()
}

// serve runs a method and replies. The call has been counted as active.
func (h handler) serve(ctx context.Context, req *jsonrpc2.Request, method Method, params json.RawMessage) {
	defer h.active.end()
	result, err := method.Run(ctx, h.conn, params)
	h.reply(ctx, req, result, err)
}

// refuse replies to a call that there is no memory to run.
func (h handler) refuse(ctx context.Context, req *jsonrpc2.Request, method Method, params json.RawMessage) {
	defer h.active.end()
	refused.Add(1)
	f := contract.NewFailure(contract.KindOverloaded, "the daemon has no memory left to run the call", "retry after the given time").
		WithRetryAt(time.Now().Add(refusedFor))
	if method.Refused == nil {
		h.reply(ctx, req, nil, f)
		return
	}
	h.reply(ctx, req, method.Refused(params, f), nil)
}

// reply sends the result or the error of a call. It ignores errors of sending,
// since the peer detects a lost connection itself.
func (h handler) reply(ctx context.Context, req *jsonrpc2.Request, result any, err error) {
	if req.Notif {
		return
	}
	h.replying.Lock()
	defer h.replying.Unlock()
	if err == nil {
		_ = h.conn.rpc.Reply(ctx, req.ID, result)
		return
	}
	f := contract.AsFailure(err)
	// The code is the same for all failures: Call decodes the failure from the data.
	rpcErr := &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: f.Message}
	rpcErr.SetError(f)
	_ = h.conn.rpc.ReplyWithError(ctx, req.ID, rpcErr)
}

// Decode decodes the params of a method. The error is an invalid_request failure.
func Decode[T any](params json.RawMessage) (T, error) {
	var value T
	if err := json.Unmarshal(params, &value); err != nil {
		return value, contract.NewFailure(contract.KindInvalidRequest,
			"the parameters of the method cannot be decoded: "+err.Error(), "run the same version of both daemons")
	}
	return value, nil
}
