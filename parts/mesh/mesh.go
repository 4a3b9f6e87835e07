// Package mesh carries small messages between the daemons of a fleet as UDP datagrams
// and decides for a daemon which other hosts are alive. Because sending never waits
// for the receiver, an unreachable or frozen host blocks no other. Lost datagrams are
// sent again by the senders that still need them. Each datagram is one JSON
// notification.
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

// maxDatagramBytes is the maximum size of a received message. A longer datagram is cut
// off there. UDP over IPv4 allows about 64 KiB.
const maxDatagramBytes = 60 << 10

// Config configures a Mesh.
type Config struct {
	// Self describes this daemon.
	Self Host
	// PeerTimeout is the time without a message after which a host counts as lost.
	PeerTimeout time.Duration
	// Now returns the time by which PeerTimeout is measured.
	Now func() time.Time
	Log zerolog.Logger
	// Socket carries the datagrams. Listen opens a UDP socket at Self.Address if it is nil.
	Socket *Socket
	// Handle is called by Run with each message from a known host. Run receives nothing
	// until it returns. Handle, OnLost and OnAlive are called without the lock of the
	// Mesh, so they may call its methods.
	Handle func(from Host, m Message)
	// OnLost is called by DetectLost for a host that has become silent. OnAlive is called
	// by Run for a host that sends its first message, or its first one after being lost,
	// before Handle gets that message. Either may be nil.
	OnLost  func(h Host)
	OnAlive func(h Host)
	// OnIntroduced is called by Run, without the lock, for a host that introduces itself, as each
	// does when it starts. A host that restarts quickly is never lost, so OnAlive misses it. It may
	// be nil.
	OnIntroduced func(h Host)
}

// Socket sends and receives datagrams. Its functions are safe for concurrent use.
type Socket struct {
	// Receive waits for a datagram and returns its length, or an error after Close.
	Receive func(buffer []byte) (int, error)
	Send    func(datagram []byte, to netip.AddrPort) error
	Close   func() error
}

// newUDPSocket opens a UDP socket at an address, given as IP:port.
func newUDPSocket(address string) (*Socket, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "cannot parse mesh address %s; set it as IP:port", address)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, errors.Wrapf(err, "cannot listen on %s; free the port or set another", address)
	}
	return &Socket{
		Receive: func(buffer []byte) (int, error) {
			n, _, err := conn.ReadFromUDPAddrPort(buffer)
			return n, err
		},
		Send: func(datagram []byte, to netip.AddrPort) error {
			_, err := conn.WriteToUDPAddrPort(datagram, to)
			return err
		},
		Close: conn.Close,
	}, nil
}

// Mesh exchanges messages with the other daemons and keeps a record of each. It is
// safe for concurrent use.
type Mesh struct {
	config  Config
	socket  *Socket
	dropped atomic.Int64
	joined  atomic.Bool

	mu      sync.Mutex
	peers   map[string]*peer
	members map[Role]memberCount // as last counted; cleared when a host is added
	names   []string             // of the peers, sorted; nil after a peer was added or removed
}

// memberCount is the result of MemberCount.
type memberCount struct {
	count      int
	validUntil time.Time
}

type peer struct {
	host         Host
	address      netip.AddrPort
	learnedAt    time.Time
	lastReceived time.Time // newest message from the host; zero if there was none
	alive        bool
	heartbeat    Heartbeat // newest heartbeat
}

// Listen returns a Mesh that receives at the address in c.Self.
func Listen(c Config) (*Mesh, error) {
	socket := c.Socket
	if socket == nil {
		var err error
		if socket, err = newUDPSocket(c.Self.Address); err != nil {
			return nil, err
		}
	}
	return &Mesh{config: c, socket: socket, peers: map[string]*peer{}, members: map[Role]memberCount{}}, nil
}

// Run receives messages and passes them to Config.Handle until ctx ends, which also
// closes the socket.
func (m *Mesh) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = m.socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := m.socket.Receive(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			m.config.Log.Warn().Err(err).Msg("cannot receive datagram; waiting for the next one")
			continue
		}
		var message Message
		if err := json.Unmarshal(buffer[:n], &message); err != nil {
			m.config.Log.Warn().Err(err).Int("bytes", n).Msg("cannot decode datagram; dropping it")
			continue
		}
		if from, ok := m.recordSender(message); ok {
			m.config.Handle(from, message)
		}
	}
}

// recordSender adds the hosts that the message lists, answers a request for hosts and
// marks the sender as alive. It returns the record of the sender, or false if the sender
// is unknown and the message does not introduce it; the caller then drops the message.
func (m *Mesh) recordSender(message Message) (Host, bool) {
	for _, h := range message.Hosts {
		m.addHost(h, fromPeer)
	}
	if message.Host != nil {
		m.addHost(*message.Host, fromSelf)
	}
	if message.RequestHosts {
		m.sendHosts(message.From)
	}
	m.mu.Lock()
	p, ok := m.peers[message.From]
	if !ok {
		m.mu.Unlock()
		return Host{}, false
	}
	p.lastReceived = m.config.Now()
	returned := !p.alive
	p.alive = true
	if message.Heartbeat != nil {
		p.heartbeat = *message.Heartbeat
	}
	host := p.host
	m.mu.Unlock()
	if returned && m.config.OnAlive != nil {
		m.config.OnAlive(host)
	}
	if message.Host != nil && m.config.OnIntroduced != nil {
		m.config.OnIntroduced(host)
	}
	return host, true
}

// addHost adds a host to the peers. The host counts as alive once a message from it
// arrives. Only a record that the host itself sent replaces a known one.
func (m *Mesh) addHost(h Host, from origin) {
	if h.Name == m.config.Self.Name || h.Name == "" || h.isOverlong() {
		return
	}
	to, err := netip.ParseAddrPort(h.Address)
	if err != nil {
		m.config.Log.Warn().Err(err).Str("host", h.Name).Msg("host has an invalid address; ignoring it")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, known := m.peers[h.Name]; known && from != fromSelf {
		return
	}
	p, known := m.peers[h.Name]
	if !known {
		now := m.config.Now()
		if !m.makeRoom(now, from) {
			return
		}
		p = &peer{learnedAt: now}
		m.peers[h.Name] = p
		m.names = nil
		clear(m.members)
	}
	p.host, p.address = h, to
}

// requestHosts introduces the daemon to the host at an address and asks it for its
// known hosts.
func (m *Mesh) requestHosts(address string) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		m.config.Log.Warn().Err(err).Str("address", address).Msg("seed has an invalid address; ignoring it")
		return
	}
	self := m.config.Self
	m.send(to, Message{Host: &self, RequestHosts: true})
}

// Send sends a message to the named host. It drops the message if the host is unknown
// and does not report whether the message arrives.
func (m *Mesh) Send(name string, message Message) {
	m.mu.Lock()
	var to netip.AddrPort
	p, ok := m.peers[name]
	if ok {
		to = p.address // copied under the lock, since a restarted host may change its address
	}
	m.mu.Unlock()
	if ok {
		m.send(to, message)
	}
}

// SendToAll sends the same message to several hosts, like Send, but encodes it once.
func (m *Mesh) SendToAll(hosts []Host, message Message) {
	addresses := make([]netip.AddrPort, 0, len(hosts))
	m.mu.Lock()
	for _, h := range hosts {
		if p, ok := m.peers[h.Name]; ok {
			addresses = append(addresses, p.address)
		}
	}
	m.mu.Unlock()
	if raw := m.encode(message); raw != nil {
		for _, to := range addresses {
			m.sendRaw(to, raw)
		}
	}
}

func (m *Mesh) send(to netip.AddrPort, message Message) {
	if raw := m.encode(message); raw != nil {
		m.sendRaw(to, raw)
	}
}

// encode returns the datagram of a message, nil if it cannot be encoded.
func (m *Mesh) encode(message Message) []byte {
	message.From = m.config.Self.Name
	raw, err := json.Marshal(message)
	if err != nil {
		m.config.Log.Error().Err(err).Msg("cannot encode message; dropping it")
		return nil
	}
	return raw
}

func (m *Mesh) sendRaw(to netip.AddrPort, raw []byte) {
	if err := m.socket.Send(raw, to); err != nil {
		m.dropped.Add(1) // treated as a lost datagram; the caller sends again if needed
	}
}

// Dropped returns the number of datagrams that the kernel refused to send.
func (m *Mesh) Dropped() int64 { return m.dropped.Load() }

// Joined reports whether this daemon has registered and has read the list of hosts.
func (m *Mesh) Joined() bool { return m.joined.Load() }

// Self returns the record of this daemon.
func (m *Mesh) Self() Host { return m.config.Self }

// Known returns all other hosts of a role, alive or not, sorted by name.
func (m *Mesh) Known(role Role) []Host {
	return m.hostsOf(role, func(*peer) bool { return true })
}

// Alive returns the other hosts of a role from which a message has arrived within
// Config.PeerTimeout, sorted by name.
func (m *Mesh) Alive(role Role) []Host {
	now := m.config.Now()
	return m.hostsOf(role, func(p *peer) bool { return p.alive && now.Sub(p.lastReceived) < m.config.PeerTimeout })
}

// ReadyEntries returns the other entries that are alive, ready and not draining, sorted by
// name.
func (m *Mesh) ReadyEntries() []Host {
	now := m.config.Now()
	return m.hostsOf(RoleEntry, func(p *peer) bool {
		return p.alive && now.Sub(p.lastReceived) < m.config.PeerTimeout && p.heartbeat.Ready && !p.heartbeat.Leaving
	})
}

const (
	// memberTime is how long a silent host counts as a member of the fleet. It may be cut off and run on.
	memberTime = 2 * time.Hour
	// newcomerTime is how long a host that only others have told of counts as a member. The directory also
	// lists hosts that are gone for good.
	newcomerTime = 10 * time.Minute
	// memberCountTime is how long a count is used, since counting visits all hosts.
	memberCountTime = 250 * time.Millisecond
)

// MemberCount returns the number of hosts of a role that may be running, this one included. It does not shrink while
// hosts are cut off or restart.
func (m *Mesh) MemberCount(role Role) int {
	now := m.config.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, ok := m.members[role]; ok && now.Before(known.validUntil) {
		return known.count
	}
	count := 0
	for _, p := range m.peers {
		until := p.learnedAt.Add(newcomerTime)
		if !p.lastReceived.IsZero() {
			until = p.lastReceived.Add(memberTime)
		}
		if p.host.Role == role && now.Before(until) {
			count++
		}
	}
	if m.config.Self.Role == role {
		count++
	}
	m.members[role] = memberCount{count: count, validUntil: now.Add(memberCountTime)}
	return count
}

// LastHeartbeat returns the newest heartbeat of a host, or false if none has arrived.
func (m *Mesh) LastHeartbeat(name string) (Heartbeat, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[name]
	if !ok || p.heartbeat.Sent == 0 {
		return Heartbeat{}, false
	}
	return p.heartbeat, true
}

func (m *Mesh) hostsOf(role Role, match func(p *peer) bool) []Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names == nil {
		m.names = slices.Sorted(maps.Keys(m.peers))
	}
	var hosts []Host
	for _, name := range m.names {
		if p := m.peers[name]; p.host.Role == role && match(p) {
			hosts = append(hosts, p.host)
		}
	}
	return hosts
}

// DetectLost marks hosts without a message within Config.PeerTimeout as lost and calls
// Config.OnLost for each. It must be called periodically.
func (m *Mesh) DetectLost() {
	now := m.config.Now()
	var lost []Host
	m.mu.Lock()
	for _, p := range m.peers {
		if p.alive && now.Sub(p.lastReceived) >= m.config.PeerTimeout {
			p.alive = false
			lost = append(lost, p.host)
		}
	}
	m.mu.Unlock()
	for _, h := range lost {
		if m.config.OnLost != nil {
			m.config.OnLost(h)
		}
	}
}
