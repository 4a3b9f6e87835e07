// Package service is a stand-in for a plain service with calls that may not be
// repeated. It counts how often each took effect.
package service

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Store counts effects. Replicas of one service share it through one process.
type Store struct {
	delay time.Duration

	mu      sync.Mutex
	effects map[string]int
}

// New returns a service whose calls take the delay.
func New(delay time.Duration) *Store {
	return &Store{delay: delay, effects: map[string]int{}}
}

type answer struct {
	Organisation string `json:"organisation"`
	ID           string `json:"id"`
	Effects      int    `json:"effects"`
}

// Routes adds the service's interface to a router.
func (s *Store) Routes(r chi.Router) {
	r.Post("/confirmations/{id}", s.confirm)
	r.Get("/confirmations/{id}", s.look)
	r.Get("/effects", s.all)
}

// key keeps the organisations apart.
func key(r *http.Request) string {
	return r.Header.Get("Camphormill-Organisation") + "/" + chi.URLParam(r, "id")
}

func (s *Store) confirm(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.delay)
	s.mu.Lock()
	s.effects[key(r)]++
	n := s.effects[key(r)]
	s.mu.Unlock()
	s.write(w, r, n)
}

func (s *Store) look(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	n := s.effects[key(r)]
	s.mu.Unlock()
	s.write(w, r, n)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, n int) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer{
		Organisation: r.Header.Get("Camphormill-Organisation"), ID: chi.URLParam(r, "id"), Effects: n,
	})
}

func (s *Store) all(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.effects)
}
