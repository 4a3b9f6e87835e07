package rankagent

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/parts/expertlayout"
	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
)

// layoutStore holds the expert layouts that a daemon knows. It is safe for concurrent use.
type layoutStore struct {
	mu    sync.Mutex
	known expertlayout.Known
}

func (s *layoutStore) add(l expertlayout.Layout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.Add(l)
}

func (s *layoutStore) apply(c expertlayout.Changes) (expertlayout.Layout, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.Apply(c)
}

// startOrder executes an order in a new goroutine, unless there are maxOrders already.
func (a *Agent) startOrder(from mesh.Host, o mesh.Order) {
	select {
	case a.orders <- struct{}{}:
	default:
		a.config.Log.Debug().Str("leader", from.Name).Msg("too many orders at a time; dropping one, which the leader repeats")
		return
	}
	go func() {
		defer func() { <-a.orders }()
		a.executeOrder(from, o)
	}()
}

// executeOrder passes an order of the leader to an engine and sends the result to o.Leader. An
// order with a fence below the highest known one is answered with Fenced, and one with changes against
// an unknown layout with UnknownBase. If the engine does not answer, nothing is sent.
func (a *Agent) executeOrder(from mesh.Host, o mesh.Order) {
	if a.isOutdated(o) {
		a.config.Mesh.Send(o.Leader, mesh.Message{OrderResult: &mesh.OrderResult{ID: o.ID, Result: mapswitch.Fenced}})
		return
	}
	go a.relay(o)
	layout, err := a.decodeLayout(o)
	var unknown *expertlayout.UnknownBaseError
	switch {
	case errors.As(err, &unknown):
		a.config.Log.Info().Err(err).Str("leader", from.Name).Int64("map", int64(o.Order.Version)).Msg("order refused; it changes an unknown layout")
		a.config.Mesh.Send(o.Leader, mesh.Message{OrderResult: &mesh.OrderResult{ID: o.ID, UnknownBase: true}})
		return
	case err != nil:
		a.config.Log.Warn().Err(err).Str("leader", from.Name).Msg("order could not be decoded and is dropped")
		return
	}
	result, err := a.orderEngine(o, layout)
	if err != nil {
		a.config.Log.Debug().Err(err).Str("order", string(o.Order.Kind)).Msg("engine did not answer the order; the leader repeats it")
		return
	}
	a.config.Log.Debug().Str("order", string(o.Order.Kind)).Int64("map", int64(o.Order.Version)).
		Int64("pass", int64(o.Order.Pass)).Int64("fence", int64(o.Order.Fence)).Str("result", string(result)).Msg("order sent to the engine")
	complete := result == mapswitch.Done && o.Order.Kind == mapswitch.Prepare && a.awaitCopy(o)
	a.config.Mesh.Send(o.Leader, mesh.Message{OrderResult: &mesh.OrderResult{ID: o.ID, Result: result, Complete: complete}})
}

// awaitCopy waits a short time for the copy that a prepare order began, and returns whether it is complete. Most
// copies take some milliseconds, and the next report of this rank some tenths of a second.
func (a *Agent) awaitCopy(o mesh.Order) bool {
	if o.Engine != a.config.Self.Engine {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxCopyWait)
	defer cancel()
	for ctx.Err() == nil {
		time.Sleep(copyCheckInterval)
		if r, err := a.config.Engine.Read(ctx, o.Engine); err == nil && r.View.Prepared == o.Order.Version && r.View.Epoch == o.Order.Epoch {
			return true
		}
	}
	return false
}

// orderEngine passes an order to an engine. It repeats a prepare order that the engine beside this daemon does
// not answer, since another message of the leader takes far more time. A repeated order of another kind could
// arrive after the leader has given a newer one.
func (a *Agent) orderEngine(o mesh.Order, layout expertlayout.Layout) (mapswitch.Result, error) {
	tries := 1
	if o.Order.Kind == mapswitch.Prepare {
		tries = maxPrepareTries
	}
	for {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		result, err := a.config.Engine.Order(ctx, o.Engine, o.Order, layout)
		cancel()
		if tries--; err == nil || tries == 0 || a.isOutdated(o) {
			return result, err
		}
	}
}

// isOutdated reports whether a newer leader is known than that of an order.
func (a *Agent) isOutdated(o mesh.Order) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return o.Order.Fence < a.announced.Fence
}

// relay forwards a prepare order to the ranks on its relay list, spread over a share of this host's link. A
// link drops what exceeds its queue, which is less than a list of orders.
func (a *Agent) relay(o mesh.Order) {
	for _, to := range o.Relay {
		relayed := o
		relayed.ID, relayed.Engine, relayed.Relay = to.ID, to.Engine, nil
		a.awaitRelayLink(prepareBytes(o))
		a.config.Mesh.Send(to.Host, mesh.Message{Order: &relayed})
	}
}

// awaitRelayLink waits until the share of this host's link allows another relayed order, and uses it.
func (a *Agent) awaitRelayLink(bytes int) {
	for {
		a.mu.Lock()
		now := a.config.Now()
		if a.relayLink.allows(now) {
			a.relayLink = a.relayLink.withSent(now, bytes)
			a.mu.Unlock()
			return
		}
		wait := a.relayLink.freeAt.Sub(now) - linkShareBurst
		a.mu.Unlock()
		time.Sleep(wait)
	}
}

// decodeLayout returns the layout of a prepare order. For an order of another kind it returns nil.
func (a *Agent) decodeLayout(o mesh.Order) (expertlayout.Layout, error) {
	switch {
	case o.Changes != nil:
		return a.layouts.apply(*o.Changes)
	case o.Order.Kind != mapswitch.Prepare:
		return nil, nil
	}
	layout, err := expertlayout.Decode(o.Layout)
	if err == nil {
		a.layouts.add(layout)
	}
	return layout, err
}
