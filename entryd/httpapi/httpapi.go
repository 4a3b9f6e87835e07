// Package httpapi serves the HTTP interface for callers: the list of entry addresses,
// completions, calls of services, and reservations. It authenticates the caller,
// decides whether the request is valid and within the organisation's limit, and passes
// it to package dispatch.
package httpapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/limit"
	"camphormill.dev/parts/preset"
)

// HTTP headers of requests and answers.
const (
	HeaderClass          = "Camphormill-Class"
	HeaderTimeout        = "Camphormill-Timeout-Ms"
	HeaderReservation    = "Camphormill-Reservation"
	HeaderRepeat         = "Camphormill-Repeat"
	HeaderVersion        = "Camphormill-Version"
	HeaderOutcome        = "Camphormill-Outcome"
	HeaderConfiguration  = "Camphormill-Configuration"
	HeaderAttempts       = "Camphormill-Attempts"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Bounds of requests.
const (
	maxBodyBytes = 1 << 20
	maxKeyBytes  = 256
	maxTimeout   = 10 * time.Minute
	// passedOnCopies is how often a body is held besides while it is passed on to a target.
	passedOnCopies = 3
	// fullRetryAfter is the time after which a request comes back for which the entry had no memory.
	fullRetryAfter = time.Second
)

// Address is one entry host that a caller may send requests to.
type Address struct {
	URL  string `json:"url"`
	Zone string `json:"zone"`
}

// Config holds the dependencies and parameters of a Server.
type Config struct {
	// OrganisationKeys maps the hex SHA-256 of an organisation's key to the organisation's name.
	OrganisationKeys map[string]string
	Timeout          time.Duration // of a request without a timeout header
	AddressTTL       time.Duration // how long callers may cache the addresses
	Addresses        func() []Address
	Dispatcher       *dispatch.Dispatcher
	// State returns the configuration, and whether it may be used to serve requests.
	State func() (preset.State, bool)
	// LimitShare returns the fraction of an organisation's limit that this entry grants.
	LimitShare limit.ShareFunc
	Now        func() time.Time
	// Observe is called at the end of each request that was passed to Dispatcher.
	Observe func(organisation string, class contract.Class, outcome contract.Outcome, elapsed time.Duration)
	Logger  zerolog.Logger
	// MaxAnswerBytes bounds the text of an answer that is collected for a caller without a stream, since a faulty engine may
	// send tokens without end. 0 is 8 MiB.
	MaxAnswerBytes int
	// Budget bounds the bodies that callers make the entry hold; nil sets no bound.
	Budget *bytebudget.Budget
}

// Server serves the HTTP interface for callers. It is safe for concurrent use.
type Server struct {
	config      Config
	ending      context.Context // ended by EndRequests; its cause is the failure for callers
	endRequests context.CancelCauseFunc

	unbounded *bytebudget.Budget // used without Config.Budget

	mu      sync.Mutex
	limiter *limit.Limiter
	drain   drain
}

// New returns a Server.
func New(c Config) *Server {
	ending, endRequests := context.WithCancelCause(context.Background())
	return &Server{
		config: c, ending: ending, endRequests: endRequests, limiter: limit.NewLimiter(c.LimitShare),
		unbounded: bytebudget.New(bytebudget.Config{Bytes: math.MaxInt64, StallTime: math.MaxInt64, Now: time.Now}),
	}
}

// Handler returns the HTTP handler of all paths.
func (s *Server) Handler() http.Handler {
	router := chi.NewRouter()
	router.Use(s.announceDrain)
	router.Get("/v1/addresses", s.addresses)
	router.Group(func(r chi.Router) {
		r.Use(s.authenticate)
		r.Post("/v1/reservations", s.reserve)
		r.Post("/v1/completions", s.complete)
		r.HandleFunc("/v1/services/{service}/*", s.callService)
	})
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		s.writeRefusal(w, r, contract.NewFailure(contract.KindInvalidRequest,
			"this path does not exist", "see docs/CALLERS.md"))
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		s.writeRefusal(w, r, contract.NewFailure(contract.KindInvalidRequest,
			"this path does not support the method", "see docs/CALLERS.md"))
	})
	return router
}

// maxPublishedDemands bounds the organisations whose demand one entry publishes to its
// peers.
const maxPublishedDemands = 20

// Demand returns the demand at this entry of the organisations that send the most to it, in
// requests per second. Peers use it to divide the limits among the entries, whose number
// is given.
func (s *Server) Demand(entries int) map[string]float64 {
	state, _ := s.config.State()
	active := state.ActivePreset()
	floor := func(organisation string) float64 {
		return limit.MinPublishedDemand(active.Organisation(organisation).RequestsPerSecond, entries)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Demand(s.config.Now(), floor, maxPublishedDemands)
}

// addresses serves the list of entry hosts and the time until which it may be used.
func (s *Server) addresses(w http.ResponseWriter, _ *http.Request) {
	ttl := s.config.AddressTTL
	answer := struct {
		Addresses []Address `json:"addresses"`
		ExpiresAt time.Time `json:"expires_at"`
	}{Addresses: s.config.Addresses(), ExpiresAt: s.config.Now().Add(ttl)}
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(int(ttl.Seconds())))
	writeJSON(w, http.StatusOK, answer)
}

// organisationContextKey is the context key of the caller's organisation.
type organisationContextKey struct{}

// authenticate refuses a request without a known key and puts the organisation into
// the context of any other.
func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		organisation, known := s.config.OrganisationKeys[hex.EncodeToString(sum[:])]
		if !found || !known {
			s.writeRefusal(w, r, contract.NewFailure(contract.KindUnauthenticated,
				"the organisation's key is missing or not known",
				"send the header Authorization: Bearer KEY"))
			return
		}
		ctx := context.WithValue(r.Context(), organisationContextKey{}, organisation)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// admit reads the headers and the body that all requests have in common and applies
// the organisation's limit. It sets the answer's header HeaderConfiguration. If it returns a
// failure, the request is incomplete.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, hold *bytebudget.Hold) (dispatch.Request, *contract.Failure) {
	organisation, _ := r.Context().Value(organisationContextKey{}).(string)
	request := dispatch.Request{Organisation: organisation, Method: r.Method, ContentType: r.Header.Get("Content-Type")}
	state, loaded := s.config.State()
	if !loaded {
		return request, contract.NewFailure(contract.KindNotReady,
			"this entry has no configuration yet", "use another address").WithRetryAt(s.config.Now().Add(time.Second))
	}
	w.Header().Set(HeaderConfiguration, strconv.FormatInt(state.Offset, 10))
	class, err := contract.ParseClass(r.Header.Get(HeaderClass))
	if err != nil {
		return request, contract.AsFailure(err)
	}
	request.Class = class
	deadline, failure := s.deadline(r)
	if failure != nil {
		return request, failure
	}
	request.Deadline = deadline
	if failure := s.checkLimit(organisation, state.ActivePreset()); failure != nil {
		return request, failure
	}
	request.Version = r.Header.Get(HeaderVersion)
	request.Body, failure = s.readBody(w, r, hold, deadline)
	return request, failure
}

// deadline returns the deadline from the timeout header or the default timeout.
func (s *Server) deadline(r *http.Request) (time.Time, *contract.Failure) {
	timeout := s.config.Timeout
	if text := r.Header.Get(HeaderTimeout); text != "" {
		ms, err := strconv.Atoi(text)
		timeout = time.Duration(ms) * time.Millisecond
		if err != nil || ms <= 0 || timeout > maxTimeout {
			return time.Time{}, contract.NewFailure(contract.KindInvalidRequest,
				HeaderTimeout+" is not a valid timeout", "send milliseconds, from 1 to "+
					strconv.FormatInt(maxTimeout.Milliseconds(), 10))
		}
	}
	return s.config.Now().Add(timeout), nil
}

// checkLimit refuses a request over the organisation's limit, with the time from which to
// retry.
func (s *Server) checkLimit(organisation string, p preset.Preset) *contract.Failure {
	limits := p.Organisation(organisation)
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, at := s.limiter.Admit(s.config.Now(), organisation, limit.Rate{PerSecond: limits.RequestsPerSecond, Burst: limits.Burst})
	if ok {
		return nil
	}
	return contract.NewFailure(contract.KindOrganisationLimit,
		"the organisation exceeds its request limit", "retry later").WithRetryAt(at)
}

// openHold returns what the body of a request is counted with. The caller must close it.
func (s *Server) openHold(w http.ResponseWriter) *bytebudget.Hold {
	budget := s.config.Budget
	if budget == nil {
		budget = s.unbounded
	}
	connection := http.NewResponseController(w)
	return budget.Open(func() { _ = connection.SetReadDeadline(time.Unix(1, 0)) })
}

// readBody reads the whole body, up to maxBodyBytes, until the deadline or EndRequests, and reserves what passing it on
// takes.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, hold *bytebudget.Hold, deadline time.Time) ([]byte, *contract.Failure) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline) // fails only on a closed connection
	unlink := context.AfterFunc(s.ending, func() { _ = controller.SetReadDeadline(s.config.Now()) })
	defer unlink()
	body, err := bytebudget.ReadBody(r.Body, hold, maxBodyBytes, r.ContentLength)
	if err == nil && body.Len() > bytebudget.FreeBytes && !hold.Grow(passedOnCopies*body.Len()) {
		err = bytebudget.ErrFull
	}
	switch {
	case err == nil:
		_ = controller.SetReadDeadline(time.Time{})
		return body.Bytes(), nil
	case errors.Is(err, bytebudget.ErrTooLarge):
		return nil, contract.NewFailure(contract.KindTooLarge,
			"the body is over "+strconv.Itoa(maxBodyBytes)+" bytes", "send a shorter body")
	case errors.Is(err, bytebudget.ErrFull):
		return nil, contract.NewFailure(contract.KindOverloaded,
			"the entry has no memory left for the body", "send it again, to another address if there is one").
			WithRetryAt(s.config.Now().Add(fullRetryAfter))
	}
	if s.ending.Err() != nil {
		return nil, contract.AsFailure(context.Cause(s.ending))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, contract.NewFailure(contract.KindDeadline,
			"the deadline passed before the whole body had come", "send the body faster or allow more time").WithRetryAt(s.config.Now())
	}
	return nil, contract.NewFailure(contract.KindInvalidRequest, "the body could not be read: "+err.Error(), "send it again")
}

// failureResponse is the body of an answer to a request that failed.
type failureResponse struct {
	Outcome     contract.Outcome `json:"outcome"`
	Reservation string           `json:"reservation,omitempty"`
	*contract.Failure
}

// writeRefusal answers a request that this entry did not send to a target. A request
// with a reservation or an idempotency key may have run when it was sent earlier, and
// only the target knows that, so its outcome is unknown.
func (s *Server) writeRefusal(w http.ResponseWriter, r *http.Request, f *contract.Failure) {
	reservation := r.Header.Get(HeaderReservation)
	if reservation != "" || r.Header.Get(HeaderIdempotencyKey) != "" {
		s.writeFailure(w, contract.UnknownAnswer(f), reservation)
		return
	}
	s.writeFailure(w, contract.NotRunAnswer(f), "")
}

// writeFailure writes the answer to a request that failed, with a Retry-After header if
// the failure has a time from which to retry.
func (s *Server) writeFailure(w http.ResponseWriter, a contract.Answer, reservation string) {
	f := a.Failure
	if f == nil {
		f = contract.NewFailure(contract.KindUpstream, "the request failed", "send it again")
	}
	if !f.RetryAt.IsZero() {
		seconds := int(f.RetryAt.Sub(s.config.Now()).Seconds()) + 1
		w.Header().Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	}
	w.Header().Set(HeaderOutcome, string(a.Outcome))
	writeJSON(w, f.HTTPStatus(), failureResponse{Outcome: a.Outcome, Reservation: reservation, Failure: f})
}

// writeJSON writes the value as the whole answer.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the caller has disconnected
}
