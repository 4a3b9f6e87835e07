package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"camphormill.dev/millload/trace"
	"camphormill.dev/parts/contract"
)

// execution sends one event until it has a final outcome. It is not safe for concurrent
// use.
type execution struct {
	caller       *Caller
	event        trace.Event
	start        time.Time
	sends        int    // includes failed requests for a reservation; at most maxSends
	reservation  string // empty if none is held
	firstProblem string // first problem that led to a retry
}

// recordProblem keeps the problem if it is the first one.
func (x *execution) recordProblem(problem string) {
	if x.firstProblem == "" {
		x.firstProblem = problem
	}
}

// run sends the event until its outcome is final, maxSends is reached or ctx ends, and
// returns the last result.
func (x *execution) run(ctx context.Context) Result {
	backoff := initialBackoff
	last := Result{Outcome: contract.OutcomeUnknown, Problem: "no answer"}
	for x.sends < maxSends && ctx.Err() == nil {
		if x.event.Deduplication == trace.DeduplicationReservation && x.reservation == "" {
			if !x.reserve(ctx, &backoff) {
				continue
			}
		}
		x.sends++
		r, err := x.send(ctx)
		if err != nil {
			last = Result{Outcome: contract.OutcomeUnknown, Problem: "connection lost: " + err.Error()}
			x.recordProblem(last.Problem)
			x.sleep(ctx, backoff)
			backoff *= 2
			continue
		}
		last = x.check(r)
		if last.Problem == "" || !x.prepareRetry(r) {
			return last
		}
		x.recordProblem(last.Problem)
		x.sleep(ctx, r.retryAfter(backoff))
	}
	return last
}

// sleep waits for d or until ctx ends.
func (x *execution) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// prepareRetry reports whether to send the event again after a reply with a problem. The
// outcome "not run" consumes the reservation, so prepareRetry drops it and a retry requests
// a new one; after "unknown" the same one is sent again.
func (x *execution) prepareRetry(r reply) bool {
	switch r.outcome() {
	case contract.OutcomeNotRun:
		x.reservation = ""
		return r.status/100 == 5 || r.status == http.StatusTooManyRequests || r.status == http.StatusConflict
	case contract.OutcomeUnknown:
		return r.header.Get("Retry-After") != ""
	}
	// A stream that breaks off after its first token has no outcome header. A draft with
	// the outcome "done" and a wrong text is retried here too.
	return x.event.Kind == trace.KindDraft
}

func (x *execution) header() http.Header {
	h := http.Header{}
	h.Set("Authorization", "Bearer "+x.caller.config.Keys[x.event.Organisation])
	h.Set("Content-Type", "application/json")
	if x.event.Class != "" {
		h.Set("Camphormill-Class", x.event.Class)
	}
	return h
}

// reserve requests a reservation for the event and reports whether it got one. If not, it
// counts a send, waits for Retry-After or else the backoff, and doubles the backoff.
func (x *execution) reserve(ctx context.Context, backoff *time.Duration) bool {
	body, _ := json.Marshal(map[string]string{"service": x.event.ServiceName}) // a map of strings cannot fail to encode
	r, err := x.caller.send(ctx, http.MethodPost, "/v1/reservations", x.header(), body)
	var answer struct {
		Reservation string `json:"reservation"`
	}
	if err == nil && r.status == http.StatusCreated && json.Unmarshal(r.body, &answer) == nil {
		x.reservation = answer.Reservation
		return true
	}
	x.sends++
	x.recordProblem(fmt.Sprintf("no reservation: status %d: %v: %s", r.status, err, r.body))
	x.sleep(ctx, r.retryAfter(*backoff))
	*backoff *= 2
	return false
}

// send sends the event once. A confirmation without a reservation carries the event ID as
// its idempotency key.
func (x *execution) send(ctx context.Context) (reply, error) {
	h := x.header()
	path := "/v1/services/" + x.event.ServiceName + "/confirmations/" + x.event.ID
	switch x.event.Kind {
	case trace.KindLookup:
		return x.caller.send(ctx, http.MethodGet, path, h, nil)
	case trace.KindConfirm:
		if x.reservation != "" {
			h.Set("Camphormill-Reservation", x.reservation)
		} else {
			h.Set("Idempotency-Key", x.event.ID)
		}
		return x.caller.send(ctx, http.MethodPost, path, h, []byte(`{}`))
	}
	body, _ := json.Marshal(map[string]any{ // plain values cannot fail to encode
		"model": x.event.ServiceName, "prompt": x.event.Prompt, "max_tokens": x.event.MaxTokens, "stream": x.event.Stream,
	})
	return x.caller.send(ctx, http.MethodPost, "/v1/completions", h, body)
}

// check compares a reply with the answer that the event must get. The result's Problem is
// empty if they agree.
func (x *execution) check(r reply) Result {
	outcome := r.outcome()
	if r.status != http.StatusOK {
		return Result{Outcome: outcome, Problem: fmt.Sprintf("status %d: %s", r.status, strings.TrimSpace(string(r.body)))}
	}
	result := Result{Outcome: contract.OutcomeDone}
	switch x.event.Kind {
	case trace.KindDraft:
		text, complete := x.draftText(r)
		if !complete {
			return Result{Outcome: contract.OutcomeUnknown, Problem: "the stream broke off: " + string(r.body)}
		}
		result.Problem = x.checkText(text)
		if x.event.Stream {
			result.TimeToFirstToken = r.firstToken.Sub(x.start)
		}
	default:
		var answer struct {
			Organisation string `json:"organisation"`
			ID           string `json:"id"`
		}
		if json.Unmarshal(r.body, &answer) != nil || answer.ID != x.event.ID || answer.Organisation != x.event.Organisation {
			result.Problem = "answer to another request: " + string(r.body)
		}
	}
	return result
}

// draftText returns the text of a draft and whether it is complete.
func (x *execution) draftText(r reply) (string, bool) {
	type answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	var text strings.Builder
	appendText := func(raw string) {
		var a answer
		if json.Unmarshal([]byte(raw), &a) == nil {
			for _, choice := range a.Choices {
				text.WriteString(choice.Text)
			}
		}
	}
	if !x.event.Stream {
		appendText(string(r.body))
		return text.String(), true
	}
	for line := range strings.SplitSeq(string(r.body), "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			return text.String(), true
		}
		if found {
			appendText(data)
		}
	}
	return text.String(), false
}

// checkText checks the tokens of the stand-in engine. A token is
// HASH.VERSION.POSITION: the first 4 bytes of the SHA-256 of the prompt in hexadecimal, the
// model version, and the position from 0. All tokens must be of this prompt and one
// version, in order and complete. checkText returns what is wrong, or an empty string.
func (x *execution) checkText(text string) string {
	sum := sha256.Sum256([]byte(x.event.Prompt))
	hash := hex.EncodeToString(sum[:4])
	tokens := strings.Fields(text)
	if len(tokens) != x.event.MaxTokens {
		return fmt.Sprintf("%d tokens instead of %d", len(tokens), x.event.MaxTokens)
	}
	version := ""
	for position, token := range tokens {
		parts := strings.Split(token, ".")
		if len(parts) != 3 || parts[0] != hash || parts[2] != fmt.Sprint(position) {
			return "wrong token " + token
		}
		if version != "" && parts[1] != version {
			return "tokens come from two model versions"
		}
		version = parts[1]
	}
	return ""
}
