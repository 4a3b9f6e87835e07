// Package engine is a stand-in for a model engine: continuous batching in steps, streamed
// completions that can be resumed, and a crash on a request that contains CrashMarker.
package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// CrashMarker is the text that makes the engine crash and cut off other running requests when
// a prompt contains it. The request with that prompt runs on.
const CrashMarker = "CRASH-THE-ENGINE"

// Config configures an Engine.
type Config struct {
	Version    string
	Step       time.Duration // duration of a step of an empty batch
	PerRequest time.Duration // additional duration of a step for each request in the batch
	Recovery   time.Duration // time after a crash for which connections of new requests are dropped
}

// Engine runs requests in one batch; each request gets one token a step. It is safe for
// concurrent use.
type Engine struct {
	config Config

	mu          sync.Mutex
	batch       int           // number of running requests
	step        chan struct{} // closed at the end of the step, then replaced
	refuseUntil time.Time
	crashed     chan struct{} // closed at a crash, then replaced
}

// New returns an engine that runs no steps until Run is called.
func New(c Config) *Engine {
	return &Engine{config: c, step: make(chan struct{}), crashed: make(chan struct{})}
}

// Run runs steps. It never returns.
func (e *Engine) Run() {
	for {
		e.mu.Lock()
		duration := e.config.Step + time.Duration(e.batch)*e.config.PerRequest
		e.mu.Unlock()
		time.Sleep(duration)
		e.mu.Lock()
		close(e.step)
		e.step = make(chan struct{})
		e.mu.Unlock()
	}
}

// Routes adds the engine's HTTP API to a router.
func (e *Engine) Routes(r chi.Router) {
	r.Post("/v1/completions", e.complete)
}

type completionRequest struct {
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	ResumeFrom int    `json:"resume_from"` // index of the first token to send
}

// Token returns the token at an index of the completion of a prompt. It depends only on the
// prompt, the model version and the index, so that a test can verify any part of a response.
func Token(prompt, version string, index int) string {
	sum := sha256.Sum256([]byte(prompt))
	return fmt.Sprintf("%s.%s.%d ", hex.EncodeToString(sum[:4]), version, index)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || q.MaxTokens <= 0 {
		http.Error(w, `{"error":"send prompt and max_tokens above 0"}`, http.StatusBadRequest)
		return
	}
	if !e.admit() {
		panic(http.ErrAbortHandler)
	}
	defer e.release()
	if strings.Contains(q.Prompt, CrashMarker) {
		e.crash()
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, q)
}

// stream sends one token at the end of each step, from the index to resume from.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, q completionRequest) {
	controller := http.NewResponseController(w)
	for index := q.ResumeFrom; index < q.MaxTokens; index++ {
		e.mu.Lock()
		step, crashed := e.step, e.crashed
		e.mu.Unlock()
		select {
		case <-step:
		case <-crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		event, _ := json.Marshal(map[string]any{"choices": []map[string]string{{"text": Token(q.Prompt, e.config.Version, index)}}})
		if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil {
			return
		}
		_ = controller.Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// admit adds a request to the batch. It returns false while the engine recovers from a crash.
func (e *Engine) admit() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.refuseUntil) {
		return false
	}
	e.batch++
	return true
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch--
}

// crash cuts off the requests that wait for a step, and makes admit refuse new ones during the
// recovery time. The request that caused the crash does not wait yet, so it runs on.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refuseUntil = time.Now().Add(e.config.Recovery)
	close(e.crashed)
	e.crashed = make(chan struct{})
}
