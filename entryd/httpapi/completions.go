package httpapi

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/daemon"
)

// maxPrefixBytes bounds the beginning of a prompt that is hashed for cache affinity.
const maxPrefixBytes = 256

// completionRequest holds the fields of a completion request that the entry reads. The
// engine gets the whole body.
type completionRequest struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Stream bool   `json:"stream"`
}

// completionChoice is one choice of a completionResponse.
type completionChoice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// completionResponse is a whole completion, or one token of a streamed one.
type completionResponse struct {
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}

// reservationRequest is the body of a request for a reservation.
type reservationRequest struct {
	Service string `json:"service"`
}

// reservationResponse is the answer to a request for a reservation.
type reservationResponse struct {
	Reservation string    `json:"reservation"`
	ExpiresAt   time.Time `json:"expires_at"`
}

func decodeReservation(body []byte) (reservationRequest, *contract.Failure) {
	var request reservationRequest
	if err := json.Unmarshal(body, &request); err != nil || request.Service == "" {
		return request, contract.NewFailure(contract.KindInvalidRequest,
			"the body is not JSON or names no service", `send {"service": "NAME"}`)
	}
	return request, nil
}

func decodeCompletion(body []byte) (completionRequest, *contract.Failure) {
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return request, contract.NewFailure(contract.KindInvalidRequest,
			"the body is not a completion request: "+err.Error(), "send a JSON object with model and prompt")
	}
	if request.Model == "" {
		return request, contract.NewFailure(contract.KindInvalidRequest, "the body names no model", "send a model")
	}
	return request, nil
}

// complete serves a completion, streamed or in one answer.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	start := s.config.Now()
	hold := s.openHold(w)
	defer hold.Close()
	request, failure := s.admit(w, r, hold)
	var body completionRequest
	if failure == nil {
		body, failure = decodeCompletion(request.Body)
	}
	if failure == nil {
		failure = s.refuseOutlasting(request.Deadline)
	}
	if failure != nil {
		s.writeRefusal(w, r, failure)
		return
	}
	request.Kind = contract.WorkDraft
	request.ServiceName = body.Model
	request.Stream = body.Stream
	request.Prefix = prefixHash(request.Organisation, body.Prompt)
	ctx, cancel := s.requestContext(r, request.Deadline)
	defer cancel()
	var result dispatch.Result
	broken := false
	if body.Stream {
		result, broken = s.completeStream(ctx, w, request, hold)
	} else {
		result = s.completeWhole(ctx, w, request, hold)
	}
	s.config.Observe(request.Organisation, request.Class, result.Outcome, s.config.Now().Sub(start))
	if broken {
		daemon.CutOff(w, r)
	}
}

// prefixHash hashes the beginning of a prompt together with its organisation, because
// organisations never share a cache.
func prefixHash(organisation, prompt string) uint64 {
	if len(prompt) > maxPrefixBytes {
		prompt = prompt[:maxPrefixBytes]
	}
	return xxhash.Sum64String(organisation + "\x00" + prompt)
}

// defaultMaxAnswerBytes is the default of Config.MaxAnswerBytes.
const defaultMaxAnswerBytes = 8 << 20

// completeWhole collects all tokens and writes them in one answer. It ends a run whose answer exceeds MaxAnswerBytes.
func (s *Server) completeWhole(ctx context.Context, w http.ResponseWriter, request dispatch.Request, hold *bytebudget.Hold) dispatch.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var text strings.Builder
	maxBytes, tooLarge := cmp.Or(s.config.MaxAnswerBytes, defaultMaxAnswerBytes), false
	result := s.config.Dispatcher.RunRepeatable(ctx, request, func(token string) {
		if tooLarge = tooLarge || text.Len()+len(token) > maxBytes; tooLarge {
			cancel()
			return
		}
		text.WriteString(token)
	})
	if tooLarge {
		result.Answer = contract.UnknownAnswer(contract.NewFailure(contract.KindTooLarge,
			"the answer exceeds the size limit; the request was run", "request a shorter answer, or a stream"))
	}
	if result.Outcome == contract.OutcomeDone && result.Status == http.StatusOK {
		answer := completionResponse{Model: request.ServiceName, Choices: []completionChoice{{Text: text.String()}}}
		result.Body, _ = json.Marshal(answer) // strings always encode
		result.ContentType = "application/json"
	}
	s.writeResult(w, result, hold)
	return result
}

// completeStream writes each token as an event when it arrives. A failure before the
// first token is a plain answer. A later one is an event, and the response must then be cut off, which
// broken reports.
func (s *Server) completeStream(ctx context.Context, w http.ResponseWriter, request dispatch.Request, hold *bytebudget.Hold) (result dispatch.Result, broken bool) {
	events := &eventWriter{w: w, controller: http.NewResponseController(w), model: request.ServiceName}
	result = s.config.Dispatcher.RunRepeatable(ctx, request, events.writeToken)
	switch {
	case result.Outcome == contract.OutcomeDone && result.Status == http.StatusOK:
		events.start()
		events.write("data: [DONE]\n\n")
	case !events.started:
		s.writeResult(w, result, hold)
	default:
		failure, _ := json.Marshal(failureResponse{Outcome: result.Outcome, Failure: result.Failure}) // always encodes
		events.write("event: error\ndata: " + string(failure) + "\n\n")
		return result, true
	}
	return result, false
}

// eventWriter writes server-sent events to a caller. It is not safe for concurrent use.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	model      string
	started    bool
}

// start writes the header unless that is done.
func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

// writeToken writes one token as an event.
func (e *eventWriter) writeToken(text string) {
	e.start()
	event, _ := json.Marshal(completionResponse{Model: e.model, Choices: []completionChoice{{Text: text}}}) // always encodes
	e.write("data: " + string(event) + "\n\n")
}

// write writes text and flushes it. It ignores errors, because the request's context
// ends when the caller disconnects.
func (e *eventWriter) write(text string) {
	if _, err := e.w.Write([]byte(text)); err != nil {
		return
	}
	_ = e.controller.Flush()
}
