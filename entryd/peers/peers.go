// Package peers exchanges with other entry daemons what each should know of the
// others: records of membership and demand, strikes, and configuration.
package peers

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
	"camphormill.dev/parts/membership"
	"camphormill.dev/parts/preset"
	"camphormill.dev/parts/quarantine"
)

// fanout is how many random peers hear of news in a round.
const fanout = 3

// antiEntropyRounds is how many rounds pass between two full comparisons with a
// peer, which mend what single messages missed.
const antiEntropyRounds = 30

// silentRefreshes is how many records in a row may be missed.
const silentRefreshes = 3

// callTimeout bounds one call to a peer.
const callTimeout = time.Second

// strikeTimeout bounds how long a strike may hold up an answer.
const strikeTimeout = 200 * time.Millisecond

// methodStrike is the method that tells of a strike.
const methodStrike = "strike"

// Config is what a Peers is built from.
type Config struct {
	Self  string
	Dial  func(ctx context.Context, address string) (net.Conn, error)
	Now   func() time.Time
	IntN  func(n int) int
	Round func() time.Duration // time between two rounds
	// Refresh is the time after which a record is sent anew though nothing
	// changed. A peer silent for three times as long no longer counts as live.
	Refresh func() time.Duration
	// Record is this daemon's own word about itself, without the sequence.
	Record func() membership.Record
	Holder *preset.Holder
	// OnStrike takes a strike from a peer.
	OnStrike func(s quarantine.Strike)
	Logger   zerolog.Logger
}

// Peers is safe for concurrent use.
type Peers struct {
	config Config
	conns  *link.Cache

	mu       sync.Mutex
	table    *membership.Table
	fresh    []membership.Record // news to pass on in the next round
	seeds    map[string]string   // name to address, from settings and host list
	sequence int64
	told     membership.Record // the newest of our own
	toldAt   time.Time
}

// New returns a Peers that knows nobody.
func New(c Config) *Peers {
	p := &Peers{
		config: c,
		table:  membership.NewTable(c.Self, silentRefreshes*c.Refresh()),
		seeds:  map[string]string{},
	}
	p.conns = &link.Cache{Dial: c.Dial, Methods: p.Methods}
	return p
}

// AddSeed names a peer's address, from settings or the host list.
func (p *Peers) AddSeed(name, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if name != p.config.Self {
		p.seeds[name] = address
	}
}

// Live returns the records of the live entries, this one included.
func (p *Peers) Live() []membership.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Live(p.config.Now(), membership.RoleEntry)
}

// Reachable returns the records of the live entries that answered when this one
// last asked them.
func (p *Peers) Reachable() []membership.Record {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Reachable(p.config.Now(), membership.RoleEntry)
}

func (p *Peers) heard(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Heard(p.config.Now(), name)
}

func (p *Peers) suspect(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Suspect(name)
}

// Run goes round after round until ctx ends.
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

// announce renews this daemon's own record when it tells news or is old.
func (p *Peers) announce(always bool) {
	record := p.config.Record()
	refresh := p.config.Refresh()
	now := p.config.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.SetSilence(silentRefreshes * refresh)
	p.table.Forget(now)
	if !always && record.Resembles(p.told) && now.Sub(p.toldAt) < refresh {
		return
	}
	p.sequence++
	record.Sequence = p.sequence
	p.told, p.toldAt = record, now
	p.table.Put(now, record)
	p.fresh = append(p.fresh, record)
}

// AnnounceNow renews the record and tells all peers at once, when it leaves.
func (p *Peers) AnnounceNow(ctx context.Context) {
	p.announce(true)
	p.mu.Lock()
	fresh := p.fresh
	p.fresh = nil
	p.mu.Unlock()
	p.tellAll(ctx, callTimeout, func(ctx context.Context, name, address string) {
		p.exchange(ctx, name, address, p.message(membership.Exchange{Records: fresh}))
	})
}

func (p *Peers) gossip(ctx context.Context, compare bool) {
	p.mu.Lock()
	fresh := p.fresh
	p.fresh = nil
	targets := p.some()
	e := membership.Exchange{Records: fresh}
	if compare {
		e.Marks = p.table.Marks()
	}
	p.mu.Unlock()
	for name, address := range targets {
		p.exchange(ctx, name, address, p.message(e))
	}
}

// some returns a few random peers. The caller holds the lock.
func (p *Peers) some() map[string]string {
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

// addresses returns the known peers. The caller holds the lock.
func (p *Peers) addresses() map[string]string {
	all := map[string]string{}
	for name, address := range p.seeds {
		all[name] = address
	}
	for _, r := range p.table.Live(p.config.Now(), membership.RoleEntry) {
		if r.Origin != p.config.Self {
			all[r.Origin] = r.Address
		}
	}
	return all
}

// message is one exchange on the wire.
type message struct {
	membership.Exchange
	From         string `json:"from"`
	ConfigOffset int64  `json:"config_offset"`
}

func (p *Peers) message(e membership.Exchange) message {
	return message{Exchange: e, From: p.config.Self, ConfigOffset: p.config.Holder.Offset()}
}

func (p *Peers) exchange(ctx context.Context, name, address string, m message) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := p.conns.Get(ctx, address)
	if err != nil {
		p.suspect(name)
		return
	}
	var answer message
	if err := conn.Call(ctx, contract.MethodExchange, m, &answer); err != nil {
		p.conns.Drop(address, conn)
		p.suspect(name)
		return
	}
	p.heard(name)
	p.merge(answer.Records)
	p.catchUp(ctx, conn, answer.ConfigOffset)
}

// catchUp fetches the configuration from a peer that knows a newer one.
func (p *Peers) catchUp(ctx context.Context, conn *link.Conn, offset int64) {
	own := p.config.Holder.Offset()
	if offset <= own {
		return
	}
	var update preset.Update
	if err := conn.Call(ctx, contract.MethodConfiguration, contract.ConfigurationRequest{Since: own}, &update); err == nil {
		p.config.Holder.Merge(update)
	}
}

func (p *Peers) merge(records []membership.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	for _, r := range records {
		if r.Origin != p.config.Self && p.table.Put(now, r) {
			p.fresh = append(p.fresh, r)
		}
	}
}

// AskConfiguration fetches from a few random peers what follows the version; it
// serves while the log cannot be read.
func (p *Peers) AskConfiguration(ctx context.Context, _ int64) {
	p.mu.Lock()
	targets := p.some()
	p.mu.Unlock()
	for name, address := range targets {
		p.exchange(ctx, name, address, p.message(membership.Exchange{}))
	}
}

// tellAll calls every known peer side by side and waits for them or the time.
func (p *Peers) tellAll(ctx context.Context, limit time.Duration, tell func(ctx context.Context, name, address string)) {
	p.mu.Lock()
	all := p.addresses()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var wg sync.WaitGroup
	for name, address := range all {
		wg.Go(func() { tell(ctx, name, address) })
	}
	wg.Wait()
}

// strikeMessage tells of a strike. It carries how long the strike still counts
// and not an instant, since peers need not share a clock; the receiver stores
// the instant.
type strikeMessage struct {
	Fingerprint uint64 `json:"fingerprint"`
	Incarnation string `json:"incarnation"`
	LastsMS     int64  `json:"lasts_ms"`
}

// ShareStrike tells all peers of a strike before it returns, so that the caller
// who sends the request again meets it at every entry that can be reached.
func (p *Peers) ShareStrike(ctx context.Context, s quarantine.Strike) {
	m := strikeMessage{Fingerprint: s.Fingerprint, Incarnation: s.Incarnation, LastsMS: s.Until.Sub(p.config.Now()).Milliseconds()}
	p.tellAll(context.WithoutCancel(ctx), strikeTimeout, func(ctx context.Context, name, address string) {
		conn, err := p.conns.Get(ctx, address)
		if err != nil {
			return
		}
		if err := conn.Call(ctx, methodStrike, m, nil); err != nil {
			p.config.Logger.Warn().Str("peer", name).Msg("strike not told; the peer may let the request run")
		}
	})
}

// Methods returns the entry's side of the protocol with other entries and with
// targets.
func (p *Peers) Methods() link.Methods {
	return link.Methods{
		contract.MethodExchange:      {Run: p.serveExchange},
		contract.MethodConfiguration: {Run: p.serveConfiguration},
		methodStrike:                 {Run: p.serveStrike},
	}
}

func (p *Peers) serveExchange(ctx context.Context, peer *link.Conn, params json.RawMessage) (any, error) {
	m, err := link.Decode[message](params)
	if err != nil {
		return nil, err
	}
	p.heard(m.From)
	p.merge(m.Records)
	answer := p.message(membership.Exchange{})
	if m.Marks != nil {
		p.mu.Lock()
		answer.Records = p.table.Newer(m.Marks)
		p.mu.Unlock()
	}
	go p.catchUp(ctx, peer, m.ConfigOffset)
	return answer, nil
}

func (p *Peers) serveConfiguration(_ context.Context, _ *link.Conn, params json.RawMessage) (any, error) {
	request, err := link.Decode[contract.ConfigurationRequest](params)
	if err != nil {
		return nil, err
	}
	return p.config.Holder.Since(request.Since), nil
}

func (p *Peers) serveStrike(_ context.Context, _ *link.Conn, params json.RawMessage) (any, error) {
	m, err := link.Decode[strikeMessage](params)
	if err != nil {
		return nil, err
	}
	until := p.config.Now().Add(time.Duration(m.LastsMS) * time.Millisecond)
	p.config.OnStrike(quarantine.Strike{Fingerprint: m.Fingerprint, Incarnation: m.Incarnation, Until: until})
	return nil, nil
}
