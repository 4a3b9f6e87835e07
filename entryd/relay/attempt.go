package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/parts/exchange"
	"camphormill.dev/parts/registry"
	"camphormill.dev/parts/routes"
)

// maxWhole bounds an answer that is read whole before any of it goes on, so that
// a broken one may be asked for again.
const maxWhole = 256 << 10

// result is how an attempt ended.
type result struct {
	answered bool // the caller has its answer, whole or broken
	broken   bool
	sent     bool // the target may have seen it
	ran      bool // the target may have run it
	moved    bool // it was left for another target
	refusal  refusal
}

// errMoved ends an attempt whose request goes on at another target.
var errMoved = errors.New("the request goes on at another target")

// moved says whether the attempt was left for another target.
func moved(ctx context.Context) bool { return context.Cause(ctx) == errMoved }

// attempt sends the request to one target.
func (y *Relay) attempt(ctx context.Context, c *call, t registry.Target, at place) result {
	ctx, leave := context.WithCancelCause(ctx)
	defer leave(nil)
	if y.movable(c) {
		y.config.Places.runs(at, func() bool { return y.leave(c.service.Name, leave) })
	}
	y.loads.begin(t.ID)
	defer y.loads.end(t.ID)
	c.target = t.ID
	kept := time.Hour
	if !c.route.MayRepeat() {
		kept = keepFresh
	}
	out := y.outgoing(c, t)
	answer, err := y.config.Client.Do(ctx, exchange.Request{Address: t.Address, HTTP: out, MaxKept: kept, Deadline: c.deadline})
	if err != nil {
		return y.failed(ctx, c, t, err)
	}
	defer answer.Close()
	c.attempts++
	if load, ok := y.config.Wire.Load(answer.Response); ok {
		y.loads.told(y.config.Now(), t.ID, load)
	}
	class := y.config.Wire.Classify(answer.Response)
	if class != Ran {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxWhole))
		fault := y.config.Wire.Fault(answer.Response)
		y.config.Log.Info().Str("request", c.envelope.ID).Str("target", t.ID).Int("status", answer.StatusCode).
			Str("class", string(class)).Str("fault", fault).Msg("target did not run the request")
		comeIn := soon
		if needsPlace(c.service) {
			comeIn = groupReturn
		}
		y.loads.refused(y.config.Now(), t.ID, class == Foreign)
		if class == Foreign {
			y.config.Board.Refresh(ctx) // the target has gone, or started anew under another id
		}
		return result{sent: true, refusal: refusal{http.StatusServiceUnavailable, "target_refused", comeIn}}
	}
	return y.pass(ctx, c, t, answer)
}

// leave ends an attempt for a move, which counts as a retry.
func (y *Relay) leave(service string, leave context.CancelCauseFunc) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	if !y.budget(service).Retry() {
		return false
	}
	leave(errMoved)
	return true
}

// failed tells what an exchange without an answer means.
func (y *Relay) failed(ctx context.Context, c *call, t registry.Target, err error) result {
	sent := exchange.WasSent(err)
	y.config.Log.Info().Str("request", c.envelope.ID).Str("target", t.ID).Bool("sent", sent).Err(err).Msg("attempt has no answer")
	r := result{sent: sent, ran: sent, refusal: refusal{http.StatusServiceUnavailable, "target_unreached", soon}}
	if sent {
		c.attempts++
		c.ranOnce = true
		r.refusal = refusal{status: http.StatusBadGateway, reason: "answer_lost"}
	}
	if moved(ctx) {
		r.moved = true
		return r
	}
	if y.over(ctx, c) {
		return r // the caller or the time ended it, not the target
	}
	y.loads.failed(y.config.Now(), t.ID, sent)
	if sent {
		y.checkAlive(c, t)
	}
	return r
}

// checkAlive strikes the request when its target has died.
func (y *Relay) checkAlive(c *call, t registry.Target) {
	conn, err := net.DialTimeout("tcp", t.Address, aliveCheck)
	if err == nil {
		_ = conn.Close()
		return
	}
	y.strike(c, t)
}

// pass brings a target's answer to the caller.
func (y *Relay) pass(ctx context.Context, c *call, t registry.Target, a *exchange.Answer) result {
	c.ranOnce = true
	if c.route.Repeat == routes.Stream && a.StatusCode < http.StatusMultipleChoices && isEvents(a.Header) {
		return y.passEvents(ctx, c, t, a)
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, maxWhole))
	if err != nil {
		return y.brokenAnswer(ctx, c, t, err)
	}
	if a.StatusCode >= http.StatusInternalServerError {
		y.loads.erred(y.config.Now(), t.ID)
		if c.route.Repeat == routes.Idempotent && c.attempts < c.route.MaxAttempts && y.mayGoOn(c, result{sent: true, ran: true}) {
			y.config.Log.Info().Str("request", c.envelope.ID).Str("target", t.ID).Int("status", a.StatusCode).Msg("target failed; another is tried")
			c.failed = append(c.failed, t.ID)
			next, at, no := y.choose(ctx, c)
			if no == nil && next.ID != t.ID {
				again := y.attempt(ctx, c, next, at)
				at.release()
				if again.answered {
					return again
				}
			} else if no == nil {
				at.release()
			}
		}
	} else {
		y.loads.served(t.ID)
	}
	y.head(c, a)
	if int64(len(body)) == maxWhole {
		return y.passRest(c, a, body)
	}
	if a.ContentLength < 0 && a.Request != nil && a.Request.Method != http.MethodHead {
		c.out.Header().Set("Content-Length", itoa(len(body)))
	}
	c.out.WriteHeader(a.StatusCode)
	c.first = y.config.Now()
	_, err = c.out.Write(body)
	return result{answered: true, broken: err != nil}
}

// passRest goes on with an answer that is too long to be read whole first.
func (y *Relay) passRest(c *call, a *exchange.Answer, begun []byte) result {
	c.out.WriteHeader(a.StatusCode)
	c.first = y.config.Now()
	if _, err := c.out.Write(begun); err != nil {
		return result{answered: true, broken: true}
	}
	_, err := io.Copy(c.out, a.Body)
	return result{answered: true, broken: err != nil}
}

// brokenAnswer is an answer that ended early, with none of it passed on.
func (y *Relay) brokenAnswer(ctx context.Context, c *call, t registry.Target, err error) result {
	if moved(ctx) {
		return result{moved: true, sent: true, ran: true, refusal: refusal{status: http.StatusBadGateway, reason: "answer_broken"}}
	}
	y.config.Log.Info().Str("request", c.envelope.ID).Str("target", t.ID).Err(err).Msg("answer broke off")
	if !y.over(ctx, c) {
		y.loads.failed(y.config.Now(), t.ID, true)
		y.checkAlive(c, t)
	}
	return result{sent: true, ran: true, refusal: refusal{status: http.StatusBadGateway, reason: "answer_broken"}}
}

// head copies the head of an answer.
func (y *Relay) head(c *call, a *exchange.Answer) {
	h := c.out.Header()
	closing := h.Get("Connection")
	for name, values := range a.Header {
		h[name] = values
	}
	length := a.Header.Get("Content-Length")
	removeHopByHop(h)
	if length != "" && a.ContentLength >= 0 {
		h.Set("Content-Length", length)
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	if _, named := a.Header["Date"]; !named {
		h["Date"] = nil
	}
	if _, named := a.Header["Content-Type"]; !named {
		h["Content-Type"] = nil // else the library guesses one
	}
	c.wrote = true
	c.outcome.Status = a.StatusCode
}

func isEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}
