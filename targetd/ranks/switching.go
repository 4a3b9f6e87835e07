package ranks

import (
	"context"
	"slices"
	"time"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/placement"
)

type sent struct {
	id    int64
	order mapswitch.Order
	at    time.Time
	first time.Time
	// accepted says that the engine has taken it and works on it.
	accepted bool
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
		Fence: l.next, Epoch: l.ranks[0].rank.View.Epoch, Ranks: len(l.ranks), Version: version, Holder: holder, Ahead: l.pace.ahead(l.leastPass(l.config.Now())),
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
	target := l.config.SkewTarget
	if l.pace.mean > longPass || len(l.ranks) > largeGroup {
		target = min(target, evenSkew)
	}
	speeds := make([]float64, len(l.ranks))
	version := mapswitch.Version(0)
	for i, r := range l.ranks {
		speeds[i] = speed(r.rank.Pace, slices.Contains(l.slow, r.rank.Engine))
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
	if before-after < worthwhile {
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

// speed is how much of the experts' work a rank of a pace should get. One that is too
// slow for requests gets less than it could do: what it still holds may become
// popular next, and all ranks would wait for it.
func speed(pace float64, tooSlow bool) float64 {
	pace = max(pace, 1)
	if tooSlow {
		pace *= pace
	}
	return 1 / pace
}

// arrived says whether the last switch has taken effect at every rank. An armed
// engine takes no other map, however long its pass lasts; a new epoch has forgotten
// the switch.
func (l *leader) arrived(now time.Time) bool {
	for _, r := range l.ranks {
		if r.rank.View.Armed != 0 {
			return false
		}
	}
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
