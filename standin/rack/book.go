package rack

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Book records which requests the targets ran and what callers were told about them, and
// collects violations: a request that ran twice although it must run at most once, one that
// ran although its caller was told that it did not, and one with wrong headers. It is safe for
// concurrent use.
type Book struct {
	mu             sync.Mutex
	runs           map[string]int  // by attempt id, of requests that must run at most once
	reportedNotRun map[string]bool // attempt ids whose callers were told that they did not run
	violations     []string
}

// NewBook returns a Book without records.
func NewBook() *Book { return &Book{runs: map[string]int{}, reportedNotRun: map[string]bool{}} }

// accept reads a request to a target and checks its headers. It responds to a request that
// names another target and returns false, as for a request whose body cannot be read.
func (b *Book) accept(w http.ResponseWriter, r *http.Request, target string) bool {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if r.Header.Get("Expect-Instance") != target {
		w.Header().Set("Instance-Id", target)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if r.Header.Get("Authorization") != "" || r.Header.Get("Tenant") != Organisation {
		b.addViolation("request %s reached target %s with an API key or without its organisation", r.Header.Get("Attempt-Id"), target)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false // the caller has disconnected
	}
	return true
}

// recordRun records that a request runs. Requests that may run more than once are not
// recorded.
func (b *Book) recordRun(r *http.Request, _ string) {
	if r.Header.Get("Once") == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	b.runs[id]++
	if b.runs[id] > 1 {
		b.violations = append(b.violations, fmt.Sprintf("request %s ran %d times", id, b.runs[id]))
	}
	if b.reportedNotRun[id] {
		b.violations = append(b.violations, fmt.Sprintf("request %s ran after its caller was told that it had not run", id))
	}
}

func (b *Book) addViolation(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.violations = append(b.violations, fmt.Sprintf(format, args...))
}

// NotRun records that the caller of the attempt was told that it did not run.
func (b *Book) NotRun(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reportedNotRun[id] = true
	if b.runs[id] > 0 {
		b.violations = append(b.violations, fmt.Sprintf("request %s ran, but its caller was told that it had not run", id))
	}
}

// Broken returns the violations so far.
func (b *Book) Broken() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.violations...)
}

// Service returns the routes of one target of a plain service. Each request takes the given
// time, and a share of the responses, between 0 and 1, is lost after the request has run.
func (b *Book) Service(id string, duration time.Duration, lostShare float64) func(r chi.Router) {
	return func(r chi.Router) {
		r.HandleFunc("/*", func(w http.ResponseWriter, r *http.Request) {
			if !b.accept(w, r, id) {
				return
			}
			b.recordRun(r, id)
			time.Sleep(duration)
			if rand.Float64() < lostShare {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Response-Seal", id)
			_, _ = io.WriteString(w, "answer to "+r.Header.Get("Attempt-Id")) // fails only if the caller has disconnected
		})
	}
}
