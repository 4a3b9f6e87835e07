// Package hosts is a stand-in for the platform's host list, which lags behind the real
// hosts: it serves a file as it was a fixed time ago.
package hosts

import (
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// version is the content of the file at one time.
type version struct {
	readAt  time.Time
	content []byte
}

// List serves a file with a lag. It is safe for concurrent use.
type List struct {
	path string
	lag  time.Duration

	mu       sync.Mutex
	versions []version // oldest first
}

// New returns a list that serves the file at path as it was lag ago, or, until the list is older
// than lag, the content that it read first. It has no content until Watch is called.
func New(path string, lag time.Duration) *List {
	return &List{path: path, lag: lag}
}

// Watch reads the file at an interval. It never returns.
func (l *List) Watch(interval time.Duration) {
	for {
		l.load(time.Now())
		time.Sleep(interval)
	}
}

// load reads the file and drops the versions that are older than the one to serve.
func (l *List) load(now time.Time) {
	content, err := os.ReadFile(l.path)
	if err != nil {
		return // keep serving the versions that were read
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{readAt: now, content: content})
	for len(l.versions) > 1 && l.versions[1].readAt.Before(now.Add(-l.lag)) {
		l.versions = l.versions[1:]
	}
}

// Routes adds the list's HTTP API to a router.
func (l *List) Routes(r chi.Router) {
	r.Get("/v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.versions) == 0 {
			http.Error(w, "host list has not been read yet; retry", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(l.versions[0].content)
	})
}
