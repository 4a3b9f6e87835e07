// Package dispatch runs a caller's request on a target and returns its final
// outcome. It decides which target gets the request, whether a failed attempt is
// retried or rerouted, where an interrupted stream resumes, and what became of a
// call whose answer was lost.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/entryd/pool"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/limit"
	"camphormill.dev/parts/preset"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/randomname"
	"camphormill.dev/parts/reservation"
	"camphormill.dev/parts/routing"
)

// maxAttempts bounds the attempts of one request, reroutes not counted. A call that must
// not run twice has the bound maxAttempts+maxReroutes instead; see mayRebind.
const maxAttempts = 4

// maxReroutes bounds how often a request is rerouted from a busy target. A reroute costs a retry: without one, the
// request waits at the busy target instead.
const maxReroutes = 2

// The retries of all entries in any retryWindow are at most the preset's RetryShare of the first attempts, plus
// fleetRetryReserve.
const (
	retryWindow       = 10 * time.Second
	fleetRetryReserve = 200
)

// defaultRetryAfter is the retry-after sent to a caller when no better estimate is
// available.
const defaultRetryAfter = time.Second

// probeTimeout bounds the check whether a target still runs after its link was
// lost.
const probeTimeout = 300 * time.Millisecond

// suspendDuration is how long a target whose engine failed gets no new requests.
const suspendDuration = time.Second

// Claimer binds idempotency keys to reservations.
type Claimer struct {
	// Claim binds the key to the reservation unless the key is already bound, and
	// returns the reservation that the key is bound to.
	Claim func(ctx context.Context, organisation, key, reservation string) (string, error)
	// Replace binds a key whose reservation was voided to another reservation,
	// unless someone else already did, and returns the reservation that the key is
	// bound to.
	Replace func(ctx context.Context, organisation, key, voided, reservation string) (string, error)
}

// Config holds the dependencies and parameters of a Dispatcher.
type Config struct {
	Zone                string // of this entry
	Pool                *pool.Pool
	Policy              routing.Policy // called under the pool's lock
	Routing             routing.PolicyConfig
	Signer              reservation.Signer
	ReservationValidity time.Duration // how long a reservation is valid
	Now                 func() time.Time
	SteadyClock         func() freshness.Instant // of the retry budget; runs on while the host is suspended
	EntryCount          func() int               // how many entries may be running; 0 if it is not known
	Preset              func() preset.Preset     // returns the preset in force
	Claimer             Claimer
	// BroadcastStrike sends a strike, the record that a target died while it ran a request,
	// to the peers and waits for them, within a bound, before it returns.
	BroadcastStrike func(ctx context.Context, s quarantine.Strike)
	// ShareParts sends what this entry knows of prompt parts to the peers, and returns what they
	// know of the same parts. It waits for them within a bound.
	ShareParts func(ctx context.Context, records []quarantine.PartRecord) []quarantine.PartRecord
	Logger     zerolog.Logger
}

// Dispatcher runs requests on targets. It is safe for concurrent use.
type Dispatcher struct {
	config Config

	mu       sync.Mutex
	budget   *limit.RetryBudget
	strikes  *quarantine.List
	parts    *quarantine.PartList
	suspects map[string]int // number of running requests that have a strike, by target
}

// New returns a Dispatcher that has just started, without strikes.
func New(c Config) *Dispatcher {
	return &Dispatcher{
		config:   c,
		budget:   limit.NewRetryBudget(limit.RetryLimit{Reserve: fleetRetryReserve, Window: retryWindow}, c.SteadyClock()),
		strikes:  quarantine.NewList(),
		parts:    quarantine.NewPartList(),
		suspects: map[string]int{},
	}
}

// Request is one caller's request.
type Request struct {
	Organisation   string
	Class          contract.Class
	Kind           contract.WorkKind
	ServiceName    string // name of the model or service
	Version        string // empty for any version in force
	Method         string
	Path           string
	ContentType    string
	Body           []byte
	Prefix         uint64 // hash of the prompt's prefix, for cache affinity
	Deadline       time.Time
	Reservation    string // sent by the caller, or empty
	IdempotencyKey string // the caller's idempotency key, or empty
	Stream         bool
}

// Bound reports whether the caller sent a reservation or an idempotency key with
// the request. Such a request may have been sent before.
func (r Request) Bound() bool {
	return r.Reservation != "" || r.IdempotencyKey != ""
}

// Result is the final outcome of a request.
type Result struct {
	contract.Answer
	Reservation string // to send again when the outcome is unknown
	Target      string // of the last attempt
	Attempts    int    // including reroutes
}

// call returns the call to send to a target for the request; attempt is its ID.
func (d *Dispatcher) call(r Request, attempt string) contract.Call {
	return contract.Call{
		Attempt:      attempt,
		Organisation: r.Organisation,
		Class:        r.Class,
		Kind:         r.Kind,
		ServiceName:  r.ServiceName,
		Version:      r.Version,
		Method:       r.Method,
		Path:         r.Path,
		ContentType:  r.ContentType,
		Body:         r.Body,
		Deadline:     r.Deadline,
		Stream:       r.Stream,
	}
}

// admit refuses a quarantined request. Any other request counts as a first attempt in the retry budget, whose
// ratio is the preset's RetryShare. admit returns the
// request's fingerprint, which identifies its organisation, path and content in strikes.
func (d *Dispatcher) admit(r Request) (uint64, *contract.Failure) {
	fingerprint := quarantine.Fingerprint(r.Organisation, r.ServiceName+" "+r.Method+" "+r.Path, r.Body)
	share := d.config.Preset().RetryShare
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Now()
	if until, quarantined := d.strikes.Quarantined(now, fingerprint); quarantined {
		return 0, quarantineFailure(until)
	}
	if until, refused := d.parts.Refused(now, partsOf(r)); refused {
		return 0, partFailure(until)
	}
	d.budget.SetRatio(share)
	d.budget.Deposit(d.config.SteadyClock())
	return fingerprint, nil
}

func quarantineFailure(until time.Time) *contract.Failure {
	return contract.NewFailure(contract.KindQuarantined,
		"targets died while they ran this request", "change the request, or retry later").WithRetryAt(until)
}

// takeRetry takes one retry from the budget and reports whether there was one left.
func (d *Dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Withdraw(d.config.SteadyClock(), d.config.EntryCount())
}

// retryAvailable reports whether the budget allows a retry now.
func (d *Dispatcher) retryAvailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Tokens(d.config.SteadyClock(), d.config.EntryCount()) >= 1
}

// pick chooses a target that is not in tried. A request that has a strike is not sent to a
// target that already runs another such request. The caller must release a returned target
// with Pool.Release.
func (d *Dispatcher) pick(r Request, fingerprint uint64, tried map[string]bool) (string, *contract.Failure) {
	target, ok := d.config.Pool.Pick(d.config.Policy, d.query(r, d.excluded(fingerprint, tried)))
	if ok {
		return target, nil
	}
	return "", d.noTargetFailure(r)
}

// query returns the properties of a request that the routing policy uses.
func (d *Dispatcher) query(r Request, excluded map[string]bool) routing.Request {
	active := d.config.Preset()
	query := routing.Request{
		Kind: r.Kind, ServiceName: r.ServiceName, Version: r.Version, Zone: d.config.Zone, Prefix: r.Prefix, Excluded: excluded,
	}
	if r.Kind == contract.WorkDraft {
		query.Allows = func(version string) bool { return active.AllowsVersion(r.ServiceName, version) }
	}
	return query
}

// mayReroute reports whether a busy target should refuse the request so that it is rerouted: an untried target seems to
// have a free slot, and the budget allows a retry.
func (d *Dispatcher) mayReroute(r Request, reroutes int, tried map[string]bool) bool {
	return reroutes < maxReroutes && d.config.Pool.AnyFreeSlot(d.config.Routing, d.query(r, tried)) && d.retryAvailable()
}

// noTargetFailure returns the failure for a request that no target can take: the entry is
// not ready, the name is unknown, or there is no target for it now.
func (d *Dispatcher) noTargetFailure(r Request) *contract.Failure {
	if !d.config.Pool.HasHostList() {
		return contract.NewFailure(contract.KindNotReady,
			"this entry has not read the host list yet", "use another address").WithRetryAt(d.config.Now().Add(defaultRetryAfter))
	}
	if !d.config.Pool.Serves(r.Kind, r.ServiceName) {
		kind, what := contract.KindUnknownModel, "model "
		if r.Kind == contract.WorkService {
			kind, what = contract.KindUnknownService, "service "
		}
		return contract.NewFailure(kind, "the "+what+r.ServiceName+" is not served here", "correct the name")
	}
	return contract.NewFailure(contract.KindNoTarget,
		"no target can serve "+r.ServiceName+" now", "retry later").WithRetryAt(d.config.Now().Add(defaultRetryAfter))
}

// excluded returns the targets that the request must not be sent to: those already
// tried, and for a request with a strike also those that run another such request.
func (d *Dispatcher) excluded(fingerprint uint64, tried map[string]bool) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.suspects) == 0 || d.strikes.Strikes(d.config.Now(), fingerprint) == 0 {
		return tried
	}
	excluded := make(map[string]bool, len(tried)+len(d.suspects))
	for name := range tried {
		excluded[name] = true
	}
	for name := range d.suspects {
		excluded[name] = true
	}
	return excluded
}

// trackSuspect counts a request that has a strike as running at the target until
// the returned function is called. It does nothing for a request without a strike.
func (d *Dispatcher) trackSuspect(fingerprint uint64, target string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.strikes.Strikes(d.config.Now(), fingerprint) == 0 {
		return func() {}
	}
	d.suspects[target]++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.suspects[target]--
		if d.suspects[target] == 0 {
			delete(d.suspects, target)
		}
	}
}

// strike records that the target or its engine died while it ran the request and sends
// the strike to the peers. It returns a failure if the request is now quarantined. death
// identifies the death, so that several reports of one death count as one strike. It is
// the incarnation of a target that died. If only the engine died, the target's incarnation
// stays, so death is then an ID that belongs to the call.
func (d *Dispatcher) strike(ctx context.Context, fingerprint uint64, death string) *contract.Failure {
	now := d.config.Now()
	d.mu.Lock()
	s := d.strikes.Add(now, fingerprint, death)
	until, quarantined := d.strikes.Quarantined(now, fingerprint)
	d.mu.Unlock()
	d.config.BroadcastStrike(ctx, s)
	if !quarantined {
		return nil
	}
	d.config.Logger.Warn().Uint64("fingerprint", fingerprint).Msg("request quarantined; two targets died running it")
	return quarantineFailure(until)
}

// MergeStrike adds a strike received from a peer. s.Until must be by the local clock.
func (d *Dispatcher) MergeStrike(s quarantine.Strike) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.strikes.Merge(d.config.Now(), s)
}

// maxStrikesSent bounds the strikes that a starting peer is told.
const maxStrikesSent = 16

// LatestStrikes returns the latest strikes, for a peer that has just started or was cut off.
func (d *Dispatcher) LatestStrikes() []quarantine.Strike {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.strikes.Latest(d.config.Now(), maxStrikesSent)
}

// newAttempt returns the ID of a new attempt.
func newAttempt() string {
	return randomname.New()
}
