package fakeplatform

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// The names of the published services: the group of engines, which runs streams, and the plain
// service, which runs calls and reads.
const (
	DraftService  = "draft"
	RosterService = "roster"
)

// Organisation is the organisation that all API keys belong to.
const Organisation = "clerks"

// Publication describes one version of the published configuration.
type Publication struct {
	Version     int64
	Keys        []string
	ExtraRoutes int // routes in addition to one for each Kind
	Group       GroupConfig
}

// milliseconds formats a duration as a whole number of milliseconds.
func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// Publish writes the configuration to the store.
func (s *Store) Publish(p Publication) error {
	routes := []map[string]any{
		{"name": "drafts", "host": Host, "pathPrefix": "/drafts/", "kind": "stream", "timeoutMs": 6000, "goalMs": 400, "service": DraftService, "maxAttempts": 2, "resumable": true},
		{"name": "calls", "host": Host, "pathPrefix": "/calls/", "kind": "non_idempotent", "timeoutMs": 1500, "goalMs": 100, "service": RosterService, "maxAttempts": 2},
		{"name": "reads", "host": Host, "pathPrefix": "/reads/", "kind": "idempotent", "timeoutMs": 1500, "goalMs": 100, "service": RosterService, "maxAttempts": 2},
	}
	for i := range p.ExtraRoutes {
		routes = append(routes, map[string]any{"name": fmt.Sprint("x", i), "host": Host, "pathPrefix": fmt.Sprintf("/x%d/", i), "kind": "idempotent", "service": RosterService})
	}
	engine := map[string]any{
		"slots": p.Group.Slots, "sets": p.Group.Sets, "experts": p.Group.Experts, "placements": p.Group.ExpertSlots, "spare": p.Group.SpareExpertSlots,
		"step_ms": 5.0, "read_per_s": 60000.0,
	}
	raw, err := json.Marshal(map[string]any{
		"version": p.Version, "routes": routes,
		"services": []map[string]any{{"name": DraftService, "maxConns": 500, "engine": engine}, {"name": RosterService, "maxConns": 200}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": Organisation, "apiKeys": p.Keys}},
	})
	if err != nil {
		return err
	}
	s.Put("keyed.op", "config", raw)
	return nil
}

// Lapse removes the record of a target from the registry, and returns a function that writes it again as it was.
func (s *Store) Lapse(id string) (renew func()) {
	s.mu.Lock()
	record := s.stream("keyed.servers").latestByKey[id].value
	s.mu.Unlock()
	s.Put("keyed.servers", id, nil)
	return func() { s.Put("keyed.servers", id, record) }
}

// PutOddTarget writes an entry into the registry that names no target, as another writer may leave it there. n
// chooses its form.
func (s *Store) PutOddTarget(n int) {
	records := []string{
		strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000), `{"service":"draft","address":"127.0.0.1:70000","state":"ready"}`,
		`{"service":"draft","address":"127.0.0.1:1","state":"ready","slots":1e999}`, `{"service":"draft","address":"127.0.0.1:0","state":"ready"}`,
		`{"service":["draft"],"address":"127.0.0.1:1","state":"ready"}`, "\xff\x00{", `[]`,
	}
	s.Put("keyed.servers", "odd", []byte(records[n%len(records)]))
}

// Register writes the record of a ready target, started now, to the store's registry.
func (s *Store) Register(id, service, address string) error {
	record, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": "z", "version": "v1", "slots": 12, "state": "ready", "seq": 1,
		"born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	s.Put("keyed.servers", id, record)
	return nil
}
