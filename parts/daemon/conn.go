package daemon

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"camphormill.dev/parts/bytebudget"
)

// trackedConn is a connection of a Server.
type trackedConn struct {
	net.Conn
	onClose func(c *trackedConn)
	budget  *bytebudget.Budget // nil: heads have no bound

	mu            sync.Mutex
	activity      activity
	gaveWay       bool // the connection is closed, and no further request of it runs
	headBytes     int
	headReserved  int              // bytes of the head for which there is room
	headHold      *bytebudget.Hold // nil while the head is small
	unmarkedBytes int              // of a body, since the last progress
	bodyUntil     time.Time        // by which the body must have come; zero if none is due
	writeUntil    time.Time        // deadline for writing, as the HTTP server or the handler has set it
	waiting       bool             // for the first byte of a request
	// waitingUntil is the time before which a connection that waits is not closed.
	waitingUntil time.Time
	closing      bool      // reading ends at once, unless bytes have come
	deadline     time.Time // for reading, as the HTTP server has set it
	bufferBytes  int       // size of the HTTP server's read buffer
}

// Read reads from the connection and notes the begin of a request.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.hasBuffered(len(p)) {
		c.recordRequest()
	}
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isWaiting() {
		if n = readArrived(c.Conn, p); n > 0 {
			err = nil
		}
	}
	if n > 0 {
		c.recordRequest()
		if !c.recordRead(n) {
			return 0, &net.OpError{Op: "read", Err: errGaveWay} // the HTTP server answers no other error with nothing
		}
	}
	return n, err
}

// hasBuffered reports whether the HTTP server has bytes of a request while it reads: it asks for less than its whole
// buffer then. It has read them with an earlier request or while that ran.
func (c *trackedConn) hasBuffered(readBytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bufferBytes == 0 {
		c.bufferBytes = readBytes // the first read is into an empty buffer
	}
	return readBytes < c.bufferBytes
}

// readArrived reads the bytes that have arrived. Once a deadline has passed, Read fails without looking for them.
func readArrived(conn net.Conn, p []byte) int {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := source.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	_ = control.Control(func(fd uintptr) { // fails only on a closed connection
		n, _, err = unix.Recvfrom(int(fd), p, unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0
	}
	return n
}

// hasArrived reports whether bytes have arrived that nobody has read.
func hasArrived(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := source.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	_ = control.Control(func(fd uintptr) { // fails only on a closed connection
		var first [1]byte
		n, _, err = unix.Recvfrom(int(fd), first[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// SetReadDeadline sets the deadline for reading, for a connection that is about to be closed when it is not closed
// after all.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.bodyUntil.IsZero() && (t.IsZero() || t.After(c.bodyUntil)) {
		t = c.bodyUntil
	}
	c.deadline = t
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	defer c.onClose(c)
	return c.Conn.Close()
}

func (c *trackedConn) isWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting
}

// closeIfWaiting ends the reading of a connection on which no request has begun to arrive, so that the HTTP
// server closes it. A request that has arrived when reading ends is read and answered.
func (c *trackedConn) closeIfWaiting(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting || c.closing || now.Before(c.waitingUntil) {
		return
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(pastTime) // fails only on a closed connection
}

func (c *trackedConn) recordRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(c.deadline) // fails only on a closed connection
	}
}

func (c *trackedConn) recordWaiting() {
	c.releaseHead()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activity, c.bodyUntil = activity{phase: phaseIdle, since: time.Now()}, time.Time{}
	if !c.writeUntil.IsZero() {
		c.writeUntil = time.Time{}
		_ = c.Conn.SetWriteDeadline(time.Time{}) // fails only on a closed connection
	}
	c.waiting, c.waitingUntil = true, time.Now().Add(nextRequestTime)
}

// errGaveWay reports a connection that is closed to make room for others, or because there is no memory for a head.
var errGaveWay = errors.New("the connection gives way to others; open it again later")

func (c *trackedConn) currentActivity() activity {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activity
}

// giveWay marks a connection that is about to be closed, unless its client has made progress meanwhile.
func (c *trackedConn) giveWay(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rank, _ := c.activity.rank(now)
	c.gaveWay = c.gaveWay || rank > 0
	return rank > 0
}

func (c *trackedConn) hasGivenWay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gaveWay
}

// recordRead notes what the client has sent. It returns false if the connection gives way, also because there is no room
// for the head of its request.
func (c *trackedConn) recordRead(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.activity.phase {
	case phaseOpened, phaseIdle:
		c.activity = activity{phase: phaseHead, since: time.Now()}
		c.headBytes, c.headReserved = n, freeHeadBytes
	case phaseHead:
		c.headBytes += n
	case phaseBody:
		if c.unmarkedBytes += n; c.unmarkedBytes >= progressBytes {
			c.unmarkedBytes, c.activity.since = 0, time.Now()
		}
	}
	return !c.gaveWay && c.growHead()
}

// growHead reserves room for what has come of the head. The caller holds c.mu, which growHead gives up while it uses the
// budget: that ends the reading of other connections.
func (c *trackedConn) growHead() bool {
	missing := c.headBytes - c.headReserved
	if c.budget == nil || missing <= 0 {
		return true
	}
	blocks := (missing + headBlockBytes - 1) / headBlockBytes
	hold := c.headHold
	c.mu.Unlock()
	if hold == nil {
		hold = c.budget.Open(func() { _ = c.Conn.Close() })
	}
	grown := hold.Grow(int64(blocks) * headCost * headBlockBytes)
	c.mu.Lock()
	c.headHold = hold
	c.headReserved += blocks * headBlockBytes
	return grown
}

// recordHead notes that the head of a request has come.
func (c *trackedConn) recordHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activity, c.bodyUntil = activity{phase: phaseRunning, since: time.Now()}, time.Time{}
}

// settleHead notes that the whole request has come, so that the room for its head no longer gives way.
func (c *trackedConn) settleHead() {
	c.mu.Lock()
	hold := c.headHold
	c.mu.Unlock()
	if hold.Settle() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gaveWay = true
}

// releaseHead releases the room for the head of a request that has ended.
func (c *trackedConn) releaseHead() {
	c.mu.Lock()
	hold := c.headHold
	c.headHold, c.headBytes, c.headReserved = nil, 0, 0
	c.mu.Unlock()
	hold.Close()
}

// beginBody notes that a handler begins to wait for a body.
func (c *trackedConn) beginBody() {
	now := time.Now()
	c.mu.Lock()
	c.activity = activity{phase: phaseBody, since: now}
	c.unmarkedBytes, c.bodyUntil = 0, now.Add(bodyTimeout)
	c.mu.Unlock()
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
}

// endBody notes that the whole body has come. It returns false if the connection has given way before.
func (c *trackedConn) endBody() bool {
	c.settleHead()
	c.mu.Lock()
	due, gaveWay := !c.bodyUntil.IsZero(), c.gaveWay
	if due {
		c.activity.phase, c.bodyUntil = phaseRunning, time.Time{}
	}
	c.mu.Unlock()
	if due {
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	return !gaveWay
}

// endHandler notes that a handler has returned. The HTTP server discards what has not come of the body, before it sends the
// response. A deadline that the handler has set and that comes earlier stays.
func (c *trackedConn) endHandler() {
	until := time.Now().Add(discardTime)
	c.mu.Lock()
	extends := c.bodyUntil.IsZero() || (!c.deadline.IsZero() && c.deadline.Before(until))
	c.mu.Unlock()
	if !extends {
		_ = c.SetReadDeadline(until) // fails only on a closed connection
	}
}

// Write writes to the client, which must read within writeStallTime.
func (c *trackedConn) Write(p []byte) (int, error) {
	now := time.Now()
	c.mu.Lock()
	until := now.Add(writeStallTime)
	if !c.writeUntil.IsZero() && c.writeUntil.Before(until) {
		until = c.writeUntil
	}
	c.activity.writingAt = now
	err := c.Conn.SetWriteDeadline(until)
	c.mu.Unlock()
	n := 0
	if err == nil {
		n, err = c.Conn.Write(p)
	}
	c.mu.Lock()
	c.activity.writingAt = time.Time{}
	c.mu.Unlock()
	return n, err
}

// SetWriteDeadline sets the deadline for writing.
func (c *trackedConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeUntil = t
	return c.Conn.SetWriteDeadline(t)
}
