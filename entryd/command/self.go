package command

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"camphormill.dev/entryd/door"
	"camphormill.dev/entryd/peers"
	"camphormill.dev/entryd/pool"
	"camphormill.dev/parts/identity"
	"camphormill.dev/parts/kernel"
	"camphormill.dev/parts/limit"
	"camphormill.dev/parts/membership"
	"camphormill.dev/parts/preset"
)

// Budgets that are divided among the entries.
const (
	gossipBytesPerSecond = 3072 // of one entry, both ways, for records
	recordBytes          = 400  // of one record in an exchange
	gossipCopies         = 6    // of each record, three sent and three received
	shortestRefresh      = 10 * time.Second
	claimAppends         = 250 // of all entries, a second
)

// gossipRound is the time between two rounds of exchanges.
const gossipRound = time.Second

// recordRefresh is the time between two records of one entry that keeps every
// entry in its budget.
func recordRefresh(entries int) time.Duration {
	perRefresh := float64(gossipCopies * recordBytes * entries)
	return max(shortestRefresh, time.Duration(perRefresh/gossipBytesPerSecond*float64(time.Second)))
}

// claimInterval is the time between two appends that keeps all entries in the
// budget of the log.
func claimInterval(entries int) time.Duration {
	return time.Duration(max(entries, 1)) * time.Second / claimAppends
}

// self is what this daemon says of itself.
type self struct {
	name        string
	settings    Settings
	started     int64
	incarnation string

	mu      sync.Mutex
	leaving bool
	waits   map[string]bool // what must come before it takes work
	demand  func(entries int) map[string]float64
}

func newSelf(s Settings) *self {
	return &self{
		name: s.Name, settings: s, started: time.Now().UnixNano(), incarnation: identity.New(),
		waits: map[string]bool{waitConfiguration: true, waitHosts: true},
	}
}

// What an entry needs before it takes work.
const (
	waitConfiguration = "no configuration yet"
	waitHosts         = "no host list yet"
)

// arrived notes that something the entry waited for is there, and says whether
// that was the last.
func (m *self) arrived(what string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.waits[what] {
		return false
	}
	delete(m.waits, what)
	return len(m.waits) == 0
}

func (m *self) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

func (m *self) setDemand(demand func(entries int) map[string]float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demand = demand
}

func (m *self) record(offset int64, entries int) membership.Record {
	m.mu.Lock()
	leaving, starting, demand := m.leaving, len(m.waits) > 0, m.demand
	m.mu.Unlock()
	record := membership.Record{
		Origin:       m.name,
		Role:         membership.RoleEntry,
		Address:      m.settings.Link,
		Public:       m.settings.PublicURL,
		Operations:   m.settings.Operations,
		Zone:         m.settings.Zone,
		Started:      m.started,
		Incarnation:  m.incarnation,
		ConfigOffset: offset,
		Leaving:      leaving,
		Starting:     starting,
	}
	if demand != nil {
		record.Demand = demand(entries)
	}
	return record
}

// addresses lists the entries that take callers, those of the zone first.
func addresses(live []membership.Record, zone string) []door.Address {
	var near, far []door.Address
	for _, r := range live {
		address := door.Address{URL: r.Public, Zone: r.Zone}
		switch {
		case r.Leaving || r.Starting:
		case r.Zone == zone:
			near = append(near, address)
		default:
			far = append(far, address)
		}
	}
	return slices.Concat(near, far)
}

// share is this entry's part of an organisation's limit, by published demand.
func share(organisation, name string, live []membership.Record) float64 {
	own, total, entries := 0.0, 0.0, 0
	for _, r := range live {
		if r.Leaving && r.Origin != name {
			continue
		}
		entries++
		total += r.Demand[organisation]
		if r.Origin == name {
			own = r.Demand[organisation]
		}
	}
	return limit.DividedShare(own, total, entries)
}

// Status is what an entry tells operators of itself and of what it sees.
type Status struct {
	Entry        string              `json:"entry"`
	Zone         string              `json:"zone"`
	Incarnation  string              `json:"incarnation"`
	Loaded       bool                `json:"loaded"`
	ConfigOffset int64               `json:"config_offset"`
	Active       string              `json:"active"`
	Targets      pool.Summary        `json:"targets"`
	Peers        []membership.Record `json:"peers"`
}

func status(k *kernel.Kernel) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		state, loaded := kernel.Get[*preset.Holder](k, serviceHolder).State()
		me := kernel.Get[*self](k, serviceSelf)
		answer := Status{
			Entry:        me.name,
			Zone:         me.settings.Zone,
			Incarnation:  me.incarnation,
			Loaded:       loaded,
			ConfigOffset: state.Offset,
			Active:       state.Active,
			Targets:      kernel.Get[*pool.Pool](k, servicePool).Summary(state.Offset),
			Peers:        kernel.Get[*peers.Peers](k, servicePeers).Live(),
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer) // an operator who has gone needs no answer
	}
}
