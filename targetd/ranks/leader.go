package ranks

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/placement"
	"camphormill.dev/parts/popularity"
	"camphormill.dev/parts/rankload"
	"camphormill.dev/parts/routes"
)

const (
	// leadEvery is how often a leader says that it leads, a third of leadSilence,
	// and leadEveryRank how much less often for each rank.
	leadEvery     = 150 * time.Millisecond
	leadEveryRank = 2 * time.Millisecond
	// relayRanks is how many ranks get a prepare from one other rank; the leader's
	// link would take too long for a large group.
	relayRanks = 8
	// rankAge is how old the word of a rank may be for a decision that needs all.
	rankAge = 600 * time.Millisecond
	// farAfter is how long a rank's daemon may be silent before the leader reads
	// its engine itself, and farEvery how often it does; such reads are paid for.
	farAfter = 300 * time.Millisecond
	farEvery = 250 * time.Millisecond
	// repeatAfter is when an order without an answer is sent again.
	repeatAfter = 60 * time.Millisecond
	// copyRepeat is when a prepare is sent again; its copies take some tenths.
	copyRepeat = 400 * time.Millisecond
	// directAfter is when an order goes straight to the engine, past silent
	// daemons.
	directAfter = 200 * time.Millisecond
	// prepareTime bounds the copies of one switch.
	prepareTime = 2500 * time.Millisecond
	// holdTime bounds how long the group may wait for all ranks to be armed.
	holdTime = 500 * time.Millisecond
	// ahead is how many passes lie before the held one: some 40 ms each, against
	// two messages and an order.
	ahead mapswitch.Pass = 3
	// longPass is when passes are so long that layouts are evened out as far as
	// they can: half of the pause between events that users allow.
	longPass = 60 * time.Millisecond
	// evenSkew and evenGain take the place of the usual target and gain then.
	evenSkew = 1.15
	evenGain = 0.08
	// worthwhile is by how much a switch must lower the skew, below which copies
	// slow passes more than they help.
	worthwhile = 0.15
	// arrivalTime bounds the wait for the held pass after a switch.
	arrivalTime = time.Second
	// fencesASwitch: one to lead it, one to undo it.
	fencesASwitch = 2
)

type rankState struct {
	host string
	rank mesh.Rank
	at   time.Time
	far  bool // read past its silent daemon
}

// leader is what the leading daemon of a group keeps. It is safe for concurrent
// use.
type leader struct {
	config Config
	group  string
	shape  routes.Engine
	log    zerolog.Logger

	mu       sync.Mutex
	fence    mapswitch.Fence // of the claim
	next     mapswitch.Fence // of the next switch
	fenced   bool
	ranks    map[int]rankState
	placer   *rankload.Placer
	askers   map[string]string // hosts by request
	demand   popularity.Estimate
	gathered [][]float64
	told     time.Time
	open     bool

	current  *mapswitch.Switch
	layouts  [][][]int // of the current switch, by set and rank
	encoded  []byte
	phaseAt  time.Time
	phase    mapswitch.Phase
	orders   map[int]sent
	orderID  int64
	plannedS float64
	// awaited is the map of the last switch until every rank has begun a pass
	// under it; before that the layouts told are those of the old map.
	awaited mapswitch.Version
	awaitAt time.Time
	began   time.Time
	pace    passPace
	farRead map[string]time.Time // by host
}

type sent struct {
	id    int64
	order mapswitch.Order
	at    time.Time
	first time.Time
	// accepted says that the engine has taken it and works on it.
	accepted bool
}

func newLeader(c Config, group string, fence mapswitch.Fence, shape routes.Engine) *leader {
	return &leader{
		config: c, group: group, shape: shape, fence: fence, next: fence, ranks: map[int]rankState{}, placer: rankload.New(),
		askers: map[string]string{}, orders: map[int]sent{}, farRead: map[string]time.Time{}, began: c.Now(), log: c.Log.With().Int64("fence", int64(fence)).Str("group", group).Logger(),
	}
}

func (l *leader) deposed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fenced
}

// tick does what is due.
func (l *leader) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	l.tell(now)
	l.readFar(now)
	l.updateRanks(now)
	l.send(l.placer.Next(now))
	l.watchHeld(now)
	l.demandNow()
	if l.current == nil {
		l.plan(now)
	}
	l.proceed(now)
}

// tell says to all daemons who leads.
func (l *leader) tell(now time.Time) {
	if now.Sub(l.told) < leadEvery+leadEveryRank*time.Duration(len(l.ranks)) {
		return
	}
	l.told = now
	m := mesh.Message{Lead: &mesh.Lead{Service: l.config.Service, Group: l.group, Fence: l.fence, Open: l.open}}
	for _, role := range []mesh.Role{mesh.Target, mesh.Entry} {
		for _, h := range l.config.Mesh.Known(role) {
			l.config.Mesh.Send(h.Name, m)
		}
	}
}

func (l *leader) handle(from mesh.Host, m mesh.Message) {
	switch {
	case m.Rank != nil:
		l.takeRank(from.Name, *m.Rank)
	case m.Ask != nil:
		l.ask(from, *m.Ask)
	case m.Release != nil:
		l.release(*m.Release)
	case m.Ordered != nil:
		l.ordered(*m.Ordered)
	}
}

// takeRank takes what a rank's daemon read.
func (l *leader) takeRank(host string, r mesh.Rank) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Group != l.group || r.Fence > l.fence {
		l.fenced = l.fenced || (r.Group == l.group && r.Fence > l.fence)
		return
	}
	now := l.config.Now()
	l.gather(r.Choices)
	l.note(now, rankState{host: host, rank: r, at: now})
}

// readFar reads the engines whose daemons are silent: a held pass must not wait
// for a frozen host.
func (l *leader) readFar(now time.Time) {
	if now.Sub(l.began) < farAfter {
		return
	}
	heard := map[string]bool{l.config.Self.Name: true}
	for _, r := range l.ranks {
		heard[r.host] = heard[r.host] || (!r.far && now.Sub(r.at) < farAfter)
	}
	for _, h := range l.config.Mesh.Known(mesh.Target) {
		if !heard[h.Name] && now.Sub(l.farRead[h.Name]) >= farEvery {
			l.farRead[h.Name] = now
			go l.readEngine(h)
		}
	}
}

func (l *leader) readEngine(h mesh.Host) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	r, err := l.config.Engine.Read(ctx, h.Engine)
	if err != nil {
		l.log.Debug().Err(err).Str("host", h.Name).Msg("engine of a silent daemon cannot be read; it is tried again")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Group != l.group {
		return
	}
	now := l.config.Now()
	old, known := l.ranks[r.Rank]
	if known && !old.far && now.Sub(old.at) < farAfter {
		return // its daemon has spoken meanwhile
	}
	if !known || !old.far {
		l.log.Info().Str("host", h.Name).Int("rank", r.Rank).Msg("daemon of a rank is silent; its engine is read from here")
	}
	rank := mesh.Rank{
		Service: l.config.Service, Engine: h.Engine, Group: r.Group, Rank: r.Rank, Size: r.Size, Open: r.Open,
		View: r.View, Queued: r.Queued, Active: r.Active, Pace: r.Pace,
	}
	if known && old.rank.View.Map == r.View.Map && old.rank.View.Epoch == r.View.Epoch {
		rank.Held = old.rank.Held
	}
	l.note(now, rankState{host: h.Name, rank: rank, at: now, far: true})
}

// note takes the newest of a rank.
func (l *leader) note(now time.Time, state rankState) {
	l.ranks[state.rank.Rank] = state
	l.pace = l.pace.with(now, state.rank.View.Pass)
	if l.current != nil {
		s := l.current.WithView(state.rank.Rank, state.rank.View)
		l.current = &s
		l.proceed(now)
	}
}

func (l *leader) gather(choices []byte) {
	if len(choices) == 0 || l.shape.Sets == 0 {
		return
	}
	if l.gathered == nil {
		l.gathered = make([][]float64, l.shape.Sets)
		for s := range l.gathered {
			l.gathered[s] = make([]float64, l.shape.Experts)
		}
	}
	for i, n := range mesh.DecodeChoices(choices) {
		if i/l.shape.Experts < l.shape.Sets {
			l.gathered[i/l.shape.Experts][i%l.shape.Experts] += n
		}
	}
}

func (l *leader) demandNow() {
	if l.gathered == nil {
		return
	}
	shifts := l.demand.Shifts()
	l.demand = l.demand.With(l.gathered)
	l.gathered = nil
	if l.demand.Shifts() != shifts {
		l.log.Info().Int("shifts", l.demand.Shifts()).Msg("demand for experts has changed")
	}
}

// whole says whether every rank of the group was heard lately, in one epoch.
func (l *leader) whole(now time.Time) bool {
	size := 0
	for _, r := range l.ranks {
		size = max(size, r.rank.Size)
	}
	if size == 0 || len(l.ranks) < size {
		return false
	}
	epoch := l.ranks[0].rank.View.Epoch
	for i := range size {
		r, ok := l.ranks[i]
		if !ok || now.Sub(r.at) > rankAge || r.rank.View.Epoch != epoch {
			return false
		}
	}
	return true
}

// updateRanks tells the placer which ranks take work: all of an open group.
func (l *leader) updateRanks(now time.Time) {
	epoch, open, heard := int64(0), true, 0
	for _, r := range l.ranks {
		epoch = max(epoch, r.rank.View.Epoch)
	}
	var usable []rankload.Rank
	for _, i := range sortedRanks(l.ranks) {
		r := l.ranks[i]
		if now.Sub(r.at) < rankAge {
			heard++
			open = open && r.rank.Open
		}
		if r.rank.View.Epoch == epoch {
			usable = append(usable, rankload.Rank{Engine: r.rank.Engine, Slots: l.shape.Slots, Active: r.rank.Active + r.rank.Queued, Pace: r.rank.Pace})
		}
	}
	open = open && heard > 0
	if open != l.open {
		l.log.Info().Bool("open", open).Int64("epoch", epoch).Int("ranks", len(usable)).Msg("group changed")
		l.open = open
		l.told = time.Time{}
		l.tell(now)
	}
	if !open {
		usable = nil
	}
	l.placer.SetRanks(usable)
}

func sortedRanks(ranks map[int]rankState) []int {
	order := make([]int, 0, len(ranks))
	for i := range ranks {
		order = append(order, i)
	}
	slices.Sort(order)
	return order
}

// ask gives a request its place.
func (l *leader) ask(from mesh.Host, a mesh.Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	l.askers[a.ID] = from.Name
	v := l.placer.Offer(now, rankload.Request{
		ID: a.ID, Organisation: a.Organisation, Fingerprint: a.Fingerprint, Prompt: a.Prompt, Not: a.Not,
		StartBy: now.Add(time.Duration(a.StartInMS) * time.Millisecond),
		Latest:  now.Add(time.Duration(a.LatestInMS) * time.Millisecond),
	})
	l.send([]rankload.Verdict{v})
}

func (l *leader) release(r mesh.Release) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.askers, r.ID)
	l.send(l.placer.Release(l.config.Now(), r.ID))
}

func (l *leader) send(verdicts []rankload.Verdict) {
	now := l.config.Now()
	for _, v := range verdicts {
		host, ok := l.askers[v.ID]
		if !ok {
			continue
		}
		answer := mesh.Verdict{ID: v.ID, Engine: v.Engine, Wait: v.Wait}
		if v.Engine == "" && !v.Wait {
			answer.ReturnInMS = int(max(v.Return.Sub(now), 0).Milliseconds())
			delete(l.askers, v.ID)
		}
		l.log.Debug().Str("request", v.ID).Str("engine", v.Engine).Bool("wait", v.Wait).Int("return_in_ms", answer.ReturnInMS).
			Int("running", l.placer.Running()).Int("waiting", l.placer.Waiting()).Msg("place decided")
		l.config.Mesh.Send(host, mesh.Message{Verdict: &answer})
	}
}

// watchHeld undoes what an earlier leader, or a late order, left held.
func (l *leader) watchHeld(now time.Time) {
	if l.current != nil || !l.whole(now) {
		return
	}
	holders := map[int]mapswitch.Pass{}
	version := mapswitch.Version(0)
	for i, r := range l.ranks {
		if r.rank.View.Held != mapswitch.NoPass {
			holders[i] = r.rank.View.Held
		}
		version = max(version, r.rank.View.Armed, r.rank.View.Prepared)
	}
	if len(holders) == 0 {
		return
	}
	c := l.switchConfig(version)
	s := mapswitch.Undo(c, holders)
	l.log.Warn().Int("holders", len(holders)).Int64("map", int64(version)).Msg("a pass is held by nobody's switch; it is let go")
	l.start(now, s)
}

func (l *leader) switchConfig(version mapswitch.Version) mapswitch.Config {
	holder := 0
	for i, r := range l.ranks {
		if r.host == l.config.Self.Name {
			holder = i
		}
	}
	c := mapswitch.Config{
		Fence: l.next, Epoch: l.ranks[0].rank.View.Epoch, Ranks: len(l.ranks), Version: version, Holder: holder, Ahead: ahead,
	}
	l.next += fencesASwitch
	return c
}

func (l *leader) start(now time.Time, s mapswitch.Switch) {
	l.current = &s
	l.phase, l.phaseAt = s.Phase(), now
	l.orders = map[int]sent{}
}

// plan starts a switch when the layout in force is too uneven for the demand.
func (l *leader) plan(now time.Time) {
	shares := l.demand.Shares()
	if shares == nil || !l.open || !l.whole(now) || !l.arrived(now) {
		return
	}
	current, ok := l.layout()
	if !ok {
		return
	}
	target, gain := l.config.SkewTarget, worthwhile
	if l.pace.mean > longPass {
		target, gain = min(target, evenSkew), evenGain
	}
	speeds := make([]float64, len(l.ranks))
	version := mapswitch.Version(0)
	for i, r := range l.ranks {
		speeds[i] = 1 / max(r.rank.Pace, 1)
		version = max(version, r.rank.View.Map, r.rank.View.Prepared, r.rank.View.Armed)
	}
	began := time.Now()
	var before, after float64
	next := make([]placement.Layout, len(current))
	added := 0
	for s := range current {
		p := placement.Problem{Loads: shares[s], Speeds: speeds, Slots: l.shape.Places, Ranks: len(l.ranks)}
		skew := p.Skew(current[s])
		before += skew / float64(len(current))
		next[s] = current[s]
		if skew > target {
			b := placement.Balance(p, current[s], placement.BalanceConfig{Target: target, Spare: l.shape.Spare})
			next[s], skew = b.Layout, b.Skew
			added += b.Added
		}
		after += skew / float64(len(current))
	}
	if before-after < gain {
		return
	}
	l.layouts = make([][][]int, len(next))
	for s := range next {
		l.layouts[s] = next[s]
	}
	l.encoded = mesh.EncodeLayout(l.layouts)
	l.plannedS = after
	l.log.Info().Float64("skew", before).Float64("skew_planned", after).Int("copies", added).Int64("map", int64(version+1)).
		Dur("pass", l.pace.mean).
		Dur("took", time.Since(began)).Msg("switch of the expert map begins")
	l.start(now, mapswitch.New(l.switchConfig(version+1)))
}

// arrived says whether the last switch has taken effect at every rank. An idle
// group makes no passes; a new epoch has forgotten the switch.
func (l *leader) arrived(now time.Time) bool {
	if l.awaited == 0 || now.Sub(l.awaitAt) > arrivalTime {
		return true
	}
	for _, r := range l.ranks {
		if r.rank.View.Map < l.awaited {
			return false
		}
	}
	return true
}

// layout assembles the map in force from what the ranks hold.
func (l *leader) layout() ([]placement.Layout, bool) {
	layouts := make([]placement.Layout, l.shape.Sets)
	for s := range layouts {
		layouts[s] = make(placement.Layout, len(l.ranks))
	}
	version := l.ranks[0].rank.View.Map
	for i, r := range l.ranks {
		if r.rank.View.Map != version || len(r.rank.Held) != l.shape.Sets {
			return nil, false
		}
		for s, held := range r.rank.Held {
			layouts[s][i] = held
		}
	}
	return layouts, true
}

// proceed sends the orders that are due and ends what takes too long.
func (l *leader) proceed(now time.Time) {
	if l.current == nil {
		return
	}
	if l.expired(now) {
		l.log.Warn().Str("phase", string(l.phase)).Dur("after", now.Sub(l.phaseAt)).Msg("switch takes too long; it is given up")
		s := l.current.GivenUp()
		l.current = &s
	}
	if phase := l.current.Phase(); phase != l.phase {
		l.log.Debug().Str("phase", string(phase)).Dur("last_took", now.Sub(l.phaseAt)).Msg("switch goes on")
		l.phase, l.phaseAt = phase, now
		l.orders = map[int]sent{}
	}
	if l.phase == mapswitch.Finished {
		l.log.Info().Int64("map", int64(l.current.Version())).Bool("undone", l.current.Undone()).Float64("skew_planned", l.plannedS).Msg("switch ended")
		l.awaited, l.awaitAt = 0, now
		if !l.current.Undone() {
			l.awaited = l.current.Version()
		}
		l.current = nil
		return
	}
	l.giveAll(now, l.current.Orders())
}

// giveAll gives the orders that are due. Prepares of a large group go by way of
// some of its ranks.
func (l *leader) giveAll(now time.Time, orders map[int]mapswitch.Order) {
	var relayed []mesh.Order
	for _, rank := range sortedRanks(l.ranks) {
		o, ok := orders[rank]
		if !ok {
			continue
		}
		if to, m := l.give(now, rank, o); to != "" && o.Kind == mapswitch.Prepare && len(l.ranks) > largeGroup {
			m.Relay = []mesh.RelayTo{{Host: to}}
			relayed = append(relayed, m)
		} else if to != "" {
			l.config.Mesh.Send(to, mesh.Message{Order: &m})
		}
	}
	for len(relayed) > 0 {
		n := min(len(relayed), relayRanks)
		first := relayed[0]
		to := first.Relay[0].Host
		first.Relay = nil
		for _, m := range relayed[1:n] {
			first.Relay = append(first.Relay, mesh.RelayTo{Host: m.Relay[0].Host, Engine: m.Engine, ID: m.ID})
		}
		l.config.Mesh.Send(to, mesh.Message{Order: &first})
		relayed = relayed[n:]
	}
}

func (l *leader) expired(now time.Time) bool {
	took := now.Sub(l.phaseAt)
	switch l.phase {
	case mapswitch.Preparing:
		return took > prepareTime
	case mapswitch.Holding, mapswitch.Arming:
		return took > holdTime
	}
	return false
}

// give notes an order that is due and returns the message and the host that gets
// it, or no host.
func (l *leader) give(now time.Time, rank int, o mapswitch.Order) (string, mesh.Order) {
	last, known := l.orders[rank]
	again := repeatAfter
	if o.Kind == mapswitch.Prepare {
		again = copyRepeat
	}
	if known && last.order == o && (last.accepted || now.Sub(last.at) < again) {
		return "", mesh.Order{}
	}
	first := now
	if known && last.order == o {
		first = last.first
	}
	state, ok := l.ranks[rank]
	if !ok {
		return "", mesh.Order{}
	}
	l.orderID++
	s := sent{id: l.orderID, order: o, at: now, first: first}
	l.orders[rank] = s
	message := mesh.Order{ID: s.id, Leader: l.config.Self.Name, Service: l.config.Service, Engine: state.rank.Engine, Order: o}
	to := l.giver(state, o.Kind, s.id)
	if to == "" || now.Sub(first) > directAfter {
		go l.direct(rank, message, l.layouts)
	}
	if o.Kind == mapswitch.Prepare {
		message.Layout = l.encoded
	}
	return to, message
}

// giver chooses the daemon that gives an order, or none for the leader itself.
// While a pass is held, no host orders its own engine: if it froze then, nobody
// could tell or undo what it had ordered, since the engine beside it is out of
// reach too. Entries have no engine beside them.
func (l *leader) giver(state rankState, kind mapswitch.Kind, id int64) string {
	if kind == mapswitch.Prepare {
		if state.far || state.host == l.config.Self.Name {
			return ""
		}
		return state.host
	}
	entries := l.config.Mesh.Alive(mesh.Entry)
	if len(entries) == 0 {
		return ""
	}
	return entries[(int(id)/l.size())%len(entries)].Name
}

// size is the number of ranks, at least one.
func (l *leader) size() int { return max(len(l.ranks), 1) }

// direct gives an order to an engine itself: its own, or one whose daemon is
// silent.
func (l *leader) direct(rank int, o mesh.Order, layout [][][]int) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	result, err := l.config.Engine.Order(ctx, o.Engine, o.Order, layout)
	if err != nil {
		l.log.Debug().Err(err).Int("rank", rank).Str("order", string(o.Order.Kind)).Msg("order has no answer; it is given again")
		return
	}
	l.ordered(mesh.Ordered{ID: o.ID, Result: result})
}

// ordered takes the answer to an order.
func (l *leader) ordered(o mesh.Ordered) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return
	}
	for rank, s := range l.orders {
		if s.id != o.ID {
			continue
		}
		if o.Result != mapswitch.Done {
			l.log.Debug().Int("rank", rank).Str("order", string(s.order.Kind)).Str("result", string(o.Result)).Msg("order was not taken")
		}
		l.fenced = l.fenced || o.Result == mapswitch.Fenced
		if o.Result == mapswitch.Done {
			s.accepted = true
			l.orders[rank] = s
		}
		next := l.current.WithResult(rank, s.order, o.Result)
		l.current = &next
		l.proceed(l.config.Now())
		return
	}
}

// Fence returns the fence of the n-th claim: room is left below the next one
// for the switches of its leader.
func Fence(n int64) mapswitch.Fence {
	const switchesAClaim = 1_000_000 // years of one a second would not exceed it in days of service
	return mapswitch.Fence((n + 1) * switchesAClaim)
}
