// Package link is the transport between the daemons: JSON-RPC 2.0 over TCP, one
// connection for each pair, many calls side by side. It holds no decisions.
package link

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"camphormill.dev/parts/contract"
)

// writeTimeout bounds one write: a peer that takes nothing for so long is lost.
const writeTimeout = 3 * time.Second

// Method answers one method of the protocol.
type Method struct {
	// Inline runs the method on the reading goroutine, so that messages of a
	// connection keep their order. It must not wait.
	Inline bool
	Run    func(ctx context.Context, peer *Conn, params json.RawMessage) (any, error)
}

// Methods maps method names to their implementation.
type Methods map[string]Method

// Conn is one connection to a peer.
type Conn struct {
	rpc *jsonrpc2.Conn
}

// NewConn speaks the protocol over a connection until it is closed.
func NewConn(conn net.Conn, methods Methods) *Conn {
	return newConn(conn, methods, nil)
}

func newConn(conn net.Conn, methods Methods, active *activity) *Conn {
	c := &Conn{}
	ready := make(chan struct{})
	stream := jsonrpc2.NewBufferedStream(&timedConn{Conn: conn}, jsonrpc2.VarintObjectCodec{})
	handler := handler{methods: methods, conn: c, ready: ready, active: active}
	quiet := jsonrpc2.SetLogger(silent{})
	c.rpc = jsonrpc2.NewConn(context.Background(), stream, handler, quiet)
	close(ready)
	return c
}

// Call calls a method and waits for its result.
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

// Notify sends a message that has no answer.
func (c *Conn) Notify(ctx context.Context, method string, params any) error {
	return c.rpc.Notify(ctx, method, params)
}

// Done is closed when the connection is gone.
func (c *Conn) Done() <-chan struct{} {
	return c.rpc.DisconnectNotify()
}

// Close ends the connection.
func (c *Conn) Close() {
	_ = c.rpc.Close() // a connection already gone is as good as closed
}

type silent struct{}

// Printf drops what the library would log; losses show as errors of calls.
func (silent) Printf(string, ...any) {}

type timedConn struct {
	net.Conn
}

// Write writes within the write timeout.
func (t *timedConn) Write(p []byte) (int, error) {
	if err := t.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := t.Conn.Write(p)
	sent.Add(uint64(n))
	return n, err
}

// Read reads and counts the bytes.
func (t *timedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	received.Add(uint64(n))
	return n, err
}

// sent and received count the bytes of all links of the process.
var sent, received atomic.Uint64

// Sent returns the bytes that all links of this process have sent.
func Sent() uint64 { return sent.Load() }

// Received returns the bytes that all links of this process have received.
func Received() uint64 { return received.Load() }

type handler struct {
	methods Methods
	conn    *Conn
	ready   chan struct{}
	active  *activity // nil when nobody waits for answers to be sent
}

// Handle serves one request of the peer.
func (h handler) Handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-h.ready
	method, ok := h.methods[req.Method]
	if !ok {
		h.reply(ctx, req, nil, contract.NewFailure(contract.KindInvalidRequest,
			"the method "+req.Method+" is not known here", "run the same version of both daemons"))
		return
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	h.active.begin()
	serve := func() {
		defer h.active.end()
		result, err := method.Run(ctx, h.conn, params)
		h.reply(ctx, req, result, err)
	}
	if method.Inline {
		serve()
		return
	}
	go serve()
}

func (h handler) reply(ctx context.Context, req *jsonrpc2.Request, result any, err error) {
	if req.Notif {
		return
	}
	if err == nil {
		_ = h.conn.rpc.Reply(ctx, req.ID, result) // the peer sees the loss itself
		return
	}
	f := contract.AsFailure(err)
	rpcErr := &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: f.Message}
	rpcErr.SetError(f)
	_ = h.conn.rpc.ReplyWithError(ctx, req.ID, rpcErr)
}

// Decode reads the params of a method; garbage is a typed failure.
func Decode[T any](params json.RawMessage) (T, error) {
	var value T
	if err := json.Unmarshal(params, &value); err != nil {
		return value, contract.NewFailure(contract.KindInvalidRequest,
			"the message cannot be read: "+err.Error(), "run the same version of both daemons")
	}
	return value, nil
}
