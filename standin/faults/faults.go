// Package faults injects faults into the HTTP servers of the stand-ins: refused requests,
// slow requests, and responses that are lost after the request has taken effect.
package faults

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Mode says which faults are injected. The zero value injects none.
type Mode struct {
	Down       bool `json:"down"`        // respond to every request with 503
	SlowMS     int  `json:"slow_ms"`     // milliseconds by which every request is delayed
	LoseAnswer bool `json:"lose_answer"` // handle the request, then drop the connection
	Lose       int  `json:"lose"`        // number of responses that LoseAnswer drops; 0 means all
}

// Switches holds the mode of one server. It is safe for concurrent use.
type Switches struct {
	mu   sync.Mutex
	mode Mode
}

// Set replaces the mode.
func (s *Switches) Set(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Handler sets the Mode that the JSON body of a request contains.
func (s *Switches) Handler(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(m)
	w.WriteHeader(http.StatusNoContent)
}

// Wrap returns a handler that injects the faults into the requests to next.
func (s *Switches) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		m := s.mode
		if m.LoseAnswer && m.Lose > 0 {
			s.mode.Lose--
			s.mode.LoseAnswer = s.mode.Lose > 0
		}
		s.mu.Unlock()
		time.Sleep(time.Duration(m.SlowMS) * time.Millisecond)
		if m.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if m.LoseAnswer {
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
