// Package door is the callers' HTTP interface: which addresses to use, model
// drafts as server-sent events, plain calls, and reservations.
package door

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/limit"
	"camphormill.dev/parts/preset"
)

// The headers of the interface.
const (
	HeaderClass       = "Camphormill-Class"
	HeaderDeadline    = "Camphormill-Timeout-Ms"
	HeaderReservation = "Camphormill-Reservation"
	HeaderRepeat      = "Camphormill-Repeat"
	HeaderVersion     = "Camphormill-Version"
	HeaderOutcome     = "Camphormill-Outcome"
	HeaderConfig      = "Camphormill-Configuration"
	HeaderAttempts    = "Camphormill-Attempts"
	HeaderKey         = "Idempotency-Key"
)

// Bounds of what callers send.
const (
	maxBody    = 1 << 20
	maxKey     = 256
	maxTimeout = 10 * time.Minute
)

// Address is one entry host that a caller may use.
type Address struct {
	URL  string `json:"url"`
	Zone string `json:"zone"`
}

// Config is what a Door is built from.
type Config struct {
	// Keys maps the hex SHA-256 of an organisation's key to its name.
	Keys       map[string]string
	Timeout    time.Duration // when the caller names none
	AddressTTL time.Duration
	Addresses  func() []Address
	Dispatcher *dispatch.Dispatcher
	// State returns the configuration, and whether it may be served from.
	State func() (preset.State, bool)
	// Share is this entry's part of an organisation's limit.
	Share   limit.Share
	Now     func() time.Time
	Observe func(organisation string, class contract.Class, outcome contract.Outcome, took time.Duration)
	Log     zerolog.Logger
}

// Door serves callers.
type Door struct {
	config Config

	mu      sync.Mutex
	limiter *limit.Limiter
}

// New returns a door.
func New(c Config) *Door {
	return &Door{config: c, limiter: limit.NewLimiter(c.Share)}
}

// Handler returns the routes.
func (d *Door) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/addresses", d.addresses)
	router.Group(func(r chi.Router) {
		r.Use(d.authenticate)
		r.Post("/v1/reservations", d.reserve)
		r.Post("/v1/completions", d.complete)
		r.HandleFunc("/v1/services/{service}/*", d.service)
	})
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		d.refuse(w, r, contract.NewFailure(contract.KindInvalidRequest,
			"there is nothing at this path", "see docs/CALLERS.md"))
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		d.refuse(w, r, contract.NewFailure(contract.KindInvalidRequest,
			"the path does not take this method", "see docs/CALLERS.md"))
	})
	return router
}

// maxPublished bounds the organisations whose demand one entry publishes.
const maxPublished = 20

// Demand returns the demand of heavy organisations, for the peers.
func (d *Door) Demand(entries int) map[string]float64 {
	state, _ := d.config.State()
	inForce := state.InForce()
	floor := func(organisation string) float64 {
		return limit.PublishFloor(inForce.Organisation(organisation).RequestsPerSecond, entries)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limiter.Demand(d.config.Now(), floor, maxPublished)
}

// addresses answers which entry hosts to use, and until when.
func (d *Door) addresses(w http.ResponseWriter, _ *http.Request) {
	ttl := d.config.AddressTTL
	answer := struct {
		Addresses []Address `json:"addresses"`
		ExpiresAt time.Time `json:"expires_at"`
	}{Addresses: d.config.Addresses(), ExpiresAt: d.config.Now().Add(ttl)}
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(ttl.Seconds())))
	writeJSON(w, http.StatusOK, answer)
}

type organisationKey struct{}

func (d *Door) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		organisation, known := d.config.Keys[hex.EncodeToString(sum[:])]
		if !found || !known {
			d.refuse(w, r, contract.NewFailure(contract.KindUnauthenticated,
				"the organisation's key is missing or not known",
				"send the header Authorization: Bearer KEY"))
			return
		}
		ctx := context.WithValue(r.Context(), organisationKey{}, organisation)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// admitted reads what all requests have in common and applies the limits.
func (d *Door) admitted(w http.ResponseWriter, r *http.Request) (dispatch.Request, *contract.Failure) {
	organisation, _ := r.Context().Value(organisationKey{}).(string)
	request := dispatch.Request{Organisation: organisation, Method: r.Method, ContentType: r.Header.Get("Content-Type")}
	state, loaded := d.config.State()
	if !loaded {
		return request, contract.NewFailure(contract.KindNotReady,
			"this entry has no configuration yet", "use another address").WithRetryAt(d.config.Now().Add(time.Second))
	}
	w.Header().Set(HeaderConfig, strconv.FormatInt(state.Offset, 10))
	class, err := contract.ParseClass(r.Header.Get(HeaderClass))
	if err != nil {
		return request, contract.AsFailure(err)
	}
	request.Class = class
	deadline, failure := d.deadline(r)
	if failure != nil {
		return request, failure
	}
	request.Deadline = deadline
	if failure := d.limit(organisation, state.InForce()); failure != nil {
		return request, failure
	}
	request.Version = r.Header.Get(HeaderVersion)
	request.Body, failure = readBody(w, r)
	return request, failure
}

func (d *Door) deadline(r *http.Request) (time.Time, *contract.Failure) {
	timeout := d.config.Timeout
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.Atoi(text)
		timeout = time.Duration(ms) * time.Millisecond
		if err != nil || ms <= 0 || timeout > maxTimeout {
			return time.Time{}, contract.NewFailure(contract.KindInvalidRequest,
				HeaderDeadline+" is not a time this system takes", "send milliseconds, from 1 to "+
					strconv.FormatInt(maxTimeout.Milliseconds(), 10))
		}
	}
	return d.config.Now().Add(timeout), nil
}

func (d *Door) limit(organisation string, p preset.Preset) *contract.Failure {
	limits := p.Organisation(organisation)
	d.mu.Lock()
	defer d.mu.Unlock()
	ok, at := d.limiter.Admit(d.config.Now(), organisation, limit.Rate{PerSecond: limits.RequestsPerSecond, Burst: limits.Burst})
	if ok {
		return nil
	}
	return contract.NewFailure(contract.KindOrganisationLimit,
		"the organisation sends more than its limit", "come back later").WithRetryAt(at)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *contract.Failure) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, contract.NewFailure(contract.KindTooLarge,
			"the body is over "+strconv.Itoa(maxBody)+" bytes", "send less")
	}
	return nil, contract.NewFailure(contract.KindInvalidRequest, "the body was cut: "+err.Error(), "send it again")
}

// failureBody is what a caller reads when a request has no whole answer.
type failureBody struct {
	Outcome     contract.Outcome `json:"outcome"`
	Reservation string           `json:"reservation,omitempty"`
	*contract.Failure
}

// refuse ends a request that was not sent to a target. One that the caller has
// bound to a reservation or key may have run when it was sent before: only its
// gate can say that it did not.
func (d *Door) refuse(w http.ResponseWriter, r *http.Request, f *contract.Failure) {
	reservation := r.Header.Get(HeaderReservation)
	if reservation != "" || r.Header.Get(HeaderKey) != "" {
		d.fail(w, contract.Uncertain(f), reservation)
		return
	}
	d.fail(w, contract.Refusal(f), "")
}

// fail ends a request without a whole answer.
func (d *Door) fail(w http.ResponseWriter, a contract.Answer, reservation string) {
	f := a.Failure
	if f == nil {
		f = contract.NewFailure(contract.KindUpstream, "the request failed", "send it again")
	}
	if !f.RetryAt.IsZero() {
		seconds := int(f.RetryAt.Sub(d.config.Now()).Seconds()) + 1
		w.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	}
	w.Header().Set(HeaderOutcome, string(a.Outcome))
	writeJSON(w, f.HTTPStatus(), failureBody{Outcome: a.Outcome, Reservation: reservation, Failure: f})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // a caller who has gone needs no answer
}
