package relay

import "camphormill.dev/parts/limit"

// Retry is a retry that was due: another target could have got the request.
type Retry struct {
	Service string
	Cause   string  // why a retry was due: the reason that the request would have ended with, or one of the constants below
	Sent    bool    // false if the retry budget withheld it
	Tokens  float64 // retries left in the budget of the service
}

// Causes of retries that are no reasons of ended requests.
const (
	causeServerError = "server_error" // the target answered with a server error
	causeMoved       = "moved"        // the leader of the group moved the request
)

// withdrawRetry withdraws a retry of a request from the budget of its service, and reports whether
// the budget allowed it.
func (rl *Relay) withdrawRetry(service, request, cause string) bool {
	rl.mu.Lock()
	budget := rl.retryBudget(service)
	r := Retry{Service: service, Cause: cause, Sent: budget.Withdraw(), Tokens: budget.Tokens()}
	rl.mu.Unlock()
	event := rl.config.Log.Info()
	if !r.Sent {
		event = rl.config.Log.Warn()
	}
	event.Str("request", request).Str("service", service).Str("cause", cause).Bool("sent", r.Sent).Float64("tokens", r.Tokens).
		Msg("retry decided")
	rl.config.OnRetry(r)
	return r.Sent
}

// retryBudget returns the retry budget of a service. The caller holds the lock.
func (rl *Relay) retryBudget(service string) *limit.RetryBudget {
	b, ok := rl.retryBudgets[service]
	if !ok {
		b = limit.NewRetryBudgetWithMax(rl.config.RetryReserve)
		rl.retryBudgets[service] = b
	}
	return b
}
