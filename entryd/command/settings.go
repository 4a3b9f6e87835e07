package command

import (
	"strconv"
	"time"

	"camphormill.dev/parts/daemon"
	"camphormill.dev/parts/settings"
)

// Peer is another entry daemon.
type Peer struct {
	Name string `json:"name"`
	Link string `json:"link"` // its address for other entries
}

// Organisation holds the name of an organisation and the hash of its key.
type Organisation struct {
	Name      string `json:"name"`
	KeySHA256 string `json:"key_sha256"` // hex
}

// Settings is the content of entryd's settings file.
type Settings struct {
	Name              string `json:"name"`
	Zone              string `json:"zone"`
	CallersAddress    string `json:"callers"`    // address of the HTTP interface for callers
	PublicURL         string `json:"public_url"` // URL at which callers reach it
	LinkAddress       string `json:"link"`       // address for other entries
	OperationsAddress string `json:"operations"` // address of /metrics, /healthz, /readyz, /v1/status
	LogLevel          string `json:"log_level"`

	MemoryMB       float64 `json:"memory_mb"`       // memory of the daemon in MiB
	MaxDescriptors int     `json:"max_descriptors"` // descriptors that the daemon may have open; 0: the limit of the process

	PlatformLog   string `json:"platform_log"`   // URL
	PlatformHosts string `json:"platform_hosts"` // URL
	Peers         []Peer `json:"peers"`

	ReservationKeys []string       `json:"reservation_keys"`
	Organisations   []Organisation `json:"organisations"`

	Timeout           settings.Duration `json:"timeout"`            // of a request without a timeout header
	AddressTTL        settings.Duration `json:"address_ttl"`        // how long callers may cache an address
	ReservationWindow settings.Duration `json:"reservation_window"` // how long a reservation is valid
	KeyWindow         settings.Duration `json:"key_window"`         // how long an idempotency key is retained
	SnapshotAge       settings.Duration `json:"snapshot_age"`       // age of the newest configuration snapshot at which another is due
	HostListInterval  settings.Duration `json:"host_list_every"`    // interval between reads of the host list
	Heartbeat         settings.Duration `json:"heartbeat"`          // interval between heartbeats on a link
	SubsetSize        int               `json:"subset_size"`        // number of links for each model or service
	StopTimeout       settings.Duration `json:"stop_within"`        // time that a graceful shutdown may take
}

// defaultMemoryMB is the memory of a daemon whose settings don't say it.
const defaultMemoryMB = 1024

// Defaults returns the values of settings that are missing from the file.
func Defaults() Settings {
	return Settings{
		LogLevel:          "info",
		MemoryMB:          defaultMemoryMB,
		Timeout:           settings.Duration(30 * time.Second),
		AddressTTL:        settings.Duration(10 * time.Second),
		ReservationWindow: settings.Duration(5 * time.Minute),
		KeyWindow:         settings.Duration(time.Hour),
		SnapshotAge:       settings.Duration(10 * time.Minute),
		HostListInterval:  settings.Duration(time.Second),
		Heartbeat:         settings.Duration(time.Second),
		SubsetSize:        32,
		StopTimeout:       settings.Duration(daemon.DefaultStopTimeout),
	}
}

// Check reports every fault of the settings to c.
func (s *Settings) Check(c *settings.Checker) {
	c.Name("name", s.Name)
	c.Name("zone", s.Zone)
	c.Address("callers", s.CallersAddress)
	c.Address("link", s.LinkAddress)
	c.Address("operations", s.OperationsAddress)
	c.Require(s.MemoryMB > 0, "memory_mb", "not above zero", "set the memory of the daemon in MiB")
	c.Require(s.MaxDescriptors >= 0, "max_descriptors", "below zero", "set the number of descriptors that the daemon may have open, or 0 for the limit of the process")
	c.URL("public_url", s.PublicURL)
	c.URL("platform_log", s.PlatformLog)
	c.URL("platform_hosts", s.PlatformHosts)
	c.Keys("reservation_keys", s.ReservationKeys)
	c.Positive("timeout", int64(s.Timeout))
	c.Positive("address_ttl", int64(s.AddressTTL))
	c.Positive("reservation_window", int64(s.ReservationWindow))
	c.Positive("key_window", int64(s.KeyWindow))
	c.Positive("snapshot_age", int64(s.SnapshotAge))
	c.Positive("host_list_every", int64(s.HostListInterval))
	c.Positive("heartbeat", int64(s.Heartbeat))
	c.Positive("subset_size", int64(s.SubsetSize))
	c.Require(s.KeyWindow >= s.ReservationWindow, "key_window", "shorter than reservation_window",
		"retain keys at least as long as reservations are valid")
	c.Require(time.Duration(s.StopTimeout) > time.Duration(s.AddressTTL)+daemon.StopReserve, "stop_within", "too short for address_ttl",
		"write at least "+(time.Duration(s.AddressTTL)+2*daemon.StopReserve).String()+", since callers use an address for address_ttl")
	s.checkOrganisations(c)
	for i, p := range s.Peers {
		field := "peers[" + strconv.Itoa(i) + "]"
		c.Name(field+".name", p.Name)
		c.Address(field+".link", p.Link)
	}
}

// checkOrganisations reports faults of the organisations and keys that occur twice.
func (s *Settings) checkOrganisations(c *settings.Checker) {
	c.Require(len(s.Organisations) > 0, "organisations", "empty", "name at least one organisation")
	const hexLength = 64
	seen := map[string]string{}
	for i, o := range s.Organisations {
		field := "organisations[" + strconv.Itoa(i) + "]"
		c.Name(field+".name", o.Name)
		c.Require(len(o.KeySHA256) == hexLength, field+".key_sha256", "not a hex SHA-256",
			"compute it with: printf %s KEY | sha256sum")
		other, twice := seen[o.KeySHA256]
		c.Require(!twice, field+".key_sha256", "the same as that of "+other, "give each organisation its own key")
		seen[o.KeySHA256] = o.Name
	}
}
