// Package engine is a stand-in for a model engine: continuous batching in steps,
// streamed completions that can be resumed, and a crash on a marked request.
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

// CrashMarker in a prompt makes the engine fail with all its requests.
const CrashMarker = "CRASH-THE-ENGINE"

// Config is what an Engine is built from.
type Config struct {
	Version  string
	Step     time.Duration // of an empty batch
	PerSlot  time.Duration // more for each request in the batch
	Recovery time.Duration // how long it refuses after a crash
}

// Engine batches requests; each gets one token a step.
type Engine struct {
	config Config

	mu      sync.Mutex
	batch   int
	step    chan struct{} // closed at the end of the step
	downTil time.Time
	crashed chan struct{} // closed at a crash
}

// New returns an engine; Run makes its steps.
func New(c Config) *Engine {
	return &Engine{config: c, step: make(chan struct{}), crashed: make(chan struct{})}
}

// Run makes steps. It never returns.
func (e *Engine) Run() {
	for {
		e.mu.Lock()
		took := e.config.Step + time.Duration(e.batch)*e.config.PerSlot
		e.mu.Unlock()
		time.Sleep(took)
		e.mu.Lock()
		close(e.step)
		e.step = make(chan struct{})
		e.mu.Unlock()
	}
}

// Routes adds the engine's interface to a router.
func (e *Engine) Routes(r chi.Router) {
	r.Post("/v1/completions", e.complete)
}

type request struct {
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	ResumeFrom int    `json:"resume_from"`
}

// Token is the token at a place of the answer to a prompt. It depends on nothing
// else but the version, so that a checker can tell whose answer it is.
func Token(prompt, version string, place int) string {
	sum := sha256.Sum256([]byte(prompt))
	return fmt.Sprintf("%s.%s.%d ", hex.EncodeToString(sum[:4]), version, place)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || q.MaxTokens <= 0 {
		http.Error(w, `{"error":"send prompt and max_tokens above 0"}`, http.StatusBadRequest)
		return
	}
	if !e.join() {
		panic(http.ErrAbortHandler)
	}
	defer e.leave()
	if strings.Contains(q.Prompt, CrashMarker) {
		e.crash()
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, q)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, q request) {
	control := http.NewResponseController(w)
	for place := q.ResumeFrom; place < q.MaxTokens; place++ {
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
		event, _ := json.Marshal(map[string]any{"choices": []map[string]string{{"text": Token(q.Prompt, e.config.Version, place)}}})
		if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil {
			return
		}
		_ = control.Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (e *Engine) join() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downTil) {
		return false
	}
	e.batch++
	return true
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch--
}

func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.downTil = time.Now().Add(e.config.Recovery)
	close(e.crashed)
	e.crashed = make(chan struct{})
}
