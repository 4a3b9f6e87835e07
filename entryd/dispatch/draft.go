package dispatch

import (
	"context"

	"github.com/pkg/errors"

	"camphormill.dev/entryd/pool"
	"camphormill.dev/parts/contract"
)

// draft is the state of one repeatable request over its attempts.
type draft struct {
	d           *Dispatcher
	request     Request
	fingerprint uint64
	version     string // fixed by the first token: streams never cross versions
	next        int    // the sequence number that the caller needs next
	emit        func(token string)
	tried       map[string]bool
	bounces     int // from busy targets
	mayHaveRun  bool
}

// Draft runs a request that may be repeated. Tokens go to emit in order, each
// once; when a target is lost, another of the same version resumes after the
// last one.
func (d *Dispatcher) Draft(ctx context.Context, r Request, emit func(token string)) Result {
	fingerprint, failure := d.begin(r)
	if failure != nil {
		return Result{Answer: contract.Refusal(failure)}
	}
	s := &draft{d: d, request: r, fingerprint: fingerprint, version: r.Version, emit: emit, tried: map[string]bool{}}
	result := Result{}
	for {
		again := s.attempt(ctx, &result)
		s.noteOutcome(&result)
		if !again || result.Attempts-s.bounces >= maxAttempts || ctx.Err() != nil {
			return result
		}
		if isBusy(result.Answer) {
			s.bounces++
			continue
		}
		if !free(result.Failure) && !d.retry() {
			return result
		}
	}
}

// noteOutcome keeps the refusal of a later attempt from saying "not run" of a
// draft that an earlier attempt may have run.
func (s *draft) noteOutcome(result *Result) {
	if result.Outcome == contract.OutcomeUnknown {
		s.mayHaveRun = true
	}
	if s.mayHaveRun && result.Outcome == contract.OutcomeNotRun {
		result.Outcome = contract.OutcomeUnknown
	}
}

// free says whether a retry costs nothing of the budget: a leaving target said
// so at once and did no work.
func free(f *contract.Failure) bool {
	return f != nil && f.Kind == contract.KindLeaving
}

func isBusy(a contract.Answer) bool {
	return a.Failure != nil && a.Failure.Kind == contract.KindBusy
}

// attempt makes one try and says whether another may follow.
func (s *draft) attempt(ctx context.Context, result *Result) bool {
	request := s.request
	request.Version = s.version
	target, failure := s.d.pick(request, s.fingerprint, s.tried)
	if failure != nil {
		if result.Attempts == 0 {
			result.Answer = contract.Refusal(failure)
		}
		return false
	}
	defer s.d.config.Pool.Release(target)
	defer s.d.hold(s.fingerprint, target)()
	result.Attempts++
	result.Target = target
	s.tried[target] = true
	call := s.d.call(request, newAttempt())
	call.ResumeFrom = s.next
	call.NoWait = s.d.mayBounce(request, s.bounces, s.tried)
	incarnation, _, _ := s.d.config.Pool.Incarnation(target)
	answer, err := s.d.config.Pool.Run(ctx, target, call, s.take(target))
	if err != nil {
		return s.failed(ctx, target, incarnation, err, result)
	}
	result.Answer = answer
	return s.answered(ctx, target, incarnation, answer, result)
}

// take passes on the frame that the caller needs next and drops any other.
func (s *draft) take(target string) func(contract.Frame) {
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

func (s *draft) answered(ctx context.Context, target, incarnation string, a contract.Answer, result *Result) bool {
	if a.Outcome == contract.OutcomeDone {
		return false
	}
	if a.Failure == nil || a.Failure.Kind != contract.KindEngineLost {
		return a.Outcome == contract.OutcomeNotRun
	}
	s.d.config.Pool.Suspend(target, s.d.config.Now().Add(suspension))
	if a.Outcome == contract.OutcomeNotRun {
		return true
	}
	// The engine died while it ran the request; its daemon lives on, so the
	// attempt names this death.
	if failure := s.d.strike(ctx, s.fingerprint, incarnation+"/"+newAttempt()); failure != nil {
		result.Answer = contract.Uncertain(failure)
		return false
	}
	return true
}

func (s *draft) failed(ctx context.Context, target, incarnation string, err error, result *Result) bool {
	if ctx.Err() != nil {
		result.Answer = contract.Uncertain(deadlineFailure(s.d))
		return false
	}
	if errors.Is(err, pool.ErrNotLinked) {
		result.Answer = contract.Refusal(s.d.noTarget(s.request))
		return true
	}
	result.Answer = contract.Uncertain(contract.NewFailure(contract.KindTargetLost,
		"the target was lost while it ran the request", "send the request again").
		WithRetryAt(s.d.config.Now().Add(comeBack)))
	probe, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	if s.d.config.Pool.StillRuns(probe, target, incarnation) {
		return true
	}
	if failure := s.d.strike(ctx, s.fingerprint, incarnation); failure != nil {
		result.Answer = contract.Uncertain(failure)
		return false
	}
	return true
}

func deadlineFailure(d *Dispatcher) *contract.Failure {
	return contract.NewFailure(contract.KindDeadline,
		"the request's time is over", "come back later or allow more time").WithRetryAt(d.config.Now().Add(comeBack))
}
