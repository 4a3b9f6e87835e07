package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/entryd/pool"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/identity"
	"camphormill.dev/parts/reservation"
)

// settleTime bounds how long an entry tries to learn what became of a call.
const settleTime = 2 * time.Second

// settlePause is the pause between two tries to settle.
const settlePause = 50 * time.Millisecond

// Reserve binds a future call of the organisation to one incarnation of one
// target of the service.
func (d *Dispatcher) Reserve(organisation, service string, tried map[string]bool) (string, time.Time, error) {
	return d.reserve(organisation, service, tried, d.config.Now().Add(d.config.Window))
}

// presentAgain is how long after a call's deadline its caller may present the
// reservation of an unknown outcome again.
const presentAgain = 30 * time.Second

// window is until when a reservation made for one call holds. A caller who asked
// for none hears of it only when the outcome is unknown, so it can be short: a
// target remembers only so many.
func (d *Dispatcher) window(r Request) time.Time {
	whole := d.config.Now().Add(d.config.Window)
	short := r.Deadline.Add(presentAgain)
	if r.Key != "" || whole.Before(short) {
		return whole
	}
	return short
}

func (d *Dispatcher) reserve(organisation, service string, tried map[string]bool, deadline time.Time) (string, time.Time, error) {
	target, failure := d.pick(Request{Organisation: organisation, Kind: contract.WorkService, Serves: service}, 0, tried)
	if failure != nil {
		return "", time.Time{}, failure
	}
	defer d.config.Pool.Release(target)
	incarnation, clockOffset, ok := d.config.Pool.Incarnation(target)
	if !ok {
		return "", time.Time{}, d.noTarget(Request{Kind: contract.WorkService, Serves: service})
	}
	token, err := d.config.Sealer.Seal(reservation.Claims{
		ID:           identity.New(),
		Organisation: organisation,
		Target:       target,
		Incarnation:  incarnation,
		Deadline:     deadline.Add(clockOffset),
	})
	return token, deadline, err
}

// Call runs a call that may not be repeated, under the caller's reservation, the
// one its key stands for, or one made here.
func (d *Dispatcher) Call(ctx context.Context, r Request) Result {
	fingerprint, failure := d.begin(r)
	if failure != nil {
		return Result{Answer: refuse(r, failure), Reservation: r.Reservation}
	}
	if r.Reservation != "" {
		return d.present(ctx, r, fingerprint, r.Reservation, false, false)
	}
	return d.callUnbound(ctx, r, fingerprint)
}

// refuse ends a request that was not sent. One that the caller has bound may
// have run when it was sent before, so only its gate can say that it did not.
func refuse(r Request, f *contract.Failure) contract.Answer {
	if r.Bound() {
		return contract.Uncertain(f)
	}
	return contract.Refusal(f)
}

// callUnbound reserves and calls, and tries another target as long as each
// earlier reservation is known to be voided.
func (d *Dispatcher) callUnbound(ctx context.Context, r Request, fingerprint uint64) Result {
	tried := map[string]bool{}
	result := Result{}
	voided := ""
	bounces := 0
	for attempt := 1; ; attempt++ {
		token, _, err := d.reserve(r.Organisation, r.Serves, tried, d.window(r))
		if err != nil {
			if attempt == 1 {
				result.Answer = refuse(r, contract.AsFailure(err))
			}
			return result
		}
		ours := token
		if r.Key != "" {
			if token, err = d.claim(ctx, r, voided, token); err != nil {
				return Result{Answer: contract.Uncertain(contract.AsFailure(err))}
			}
		}
		sole := token == ours && r.Key == ""
		// Binding a key again costs an append, so only calls without one go on
		// from a busy target.
		noWait := sole && d.mayBounce(r, bounces, tried)
		result = d.present(ctx, r, fingerprint, token, sole, noWait)
		result.Attempts = attempt
		tried[result.Target] = true
		if isBusy(result.Answer) {
			bounces++
			continue
		}
		if !d.mayRebind(ctx, result, attempt) {
			return result
		}
		voided = token
	}
}

// mayRebind says whether a call that did not run may be bound to another target.
func (d *Dispatcher) mayRebind(ctx context.Context, result Result, attempt int) bool {
	if result.Outcome != contract.OutcomeNotRun || attempt >= maxAttempts+maxBounces || ctx.Err() != nil {
		return false
	}
	switch result.Failure.Kind {
	case contract.KindLeaving:
		return true
	case contract.KindReservationVoided, contract.KindOverloaded, contract.KindEngineLost, contract.KindTargetLost:
		return d.retry()
	}
	return false
}

func (d *Dispatcher) claim(ctx context.Context, r Request, voided, token string) (string, error) {
	if voided == "" {
		return d.config.Claimer.Claim(ctx, r.Organisation, r.Key, token)
	}
	return d.config.Claimer.Replace(ctx, r.Organisation, r.Key, voided, token)
}

// present sends a call under a reservation. When solePresenter, nobody else
// holds the token, so that a call never sent is known not to have run. noWait
// asks the target to refuse what would have to wait.
func (d *Dispatcher) present(ctx context.Context, r Request, fingerprint uint64, token string, solePresenter, noWait bool) Result {
	result := Result{Reservation: token, Attempts: 1}
	claims, err := d.config.Sealer.Open(token)
	if err != nil {
		result.Answer = contract.Refusal(contract.AsFailure(err))
		return result
	}
	result.Target = claims.Target
	call := d.call(r, newAttempt())
	call.Reservation = token
	call.NoWait = noWait
	defer d.hold(fingerprint, claims.Target)()
	answer, err := d.config.Pool.Run(ctx, claims.Target, call, func(contract.Frame) {})
	var refused *contract.Failure
	switch {
	case err == nil:
		result.Answer = answer
		d.noteEngine(ctx, fingerprint, claims, answer)
	case errors.As(err, &refused):
		result.Answer = contract.Uncertain(refused)
	case errors.Is(err, pool.ErrNotLinked) && solePresenter:
		result.Answer = contract.Refusal(d.lostFailure("the target could not be reached"))
	default:
		result.Answer = d.settle(ctx, r, claims, token, fingerprint)
	}
	return result
}

func (d *Dispatcher) lostFailure(message string) *contract.Failure {
	return contract.NewFailure(contract.KindTargetLost, message,
		"present the same reservation again").WithRetryAt(d.config.Now().Add(comeBack))
}

// noteEngine counts a strike when the service died while it ran the call.
func (d *Dispatcher) noteEngine(ctx context.Context, fingerprint uint64, c reservation.Claims, a contract.Answer) {
	if a.Failure == nil || a.Failure.Kind != contract.KindEngineLost || a.Replayed {
		return
	}
	d.config.Pool.Suspend(c.Target, d.config.Now().Add(suspension))
	if a.Outcome == contract.OutcomeUnknown {
		_ = d.strike(ctx, fingerprint, c.ID) // the outcome stays unknown either way
	}
}

// settle learns what became of a call whose link was lost, as far as the time
// allows: it voids what has not started, waits for what runs, and fetches the
// answer of what ended.
func (d *Dispatcher) settle(ctx context.Context, r Request, c reservation.Claims, token string, fingerprint uint64) contract.Answer {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	request := contract.SettleRequest{Reservation: token, Organisation: r.Organisation}
	for ctx.Err() == nil {
		s, err := d.config.Pool.Settle(ctx, c.Target, request)
		if err != nil {
			pause(ctx)
			continue
		}
		if answer, settled := d.settled(ctx, r, c, token, s); settled {
			if s.State == contract.SettleUnknown && s.Failure.Kind == contract.KindIncarnationGone {
				_ = d.strike(ctx, fingerprint, c.Incarnation) // the outcome stays unknown either way
			}
			return answer
		}
	}
	return contract.Uncertain(d.lostFailure("the target was lost while the call may have run"))
}

func pause(ctx context.Context) {
	timer := time.NewTimer(settlePause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (d *Dispatcher) settled(ctx context.Context, r Request, c reservation.Claims, token string, s contract.Settlement) (contract.Answer, bool) {
	switch s.State {
	case contract.SettleVoided:
		return contract.Refusal(contract.NewFailure(contract.KindTargetLost,
			"the link to the target was lost before the call ran", "send the call again")), true
	case contract.SettleUnknown:
		return contract.Uncertain(s.Failure), true
	}
	call := d.call(r, newAttempt())
	call.Reservation = token
	answer, err := d.config.Pool.Run(ctx, c.Target, call, func(contract.Frame) {})
	return answer, err == nil
}
