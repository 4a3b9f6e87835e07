package fakeplatform

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Recorder records which requests the targets ran and what callers were told about them, and
// collects violations: a request that ran twice although it must run at most once, one that
// ran although its caller was told that it did not, and one with wrong headers. It is safe for
// concurrent use.
type Recorder struct {
	mu         sync.Mutex
	runs       map[string]int  // by attempt id, of requests that must run at most once
	toldNotRun map[string]bool // attempt ids whose callers were told that they did not run
	violations []string
}

// NewRecorder returns a Recorder without records.
func NewRecorder() *Recorder { return &Recorder{runs: map[string]int{}, toldNotRun: map[string]bool{}} }

// accept reads a request to a target and checks its headers. It returns false for a request
// that names another target, to which it has responded, and for one whose body cannot be read.
func (rec *Recorder) accept(w http.ResponseWriter, r *http.Request, target string) bool {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if r.Header.Get("Expect-Instance") != target {
		w.Header().Set("Instance-Id", target)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if r.Header.Get("Authorization") != "" || r.Header.Get("Tenant") != Organisation {
		rec.addViolation("request %s reached target %s with an API key or without its organisation", r.Header.Get("Attempt-Id"), target)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false // the caller has disconnected
	}
	if sent := r.Header.Get(headerSentTarget); sent != "" && (r.RequestURI != sent || string(body) != "body of "+r.Header.Get("Attempt-Id")) {
		rec.addViolation("request %s reached target %s as %q with body %q, sent as %q", r.Header.Get("Attempt-Id"), target, r.RequestURI, body, sent)
	}
	return true
}

// recordRun records that a request runs. Requests that may run more than once, which have no
// header Once, are not recorded.
func (rec *Recorder) recordRun(r *http.Request, _ string) {
	if r.Header.Get("Once") == "" {
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	rec.runs[id]++
	if rec.runs[id] > 1 {
		rec.violations = append(rec.violations, fmt.Sprintf("request %s ran %d times", id, rec.runs[id]))
	}
	if rec.toldNotRun[id] {
		rec.violations = append(rec.violations, fmt.Sprintf("request %s ran after its caller was told that it had not run", id))
	}
}

func (rec *Recorder) addViolation(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.violations = append(rec.violations, fmt.Sprintf(format, args...))
}

// RecordNotRun records that the caller of the attempt was told that it did not run.
func (rec *Recorder) RecordNotRun(id string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.toldNotRun[id] = true
	if rec.runs[id] > 0 {
		rec.violations = append(rec.violations, fmt.Sprintf("request %s ran, but its caller was told that it had not run", id))
	}
}

// Violations returns the violations so far.
func (rec *Recorder) Violations() []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return append([]string(nil), rec.violations...)
}

// ServiceRoutes returns the routes of one target of a plain service. Each request takes the given
// time, and a share of the responses, between 0 and 1, is lost after the request has run.
func (rec *Recorder) ServiceRoutes(id string, duration time.Duration, lostShare float64) func(r chi.Router) {
	return func(r chi.Router) {
		r.HandleFunc("/*", func(w http.ResponseWriter, r *http.Request) {
			if !rec.accept(w, r, id) {
				return
			}
			rec.recordRun(r, id)
			time.Sleep(duration)
			if rand.Float64() < lostShare {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Response-Seal", id)
			_, _ = io.WriteString(w, "answer to "+r.Header.Get("Attempt-Id")) // fails only if the caller has disconnected
		})
	}
}
