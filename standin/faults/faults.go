// Package faults gives every stand-in the same switches: down, slow, and an
// answer lost after its effect.
package faults

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Mode is the state of the switches.
type Mode struct {
	Down       bool `json:"down"`
	SlowMS     int  `json:"slow_ms"`
	LoseAnswer bool `json:"lose_answer"` // after the effect
	Lose       int  `json:"lose"`        // how many answers; 0 is all
}

// Switches are safe for concurrent use.
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

// Handler takes a Mode by POST.
func (s *Switches) Handler(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(m)
	w.WriteHeader(http.StatusNoContent)
}

// Wrap puts the switches before a handler.
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
			next.ServeHTTP(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

type discard struct {
	header http.Header
}

// Header returns headers that nobody sees.
func (d discard) Header() http.Header { return d.header }

// Write drops the bytes.
func (d discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (d discard) WriteHeader(int) {}
