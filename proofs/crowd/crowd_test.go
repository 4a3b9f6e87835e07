//go:build crowd

package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/standin/fakeplatform"
)

const (
	dialTimeout = 5 * time.Second
	// sendTimeout bounds the wait until a crowd has sent what it has to send.
	sendTimeout = 6 * time.Second
	// holdTime is how long a crowd holds on once it has sent all it has.
	holdTime = 3 * time.Second
	// askPause is the pause between the ordinary requests beside a crowd.
	askPause = 100 * time.Millisecond
	// replacePause is the pause before a closed connection is replaced.
	replacePause = 50 * time.Millisecond
	// blockBytes is the size of the blocks in which bodies are written.
	blockBytes = 64 << 10
)

// crowd is a number of hostile clients that stay until leave.
type crowd struct {
	fleet *fleet
	ctx   context.Context
	end   context.CancelFunc
	done  sync.WaitGroup // members that have left
	sent  sync.WaitGroup // members that have sent all they have, or cannot

	mu       sync.Mutex
	refusals []refusal
	statuses map[string]int // answers by status, and "closed" for connections that were closed without one
}

// refusal is the answer to a request that promises that it never runs.
type refusal struct {
	id         string
	status     int
	retryAfter string
}

func newCrowd(f *fleet) *crowd {
	ctx, cancel := context.WithCancel(context.Background())
	return &crowd{fleet: f, ctx: ctx, end: cancel, statuses: map[string]int{}}
}

// behaviour is what a member does on its connection. It returns early when a write fails.
type behaviour struct {
	address string
	send    func(m *member)
	slow    bool // goes on sending until the crowd leaves
	mute    bool // never reads
	replace bool // opens another connection in place of a closed one
}

// member is one connection of a crowd.
type member struct {
	conn net.Conn
	ctx  context.Context

	mu  sync.Mutex
	ids []string // of its requests, in the order in which they are sent
}

// join adds members to the crowd.
func (c *crowd) join(count int, b behaviour) {
	for range count {
		c.sent.Add(1)
		c.done.Go(func() {
			var once sync.Once
			sent := func() { once.Do(c.sent.Done) }
			defer sent()
			for {
				c.visit(b, sent)
				if !b.replace || c.ctx.Err() != nil {
					return
				}
				time.Sleep(replacePause)
			}
		})
	}
}

// visit opens a connection, sends what the behaviour says and holds the connection until the other side closes it or
// the crowd leaves. A mute member does not see the close.
func (c *crowd) visit(b behaviour, sent func()) {
	conn, err := net.DialTimeout("tcp", b.address, dialTimeout)
	if err != nil {
		c.count("not connected")
		return
	}
	defer context.AfterFunc(c.ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	m := &member{conn: conn, ctx: c.ctx}
	if b.slow {
		sent()
	}
	if b.mute {
		const smallBufferBytes = 4 << 10
		_ = conn.(*net.TCPConn).SetReadBuffer(smallBufferBytes)
		b.send(m)
		sent()
		<-c.ctx.Done()
		return
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		c.readAnswers(m)
	}()
	b.send(m)
	sent()
	<-closed
}

// readAnswers reads answers until the connection ends.
func (c *crowd) readAnswers(m *member) {
	r := bufio.NewReader(m.conn)
	for n := 0; ; n++ {
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			if n == 0 && c.ctx.Err() == nil {
				c.count("closed")
			}
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		c.record(m, n, response)
		if err != nil {
			return
		}
	}
}

// record records the n-th answer of a connection.
func (c *crowd) record(m *member, n int, response *http.Response) {
	c.count(fmt.Sprint(response.StatusCode))
	m.mu.Lock()
	defer m.mu.Unlock()
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
	default:
		return
	}
	if n >= len(m.ids) {
		return // no request of this crowd has been sent yet: there is nothing that could have run
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals = append(c.refusals, refusal{id: m.ids[n], status: response.StatusCode, retryAfter: response.Header.Get("Retry-After")})
}

func (c *crowd) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[what]++
}

// awaitSent waits until all members have sent what they have, at most sendTimeout.
func (c *crowd) awaitSent() {
	sent := make(chan struct{})
	go func() {
		c.sent.Wait()
		close(sent)
	}()
	select {
	case <-sent:
	case <-time.After(sendTimeout):
	}
}

// leave closes all connections and checks that no request that was refused has reached the target.
func (c *crowd) leave(t *testing.T) {
	t.Helper()
	is := is.NewRelaxed(t)
	c.end()
	c.done.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	t.Logf("the crowd's answers by status: %v", c.statuses)
	for _, r := range c.refusals {
		is.True(!c.fleet.plain.wasReached(r.id)) // the request of a refusal never reaches the target
		if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
			is.True(r.retryAfter != "") // the refusal says when to come back
		}
	}
}

// withstand runs the checks of all tests: ordinary requests are answered while the crowd holds on and after it, and
// the daemons have stayed within their limits. atDoor is asked too, unless it is nil.
func (f *fleet) withstand(t *testing.T, c *crowd, atDoor func(c *caller) error) {
	t.Helper()
	is := is.NewRelaxed(t)
	ask := func() {
		f.answerOrdinary(t)
		if atDoor != nil {
			is.NoErr(atDoor(newCaller(f)))
		}
	}
	c.awaitSent()
	for end := time.Now().Add(holdTime); time.Now().Before(end); time.Sleep(askPause) {
		ask()
	}
	c.leave(t)
	ask()
	f.check(t)
}

// write writes to the connection and reports whether that worked.
func (m *member) write(p []byte) bool {
	_, err := m.conn.Write(p)
	return err == nil
}

// head returns the head of a new request to the callers' door.
func (m *member) head(method, target string, lines ...string) []byte {
	id := nextID()
	m.mu.Lock()
	m.ids = append(m.ids, id)
	m.mu.Unlock()
	own := []string{
		method + " " + target + " HTTP/1.1", "Host: " + fakeplatform.Host, "Attempt-Id: " + id, "Deadline: 20000", "Authorization: Token " + apiKey,
	}
	return []byte(strings.Join(append(own, lines...), "\r\n") + "\r\n\r\n")
}
