package door

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/parts/contract"
)

// prefixLength is how much of a prompt names its prefix for cache affinity, in
// bytes.
const prefixLength = 256

// completionBody is what this system reads of a completion request; the engine
// reads all of it.
type completionBody struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Stream bool   `json:"stream"`
}

type completionChoice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

type completionAnswer struct {
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}

type reserveBody struct {
	Service string `json:"service"`
}

type reserveAnswer struct {
	Reservation string    `json:"reservation"`
	ExpiresAt   time.Time `json:"expires_at"`
}

func decodeReserve(body []byte) (reserveBody, *contract.Failure) {
	var wanted reserveBody
	if err := json.Unmarshal(body, &wanted); err != nil || wanted.Service == "" {
		return wanted, contract.NewFailure(contract.KindInvalidRequest,
			"the body names no service", `send {"service": "NAME"}`)
	}
	return wanted, nil
}

func decodeCompletion(body []byte) (completionBody, *contract.Failure) {
	var c completionBody
	if err := json.Unmarshal(body, &c); err != nil {
		return c, contract.NewFailure(contract.KindInvalidRequest,
			"the body is no completion request: "+err.Error(), "send a JSON object with model and prompt")
	}
	if c.Model == "" {
		return c, contract.NewFailure(contract.KindInvalidRequest, "the body names no model", "send a model")
	}
	return c, nil
}

// complete drafts with a model, streamed or whole.
func (d *Door) complete(w http.ResponseWriter, r *http.Request) {
	began := d.config.Now()
	request, failure := d.admitted(w, r)
	var body completionBody
	if failure == nil {
		body, failure = decodeCompletion(request.Body)
	}
	if failure != nil {
		d.refuse(w, r, failure)
		return
	}
	request.Kind = contract.WorkDraft
	request.Serves = body.Model
	request.Stream = body.Stream
	request.Prefix = prefixOf(request.Organisation, body.Prompt)
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	var result dispatch.Result
	if body.Stream {
		result = d.stream(ctx, w, request)
	} else {
		result = d.whole(ctx, w, request)
	}
	d.config.Observe(request.Organisation, request.Class, result.Outcome, d.config.Now().Sub(began))
}

// prefixOf names a prompt's prefix within its organisation: caches are never
// shared between organisations.
func prefixOf(organisation, prompt string) uint64 {
	if len(prompt) > prefixLength {
		prompt = prompt[:prefixLength]
	}
	return xxhash.Sum64String(organisation + "\x00" + prompt)
}

func (d *Door) whole(ctx context.Context, w http.ResponseWriter, request dispatch.Request) dispatch.Result {
	var text strings.Builder
	result := d.config.Dispatcher.Draft(ctx, request, func(token string) { text.WriteString(token) })
	if result.Outcome == contract.OutcomeDone && result.Status == http.StatusOK {
		answer := completionAnswer{Model: request.Serves, Choices: []completionChoice{{Text: text.String()}}}
		result.Body, _ = json.Marshal(answer) // strings always encode
		result.ContentType = "application/json"
	}
	d.answer(w, result)
	return result
}

// stream sends tokens as they come. Until the first one, a failure is a plain
// answer; after it, an event.
func (d *Door) stream(ctx context.Context, w http.ResponseWriter, request dispatch.Request) dispatch.Result {
	out := &eventWriter{w: w, control: http.NewResponseController(w), model: request.Serves}
	result := d.config.Dispatcher.Draft(ctx, request, out.token)
	switch {
	case result.Outcome == contract.OutcomeDone && result.Status == http.StatusOK:
		out.start()
		out.raw("data: [DONE]\n\n")
	case !out.started:
		d.answer(w, result)
	default:
		failure, _ := json.Marshal(failureBody{Outcome: result.Outcome, Failure: result.Failure}) // always encodes
		out.raw("event: error\ndata: " + string(failure) + "\n\n")
	}
	return result
}

type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	model   string
	started bool
}

func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

func (e *eventWriter) token(text string) {
	e.start()
	event, _ := json.Marshal(completionAnswer{Model: e.model, Choices: []completionChoice{{Text: text}}}) // always encodes
	e.raw("data: " + string(event) + "\n\n")
}

// raw writes and flushes. A caller who has gone shows as the end of its context.
func (e *eventWriter) raw(text string) {
	if _, err := e.w.Write([]byte(text)); err != nil {
		return
	}
	_ = e.control.Flush()
}
