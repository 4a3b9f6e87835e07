package relay

import (
	"context"
	"maps"
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
	"camphormill.dev/parts/routes"
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
	// Registered reports whether there is a target with the ID. If it is nil, all count as registered.
	Registered func(target string) bool
	// ColdRateFactor is the share of the published rate of cold targets that all entries use, as the
	// function of this name returns it. Zero counts as 1.
	ColdRateFactor float64
}

// ColdRateFactor returns the share of the published rate of cold targets that keeps a burst within overage
// times that rate in each second.
func ColdRateFactor(overage float64) float64 { return overage / (1 + limit.BurstSeconds) }

// Limits keeps the requests of all entries together within the rates that targets name, and within the
// published rate of targets that are cold. Entries tell each other about a limit as soon as one learns
// of it. For each limited target, one entry counts: the one with the highest hash of its name and the target's ID among the ready entries, on which
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
	cold     map[string]time.Time               // until when targets are cold by what they said in responses, by ID
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
		askAfter: map[string]time.Time{}, cold: map[string]time.Time{}, pending: map[string]chan mesh.LimitResponse{},
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
	if !takesName(l, l.named, target) {
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
	now := l.config.Now()
	maps.DeleteFunc(l.cold, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// recordCold records until when a target is cold by what it said in a response, and reports whether it was not
// known to be cold.
func (l *Limits) recordCold(t registry.Target, until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	known := now.Before(t.ColdUntil) || now.Before(l.cold[t.ID])
	l.cold[t.ID] = until
	return !known
}

// coldRate returns the requests per second that a target takes from all entries together while it is cold;
// 0 if it is not cold. The caller holds the lock.
func (l *Limits) coldRate(now time.Time, service routes.Service, t registry.Target) float64 {
	if service.ColdPerSecond <= 0 || (!now.Before(t.ColdUntil) && !now.Before(l.cold[t.ID])) {
		return 0
	}
	if l.config.ColdRateFactor > 0 {
		return service.ColdPerSecond * l.config.ColdRateFactor
	}
	return service.ColdPerSecond
}

// rateOf returns the requests per second that a target takes from all entries together; 0 for no limit. The
// caller holds the lock.
func (l *Limits) rateOf(now time.Time, service routes.Service, t registry.Target) float64 {
	named, cold := l.named[t.ID].perSecond, l.coldRate(now, service, t)
	if named > 0 && cold > 0 {
		return min(named, cold)
	}
	return max(named, cold)
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

// ofEngines returns the limits of a service's engines by their addresses, for the leader of a group. Of many,
// a random choice goes into each message.
func (l *Limits) ofEngines(targets registry.Registry, service routes.Service) []mesh.EngineLimit {
	var limited []registry.Target
	if service.ColdPerSecond > 0 {
		limited = l.coldTargets(targets, service.Name)
	}
	for _, named := range l.Named() {
		if t, ok := targets.Target(named.Target); ok && t.Service == service.Name {
			limited = append(limited, t)
		}
	}
	rand.Shuffle(len(limited), func(i, j int) { limited[i], limited[j] = limited[j], limited[i] })
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	var limits []mesh.EngineLimit
	for _, t := range limited[:min(len(limited), maxNamedLimits)] {
		if perSecond := l.rateOf(now, service, t); perSecond > 0 {
			limits = append(limits, mesh.EngineLimit{Engine: t.Address, PerSecond: perSecond})
		}
	}
	return limits
}

// coldTargets returns the targets of a service that are cold.
func (l *Limits) coldTargets(targets registry.Registry, service string) []registry.Target {
	now := l.config.Now()
	cold := targets.Cold(service, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, until := range l.cold {
		if t, ok := targets.Target(id); ok && t.Service == service && now.Before(until) && !now.Before(t.ColdUntil) {
			cold = append(cold, t)
		}
	}
	return cold
}

// acquire asks for a request at a target. If the target is at its limit, it returns false and the
// time after which to ask again.
func (l *Limits) acquire(ctx context.Context, service routes.Service, t registry.Target) (bool, time.Time) {
	now, target := l.config.Now(), t.ID
	l.mu.Lock()
	perSecond := l.rateOf(now, service, t)
	if again := l.askAfter[target]; perSecond > 0 && again.After(now) {
		l.mu.Unlock()
		return false, again
	}
	request := mesh.LimitRequest{Target: target, PerSecond: perSecond, Cold: l.named[target].perSecond != perSecond}
	counter := l.counterOf(target)
	l.mu.Unlock()
	if perSecond <= 0 {
		return true, time.Time{}
	}
	response, answered := mesh.LimitResponse{}, true
	if counter == l.config.Mesh.Self().Name {
		response = l.count(request)
	} else {
		response, answered = l.ask(ctx, counter, request)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.config.Now()
	if !answered {
		response = l.countAlone(now, target, perSecond)
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
	if _, ok := l.named[request.Target]; !ok && !request.Cold {
		l.set(request.Target, request.PerSecond) // the message that told the others was lost
	}
	if !takesName(l, l.counted, request.Target) {
		return mesh.LimitResponse{ID: request.ID, RetryAfterMS: int(askSpacing.Milliseconds())}
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
		granted, again := rl.config.Limits.acquire(ctx, c.service, t)
		if granted {
			return t, nil
		}
		if freeAt.IsZero() || again.Before(freeAt) {
			freeAt = again
		}
		passedOver = append(passedOver[:len(passedOver):len(passedOver)], t.ID)
	}
	if len(targets) == 0 && len(rl.config.View.Targets().Serving(c.service.Name)) > 0 {
		return registry.Target{}, &refusal{http.StatusServiceUnavailable, "targets_evacuated", defaultRetryAfter}
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
