package dispatch

import (
	"context"

	"github.com/pkg/errors"

	"camphormill.dev/entryd/pool"
	"camphormill.dev/parts/contract"
)

// repeatableRun is the state of one repeatable request across its attempts.
type repeatableRun struct {
	d           *Dispatcher
	request     Request
	fingerprint uint64
	version     string // fixed by the first token: a stream never mixes versions
	next        int    // sequence number of the next token to emit
	emit        func(token string)
	tried       map[string]bool
	reroutes    int  // from busy targets
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
	s := &repeatableRun{d: d, request: r, fingerprint: fingerprint, version: r.Version, emit: emit, tried: map[string]bool{}}
	result := Result{}
	for {
		mayRetry := s.attempt(ctx, &result)
		s.mergeOutcome(&result)
		if !mayRetry || result.Attempts-s.reroutes >= maxAttempts || ctx.Err() != nil {
			return result
		}
		if isBusy(result.Answer) {
			s.reroutes++
			continue
		}
		if !retryIsFree(result.Failure) && !d.retry() {
			return result
		}
	}
}

// mergeOutcome reports the outcome as unknown when this attempt did not run but an
// earlier one may have.
func (s *repeatableRun) mergeOutcome(result *Result) {
	if result.Outcome == contract.OutcomeUnknown {
		s.mayHaveRun = true
	}
	if s.mayHaveRun && result.Outcome == contract.OutcomeNotRun {
		result.Outcome = contract.OutcomeUnknown
	}
}

// retryIsFree reports whether a retry is not charged to the budget: a leaving
// target refuses at once and does no work.
func retryIsFree(f *contract.Failure) bool {
	return f != nil && f.Kind == contract.KindLeaving
}

func isBusy(a contract.Answer) bool {
	return a.Failure != nil && a.Failure.Kind == contract.KindBusy
}

// attempt sends the request to one target and reports whether it may be sent to
// another.
func (s *repeatableRun) attempt(ctx context.Context, result *Result) bool {
	request := s.request
	request.Version = s.version
	target, failure := s.d.pick(request, s.fingerprint, s.tried)
	if failure != nil {
		if result.Attempts == 0 {
			result.Answer = contract.NotRunAnswer(failure)
		}
		return false
	}
	defer s.d.config.Pool.Release(target)
	defer s.d.trackSuspect(s.fingerprint, target)()
	result.Attempts++
	result.Target = target
	s.tried[target] = true
	call := s.d.call(request, newAttempt())
	call.ResumeFrom = s.next
	call.NoWait = s.d.mayReroute(request, s.reroutes, s.tried)
	incarnation, _, _ := s.d.config.Pool.Incarnation(target)
	answer, err := s.d.config.Pool.Run(ctx, target, call, s.frameHandler(target))
	if err != nil {
		return s.handleError(ctx, target, incarnation, err, result)
	}
	result.Answer = answer
	return s.handleAnswer(ctx, target, incarnation, answer, result)
}

// frameHandler returns a function that emits the frame with the next sequence
// number and drops any other. The first frame fixes the version of the stream.
func (s *repeatableRun) frameHandler(target string) func(contract.Frame) {
	return func(f contract.Frame) {
		if f.Sequence != s.next {
			return
		}
		if s.version == "" {
			s.version = s.d.config.Pool.Version(target)
		}
		s.next++
		s.emit(f.Token)
	}
}

// handleAnswer records what an answer says about the target and reports whether the
// request may be sent to another.
func (s *repeatableRun) handleAnswer(ctx context.Context, target, incarnation string, a contract.Answer, result *Result) bool {
	if a.Outcome == contract.OutcomeDone {
		return false
	}
	if a.Failure == nil || a.Failure.Kind != contract.KindEngineLost {
		return a.Outcome == contract.OutcomeNotRun
	}
	s.d.config.Pool.Suspend(target, s.d.config.Now().Add(suspendDuration))
	if a.Outcome == contract.OutcomeNotRun {
		return true
	}
	// Only the engine died, not its daemon, so the incarnation alone does not tell
	// two such deaths apart. The attempt makes the strike distinct.
	if failure := s.d.strike(ctx, s.fingerprint, incarnation+"/"+newAttempt()); failure != nil {
		result.Answer = contract.UnknownAnswer(failure)
		return false
	}
	return true
}

// handleError sets the result for an attempt that got no answer and reports whether
// the request may be sent to another target. If the target does not answer a probe,
// the request gets a strike.
func (s *repeatableRun) handleError(ctx context.Context, target, incarnation string, err error, result *Result) bool {
	if ctx.Err() != nil {
		result.Answer = contract.UnknownAnswer(deadlineFailure(s.d))
		return false
	}
	if errors.Is(err, pool.ErrNotLinked) {
		result.Answer = contract.NotRunAnswer(s.d.noTargetFailure(s.request))
		return true
	}
	result.Answer = contract.UnknownAnswer(contract.NewFailure(contract.KindTargetLost,
		"the target was lost while it ran the request", "send the request again").
		WithRetryAt(s.d.config.Now().Add(defaultRetryAfter)))
	probe, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if s.d.config.Pool.StillRuns(probe, target, incarnation) {
		return true
	}
	if failure := s.d.strike(ctx, s.fingerprint, incarnation); failure != nil {
		result.Answer = contract.UnknownAnswer(failure)
		return false
	}
	return true
}

func deadlineFailure(d *Dispatcher) *contract.Failure {
	return contract.NewFailure(contract.KindDeadline,
		"the request's deadline has passed", "retry later or allow more time").WithRetryAt(d.config.Now().Add(defaultRetryAfter))
}
