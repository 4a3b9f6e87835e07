package command

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"camphormill.dev/entryd/httpapi"
	"camphormill.dev/entryd/peers"
	"camphormill.dev/entryd/pool"
	"camphormill.dev/parts/kernel"
	"camphormill.dev/parts/limit"
	"camphormill.dev/parts/membership"
	"camphormill.dev/parts/preset"
	"camphormill.dev/parts/randomname"
)

// Budgets and sizes from which the intervals of gossip and log appends follow.
const (
	gossipBytesPerSecond  = 3072 // of one entry, in both directions, for records
	recordBytes           = 400  // size of one record in an exchange
	transfersPerRecord    = 6    // times that an entry transfers each record: three sent and three received
	minRecordRefresh      = 10 * time.Second
	claimAppendsPerSecond = 250 // of all entries together
)

// gossipRound is the interval between gossip rounds.
const gossipRound = time.Second

// recordRefresh returns the interval between records of one entry that keeps the gossip
// traffic of each entry within its budget.
func recordRefresh(entries int) time.Duration {
	bytesPerRefresh := float64(transfersPerRecord * recordBytes * entries)
	return max(minRecordRefresh, time.Duration(bytesPerRefresh/gossipBytesPerSecond*float64(time.Second)))
}

// claimInterval returns the interval between appends of one entry that keeps all
// entries together within the append budget of the log.
func claimInterval(entries int) time.Duration {
	return time.Duration(max(entries, 1)) * time.Second / claimAppendsPerSecond
}

// entryState is the state of this daemon that it publishes to its peers and shows to
// operators.
type entryState struct {
	name        string
	settings    Settings
	started     int64 // Unix time in nanoseconds
	incarnation string

	mu      sync.Mutex
	leaving bool
	missing map[string]bool                      // what is missing before the entry takes requests
	demand  func(entries int) map[string]float64 // requests per second by organisation
}

func newEntryState(s Settings) *entryState {
	return &entryState{
		name: s.Name, settings: s, started: time.Now().UnixNano(), incarnation: randomname.New(),
		missing: map[string]bool{needConfiguration: true, needHostList: true},
	}
}

// What an entry needs before it takes requests.
const (
	needConfiguration = "no configuration yet"
	needHostList      = "no host list yet"
)

// markAvailable records that something the entry needs is available, and reports
// whether it was the last thing missing and the entry is not leaving.
func (e *entryState) markAvailable(what string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.missing[what] {
		return false
	}
	delete(e.missing, what)
	return len(e.missing) == 0 && !e.leaving
}

// setLeaving marks the entry as leaving.
func (e *entryState) setLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// setDemand sets the source of the published demand.
func (e *entryState) setDemand(demand func(entries int) map[string]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.demand = demand
}

// record returns the membership record of this entry, without its sequence number. offset
// is the log offset of its configuration, entries the number of live entries.
func (e *entryState) record(offset int64, entries int) membership.Record {
	e.mu.Lock()
	leaving, starting, demand := e.leaving, len(e.missing) > 0, e.demand
	e.mu.Unlock()
	record := membership.Record{
		Origin:        e.name,
		Role:          membership.RoleEntry,
		Address:       e.settings.LinkAddress,
		CallerAddress: e.settings.PublicURL,
		Operations:    e.settings.OperationsAddress,
		Zone:          e.settings.Zone,
		Started:       e.started,
		Incarnation:   e.incarnation,
		ConfigOffset:  offset,
		Leaving:       leaving,
		Starting:      starting,
	}
	if demand != nil {
		record.Demand = demand(entries)
	}
	return record
}

// callerAddresses returns the addresses of the entries that accept callers, those in the
// given zone first.
func callerAddresses(live []membership.Record, zone string) []httpapi.Address {
	var sameZone, otherZones []httpapi.Address
	for _, r := range live {
		address := httpapi.Address{URL: r.CallerAddress, Zone: r.Zone}
		switch {
		case r.Leaving || r.Starting:
		case r.Zone == zone:
			sameZone = append(sameZone, address)
		default:
			otherZones = append(otherZones, address)
		}
	}
	return slices.Concat(sameZone, otherZones)
}

// limitShare returns the fraction of an organisation's limit that this entry grants,
// from the demand that the live entries publish.
func limitShare(organisation, name string, live []membership.Record) float64 {
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
	return limit.EntryShare(own, total, entries)
}

// Status is the answer of /v1/status: the state of this entry, of its targets and of its
// peers.
type Status struct {
	Entry        string              `json:"entry"`
	Zone         string              `json:"zone"`
	Incarnation  string              `json:"incarnation"`
	Loaded       bool                `json:"loaded"`        // whether there is a configuration to serve requests with
	ConfigOffset int64               `json:"config_offset"` // log offset of the configuration
	Active       string              `json:"active"`        // name of the active preset
	Targets      pool.Summary        `json:"targets"`
	Peers        []membership.Record `json:"peers"` // the live entries, including this one
}

// status returns the handler of /v1/status.
func status(k *kernel.Kernel) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		state, loaded := kernel.Get[*preset.Store](k, serviceStore).State()
		entry := kernel.Get[*entryState](k, serviceEntryState)
		answer := Status{
			Entry:        entry.name,
			Zone:         entry.settings.Zone,
			Incarnation:  entry.incarnation,
			Loaded:       loaded,
			ConfigOffset: state.Offset,
			Active:       state.Active,
			Targets:      kernel.Get[*pool.Pool](k, servicePool).Summary(state.Offset),
			Peers:        kernel.Get[*peers.Peers](k, servicePeers).Live(),
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer) // fails only if the operator has disconnected
	}
}
