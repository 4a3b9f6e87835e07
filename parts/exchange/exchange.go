// Package exchange sends single HTTP/1.1 requests to targets over kept
// connections, and says exactly how far each one came: whether a byte of it left
// this process, and whether the answer is whole. The caller decides about
// repeats; nothing is sent twice here.
package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Config is what a Client is built from.
type Config struct {
	// ConnectTimeout bounds the connection's opening.
	ConnectTimeout time.Duration
	// UnackedTimeout is for how long sent bytes may stay unacknowledged before
	// the connection counts as dead.
	UnackedTimeout time.Duration
	// MaxIdle is how many kept connections an address has at most.
	MaxIdle int
	// IdleTimeout bounds how long a connection is kept without use, when the
	// target names no shorter time.
	IdleTimeout time.Duration
	// Owner says whether an answer is that of a request; answers of earlier
	// requests on the connection are skipped. Nil accepts every answer.
	Owner func(request *http.Request, answer *http.Response) bool
	Now   func() time.Time
}

// Client keeps connections to targets. It is safe for concurrent use.
type Client struct {
	config Config
	opened atomic.Int64

	mu   sync.Mutex
	idle map[string][]*connection
}

// New returns a client without connections.
func New(c Config) *Client {
	return &Client{config: c, idle: map[string][]*connection{}}
}

// Opened counts the connections opened so far.
func (c *Client) Opened() int64 { return c.opened.Load() }

// NotSentError says that no byte of the request left this process.
type NotSentError struct{ Cause error }

// Error gives the cause and the remedy.
func (e *NotSentError) Error() string {
	return "request was not sent: " + e.Cause.Error() + "; it may be sent elsewhere"
}

// LostError says that the request was sent, at least in part, and has no whole
// answer.
type LostError struct{ Cause error }

// Error gives the cause and the remedy.
func (e *LostError) Error() string {
	return "answer was lost: " + e.Cause.Error() + "; the request may have run"
}

// WasSent says whether a failed request may have reached the target.
func WasSent(err error) bool {
	var notSent *NotSentError
	return err != nil && !errors.As(err, &notSent)
}

type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	until   time.Time // when it may no longer be used again
	kept    time.Time // when it was last put back
}

// Request is one request and how it may be sent.
type Request struct {
	Address string
	HTTP    *http.Request // with a body of known length
	// MaxKept bounds for how long a kept connection may have been idle; the
	// target may close it as the request is sent. Zero opens a new one.
	MaxKept time.Duration
	// Deadline ends the whole exchange, body included.
	Deadline time.Time
}

// Answer is a target's answer. Close gives the connection back when the body
// was read to its end, and closes it otherwise.
type Answer struct {
	*http.Response
	client *Client
	conn   *connection
	stop   func() bool
	whole  bool
	failed bool
}

// Do sends a request and waits for the head of its answer. Errors are a
// NotSentError or a LostError.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	conn, err := c.connect(ctx, r)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err := conn.SetDeadline(r.Deadline); err != nil {
		stop()
		_ = conn.Close()
		return nil, &NotSentError{Cause: err}
	}
	counted := &countingWriter{to: conn}
	writeErr := r.HTTP.Write(counted)
	if writeErr != nil && counted.written == 0 {
		stop()
		_ = conn.Close()
		return nil, &NotSentError{Cause: writeErr}
	}
	// A target may answer before it has read a long body, and stop reading.
	response, err := c.readHead(conn, r.HTTP)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, &LostError{Cause: err}
	}
	a := &Answer{Response: response, client: c, conn: conn, stop: stop, failed: writeErr != nil}
	a.Body = &wholeBody{answer: a, from: response.Body}
	return a, nil
}

// maxForeign is how many answers to earlier requests are skipped: one that was
// sent twice, and one that was given up.
const maxForeign = 2

func (c *Client) readHead(conn *connection, request *http.Request) (*http.Response, error) {
	for range maxForeign + 1 {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 100 && response.StatusCode < 200 {
			continue
		}
		if c.config.Owner == nil || c.config.Owner(request, response) {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes)); err != nil {
			return nil, err
		}
		_ = response.Body.Close()
	}
	return nil, errors.New("the target sent answers to other requests; its connection is not used again")
}

// maxForeignBytes bounds what is read of an answer that nobody waits for.
const maxForeignBytes = 1 << 20

type countingWriter struct {
	to      io.Writer
	written int
}

// Write passes bytes on and counts them.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.to.Write(p)
	w.written += n
	return n, err
}

type wholeBody struct {
	answer *Answer
	from   io.ReadCloser
}

// Read notes the proper end of the body.
func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	switch {
	case err == io.EOF:
		b.answer.whole = true
	case err != nil:
		b.answer.failed = true
	}
	return n, err
}

// Close is left to the answer.
func (b *wholeBody) Close() error { return nil }

// Close ends the exchange.
func (a *Answer) Close() {
	undisturbed := a.stop()
	framed := a.ContentLength >= 0 || len(a.TransferEncoding) > 0
	keep := undisturbed && a.whole && !a.failed && !a.Response.Close && framed
	if !keep || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.client.keep(a.conn, a.Header)
}

// keepAliveSlack is how long before the target's own time-out a connection is
// given up, so that the two do not cross: a second of the named whole seconds.
const keepAliveSlack = time.Second

func (c *Client) keep(conn *connection, header http.Header) {
	now := c.config.Now()
	conn.kept = now
	conn.until = now.Add(c.config.IdleTimeout)
	if named, ok := keepAlive(header); ok {
		conn.until = minTime(conn.until, now.Add(named-min(keepAliveSlack, named/2)))
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[conn.address]
	if len(list) >= c.config.MaxIdle {
		_ = list[0].Close()
		list = list[1:]
	}
	c.idle[conn.address] = append(list, conn)
}

func keepAlive(header http.Header) (time.Duration, bool) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *Client) connect(ctx context.Context, r Request) (*connection, error) {
	for {
		conn := c.take(r.Address, r.MaxKept)
		if conn == nil {
			break
		}
		if quiet(conn) {
			return conn, nil
		}
		_ = conn.Close()
	}
	dialer := net.Dialer{Timeout: c.config.ConnectTimeout, Deadline: r.Deadline, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	c.opened.Add(1)
	c.limitUnacked(raw)
	const readBuffer = 2 << 10 // a stream's events are well below it
	return &connection{Conn: raw, address: r.Address, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// take returns the connection that was kept last.
func (c *Client) take(address string, maxKept time.Duration) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	list := c.idle[address]
	for len(list) > 0 {
		conn := list[len(list)-1]
		if now.Before(conn.until) {
			if now.Sub(conn.kept) >= maxKept {
				return nil
			}
			c.idle[address] = list[:len(list)-1]
			return conn
		}
		_ = conn.Close()
		list = list[:len(list)-1]
		c.idle[address] = list
	}
	return nil
}

// Forget closes the kept connections to an address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[address] {
		_ = conn.Close()
	}
	delete(c.idle, address)
}

// Expire closes kept connections whose time is over.
func (c *Client) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	for address, list := range c.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Before(conn.until) {
				kept = append(kept, conn)
				continue
			}
			_ = conn.Close()
		}
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

func (c *Client) limitUnacked(raw net.Conn) {
	tcp, ok := raw.(*net.TCPConn)
	if !ok || c.config.UnackedTimeout <= 0 {
		return
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return // the exchange's own deadline still bounds the wait
	}
	_ = control.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.config.UnackedTimeout.Milliseconds()))
	})
}

// quiet says whether a kept connection is still open and has nothing to read:
// what a target sends unasked belongs to no request.
func quiet(conn *connection) bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := conn.Conn.(*net.TCPConn)
	if !ok {
		return true // connections of tests, which never close by themselves
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}
