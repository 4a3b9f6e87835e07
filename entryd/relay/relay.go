package relay

import (
	"bytes"
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/entryd/bulletin"
	"camphormill.dev/parts/exchange"
	"camphormill.dev/parts/limit"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/registry"
	"camphormill.dev/parts/routes"
)

const (
	// soon is when a caller should come back from an entry that cannot serve yet.
	soon = 300 * time.Millisecond
	// atOnce is when a caller should come back that another entry can serve.
	atOnce = 10 * time.Millisecond
	// firstEvent is what an engine takes to the first event of a stream when
	// nothing waits: its prompt and some passes.
	firstEvent = 200 * time.Millisecond
	// lateWait is how long a request that is late already may wait for a place.
	lateWait = 700 * time.Millisecond
	// keepFresh bounds the idle time of a kept connection for a request that may
	// not be repeated: the target may be closing it.
	keepFresh = 400 * time.Millisecond
	// strikesToRefuse is how many dead targets a request may leave behind.
	strikesToRefuse = 2
	// aliveCheck is how long a target may take to take a connection before it
	// counts as dead.
	aliveCheck = 250 * time.Millisecond
)

// Config is what a Relay is built from.
type Config struct {
	Zone   string
	Wire   Wire
	Board  *bulletin.Board
	Places *Places
	Client *exchange.Client
	Now    func() time.Time
	// KeyBound is how old the proof of the routes may be for a request with a key.
	KeyBound time.Duration
	// RetryShare and RetryReserve are this entry's part of the fleet's retries.
	RetryShare   float64
	RetryReserve float64
	// Strike tells the peers of a request that killed a target.
	Strike  func(s quarantine.Strike)
	Observe func(o Outcome)
	Log     zerolog.Logger
}

// Outcome is what became of one request.
type Outcome struct {
	Organisation string
	Route        string
	Service      string
	Status       int
	Reason       string // why the relay answered itself; empty for a target's answer
	Took         time.Duration
	First        time.Duration // to the first byte; 0 for none
	Attempts     int
}

// Relay is the callers' door. It is safe for concurrent use.
type Relay struct {
	config Config
	loads  *loads

	mu      sync.Mutex
	budgets map[string]*limit.Budget
	strikes *quarantine.List
	leaving bool
	// noStreams says that an answer of some seconds may not end before this entry.
	noStreams bool
}

// New returns a relay.
func New(c Config) *Relay {
	return &Relay{config: c, loads: newLoads(), budgets: map[string]*limit.Budget{}, strikes: quarantine.NewList()}
}

// Leave makes every answer ask its caller to open no further request here.
func (y *Relay) Leave() {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.leaving = true
}

// RefuseStreams makes callers with long answers to come go to another entry.
func (y *Relay) RefuseStreams() {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.noStreams = true
}

// MergeStrike takes a strike that a peer told of.
func (y *Relay) MergeStrike(s quarantine.Strike) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.strikes.Merge(y.config.Now(), s)
}

// TargetsChanged forgets what was known of targets that are gone.
func (y *Relay) TargetsChanged(r registry.Registry) { y.loads.keep(r) }

// call is one request on its way.
type call struct {
	envelope     Envelope
	organisation routes.Organisation
	route        routes.Route
	service      routes.Service
	request      *http.Request
	body         []byte
	began        time.Time
	deadline     time.Time
	limits       routes.Limits
	fingerprint  uint64
	version      int64

	out      http.ResponseWriter
	wrote    bool // the head of an answer has left
	first    time.Time
	after    string // last event that has left
	attempts int
	ranOnce  bool // a target may have run it
	failed   []string
	outcome  Outcome
	target   string
}

// ServeHTTP answers one request.
func (y *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{request: r, out: w, began: y.config.Now(), envelope: y.config.Wire.Read(r)}
	w.Header()["Date"] = nil
	if leaving, _ := y.stopping(); leaving {
		w.Header().Set("Connection", "close")
	}
	broken := y.serve(c)
	y.finish(c, broken)
	if broken {
		panic(http.ErrAbortHandler) // ends the connection so that the answer does not look whole
	}
}

// stopping says whether the entry leaves, and whether it takes no streams any more.
func (y *Relay) stopping() (leaving, noStreams bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.leaving, y.noStreams
}

// serve answers the request and says whether its answer broke off.
func (y *Relay) serve(c *call) bool {
	if failure := y.admit(c); failure != nil {
		y.refuse(c, *failure)
		return false
	}
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	return y.run(ctx, c)
}

// refusal is an answer of the relay's own.
type refusal struct {
	status int
	reason string
	comeIn time.Duration // 0 when coming back does not help
}

// admit finds the route and the organisation, and reads the body.
func (y *Relay) admit(c *call) *refusal {
	if !y.config.Board.Known() {
		return &refusal{http.StatusServiceUnavailable, "not_ready", soon}
	}
	if !y.config.Board.Current(c.request.Context(), y.config.KeyBound) {
		return &refusal{http.StatusServiceUnavailable, "routes_not_current", soon}
	}
	table := y.config.Board.Table()
	c.limits, c.version = table.Limits(), table.Version()
	route, ok := table.Match(c.request.Host, c.request.URL.Path)
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	c.route = route
	c.outcome.Route = route.Name
	if table.NeedsKey() && !route.Anonymous {
		if c.organisation, ok = table.Organisation(c.envelope.Key); !ok {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
	}
	c.outcome.Organisation = c.organisation.Name
	name := route.Pick(rand.Float64())
	if c.service, ok = table.Service(name); !ok {
		return &refusal{http.StatusServiceUnavailable, "no_service", soon}
	}
	c.outcome.Service = name
	if _, no := y.stopping(); no && needsPlace(c.service) {
		return &refusal{http.StatusServiceUnavailable, "leaving", atOnce}
	}
	c.deadline = c.began.Add(time.Hour)
	if route.Timeout > 0 {
		c.deadline = c.began.Add(route.Timeout)
	}
	if p := c.envelope.Patience; p > 0 && c.began.Add(p).Before(c.deadline) {
		c.deadline = c.began.Add(p)
	}
	return y.readBody(c)
}

func (y *Relay) readBody(c *call) *refusal {
	limit := c.limits.BodyBytes
	if limit <= 0 {
		limit = math.MaxInt32
	}
	body, err := io.ReadAll(io.LimitReader(c.request.Body, limit+1))
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "body_broken"}
	}
	if int64(len(body)) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	c.body = body
	c.fingerprint = quarantine.Fingerprint(c.envelope.Key, c.request.Method+" "+c.request.RequestURI, body)
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.strikes.Strikes(y.config.Now(), c.fingerprint) >= strikesToRefuse {
		return &refusal{status: http.StatusServiceUnavailable, reason: "quarantined"}
	}
	y.budget(c.service.Name).FirstTry(y.config.RetryShare)
	return nil
}

func (y *Relay) budget(service string) *limit.Budget {
	b, ok := y.budgets[service]
	if !ok {
		b = limit.NewBudgetOf(y.config.RetryReserve)
		y.budgets[service] = b
	}
	return b
}

// refuse answers for the relay itself.
func (y *Relay) refuse(c *call, f refusal) {
	c.outcome.Status, c.outcome.Reason = f.status, f.reason
	h := c.out.Header()
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	if f.comeIn > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(f.comeIn.Seconds()*100)/100, 'f', -1, 64))
	}
	c.wrote = true
	c.out.WriteHeader(f.status)
}

// run sends the request until it has its answer, and says whether that broke off.
func (y *Relay) run(ctx context.Context, c *call) bool {
	var last refusal
	for {
		target, at, no := y.choose(ctx, c)
		if no != nil {
			last = *no
			break
		}
		result := y.attempt(ctx, c, target, at)
		if result.moved {
			if next, ok := y.serving(c, y.config.Places.moved(at)); ok {
				c.failed = append(c.failed, target.ID)
				target = next
				result = y.attempt(ctx, c, target, at)
			}
		}
		at.release()
		if result.answered {
			return result.broken
		}
		last = result.refusal
		c.failed = append(c.failed, target.ID)
		if y.over(ctx, c) || !y.mayGoOn(c, result) {
			break
		}
	}
	return y.giveUp(ctx, c, last)
}

// movable says whether the next attempt may be left for another target.
func (y *Relay) movable(c *call) bool {
	return c.route.MayRepeat() && c.attempts+1 < c.route.MaxAttempts
}

// over says whether the caller has left or the time is up. The connection's own
// deadline may fire a moment before the context's.
func (y *Relay) over(ctx context.Context, c *call) bool {
	return ctx.Err() != nil || !y.config.Now().Before(c.deadline)
}

// giveUp ends a request without a whole answer of a target.
func (y *Relay) giveUp(ctx context.Context, c *call, last refusal) bool {
	if c.wrote {
		c.outcome.Reason = last.reason
		return true
	}
	switch {
	case c.ranOnce && y.over(ctx, c):
		last = refusal{status: http.StatusGatewayTimeout, reason: "timeout"}
	case c.ranOnce && !c.route.MayRepeat():
		last = refusal{status: http.StatusBadGateway, reason: last.reason}
	case c.ranOnce:
		// It may have run, and may run again.
		last.status = http.StatusBadGateway
	case y.over(ctx, c):
		last = refusal{http.StatusServiceUnavailable, "timeout_waiting", soon}
	}
	y.refuse(c, last)
	return false
}

// mayGoOn says whether another target may be tried.
func (y *Relay) mayGoOn(c *call, r result) bool {
	if r.sent && r.ran && !c.route.MayRepeat() {
		return false
	}
	limit := max(c.route.MaxAttempts, 1)
	if c.attempts >= limit && (r.sent || c.attempts > limit) {
		return false
	}
	const maxFailed = 4 // targets that took no connection, in a row
	if len(c.failed) >= limit+maxFailed {
		return false
	}
	if !r.sent {
		return true // nobody was burdened
	}
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.strikes.Strikes(y.config.Now(), c.fingerprint) >= strikesToRefuse {
		return false
	}
	return y.budget(c.service.Name).Retry()
}

// choose picks a target: by the group's leader, or by the entry's own view.
func (y *Relay) choose(ctx context.Context, c *call) (registry.Target, place, *refusal) {
	targets := y.config.Board.Targets()
	none := place{release: func() {}}
	if needsPlace(c.service) {
		p := y.config.Places.ask(ctx, y.askFor(c, targets))
		if p.refused {
			return registry.Target{}, none, &refusal{http.StatusServiceUnavailable, "no_place", p.comeIn}
		}
		if p.engine != "" {
			if t, ok := y.serving(c, p.engine); ok {
				return t, p, nil
			}
			p.release()
		}
	}
	t, ok := y.loads.pick(y.config.Now(), targets.Serving(c.service.Name), c.failed, y.config.Places.slow(c.service.Name), y.config.Zone)
	if !ok {
		return registry.Target{}, none, &refusal{http.StatusServiceUnavailable, "no_target", soon}
	}
	return t, none, nil
}

// serving returns the target at an engine's address when it takes the request.
func (y *Relay) serving(c *call, engine string) (registry.Target, bool) {
	t, ok := y.config.Board.Targets().AtAddress(engine)
	return t, ok && t.Service == c.service.Name && t.State == registry.Ready
}

// askFor says what the request needs.
func (y *Relay) askFor(c *call, targets registry.Registry) mesh.Ask {
	now := y.config.Now()
	left := c.deadline.Sub(now)
	start := min(max(c.route.Goal-firstEvent-now.Sub(c.began), 0), left)
	a := mesh.Ask{
		ID: c.envelope.ID, Service: c.service.Name, Organisation: c.organisation.Name, Fingerprint: c.fingerprint,
		Prompt: c.envelope.Prompt, Movable: y.movable(c),
		StartInMS: int(start.Milliseconds()), LatestInMS: int(max(start, min(lateWait, left)).Milliseconds()),
	}
	for _, id := range c.failed {
		if t, ok := targets.Target(id); ok {
			a.Not = append(a.Not, t.Address)
		}
	}
	return a
}

// finish logs and counts a request.
func (y *Relay) finish(c *call, broken bool) {
	c.outcome.Took = y.config.Now().Sub(c.began)
	c.outcome.Attempts = c.attempts
	if !c.first.IsZero() {
		c.outcome.First = c.first.Sub(c.began)
	}
	gone := c.request.Context().Err() != nil
	event := y.config.Log.Info()
	if c.outcome.Reason != "" || broken {
		event = y.config.Log.Warn()
	}
	age, _ := y.config.Board.Age()
	event.Str("request", c.envelope.ID).Str("organisation", c.outcome.Organisation).Str("route", c.outcome.Route).
		Str("service", c.outcome.Service).Str("target", c.target).Int("attempts", c.attempts).Int("status", c.outcome.Status).
		Str("reason", c.outcome.Reason).Bool("broken", broken).Bool("caller_gone", gone).Dur("took", c.outcome.Took).
		Dur("first", c.outcome.First).Int64("version", c.version).Dur("version_age", age).Msg("request ended")
	y.config.Observe(c.outcome)
}

// strike notes a target that died as it ran the request.
func (y *Relay) strike(c *call, t registry.Target) {
	y.mu.Lock()
	s := y.strikes.Add(y.config.Now(), c.fingerprint, t.ID)
	count := y.strikes.Strikes(y.config.Now(), c.fingerprint)
	y.mu.Unlock()
	y.config.Log.Warn().Str("request", c.envelope.ID).Str("target", t.ID).Int("strikes", count).Msg("target died as it ran the request")
	y.config.Strike(s)
}

// outgoing is the request as a target gets it.
func (y *Relay) outgoing(c *call, t registry.Target) *http.Request {
	h := c.request.Header.Clone()
	removeHopByHop(h)
	y.config.Wire.Prepare(h, c.envelope, Sending{
		Target: t.ID, Organisation: c.organisation.Name, Left: c.deadline.Sub(y.config.Now()), After: c.after,
	})
	if _, named := h["User-Agent"]; !named {
		h["User-Agent"] = []string{""} // else the library names itself
	}
	u := *c.request.URL
	u.Scheme, u.Host = "http", t.Address
	if len(c.request.RequestURI) > 1 && c.request.RequestURI[0] == '/' && c.request.RequestURI[1] != '/' {
		u.Opaque = c.request.RequestURI // exactly as it came
		u.RawQuery = ""
	}
	out := &http.Request{
		Method: c.request.Method, URL: &u, Host: c.request.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(c.body)),
	}
	if len(c.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return out
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

func removeHopByHop(h http.Header) {
	for _, name := range h.Values("Connection") {
		h.Del(name)
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
