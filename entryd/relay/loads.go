package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"camphormill.dev/parts/registry"
)

const (
	// toldAge is how long what a target told of its load counts.
	toldAge = 500 * time.Millisecond
	// shunTime is how long a target that failed is left out while others are
	// there; it doubles with each failure in a row.
	shunTime = 400 * time.Millisecond
	// maxShun bounds it, so that a target that is well again is soon used.
	maxShun = 3 * time.Second
	// errorFade is the weight of the newest answer in a target's share of errors.
	errorFade = 0.15
	// errorCost is what a target that fails every request costs, in requests.
	errorCost = 6
	// zoneCost is the cost of another zone, as a share of one request.
	zoneCost = 0.3
)

// loads is what this entry knows of the load and health of targets.
type loads struct {
	mu      sync.Mutex
	targets map[string]*targetLoad
}

type targetLoad struct {
	inflight int
	told     Load
	toldAt   time.Time
	since    int // sent since it told
	failures int // in a row
	shunned  time.Time
	errors   float64 // share of answers that were failures
}

func newLoads() *loads { return &loads{targets: map[string]*targetLoad{}} }

func (l *loads) of(id string) *targetLoad {
	t, ok := l.targets[id]
	if !ok {
		t = &targetLoad{}
		l.targets[id] = t
	}
	return t
}

func (l *loads) update(id string, change func(t *targetLoad)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.of(id))
}

func (l *loads) begin(id string) {
	l.update(id, func(t *targetLoad) { t.inflight++; t.since++ })
}

func (l *loads) end(id string) { l.update(id, func(t *targetLoad) { t.inflight-- }) }

func (l *loads) told(now time.Time, id string, load Load) {
	l.update(id, func(t *targetLoad) { t.told, t.toldAt, t.since = load, now, 0 })
}

func (l *loads) served(id string) {
	l.update(id, func(t *targetLoad) { t.failures = 0; t.errors *= 1 - errorFade })
}

func (l *loads) erred(_ time.Time, id string) {
	l.update(id, func(t *targetLoad) { t.errors += errorFade * (1 - t.errors) })
}

// failed notes a target that could not be reached or lost an answer.
func (l *loads) failed(now time.Time, id string, sent bool) {
	l.update(id, func(t *targetLoad) {
		t.errors += errorFade * (1 - t.errors)
		if !sent {
			t.shun(now)
		}
	})
}

// refused notes a target that did not run a request. One that is not there any
// more is left out for long.
func (l *loads) refused(now time.Time, id string, gone bool) {
	l.update(id, func(t *targetLoad) {
		if gone {
			t.shunned = now.Add(maxShun)
			return
		}
		t.told.Waiting = max(t.told.Waiting, 1)
		t.toldAt = now
	})
}

func (t *targetLoad) shun(now time.Time) {
	t.failures++
	t.shunned = now.Add(min(shunTime<<min(t.failures-1, 8), maxShun))
}

// keep forgets targets that are not registered and have no request here.
func (l *loads) keep(r registry.Registry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.targets {
		if _, ok := r.Target(id); !ok && t.inflight == 0 {
			delete(l.targets, id)
		}
	}
}

// pick returns the target with the least work. A target that failed, or at an
// address to be avoided, is taken only when there is no other.
func (l *loads) pick(now time.Time, targets []registry.Target, failed, avoid []string, zone string) (registry.Target, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best registry.Target
	least, found, bestShunned := 0.0, false, true
	for _, t := range targets {
		if slices.Contains(failed, t.ID) {
			continue
		}
		state := l.of(t.ID)
		shunned := now.Before(state.shunned) || slices.Contains(avoid, t.Address)
		cost := state.cost(now) + rand.Float64()*zoneCost/2
		if t.Zone != zone {
			cost += zoneCost
		}
		if !found || (bestShunned && !shunned) || (shunned == bestShunned && cost < least) {
			best, least, found, bestShunned = t, cost, true, shunned
		}
	}
	return best, found
}

func (t *targetLoad) cost(now time.Time) float64 {
	work := float64(t.inflight)
	if now.Sub(t.toldAt) < toldAge {
		work = max(work, float64(t.told.Running+t.told.Waiting+t.since))
	}
	return work + errorCost*t.errors
}
