// Package httpclient sends single HTTP/1.1 requests from entryd to targets over
// persistent connections. For each request it reports whether a byte of it was
// sent and whether the response is complete. It sends no request twice: the
// caller decides about retries.
package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Config holds the limits and functions of a Client.
type Config struct {
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT). Zero sets no limit.
	UnackedTimeout time.Duration
	// MaxIdlePerAddress is the maximum number of idle connections to an address.
	MaxIdlePerAddress int
	// IdleTimeout bounds how long an idle connection is kept. A shorter timeout
	// in the target's Keep-Alive header takes precedence.
	IdleTimeout time.Duration
	// Match tells whether a response belongs to a request. Responses to earlier requests on the
	// connection are skipped. Nil stands for targets of which each response belongs to the request before it.
	Match func(request *http.Request, response *http.Response) Match
	// Dial opens a connection; nil opens a TCP connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Now returns the time by which IdleTimeout and Request.MaxIdle are measured.
	Now func() time.Time
}

// Match tells whether a response belongs to a request.
type Match string

// The results of matching a response with a request.
const (
	MatchesRequest Match = "request" // it names the request
	MatchesOther   Match = "other"   // it names another request
	// MatchesNone is a response that names no request. It belongs to the first request of a connection, and may
	// belong to any earlier one of a connection that was in use before, whose later responses would be shifted by one.
	MatchesNone Match = "none"
)

// Client sends requests and pools idle connections to targets. It is safe for
// concurrent use.
type Client struct {
	config Config
	opened atomic.Int64

	mu   sync.Mutex
	idle map[string][]*connection // by address, most recently used last
}

// New returns a client without connections.
func New(c Config) *Client {
	return &Client{config: c, idle: map[string][]*connection{}}
}

// ConnectionsOpened returns the number of connections opened so far.
func (c *Client) ConnectionsOpened() int64 { return c.opened.Load() }

// NotSentError is the error of a request of which no byte was sent.
type NotSentError struct{ Cause error }

// Error returns the cause and the remedy.
func (e *NotSentError) Error() string {
	return "request was not sent: " + e.Cause.Error() + "; it may be sent to another target"
}

// ResponseLostError is the error of a request that was sent, at least in part, and has no
// complete response head.
type ResponseLostError struct{ Cause error }

// Error returns the cause and a warning that the request may have run.
func (e *ResponseLostError) Error() string {
	return "response was lost: " + e.Cause.Error() + "; the request may have run"
}

// WasSent reports whether a request that failed with err may have reached the target. It
// returns false for a nil error.
func WasSent(err error) bool {
	var notSent *NotSentError
	return err != nil && !errors.As(err, &notSent)
}

type connection struct {
	net.Conn
	address   string
	source    *headLimiter // of reader
	reader    *bufio.Reader
	expires   time.Time // when it must leave the pool
	idleSince time.Time // when it was last returned to the pool
	used      bool      // it has carried a request before
}

// reset makes Close reset the connection. A target whose host is frozen then finds no request to run when it
// wakes: bytes on the way are dropped, and reading fails.
func (c *connection) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is already closed
	}
}

// Request is one request with the limits for sending it.
type Request struct {
	Address string
	HTTP    *http.Request // its body must have a known length
	// Target is the request target as it is sent, byte for byte; if empty, that of the URL of HTTP.
	Target string
	// MaxIdle bounds how long a reused connection may have been idle, since the
	// target may close an idle connection while the request is sent. Zero opens
	// a new connection.
	MaxIdle time.Duration
	// Deadline bounds the whole exchange, including the response body.
	Deadline time.Time
}

// Answer is a target's response. The caller must call Close.
type Answer struct {
	*http.Response
	client   *Client
	conn     *connection
	stop     func() bool // ends the watch on the context; false if it was cancelled
	complete bool        // the body was read to its end
	failed   bool        // writing the request or reading the body failed
	matched  bool        // the response names the request, or Config.Match is nil
}

// Do sends a request and waits for the head of its response. Its error is a
// *NotSentError or a *ResponseLostError.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	conn, err := c.connect(ctx, r)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if err := conn.SetDeadline(r.Deadline); err != nil {
		_ = conn.Close()
		return nil, &NotSentError{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err := ctx.Err(); err != nil {
		stop()
		_ = conn.Close()
		return nil, &NotSentError{Cause: err}
	}
	counted := &countingWriter{w: conn}
	writeErr := write(counted, r)
	if writeErr != nil && counted.written == 0 {
		stop()
		_ = conn.Close()
		return nil, &NotSentError{Cause: writeErr}
	}
	// A target may respond before it has read a long body and then stop reading,
	// so the response is read also after a failed write.
	response, matched, err := c.readHead(conn, r.HTTP)
	if err != nil {
		if cancelled := !stop(); cancelled {
			conn.reset()
		}
		_ = conn.Close()
		return nil, &ResponseLostError{Cause: err}
	}
	a := &Answer{Response: response, client: c, conn: conn, stop: stop, failed: writeErr != nil, matched: matched}
	a.Body = &trackedBody{answer: a, body: response.Body}
	return a, nil
}

// maxSkipped is the maximum number of responses that are skipped before the response to
// the request: a duplicate one, and one to a request that was cancelled. Informational
// responses (status 1xx) count too.
const maxSkipped = 2

// readHead reads the head of the response to request. It skips up to maxSkipped
// informational responses and responses that belong, or may belong, to other requests. matched is as in Answer.
func (c *Client) readHead(conn *connection, request *http.Request) (r *http.Response, matched bool, err error) {
	for range maxSkipped + 1 {
		conn.source.allow(maxHeadBytes)
		response, err := http.ReadResponse(conn.reader, request)
		conn.source.allowAll()
		if err != nil {
			return nil, false, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		match := MatchesRequest
		if c.config.Match != nil {
			match = c.config.Match(request, response)
		}
		if match == MatchesRequest || (match == MatchesNone && !conn.used) {
			return response, match == MatchesRequest, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
		if err != nil {
			return nil, false, err
		}
		if n > maxSkippedBytes { // closing the body would read on to its end
			return nil, false, errors.Errorf("a response to another request exceeds %d bytes; the connection is closed", maxSkippedBytes)
		}
	}
	return nil, false, errors.New("the target sent no response to this request, only informational ones or responses to others; the connection is closed")
}

// maxSkippedBytes bounds what is read of the body of a skipped response.
const maxSkippedBytes = 1 << 20

type countingWriter struct {
	w       io.Writer
	written int
}

// Write writes p to the underlying writer and counts the bytes written.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.written += n
	return n, err
}

// trackedBody is a response body that records on its answer how reading ended.
type trackedBody struct {
	answer *Answer
	body   io.ReadCloser
}

// Read reads the body and records its end or an error. If writing the request failed, the end of the
// connection does not end the body: a reset that the write has reported is read as a close.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF && b.answer.failed && b.answer.Framing() == FramedByConnection {
		err = io.ErrUnexpectedEOF
	}
	switch {
	case err == io.EOF:
		b.answer.complete = true
	case err != nil:
		b.answer.failed = true
	}
	return n, err
}

// Close does nothing: Answer.Close ends the exchange.
func (b *trackedBody) Close() error { return nil }

// Close ends the exchange. It returns the connection to the pool if the body was
// read to its end and the connection can carry another request, and closes it
// otherwise. The connection cannot be reused after an error or a cancellation, if the
// target asked to close it, if the body was delimited only by the connection's end, or if the response
// did not name its request.
func (a *Answer) Close() {
	notCancelled := a.stop()
	reusable := notCancelled && a.complete && !a.failed && a.matched && !a.Response.Close && a.Framing() != FramedByConnection
	if !notCancelled {
		a.conn.reset()
	}
	if !reusable || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.conn.used = true
	a.client.putIdle(a.conn, a.Header)
}

// Discard reads the body of a response that is of no use, so that its connection can be reused. If the
// body has more than maxBytes or doesn't end within the timeout, Close closes the connection.
func (a *Answer) Discard(maxBytes int64, timeout time.Duration) {
	if a.ContentLength > maxBytes {
		return
	}
	if err := a.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		a.failed = true
		return
	}
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxBytes+1))
	a.failed = a.failed || err != nil || n > maxBytes
}

// connect returns an idle connection that is still open, or a new one.
func (c *Client) connect(ctx context.Context, r Request) (*connection, error) {
	for {
		conn := c.takeIdle(r.Address, r.MaxIdle)
		if conn == nil {
			break
		}
		if isReusable(conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	dial := c.config.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: c.config.ConnectTimeout, Deadline: r.Deadline, KeepAlive: -1}).DialContext
	}
	raw, err := dial(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	c.opened.Add(1)
	c.setUnackedTimeout(raw)
	const readBufferBytes = 2 << 10 // larger than one event of a stream
	source := &headLimiter{source: raw, unlimited: true}
	return &connection{Conn: raw, address: r.Address, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}, nil
}

// Probe opens a connection to an address, and keeps it for a later request there.
func (c *Client) Probe(ctx context.Context, address string) error {
	const newConnection = 0
	conn, err := c.connect(ctx, Request{Address: address, MaxIdle: newConnection})
	if err != nil {
		return err
	}
	c.putIdle(conn, http.Header{})
	return nil
}

// setUnackedTimeout sets UnackedTimeout on a TCP connection, as far as the system
// allows.
func (c *Client) setUnackedTimeout(raw net.Conn) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok || c.config.UnackedTimeout <= 0 {
		return
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return // the deadline of the exchange still bounds the wait
	}
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.config.UnackedTimeout.Milliseconds()))
	})
}

// isReusable reports whether an idle connection is still open and has no bytes to
// read. Bytes that a target sends without a request must not be taken for the
// response to the next one.
func isReusable(conn *connection) bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := conn.Conn.(*net.TCPConn)
	if !ok {
		return true // a connection without a socket, as in tests
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}
