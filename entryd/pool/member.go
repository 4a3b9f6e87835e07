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

// Redial times of a link that is down.
const (
	firstRedial = 50 * time.Millisecond
	lastRedial  = 500 * time.Millisecond
)

// callTimeout bounds small calls on a link: hello, heartbeat, settle.
const callTimeout = time.Second

// catchUpHeartbeat is the time between heartbeats to a target whose
// configuration is behind.
const catchUpHeartbeat = 100 * time.Millisecond

// silentHeartbeats is how many heartbeats may fail before the link is given up.
const silentHeartbeats = 3

// member is the link to one target. Its fields are guarded by the pool's lock.
type member struct {
	pool    *Pool
	name    string
	address string
	index   int
	cancel  context.CancelFunc
	removed bool

	conn           *link.Conn // nil while the link is down
	incarnation    string
	clockOffset    time.Duration
	configOffset   int64
	leaving        bool
	suspendedUntil time.Time
	streams        map[string]*stream
	changed        chan struct{} // closed and replaced when conn changes
}

// keep holds the link up until ctx ends.
func (m *member) keep(ctx context.Context) {
	redial := firstRedial
	for ctx.Err() == nil {
		conn, err := m.connect(ctx)
		if err != nil {
			m.pool.sleep(ctx, m.pool.config.Jitter(redial))
			redial = min(2*redial, lastRedial)
			continue
		}
		redial = firstRedial
		m.beat(ctx, conn)
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

func (m *member) connect(ctx context.Context) (*link.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	raw, err := m.pool.config.Dial(ctx, m.address)
	if err != nil {
		return nil, err
	}
	conn := link.NewConn(raw, m.methods())
	var hello contract.Hello
	asked := m.pool.config.Now()
	if err := conn.Call(ctx, contract.MethodHello, contract.HelloRequest{Entry: m.pool.config.Entry}, &hello); err != nil {
		conn.Close()
		return nil, err
	}
	m.up(conn, hello, asked)
	return conn, nil
}

func (m *member) up(conn *link.Conn, hello contract.Hello, asked time.Time) {
	now := m.pool.config.Now()
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if m.removed {
		return
	}
	m.conn = conn
	m.incarnation = hello.Incarnation
	m.clockOffset = hello.Clock.Sub(asked.Add(now.Sub(asked) / 2))
	t := &m.pool.targets[m.index]
	t.Kind, t.Serves, t.Version = hello.Kind, hello.Serves, hello.Version
	if hello.Zone != "" {
		t.Zone = hello.Zone
	}
	m.setLoad(hello.Load)
	m.signal()
}

func (m *member) down() {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.conn = nil
	if !m.removed {
		m.pool.refresh(m)
	}
	m.signal()
}

// signal wakes those who wait for the link to change. The caller holds the lock.
func (m *member) signal() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// setLoad takes the target's own word about its load. The caller holds the lock.
func (m *member) setLoad(l contract.Load) {
	if m.removed {
		return
	}
	t := &m.pool.targets[m.index]
	t.Load, t.LoadAt, t.Sent = l, m.pool.config.Now(), 0
	m.leaving = l.Leaving
	m.pool.refresh(m)
}

// refresh derives what routing sees of a member. The caller holds the lock.
func (p *Pool) refresh(m *member) {
	t := &p.targets[m.index]
	t.Leaving = m.leaving || p.hosts[m.name].Leaving
	t.Reached = m.conn != nil && !p.config.Now().Before(m.suspendedUntil)
}

// beat sends heartbeats until the link is lost or silent.
func (m *member) beat(ctx context.Context, conn *link.Conn) {
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
		timer.Reset(m.untilNext())
		if ok {
			failed = 0
			continue
		}
		failed++
		if failed >= silentHeartbeats {
			m.pool.config.Log.Warn().Str("target", m.name).Msg("target is silent; closing the link")
			return
		}
	}
}

// untilNext is the time to the next heartbeat: short while the target fetches a
// newer configuration, so that it is soon known to have it.
func (m *member) untilNext() time.Duration {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if m.configOffset < m.pool.config.ConfigOffset() {
		return min(catchUpHeartbeat, m.pool.config.Heartbeat)
	}
	return max(m.pool.config.Heartbeat, heartbeatInterval(len(m.pool.members)))
}

// What all heartbeats of an entry may cost, and what one costs, both ways.
const (
	heartbeatBytesPerSecond = 4096
	heartbeatBytes          = 170
)

// heartbeatInterval is the time between two heartbeats on a link that keeps an
// entry with many links in its budget. Links with traffic learn the load from
// answers, and a target that leaves says so by itself.
func heartbeatInterval(links int) time.Duration {
	return time.Duration(links) * time.Second * heartbeatBytes / heartbeatBytesPerSecond
}

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

// methods adds the frames of streamed answers to what a target may ask.
func (m *member) methods() link.Methods {
	methods := link.Methods{}
	for name, method := range m.pool.config.Methods {
		methods[name] = method
	}
	methods[contract.MethodFrames] = link.Method{Inline: true, Run: m.takeFrames}
	methods[contract.MethodLeaving] = link.Method{Inline: true, Run: m.noteLeaving}
	return methods
}

// takeFrames hands frames to their streams. A late frame of an attempt that is
// over is dropped.
func (m *member) takeFrames(_ context.Context, _ *link.Conn, params json.RawMessage) (any, error) {
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

// noteLeaving keeps new work from a target that says it leaves.
func (m *member) noteLeaving(context.Context, *link.Conn, json.RawMessage) (any, error) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.leaving = true
	if !m.removed {
		m.pool.refresh(m)
	}
	return nil, nil
}

// DialTCP is the Dial of real links.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	return conn, errors.Wrap(err, "pool")
}
