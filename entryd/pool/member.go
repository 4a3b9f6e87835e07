package pool

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
)

// Bounds of the backoff between attempts to open a link.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// callTimeout bounds the opening of a link with its hello, and each of the short calls
// on it: heartbeat, settle and cancel.
const callTimeout = time.Second

// catchUpInterval is the interval between heartbeats to a target whose configuration
// is older than this entry's.
const catchUpInterval = 100 * time.Millisecond

// maxFailedHeartbeats is how many heartbeats in a row may fail before the link is
// closed.
const maxFailedHeartbeats = 3

// member is the link to one target and what the target reported. The pool's lock
// guards its fields.
type member struct {
	pool    *Pool
	name    string
	address string
	index   int // of its entry in Pool.targets
	cancel  context.CancelFunc
	removed bool

	conn           *link.Conn         // nil while the link is down
	incarnation    string             // identifies the target's current process
	clockOffset    time.Duration      // the target's clock minus the local clock
	configOffset   int64              // log offset of the target's configuration
	leaving        bool               // as the target reported
	suspendedUntil time.Time          // see Pool.Suspend
	streams        map[string]*stream // by ID of the attempt
	changed        chan struct{}      // closed and replaced when conn changes
}

// maintain opens the link, sends heartbeats on it, and opens it again after a loss,
// until ctx ends.
func (m *member) maintain(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		conn, err := m.connect(ctx)
		if err != nil {
			m.pool.sleep(ctx, m.pool.config.Jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		m.sendHeartbeats(ctx, conn)
		conn.Close()
		m.down()
	}
}

func (p *Pool) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// connect opens the link and exchanges hello messages with the target.
func (m *member) connect(ctx context.Context) (*link.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	netConn, err := m.pool.config.Dial(ctx, m.address)
	if err != nil {
		return nil, err
	}
	conn := link.NewConn(netConn, m.methods())
	var hello contract.Hello
	sentAt := m.pool.config.Now()
	if err := conn.Call(ctx, contract.MethodHello, contract.HelloRequest{Entry: m.pool.config.EntryName}, &hello); err != nil {
		conn.Close()
		return nil, err
	}
	m.up(conn, hello, sentAt)
	return conn, nil
}

// up records an open link and the contents of the target's hello. The clock offset
// assumes that the target read its clock halfway through the exchange.
func (m *member) up(conn *link.Conn, hello contract.Hello, sentAt time.Time) {
	now := m.pool.config.Now()
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if m.removed {
		return
	}
	m.conn = conn
	m.incarnation = hello.Incarnation
	m.clockOffset = hello.Clock.Sub(sentAt.Add(now.Sub(sentAt) / 2))
	t := &m.pool.targets[m.index]
	t.Kind, t.ServiceName, t.Version = hello.Kind, hello.ServiceName, hello.Version
	if hello.Zone != "" {
		t.Zone = hello.Zone
	}
	m.setLoad(hello.Load)
	m.signal()
}

// down records that the link is closed.
func (m *member) down() {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.conn = nil
	if !m.removed {
		m.pool.refresh(m)
	}
	m.signal()
}

// signal wakes the goroutines that wait for the link to change. The caller holds the
// lock.
func (m *member) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// setLoad records the load that the target reported. The caller holds the lock.
func (m *member) setLoad(l contract.Load) {
	if m.removed {
		return
	}
	t := &m.pool.targets[m.index]
	t.Load, t.ReportedAt, t.SentSinceReport = l, m.pool.config.Now(), 0
	m.leaving = l.Leaving
	m.pool.refresh(m)
}

// refresh recomputes whether routing may send requests to a member. The caller holds
// the lock.
func (p *Pool) refresh(m *member) {
	t := &p.targets[m.index]
	t.Leaving = m.leaving || p.hosts[m.name].Leaving
	t.Connected = m.conn != nil && !p.config.Now().Before(m.suspendedUntil)
}

// sendHeartbeats sends heartbeats at intervals, and at once when the entry's configuration
// changes, until ctx ends, the link is lost, or the target no longer answers them.
func (m *member) sendHeartbeats(ctx context.Context, conn *link.Conn) {
	timer := time.NewTimer(m.pool.config.Heartbeat)
	defer timer.Stop()
	failed := 0
	for {
		changed := m.pool.config.ConfigChanged()
		select {
		case <-ctx.Done():
			return
		case <-conn.Done():
			return
		case <-changed:
		case <-timer.C:
		}
		ok := m.heartbeat(ctx, conn)
		timer.Reset(m.nextHeartbeat())
		if ok {
			failed = 0
			continue
		}
		failed++
		if failed >= maxFailedHeartbeats {
			m.pool.config.Logger.Warn().Str("target", m.name).Msg("target did not answer heartbeats; closing the link")
			return
		}
	}
}

// nextHeartbeat returns the time to the next heartbeat. It is short while the target
// fetches a newer configuration, so that this entry soon learns that the target has
// it.
func (m *member) nextHeartbeat() time.Duration {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if m.configOffset < m.pool.config.ConfigOffset() {
		return min(catchUpInterval, m.pool.config.Heartbeat)
	}
	return max(m.pool.config.Heartbeat, heartbeatInterval(len(m.pool.members)))
}

// The traffic of heartbeats in both directions: how much one entry may cause on all its
// links together, and the size of one heartbeat with its answer.
const (
	heartbeatBytesPerSecond = 4096
	heartbeatBytes          = 170
)

// heartbeatInterval returns the interval between heartbeats on each link that keeps an
// entry with that many links within its budget. A long interval is acceptable: links
// with traffic learn the load from answers, and a target that leaves announces it.
func heartbeatInterval(links int) time.Duration {
	return time.Duration(links) * time.Second * heartbeatBytes / heartbeatBytesPerSecond
}

// heartbeat sends one heartbeat, records the answer, and reports whether there was
// one.
func (m *member) heartbeat(ctx context.Context, conn *link.Conn) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer contract.Heartbeat
	request := contract.HeartbeatRequest{ConfigOffset: m.pool.config.ConfigOffset()}
	if err := conn.Call(ctx, contract.MethodHeartbeat, request, &answer); err != nil {
		return false
	}
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.configOffset = answer.ConfigOffset
	m.setLoad(answer.Load)
	return true
}

// methods returns the configured methods and those for streamed frames and for the
// target's announcement that it leaves.
func (m *member) methods() link.Methods {
	methods := link.Methods{}
	for name, method := range m.pool.config.Methods {
		methods[name] = method
	}
	methods[contract.MethodFrames] = link.Method{Inline: true, Run: m.handleFrames}
	methods[contract.MethodLeaving] = link.Method{Inline: true, Run: m.handleLeaving}
	return methods
}

// handleFrames queues frames on the streams of their attempts. It drops a late frame
// of an attempt that has ended.
func (m *member) handleFrames(_ context.Context, _ *link.Conn, params json.RawMessage) (any, error) {
	frames, err := link.Decode[[]contract.Frame](params)
	if err != nil {
		return nil, err
	}
	for _, f := range frames {
		m.pool.mu.Lock()
		s := m.streams[f.Attempt]
		m.pool.mu.Unlock()
		if s != nil {
			s.push(f)
		}
	}
	return nil, nil
}

// handleLeaving excludes a target that announced that it leaves from new requests.
func (m *member) handleLeaving(context.Context, *link.Conn, json.RawMessage) (any, error) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.leaving = true
	if !m.removed {
		m.pool.refresh(m)
	}
	return nil, nil
}

// DialTCP opens a TCP connection to the address. It is the Dial of Config in
// production.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	return conn, errors.Wrap(err, "pool")
}
