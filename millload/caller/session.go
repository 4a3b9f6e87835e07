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

// session is one event on its way to a final outcome.
type session struct {
	caller      *Caller
	event       trace.Event
	began       time.Time
	sends       int
	reservation string
	firstFault  string // what went wrong first
}

// fault notes what went wrong, when it is the first thing.
func (s *session) fault(problem string) {
	if s.firstFault == "" {
		s.firstFault = problem
	}
}

func (s *session) run(ctx context.Context) Result {
	pause := firstPause
	last := Result{Outcome: contract.OutcomeUnknown, Problem: "no answer"}
	for s.sends < maxSends && ctx.Err() == nil {
		if s.event.Binding == trace.BindingReservation && s.reservation == "" {
			if !s.reserve(ctx, &pause) {
				continue
			}
		}
		s.sends++
		r, err := s.send(ctx)
		if err != nil {
			last = Result{Outcome: contract.OutcomeUnknown, Problem: "connection lost: " + err.Error()}
			s.fault(last.Problem)
			s.sleep(ctx, pause)
			pause *= 2
			continue
		}
		last = s.judge(r)
		if last.Problem == "" || !s.again(r) {
			return last
		}
		s.fault(last.Problem)
		s.sleep(ctx, r.pause(pause))
	}
	return last
}

func (s *session) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// again says whether to send once more. After "not run" a reservation is used
// up; after "unknown" it is presented again.
func (s *session) again(r reply) bool {
	switch r.outcome() {
	case contract.OutcomeNotRun:
		s.reservation = ""
		return r.status/100 == 5 || r.status == http.StatusTooManyRequests || r.status == http.StatusConflict
	case contract.OutcomeUnknown:
		return r.header.Get("Retry-After") != ""
	}
	// A stream that was cut after its first token has no outcome header.
	return s.event.Kind == trace.KindDraft
}

func (s *session) header() http.Header {
	h := http.Header{}
	h.Set("Authorization", "Bearer "+s.caller.config.Keys[s.event.Organisation])
	h.Set("Content-Type", "application/json")
	if s.event.Class != "" {
		h.Set("Camphormill-Class", s.event.Class)
	}
	return h
}

func (s *session) reserve(ctx context.Context, pause *time.Duration) bool {
	body, _ := json.Marshal(map[string]string{"service": s.event.Serves}) // strings always encode
	r, err := s.caller.send(ctx, http.MethodPost, "/v1/reservations", s.header(), body)
	var answer struct {
		Reservation string `json:"reservation"`
	}
	if err == nil && r.status == http.StatusCreated && json.Unmarshal(r.body, &answer) == nil {
		s.reservation = answer.Reservation
		return true
	}
	s.sends++
	s.fault(fmt.Sprintf("no reservation: status %d: %v: %s", r.status, err, r.body))
	s.sleep(ctx, r.pause(*pause))
	*pause *= 2
	return false
}

func (s *session) send(ctx context.Context) (reply, error) {
	h := s.header()
	path := "/v1/services/" + s.event.Serves + "/confirmations/" + s.event.ID
	switch s.event.Kind {
	case trace.KindLookup:
		return s.caller.send(ctx, http.MethodGet, path, h, nil)
	case trace.KindConfirm:
		if s.reservation != "" {
			h.Set("Camphormill-Reservation", s.reservation)
		} else {
			h.Set("Idempotency-Key", s.event.ID)
		}
		return s.caller.send(ctx, http.MethodPost, path, h, []byte(`{}`))
	}
	body, _ := json.Marshal(map[string]any{ // plain values always encode
		"model": s.event.Serves, "prompt": s.event.Prompt, "max_tokens": s.event.MaxTokens, "stream": s.event.Stream,
	})
	return s.caller.send(ctx, http.MethodPost, "/v1/completions", h, body)
}

// judge compares an answer with what the event must get.
func (s *session) judge(r reply) Result {
	outcome := r.outcome()
	if r.status != http.StatusOK {
		return Result{Outcome: outcome, Problem: fmt.Sprintf("status %d: %s", r.status, strings.TrimSpace(string(r.body)))}
	}
	result := Result{Outcome: contract.OutcomeDone}
	switch s.event.Kind {
	case trace.KindDraft:
		text, whole := s.text(r)
		if !whole {
			return Result{Outcome: contract.OutcomeUnknown, Problem: "the stream was cut: " + string(r.body)}
		}
		result.Problem = s.wrongText(text)
		if s.event.Stream {
			result.FirstToken = r.firstToken.Sub(s.began)
		}
	default:
		var answer struct {
			Organisation string `json:"organisation"`
			ID           string `json:"id"`
		}
		if json.Unmarshal(r.body, &answer) != nil || answer.ID != s.event.ID || answer.Organisation != s.event.Organisation {
			result.Problem = "somebody else's answer: " + string(r.body)
		}
	}
	return result
}

// text returns the text of a draft and whether it is whole.
func (s *session) text(r reply) (string, bool) {
	type answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	var whole strings.Builder
	add := func(raw string) {
		var a answer
		if json.Unmarshal([]byte(raw), &a) == nil {
			for _, choice := range a.Choices {
				whole.WriteString(choice.Text)
			}
		}
	}
	if !s.event.Stream {
		add(string(r.body))
		return whole.String(), true
	}
	for line := range strings.SplitSeq(string(r.body), "\n") {
		data, found := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			return whole.String(), true
		}
		if found {
			add(data)
		}
	}
	return whole.String(), false
}

// wrongText checks the stand-in engine's tokens: HASH.VERSION.PLACE, all of one
// version, each place once.
func (s *session) wrongText(text string) string {
	sum := sha256.Sum256([]byte(s.event.Prompt))
	hash := hex.EncodeToString(sum[:4])
	tokens := strings.Fields(text)
	if len(tokens) != s.event.MaxTokens {
		return fmt.Sprintf("%d tokens instead of %d", len(tokens), s.event.MaxTokens)
	}
	version := ""
	for place, token := range tokens {
		parts := strings.Split(token, ".")
		if len(parts) != 3 || parts[0] != hash || parts[2] != fmt.Sprint(place) {
			return "wrong token " + token
		}
		if version != "" && parts[1] != version {
			return "tokens of two versions"
		}
		version = parts[1]
	}
	return ""
}
