package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"camphormill.dev/parts/registry"
)

const (
	// reportedLoadMaxAge is the time for which a target's reported load is used.
	reportedLoadMaxAge = 500 * time.Millisecond
	// baseEjection is the time for which an unreachable target is used only if no other is
	// left. It doubles with each consecutive failure, up to maxEjection, which is short so
	// that a recovered target soon gets requests again.
	baseEjection = 400 * time.Millisecond
	maxEjection  = 3 * time.Second
	// errorRateWeight is the weight of the newest response in a target's moving average of
	// errors.
	errorRateWeight = 0.15
	// errorRateCost is the cost of a target that fails every request, as a number of running
	// requests.
	errorRateCost = 6
	// crossZoneCost is the additional cost of a target in another zone, as a number of
	// running requests.
	crossZoneCost = 0.3
)

// loadTracker holds the load and health of targets as this entry sees them.
type loadTracker struct {
	mu      sync.Mutex
	targets map[string]*targetLoad
}

type targetLoad struct {
	inflight        int // running requests of this entry
	reported        Load
	reportedAt      time.Time
	sentSinceReport int // requests sent since the last report
	connectFailures int // failed connections since the last success
	ejectedUntil    time.Time
	errorRate       float64 // moving average of failed responses, 0 to 1
	// leaving is set if the target said that it leaves, in the incarnation that started at leavingStart.
	leaving      bool
	leavingStart time.Time
	pausedUntil  time.Time // until when the target said that it wants no requests of this entry
}

// unavailable reports whether the target said that it wants no requests now.
func (t *targetLoad) unavailable(now time.Time, target registry.Target) bool {
	return now.Before(t.pausedUntil) || (t.leaving && t.leavingStart.Equal(target.Started))
}

func newLoadTracker() *loadTracker { return &loadTracker{targets: map[string]*targetLoad{}} }

// stateOf returns the state of a target and creates it if there is none. The caller holds
// the lock.
func (l *loadTracker) stateOf(id string) *targetLoad {
	t, ok := l.targets[id]
	if !ok {
		t = &targetLoad{}
		l.targets[id] = t
	}
	return t
}

// update calls change with the state of a target, under the lock.
func (l *loadTracker) update(id string, change func(t *targetLoad)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.stateOf(id))
}

func (l *loadTracker) requestStarted(id string) {
	l.update(id, func(t *targetLoad) { t.inflight++; t.sentSinceReport++ })
}

func (l *loadTracker) requestEnded(id string) { l.update(id, func(t *targetLoad) { t.inflight-- }) }

func (l *loadTracker) recordReport(now time.Time, id string, load Load) {
	l.update(id, func(t *targetLoad) { t.reported, t.reportedAt, t.sentSinceReport = load, now, 0 })
}

// recordLeaving records that a target said that it leaves, and reports whether that is new.
func (l *loadTracker) recordLeaving(target registry.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.stateOf(target.ID)
	known := t.leaving && t.leavingStart.Equal(target.Started)
	t.leaving, t.leavingStart = true, target.Started
	return !known
}

// available reports whether a target may get requests, by what it said itself.
func (l *loadTracker) available(now time.Time, target registry.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.targets[target.ID]
	return !ok || !t.unavailable(now, target)
}

// recordPause records that a target wants no requests of this entry until a time.
func (l *loadTracker) recordPause(id string, until time.Time) {
	l.update(id, func(t *targetLoad) {
		if until.After(t.pausedUntil) {
			t.pausedUntil = until
		}
	})
}

// firstPauseEnd returns when the first of the paused targets wants requests again, or the zero time
// if none is paused.
func (l *loadTracker) firstPauseEnd(now time.Time, targets []registry.Target) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var first time.Time
	for _, target := range targets {
		if t, ok := l.targets[target.ID]; ok && now.Before(t.pausedUntil) && (first.IsZero() || t.pausedUntil.Before(first)) {
			first = t.pausedUntil
		}
	}
	return first
}

// unavailable returns the addresses of a service's targets that may get no requests.
func (l *loadTracker) unavailable(now time.Time, r registry.Registry, service string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var addresses []string
	for id, t := range l.targets {
		if target, ok := r.Target(id); ok && target.Service == service && t.unavailable(now, target) {
			addresses = append(addresses, target.Address)
		}
	}
	return addresses
}

func (l *loadTracker) recordSuccess(id string) {
	l.update(id, func(t *targetLoad) { t.connectFailures = 0; t.errorRate *= 1 - errorRateWeight })
}

func (l *loadTracker) recordServerError(_ time.Time, id string) {
	l.update(id, func(t *targetLoad) { t.errorRate += errorRateWeight * (1 - t.errorRate) })
}

// recordFailure counts a failed attempt in the target's error rate, and ejects the target
// if the request was not sent because the target could not be reached.
func (l *loadTracker) recordFailure(now time.Time, id string, sent bool) {
	l.update(id, func(t *targetLoad) {
		t.errorRate += errorRateWeight * (1 - t.errorRate)
		if !sent {
			t.eject(now)
		}
	})
}

// recordRefusal records that a target did not run a request. If another target has its
// address (gone), the target is ejected for maxEjection. Otherwise it counts as having a
// waiting request until its next report, but for at most reportedLoadMaxAge.
func (l *loadTracker) recordRefusal(now time.Time, id string, gone bool) {
	l.update(id, func(t *targetLoad) {
		if gone {
			t.ejectedUntil = now.Add(maxEjection)
			return
		}
		t.reported.Waiting = max(t.reported.Waiting, 1)
		t.reportedAt = now
	})
}

// eject counts a failed connection and ejects the target. The caller holds the lock.
func (t *targetLoad) eject(now time.Time) {
	t.connectFailures++
	t.ejectedUntil = now.Add(min(baseEjection<<min(t.connectFailures-1, 8), maxEjection))
}

// prune drops targets that are no longer registered and run no request of this entry.
func (l *loadTracker) prune(r registry.Registry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.targets {
		if _, ok := r.Target(id); !ok && t.inflight == 0 {
			delete(l.targets, id)
		}
	}
}

// pick returns the target with the lowest cost, to which it adds a random part of up to
// half of crossZoneCost. It skips the targets whose IDs are in failed and those that want no
// requests, and returns an ejected target or one at an address in avoid only if there is no other.
func (l *loadTracker) pick(now time.Time, targets []registry.Target, failed, avoid []string, zone string) (registry.Target, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best registry.Target
	leastCost, found, bestEjected := 0.0, false, true
	for _, t := range targets {
		if slices.Contains(failed, t.ID) {
			continue
		}
		state := l.stateOf(t.ID)
		if state.unavailable(now, t) {
			continue
		}
		ejected := now.Before(state.ejectedUntil) || slices.Contains(avoid, t.Address)
		cost := state.cost(now) + rand.Float64()*crossZoneCost/2
		if t.Zone != zone {
			cost += crossZoneCost
		}
		if !found || (bestEjected && !ejected) || (ejected == bestEjected && cost < leastCost) {
			best, leastCost, found, bestEjected = t, cost, true, ejected
		}
	}
	return best, found
}

// cost returns the load and error rate of a target in running requests. The load is the
// number of this entry's running requests or, if larger, the load of a recent report plus
// the requests sent since. The caller holds the lock.
func (t *targetLoad) cost(now time.Time) float64 {
	work := float64(t.inflight)
	if now.Sub(t.reportedAt) < reportedLoadMaxAge {
		work = max(work, float64(t.reported.Running+t.reported.Waiting+t.sentSinceReport))
	}
	return work + errorRateCost*t.errorRate
}
