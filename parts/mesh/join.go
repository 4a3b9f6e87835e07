package mesh

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// joinTimeout bounds one call of the list of hosts.
	joinTimeout = time.Second
	// joinRetry is the pause before the list is tried again, doubled each time
	// up to maxJoinRetry.
	joinRetry    = 300 * time.Millisecond
	maxJoinRetry = 3 * time.Second
	// hostsAnswer is how many hosts one datagram names.
	hostsAnswer = 20
)

// introductions are the times at which a daemon that has joined makes itself
// known, more than once since datagrams get lost.
var introductions = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond}

// List is where hosts find each other.
type List struct {
	Register func(ctx context.Context, h Host) error
	Hosts    func(ctx context.Context) ([]Host, error)
	// Seeds are addresses of some hosts, which may be stale.
	Seeds []string
}

// Join registers the daemon, learns of the others and makes itself known to
// them. Of two that join at once the later one lists the earlier one. Until the
// list can be read, the seeds are asked.
func (m *Mesh) Join(ctx context.Context, l List) {
	registered := false
	for pause := joinRetry; ctx.Err() == nil; pause = min(2*pause, maxJoinRetry) {
		for _, seed := range l.Seeds {
			m.ask(seed)
		}
		if m.tryJoin(ctx, l, &registered) {
			break
		}
		sleep(ctx, pause+time.Duration(rand.Int64N(int64(joinRetry))))
	}
	last := time.Duration(0)
	for _, at := range introductions {
		sleep(ctx, at-last)
		last = at
		m.introduceAll()
	}
}

func (m *Mesh) tryJoin(ctx context.Context, l List, registered *bool) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if !*registered {
		if err := l.Register(ctx, m.config.Self); err != nil {
			m.config.Log.Warn().Err(err).Msg("host cannot be registered; seeds are asked, and it is tried again")
			return false
		}
		*registered = true
	}
	hosts, err := l.Hosts(ctx)
	if err != nil {
		m.config.Log.Warn().Err(err).Msg("hosts cannot be listed; tried again")
		return false
	}
	for _, h := range hosts {
		m.add(h, false)
	}
	m.config.Log.Info().Int("hosts", len(hosts)).Msg("joined the fleet")
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (m *Mesh) introduceAll() {
	self := m.config.Self
	for _, role := range []Role{Entry, Target} {
		for _, h := range m.Known(role) {
			m.Send(h.Name, Message{Host: &self})
		}
	}
}

// tellHosts answers a daemon that has just come and knows nobody.
func (m *Mesh) tellHosts(name string) {
	hosts := append(m.Known(Entry), m.Known(Target)...)
	hosts = append(hosts, m.config.Self)
	for len(hosts) > 0 {
		n := min(len(hosts), hostsAnswer)
		m.Send(name, Message{Hosts: hosts[:n]})
		hosts = hosts[n:]
	}
}
