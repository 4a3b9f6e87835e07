package relay

import "camphormill.dev/parts/limit"

// Retry is a retry that was due: another target could have got the request.
type Retry struct {
	Service string
	Cause   string  // why a retry was due: the reason that the request would have ended with, or one of the constants below
	Sent    bool    // false if the retry budget withheld it
	Tokens  float64 // retries left in the budget of the service
	Entries int     // that share the reserve; 0 if their number is not known
}

// Causes of retries that are no reasons of ended requests.
const (
	causeServerError = "server_error" // the target answered with a server error
	causeMoved       = "moved"        // the leader of the group moved the request
)

// acquireRetry must be called right before a request is sent. If a target may have received the request before, a retry
// is withdrawn from the budget of its service, unless the request holds one. It reports whether the request may be sent.
func (rl *Relay) acquireRetry(c *call) bool {
	if c.attempts == 0 || c.holdsRetry.CompareAndSwap(true, false) {
		return true
	}
	return rl.withdrawRetry(c, c.retryCause)
}

// retryAvailable reports whether the budget of the request's service allows a retry now.
func (rl *Relay) retryAvailable(c *call) bool {
	if c.holdsRetry.Load() {
		return true
	}
	now, entries := rl.config.SteadyClock(), rl.config.EntryCount()
	rl.mu.Lock()
	tokens := rl.retryBudget(c.service.Name).Tokens(now, entries)
	rl.mu.Unlock()
	if tokens >= 1 {
		return true
	}
	rl.reportRetry(c, Retry{Service: c.service.Name, Cause: c.retryCause, Tokens: tokens, Entries: entries})
	return false
}

// withdrawRetry withdraws a retry from the budget of the request's service, and reports whether the budget
// allowed it.
func (rl *Relay) withdrawRetry(c *call, cause string) bool {
	now, entries := rl.config.SteadyClock(), rl.config.EntryCount()
	rl.mu.Lock()
	budget := rl.retryBudget(c.service.Name)
	r := Retry{Service: c.service.Name, Cause: cause, Sent: budget.Withdraw(now, entries), Tokens: budget.Tokens(now, entries), Entries: entries}
	rl.mu.Unlock()
	rl.reportRetry(c, r)
	return r.Sent
}

// returnRetry gives back the retry that the request holds, if any.
func (rl *Relay) returnRetry(c *call) {
	if !c.holdsRetry.CompareAndSwap(true, false) {
		return
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.retryBudget(c.service.Name).Return()
}

// reportRetry logs and counts a retry that was due.
func (rl *Relay) reportRetry(c *call, r Retry) {
	event := rl.config.Log.Info()
	if !r.Sent {
		event = rl.config.Log.Warn()
	}
	event.Str("request", c.info.AttemptID).Str("service", r.Service).Str("cause", r.Cause).Bool("sent", r.Sent).
		Float64("tokens", r.Tokens).Int("entries", r.Entries).Msg("retry decided")
	rl.config.OnRetry(r)
}

// retryBudget returns the retry budget of a service. The caller holds the lock.
func (rl *Relay) retryBudget(service string) *limit.RetryBudget {
	b, ok := rl.retryBudgets[service]
	if !ok {
		b = limit.NewRetryBudget(rl.config.RetryLimit, rl.startedAt)
		rl.retryBudgets[service] = b
	}
	return b
}
