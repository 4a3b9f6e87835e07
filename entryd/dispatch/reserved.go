package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/entryd/pool"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/randomname"
	"camphormill.dev/parts/reservation"
)

// settleTimeout bounds how long an entry tries to find out whether a call ran.
const settleTimeout = 2 * time.Second

// settlePause is the delay between two attempts to settle a call.
const settlePause = 50 * time.Millisecond

// Reserve binds a future call of the organisation to one incarnation of one target
// of the service, but not of a target in tried. It returns the reservation and the time
// at which it expires by the local clock. If no target can be used, the error is a
// *contract.Failure.
func (d *Dispatcher) Reserve(organisation, service string, tried map[string]bool) (string, time.Time, error) {
	return d.reserve(organisation, service, tried, d.config.Now().Add(d.config.ReservationValidity))
}

// resendGrace is how long after a call's deadline its caller may send the
// reservation of an unknown outcome again.
const resendGrace = 30 * time.Second

// reservationExpiry returns the expiry of a reservation that the entry makes for a
// call without one. The caller learns of such a reservation only when the outcome is
// unknown. Unless the call has an idempotency key, the reservation expires soon after
// the call's deadline, because a target retains a limited number of reservations.
func (d *Dispatcher) reservationExpiry(r Request) time.Time {
	full := d.config.Now().Add(d.config.ReservationValidity)
	short := r.Deadline.Add(resendGrace)
	if r.IdempotencyKey != "" || full.Before(short) {
		return full
	}
	return short
}

// reserve is Reserve with the given expiry, by the local clock. It passes pick the
// fingerprint 0, so the request's strikes have no influence on the target.
func (d *Dispatcher) reserve(organisation, service string, tried map[string]bool, expiry time.Time) (string, time.Time, error) {
	target, failure := d.pick(Request{Organisation: organisation, Kind: contract.WorkService, ServiceName: service}, 0, tried)
	if failure != nil {
		return "", time.Time{}, failure
	}
	defer d.config.Pool.Release(target)
	incarnation, clockOffset, ok := d.config.Pool.Incarnation(target)
	if !ok {
		return "", time.Time{}, d.noTargetFailure(Request{Kind: contract.WorkService, ServiceName: service})
	}
	token, err := d.config.Signer.Sign(reservation.Claims{
		ID:           randomname.New(),
		Organisation: organisation,
		Target:       target,
		Incarnation:  incarnation,
		Deadline:     expiry.Add(clockOffset), // by the target's clock
	})
	return token, expiry, err
}

// RunOnce runs a call that must not run twice. It uses the caller's reservation, the
// one that the idempotency key is bound to, or a new one.
func (d *Dispatcher) RunOnce(ctx context.Context, r Request) Result {
	fingerprint, failure := d.admit(r)
	if failure != nil {
		return Result{Answer: refuse(r, failure), Reservation: r.Reservation}
	}
	if r.Reservation != "" {
		return d.send(ctx, r, fingerprint, r.Reservation, false, false)
	}
	return d.callUnbound(ctx, r, fingerprint)
}

// refuse returns the answer for a request that this entry did not send. A bound
// request may have run when it was sent earlier, and only the target knows that, so
// its outcome is unknown.
func refuse(r Request, f *contract.Failure) contract.Answer {
	if r.Bound() {
		return contract.UnknownAnswer(f)
	}
	return contract.NotRunAnswer(f)
}

// callUnbound reserves a target and sends a call that came without a reservation. It sends
// the call to another target only if no call under an earlier reservation has run.
func (d *Dispatcher) callUnbound(ctx context.Context, r Request, fingerprint uint64) Result {
	tried := map[string]bool{}
	result := Result{}
	voided := ""
	reroutes := 0
	for attempt := 1; ; attempt++ {
		token, _, err := d.reserve(r.Organisation, r.ServiceName, tried, d.reservationExpiry(r))
		if err != nil {
			if attempt == 1 { // later, the result of the previous attempt stands
				result.Answer = refuse(r, contract.AsFailure(err))
			}
			return result
		}
		own := token
		if r.IdempotencyKey != "" {
			if token, err = d.claim(ctx, r, voided, token); err != nil {
				return Result{Answer: contract.UnknownAnswer(contract.AsFailure(err))}
			}
		}
		soleHolder := token == own && r.IdempotencyKey == ""
		// Binding a key again costs an append to the log that holds the keys, so only
		// calls without a key are rerouted from a busy target.
		noWait := soleHolder && d.mayReroute(r, reroutes, tried)
		result = d.send(ctx, r, fingerprint, token, soleHolder, noWait)
		result.Attempts = attempt
		tried[result.Target] = true
		if isBusy(result.Answer) {
			reroutes++
			if !d.takeRetry() {
				return result
			}
			continue
		}
		if !d.mayRebind(ctx, result, attempt) {
			return result
		}
		voided = token
	}
}

// mayRebind reports whether a call may be bound to another target: it did not run, its
// failure is specific to the target, and attempts, time and retry budget are left. It
// withdraws a retry from the budget, but none for a rebinding from a leaving target. The
// bound on attempts includes maxReroutes, whether or not the call was rerouted.
func (d *Dispatcher) mayRebind(ctx context.Context, result Result, attempt int) bool {
	if result.Outcome != contract.OutcomeNotRun || attempt >= maxAttempts+maxReroutes || ctx.Err() != nil {
		return false
	}
	switch result.Failure.Kind {
	case contract.KindLeaving:
		return true
	case contract.KindReservationVoided, contract.KindOverloaded, contract.KindEngineLost, contract.KindTargetLost:
		return d.takeRetry()
	}
	return false
}

// claim binds the idempotency key of the request to the reservation token, and replaces
// the voided reservation unless that is empty. It returns the reservation that the key is
// bound to.
func (d *Dispatcher) claim(ctx context.Context, r Request, voided, token string) (string, error) {
	if voided == "" {
		return d.config.Claimer.Claim(ctx, r.Organisation, r.IdempotencyKey, token)
	}
	return d.config.Claimer.Replace(ctx, r.Organisation, r.IdempotencyKey, voided, token)
}

// send sends a call under a reservation. soleHolder means that no one else holds the
// token, so a call that was never sent is known not to have run. noWait asks the target
// to refuse the call if it would have to wait.
func (d *Dispatcher) send(ctx context.Context, r Request, fingerprint uint64, token string, soleHolder, noWait bool) Result {
	result := Result{Reservation: token, Attempts: 1}
	claims, err := d.config.Signer.Verify(token)
	if err != nil {
		result.Answer = contract.NotRunAnswer(contract.AsFailure(err))
		return result
	}
	result.Target = claims.Target
	call := d.call(r, newAttempt())
	call.Reservation = token
	call.NoWait = noWait
	defer d.trackSuspect(fingerprint, claims.Target)()
	answer, err := d.config.Pool.Run(ctx, claims.Target, call, func(contract.Frame) {})
	var targetFailure *contract.Failure
	switch {
	case err == nil:
		result.Answer = answer
		d.recordEngineLoss(ctx, fingerprint, claims, answer)
	case errors.As(err, &targetFailure):
		result.Answer = contract.UnknownAnswer(targetFailure)
	case errors.Is(err, pool.ErrNotLinked) && soleHolder:
		result.Answer = contract.NotRunAnswer(d.targetLostFailure("the target could not be reached"))
	default:
		result.Answer = d.settle(ctx, r, claims, token, fingerprint)
	}
	return result
}

func (d *Dispatcher) targetLostFailure(message string) *contract.Failure {
	return contract.NewFailure(contract.KindTargetLost, message,
		"send the same reservation again").WithRetryAt(d.config.Now().Add(defaultRetryAfter))
}

// recordEngineLoss suspends a target whose engine was lost and adds a strike if the
// engine died while it ran the call. The reservation's ID then identifies the death; see
// strike. It ignores the replayed answer of an earlier attempt.
func (d *Dispatcher) recordEngineLoss(ctx context.Context, fingerprint uint64, c reservation.Claims, a contract.Answer) {
	if a.Failure == nil || a.Failure.Kind != contract.KindEngineLost || a.Replayed {
		return
	}
	d.config.Pool.Suspend(c.Target, d.config.Now().Add(suspendDuration))
	if a.Outcome == contract.OutcomeUnknown {
		_ = d.strike(ctx, fingerprint, c.ID) // the outcome stays unknown either way
	}
}

// settle finds out, within settleTimeout, what became of a call whose link was lost.
// It voids a call that has not started, waits for one that runs, and fetches the
// answer of one that ended.
func (d *Dispatcher) settle(ctx context.Context, r Request, c reservation.Claims, token string, fingerprint uint64) contract.Answer {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	request := contract.SettleRequest{Reservation: token, Organisation: r.Organisation}
	for ctx.Err() == nil {
		s, err := d.config.Pool.Settle(ctx, c.Target, request)
		if err != nil {
			pause(ctx)
			continue
		}
		if answer, settled := d.settledAnswer(ctx, r, c, token, s); settled {
			if s.State == contract.SettleUnknown && s.Failure.Kind == contract.KindIncarnationGone {
				_ = d.strike(ctx, fingerprint, c.Incarnation) // the outcome stays unknown either way
			}
			return answer
		}
	}
	var ended *contract.Failure
	if errors.As(context.Cause(ctx), &ended) {
		return contract.UnknownAnswer(ended)
	}
	return contract.UnknownAnswer(d.targetLostFailure("the target was lost while the call may have run"))
}

func pause(ctx context.Context) {
	timer := time.NewTimer(settlePause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// settledAnswer returns the answer that a settlement stands for. For a call that runs or
// has ended, it sends the call again under its reservation to get the answer. The result is
// false if that fails.
func (d *Dispatcher) settledAnswer(ctx context.Context, r Request, c reservation.Claims, token string, s contract.Settlement) (contract.Answer, bool) {
	switch s.State {
	case contract.SettleVoided:
		return contract.NotRunAnswer(contract.NewFailure(contract.KindTargetLost,
			"the link to the target was lost before the call ran", "send the call again")), true
	case contract.SettleUnknown:
		return contract.UnknownAnswer(s.Failure), true
	}
	call := d.call(r, newAttempt())
	call.Reservation = token
	answer, err := d.config.Pool.Run(ctx, c.Target, call, func(contract.Frame) {})
	return answer, err == nil
}
