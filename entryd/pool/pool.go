// Package pool keeps the connections (links) of an entry daemon to its subset of the
// targets, and the state of each target that routing decides on: reported load,
// version, reachability and whether it is leaving. It also sends requests over the
// links.
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

// Config holds the dependencies and parameters of a Pool.
type Config struct {
	EntryName    string // name of this entry daemon
	SubsetSize   int    // number of links for each model or service
	Dial         func(ctx context.Context, address string) (net.Conn, error)
	Now          func() time.Time
	Heartbeat    time.Duration // interval between heartbeats on a link; longer with many links
	ConfigOffset func() int64  // log offset of this entry's configuration
	// ConfigChanged returns a channel that is closed when the configuration
	// changes. The pool then sends each target a heartbeat with the new offset at
	// once.
	ConfigChanged func() <-chan struct{}
	Methods       link.Methods                        // methods that a target may call on the entry
	Jitter        func(d time.Duration) time.Duration // varies the backoff between attempts to open a link
	Logger        zerolog.Logger
}

// Pool is the set of links of one entry daemon. It is safe for concurrent use.
type Pool struct {
	config Config
	ctx    context.Context // ends when the pool is closed
	cancel context.CancelFunc

	mu      sync.Mutex
	members map[string]*member
	hosts   map[string]platform.Host
	listed  bool // whether a host list has been read
	// targets holds what routing needs of each member. The index of a member's
	// entry is in the member.
	targets []routing.Target
}

// New returns a Pool without targets; SetHosts adds them.
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

// Close closes all links.
func (p *Pool) Close() {
	p.cancel()
}

// SetHosts applies the platform's host list and opens links to the targets of this
// entry's subset. A target that the list marks as leaving gets no new requests. A
// target that is missing from the list is removed only once its link is down,
// because the list may be out of date.
func (p *Pool) SetHosts(hosts []platform.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byService := map[string][]string{}
	p.hosts = map[string]platform.Host{}
	p.listed = true
	for _, h := range hosts {
		if h.Role != platform.RoleTarget {
			continue
		}
		p.hosts[h.Name] = h
		byService[h.ServiceName] = append(byService[h.ServiceName], h.Name)
	}
	for _, names := range byService {
		slices.Sort(names)
		for _, name := range routing.Subset(p.config.EntryName, names, p.config.SubsetSize) {
			p.ensure(p.hosts[name])
		}
	}
	p.removeUnlisted()
}

// ensure returns the member for the host and starts its link if there is none. The
// caller holds the lock.
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
	go m.maintain(ctx)
	return m
}

// remove ends the link of a member and moves the last routing target into its place.
// The caller holds the lock.
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

// removeUnlisted removes the members that are missing from the host list and whose
// link is down. The caller holds the lock.
func (p *Pool) removeUnlisted() {
	for name, m := range p.members {
		if _, listed := p.hosts[name]; !listed && m.conn == nil {
			p.remove(m)
		}
	}
}

// Pick chooses a target by the policy, which is called under the pool's lock, and counts
// the request as sent to it. The result is false if no target can take the request. The
// caller must call Release when the request ends.
func (p *Pool) Pick(policy routing.Policy, q routing.Request) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := policy.Pick(q, p.targets)
	if i < 0 {
		return "", false
	}
	p.targets[i].Inflight++
	p.targets[i].SentSinceReport++
	return p.targets[i].Name, true
}

// AnyFreeSlot reports whether a target that the request does not exclude seems to have a
// free slot.
func (p *Pool) AnyFreeSlot(c routing.PolicyConfig, q routing.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return routing.AnyFreeSlot(c, q, p.targets)
}

// Release counts a request that Pick sent to the target as ended.
func (p *Pool) Release(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.members[target]; ok && p.targets[m.index].Inflight > 0 {
		p.targets[m.index].Inflight--
	}
}

// Suspend excludes a target from Pick until the given time. The exclusion ends with the
// target's first report of its load after that time. Suspend is used after the target's
// engine failed.
func (p *Pool) Suspend(target string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.members[target]; ok {
		m.suspendedUntil = until
		p.refresh(m)
	}
}

// HasHostList reports whether a host list has been read. Until then the pool cannot tell
// which models and services exist.
func (p *Pool) HasHostList() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listed
}

// Serves reports whether any target is known for the model or service, whether or
// not it can be reached.
func (p *Pool) Serves(kind contract.WorkKind, serviceName string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.targets {
		if p.targets[i].Kind == kind && p.targets[i].ServiceName == serviceName {
			return true
		}
	}
	for _, h := range p.hosts {
		if h.ServiceName == serviceName {
			return true
		}
	}
	return false
}

// Version returns the version that the target reported when its link was last
// opened, or the empty string if the target is not known.
func (p *Pool) Version(target string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.members[target]; ok {
		return p.targets[m.index].Version
	}
	return ""
}

// Incarnation returns the identifier of the target's current process and the offset
// of its clock from the local clock. ok is false while there is no link.
func (p *Pool) Incarnation(target string) (incarnation string, clockOffset time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[target]
	if !ok || m.conn == nil {
		return "", 0, false
	}
	return m.incarnation, m.clockOffset, true
}

// Summary describes which configuration the linked targets have.
type Summary struct {
	Linked    int      `json:"linked"`             // targets with a link
	MinOffset int64    `json:"min_offset"`         // lowest offset of their configurations and of the entry's
	Laggards  []string `json:"laggards,omitempty"` // some linked targets whose configuration is older than the entry's
}

// maxLaggards bounds the target names in a Summary.
const maxLaggards = 3

// Summary compares the configuration offsets of the linked targets with the given
// offset, which is normally that of this entry.
func (p *Pool) Summary(offset int64) Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Summary{MinOffset: offset}
	for _, m := range p.members {
		if m.conn == nil {
			continue
		}
		s.Linked++
		s.MinOffset = min(s.MinOffset, m.configOffset)
		if m.configOffset < offset && len(s.Laggards) < maxLaggards {
			s.Laggards = append(s.Laggards, m.name)
		}
	}
	slices.Sort(s.Laggards)
	return s
}

// Targets returns a copy of the routing state of all targets.
func (p *Pool) Targets() []routing.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.targets)
}
