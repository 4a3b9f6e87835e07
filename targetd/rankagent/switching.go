package rankagent

import (
	"context"
	"slices"
	"time"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/placement"
)

// sentOrder is an order that was sent to a rank in the current phase of the switch.
type sentOrder struct {
	id          int64 // ID of the last message with the order
	order       mapswitch.Order
	sentAt      time.Time
	firstSentAt time.Time
	// accepted means that the engine has accepted the order and works on it.
	accepted bool
}

// releaseOrphanedHolds releases passes that an earlier leader or a late order left held. It starts
// a rollback of the switch to which they belong.
func (l *leader) releaseOrphanedHolds(now time.Time) {
	if l.current != nil || !l.allReportsFresh(now) {
		return
	}
	heldPasses := map[int]mapswitch.Pass{}
	version := mapswitch.Version(0)
	for i, r := range l.ranks {
		if r.rank.View.Held != mapswitch.NoPass {
			heldPasses[i] = r.rank.View.Held
		}
		version = max(version, r.rank.View.Armed, r.rank.View.Prepared)
	}
	if len(heldPasses) == 0 {
		return
	}
	config := l.switchConfig(version)
	s := mapswitch.NewRollback(config, heldPasses)
	l.log.Warn().Int("holders", len(heldPasses)).Int64("map", int64(version)).Msg("a pass is held without a current switch; releasing it")
	l.startSwitch(now, s)
}

// switchConfig returns the configuration of a new switch to a map and reserves its fences. The rank
// beside this daemon holds the pass, or rank 0 if no report of that rank is known.
func (l *leader) switchConfig(version mapswitch.Version) mapswitch.Config {
	holder := 0
	for i, r := range l.ranks {
		if r.host == l.config.Self.Name {
			holder = i
		}
	}
	c := mapswitch.Config{
		Fence: l.nextFence, Epoch: l.ranks[0].rank.View.Epoch, Ranks: len(l.ranks), Version: version, Holder: holder, HoldAhead: l.passDurations.passesAhead(l.minPassDuration(l.config.Now())),
	}
	l.nextFence += fencesPerSwitch
	return c
}

func (l *leader) startSwitch(now time.Time, s mapswitch.Switch) {
	l.current = &s
	l.phase, l.phaseStart = s.Phase(), now
	l.sentOrders = map[int]sentOrder{}
}

// planSwitch starts a switch when the skew of the current layouts is too high for the demand.
func (l *leader) planSwitch(now time.Time) {
	shares := l.demand.Shares()
	if shares == nil || !l.open || !l.allReportsFresh(now) || !l.lastSwitchSettled(now) {
		return
	}
	current, ok := l.currentLayouts()
	if !ok {
		return
	}
	skewTarget := l.config.SkewTarget
	if l.passDurations.mean > longPassThreshold || len(l.ranks) > largeGroupSize {
		skewTarget = min(skewTarget, tightSkewTarget)
	}
	speeds := make([]float64, len(l.ranks))
	version := mapswitch.Version(0)
	for i, r := range l.ranks {
		speeds[i] = relativeSpeed(r.rank.Slowdown, slices.Contains(l.slowEngines, r.rank.Engine))
		version = max(version, r.rank.View.Map, r.rank.View.Prepared, r.rank.View.Armed)
	}
	planStart := time.Now() // real time, for the log only
	var before, after float64
	planned := make([]placement.Layout, len(current))
	fetchedExperts := 0
	for s := range current {
		p := placement.Problem{Loads: shares[s], Speeds: speeds, ExpertSlots: l.settings.ExpertSlots, Ranks: len(l.ranks)}
		skew := p.Skew(current[s])
		before += skew / float64(len(current))
		planned[s] = current[s]
		if skew > skewTarget {
			b := placement.Balance(p, current[s], placement.BalanceConfig{TargetSkew: skewTarget, MaxFetches: l.settings.SpareExpertSlots})
			planned[s], skew = b.Layout, b.Skew
			fetchedExperts += b.Fetched
		}
		after += skew / float64(len(current))
	}
	if before-after < minSkewGain {
		return
	}
	l.layouts = make([][][]int, len(planned))
	for s := range planned {
		l.layouts[s] = planned[s]
	}
	l.encodedLayouts = mesh.EncodeLayout(l.layouts)
	l.plannedSkew = after
	l.log.Info().Float64("skew", before).Float64("skew_planned", after).Int("copies", fetchedExperts).Int64("map", int64(version+1)).
		Dur("pass", l.passDurations.mean).
		Dur("took", time.Since(planStart)).Msg("switch of the expert map started")
	l.startSwitch(now, mapswitch.New(l.switchConfig(version+1)))
}

// relativeSpeed returns the share of expert work for a rank, relative to a rank of normal
// speed. slow means that the rank is too slow for requests. Such a rank gets less expert work
// than it could do: an expert that it still holds may become popular, and all ranks would wait
// for the slow rank.
func relativeSpeed(slowdown float64, slow bool) float64 {
	slowdown = max(slowdown, 1)
	if slow {
		slowdown *= slowdown
	}
	return 1 / slowdown
}

// lastSwitchSettled returns whether the last switch has taken effect at every rank. While an engine
// is armed, the switch never counts as settled, because the engine accepts no other map, however
// long its pass takes. Otherwise it counts as settled after activationTimeout, since the ranks of
// a group in a new epoch have no record of it.
func (l *leader) lastSwitchSettled(now time.Time) bool {
	for _, r := range l.ranks {
		if r.rank.View.Armed != 0 {
			return false
		}
	}
	if l.awaitedMap == 0 || now.Sub(l.switchEndedAt) > activationTimeout {
		return true
	}
	for _, r := range l.ranks {
		if r.rank.View.Map < l.awaitedMap {
			return false
		}
	}
	return true
}

// currentLayouts assembles the layouts of the current map, by set, from the ranks' reports. It
// returns false when the ranks report different maps or a rank reports no layout.
func (l *leader) currentLayouts() ([]placement.Layout, bool) {
	layouts := make([]placement.Layout, l.settings.Sets)
	for s := range layouts {
		layouts[s] = make(placement.Layout, len(l.ranks))
	}
	version := l.ranks[0].rank.View.Map
	for i, r := range l.ranks {
		if r.rank.View.Map != version || len(r.rank.Experts) != l.settings.Sets {
			return nil, false
		}
		for s, held := range r.rank.Experts {
			layouts[s][i] = held
		}
	}
	return layouts, true
}

// advanceSwitch sends the orders of the current switch that are due, abandons a switch whose phase
// takes too long, and ends a finished one.
func (l *leader) advanceSwitch(now time.Time) {
	if l.current == nil {
		return
	}
	if l.phaseExpired(now) {
		l.log.Warn().Str("phase", string(l.phase)).Dur("after", now.Sub(l.phaseStart)).Msg("phase of the switch timed out; abandoning the switch")
		s := l.current.TimedOut()
		l.current = &s
	}
	if phase := l.current.Phase(); phase != l.phase {
		l.log.Debug().Str("phase", string(phase)).Dur("last_took", now.Sub(l.phaseStart)).Msg("switch entered its next phase")
		l.phase, l.phaseStart = phase, now
		l.sentOrders = map[int]sentOrder{}
	}
	if l.phase == mapswitch.Finished {
		l.log.Info().Int64("map", int64(l.current.Version())).Bool("undone", l.current.RolledBack()).Float64("skew_planned", l.plannedSkew).Msg("switch ended")
		l.awaitedMap, l.switchEndedAt = 0, now
		if !l.current.RolledBack() {
			l.awaitedMap = l.current.Version()
		}
		l.current = nil
		return
	}
	l.sendOrders(now, l.current.Orders())
}

// sendOrders sends the orders that are due. Prepare orders of a large group are relayed by
// some of its ranks.
func (l *leader) sendOrders(now time.Time, orders map[int]mapswitch.Order) {
	var relayed []mesh.Order
	for _, rank := range sortedRanks(l.ranks) {
		o, ok := orders[rank]
		if !ok {
			continue
		}
		if to, m := l.nextOrder(now, rank, o); to != "" && o.Kind == mapswitch.Prepare && len(l.ranks) > largeGroupSize {
			m.Relay = []mesh.RelayTo{{Host: to}} // keeps the message's own receiver until the loop below
			relayed = append(relayed, m)
		} else if to != "" {
			l.config.Mesh.Send(to, mesh.Message{Order: &m})
		}
	}
	for len(relayed) > 0 {
		n := min(len(relayed), relayFanout)
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

func (l *leader) phaseExpired(now time.Time) bool {
	elapsed := now.Sub(l.phaseStart)
	switch l.phase {
	case mapswitch.Preparing:
		return elapsed > prepareTimeout
	case mapswitch.Holding, mapswitch.Arming:
		return elapsed > holdTimeout
	}
	return false
}

// nextOrder records an order to a rank, if it is due, and returns the message and the host that
// receives it. The host is empty when no message is to be sent. If no other daemon passes on the
// order, or it has been unanswered for more than directOrderAfter, nextOrder also starts to send it to
// the engine directly.
func (l *leader) nextOrder(now time.Time, rank int, o mapswitch.Order) (string, mesh.Order) {
	previous, known := l.sentOrders[rank]
	retryInterval := orderRetryInterval
	if o.Kind == mapswitch.Prepare {
		retryInterval = prepareRetryInterval
	}
	if known && previous.order == o && (previous.accepted || now.Sub(previous.sentAt) < retryInterval) {
		return "", mesh.Order{}
	}
	firstSentAt := now
	if known && previous.order == o {
		firstSentAt = previous.firstSentAt
	}
	report, ok := l.ranks[rank]
	if !ok {
		return "", mesh.Order{}
	}
	l.lastOrderID++
	sent := sentOrder{id: l.lastOrderID, order: o, sentAt: now, firstSentAt: firstSentAt}
	l.sentOrders[rank] = sent
	message := mesh.Order{ID: sent.id, Leader: l.config.Self.Name, Service: l.config.Service, Group: l.group, Engine: report.rank.Engine, Order: o}
	to := l.executorHost(report, o.Kind, sent.id)
	if to == "" || now.Sub(firstSentAt) > directOrderAfter {
		go l.orderDirectly(rank, message, l.layouts)
	}
	if o.Kind == mapswitch.Prepare { // only another daemon needs the encoded layouts
		message.Layout = l.encodedLayouts
	}
	return to, message
}

// executorHost returns the host whose daemon passes an order to the engine. It returns an
// empty name when the leader sends the order itself. A prepare order goes to the daemon beside
// the engine, unless that daemon is silent or the leader's own. All other orders go to an
// entry, if one is alive: if a host froze after it had ordered its own engine, no other daemon
// could see or roll back that order, since the engine beside the frozen daemon is unreachable
// too. Entries have no engine beside them. The entry changes with every rankCount order IDs.
func (l *leader) executorHost(report rankReport, kind mapswitch.Kind, id int64) string {
	if kind == mapswitch.Prepare {
		if report.direct || report.host == l.config.Self.Name {
			return ""
		}
		return report.host
	}
	entries := l.config.Mesh.Alive(mesh.RoleEntry)
	if len(entries) == 0 {
		return ""
	}
	return entries[(int(id)/l.rankCount())%len(entries)].Name
}

// rankCount returns the number of ranks, at least one.
func (l *leader) rankCount() int { return max(len(l.ranks), 1) }

// orderDirectly sends an order to an engine without another daemon in between. If the engine does
// not answer, advanceSwitch sends the order again.
func (l *leader) orderDirectly(rank int, o mesh.Order, layout [][][]int) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	result, err := l.config.Engine.Order(ctx, o.Engine, o.Order, layout)
	if err != nil {
		l.log.Debug().Err(err).Int("rank", rank).Str("order", string(o.Order.Kind)).Msg("engine did not answer the order; retrying")
		return
	}
	l.handleOrderResult(mesh.OrderResult{ID: o.ID, Result: result})
}

// handleOrderResult processes the result of an order. It ignores a result whose ID is not that of
// the last order sent to some rank.
func (l *leader) handleOrderResult(o mesh.OrderResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return
	}
	for rank, sent := range l.sentOrders {
		if sent.id != o.ID {
			continue
		}
		if o.Result != mapswitch.Done {
			l.log.Debug().Int("rank", rank).Str("order", string(sent.order.Kind)).Str("result", string(o.Result)).Msg("engine did not accept the order")
		}
		l.superseded = l.superseded || o.Result == mapswitch.Fenced
		if o.Result == mapswitch.Done {
			sent.accepted = true
			l.sentOrders[rank] = sent
		}
		next := l.current.WithResult(rank, sent.order, o.Result)
		l.current = &next
		l.advanceSwitch(l.config.Now())
		return
	}
}
