// Package service is a stand-in for a plain service whose calls must not run twice. It counts
// how often each call took effect.
package service

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Service counts the effects of calls. It is safe for concurrent use; the replicas of a service
// share one process and so one Service.
type Service struct {
	delay time.Duration

	mu      sync.Mutex
	effects map[string]int // number of effects by effectKey
}

// New returns a service whose calls take effect after the delay.
func New(delay time.Duration) *Service {
	return &Service{delay: delay, effects: map[string]int{}}
}

type confirmation struct {
	Organisation string `json:"organisation"`
	ID           string `json:"id"`
	Effects      int    `json:"effects"`
}

// Routes adds the service's HTTP API to a router.
func (s *Service) Routes(r chi.Router) {
	r.Post("/confirmations/{id}", s.handleConfirm)
	r.Get("/confirmations/{id}", s.handleLookup)
	r.Get("/effects", s.handleEffects)
}

// effectKey identifies a call within all organisations: two organisations may use the same id.
func effectKey(r *http.Request) string {
	return r.Header.Get("Camphormill-Organisation") + "/" + chi.URLParam(r, "id")
}

func (s *Service) handleConfirm(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.delay)
	s.mu.Lock()
	s.effects[effectKey(r)]++
	effects := s.effects[effectKey(r)]
	s.mu.Unlock()
	s.writeConfirmation(w, r, effects)
}

// handleLookup returns the number of effects of a call and changes nothing.
func (s *Service) handleLookup(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	effects := s.effects[effectKey(r)]
	s.mu.Unlock()
	s.writeConfirmation(w, r, effects)
}

func (s *Service) writeConfirmation(w http.ResponseWriter, r *http.Request, effects int) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(confirmation{
		Organisation: r.Header.Get("Camphormill-Organisation"), ID: chi.URLParam(r, "id"), Effects: effects,
	})
}

// handleEffects returns the number of effects of every call, by organisation and id.
func (s *Service) handleEffects(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.effects)
}
