// Package peers exchanges state with the other entry daemons by gossip: membership
// and demand records, strikes against requests, and the configuration. It decides
// which peers receive a change and when a peer counts as live.
package peers

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
	"camphormill.dev/parts/membership"
	"camphormill.dev/parts/preset"
	"camphormill.dev/parts/quarantine"
)

// fanout is how many random peers get the new records in a round.
const fanout = 3

// antiEntropyRounds is how many rounds pass between full comparisons of the records
// with a peer. A comparison recovers records that were lost in gossip.
const antiEntropyRounds = 30

// maxMissedRefreshes is how many refreshes a peer may miss and still count as live.
const maxMissedRefreshes = 3

// maxPending bounds the records that wait for the next round. A full comparison carries the others.
const maxPending = 4096

// callTimeout bounds one call to a peer.
const callTimeout = time.Second

// strikeTimeout bounds how long sending a strike may delay an answer.
const strikeTimeout = 200 * time.Millisecond

// methodStrike is the RPC method that sends a strike to a peer.
const methodStrike = "strike"

// methodParts is the RPC method that exchanges records of prompt parts with a peer.
const methodParts = "parts"

// Config holds the dependencies and parameters of a Peers.
type Config struct {
	EntryName string // name of this entry daemon
	Dial      func(ctx context.Context, address string) (net.Conn, error)
	Now       func() time.Time
	IntN      func(n int) int
	Round     func() time.Duration // returns the interval between rounds
	// Refresh returns the interval after which a record is sent again although
	// nothing changed. A peer silent for three intervals no longer counts as live.
	Refresh func() time.Duration
	// Record returns this daemon's own record, without the sequence number.
	Record func() membership.Record
	Store  *preset.Store
	// OnStrike is called with each strike received from a peer. Its end is a time of the
	// local clock.
	OnStrike func(s quarantine.Strike)
	// OnParts is called with what a peer knows of prompt parts, and returns what this entry knows
	// of the same parts.
	OnParts func(records []quarantine.PartRecord) []quarantine.PartRecord
	// SuspectedParts returns the records of all prompt parts suspected of killing targets, and
	// LatestStrikes the latest strikes against whole requests. They go to each peer that compares
	// all records, as it does when it starts.
	SuspectedParts func() []quarantine.PartRecord
	LatestStrikes  func() []quarantine.Strike
	// MaxConnections is how many connections to peers are open at a time; 0 sets no bound.
	MaxConnections int
	Logger         zerolog.Logger
}

// Peers is the gossip state of one entry daemon. It is safe for concurrent use.
type Peers struct {
	config Config
	conns  *link.Cache

	mu          sync.Mutex
	table       *membership.Table
	pending     map[string]membership.Record // records to send in the next round, by origin
	seeds       map[string]string            // addresses by name, from the settings and the host list
	sequence    int64                        // of this daemon's last announced record
	announced   membership.Record            // this daemon's own record, as last announced
	announcedAt time.Time
}

// New returns a Peers without known peers.
func New(c Config) *Peers {
	p := &Peers{
		config: c,
		table:  membership.NewTable(c.EntryName, maxMissedRefreshes*c.Refresh()),
		seeds:  map[string]string{}, pending: map[string]membership.Record{},
	}
	p.conns = &link.Cache{Dial: c.Dial, Methods: p.Methods, Max: c.MaxConnections}
	return p
}

// AddSeed adds the address of a peer from the settings or the host list. It ignores
// this daemon's own name.
func (p *Peers) AddSeed(name, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if name != p.config.EntryName {
		p.seeds[name] = address
		p.table.Protect(name)
	}
}

// Live returns the records of the live entries, including this one.
func (p *Peers) Live() []membership.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Live(p.config.Now(), membership.RoleEntry)
}

// Reachable returns the records of the live entries that answered the last call from
// this one.
func (p *Peers) Reachable() []membership.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Reachable(p.config.Now(), membership.RoleEntry)
}

// markAlive records that a peer is alive.
func (p *Peers) markAlive(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.MarkAlive(p.config.Now(), name)
}

// markSuspect records that a peer could not be reached.
func (p *Peers) markSuspect(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Suspect(name)
}

// Run announces this daemon and gossips in rounds until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	defer p.conns.Close()
	for round := 0; ctx.Err() == nil; round++ {
		p.announce(false)
		p.gossip(ctx, round%antiEntropyRounds == 0)
		timer := time.NewTimer(p.config.Round())
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// announce publishes a new record of this daemon if the record changed, its refresh
// is due, or force is set.
func (p *Peers) announce(force bool) {
	record := p.config.Record()
	refresh := p.config.Refresh()
	now := p.config.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetTimeout(maxMissedRefreshes * refresh)
	p.table.DropExpired(now)
	if !force && record.SimilarTo(p.announced) && now.Sub(p.announcedAt) < refresh {
		return
	}
	p.sequence++
	record.Sequence = p.sequence
	p.announced, p.announcedAt = record, now
	p.table.Put(now, record)
	p.pending[record.Origin] = record
}

// AnnounceNow publishes a new record and sends it to all peers at once. The daemon
// calls it when it leaves.
func (p *Peers) AnnounceNow(ctx context.Context) {
	p.announce(true)
	p.mu.Lock()
	pending := p.takePending()
	p.mu.Unlock()
	p.callAll(ctx, callTimeout, func(ctx context.Context, name, address string) {
		p.exchange(ctx, name, address, p.newMessage(membership.GossipMessage{Records: pending}))
	})
}

// gossip sends the pending records to a few random peers. If full is set, the peers
// answer with all records that this daemon lacks.
func (p *Peers) gossip(ctx context.Context, full bool) {
	p.mu.Lock()
	pending := p.takePending()
	chosen := p.randomPeers()
	e := membership.GossipMessage{Records: pending}
	if full {
		e.Versions = p.table.Versions()
	}
	p.mu.Unlock()
	for name, address := range chosen {
		p.exchange(ctx, name, address, p.newMessage(e))
	}
}

// takePending returns the records to send and forgets them. The caller holds the lock.
func (p *Peers) takePending() []membership.Record {
	pending := slices.Collect(maps.Values(p.pending))
	clear(p.pending)
	return pending
}

// randomPeers returns the addresses of a few random peers by name. The caller holds
// the lock.
func (p *Peers) randomPeers() map[string]string {
	all := p.addresses()
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	chosen := map[string]string{}
	for range min(fanout, len(names)) {
		i := p.config.IntN(len(names))
		chosen[names[i]] = all[names[i]]
		names[i] = names[len(names)-1]
		names = names[:len(names)-1]
	}
	return chosen
}

// addresses returns the addresses of all known peers by name. The caller holds the
// lock.
func (p *Peers) addresses() map[string]string {
	all := map[string]string{}
	for name, address := range p.seeds {
		all[name] = address
	}
	for _, r := range p.table.Live(p.config.Now(), membership.RoleEntry) {
		if r.Origin != p.config.EntryName {
			all[r.Origin] = r.Address
		}
	}
	return all
}

// exchangeMessage is the request and the answer of an exchange on the wire.
type exchangeMessage struct {
	membership.GossipMessage
	From           string                  `json:"from"`
	ConfigOffset   int64                   `json:"config_offset"`
	SuspectedParts []quarantine.PartRecord `json:"suspected_parts,omitempty"`
	Strikes        []strikeMessage         `json:"strikes,omitempty"`
}

func (p *Peers) newMessage(e membership.GossipMessage) exchangeMessage {
	return exchangeMessage{GossipMessage: e, From: p.config.EntryName, ConfigOffset: p.config.Store.Offset()}
}

// exchange sends a message to a peer, merges the records of its answer, and fetches
// the configuration if the peer has a newer one.
func (p *Peers) exchange(ctx context.Context, name, address string, m exchangeMessage) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := p.conns.Get(ctx, address)
	if err != nil {
		p.markSuspect(name)
		return
	}
	var answer exchangeMessage
	if err := conn.Call(ctx, contract.MethodExchange, m, &answer); err != nil {
		p.conns.Remove(address, conn)
		p.markSuspect(name)
		return
	}
	p.markAlive(name)
	p.merge(answer.Records)
	p.config.OnParts(answer.SuspectedParts)
	for _, strike := range answer.Strikes {
		p.addStrike(strike)
	}
	p.catchUp(ctx, conn, answer.ConfigOffset)
}

// catchUp fetches the configuration from a peer whose offset is newer. It ignores errors,
// because a later exchange tries again.
func (p *Peers) catchUp(ctx context.Context, conn *link.Conn, offset int64) {
	own := p.config.Store.Offset()
	if offset <= own {
		return
	}
	var update preset.Update
	if err := conn.Call(ctx, contract.MethodConfiguration, contract.ConfigurationRequest{Since: own}, &update); err == nil {
		p.config.Store.Merge(update)
	}
}

// merge stores records from a peer and queues the new ones for the next round.
func (p *Peers) merge(records []membership.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	for _, r := range records {
		if r.Origin != p.config.EntryName && p.table.Put(now, r) && len(p.pending) < maxPending {
			p.pending[r.Origin] = r
		}
	}
}

// FetchConfiguration exchanges with a few random peers and fetches the configuration
// from any that has a newer one. It is used while the log cannot be read. It ignores
// the offset argument and uses the offset of the Store.
func (p *Peers) FetchConfiguration(ctx context.Context, _ int64) {
	p.mu.Lock()
	chosen := p.randomPeers()
	p.mu.Unlock()
	for name, address := range chosen {
		p.exchange(ctx, name, address, p.newMessage(membership.GossipMessage{}))
	}
}

// callAll runs call for every known peer concurrently, Config.MaxConnections at a time. It returns when all are done;
// the context passed to call ends after the timeout.
func (p *Peers) callAll(ctx context.Context, timeout time.Duration, call func(ctx context.Context, name, address string)) {
	p.mu.Lock()
	all := p.addresses()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var wg sync.WaitGroup
	slots := make(chan struct{}, cmp.Or(p.config.MaxConnections, max(len(all), 1)))
	for name, address := range all {
		wg.Go(func() {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			defer func() { <-slots }()
			call(ctx, name, address)
		})
	}
	wg.Wait()
}

// strikeMessage carries a strike. It holds the remaining time of the strike and not
// the time at which it ends, because the clocks of peers may differ. The receiver
// computes the end by its own clock.
type strikeMessage struct {
	Fingerprint uint64 `json:"fingerprint"`
	Incarnation string `json:"incarnation"`
	LastsMS     int64  `json:"lasts_ms"`
}

func (p *Peers) newStrikeMessage(s quarantine.Strike) strikeMessage {
	return strikeMessage{Fingerprint: s.Fingerprint, Incarnation: s.Incarnation, LastsMS: s.Until.Sub(p.config.Now()).Milliseconds()}
}

// addStrike passes on a strike of a peer with its expiry by the local clock.
func (p *Peers) addStrike(m strikeMessage) {
	until := p.config.Now().Add(time.Duration(m.LastsMS) * time.Millisecond)
	p.config.OnStrike(quarantine.Strike{Fingerprint: m.Fingerprint, Incarnation: m.Incarnation, Until: until})
}

// BroadcastStrike sends a strike to all peers and waits for them, up to strikeTimeout,
// before it returns, even if ctx has ended. When the caller sends the request again, every
// entry that could be reached in this time already has the strike.
func (p *Peers) BroadcastStrike(ctx context.Context, s quarantine.Strike) {
	m := p.newStrikeMessage(s)
	p.callAll(context.WithoutCancel(ctx), strikeTimeout, func(ctx context.Context, name, address string) {
		conn, err := p.conns.Get(ctx, address)
		if err != nil {
			return
		}
		if err := conn.Call(ctx, methodStrike, m, nil); err != nil {
			p.config.Logger.Warn().Str("peer", name).Msg("strike not delivered; the peer may let the request run")
		}
	})
}

// ExchangeParts sends records of prompt parts to all peers and returns what they know of the same
// parts. It waits for them up to strikeTimeout, even if ctx has ended, so that the next request
// finds every reachable entry informed.
func (p *Peers) ExchangeParts(ctx context.Context, records []quarantine.PartRecord) []quarantine.PartRecord {
	var mu sync.Mutex
	var known []quarantine.PartRecord
	p.callAll(context.WithoutCancel(ctx), strikeTimeout, func(ctx context.Context, name, address string) {
		conn, err := p.conns.Get(ctx, address)
		if err != nil {
			return
		}
		var answer []quarantine.PartRecord
		if err := conn.Call(ctx, methodParts, records, &answer); err != nil {
			p.config.Logger.Warn().Str("peer", name).Msg("prompt parts not exchanged; the peer may let requests with them run")
			return
		}
		mu.Lock()
		defer mu.Unlock()
		known = append(known, answer...)
	})
	mu.Lock()
	defer mu.Unlock()
	return known
}

// Methods returns the methods that other entries and targets may call on this
// entry.
func (p *Peers) Methods() link.Methods {
	return link.Methods{
		contract.MethodExchange:      {Run: p.serveExchange},
		contract.MethodConfiguration: {Run: p.serveConfiguration},
		methodStrike:                 {Run: p.serveStrike},
		methodParts:                  {Run: p.serveParts},
	}
}

func (p *Peers) serveExchange(ctx context.Context, peer *link.Conn, params json.RawMessage) (any, error) {
	m, err := link.Decode[exchangeMessage](params)
	if err != nil {
		return nil, err
	}
	p.markAlive(m.From)
	p.merge(m.Records)
	answer := p.newMessage(membership.GossipMessage{})
	if m.Versions != nil {
		p.mu.Lock()
		answer.Records = p.table.Newer(m.Versions)
		p.mu.Unlock()
		answer.SuspectedParts = p.config.SuspectedParts()
		for _, strike := range p.config.LatestStrikes() {
			answer.Strikes = append(answer.Strikes, p.newStrikeMessage(strike))
		}
	}
	go p.catchUp(ctx, peer, m.ConfigOffset)
	return answer, nil
}

func (p *Peers) serveConfiguration(_ context.Context, _ *link.Conn, params json.RawMessage) (any, error) {
	request, err := link.Decode[contract.ConfigurationRequest](params)
	if err != nil {
		return nil, err
	}
	return p.config.Store.UpdateSince(request.Since), nil
}

func (p *Peers) serveStrike(_ context.Context, _ *link.Conn, params json.RawMessage) (any, error) {
	m, err := link.Decode[strikeMessage](params)
	if err != nil {
		return nil, err
	}
	p.addStrike(m)
	return nil, nil
}

func (p *Peers) serveParts(_ context.Context, _ *link.Conn, params json.RawMessage) (any, error) {
	records, err := link.Decode[[]quarantine.PartRecord](params)
	if err != nil {
		return nil, err
	}
	return p.config.OnParts(records), nil
}
