// Package faults injects faults into the HTTP servers of the stand-ins: refused requests,
// slow requests, and responses that are lost after the request has taken effect.
package faults

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults says which faults are injected. The zero value injects none.
type Faults struct {
	Down       bool `json:"down"`        // respond to every request with 503
	SlowMS     int  `json:"slow_ms"`     // milliseconds by which every request is delayed
	LoseAnswer bool `json:"lose_answer"` // handle the request, then drop the connection
	Lose       int  `json:"lose"`        // number of responses that LoseAnswer drops before it ends; 0 means all
}

// Injector holds the faults of one server. It is safe for concurrent use.
type Injector struct {
	mu     sync.Mutex
	faults Faults
}

// Set replaces the faults.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// Handler replaces the faults by those that the JSON body of a request contains.
func (i *Injector) Handler(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// Wrap returns a handler that injects the faults into the requests to next. A request that is
// refused because of Down counts towards Lose too.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i.mu.Lock()
		f := i.faults
		if f.LoseAnswer && f.Lose > 0 {
			i.faults.Lose--
			i.faults.LoseAnswer = i.faults.Lose > 0
		}
		i.mu.Unlock()
		time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if f.LoseAnswer {
			next.ServeHTTP(discardingWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discardingWriter is an http.ResponseWriter that drops the response.
type discardingWriter struct {
	header http.Header
}

// Header returns headers that are never sent.
func (d discardingWriter) Header() http.Header { return d.header }

// Write drops the bytes and reports them as written.
func (d discardingWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status code.
func (d discardingWriter) WriteHeader(int) {}
