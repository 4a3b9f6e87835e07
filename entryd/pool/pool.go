// Package pool keeps the links of an entry daemon to its share of the targets,
// and what it knows of each.
package pool

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
	"camphormill.dev/parts/platform"
	"camphormill.dev/parts/routing"
)

// Config is what a Pool is built from.
type Config struct {
	Entry        string
	SubsetSize   int // links for each model or service
	Dial         func(ctx context.Context, address string) (net.Conn, error)
	Now          func() time.Time
	Heartbeat    time.Duration
	ConfigOffset func() int64
	// ConfigChanged is closed when the configuration moves on, so that targets
	// hear of it before the next heartbeat.
	ConfigChanged func() <-chan struct{}
	Methods       link.Methods // what a target may ask of the entry
	Jitter        func(d time.Duration) time.Duration
	Log           zerolog.Logger
}

// Pool is safe for concurrent use.
type Pool struct {
	config Config
	ctx    context.Context // ends with the pool
	cancel context.CancelFunc

	mu      sync.Mutex
	members map[string]*member
	hosts   map[string]platform.Host
	listed  bool // a host list was read
	// targets mirrors the members for routing; a member knows its index.
	targets []routing.Target
}

// New returns a pool without targets.
func New(c Config) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		config:  c,
		ctx:     ctx,
		cancel:  cancel,
		members: map[string]*member{},
		hosts:   map[string]platform.Host{},
	}
}

// Close ends all links.
func (p *Pool) Close() {
	p.cancel()
}

// SetHosts takes the platform's host list. A target that the list says is
// leaving receives no new work; one that is gone from it loses its link once
// the link is down, since the list lags.
func (p *Pool) SetHosts(hosts []platform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byServes := map[string][]string{}
	p.hosts = map[string]platform.Host{}
	p.listed = true
	for _, h := range hosts {
		if h.Role != platform.HostTarget {
			continue
		}
		p.hosts[h.Name] = h
		byServes[h.Serves] = append(byServes[h.Serves], h.Name)
	}
	for _, names := range byServes {
		slices.Sort(names)
		for _, name := range routing.Subset(p.config.Entry, names, p.config.SubsetSize) {
			p.ensure(p.hosts[name])
		}
	}
	p.dropGone()
}

// ensure links to the host. The caller holds the lock.
func (p *Pool) ensure(h platform.Host) *member {
	if m, ok := p.members[h.Name]; ok {
		p.targets[m.index].Leaving = h.Leaving || m.leaving
		if m.address == h.Address {
			return m
		}
		p.remove(m)
	}
	ctx, cancel := context.WithCancel(p.ctx)
	m := &member{
		pool: p, name: h.Name, address: h.Address, index: len(p.targets), cancel: cancel,
		streams: map[string]*stream{}, changed: make(chan struct{}),
	}
	p.members[h.Name] = m
	p.targets = append(p.targets, routing.Target{Name: h.Name, Zone: h.Zone, Leaving: h.Leaving})
	go m.keep(ctx)
	return m
}

func (p *Pool) remove(m *member) {
	m.cancel()
	last := len(p.targets) - 1
	p.targets[m.index] = p.targets[last]
	p.targets = p.targets[:last]
	if m.index != last {
		p.members[p.targets[m.index].Name].index = m.index
	}
	delete(p.members, m.name)
	m.removed = true
}

func (p *Pool) dropGone() {
	for name, m := range p.members {
		if _, listed := p.hosts[name]; !listed && m.conn == nil {
			p.remove(m)
		}
	}
}

// Pick chooses a target and counts the request as sent to it. The request must
// end with Release.
func (p *Pool) Pick(policy routing.Policy, q routing.Request) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := policy.Pick(q, p.targets)
	if i < 0 {
		return "", false
	}
	p.targets[i].Inflight++
	p.targets[i].Sent++
	return p.targets[i].Name, true
}

// AnyFree says whether another target seems to have a free place.
func (p *Pool) AnyFree(c routing.PolicyConfig, q routing.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return routing.AnyFree(c, q, p.targets)
}

// Release ends what Pick began.
func (p *Pool) Release(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.members[target]; ok && p.targets[m.index].Inflight > 0 {
		p.targets[m.index].Inflight--
	}
}

// Suspend keeps new work from a target for a while, after its engine failed.
func (p *Pool) Suspend(target string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.members[target]; ok {
		m.suspendedUntil = until
		p.refresh(m)
	}
}

// Listed says whether a host list was read yet; before, nothing can be said of
// what is served.
func (p *Pool) Listed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed
}

// Serves says whether any target is known for the model or service, reached or
// not.
func (p *Pool) Serves(kind contract.WorkKind, serves string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.targets {
		if p.targets[i].Kind == kind && p.targets[i].Serves == serves {
			return true
		}
	}
	for _, h := range p.hosts {
		if h.Serves == serves {
			return true
		}
	}
	return false
}

// Version returns the version that the target serves, as it last said.
func (p *Pool) Version(target string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.members[target]; ok {
		return p.targets[m.index].Version
	}
	return ""
}

// Incarnation returns the process that now is the target, and the offset of its
// clock to ours.
func (p *Pool) Incarnation(target string) (incarnation string, clockOffset time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[target]
	if !ok || m.conn == nil {
		return "", 0, false
	}
	return m.incarnation, m.clockOffset, true
}

// Summary tells how far the linked targets are with the configuration.
type Summary struct {
	Linked    int      `json:"linked"`
	MinOffset int64    `json:"min_offset"`
	Laggards  []string `json:"laggards,omitempty"` // a few of those behind offset
}

// maxLaggards bounds the names in a summary.
const maxLaggards = 3

// Summary returns the configuration versions of the linked targets against the
// offset wanted.
func (p *Pool) Summary(wanted int64) Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Summary{MinOffset: wanted}
	for _, m := range p.members {
		if m.conn == nil {
			continue
		}
		s.Linked++
		s.MinOffset = min(s.MinOffset, m.configOffset)
		if m.configOffset < wanted && len(s.Laggards) < maxLaggards {
			s.Laggards = append(s.Laggards, m.name)
		}
	}
	slices.Sort(s.Laggards)
	return s
}

// Targets returns a copy of what is known of the targets.
func (p *Pool) Targets() []routing.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.targets)
}
