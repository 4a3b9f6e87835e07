package command

import (
	"time"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/settings"
)

// Settings is the settings file of targetd.
type Settings struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	Link       string `json:"link"`       // address for entries
	Operations string `json:"operations"` // address of /metrics, /healthz, /readyz
	LogLevel   string `json:"log_level"`

	Kind     contract.WorkKind `json:"kind"`
	Serves   string            `json:"serves"`
	Version  string            `json:"version"`
	Capacity int               `json:"capacity"`
	Backend  string            `json:"backend"` // URL of the engine or service

	ReservationKeys []string          `json:"reservation_keys"`
	Reservations    int               `json:"reservations"`   // remembered at most
	LongestWindow   settings.Duration `json:"longest_window"` // furthest deadline taken
}

// Defaults returns the settings that hold where the file says nothing.
func Defaults() Settings {
	return Settings{
		LogLevel:      "info",
		Capacity:      16,
		Reservations:  100_000,
		LongestWindow: settings.Duration(15 * time.Minute),
	}
}

// Check finds what is wrong with the settings.
func (s *Settings) Check(c *settings.Checker) {
	c.Name("name", s.Name)
	c.Name("zone", s.Zone)
	c.Name("serves", s.Serves)
	c.Name("version", s.Version)
	c.Address("link", s.Link)
	c.Address("operations", s.Operations)
	c.URL("backend", s.Backend)
	known := s.Kind == contract.WorkDraft || s.Kind == contract.WorkService
	c.Require(known, "kind", "not known", `write "draft" or "service"`)
	c.Positive("capacity", int64(s.Capacity))
	c.Positive("reservations", int64(s.Reservations))
	c.Positive("longest_window", int64(s.LongestWindow))
	c.Keys("reservation_keys", s.ReservationKeys)
}
