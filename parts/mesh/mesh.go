// Package mesh carries small messages between the daemons of a fleet as
// datagrams: a host that is cut off or frozen blocks nobody, and what is lost is
// sent again by whoever still needs it. Each datagram is one JSON notification.
package mesh

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// maxDatagram is what one message may have, as UDP allows.
const maxDatagram = 60 << 10

// Config is what a Mesh is built from.
type Config struct {
	Self Host
	// Silence is after which time without a message a host counts as lost.
	Silence time.Duration
	Now     func() time.Time
	Log     zerolog.Logger
	// Handle takes each message of another host.
	Handle func(from Host, m Message)
	// Lost and Found are told of hosts that fall silent and return.
	Lost  func(h Host)
	Found func(h Host)
}

// Mesh knows the other daemons. It is safe for concurrent use.
type Mesh struct {
	config  Config
	conn    *net.UDPConn
	dropped atomic.Int64

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	host  Host
	to    netip.AddrPort
	heard time.Time
	alive bool
	beat  Beat
}

// Listen opens the mesh's socket at the address of the daemon itself.
func Listen(c Config) (*Mesh, error) {
	at, err := netip.ParseAddrPort(c.Self.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "mesh address %s; write IP and port", c.Self.Address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrapf(err, "cannot listen on %s; free the port or set another", c.Self.Address)
	}
	return &Mesh{config: c, conn: conn, peers: map[string]*peer{}}, nil
}

// Run takes messages until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = m.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := m.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			m.config.Log.Warn().Err(err).Msg("datagram cannot be received; the next is awaited")
			continue
		}
		var message Message
		if err := json.Unmarshal(buffer[:n], &message); err != nil {
			m.config.Log.Warn().Err(err).Int("bytes", n).Msg("datagram cannot be read; it is dropped")
			continue
		}
		if from, ok := m.heard(message); ok {
			m.config.Handle(from, message)
		}
	}
}

// heard notes the sender. A message of an unknown sender that does not
// introduce itself is dropped.
func (m *Mesh) heard(message Message) (Host, bool) {
	for _, h := range message.Hosts {
		m.add(h, false)
	}
	if message.Host != nil {
		m.add(*message.Host, true)
	}
	if message.AskHosts {
		m.tellHosts(message.From)
	}
	m.mu.Lock()
	p, ok := m.peers[message.From]
	if !ok {
		m.mu.Unlock()
		return Host{}, false
	}
	p.heard = m.config.Now()
	found := !p.alive
	p.alive = true
	if message.Beat != nil {
		p.beat = *message.Beat
	}
	host := p.host
	m.mu.Unlock()
	if found && m.config.Found != nil {
		m.config.Found(host)
	}
	return host, true
}

// add makes a host known. It does not count as alive before it is heard. What it
// says of itself replaces what others say of it.
func (m *Mesh) add(h Host, itself bool) {
	if h.Name == m.config.Self.Name || h.Name == "" {
		return
	}
	to, err := netip.ParseAddrPort(h.Address)
	if err != nil {
		m.config.Log.Warn().Err(err).Str("host", h.Name).Msg("host has no usable address; it is left out")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.peers[h.Name]; known && !itself {
		return
	}
	p, known := m.peers[h.Name]
	if !known {
		p = &peer{}
		m.peers[h.Name] = p
	}
	p.host, p.to = h, to
}

// ask introduces the daemon to an address and asks which hosts there are.
func (m *Mesh) ask(address string) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		m.config.Log.Warn().Err(err).Str("address", address).Msg("seed has no usable address; it is left out")
		return
	}
	self := m.config.Self
	m.send(to, Message{Host: &self, AskHosts: true})
}

// Send sends a message to a host by name.
func (m *Mesh) Send(name string, message Message) {
	m.mu.Lock()
	var to netip.AddrPort
	p, ok := m.peers[name]
	if ok {
		to = p.to // a host that has started anew may replace it meanwhile
	}
	m.mu.Unlock()
	if ok {
		m.send(to, message)
	}
}

func (m *Mesh) send(to netip.AddrPort, message Message) {
	message.From = m.config.Self.Name
	raw, err := json.Marshal(message)
	if err != nil {
		m.config.Log.Error().Err(err).Msg("message cannot be encoded; it is dropped")
		return
	}
	if _, err := m.conn.WriteToUDPAddrPort(raw, to); err != nil {
		m.dropped.Add(1) // as if lost on the way; it is sent again if still needed
	}
}

// Dropped counts the datagrams that the system did not take.
func (m *Mesh) Dropped() int64 { return m.dropped.Load() }

// Self is the daemon's own record.
func (m *Mesh) Self() Host { return m.config.Self }

// Known returns all other hosts of a role, alive or not, by name.
func (m *Mesh) Known(role Role) []Host {
	return m.list(role, func(*peer) bool { return true })
}

// Alive returns the other hosts of a role that were heard within the silence.
func (m *Mesh) Alive(role Role) []Host {
	now := m.config.Now()
	return m.list(role, func(p *peer) bool { return p.alive && now.Sub(p.heard) < m.config.Silence })
}

// Open returns the other entries that take callers.
func (m *Mesh) Open() []Host {
	now := m.config.Now()
	return m.list(Entry, func(p *peer) bool {
		return p.alive && now.Sub(p.heard) < m.config.Silence && p.beat.Ready && !p.beat.Leaving
	})
}

// LastBeat returns the newest beat of a host.
func (m *Mesh) LastBeat(name string) (Beat, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	if !ok || p.beat.Sent == 0 {
		return Beat{}, false
	}
	return p.beat, true
}

func (m *Mesh) list(role Role, want func(p *peer) bool) []Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	var hosts []Host
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		if p := m.peers[name]; p.host.Role == role && want(p) {
			hosts = append(hosts, p.host)
		}
	}
	return hosts
}

// Watch tells of hosts that have fallen silent.
func (m *Mesh) Watch() {
	now := m.config.Now()
	var lost []Host
	m.mu.Lock()
	for _, p := range m.peers {
		if p.alive && now.Sub(p.heard) >= m.config.Silence {
			p.alive = false
			lost = append(lost, p.host)
		}
	}
	m.mu.Unlock()
	for _, h := range lost {
		if m.config.Lost != nil {
			m.config.Lost(h)
		}
	}
}
