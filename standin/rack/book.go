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

// Book notes what targets ran, and what they were asked that they must not be. It
// is safe for concurrent use.
type Book struct {
	mu     sync.Mutex
	runs   map[string]int  // of requests that may run once
	told   map[string]bool // callers were told that these did not run
	broken []string
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{runs: map[string]int{}, told: map[string]bool{}} }

// begin answers a request that this target must not run, and checks its headers.
func (b *Book) begin(w http.ResponseWriter, r *http.Request, target string) bool {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if r.Header.Get("Expect-Instance") != target {
		w.Header().Set("Instance-Id", target)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	if r.Header.Get("Authorization") != "" || r.Header.Get("Tenant") != Organisation {
		b.breach("request %s reached %s with a key or without its organisation", r.Header.Get("Attempt-Id"), target)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false // the caller has gone
	}
	return true
}

func (b *Book) run(r *http.Request, _ string) {
	if r.Header.Get("Once") == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	b.runs[id]++
	if b.runs[id] > 1 {
		b.broken = append(b.broken, fmt.Sprintf("request %s ran %d times", id, b.runs[id]))
	}
	if b.told[id] {
		b.broken = append(b.broken, fmt.Sprintf("request %s ran after its caller was told that it did not", id))
	}
}

func (b *Book) breach(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, fmt.Sprintf(format, args...))
}

// NotRun notes that a caller was told that a request did not run.
func (b *Book) NotRun(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told[id] = true
	if b.runs[id] > 0 {
		b.broken = append(b.broken, fmt.Sprintf("request %s ran, and its caller was told that it did not", id))
	}
}

// Broken returns the promises that were broken.
func (b *Book) Broken() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.broken...)
}

// Service serves one target of a plain service, which loses a share of its answers
// after it has run the request.
func (b *Book) Service(id string, work time.Duration, lost float64) func(r chi.Router) {
	return func(r chi.Router) {
		r.HandleFunc("/*", func(w http.ResponseWriter, r *http.Request) {
			if !b.begin(w, r, id) {
				return
			}
			b.run(r, id)
			time.Sleep(work)
			if rand.Float64() < lost {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Response-Seal", id)
			_, _ = io.WriteString(w, "answer to "+r.Header.Get("Attempt-Id")) // a caller who has gone needs none
		})
	}
}
