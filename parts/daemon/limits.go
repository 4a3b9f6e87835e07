package daemon

import (
	"io"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"camphormill.dev/parts/bytebudget"
)

// Limits bounds what the clients of a Server may make the process hold.
type Limits struct {
	// Connections is how many may be open at a time; 0 sets no bound. At the bound, a connection whose client has
	// stalled gives way to a new one, then the one that has been idle longest. If there is neither, the new one is closed.
	Connections int
	// Budget bounds the heads of requests; nil sets no bound.
	Budget *bytebudget.Budget
}

const (
	// clientStallTime is the time without progress after which a connection gives way to a new one.
	clientStallTime = 500 * time.Millisecond
	// bodyTimeout bounds the time that a client takes to send a body, unless the handler sets an earlier deadline.
	bodyTimeout = time.Minute
	// writeStallTime bounds one write to a client that doesn't read.
	writeStallTime = 30 * time.Second
	// progressBytes is how much of a body has to come to count as progress.
	progressBytes = 64 << 10
	// freeHeadBytes is the part of a head that the budget doesn't count.
	freeHeadBytes = 2 << 10
	// headBlockBytes is the part of a head for which room is reserved at a time.
	headBlockBytes = 4 << 10
	// headCost is the memory for a byte of a head: each of its lines, however short, becomes an entry of a map.
	headCost = 16
	// discardTime is how long the rest of a body that its handler didn't read may take.
	discardTime = time.Second
)

// Shares divides the descriptors and the memory of an entry among its servers.
type Shares struct {
	Callers, Directory, Operations int // connections; Operations is that of each server for operators and checks
}

const (
	callersShare    = 0.35 // of the descriptors; the same number is left for connections to targets
	directoryShare  = 0.1
	operationsShare = 0.03
	maxOperations   = 64
	// connectionMemoryShare is the share of a process's memory for connections of connectionBytes each.
	connectionMemoryShare = 0.25
	connectionBytes       = 64 << 10
)

// NewShares returns the shares of a process with the given descriptors (0: the limit of the process) and memory in
// MiB (0: not known).
func NewShares(descriptors int, memoryMB float64) Shares {
	if descriptors <= 0 {
		descriptors = processDescriptors()
	}
	callers, directory := callersShare*float64(descriptors), directoryShare*float64(descriptors)
	if memoryMB > 0 {
		most := connectionMemoryShare * memoryMB * (1 << 20) / connectionBytes
		callers, directory = min(callers, most), min(directory, most/2)
	}
	operations := min(operationsShare*float64(descriptors), maxOperations)
	return Shares{Callers: max(1, int(callers)), Directory: max(1, int(directory)), Operations: max(1, int(operations))}
}

// processDescriptors returns how many descriptors the process may have open.
func processDescriptors() int {
	const unknown = 1024 // the usual limit
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return unknown
	}
	const most = 1 << 20
	return int(min(limit.Cur, most))
}

// phase is what a connection is doing.
type phase int

const (
	phaseOpened  phase = iota // nothing has come yet
	phaseHead                 // the head of a request is arriving
	phaseBody                 // a handler waits for the rest of a body
	phaseRunning              // a handler has the whole request
	phaseIdle                 // open for another request
)

// activity is the state of a connection by which it may have to give way.
type activity struct {
	phase     phase
	since     time.Time // when the phase began, or of the last progress in it
	writingAt time.Time // when the write that goes on began; zero if none does
}

// stalledSince returns since when the client has made no progress, or false if it isn't its turn.
func (a activity) stalledSince() (time.Time, bool) {
	switch {
	case !a.writingAt.IsZero():
		return a.writingAt, true
	case a.phase == phaseOpened, a.phase == phaseHead, a.phase == phaseBody:
		return a.since, true
	}
	return time.Time{}, false
}

// givesWayBefore reports whether a connection gives way before another one. One that is neither stalled nor idle
// doesn't give way at all.
func (a activity) givesWayBefore(b activity, now time.Time) bool {
	rankA, sinceA := a.rank(now)
	rankB, sinceB := b.rank(now)
	if rankA != rankB {
		return rankA > rankB
	}
	return sinceA.Before(sinceB)
}

// rank returns how soon a connection gives way, and since when it could; 0 stands for never.
func (a activity) rank(now time.Time) (int, time.Time) {
	const never, idle, stalled = 0, 1, 2
	if since, ok := a.stalledSince(); ok {
		if now.Sub(since) < clientStallTime {
			return never, since
		}
		return stalled, since
	}
	if a.phase == phaseIdle {
		return idle, a.since
	}
	return never, a.since
}

// makeRoom closes a connection if there are as many as are allowed. It returns false if none gives way. The caller
// holds s.mu.
func (s *Server) makeRoom(now time.Time) bool {
	if s.limits.Connections <= 0 || len(s.connections) < s.limits.Connections {
		return true
	}
	first := s.firstToGiveWay(now)
	if first == nil || !first.giveWay(now) {
		s.refused.Add(1)
		return false
	}
	s.evicted.Add(1)
	delete(s.connections, first)
	_ = first.Conn.Close() // the HTTP server ends it when it reads or writes
	return true
}

// firstToGiveWay returns the connection that gives way first, nil if none does. One on which bytes have arrived that the
// server has not read yet is as little stalled as idle. The caller holds s.mu.
func (s *Server) firstToGiveWay(now time.Time) *trackedConn {
	const attempts = 8
	unread := map[*trackedConn]bool{}
	for range attempts {
		var first *trackedConn
		var of activity
		for c := range s.connections {
			if a := c.currentActivity(); !unread[c] && (first == nil || a.givesWayBefore(of, now)) {
				first, of = c, a
			}
		}
		if rank, _ := of.rank(now); first == nil || rank == 0 {
			return nil
		}
		if (of.phase != phaseOpened && of.phase != phaseIdle) || !hasArrived(first.Conn) {
			return first
		}
		unread[first] = true
	}
	return nil
}

// bodyReader is the body of a request. It tells its connection when the whole body has come.
type bodyReader struct {
	io.ReadCloser
	conn *trackedConn
}

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.endBody() {
		err = errGaveWay
	}
	return n, err
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// trackBody makes the connection of a request tell a handler that waits for the body from one that runs. It returns the
// request for the handler, and a function that must be called when the handler has returned. It aborts a request whose
// connection has given way.
func trackBody(r *http.Request) (*http.Request, func()) {
	conn, ok := r.Context().Value(connectionKey{}).(*trackedConn)
	if !ok {
		return r, func() {}
	}
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		conn.settleHead()
		if conn.hasGivenWay() {
			panic(http.ErrAbortHandler)
		}
		return r, func() {}
	}
	conn.beginBody()
	tracked := *r // the HTTP server looks at the body of the original
	tracked.Body = &bodyReader{ReadCloser: r.Body, conn: conn}
	return &tracked, conn.endHandler
}
