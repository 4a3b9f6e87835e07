// Package hosts is a stand-in for the platform's lagging host list. It serves a
// file as it was some time ago.
package hosts

import (
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

type version struct {
	readAt  time.Time
	content []byte
}

// List serves the file with a lag.
type List struct {
	path string
	lag  time.Duration

	mu       sync.Mutex
	versions []version // oldest first
}

// New returns the list of a file.
func New(path string, lag time.Duration) *List {
	return &List{path: path, lag: lag}
}

// Watch reads the file again and again. It never returns.
func (l *List) Watch(every time.Duration) {
	for {
		l.load(time.Now())
		time.Sleep(every)
	}
}

func (l *List) load(now time.Time) {
	content, err := os.ReadFile(l.path)
	if err != nil {
		return // the last version holds
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{readAt: now, content: content})
	for len(l.versions) > 1 && l.versions[1].readAt.Before(now.Add(-l.lag)) {
		l.versions = l.versions[1:]
	}
}

// Routes adds the list's interface to a router.
func (l *List) Routes(r chi.Router) {
	r.Get("/v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.versions) == 0 {
			http.Error(w, "not read yet", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(l.versions[0].content)
	})
}
