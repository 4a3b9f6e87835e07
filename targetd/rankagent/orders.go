package rankagent

import (
	"context"
	"slices"
	"time"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
)

const (
	// orderRetryInterval is the time after which an unanswered order is sent again, and lateOrderRetryInterval that
	// from try promptOrderTries on: what delays the answers may be the leader's own host.
	orderRetryInterval     = 60 * time.Millisecond
	lateOrderRetryInterval = 120 * time.Millisecond
	promptOrderTries       = 3
	// prepareRetryInterval is the time after which an unanswered prepare order is sent again.
	// Its relays need some tenths of a second.
	prepareRetryInterval = 300 * time.Millisecond
	// directOrderAfter is the time after which the leader sends an unanswered prepare order directly
	// to the engine, because the daemon beside it may be down. The whole layout takes much of the leader's link in
	// a large group, where directPrepareAfter applies. Other orders go through another entry each time.
	directOrderAfter   = 200 * time.Millisecond
	directPrepareAfter = time.Second
	// minRelayFanout is the least number of ranks that one message of a large group's leader serves, and
	// maxRelays the most messages: a prepare order goes to one rank, which relays it to others, and
	// any other order to an entry, which passes it to several engines. A message to every rank would
	// take the leader's link too long, and all orders one entry.
	minRelayFanout = 8
	maxRelays      = 12
	// orderLinkShare is the share of the leader's link that prepare orders may take. The changes in their
	// messages should be through within switchOrderTime, which bounds the changes of one switch. The first
	// changes gain most, and another switch follows.
	orderLinkShare  = 0.35
	switchOrderTime = 150 * time.Millisecond
	// relayLinkShare is the share of a host's link that the prepare orders which it relays may take.
	relayLinkShare = 0.5
	// copyCheckInterval is the interval at which a daemon looks whether its engine has copied what a prepare order
	// asked for, and maxCopyWait how long.
	copyCheckInterval = 25 * time.Millisecond
	maxCopyWait       = 150 * time.Millisecond
	// maxPrepareTries is how often a daemon gives its engine a prepare order that is not answered.
	maxPrepareTries = 5
	// orderBytes is the size of a message with an order, without layout and receivers, and
	// relayBytes that of one rank to which it is relayed.
	orderBytes = 420
	relayBytes = 90
	// changeBytes is the size of the change of one rank's experts in a set, encoded.
	changeBytes = 8
	// directLayoutGrowth is by how much an order to an engine is larger than the encoded layout.
	directLayoutGrowth = 3
)

// sentOrder is an order that was sent to a rank in the current phase of the switch.
type sentOrder struct {
	id          int64 // ID of the last message with the order
	order       mapswitch.Order
	sentAt      time.Time
	firstSentAt time.Time
	tries       int
	// accepted means that the engine has accepted the order and works on it.
	accepted bool
	// whole means that the rank's daemon needs the whole layout, because it does not have the map in
	// force.
	whole bool
}

// relayFanout returns the number of ranks that one message serves.
func (l *leader) relayFanout() int { return max(minRelayFanout, (len(l.ranks)+maxRelays-1)/maxRelays) }

// maxChanges returns how many experts a switch may copy so that its orders are through in time, or 0 for
// any number.
func (l *leader) maxChanges() int {
	if l.orderLink.bytesPerSecond <= 0 || len(l.ranks) <= largeGroupSize {
		return 0
	}
	fanout := l.relayFanout()
	messages := (len(l.ranks) + fanout - 1) / fanout
	perMessage := l.orderLink.bytesPerSecond * switchOrderTime.Seconds() / float64(messages)
	return max(int(perMessage/base64Growth/changeBytes), 1)
}

// sendOrders sends the orders that are due.
func (l *leader) sendOrders(now time.Time, orders map[int]mapswitch.Order) {
	var due []int
	for _, rank := range sortedRanks(l.ranks) {
		if o, ok := orders[rank]; ok && l.orderDue(now, rank, o) {
			due = append(due, rank)
		}
	}
	if len(due) == 0 {
		return
	}
	prepare := orders[due[0]].Kind == mapswitch.Prepare
	switch {
	case len(l.ranks) <= largeGroupSize:
		for _, rank := range due {
			l.sendOrder(now, rank, orders[rank])
		}
	case prepare:
		l.sendPrepares(now, due, orders)
	default:
		l.sendThroughEntries(now, due, orders)
	}
}

// orderDue reports whether an order to a rank has to be sent, for the first time or again.
func (l *leader) orderDue(now time.Time, rank int, o mapswitch.Order) bool {
	sent, known := l.sentOrders[rank]
	retryInterval := orderRetryInterval
	switch {
	case o.Kind == mapswitch.Prepare:
		retryInterval = prepareRetryInterval
	case sent.tries >= promptOrderTries:
		retryInterval = lateOrderRetryInterval
	}
	return !known || sent.order != o || (!sent.accepted && now.Sub(sent.sentAt) >= retryInterval)
}

// recordOrder records that an order is sent to a rank and returns the record and the message.
func (l *leader) recordOrder(now time.Time, rank int, o mapswitch.Order) (sentOrder, mesh.Order) {
	sent, known := l.sentOrders[rank]
	if !known || sent.order != o {
		sent = sentOrder{order: o, firstSentAt: now}
	}
	l.lastOrderID++
	sent.id, sent.sentAt = l.lastOrderID, now
	sent.tries++
	l.sentOrders[rank] = sent
	l.orderedRanks[sent.id] = rank
	return sent, mesh.Order{ID: sent.id, Leader: l.config.Self.Name, Service: l.config.Service, Group: l.group, Engine: l.ranks[rank].rank.Engine, Order: o}
}

// sendOrder sends an order to one rank through the daemon that executes it. If there is none, or a prepare
// order is unanswered for long, sendOrder also starts to send it to the engine directly.
func (l *leader) sendOrder(now time.Time, rank int, o mapswitch.Order) {
	sent, message := l.recordOrder(now, rank, o)
	to := l.executorHost(l.ranks[rank], o.Kind, sent.id)
	if to == "" || (o.Kind == mapswitch.Prepare && now.Sub(sent.firstSentAt) > directOrderAfter) {
		go l.orderDirectly(rank, message)
	}
	if to == "" {
		return
	}
	if o.Kind == mapswitch.Prepare {
		message = l.withLayout(message, sent.whole)
	}
	l.config.Mesh.Send(to, mesh.Message{Order: &message})
}

// withLayout returns a prepare order with the changes that lead to its map, or with the whole layout.
func (l *leader) withLayout(o mesh.Order, whole bool) mesh.Order {
	if whole {
		o.Layout = l.layout.Encode()
		return o
	}
	o.Changes = &l.changes
	return o
}

// sendPrepares sends prepare orders of a large group, as far as the orders' share of the link allows. The
// others are due at the next tick. An order goes to several ranks in one message, which one of them relays to the
// others; if it has to be sent again, another one does.
func (l *leader) sendPrepares(now time.Time, due []int, orders map[int]mapswitch.Order) {
	var relayed []int
	for _, rank := range due {
		sent := l.sentOrders[rank]
		isRepeat := sent.order == orders[rank]
		switch {
		case l.ranks[rank].host == l.config.Self.Name:
			l.sendOrder(now, rank, orders[rank]) // over no link
		case l.ranks[rank].direct || (isRepeat && (sent.whole || now.Sub(sent.firstSentAt) > directPrepareAfter)):
			if l.orderLink.allows(now) {
				l.sendPrepare(now, rank, orders[rank])
			}
		default:
			relayed = append(relayed, rank)
		}
	}
	for chunk := range slices.Chunk(relayed, l.relayFanout()) {
		if !l.orderLink.allows(now) {
			return
		}
		relay := l.sentOrders[chunk[0]].tries % len(chunk)
		chunk[0], chunk[relay] = chunk[relay], chunk[0]
		var first mesh.Order
		for i, rank := range chunk {
			_, message := l.recordOrder(now, rank, orders[rank])
			if i == 0 {
				first = l.withLayout(message, false)
				continue
			}
			first.Relay = append(first.Relay, mesh.RelayTo{Host: l.ranks[rank].host, Engine: message.Engine, ID: message.ID})
		}
		l.useOrderLink(now, prepareBytes(first)+relayBytes*len(chunk))
		l.config.Mesh.Send(l.ranks[chunk[0]].host, mesh.Message{Order: &first})
	}
}

// sendPrepare sends a prepare order to one rank of a large group: to its daemon, or directly to its engine
// if the daemon is silent or has not answered for long.
func (l *leader) sendPrepare(now time.Time, rank int, o mapswitch.Order) {
	sent, message := l.recordOrder(now, rank, o)
	if l.ranks[rank].direct || now.Sub(sent.firstSentAt) > directPrepareAfter {
		l.useOrderLink(now, orderBytes+directLayoutGrowth*len(l.layout.Encode()))
		go l.orderDirectly(rank, message)
		return
	}
	message = l.withLayout(message, sent.whole)
	l.useOrderLink(now, prepareBytes(message))
	l.config.Mesh.Send(l.ranks[rank].host, mesh.Message{Order: &message})
}

func (l *leader) useOrderLink(now time.Time, bytes int) {
	l.orderLink = l.orderLink.withSent(now, bytes)
}

// prepareBytes returns the size of the message with a prepare order, without its receivers.
func prepareBytes(o mesh.Order) int {
	bytes := len(o.Layout)
	if o.Changes != nil {
		bytes = len(o.Changes.Encoded)
	}
	return orderBytes + int(base64Growth*float64(bytes))
}

// sendThroughEntries sends orders of a large group through its entries, several in one message. An order
// that is sent again goes through another entry.
func (l *leader) sendThroughEntries(now time.Time, due []int, orders map[int]mapswitch.Order) {
	var batch []int
	for _, rank := range due {
		if len(batch) > 0 && (len(batch) == l.relayFanout() || orders[batch[0]] != orders[rank]) {
			l.sendBatch(now, batch, orders[batch[0]])
			batch = nil
		}
		batch = append(batch, rank)
	}
	if len(batch) > 0 {
		l.sendBatch(now, batch, orders[batch[0]])
	}
}

// sendBatch sends the same order to several ranks through one entry.
func (l *leader) sendBatch(now time.Time, batch []int, o mapswitch.Order) {
	var first mesh.Order
	for i, rank := range batch {
		_, message := l.recordOrder(now, rank, o)
		if i == 0 {
			first = message
			continue
		}
		first.Also = append(first.Also, mesh.EngineOrder{Engine: message.Engine, ID: message.ID})
	}
	if to := l.executorHost(l.ranks[batch[0]], o.Kind, first.ID); to != "" {
		l.config.Mesh.Send(to, mesh.Message{Order: &first})
		if second := l.executorHost(l.ranks[batch[0]], o.Kind, first.ID+1); second != to && (o.Kind == mapswitch.Hold || o.Kind == mapswitch.Release) {
			l.config.Mesh.Send(second, mesh.Message{Order: &first}) // the whole group waits for these
		}
		return
	}
	for i, message := range first.ForEachEngine() {
		go l.orderDirectly(batch[i], message)
	}
}

// executorHost returns the host whose daemon passes an order to the engine. It returns an
// empty name when the leader sends the order itself. A prepare order goes to the daemon beside
// the engine, unless that daemon is silent or the leader's own. All other orders go to an
// entry, if one is alive: if a host froze after it had ordered its own engine, no other daemon
// could see or roll back that order, since the engine beside the frozen daemon is unreachable
// too. Entries have no engine beside them. The entry of a small group changes with every rankCount
// order IDs, and that of a large one with each message.
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
	if len(l.ranks) > largeGroupSize {
		return entries[int(id)%len(entries)].Name
	}
	return entries[(int(id)/l.rankCount())%len(entries)].Name
}

// rankCount returns the number of ranks, at least one.
func (l *leader) rankCount() int { return max(len(l.ranks), 1) }

// orderDirectly sends an order to an engine without another daemon in between. If the engine does
// not answer, advanceSwitch sends the order again.
func (l *leader) orderDirectly(rank int, o mesh.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	l.mu.Lock()
	layout := l.layout
	l.mu.Unlock()
	result, err := l.config.Engine.Order(ctx, o.Engine, o.Order, layout)
	if err != nil {
		l.log.Debug().Err(err).Int("rank", rank).Str("order", string(o.Order.Kind)).Msg("engine did not answer the order; retrying")
		return
	}
	l.handleOrderResult(mesh.OrderResult{ID: o.ID, Result: result})
}

// handleOrderResult processes the result of an order, and those that came with it. It ignores a result whose ID is not
// that of the last order sent to some rank.
func (l *leader) handleOrderResult(o mesh.OrderResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyResult(o)
	for _, also := range o.Also {
		l.applyResult(also)
	}
}

func (l *leader) applyResult(o mesh.OrderResult) {
	rank, known := l.orderedRanks[o.ID]
	sent := l.sentOrders[rank]
	if l.current == nil || !known || sent.id != o.ID {
		return
	}
	if o.UnknownBase {
		l.log.Info().Int("rank", rank).Str("host", l.ranks[rank].host).Msg("daemon does not have the map in force; sending the whole layout")
		sent.whole, sent.sentAt = true, time.Time{}
		l.sentOrders[rank] = sent
		return
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
	if view := l.ranks[rank].rank.View; o.Complete && next.Phase() == mapswitch.Preparing && view.Epoch == next.Epoch() {
		view.Prepared = sent.order.Version
		next = next.WithView(rank, view)
	}
	l.current = &next
	l.enterPhase()
}
