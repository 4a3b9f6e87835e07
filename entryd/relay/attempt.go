package relay

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/httpclient"
	"camphormill.dev/parts/registry"
	"camphormill.dev/parts/routes"
)

// maxBufferedBody is the size up to which a response is read completely before any of it
// is sent on, so that a request whose response ends early can still be retried.
const maxBufferedBody = 256 << 10

// maxResponseBody bounds the body of a response. It is far above what services return; a faulty target
// may send bytes without end.
const maxResponseBody = 64 << 20

// discardTimeout bounds the wait for the body of a response that says that the request did not run.
const discardTimeout = 20 * time.Millisecond

// result describes how an attempt ended.
type result struct {
	answered   bool // the caller has a response, complete or cut off
	broken     bool // the response to the caller is incomplete
	sent       bool // the target may have received the request
	mayHaveRun bool // the target may have run the request
	moved      bool // the leader moved the request to another target
	// quarantined is set if the request was not sent because of its prompt parts.
	quarantined bool
	// withheld is set if the request was not sent because the retry budget was spent meanwhile.
	withheld bool
	refusal  refusal
}

// errMoved is the cancellation cause of an attempt whose request continues at another
// target.
var errMoved = errors.New("request was moved to another target")

// wasMoved reports whether the attempt was cancelled because its request was moved.
func wasMoved(ctx context.Context) bool { return context.Cause(ctx) == errMoved }

// attempt sends the request to one target and relays its response. Only relayResponse may
// make a further attempt, after a server error.
func (rl *Relay) attempt(ctx context.Context, c *call, t registry.Target, grant slotGrant) result {
	if refused := rl.startAttempt(c); refused != nil {
		return result{quarantined: true, refusal: *refused}
	}
	if !rl.acquireRetry(c) {
		return result{withheld: true}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if rl.movable(c) {
		rl.config.Slots.setCancel(grant, func() bool { return !c.unresumable.Load() && rl.cancelForMove(c, cancel) })
	}
	rl.loads.requestStarted(t.ID)
	defer rl.loads.requestEnded(t.ID)
	c.targetID = t.ID
	maxIdle := time.Hour
	switch {
	case c.info.AttemptID == "":
		maxIdle = 0 // nothing tells its response from a late one to another request
	case !c.route.MayRepeat():
		maxIdle = nonRepeatableMaxIdle
	}
	c.sentAt = rl.config.Now()
	out := rl.targetRequest(c, t)
	response, err := rl.config.Client.Do(ctx, httpclient.Request{Address: t.Address, HTTP: out, Target: c.request.RequestURI, MaxIdle: maxIdle, Deadline: c.deadline})
	if err != nil {
		return rl.handleNoResponse(ctx, c, t, err)
	}
	defer response.Close()
	c.attempts++
	if load, ok := rl.config.Protocol.ReportedLoad(response.Response); ok {
		rl.loads.recordReport(rl.config.Now(), t.ID, load)
	}
	rl.recordLimit(c, t, response.Response)
	rl.recordAvailability(c, t, response.Response)
	class := rl.config.Protocol.Classify(response.Response)
	if class != Ran {
		if c.headSent {
			c.refusedResumes++
		}
		response.Discard(maxBufferedBody, discardTimeout)
		fault := rl.config.Protocol.FailedTarget(response.Response)
		rl.config.Log.Info().Str("request", c.info.AttemptID).Str("target", t.ID).Int("status", response.StatusCode).
			Str("class", string(class)).Str("fault", fault).Msg("target did not run the request")
		retryAfter := defaultRetryAfter
		if needsSlot(c.service) {
			retryAfter = rl.config.Slots.closedRetryAfter(c.service.Name)
		}
		rl.loads.recordRefusal(rl.config.Now(), t.ID, class == WrongTarget)
		if class == WrongTarget {
			rl.config.View.RefreshTargets(ctx) // the target is gone, or restarted under another ID
		}
		return result{sent: true, refusal: refusal{http.StatusServiceUnavailable, "target_refused", retryAfter}}
	}
	return rl.relayResponse(ctx, c, t, response)
}

// cancelForMove cancels an attempt whose request is moved. A move costs one retry of the
// service's budget; if the budget is spent, the attempt continues and false is returned.
func (rl *Relay) cancelForMove(c *call, cancel context.CancelCauseFunc) bool {
	if !rl.withdrawRetry(c, causeMoved) {
		return false
	}
	c.holdsRetry.Store(true)
	cancel(errMoved)
	return true
}

// handleNoResponse records an attempt that got no response, and returns what it means for
// the request.
func (rl *Relay) handleNoResponse(ctx context.Context, c *call, t registry.Target, err error) result {
	sent := httpclient.WasSent(err)
	rl.config.Log.Info().Str("request", c.info.AttemptID).Str("target", t.ID).Bool("sent", sent).Err(err).Msg("attempt got no response")
	if !sent && c.attempts > 0 {
		c.holdsRetry.Store(true)
	}
	r := result{sent: sent, mayHaveRun: sent, refusal: refusal{http.StatusServiceUnavailable, "target_unreached", defaultRetryAfter}}
	if sent {
		c.attempts++
		c.mayHaveRun = true
		r.refusal = refusal{status: http.StatusBadGateway, reason: "answer_lost"}
	}
	if wasMoved(ctx) {
		r.moved = true
		return r
	}
	if rl.ended(ctx, c) {
		return r // the caller or the deadline ended the attempt, not the target
	}
	rl.loads.recordFailure(rl.config.Now(), t.ID, sent)
	if sent {
		rl.strikeIfDead(c, t)
	}
	return r
}

// relayResponse sends a target's response to the caller. If the response is a server error
// and the route is idempotent, it first tries another target if that is allowed, and sends
// the server error only if the caller gets no response from the other attempt.
func (rl *Relay) relayResponse(ctx context.Context, c *call, t registry.Target, a *httpclient.Answer) result {
	c.mayHaveRun = true
	c.framing = a.Framing()
	if c.headSent && !resumesStream(c, a) {
		return rl.handleFailedResume(c, t, a)
	}
	if c.route.Repeat == routes.Stream && a.StatusCode < http.StatusMultipleChoices && isEventStream(a.Header) {
		return rl.relayEvents(ctx, c, t, a)
	}
	hold := rl.config.Budget.Open(func() {})
	hold.Settle() // the target decides how fast its response comes, not the caller
	defer hold.Close()
	body, err := bytebudget.ReadPrefix(a.Body, hold, maxBufferedBody, a.ContentLength)
	whole := err == io.EOF
	if whole {
		err = rl.checkEnd(ctx, t, a, body.Last(lastBytes))
	}
	if err != nil {
		return rl.handleCutOff(ctx, c, t, newBodyBreak(a, body.Len(), err))
	}
	if a.StatusCode >= http.StatusInternalServerError {
		rl.loads.recordServerError(rl.config.Now(), t.ID)
		if c.route.Repeat == routes.Idempotent && c.attempts < c.route.MaxAttempts && rl.mayRetry(c, result{sent: true, mayHaveRun: true, refusal: refusal{reason: causeServerError}}) {
			rl.config.Log.Info().Str("request", c.info.AttemptID).Str("target", t.ID).Int("status", a.StatusCode).Msg("target answered with a server error; retrying at another target")
			c.failedTargets = append(c.failedTargets, t.ID)
			next, grant, refused := rl.selectTarget(ctx, c)
			if refused == nil && next.ID != t.ID {
				retried := rl.attempt(ctx, c, next, grant)
				grant.release(c.longestPause)
				if retried.answered {
					return retried
				}
			} else if refused == nil {
				grant.release(c.longestPause)
			}
		}
	} else {
		rl.loads.recordSuccess(t.ID)
		rl.recordAnswered(c)
	}
	if saysNotRun(a.StatusCode) && !c.route.MayRepeat() {
		rl.config.Log.Warn().Str("request", c.info.AttemptID).Str("target", t.ID).Int("status", a.StatusCode).
			Msg("target answered as if it had not run the request, without saying so")
		return result{sent: true, mayHaveRun: true, refusal: refusal{status: http.StatusBadGateway, reason: "unproven_refusal"}}
	}
	c.releaseBody()
	rl.copyHeader(c, a)
	connection := http.NewResponseController(c.writer)
	hold.Unsettle(func() { _ = connection.SetWriteDeadline(time.Unix(1, 0)) })
	if !whole {
		return rl.relayRest(ctx, c, t, a, body, hold)
	}
	if a.ContentLength < 0 && a.Framing() != httpclient.FramedByLength {
		c.writer.Header().Set("Content-Length", strconv.FormatInt(body.Len(), 10))
	}
	c.writer.WriteHeader(a.StatusCode)
	c.firstByteAt = rl.config.Now()
	return result{answered: true, broken: writeBody(c.writer, body, hold) != nil}
}

// writeBody writes a body, for which there is a hold, to the caller.
func writeBody(w io.Writer, body bytebudget.Body, hold *bytebudget.Hold) error {
	for _, block := range body.Blocks() {
		if _, err := w.Write(block); err != nil {
			return err
		}
		hold.Progress()
	}
	return nil
}

// saysNotRun reports whether callers take the status for a promise that the request did not run, and never
// will.
func saysNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayRest sends a response that is larger than what may be held, beginning with the part
// read so far, which it releases. It cuts off a response that is larger than maxResponseBody.
func (rl *Relay) relayRest(ctx context.Context, c *call, t registry.Target, a *httpclient.Answer, prefix bytebudget.Body, hold *bytebudget.Hold) result {
	c.writer.WriteHeader(a.StatusCode)
	c.firstByteAt = rl.config.Now()
	if writeBody(c.writer, prefix, hold) != nil {
		return result{answered: true, broken: true}
	}
	hold.Close()
	sent := prefix.Len()
	rest := maxResponseBody - sent
	body := &bodyReader{source: io.LimitReader(a.Body, rest+1), last: prefix.Last(lastBytes)}
	n, err := io.Copy(c.writer, body)
	if body.err == nil && err == nil && n <= rest {
		body.err = rl.checkEnd(ctx, t, a, body.last)
		err = body.err
	}
	if body.err != nil {
		r := rl.handleCutOff(ctx, c, t, newBodyBreak(a, sent+n, body.err))
		c.outcome.Reason = r.refusal.reason
	}
	if n > rest {
		rl.config.Log.Warn().Str("request", c.info.AttemptID).Str("target", t.ID).Int("limit_bytes", maxResponseBody).Msg("response exceeds the size limit; cutting it off")
		rl.loads.recordFailure(rl.config.Now(), t.ID, true)
		c.outcome.Reason = "response_too_large"
	}
	return result{answered: true, broken: err != nil || n > rest}
}

// checkEnd returns an error if a body that has ended regularly was broken off all the same. last are the
// last bytes of the body.
func (rl *Relay) checkEnd(ctx context.Context, t registry.Target, a *httpclient.Answer, last []byte) error {
	if err := checkLastEvent(a, last); err != nil {
		return err
	}
	if rl.diedAtEnd(ctx, t, a) {
		return errDiedAtEnd
	}
	return nil
}

// lastBytes is how much of a body bodyReader keeps, enough for the end of an event.
const lastBytes = len("\r\n\r\n")

// bodyReader reads the rest of a body. It records an error of its source and the last bytes of the body.
type bodyReader struct {
	source io.Reader
	err    error // nil at a regular end
	last   []byte
}

// Read reads from the source.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err != io.EOF {
		r.err = err
	}
	last := append(slices.Clone(r.last), p[max(0, n-lastBytes):n]...)
	r.last = last[max(0, len(last)-lastBytes):]
	return n, err
}

// handleCutOff records a response that ended early, and returns what it means for the
// request.
func (rl *Relay) handleCutOff(ctx context.Context, c *call, t registry.Target, b responseBreak) result {
	if wasMoved(ctx) {
		return result{moved: true, sent: true, mayHaveRun: true, refusal: refusal{status: http.StatusBadGateway, reason: "answer_broken"}}
	}
	b.targetID, b.events, b.after = t.ID, c.events, rl.config.Now().Sub(c.startedAt)
	if ctx.Err() != nil && c.request.Context().Err() != nil {
		b.endedBy = endedByCaller
	}
	c.breaks = append(c.breaks, b)
	if !rl.ended(ctx, c) {
		rl.loads.recordFailure(rl.config.Now(), t.ID, true)
		rl.strikeIfDead(c, t)
	}
	return result{sent: true, mayHaveRun: true, refusal: refusal{status: http.StatusBadGateway, reason: "answer_broken"}}
}

// copyHeader copies a response's header to the caller's response and records its status
// in the outcome. It counts the header as sent, so the caller must call WriteHeader next.
func (rl *Relay) copyHeader(c *call, a *httpclient.Answer) {
	h := c.writer.Header()
	connection := h.Get("Connection")
	for name, values := range a.Header {
		h[name] = values
	}
	length := a.Header.Get("Content-Length")
	removeHopByHop(h)
	if length != "" && a.ContentLength >= 0 {
		h.Set("Content-Length", length)
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
	if _, present := a.Header["Date"]; !present {
		h["Date"] = nil // otherwise net/http adds its own Date
	}
	if _, present := a.Header["Content-Type"]; !present {
		h["Content-Type"] = nil // otherwise net/http guesses one
	}
	c.headSent = true
	c.outcome.Status = a.StatusCode
}

func isEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}
