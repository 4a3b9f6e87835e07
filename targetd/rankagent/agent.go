package rankagent

import (
	"context"
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/rankscheduler"
	"camphormill.dev/parts/routes"
)

const (
	// readInterval is the interval between reads of the local engine. Demand for experts
	// shifts every few seconds and must be seen within a few tenths of a second.
	readInterval = 100 * time.Millisecond
	// paceInterval is the interval at which the leader repeats orders, and that of a large group sends announcements.
	// Bursts of them would delay its responses to requests for slots.
	paceInterval = 20 * time.Millisecond
	// largeGroupSize is the group size above which the messages of a group are bounded by the links of
	// its hosts: ranks report in turns, and orders and announcements are spread over time.
	largeGroupSize = 16
	// readTimeout bounds a read of an engine, with its layout and expert counts, and a claim of
	// the leadership.
	readTimeout = 300 * time.Millisecond
	// orderTimeout bounds the wait for an engine's answer to an order.
	orderTimeout = 120 * time.Millisecond
	// settingsRequestFanout is the number of entries that are asked for the engine settings at
	// a time. settingsTimeout is how long the agent waits for them before it asks the store,
	// and bounds the read of the store as well.
	settingsRequestFanout = 2
	settingsTimeout       = 2 * time.Second
	// maxOrders bounds the orders that are executed at a time. The leader repeats an order that is dropped.
	maxOrders = 256
	// maxLayoutAge is the age at which the cached layout of the local engine is read again.
	// The layout changes only by orders.
	maxLayoutAge = time.Second
)

// Config configures an Agent.
type Config struct {
	Self    mesh.Host
	Service string
	Engine  Engine
	Store   Store
	Mesh    *mesh.Mesh
	Now     func() time.Time
	// SkewTarget is the skew (the ratio of the slowest rank's time for a pass to the mean of
	// the ranks; 1 is even) at which a layout needs no further replicas of experts. Below it,
	// copying weights costs more than it gains.
	SkewTarget float64
	// Admission says what gives way when the group has too little room.
	Admission rankscheduler.Config
	// LinkBytesPerSecond is the bandwidth of this host's link; 0 if it is not known. The links of the
	// group's other hosts should have about the same.
	LinkBytesPerSecond float64
	// SteadyClock returns the time by a clock that keeps running while the host is suspended;
	// freshness.Now if it is nil.
	SteadyClock func() freshness.Instant
	// Yield is called often during long computations, which run beside the daemon's other work on a small share of a
	// core; runtime.Gosched if it is nil.
	Yield func()
	Log   zerolog.Logger
}

// Agent represents one target daemon in its lock-step group. It is safe for concurrent use.
type Agent struct {
	config Config

	mu             sync.Mutex      // guards the fields below
	rank           mesh.RankReport // latest report of the local engine
	hasReport      bool
	layoutReadAt   time.Time
	choiceCounts   []int64                 // latest result of Engine.ExpertCounts
	announced      mesh.LeaderAnnouncement // latest announcement of the group's leader, or own claim
	leaderHost     string                  // name of the leader's host; empty if unknown
	announcedAt    time.Time               // when announced arrived or a claim last failed; at first, when New ran
	claimAfter     time.Duration           // time without an announcement after which this daemon claims the leadership
	leading        *leader                 // nil while this daemon does not lead
	leadUntil      freshness.Instant       // when the right to lead ends, unless tickLeader renews it
	engineReadable bool                    // the last read of the local engine succeeded
	lastReported   urgentState             // of the last report to the leader
	expertsSent    expertsSent
	engineSettings *routes.Engine // nil until received or read; a claim of the leadership needs them
	// settingsRequestedAt is when the engine settings were first requested, or last read from
	// the store.
	settingsRequestedAt time.Time

	relayLink linkShare // use of this host's link by relayed orders

	layouts *layoutStore
	orders  chan struct{} // has one element for each order that is being executed
}

// New returns an agent that has not read its engine yet. The caller runs Run and passes the
// mesh's messages to Handle.
func New(c Config) *Agent {
	if c.SteadyClock == nil {
		c.SteadyClock = freshness.Now
	}
	if c.Yield == nil {
		c.Yield = runtime.Gosched
	}
	return &Agent{config: c, announcedAt: c.Now(), claimAfter: randomClaimDelay(0), engineReadable: true, relayLink: linkShare{bytesPerSecond: relayLinkShare * c.LinkBytesPerSecond}, layouts: &layoutStore{}, orders: make(chan struct{}, maxOrders)}
}

// Run reads the engine, reports to the leader and leads the group when no other daemon does,
// until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		a.readEngine(ctx)
		a.sendReport()
		a.askForLeader()
		a.claimIfLeaderSilent(ctx)
		a.tickLeader()
		if !a.awaitTick(ctx, ticker.C) {
			return
		}
	}
}

// awaitTick waits for the next tick, or until ctx ends, which it reports as false. Meanwhile the leader sends what
// it spreads over time.
func (a *Agent) awaitTick(ctx context.Context, tick <-chan time.Time) bool {
	var pace <-chan time.Time
	if a.currentLeader() != nil {
		ticker := time.NewTicker(paceInterval)
		defer ticker.Stop()
		pace = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case <-pace:
			if l := a.currentLeader(); l != nil {
				l.sendPaced()
			}
		}
	}
}

// readEngine reads the local engine and records its report. It reads the layout only if the cached
// one is too old, or is of another map or epoch (formation of the group).
func (a *Agent) readEngine(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report, err := a.config.Engine.Read(ctx, a.config.Self.Engine)
	a.setEngineReadable(err)
	if err != nil {
		a.setEngineDown(errors.Is(err, syscall.ECONNREFUSED))
		return
	}
	a.mu.Lock()
	layoutStale := a.config.Now().Sub(a.layoutReadAt) > maxLayoutAge || !a.hasReport ||
		report.View.Map != a.rank.View.Map || report.View.Epoch != a.rank.View.Epoch
	a.mu.Unlock()
	var layout *Layout
	var choices []int64
	if report.Group != "" {
		if layoutStale {
			l, err := a.config.Engine.Layout(ctx)
			if err != nil {
				a.config.Log.Warn().Err(err).Msg("reading the engine's layout failed; no switch begins until it succeeds")
			} else if l.Map == report.View.Map {
				layout = &l
			}
		}
		if choices, err = a.config.Engine.ExpertCounts(ctx); err != nil {
			a.config.Log.Warn().Err(err).Msg("reading the engine's expert choices failed; the next read includes them")
		}
	}
	a.setReport(report, layout, choices)
}

// setEngineReadable logs when the engine becomes unreachable or reachable again. err is the
// error of the last read.
func (a *Agent) setEngineReadable(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.engineReadable == (err == nil) {
		return
	}
	a.engineReadable = err == nil
	if err != nil {
		a.config.Log.Warn().Err(err).Str("engine", a.config.Self.Engine).Msg("engine is unreachable; retrying")
		return
	}
	a.config.Log.Info().Str("engine", a.config.Self.Engine).Msg("engine is reachable again")
}

// setEngineDown records whether the engine refuses connections, which the next report tells the
// leader. The leader would learn it from the other ranks only when they give up waiting.
func (a *Agent) setEngineDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rank.Down = down
}

// setReport records a report of the local engine. A nil layout keeps the known experts, unless the
// map or the epoch has changed; nil choices keep the known counts. When the engine's group has
// changed, the agent stops leading and forgets the leader's announcement.
func (a *Agent) setReport(r Report, layout *Layout, choices []int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Group != a.rank.Group {
		a.config.Log.Info().Str("group", r.Group).Int("rank", r.Rank).Int("size", r.Size).Msg("group of the engine changed")
		a.leading = nil
		a.announced = mesh.LeaderAnnouncement{}
		a.claimAfter = claimDelay(r.Size, r.Rank, noLeader)
	}
	experts := a.rank.Experts // nil if the experts of the current map are not known
	if layout != nil {
		experts = layout.Experts
		a.layoutReadAt = a.config.Now()
	} else if r.View.Map != a.rank.View.Map || r.View.Epoch != a.rank.View.Epoch {
		experts = nil
	}
	a.hasReport = true
	a.rank = mesh.RankReport{
		Service: a.config.Service, Engine: a.config.Self.Engine, Group: r.Group, Rank: r.Rank, Size: r.Size, Open: r.Open,
		View: r.View, Queued: r.Queued, Active: r.Active, Slowdown: r.Slowdown, Experts: experts, Sequence: a.rank.Sequence + 1,
	}
	a.rank.Choices = a.encodeChoices(choices)
	if choices != nil {
		a.choiceCounts = choices
	}
}

// requestSettings requests the engine settings from up to settingsRequestFanout random entries,
// and reads them from the store when no entry answers within settingsTimeout. The published
// configuration, which a read of the store returns, may be large and the link of a target host
// is narrow, so the entries are asked first.
func (a *Agent) requestSettings(ctx context.Context) {
	entries := a.config.Mesh.Known(mesh.RoleEntry)
	for range min(len(entries), settingsRequestFanout) {
		a.config.Mesh.Send(entries[rand.IntN(len(entries))].Name, mesh.Message{RequestEngineSettings: a.config.Service})
	}
	now := a.config.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.settingsRequestedAt.IsZero() {
		a.settingsRequestedAt = now
	}
	if now.Sub(a.settingsRequestedAt) < settingsTimeout {
		return
	}
	a.settingsRequestedAt = now
	go a.readSettings(ctx)
}

// readSettings reads the engine settings from the store.
func (a *Agent) readSettings(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
	defer cancel()
	settings, err := a.config.Store.EngineSettings(ctx)
	if err != nil {
		a.config.Log.Warn().Err(err).Msg("reading the engine settings from the store failed; retrying")
		return
	}
	a.setSettings(settings)
}

// setSettings records the engine settings. The delay before a claim starts with the first ones, since the
// other daemons get theirs at about the same time.
func (a *Agent) setSettings(settings routes.Engine) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.engineSettings == nil && a.announced.Fence == 0 {
		a.announcedAt = a.config.Now().Add(-leaderTimeout(a.rank.Size))
	}
	a.engineSettings = &settings
}

// Handle processes a message from another daemon. It does not block on an engine: orders are
// executed in a new goroutine.
func (a *Agent) Handle(from mesh.Host, m mesh.Message) {
	switch {
	case m.LeaderAnnouncement != nil:
		if a.follow(from.Name, *m.LeaderAnnouncement, a.config.Now()) {
			a.sendReport()
		}
	case m.RequestLeader != "":
		a.sendSighting(from, m.RequestLeader)
	case m.LeaderSighting != nil:
		a.follow(m.LeaderSighting.Host, m.LeaderSighting.Announcement, a.config.Now().Add(-time.Duration(m.LeaderSighting.AgeMS)*time.Millisecond))
	case m.EngineSettings != nil && m.EngineSettings.Service == a.config.Service:
		a.setSettings(m.EngineSettings.Engine)
	case m.Order != nil:
		a.startOrder(from, *m.Order)
	default:
		if l := a.currentLeader(); l != nil {
			l.handle(from, m)
		}
	}
}

// Leading returns whether this daemon leads its group.
func (a *Agent) Leading() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leading != nil
}
