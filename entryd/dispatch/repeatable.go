package dispatch

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"camphormill.dev/entryd/pool"
	"camphormill.dev/parts/contract"
)

// repeatableRun is the state of one repeatable request across its attempts.
type repeatableRun struct {
	dispatcher  *Dispatcher
	request     Request
	fingerprint uint64
	version     string // of the model or service; fixed by the first token, because a stream never mixes versions
	next        int    // sequence number of the next token to emit
	startedAt   int    // next at the start of the attempt
	emit        func(token string)
	tried       map[string]bool
	reroutes    int  // number of times the request was rerouted from a busy target
	mayHaveRun  bool // an earlier attempt ended with an unknown outcome
}

// RunRepeatable runs a request that may run more than once. It passes each token to emit
// once and in order. When a target is lost, another target of the same version
// resumes the stream after the last token.
func (d *Dispatcher) RunRepeatable(ctx context.Context, r Request, emit func(token string)) Result {
	fingerprint, failure := d.admit(r)
	if failure != nil {
		return Result{Answer: contract.NotRunAnswer(failure)}
	}
	run := &repeatableRun{dispatcher: d, request: r, fingerprint: fingerprint, version: r.Version, emit: emit, tried: map[string]bool{}}
	result := Result{}
	for {
		mayRetry := run.attempt(ctx, &result)
		free := retryIsFree(result.Answer)
		run.mergeOutcome(&result)
		if !mayRetry || result.Attempts-run.reroutes >= maxAttempts || ctx.Err() != nil {
			return result
		}
		if isBusy(result.Answer) {
			run.reroutes++
		}
		if !free && !d.takeRetry() {
			return result
		}
	}
}

// mergeOutcome reports the outcome as unknown when this attempt did not run but an
// earlier one may have.
func (run *repeatableRun) mergeOutcome(result *Result) {
	if result.Outcome == contract.OutcomeUnknown {
		run.mayHaveRun = true
	}
	if run.mayHaveRun && result.Outcome == contract.OutcomeNotRun {
		result.Outcome = contract.OutcomeUnknown
	}
}

// retryIsFree reports whether a retry is not charged to the budget: a leaving
// target refuses at once and does no work.
func retryIsFree(a contract.Answer) bool {
	return a.Outcome == contract.OutcomeNotRun && isLeaving(a)
}

func isLeaving(a contract.Answer) bool {
	return a.Failure != nil && a.Failure.Kind == contract.KindLeaving
}

func isBusy(a contract.Answer) bool {
	return a.Failure != nil && a.Failure.Kind == contract.KindBusy
}

// attempt sends the request to one target and reports whether the request may be sent to
// another.
func (run *repeatableRun) attempt(ctx context.Context, result *Result) bool {
	request := run.request
	request.Version = run.version
	target, failure := run.dispatcher.pick(request, run.fingerprint, run.tried)
	if failure != nil {
		if result.Attempts == 0 {
			result.Answer = contract.NotRunAnswer(failure)
		}
		return false
	}
	defer run.dispatcher.config.Pool.Release(target)
	if failure := run.dispatcher.startAttempt(ctx, request); failure != nil {
		result.Answer = contract.NotRunAnswer(failure)
		return false
	}
	run.startedAt = run.next
	defer run.dispatcher.trackSuspect(run.fingerprint, target)()
	result.Attempts++
	result.Target = target
	run.tried[target] = true
	call := run.dispatcher.call(request, newAttempt())
	call.ResumeFrom = run.next
	call.NoWait = run.dispatcher.mayReroute(request, run.reroutes, run.tried)
	incarnation, _, _ := run.dispatcher.config.Pool.Incarnation(target)
	answer, err := run.dispatcher.config.Pool.Run(ctx, target, call, run.frameHandler(target))
	if err != nil {
		return run.handleError(ctx, target, incarnation, err, result)
	}
	if run.lacksTokens(answer) {
		run.dispatcher.config.Logger.Warn().Str("attempt", call.Attempt).Str("target", target).Int("sent", answer.Frames).
			Int("received", run.next-run.startedAt).Msg("tokens of an answer were lost")
		result.Answer = contract.UnknownAnswer(contract.NewFailure(contract.KindTargetLost,
			"tokens of the answer were lost between its target and the entry", "send the request again"))
		return true
	}
	if run.failedResume(answer) {
		run.dispatcher.config.Logger.Warn().Str("attempt", call.Attempt).Str("target", target).Int("status", answer.Status).Int("emitted", run.next).
			Msg("target did not resume the answer")
		result.Answer = contract.UnknownAnswer(contract.NewFailure(contract.KindUpstream,
			"the answer broke off and another target did not resume it", "send the request again"))
		return true
	}
	result.Answer = answer
	return run.handleAnswer(ctx, target, incarnation, answer, result)
}

// frameHandler returns a function that emits the frame with the next sequence
// number and drops any other. The first frame fixes the version of the stream.
func (run *repeatableRun) frameHandler(target string) func(contract.Frame) {
	return func(f contract.Frame) {
		if f.Sequence != run.next {
			return
		}
		if run.version == "" {
			run.version = run.dispatcher.config.Pool.Version(target)
		}
		run.next++
		run.emit(f.Token)
	}
}

// lacksTokens reports whether the target sent more tokens in this attempt than have been emitted.
func (run *repeatableRun) lacksTokens(a contract.Answer) bool {
	return a.Outcome == contract.OutcomeDone && run.next-run.startedAt < a.Frames
}

// failedResume reports whether a target that was to resume an answer rejected it. The rejection is not an
// answer to a request whose first tokens have been emitted.
func (run *repeatableRun) failedResume(a contract.Answer) bool {
	return a.Outcome == contract.OutcomeDone && a.Status != http.StatusOK && run.next > 0
}

// answered reports whether the target of this attempt had begun to answer and lived on.
func (run *repeatableRun) answered() bool { return run.next-run.startedAt >= answeredTokens }

// strike records that the target died while it ran the request, unless it had begun to answer and
// so did not die of it. It returns a failure if the request is now quarantined.
func (run *repeatableRun) strike(ctx context.Context, death string) *contract.Failure {
	if run.answered() {
		return nil
	}
	if failure := run.dispatcher.strike(ctx, run.fingerprint, death); failure != nil {
		return failure
	}
	return run.dispatcher.recordPartDeath(ctx, run.request, death)
}

// handleAnswer reports whether the request may be sent to another target after an answer.
// If the answer says that the engine was lost, the target is suspended. If in that case the
// request may have run, it also gets a strike, the record that a target died while it ran the
// request.
func (run *repeatableRun) handleAnswer(ctx context.Context, target, incarnation string, a contract.Answer, result *Result) bool {
	if a.Outcome == contract.OutcomeDone || run.answered() {
		run.dispatcher.recordAnswered(ctx, run.request)
	}
	if a.Outcome == contract.OutcomeDone {
		return false
	}
	if a.Failure == nil || a.Failure.Kind != contract.KindEngineLost {
		return a.Outcome == contract.OutcomeNotRun || isLeaving(a)
	}
	run.dispatcher.config.Pool.Suspend(target, run.dispatcher.config.Now().Add(suspendDuration))
	if a.Outcome == contract.OutcomeNotRun {
		return true
	}
	// Strikes are told apart by the incarnation, which identifies the process of the
	// target daemon. Here only its engine died, so two such deaths would have the same
	// incarnation. The random name added to it makes the strike distinct.
	if failure := run.strike(ctx, incarnation+"/"+newAttempt()); failure != nil {
		result.Answer = contract.UnknownAnswer(failure)
		return false
	}
	return true
}

// handleError sets the result for an attempt that got no answer and reports whether
// the request may be sent to another target. If the request may have reached the
// target and the incarnation it was sent to does not answer a probe, the request gets a
// strike.
func (run *repeatableRun) handleError(ctx context.Context, target, incarnation string, err error, result *Result) bool {
	if ctx.Err() != nil {
		result.Answer = contract.UnknownAnswer(run.dispatcher.endFailure(ctx))
		if errors.Is(err, pool.ErrNotLinked) {
			result.Answer = contract.NotRunAnswer(result.Failure)
		}
		return false
	}
	if errors.Is(err, pool.ErrNotLinked) {
		result.Answer = contract.NotRunAnswer(run.dispatcher.noTargetFailure(run.request))
		return true
	}
	result.Answer = contract.UnknownAnswer(contract.NewFailure(contract.KindTargetLost,
		"the target was lost while it ran the request", "send the request again").
		WithRetryAt(run.dispatcher.config.Now().Add(defaultRetryAfter)))
	probe, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if run.dispatcher.config.Pool.StillRuns(probe, target, incarnation) {
		return true
	}
	if failure := run.strike(ctx, incarnation); failure != nil {
		result.Answer = contract.UnknownAnswer(failure)
		return false
	}
	return true
}

// endFailure returns the failure for a request whose context has ended: that which ended the context, or that its deadline
// has passed.
func (d *Dispatcher) endFailure(ctx context.Context) *contract.Failure {
	var f *contract.Failure
	if errors.As(context.Cause(ctx), &f) {
		return f
	}
	return contract.NewFailure(contract.KindDeadline,
		"the request's deadline has passed", "retry later or allow more time").WithRetryAt(d.config.Now().Add(defaultRetryAfter))
}
