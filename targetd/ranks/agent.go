package ranks

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/routes"
)

const (
	// readEvery is how often the own engine is read; demand shifts every few
	// seconds and must be seen within a few tenths of one.
	readEvery = 100 * time.Millisecond
	// leadSilence is how long a leader may be silent before another takes over:
	// some lost beats, well under the second in which a held pass must resolve.
	// A large group's leader has more to send: leadSilenceRank more for each rank.
	leadSilence     = 500 * time.Millisecond
	leadSilenceRank = 5 * time.Millisecond
	// claimSpread, for each rank up to maxClaimRanks, spreads the claims of ranks
	// that miss the leader at once.
	claimSpread   = 30 * time.Millisecond
	maxClaimRanks = 30
	// largeGroup is the size from which on ranks take turns in telling their
	// choices, about as many at a time, and report only every few reads: all
	// of them at once would fill the leader's link.
	largeGroup = 16
	// reportTurns is every how manieth read a rank of a large group reports.
	reportTurns = 2
	// readTimeout bounds a read of the own engine.
	readTimeout = 300 * time.Millisecond
	// orderTimeout is how long an engine may take to answer an order.
	orderTimeout = 120 * time.Millisecond
	// shapeAsks is how many entries are asked for the shape at a time, and
	// shapePatience how long before the store is asked; also how long that may take.
	shapeAsks     = 2
	shapePatience = 2 * time.Second
	// layoutAge is how old the own layout may grow; it changes only by orders.
	layoutAge = time.Second
)

// Config is what an Agent is built from.
type Config struct {
	Self    mesh.Host
	Service string
	Engine  Engine
	Store   Store
	Mesh    *mesh.Mesh
	Now     func() time.Time
	// SkewTarget is the skew at which a layout is good enough; copies cost more
	// below it.
	SkewTarget float64
	Log        zerolog.Logger
}

// Agent is one target daemon's part in its group. It is safe for concurrent use.
type Agent struct {
	config Config

	mu       sync.Mutex
	rank     mesh.Rank // newest of the own engine
	known    bool
	layoutAt time.Time
	counts   []int64
	lead     mesh.Lead // newest leader of the own group
	leader   string
	leadAt   time.Time
	patience time.Duration // until the next claim
	leading  *leader
	readable bool
	told     mapswitch.View // last reported
	shape    *routes.Engine
	// shapeAsked is when the shape was first asked for.
	shapeAsked time.Time
}

// New returns an agent that knows nothing yet.
func New(c Config) *Agent {
	return &Agent{config: c, leadAt: c.Now(), patience: patience(0), readable: true}
}

// patience is for how long a rank of a group of a size waits for its leader.
func patience(size int) time.Duration {
	spread := claimSpread * time.Duration(min(max(size, 10), maxClaimRanks))
	return leadSilence + leadSilenceRank*time.Duration(size) + time.Duration(rand.Int64N(int64(spread)))
}

// Run reads the engine and leads while it has to, until the context ends.
func (a *Agent) Run(ctx context.Context) {
	ticker := time.NewTicker(readEvery)
	defer ticker.Stop()
	for {
		a.read(ctx)
		a.report()
		a.maybeClaim(ctx)
		a.advance()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// read reads the own engine.
func (a *Agent) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	report, err := a.config.Engine.Read(ctx, a.config.Self.Engine)
	a.noteReadable(err)
	if err != nil {
		return
	}
	a.mu.Lock()
	stale := a.config.Now().Sub(a.layoutAt) > layoutAge || !a.known ||
		report.View.Map != a.rank.View.Map || report.View.Epoch != a.rank.View.Epoch
	a.mu.Unlock()
	var layout *Layout
	var choices []int64
	if report.Group != "" {
		if stale {
			l, err := a.config.Engine.Layout(ctx)
			if err != nil {
				a.config.Log.Warn().Err(err).Msg("layout of the engine cannot be read; no switch begins before it can")
			} else if l.Map == report.View.Map {
				layout = &l
			}
		}
		if choices, err = a.config.Engine.Choices(ctx); err != nil {
			a.config.Log.Warn().Err(err).Msg("choices of the engine cannot be read; the next read counts them")
		}
	}
	a.take(report, layout, choices)
}

func (a *Agent) noteReadable(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readable == (err == nil) {
		return
	}
	a.readable = err == nil
	if err != nil {
		a.config.Log.Warn().Err(err).Str("engine", a.config.Self.Engine).Msg("engine lost; it is read again and again")
		return
	}
	a.config.Log.Info().Str("engine", a.config.Self.Engine).Msg("engine regained")
}

func (a *Agent) take(r Report, layout *Layout, choices []int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r.Group != a.rank.Group {
		a.config.Log.Info().Str("group", r.Group).Int("rank", r.Rank).Int("size", r.Size).Msg("engine is in this group now")
		a.leading = nil
		a.lead = mesh.Lead{}
	}
	held := a.rank.Held
	if layout != nil {
		held = layout.Held
		a.layoutAt = a.config.Now()
	} else if r.View.Map != a.rank.View.Map || r.View.Epoch != a.rank.View.Epoch {
		held = nil
	}
	a.known = true
	a.rank = mesh.Rank{
		Service: a.config.Service, Engine: a.config.Self.Engine, Group: r.Group, Rank: r.Rank, Size: r.Size, Open: r.Open,
		View: r.View, Queued: r.Queued, Active: r.Active, Pace: r.Pace, Held: held, Sequence: a.rank.Sequence + 1,
		Choices: mesh.EncodeChoices(a.counts, choices),
	}
	if choices != nil {
		a.counts = choices
	}
}

// report tells the leader what was read.
func (a *Agent) report() {
	a.mu.Lock()
	r, leader, self := a.rank, a.leader, a.leading
	r.Fence = a.lead.Fence
	ready := a.known && r.Group != ""
	a.mu.Unlock()
	if !ready {
		return
	}
	if self != nil {
		self.takeRank(a.config.Self.Name, r)
		return
	}
	if leader != "" && a.myTurn(&r) {
		a.config.Mesh.Send(leader, mesh.Message{Rank: &r})
	}
}

// myTurn says whether a rank of a large group reports now, and leaves out the
// choices when others tell theirs. What concerns a switch is always reported.
func (a *Agent) myTurn(r *mesh.Rank) bool {
	turns := int64(r.Size+largeGroup-1) / largeGroup
	if turns <= 1 {
		return true
	}
	turn := r.Sequence + int64(r.Rank)
	if turn%turns != 0 {
		r.Choices = nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	v := r.View
	v.Pass = a.told.Pass // passes alone are no news
	news := v != a.told || v.Held != mapswitch.NoPass || v.Armed != 0
	if !news && r.Choices == nil && turn%reportTurns != 0 {
		return false
	}
	a.told = r.View
	return true
}

// maybeClaim takes the lead of the group when its leader has been silent.
func (a *Agent) maybeClaim(ctx context.Context) {
	a.mu.Lock()
	group, known := a.rank.Group, a.known
	silent := a.config.Now().Sub(a.leadAt)
	due := known && group != "" && a.leading == nil && silent > a.patience
	shape := a.shape
	old := a.lead
	a.mu.Unlock()
	if !due {
		return
	}
	if shape == nil {
		a.askShape(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	fence, err := a.config.Store.Claim(ctx, group)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.patience = patience(a.rank.Size)
	if err != nil {
		a.config.Log.Warn().Err(err).Str("group", group).Msg("lead cannot be claimed; tried again")
		a.leadAt = a.config.Now()
		return
	}
	if fence <= a.lead.Fence {
		a.leadAt = a.config.Now()
		return
	}
	a.lead = mesh.Lead{Service: a.config.Service, Group: group, Fence: fence}
	a.leader = a.config.Self.Name
	a.leading = newLeader(a.config, group, fence, *shape)
	a.config.Log.Info().Str("group", group).Int64("fence", int64(fence)).Dur("silent", silent).
		Int64("old_fence", int64(old.Fence)).Msg("leads the group now")
}

// askShape asks some entries, and the store when none of them answers: what is
// published may be large, and the link of a target host is narrow.
func (a *Agent) askShape(ctx context.Context) {
	entries := a.config.Mesh.Known(mesh.Entry)
	for range min(len(entries), shapeAsks) {
		a.config.Mesh.Send(entries[rand.IntN(len(entries))].Name, mesh.Message{AskShape: a.config.Service})
	}
	now := a.config.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shapeAsked.IsZero() {
		a.shapeAsked = now
	}
	if now.Sub(a.shapeAsked) < shapePatience {
		return
	}
	a.shapeAsked = now
	go a.readShape(ctx)
}

func (a *Agent) readShape(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shapePatience)
	defer cancel()
	shape, err := a.config.Store.Shape(ctx)
	if err != nil {
		a.config.Log.Warn().Err(err).Msg("shape of the engine's service is not known; it is asked for again")
		return
	}
	a.setShape(shape)
}

func (a *Agent) setShape(shape routes.Engine) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shape = &shape
}

// advance lets the leader do what is due.
func (a *Agent) advance() {
	a.mu.Lock()
	l := a.leading
	if l != nil && l.deposed() {
		a.config.Log.Info().Str("group", l.group).Int64("fence", int64(l.fence)).Msg("no longer leads; a higher fence was seen")
		a.leading = nil
		a.leader = ""
		l = nil
	}
	a.mu.Unlock()
	if l != nil {
		l.tick()
	}
}

// Handle takes a message of another daemon.
func (a *Agent) Handle(from mesh.Host, m mesh.Message) {
	switch {
	case m.Lead != nil:
		a.follow(from, *m.Lead)
	case m.Shape != nil && m.Shape.Service == a.config.Service:
		a.setShape(m.Shape.Engine)
	case m.Order != nil:
		go a.order(from, *m.Order)
	default:
		a.mu.Lock()
		l := a.leading
		a.mu.Unlock()
		if l != nil {
			l.handle(from, m)
		}
	}
}

// follow notes who leads the group; the highest fence counts.
func (a *Agent) follow(from mesh.Host, lead mesh.Lead) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if lead.Service != a.config.Service || (a.known && lead.Group != a.rank.Group) || lead.Fence < a.lead.Fence {
		return
	}
	if lead.Fence > a.lead.Fence {
		a.config.Log.Info().Str("leader", from.Name).Str("group", lead.Group).Int64("fence", int64(lead.Fence)).Msg("another leader is followed")
		a.leading = nil
	}
	if a.leading != nil {
		return
	}
	a.lead, a.leader, a.leadAt = lead, from.Name, a.config.Now()
	a.patience = patience(a.rank.Size)
}

// order gives the own engine an order of the leader, unless a higher fence is
// known.
func (a *Agent) order(from mesh.Host, o mesh.Order) {
	a.mu.Lock()
	stale := o.Order.Fence < a.lead.Fence
	a.mu.Unlock()
	answer := mesh.Ordered{ID: o.ID, Result: mapswitch.Fenced}
	if !stale {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		layout, err := a.passOn(o)
		if err != nil {
			a.config.Log.Warn().Err(err).Str("leader", from.Name).Msg("order is dropped")
			return
		}
		result, err := a.config.Engine.Order(ctx, o.Engine, o.Order, layout)
		if err != nil {
			a.config.Log.Debug().Err(err).Str("order", string(o.Order.Kind)).Msg("order has no answer; the leader repeats it")
			return
		}
		answer.Result = result
		a.config.Log.Debug().Str("order", string(o.Order.Kind)).Int64("map", int64(o.Order.Version)).
			Int64("pass", int64(o.Order.Pass)).Int64("fence", int64(o.Order.Fence)).Str("result", string(result)).Msg("order given to the engine")
	}
	a.config.Mesh.Send(o.Leader, mesh.Message{Ordered: &answer})
}

// passOn relays a prepare to further ranks, and reads its layout.
func (a *Agent) passOn(o mesh.Order) ([][][]int, error) {
	if len(o.Layout) == 0 {
		return nil, nil
	}
	for _, to := range o.Relay {
		next := o
		next.ID, next.Engine, next.Relay = to.ID, to.Engine, nil
		a.config.Mesh.Send(to.Host, mesh.Message{Order: &next})
	}
	return mesh.DecodeLayout(o.Layout)
}

// Leads says whether this daemon leads its group.
func (a *Agent) Leads() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leading != nil
}
