package command

import (
	"strconv"
	"time"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/daemon"
	"camphormill.dev/parts/settings"
	"camphormill.dev/targetd/gate"
	"camphormill.dev/targetd/group"
)

// Settings holds the contents of targetd's settings file.
type Settings struct {
	Name              string `json:"name"`
	Zone              string `json:"zone"`
	LinkAddress       string `json:"link"`       // listen address for entries
	OperationsAddress string `json:"operations"` // listen address of /metrics, /healthz, /readyz
	LogLevel          string `json:"log_level"`

	MemoryMB       float64 `json:"memory_mb"`       // memory of the daemon in MiB
	MaxDescriptors int     `json:"max_descriptors"` // descriptors that the daemon may have open; 0: the limit of the process

	Kind        contract.WorkKind `json:"kind"`
	ServiceName string            `json:"serves"`
	Version     string            `json:"version"`
	Capacity    int               `json:"capacity"` // number of slots
	Backend     string            `json:"backend"`  // URL of the engine or service

	ReservationKeys      []string          `json:"reservation_keys"`
	MaxReservations      int               `json:"reservations"`   // maximum number of retained reservations
	MaxReservationWindow settings.Duration `json:"longest_window"` // longest time to the deadline of a reservation

	StopTimeout settings.Duration `json:"stop_within"` // time that a graceful shutdown may take

	// Group is set on hosts whose engine runs ranks of a group.
	Group *Group `json:"group,omitempty"`
}

// Group is the part of Settings about the host's ranks in a group.
type Group struct {
	Name         string            `json:"name"`
	PlatformLog  string            `json:"platform_log"`  // URL of the platform's log
	Engine       string            `json:"engine"`        // URL of the engine's order interface
	Ranks        []int             `json:"ranks"`         // ranks of this host
	Members      []group.Member    `json:"members"`       // one per rank of the group
	Window       int               `json:"window"`        // number of steps permitted ahead of the last completed one
	Slots        int               `json:"slots"`         // number of experts of a layer that fit on a rank
	ExpertGiB    float64           `json:"expert_gib"`    // size of one expert's weights
	LeaseTimeout settings.Duration `json:"lease_timeout"` // time without a renewal after which the coordinator's lease is free
	PollInterval settings.Duration `json:"poll"`          // interval between two reads of the engine's progress
	PlanInterval settings.Duration `json:"plan_every"`    // interval between two plans
}

// defaultMemoryMB is the memory of a daemon whose settings don't say it.
const defaultMemoryMB = 1024

// Defaults returns the settings for fields that the file omits.
func Defaults() Settings {
	return Settings{
		LogLevel:             "info",
		MemoryMB:             defaultMemoryMB,
		Capacity:             16,
		MaxReservations:      100_000,
		MaxReservationWindow: settings.Duration(15 * time.Minute),
		StopTimeout:          settings.Duration(daemon.DefaultStopTimeout),
	}
}

// Check reports invalid settings to c.
func (s *Settings) Check(c *settings.Checker) {
	c.Name("name", s.Name)
	c.Name("zone", s.Zone)
	c.Name("serves", s.ServiceName)
	c.Name("version", s.Version)
	c.Address("link", s.LinkAddress)
	c.Address("operations", s.OperationsAddress)
	c.Require(s.MemoryMB > 0, "memory_mb", "not above zero", "set the memory of the daemon in MiB")
	c.Require(s.MaxDescriptors >= 0, "max_descriptors", "below zero", "set the number of descriptors that the daemon may have open, or 0 for the limit of the process")
	c.URL("backend", s.Backend)
	knownKind := s.Kind == contract.WorkDraft || s.Kind == contract.WorkService
	c.Require(knownKind, "kind", "not known", `write "draft" or "service"`)
	c.Positive("capacity", int64(s.Capacity))
	c.Positive("reservations", int64(s.MaxReservations))
	c.Positive("longest_window", int64(s.MaxReservationWindow))
	c.Keys("reservation_keys", s.ReservationKeys)
	c.Require(time.Duration(s.StopTimeout) >= gate.MinStopTimeout, "stop_within", "under "+gate.MinStopTimeout.String(),
		"write at least that, so that every entry learns that the target leaves")
	if s.Group != nil {
		s.Group.check(c)
	}
}

func (g *Group) check(c *settings.Checker) {
	c.Name("group.name", g.Name)
	c.URL("group.platform_log", g.PlatformLog)
	c.URL("group.engine", g.Engine)
	c.Require(len(g.Ranks) > 0, "group.ranks", "empty", "name the ranks of this host")
	c.Positive("group.window", int64(g.Window))
	c.Positive("group.slots", int64(g.Slots))
	c.Positive("group.lease_timeout", int64(g.LeaseTimeout))
	c.Positive("group.poll", int64(g.PollInterval))
	c.Positive("group.plan_every", int64(g.PlanInterval))
	c.Require(g.ExpertGiB > 0, "group.expert_gib", "not above zero", "write the size of one expert's weights")
	seen := map[int]bool{}
	for i, m := range g.Members {
		field := "group.members[" + strconv.Itoa(i) + "]"
		c.Address(field+".link", m.Link)
		c.Require(!seen[m.Rank] && m.Rank >= 0 && m.Rank < len(g.Members), field+".rank",
			"duplicate or out of range", "list each rank of the group once")
		seen[m.Rank] = true
	}
	for _, rank := range g.Ranks {
		c.Require(seen[rank], "group.ranks", "not listed in members", "add this host's ranks to members")
	}
}
