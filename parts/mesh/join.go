package mesh

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// joinTimeout is the timeout of one attempt to register and list hosts.
	joinTimeout = time.Second
	// joinBackoff is the initial pause between attempts. It doubles with each
	// attempt, up to maxJoinBackoff.
	joinBackoff    = 300 * time.Millisecond
	maxJoinBackoff = 3 * time.Second
	// hostsPerDatagram is the maximum number of hosts in one datagram.
	hostsPerDatagram = 20
)

// introductionTimes are the times after joining at which a daemon introduces itself
// to all hosts. It does so several times because datagrams get lost.
var introductionTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond}

// Directory is the directory in which hosts find each other.
type Directory struct {
	// Register adds the daemon to the directory.
	Register func(ctx context.Context, h Host) error
	// Hosts returns all registered hosts.
	Hosts func(ctx context.Context) ([]Host, error)
	// Seeds are mesh addresses (IP:port) of some hosts. They may be out of date.
	Seeds []string
}

// Join registers the daemon, lists the other hosts and introduces the daemon to them.
// It registers before it lists, so that of two daemons that join concurrently at least
// one finds the other. Before each attempt it also asks the seeds for their known hosts,
// in case the directory does not answer. It returns after the last introduction or when
// ctx ends.
func (m *Mesh) Join(ctx context.Context, d Directory) {
	registered := false
	for backoff := joinBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxJoinBackoff) {
		for _, seed := range d.Seeds {
			m.requestHosts(seed)
		}
		if m.tryJoin(ctx, d, &registered) {
			break
		}
		sleep(ctx, backoff+time.Duration(rand.Int64N(int64(joinBackoff))))
	}
	previous := time.Duration(0)
	for _, at := range introductionTimes {
		sleep(ctx, at-previous)
		previous = at
		m.introduceAll()
	}
}

// tryJoin makes one attempt to register the daemon and list the hosts, and reports
// whether it succeeded. It skips the registration if *registered is set.
func (m *Mesh) tryJoin(ctx context.Context, d Directory, registered *bool) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if !*registered {
		if err := d.Register(ctx, m.config.Self); err != nil {
			m.config.Log.Warn().Err(err).Msg("cannot register host; asking the seeds and retrying")
			return false
		}
		*registered = true
	}
	hosts, err := d.Hosts(ctx)
	if err != nil {
		m.config.Log.Warn().Err(err).Msg("cannot list hosts; retrying")
		return false
	}
	for _, h := range hosts {
		m.addHost(h, fromDirectory)
	}
	m.joined.Store(true)
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

// introduceAll sends the record of the daemon to all known hosts.
func (m *Mesh) introduceAll() {
	self := m.config.Self
	for _, role := range []Role{RoleEntry, RoleTarget} {
		for _, h := range m.Known(role) {
			m.Send(h.Name, Message{Host: &self})
		}
	}
}

// sendHosts sends all known hosts, including this one, to a daemon that has requested
// them. It sends nothing if that daemon is unknown.
func (m *Mesh) sendHosts(name string) {
	hosts := append(m.Known(RoleEntry), m.Known(RoleTarget)...)
	hosts = append(hosts, m.config.Self)
	for len(hosts) > 0 {
		n := min(len(hosts), hostsPerDatagram)
		m.Send(name, Message{Hosts: hosts[:n]})
		hosts = hosts[n:]
	}
}
