package rankagent

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/routes"
)

const (
	// readInterval is the interval between reads of the local engine. Demand for experts
	// shifts every few seconds and must be seen within a few tenths of a second.
	readInterval = 100 * time.Millisecond
	// baseLeaderTimeout is the time without an announcement of the leader after which another
	// rank claims the leadership. It tolerates several lost announcements and stays well under
	// the second within which a held pass (see mapswitch.Hold) must be released. The leader of a
	// large group has more messages to send, so leaderTimeoutPerRank is added for each rank.
	baseLeaderTimeout    = 500 * time.Millisecond
	leaderTimeoutPerRank = 5 * time.Millisecond
	// claimJitterPerRank, multiplied by the number of ranks, bounds the random part of the delay
	// before a claim, which spreads the claims of ranks for which the leader times out at the
	// same moment. The number of ranks counts as at least 10 and at most maxJitterRanks.
	claimJitterPerRank = 30 * time.Millisecond
	maxJitterRanks     = 30
	// largeGroupSize is the group size above which ranks take turns in reporting how often each
	// expert was chosen, about this many ranks at a time, and send reports only every few reads.
	// Reports of all ranks at once would saturate the leader's link.
	largeGroupSize = 16
	// largeGroupReportInterval is the interval, in reads of the engine, at which a rank of a
	// large group sends a report when it has nothing urgent to report.
	largeGroupReportInterval = 2
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
	Log        zerolog.Logger
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
	engineReadable bool                    // the last read of the local engine succeeded
	lastReported   mapswitch.View          // view that was last sent to the leader
	engineSettings *routes.Engine          // nil until received or read; a claim of the leadership needs them
	// settingsRequestedAt is when the engine settings were first requested, or last read from
	// the store.
	settingsRequestedAt time.Time
}

// New returns an agent that has not read its engine yet. The caller runs Run and passes the
// mesh's messages to Handle.
func New(c Config) *Agent {
	return &Agent{config: c, announcedAt: c.Now(), claimAfter: randomClaimDelay(0), engineReadable: true}
}

// randomClaimDelay returns how long a rank waits for an announcement before it claims the
// leadership of a group with the given number of ranks.
func randomClaimDelay(size int) time.Duration {
	jitter := claimJitterPerRank * time.Duration(min(max(size, 10), maxJitterRanks))
	return baseLeaderTimeout + leaderTimeoutPerRank*time.Duration(size) + time.Duration(rand.Int64N(int64(jitter)))
}

// Run reads the engine, reports to the leader and leads the group when no other daemon does,
// until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		a.readEngine(ctx)
		a.sendReport()
		a.claimIfLeaderSilent(ctx)
		a.tickLeader()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
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
		Choices: mesh.EncodeChoices(a.choiceCounts, choices),
	}
	if choices != nil {
		a.choiceCounts = choices
	}
}

// sendReport sends the latest report of the local engine to the leader, if it is due, or hands it
// over when this daemon leads.
func (a *Agent) sendReport() {
	a.mu.Lock()
	r, leaderHost, leading := a.rank, a.leaderHost, a.leading
	r.Fence = a.announced.Fence
	ready := a.hasReport && r.Group != ""
	a.mu.Unlock()
	if !ready {
		return
	}
	if leading != nil {
		leading.handleReport(a.config.Self.Name, r)
		return
	}
	if leaderHost != "" && a.reportDue(&r) {
		a.config.Mesh.Send(leaderHost, mesh.Message{RankReport: &r})
	}
}

// reportDue returns whether a rank sends its report now, and then records the report's view as
// sent. In a large group ranks take turns in reporting choices: when it is another rank's turn,
// reportDue removes the choices from the report. Reports that concern a switch are always due.
func (a *Agent) reportDue(r *mesh.RankReport) bool {
	turns := int64(r.Size+largeGroupSize-1) / largeGroupSize
	if turns <= 1 {
		return true
	}
	cycle := r.Sequence + int64(r.Rank)
	if cycle%turns != 0 {
		r.Choices = nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	v := r.View
	v.Pass = a.lastReported.Pass // a new pass alone does not make a report due
	changed := r.Down || v != a.lastReported || v.Held != mapswitch.NoPass || v.Armed != 0
	if !changed && r.Choices == nil && cycle%largeGroupReportInterval != 0 {
		return false
	}
	a.lastReported = r.View
	return true
}

// claimIfLeaderSilent claims the leadership of the group when its leader has timed out. Without
// engine settings it requests these instead, and claims once they are there.
func (a *Agent) claimIfLeaderSilent(ctx context.Context) {
	a.mu.Lock()
	group, hasReport := a.rank.Group, a.hasReport
	silent := a.config.Now().Sub(a.announcedAt)
	due := hasReport && group != "" && a.leading == nil && silent > a.claimAfter
	settings := a.engineSettings
	previous := a.announced
	a.mu.Unlock()
	if !due {
		return
	}
	if settings == nil {
		a.requestSettings(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	fence, err := a.config.Store.ClaimLeadership(ctx, group)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.claimAfter = randomClaimDelay(a.rank.Size)
	if err != nil {
		a.config.Log.Warn().Err(err).Str("group", group).Msg("claiming the group's leadership failed; retrying")
		a.announcedAt = a.config.Now()
		return
	}
	if fence <= a.announced.Fence { // a later claim was announced in the meantime
		a.announcedAt = a.config.Now()
		return
	}
	a.announced = mesh.LeaderAnnouncement{Service: a.config.Service, Group: group, Fence: fence}
	a.leaderHost = a.config.Self.Name
	a.leading = newLeader(a.config, group, fence, *settings)
	a.config.Log.Info().Str("group", group).Int64("fence", int64(fence)).Dur("silent", silent).
		Int64("old_fence", int64(previous.Fence)).Msg("leading the group")
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

func (a *Agent) setSettings(settings routes.Engine) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.engineSettings = &settings
}

// tickLeader runs the leader's periodic work, or stops leading when another daemon holds a
// higher fence.
func (a *Agent) tickLeader() {
	a.mu.Lock()
	l := a.leading
	if l != nil && l.isSuperseded() {
		a.config.Log.Info().Str("group", l.group).Int64("fence", int64(l.claimFence)).Msg("stopped leading the group; a higher fence is in use")
		a.leading = nil
		a.leaderHost = ""
		l = nil
	}
	a.mu.Unlock()
	if l != nil {
		l.tick()
	}
}

// Handle processes a message from another daemon. It does not block on an engine: orders are
// executed in a new goroutine.
func (a *Agent) Handle(from mesh.Host, m mesh.Message) {
	switch {
	case m.LeaderAnnouncement != nil:
		a.follow(from, *m.LeaderAnnouncement)
	case m.EngineSettings != nil && m.EngineSettings.Service == a.config.Service:
		a.setSettings(m.EngineSettings.Engine)
	case m.Order != nil:
		go a.executeOrder(from, *m.Order)
	default:
		a.mu.Lock()
		l := a.leading
		a.mu.Unlock()
		if l != nil {
			l.handle(from, m)
		}
	}
}

// follow records the leader that announced itself. The highest fence wins: a daemon that leads
// stops when it receives an announcement with a higher fence than its own.
func (a *Agent) follow(from mesh.Host, announcement mesh.LeaderAnnouncement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if announcement.Service != a.config.Service || (a.hasReport && announcement.Group != a.rank.Group) || announcement.Fence < a.announced.Fence {
		return
	}
	if announcement.Fence > a.announced.Fence {
		a.config.Log.Info().Str("leader", from.Name).Str("group", announcement.Group).Int64("fence", int64(announcement.Fence)).Msg("following a new leader")
		a.leading = nil
	}
	if a.leading != nil {
		return
	}
	a.announced, a.leaderHost, a.announcedAt = announcement, from.Name, a.config.Now()
	a.claimAfter = randomClaimDelay(a.rank.Size)
}

// executeOrder passes an order of the leader to an engine and sends the result to o.Leader. An
// order with a fence below the highest known one is answered with Fenced. If the engine does not
// answer, nothing is sent.
func (a *Agent) executeOrder(from mesh.Host, o mesh.Order) {
	a.mu.Lock()
	fenced := o.Order.Fence < a.announced.Fence
	a.mu.Unlock()
	answer := mesh.OrderResult{ID: o.ID, Result: mapswitch.Fenced}
	if !fenced {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		layout, err := a.relayPrepare(o)
		if err != nil {
			a.config.Log.Warn().Err(err).Str("leader", from.Name).Msg("order could not be decoded and is dropped")
			return
		}
		result, err := a.config.Engine.Order(ctx, o.Engine, o.Order, layout)
		if err != nil {
			a.config.Log.Debug().Err(err).Str("order", string(o.Order.Kind)).Msg("engine did not answer the order; the leader repeats it")
			return
		}
		answer.Result = result
		a.config.Log.Debug().Str("order", string(o.Order.Kind)).Int64("map", int64(o.Order.Version)).
			Int64("pass", int64(o.Order.Pass)).Int64("fence", int64(o.Order.Fence)).Str("result", string(result)).Msg("order sent to the engine")
	}
	a.config.Mesh.Send(o.Leader, mesh.Message{OrderResult: &answer})
}

// relayPrepare forwards a prepare order to the ranks on its relay list and returns the order's
// layouts, by set and rank. For an order of another kind it returns nil.
func (a *Agent) relayPrepare(o mesh.Order) ([][][]int, error) {
	if len(o.Layout) == 0 {
		return nil, nil
	}
	for _, to := range o.Relay {
		relayed := o
		relayed.ID, relayed.Engine, relayed.Relay = to.ID, to.Engine, nil
		a.config.Mesh.Send(to.Host, mesh.Message{Order: &relayed})
	}
	return mesh.DecodeLayout(o.Layout)
}

// Leading returns whether this daemon leads its group.
func (a *Agent) Leading() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leading != nil
}
