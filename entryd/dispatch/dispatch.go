// Package dispatch carries a request to a target and brings back its final
// outcome: it chooses, sends, retries what may be retried, resumes drafts and
// settles calls whose answer was lost.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/entryd/pool"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/identity"
	"camphormill.dev/parts/limit"
	"camphormill.dev/parts/preset"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/reservation"
	"camphormill.dev/parts/routing"
)

// maxAttempts bounds the tries of one request.
const maxAttempts = 4

// maxBounces bounds how often a request goes on from a busy target. It did no
// work there, so that this is not a retry.
const maxBounces = 2

// comeBack is how soon a caller may try again when nothing better is known.
const comeBack = time.Second

// probeTime is how long a lost target has to show that it still runs.
const probeTime = 300 * time.Millisecond

// suspension is how long a target whose engine failed gets no new work.
const suspension = time.Second

// Claimer settles which reservation an idempotency key stands for.
type Claimer struct {
	// Claim claims the key for the reservation and returns the winner.
	Claim func(ctx context.Context, organisation, key, reservation string) (string, error)
	// Replace claims the key for a reservation in place of a voided one.
	Replace func(ctx context.Context, organisation, key, voided, reservation string) (string, error)
}

// Config is what a Dispatcher is built from.
type Config struct {
	Zone    string
	Pool    *pool.Pool
	Policy  routing.Policy // called under the pool's lock
	Routing routing.PolicyConfig
	Sealer  reservation.Sealer
	Window  time.Duration // how long a reservation holds
	Now     func() time.Time
	Preset  func() preset.Preset
	Claimer Claimer
	// ShareStrike tells the peers of a strike before it returns.
	ShareStrike func(ctx context.Context, s quarantine.Strike)
	Log         zerolog.Logger
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	config Config

	mu       sync.Mutex
	budget   *limit.Budget
	strikes  *quarantine.List
	suspects map[string]int // suspects in flight by target
}

// New returns a dispatcher.
func New(c Config) *Dispatcher {
	return &Dispatcher{
		config:   c,
		budget:   limit.NewBudget(),
		strikes:  quarantine.NewList(),
		suspects: map[string]int{},
	}
}

// Request is one caller's request.
type Request struct {
	Organisation string
	Class        contract.Class
	Kind         contract.WorkKind
	Serves       string
	Version      string // empty for any in force
	Method       string
	Path         string
	ContentType  string
	Body         []byte
	Prefix       uint64
	Deadline     time.Time
	Reservation  string // as presented by the caller
	Key          string // the caller's idempotency key
	Stream       bool
}

// Bound says whether the caller binds the request to one run, so that it may
// have been sent before.
func (r Request) Bound() bool {
	return r.Reservation != "" || r.Key != ""
}

// Result is the final word on a request.
type Result struct {
	contract.Answer
	Reservation string // to present again when the outcome is unknown
	Target      string
	Attempts    int
}

func (d *Dispatcher) call(r Request, attempt string) contract.Call {
	return contract.Call{
		Attempt:      attempt,
		Organisation: r.Organisation,
		Class:        r.Class,
		Kind:         r.Kind,
		Serves:       r.Serves,
		Version:      r.Version,
		Method:       r.Method,
		Path:         r.Path,
		ContentType:  r.ContentType,
		Body:         r.Body,
		Deadline:     r.Deadline,
		Stream:       r.Stream,
	}
}

// begin refuses a quarantined request and earns its share of a retry.
func (d *Dispatcher) begin(r Request) (uint64, *contract.Failure) {
	fingerprint := quarantine.Fingerprint(r.Organisation, r.Serves+" "+r.Method+" "+r.Path, r.Body)
	share := d.config.Preset().RetryShare
	d.mu.Lock()
	defer d.mu.Unlock()
	until, quarantined := d.strikes.Quarantined(d.config.Now(), fingerprint)
	if quarantined {
		return 0, quarantineFailure(until)
	}
	d.budget.FirstTry(share)
	return fingerprint, nil
}

func quarantineFailure(until time.Time) *contract.Failure {
	return contract.NewFailure(contract.KindQuarantined,
		"targets died while they ran this request", "change the request, or come back later").WithRetryAt(until)
}

// retry spends one retry of the budget.
func (d *Dispatcher) retry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Retry()
}

// pick chooses a target. A suspect does not go where another suspect runs.
func (d *Dispatcher) pick(r Request, fingerprint uint64, tried map[string]bool) (string, *contract.Failure) {
	target, ok := d.config.Pool.Pick(d.config.Policy, d.query(r, d.excluded(fingerprint, tried)))
	if ok {
		return target, nil
	}
	return "", d.noTarget(r)
}

// query is what routing needs to know of a request.
func (d *Dispatcher) query(r Request, excluded map[string]bool) routing.Request {
	inForce := d.config.Preset()
	query := routing.Request{
		Kind: r.Kind, Serves: r.Serves, Version: r.Version, Zone: d.config.Zone, Prefix: r.Prefix, Excluded: excluded,
	}
	if r.Kind == contract.WorkDraft {
		query.Allows = func(version string) bool { return inForce.AllowsVersion(r.Serves, version) }
	}
	return query
}

// mayBounce says whether a request should go on from a busy target: there seems
// to be a free place at one that it has not tried.
func (d *Dispatcher) mayBounce(r Request, bounces int, tried map[string]bool) bool {
	return bounces < maxBounces && d.config.Pool.AnyFree(d.config.Routing, d.query(r, tried))
}

func (d *Dispatcher) noTarget(r Request) *contract.Failure {
	if !d.config.Pool.Listed() {
		return contract.NewFailure(contract.KindNotReady,
			"this entry has not read the host list yet", "use another address").WithRetryAt(d.config.Now().Add(comeBack))
	}
	if !d.config.Pool.Serves(r.Kind, r.Serves) {
		kind, what := contract.KindUnknownModel, "model "
		if r.Kind == contract.WorkService {
			kind, what = contract.KindUnknownService, "service "
		}
		return contract.NewFailure(kind, "the "+what+r.Serves+" is not served here", "mend the name")
	}
	return contract.NewFailure(contract.KindNoTarget,
		"no target can serve "+r.Serves+" now", "come back later").WithRetryAt(d.config.Now().Add(comeBack))
}

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

// hold counts a suspect in flight at the target until the returned function is
// called.
func (d *Dispatcher) hold(fingerprint uint64, target string) func() {
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

// strike records the death of the target that ran the request, tells the peers,
// and says whether the request may still be tried.
func (d *Dispatcher) strike(ctx context.Context, fingerprint uint64, incarnation string) *contract.Failure {
	now := d.config.Now()
	d.mu.Lock()
	s := d.strikes.Add(now, fingerprint, incarnation)
	until, quarantined := d.strikes.Quarantined(now, fingerprint)
	d.mu.Unlock()
	d.config.ShareStrike(ctx, s)
	if !quarantined {
		return nil
	}
	d.config.Log.Warn().Uint64("fingerprint", fingerprint).Msg("request quarantined; two targets died running it")
	return quarantineFailure(until)
}

// MergeStrike takes a strike that a peer told of, with its end in our clock.
func (d *Dispatcher) MergeStrike(s quarantine.Strike) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.strikes.Merge(d.config.Now(), s)
}

func newAttempt() string {
	return identity.New()
}
