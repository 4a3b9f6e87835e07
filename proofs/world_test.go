package proofs

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"camphormill.dev/parts/contract"
)

// crashMarker in a body kills the target that runs it.
const crashMarker = "crash"

// world is the engines and services behind the targets. It outlives the target
// daemons: what was sent to a service takes effect though the daemon dies.
type world struct {
	random *random
	// faulty makes services lose answers after the effect, or refuse.
	faulty bool
	// slow is the longest time of a call.
	slow time.Duration
	// onCrash kills the target that runs a marked request.
	onCrash func(t *target)

	mu      sync.Mutex
	effects map[string]int // by body
	starts  map[string][]time.Time
	crashes int
	drafted map[string]bool // drafts that an engine began, by organisation and body
}

func newWorld(r *random) *world {
	return &world{random: r, slow: 40 * time.Millisecond, effects: map[string]int{}, starts: map[string][]time.Time{}, drafted: map[string]bool{}}
}

func (w *world) work(ctx context.Context, p *targetProcess, t *target, call contract.Call, emit func(string)) contract.Answer {
	select {
	case <-p.dead: // a dead process sends nothing to its service
		return contract.Refusal(contract.NewFailure(contract.KindEngineLost, "dead", "none"))
	default:
	}
	w.mu.Lock()
	w.starts[t.name] = append(w.starts[t.name], time.Now())
	w.mu.Unlock()
	if strings.Contains(string(call.Body), crashMarker) && w.onCrash != nil {
		w.mu.Lock()
		w.crashes++
		w.mu.Unlock()
		w.onCrash(t)
		return contract.Uncertain(contract.NewFailure(contract.KindEngineLost, "crashed", "none"))
	}
	if call.Kind == contract.WorkDraft {
		return w.draft(ctx, t, call, emit)
	}
	return w.service(call)
}

func (w *world) service(call contract.Call) contract.Answer {
	fate := 9
	if w.faulty {
		fate = w.random.intn(10)
	}
	if fate == 0 {
		return contract.Refusal(contract.NewFailure(contract.KindEngineLost, "refused", "none"))
	}
	time.Sleep(w.random.upTo(w.slow))
	w.mu.Lock()
	w.effects[string(call.Body)]++
	w.mu.Unlock()
	time.Sleep(w.random.upTo(w.slow))
	if fate == 1 {
		return contract.Uncertain(contract.NewFailure(contract.KindEngineLost, "answer lost", "none"))
	}
	return contract.Answer{Outcome: contract.OutcomeDone, Status: 200, Body: answerTo(call.Organisation, call.Body)}
}

// answerTo is the only right answer to a body.
func answerTo(organisation string, body []byte) []byte {
	return []byte("answer to " + organisation + ": " + string(body))
}

func (w *world) effect(body string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.effects[body]
}

// draftLength is how many tokens a draft has.
const draftLength = 12

// draft emits the tokens of the request's own answer, from where it resumes.
func (w *world) draft(ctx context.Context, t *target, call contract.Call, emit func(string)) contract.Answer {
	w.mu.Lock()
	w.drafted[call.Organisation+" "+string(call.Body)] = true
	w.mu.Unlock()
	for i := call.ResumeFrom; i < draftLength; i++ {
		timer := time.NewTimer(w.random.upTo(w.slow / 4))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return contract.Uncertain(contract.NewFailure(contract.KindDeadline, "cancelled", "none"))
		}
		emit(token(call.Organisation, call.Body, t.version, i))
	}
	return contract.Answer{Outcome: contract.OutcomeDone, Status: 200}
}

// token is the token at a place of the only right answer of a version.
func token(organisation string, body []byte, version string, place int) string {
	return fmt.Sprintf("%s/%s/%s/%d", organisation, body, version, place)
}
