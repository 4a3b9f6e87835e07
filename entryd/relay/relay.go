package relay

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/entryd/storeview"
	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/daemon"
	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/httpclient"
	"camphormill.dev/parts/limit"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/registry"
	"camphormill.dev/parts/routes"
)

const (
	// defaultRetryAfter is the retry-after for failures that usually clear within a
	// moment, such as an entry that has not read its configuration yet.
	defaultRetryAfter = 300 * time.Millisecond
	// drainRetryAfter is the retry-after of a draining entry. It is short because another
	// entry can serve the request.
	drainRetryAfter = 10 * time.Millisecond
	// noEntryRetryAfter is that of a draining entry which knows of no other that accepts callers.
	noEntryRetryAfter = time.Second
	// firstEventTime is the time an idle engine needs for the prompt and the first passes,
	// up to the first event of a stream.
	firstEventTime = 200 * time.Millisecond
	// overdueMaxWait is how long a request may wait for a slot, from the slot request on,
	// even if it then misses its route's goal for the first byte.
	overdueMaxWait = 700 * time.Millisecond
	// nonRepeatableMaxIdle bounds the idle time of a reused connection for a request that
	// must not be repeated: the target may be about to close a connection that was idle
	// longer.
	nonRepeatableMaxIdle = 400 * time.Millisecond
)

// Config holds the dependencies and limits of a Relay.
type Config struct {
	Zone     string
	Protocol Protocol
	View     *storeview.View
	Slots    *SlotClient
	Limits   *Limits
	Client   *httpclient.Client
	// Budget bounds the bodies of requests and the responses that are held.
	Budget *bytebudget.Budget
	Now    func() time.Time
	// MaxProofAge bounds the age of the routes' freshness proof, that is, the time since
	// the routes were last known to be in force. Requests are refused while the proof is
	// older, so that a revoked key does not stay valid longer.
	MaxProofAge time.Duration
	// RetryLimit bounds the retries of all entries together, for each service. EntryCount returns how many
	// entries may be running, 0 as long as that is not known.
	RetryLimit limit.RetryLimit
	EntryCount func() int
	// SteadyClock is the clock of the retry budgets. It runs on while the host is suspended.
	SteadyClock func() freshness.Instant
	// OnStrike is called with each strike that this relay records, to notify the peers that
	// a request killed a target.
	OnStrike func(s quarantine.Strike)
	// ShareParts sends what this relay knows of prompt parts to the other entries. If query is
	// set, they answer with what they know of the same parts. It must not block.
	ShareParts func(records []quarantine.PartRecord, query bool)
	// OnRetry is called for each retry that was due.
	OnRetry func(r Retry)
	// OnTargetDeath is called for each request whose target died while it ran the request.
	OnTargetDeath func(service string)
	// Dial opens the connection that tells whether a target lives.
	Dial func(network, address string, timeout time.Duration) (net.Conn, error)
	// OnOutcome is called at the end of each request.
	OnOutcome func(o Outcome)
	Log       zerolog.Logger
}

// Outcome describes how one request ended.
type Outcome struct {
	Organisation    string
	Route           string
	Service         string
	Status          int
	Reason          string // why the relay refused or ended the request; empty for a target's response
	Duration        time.Duration
	TimeToFirstByte time.Duration // time to the first byte of the response; 0 if none was sent
	Attempts        int           // attempts in which the request was, or may have been, sent to a target
	Broken          []BrokenResponse
	FailedResumes   int // responses of targets that were to resume a stream and did not
}

// Relay is the HTTP handler for callers' requests. It is safe for concurrent use.
type Relay struct {
	config    Config
	startedAt freshness.Instant
	loads     *loadTracker
	// ending is done when EndRequests has been called.
	ending      context.Context
	endRequests context.CancelFunc

	mu            sync.Mutex
	retryBudgets  map[string]*limit.RetryBudget
	strikes       *quarantine.List
	parts         *quarantine.PartList
	lost          []lostRequest // whose targets may have died; oldest first
	drain         *Drain        // nil unless the entry is about to stop
	responseTimes responseTimes
}

// New returns a relay that has just started, without strikes.
func New(c Config) *Relay {
	ending, endRequests := context.WithCancel(context.Background())
	return &Relay{config: c, startedAt: c.SteadyClock(), ending: ending, endRequests: endRequests, loads: newLoadTracker(), retryBudgets: map[string]*limit.RetryBudget{}, strikes: quarantine.NewList(), parts: quarantine.NewPartList()}
}

// MergeStrike adds a strike reported by a peer. Its end must be a time of the local clock.
func (rl *Relay) MergeStrike(s quarantine.Strike) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.strikes.Merge(rl.config.Now(), s)
}

// PruneTargets is called with each new state of the registry. It drops the load state and the rate
// limits of targets that are no longer registered.
func (rl *Relay) PruneTargets(r registry.Registry) {
	rl.recordRestarts(r)
	rl.loads.prune(r)
	rl.config.Limits.prune(r)
}

// call is the state of one request.
type call struct {
	info          RequestInfo
	organisation  routes.Organisation
	route         routes.Route
	priority      *routes.Priority // nil if the configuration calls for none
	service       routes.Service
	request       *http.Request
	body          bytebudget.Body
	bodyHold      *bytebudget.Hold // of the body; nil if it is not counted
	startedAt     time.Time
	deadline      time.Time
	limits        routes.Limits
	fingerprint   uint64
	parts         []quarantine.PartID // shared parts of the prompt
	routesVersion int64
	intoStop      time.Duration // how long the entry had been stopping when the request came; 0 if it had not
	acceptedBy    stopBasis     // empty if it came before the stop, or was refused before that was decided

	writer      http.ResponseWriter
	headSent    bool // the response header has been sent
	firstByteAt time.Time
	lastEventID string // ID of the last event with an ID that was sent to the caller
	// unresumable is set if events without an ID have been sent to the caller after it. It is also
	// read by moves of the request.
	unresumable    atomic.Bool
	events         int           // number of events sent to the caller
	lastEventAt    time.Time     // when the newest of them was sent
	longestPause   time.Duration // between two of them
	attemptEvents  int           // those of the latest attempt
	sentAt         time.Time     // when the latest attempt was sent; zero if there was none
	attempts       int           // as in Outcome
	refusedResumes int           // attempts to resume the stream that a target did not run
	mayHaveRun     bool          // a target may have run the request
	failedTargets  []string      // IDs of targets that should not be selected again
	retryCause     string        // why the next attempt is a retry, as in Retry
	// holdsRetry is set while a retry has been withdrawn for the request and not been sent. Moves set it too.
	holdsRetry atomic.Bool
	outcome    Outcome
	targetID   string             // ID of the target of the latest attempt
	framing    httpclient.Framing // of the latest response; empty if there was none
	breaks     []responseBreak    // responses that ended early, in order
}

// ServeHTTP relays one request. It aborts the connection when the response ended early.
func (rl *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{request: r, writer: w, startedAt: rl.config.Now(), info: rl.config.Protocol.Read(r)}
	w.Header()["Date"] = nil // otherwise net/http adds its own Date
	if rl.draining() {
		w.Header().Set("Connection", "close")
	}
	defer func() { c.bodyHold.Close() }()
	broken := rl.serve(c)
	rl.reportOutcome(c, broken)
	if broken {
		daemon.CutOff(w, r)
	}
}

// serve answers the request and reports whether its response ended early.
func (rl *Relay) serve(c *call) bool {
	if failure := rl.admit(c); failure != nil {
		rl.refuse(c, *failure)
		return false
	}
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(rl.ending, cancel)()
	return rl.forward(ctx, c)
}

// refuse sends an error response of the relay itself, with Retry-After in seconds, rounded
// up to hundredths.
func (rl *Relay) refuse(c *call, f refusal) {
	c.outcome.Status, c.outcome.Reason = f.status, f.reason
	h := c.writer.Header()
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(f.retryAfter.Seconds()*100)/100, 'f', -1, 64))
	}
	c.headSent = true
	c.writer.WriteHeader(f.status)
}

// forward sends the request to targets until one has answered or no retry is allowed. It
// reports whether the response ended early.
func (rl *Relay) forward(ctx context.Context, c *call) bool {
	defer rl.returnRetry(c)
	var lastRefusal refusal
	for {
		target, grant, refused := rl.selectTarget(ctx, c)
		if refused != nil {
			lastRefusal = *refused
			break
		}
		if rl.mustLeave(c) {
			grant.release(c.longestPause)
			lastRefusal = refusal{http.StatusServiceUnavailable, "leaving", rl.leavingRetryAfter()}
			break
		}
		result := rl.attempt(ctx, c, target, grant)
		if result.moved { // the request holds a retry
			if next, ok := rl.readyTargetAt(c, rl.config.Slots.currentEngine(grant)); ok {
				c.failedTargets = append(c.failedTargets, target.ID)
				target = next
				result = rl.attempt(ctx, c, target, grant)
			}
		}
		grant.release(c.longestPause)
		if result.answered {
			return result.broken
		}
		if result.withheld {
			break
		}
		lastRefusal = result.refusal
		c.failedTargets = append(c.failedTargets, target.ID)
		if rl.ended(ctx, c) || !rl.mayRetry(c, result) {
			break
		}
	}
	return rl.respondFailure(ctx, c, lastRefusal)
}

// movable reports whether the group's leader may move the attempt that is about to start:
// the route must allow a repeated run and another attempt.
func (rl *Relay) movable(c *call) bool {
	return c.route.MayRepeat() && c.attempts+1 < c.route.MaxAttempts
}

// ended reports whether the caller has left or the deadline has passed. The connection's
// own deadline may fire a moment before the context's.
func (rl *Relay) ended(ctx context.Context, c *call) bool {
	return ctx.Err() != nil || !rl.config.Now().Before(c.deadline)
}

// respondFailure ends a request for which no target gave a complete response. It reports
// whether a response had been started.
func (rl *Relay) respondFailure(ctx context.Context, c *call, lastRefusal refusal) bool {
	if c.headSent {
		c.outcome.Reason = lastRefusal.reason
		return true
	}
	switch {
	case c.mayHaveRun && rl.requestsEnded():
		lastRefusal = refusal{status: http.StatusGatewayTimeout, reason: "stopped"}
	case rl.requestsEnded():
		lastRefusal = refusal{http.StatusServiceUnavailable, "leaving", rl.leavingRetryAfter()}
	case c.mayHaveRun && rl.ended(ctx, c):
		lastRefusal = refusal{status: http.StatusGatewayTimeout, reason: "timeout"}
	case c.mayHaveRun && !c.route.MayRepeat():
		lastRefusal = refusal{status: http.StatusBadGateway, reason: lastRefusal.reason}
	case c.mayHaveRun:
		// The request may have run and may run again, so a retry-after stays in the response.
		lastRefusal.status = http.StatusBadGateway
	case rl.ended(ctx, c):
		lastRefusal = refusal{http.StatusServiceUnavailable, "timeout_waiting", defaultRetryAfter}
	}
	rl.refuse(c, lastRefusal)
	return false
}

// mayRetry reports whether the request may be sent to another target. If the last target may have received the
// request, the service's budget must allow a retry, which is withdrawn when the request is sent.
func (rl *Relay) mayRetry(c *call, r result) bool {
	if r.quarantined {
		return false
	}
	if r.sent && r.mayHaveRun && !c.route.MayRepeat() {
		return false
	}
	maxAttempts, attempts := max(c.route.MaxAttempts, 1), c.attempts-c.refusedResumes
	// After maxAttempts attempts, another target is tried only if the last was not reached.
	if attempts >= maxAttempts && (r.sent || attempts > maxAttempts) {
		return false
	}
	const maxUnreached = 4 // targets beyond maxAttempts that may fail, because an unreached target does not count as an attempt
	if len(c.failedTargets) >= maxAttempts+maxUnreached {
		return false
	}
	if !r.sent {
		return true // the last target did not receive the request, so the retry costs no budget
	}
	rl.mu.Lock()
	quarantined := rl.strikes.Strikes(rl.config.Now(), c.fingerprint) >= quarantineStrikes
	rl.mu.Unlock()
	c.retryCause = r.refusal.reason
	return !quarantined && rl.retryAvailable(c)
}

// selectTarget asks the group's leader for a slot. If the service has no group, the leader
// does not respond, or the engine of the slot is not a ready target, it picks a target by
// the entry's own load data. The caller must call release of the returned grant.
func (rl *Relay) selectTarget(ctx context.Context, c *call) (registry.Target, slotGrant, *refusal) {
	targets := rl.config.View.Targets()
	noGrant := slotGrant{release: func(time.Duration) {}}
	if needsSlot(c.service) {
		grant := rl.config.Slots.requestSlot(ctx, rl.newSlotRequest(c, targets))
		if grant.refused {
			return registry.Target{}, noGrant, &refusal{http.StatusServiceUnavailable, "no_place", grant.retryAfter}
		}
		if grant.engine != "" {
			if t, ok := rl.readyTargetAt(c, grant.engine); ok && !slices.Contains(c.failedTargets, t.ID) {
				return t, grant, nil
			}
			grant.release(c.longestPause)
		}
	}
	t, refused := rl.pickWithinLimits(ctx, c, rl.withoutEvacuated(targets.Serving(c.service.Name)))
	return t, noGrant, refused
}

// withoutEvacuated returns the targets that are in no evacuated zone.
func (rl *Relay) withoutEvacuated(targets []registry.Target) []registry.Target {
	table := rl.config.View.Routes()
	if len(table.EvacuatedZones()) == 0 {
		return targets
	}
	return slices.DeleteFunc(targets, func(t registry.Target) bool { return table.IsEvacuated(t.Zone) })
}

// readyTargetAt returns the target at an engine's address if it is ready, belongs to the
// request's service, wants requests and is in no evacuated zone.
func (rl *Relay) readyTargetAt(c *call, engine string) (registry.Target, bool) {
	t, ok := rl.config.View.Targets().AtAddress(engine)
	return t, ok && t.Service == c.service.Name && t.State == registry.Ready && rl.loads.available(rl.config.Now(), t) &&
		!rl.config.View.Routes().IsEvacuated(t.Zone)
}

// newSlotRequest returns the message that asks the group's leader for a slot.
func (rl *Relay) newSlotRequest(c *call, targets registry.Registry) mesh.SlotRequest {
	now := rl.config.Now()
	remaining := c.deadline.Sub(now)
	startWithin := min(max(c.route.FirstByteGoal-firstEventTime-now.Sub(c.startedAt), 0), remaining)
	request := mesh.SlotRequest{
		ID: c.info.AttemptID, Service: c.service.Name, Organisation: c.organisation.Name, Fingerprint: c.fingerprint,
		PromptTokens: c.info.PromptTokens, OutputTokens: c.info.OutputTokens, Priority: c.priority, Movable: rl.movable(c),
		StartInMS: int(startWithin.Milliseconds()), LatestInMS: int(max(startWithin, min(overdueMaxWait, remaining)).Milliseconds()),
		EndInMS: int(remaining.Milliseconds()), PauseGoalMS: int(c.route.PauseGoal.Milliseconds()),
	}
	request.Limits = rl.config.Limits.ofEngines(targets, c.service)
	request.EvacuatedZones = rl.config.View.Routes().EvacuatedZones()
	request.ExcludedEngines = rl.loads.unavailable(now, targets, c.service.Name)
	for _, id := range c.failedTargets {
		if t, ok := targets.Target(id); ok {
			request.ExcludedEngines = append(request.ExcludedEngines, t.Address)
		}
	}
	return request
}

// reportOutcome logs the request and passes its outcome to the observer.
func (rl *Relay) reportOutcome(c *call, broken bool) {
	c.outcome.Duration = rl.config.Now().Sub(c.startedAt)
	c.outcome.Attempts = c.attempts
	if !c.firstByteAt.IsZero() {
		c.outcome.TimeToFirstByte = c.firstByteAt.Sub(c.startedAt)
	}
	callerGone := c.request.Context().Err() != nil
	switch {
	case callerGone && rl.cutsOff(): // the entry has closed the connection, not the caller
		c.outcome.Reason, callerGone = "stopped", false
	case !broken && c.outcome.Reason == "":
		rl.recordDuration(c)
	}
	rl.reportBreaks(c, broken)
	event := rl.config.Log.Info()
	if c.outcome.Reason != "" || broken {
		event = rl.config.Log.Warn()
	}
	sentAfter := time.Duration(0)
	if !c.sentAt.IsZero() {
		sentAfter = c.sentAt.Sub(c.startedAt)
	}
	age, _ := rl.config.View.ProofAge()
	event.Str("request", c.info.AttemptID).Str("organisation", c.outcome.Organisation).Str("route", c.outcome.Route).
		Str("service", c.outcome.Service).Str("target", c.targetID).Int("attempts", c.attempts).Int("status", c.outcome.Status).
		Strs("parts", formatParts(c.info.SharedParts)).Int("events", c.events).Str("framing", string(c.framing)).
		Str("reason", c.outcome.Reason).Bool("broken", broken).Bool("caller_gone", callerGone).Dur("took", c.outcome.Duration).Dur("sent", sentAfter).
		Dur("first", c.outcome.TimeToFirstByte).Dur("longest_pause", c.longestPause).Int64("version", c.routesVersion).Dur("version_age", age)
	if c.intoStop > 0 {
		event.Dur("into_stop", c.intoStop).Str("accepted_by", string(c.acceptedBy))
	}
	event.Msg("request ended")
	rl.config.OnOutcome(c.outcome)
}

// targetRequest returns the request to send to a target: the caller's request with the
// headers set by Protocol.SetHeaders. Its URL is left out, because the request target goes out as it came in.
func (rl *Relay) targetRequest(c *call, t registry.Target) *http.Request {
	h := c.request.Header.Clone()
	removeHopByHop(h)
	rl.config.Protocol.SetHeaders(h, c.info, TargetHeaders{
		TargetID: t.ID, Organisation: c.organisation.Name, Priority: c.priority, Remaining: c.deadline.Sub(rl.config.Now()), LastEventID: c.lastEventID,
	})
	out := &http.Request{
		Method: c.request.Method, Host: c.request.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: c.body.Len(),
	}
	if c.body.Len() > 0 {
		out.Body = io.NopCloser(c.body.Reader())
	}
	return out
}

// hopByHop lists the headers that are not passed on: those that concern a single
// connection, and Content-Length, which is set anew for each message.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// removeHopByHop removes the headers in hopByHop and those that Connection names.
func removeHopByHop(h http.Header) {
	for _, name := range h.Values("Connection") {
		h.Del(name)
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
