package proofs

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"camphormill.dev/parts/contract"
)

// crashMarker in the body of a request kills the target that runs the request, if
// the fakeExecutor has an onCrash function.
const crashMarker = "crash"

// fakeExecutor stands for the engines and services behind all targets, and
// records what they ran. It outlives the target daemons: a call that was sent to
// a service takes effect even if the daemon dies.
type fakeExecutor struct {
	random *seededRand
	// faulty makes services refuse calls, or lose answers after the effect.
	faulty bool
	// maxDelay bounds each random delay of a call, before and after its effect.
	maxDelay time.Duration
	// onCrash kills the target that runs a request with crashMarker. If nil, the
	// marker has no effect.
	onCrash func(t *target)

	mu            sync.Mutex
	effectsByBody map[string]int         // how often the call with each body took effect
	workStarts    map[string][]time.Time // when each target, by name, started work
	crashes       int                    // how often onCrash was called
	draftsStarted map[string]bool        // keys are the organisation, a space and the body
}

func newFakeExecutor(r *seededRand) *fakeExecutor {
	return &fakeExecutor{random: r, maxDelay: 40 * time.Millisecond, effectsByBody: map[string]int{}, workStarts: map[string][]time.Time{}, draftsStarted: map[string]bool{}}
}

// execute runs one call for process p of target t. It passes the tokens of a draft
// to emit.
func (x *fakeExecutor) execute(ctx context.Context, p *targetProcess, t *target, call contract.Call, emit func(string)) contract.Answer {
	select {
	case <-p.killed: // a killed process sends nothing to its service
		return contract.NotRunAnswer(contract.NewFailure(contract.KindEngineLost, "dead", "none"))
	default:
	}
	x.mu.Lock()
	x.workStarts[t.name] = append(x.workStarts[t.name], time.Now())
	x.mu.Unlock()
	if strings.Contains(string(call.Body), crashMarker) && x.onCrash != nil {
		x.mu.Lock()
		x.crashes++
		x.mu.Unlock()
		x.onCrash(t)
		return contract.UnknownAnswer(contract.NewFailure(contract.KindEngineLost, "crashed", "none"))
	}
	if call.Kind == contract.WorkDraft {
		return x.runDraft(ctx, t, call, emit)
	}
	return x.callService(call)
}

// callService applies the effect of a call. If the executor is faulty, one call
// in ten is refused and one in ten loses its answer after the effect.
func (x *fakeExecutor) callService(call contract.Call) contract.Answer {
	fault := 9 // any value above 1 means no fault
	if x.faulty {
		fault = x.random.intN(10)
	}
	if fault == 0 {
		return contract.NotRunAnswer(contract.NewFailure(contract.KindEngineLost, "refused", "none"))
	}
	time.Sleep(x.random.upTo(x.maxDelay))
	x.mu.Lock()
	x.effectsByBody[string(call.Body)]++
	x.mu.Unlock()
	time.Sleep(x.random.upTo(x.maxDelay))
	if fault == 1 {
		return contract.UnknownAnswer(contract.NewFailure(contract.KindEngineLost, "answer lost after the effect", "none"))
	}
	return contract.Answer{Outcome: contract.OutcomeDone, Status: 200, Body: expectedAnswer(call.Organisation, call.Body)}
}

// expectedAnswer returns the only correct answer to a body.
func expectedAnswer(organisation string, body []byte) []byte {
	return []byte("answer to " + organisation + ": " + string(body))
}

// effectCount returns how often the call with a body took effect.
func (x *fakeExecutor) effectCount(body string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.effectsByBody[body]
}

// draftLength is the number of tokens in a complete draft.
const draftLength = 12

// runDraft emits the tokens of the request's own answer, starting at the token
// from which the call resumes. The outcome is unknown if ctx ends first.
func (x *fakeExecutor) runDraft(ctx context.Context, t *target, call contract.Call, emit func(string)) contract.Answer {
	x.mu.Lock()
	x.draftsStarted[call.Organisation+" "+string(call.Body)] = true
	x.mu.Unlock()
	for i := call.ResumeFrom; i < draftLength; i++ {
		timer := time.NewTimer(x.random.upTo(x.maxDelay / 4))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return contract.UnknownAnswer(contract.NewFailure(contract.KindDeadline, "cancelled", "none"))
		}
		emit(expectedToken(call.Organisation, call.Body, t.version, i))
	}
	return contract.Answer{Outcome: contract.OutcomeDone, Status: 200}
}

// expectedToken returns the token at an index of the only correct answer that a
// model version gives to a body.
func expectedToken(organisation string, body []byte, version string, index int) string {
	return fmt.Sprintf("%s/%s/%s/%d", organisation, body, version, index)
}
