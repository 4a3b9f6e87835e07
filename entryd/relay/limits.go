package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/limit"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/registry"
)

const (
	// grantTimeout is the wait for an answer of the entry that counts a target's requests. It
	// covers a round trip to a busy entry.
	grantTimeout = 30 * time.Millisecond
	// maxNamedLimits bounds the limits in one message. A random choice goes into each, so that the
	// receiver soon has all of them.
	maxNamedLimits = 16
	// askSpacing is the mean time between two requests for a grant that the counting entry gets
	// from all others while a target is at its limit.
	askSpacing = 20 * time.Millisecond
	// minLimitRetryAfter is the shortest retry-after of a request for which all targets are at
	// their limits.
	minLimitRetryAfter = 50 * time.Millisecond
)

// LimitsConfig holds the dependencies of a Limits.
type LimitsConfig struct {
	Mesh *mesh.Mesh
	Now  func() time.Time
	Log  zerolog.Logger
}

// Limits keeps the requests of all entries together within the rates that targets name. Entries tell
// each other about a limit as soon as one learns of it. For each limited target, one entry counts:
// the one with the highest hash of its name and the target's ID among the ready entries, on which
// all of them agree without a message. An entry that gets no answer from it keeps to an equal share
// of the limit by itself. It is safe for concurrent use.
type Limits struct {
	config   LimitsConfig
	sequence atomic.Int64

	mu       sync.Mutex
	draining bool
	named    map[string]namedLimit              // by target ID
	counted  map[string]limit.Bucket            // of the targets for which this entry counts, by ID
	alone    map[string]limit.Bucket            // of the targets whose counting entry does not answer
	askAfter map[string]time.Time               // when to ask again for a target that is at its limit
	pending  map[string]chan mesh.LimitResponse // by request ID
}

// namedLimit is the limit that a target names.
type namedLimit struct {
	perSecond float64
	learnedAt time.Time
}

// NewLimits returns a Limits that knows no limit.
func NewLimits(c LimitsConfig) *Limits {
	return &Limits{
		config: c, named: map[string]namedLimit{}, counted: map[string]limit.Bucket{}, alone: map[string]limit.Bucket{},
		askAfter: map[string]time.Time{}, pending: map[string]chan mesh.LimitResponse{},
	}
}

// StartDrain stops this entry from counting for itself. The others see in its heartbeats that it
// leaves.
func (l *Limits) StartDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

// record records what a target named in its response to a request that was sent at sentAt; 0 is no
// limit. It returns the previous limit, and false if nothing has changed. A response to a request
// sent before the limit was learned may be older than it.
func (l *Limits) record(target string, perSecond float64, sentAt time.Time) (previous float64, changed bool) {
	l.mu.Lock()
	known, ok := l.named[target]
	if known.perSecond == perSecond || (ok && !sentAt.After(known.learnedAt)) {
		l.mu.Unlock()
		return known.perSecond, false
	}
	l.set(target, perSecond)
	l.mu.Unlock()
	m := mesh.Message{TargetLimits: []mesh.TargetLimit{{Target: target, PerSecond: perSecond}}}
	for _, h := range l.config.Mesh.Known(mesh.RoleEntry) {
		l.config.Mesh.Send(h.Name, m)
	}
	return known.perSecond, true
}

// set sets the limit of a target. The caller holds the lock.
func (l *Limits) set(target string, perSecond float64) {
	if perSecond <= 0 {
		l.forget(target)
		return
	}
	l.named[target] = namedLimit{perSecond: perSecond, learnedAt: l.config.Now()}
}

func (l *Limits) forget(target string) {
	delete(l.named, target)
	delete(l.counted, target)
	delete(l.alone, target)
	delete(l.askAfter, target)
}

// prune forgets the targets that are no longer registered.
func (l *Limits) prune(r registry.Registry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range []map[string]limit.Bucket{l.counted, l.alone} {
		for target := range known {
			if _, ok := r.Target(target); !ok {
				l.forget(target)
			}
		}
	}
	for target := range l.named {
		if _, ok := r.Target(target); !ok {
			l.forget(target)
		}
	}
}

// Count returns the number of targets that name a limit.
func (l *Limits) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.named)
}

// Named returns limits that targets name, a random choice of maxNamedLimits at most.
func (l *Limits) Named() []mesh.TargetLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var limits []mesh.TargetLimit
	for target, known := range l.named {
		limits = append(limits, mesh.TargetLimit{Target: target, PerSecond: known.perSecond})
	}
	rand.Shuffle(len(limits), func(i, j int) { limits[i], limits[j] = limits[j], limits[i] })
	return limits[:min(len(limits), maxNamedLimits)]
}

// ofEngines returns the limits of a service's engines by their addresses, for the leader of a group.
func (l *Limits) ofEngines(targets registry.Registry, service string) []mesh.EngineLimit {
	var limits []mesh.EngineLimit
	for _, named := range l.Named() {
		if t, ok := targets.Target(named.Target); ok && t.Service == service {
			limits = append(limits, mesh.EngineLimit{Engine: t.Address, PerSecond: named.PerSecond})
		}
	}
	return limits
}

// acquire asks for a request at a target. If the target is at its limit, it returns false and the
// time after which to ask again.
func (l *Limits) acquire(ctx context.Context, target string) (bool, time.Time) {
	now := l.config.Now()
	l.mu.Lock()
	known, limited := l.named[target]
	if again := l.askAfter[target]; limited && again.After(now) {
		l.mu.Unlock()
		return false, again
	}
	counter := l.counterOf(target)
	l.mu.Unlock()
	if !limited {
		return true, time.Time{}
	}
	response, answered := mesh.LimitResponse{}, true
	if counter == l.config.Mesh.Self().Name {
		response = l.count(mesh.LimitRequest{Target: target, PerSecond: known.perSecond})
	} else {
		response, answered = l.ask(ctx, counter, mesh.LimitRequest{Target: target, PerSecond: known.perSecond})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.config.Now()
	if !answered {
		response = l.countAlone(now, target, known.perSecond)
	} else {
		delete(l.alone, target)
	}
	if response.Granted {
		return true, time.Time{}
	}
	l.askAfter[target] = now.Add(time.Duration(response.RetryAfterMS) * time.Millisecond)
	return false, l.askAfter[target]
}

// counterOf returns the name of the entry that counts the requests for a target. The caller holds
// the lock.
func (l *Limits) counterOf(target string) string {
	counter, highest := "", uint64(0)
	consider := func(entry string) {
		if h := xxhash.Sum64String(entry + "\x00" + target); counter == "" || h > highest {
			counter, highest = entry, h
		}
	}
	for _, h := range l.config.Mesh.ReadyEntries() {
		consider(h.Name)
	}
	if !l.draining || counter == "" {
		consider(l.config.Mesh.Self().Name)
	}
	return counter
}

// ask sends a request for a grant to the entry that counts. The result is false if it doesn't answer.
func (l *Limits) ask(ctx context.Context, counter string, request mesh.LimitRequest) (mesh.LimitResponse, bool) {
	request.ID = strconv.FormatInt(l.sequence.Add(1), 36)
	responses := make(chan mesh.LimitResponse, 1)
	l.mu.Lock()
	l.pending[request.ID] = responses
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pending, request.ID)
		l.mu.Unlock()
	}()
	l.config.Mesh.Send(counter, mesh.Message{LimitRequest: &request})
	timer := time.NewTimer(grantTimeout)
	defer timer.Stop()
	select {
	case response := <-responses:
		return response, true
	case <-timer.C:
		l.config.Log.Info().Str("target", request.Target).Str("counter", counter).Msg("entry that counts a target's requests did not answer; keeping to a share of the limit")
	case <-ctx.Done():
	}
	return mesh.LimitResponse{}, false
}

// count grants or refuses a request for which this entry counts.
func (l *Limits) count(request mesh.LimitRequest) mesh.LimitResponse {
	entries := len(l.config.Mesh.Known(mesh.RoleEntry)) + 1
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	if _, ok := l.named[request.Target]; !ok {
		l.set(request.Target, request.PerSecond) // the message that told the others was lost
	}
	b, ok := l.counted[request.Target]
	if !ok {
		b = limit.NewBucket(now, request.PerSecond)
	}
	b, granted := b.WithRate(now, request.PerSecond).Take(now)
	l.counted[request.Target] = b
	if granted {
		return mesh.LimitResponse{ID: request.ID, Granted: true}
	}
	wait := b.NextIn(now) + rand.N(time.Duration(entries)*2*askSpacing)
	return mesh.LimitResponse{ID: request.ID, RetryAfterMS: int(wait.Milliseconds()) + 1}
}

// countAlone grants or refuses a request by an equal share of the limit. The caller holds the lock.
func (l *Limits) countAlone(now time.Time, target string, perSecond float64) mesh.LimitResponse {
	share := perSecond / float64(len(l.config.Mesh.Known(mesh.RoleEntry))+1)
	b, ok := l.alone[target]
	if !ok {
		b = limit.NewEmptyBucket(now, share)
	}
	b, granted := b.WithRate(now, share).Take(now)
	l.alone[target] = b
	return mesh.LimitResponse{Granted: granted, RetryAfterMS: int(b.NextIn(now).Milliseconds())}
}

// Handle processes a message of another entry about limits.
func (l *Limits) Handle(from mesh.Host, m mesh.Message) {
	switch {
	case m.LimitRequest != nil:
		response := l.count(*m.LimitRequest)
		l.config.Mesh.Send(from.Name, mesh.Message{LimitResponse: &response})
	case m.LimitResponse != nil:
		l.mu.Lock()
		responses, ok := l.pending[m.LimitResponse.ID]
		l.mu.Unlock()
		if ok {
			select {
			case responses <- *m.LimitResponse:
			default: // a repeated datagram
			}
		}
	default:
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, named := range m.TargetLimits {
			l.set(named.Target, named.PerSecond)
		}
	}
}

// recordLimit records the rate limit that a target names in a response, or that it names none.
func (rl *Relay) recordLimit(c *call, t registry.Target, response *http.Response) {
	perSecond, _ := rl.config.Protocol.ReportedLimit(response)
	previous, changed := rl.config.Limits.record(t.ID, perSecond, c.sentAt)
	if !changed {
		return
	}
	rl.config.Log.Warn().Str("request", c.info.AttemptID).Str("service", t.Service).Str("target", t.ID).Str("address", t.Address).
		Float64("per_second", perSecond).Float64("before", previous).Msg("rate limit of a target changed")
}

// pickWithinLimits picks a target by the entry's own load data, and passes over targets that are at
// their rate limits. If only such are left, it returns a refusal that says when one may be free.
func (rl *Relay) pickWithinLimits(ctx context.Context, c *call, targets []registry.Target) (registry.Target, *refusal) {
	passedOver := c.failedTargets
	var freeAt time.Time
	for {
		t, ok := rl.loads.pick(rl.config.Now(), targets, passedOver, rl.config.Slots.slowEngines(c.service.Name), rl.config.Zone)
		if !ok {
			break
		}
		granted, again := rl.config.Limits.acquire(ctx, t.ID)
		if granted {
			return t, nil
		}
		if freeAt.IsZero() || again.Before(freeAt) {
			freeAt = again
		}
		passedOver = append(passedOver[:len(passedOver):len(passedOver)], t.ID)
	}
	now, reason := rl.config.Now(), "targets_limited"
	if freeAt.IsZero() {
		freeAt, reason = rl.loads.firstPauseEnd(now, targets), "targets_paused"
	}
	if freeAt.IsZero() {
		reason = "no_target"
		if rl.config.View.Targets().Lapsed(c.service.Name) {
			reason = "targets_lapsed"
		}
		return registry.Target{}, &refusal{http.StatusServiceUnavailable, reason, defaultRetryAfter}
	}
	return registry.Target{}, &refusal{http.StatusServiceUnavailable, reason, max(freeAt.Sub(now), minLimitRetryAfter)}
}
