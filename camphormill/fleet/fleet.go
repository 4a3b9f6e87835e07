// Package fleet queries the entry daemons for their status and decides, for the
// operators' command, which daemons lack a version of the configuration.
package fleet

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// queryTimeout bounds the status request to one entry.
const queryTimeout = 2 * time.Second

// TargetSummary describes the targets that an entry is linked to: their number, the oldest
// configuration version among them and the entry itself, and a few of those whose version
// is older than the entry's.
type TargetSummary struct {
	Linked    int      `json:"linked"`
	MinOffset int64    `json:"min_offset"`
	Laggards  []string `json:"laggards,omitempty"`
}

// Peer is an entry as another entry lists it. Operations is the address of its
// operations server; Leaving means that it drains.
type Peer struct {
	Origin     string `json:"origin"`
	Operations string `json:"operations"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// Status is the answer of one entry. Loaded reports whether the entry has read a
// configuration, ConfigOffset is its version, and ActivePreset names the active preset.
type Status struct {
	Entry        string        `json:"entry"`
	Zone         string        `json:"zone"`
	Loaded       bool          `json:"loaded"`
	ConfigOffset int64         `json:"config_offset"`
	ActivePreset string        `json:"active"`
	Targets      TargetSummary `json:"targets"`
	Peers        []Peer        `json:"peers"`
}

// Report is the state of the whole fleet.
type Report struct {
	Entries     []Status `json:"entries"`
	Unreachable []string `json:"silent,omitempty"` // addresses that did not answer
}

// Fleet queries entries over HTTP. It is safe for concurrent use.
type Fleet struct {
	seeds  []string
	client *http.Client
}

// New returns a fleet that finds its entries by way of the seeds, which are addresses
// (host:port) of operations servers of entries.
func New(seeds []string) *Fleet {
	return &Fleet{seeds: seeds, client: &http.Client{Timeout: queryTimeout}}
}

// Query queries the seeds, and then the seeds again with all entries that they list as
// peers. It fails if no seed answers.
func (f *Fleet) Query(ctx context.Context) (Report, error) {
	addresses := slices.Clone(f.seeds)
	first := f.queryAll(ctx, addresses)
	for _, s := range first.Entries {
		for _, p := range s.Peers {
			if p.Operations != "" {
				addresses = append(addresses, p.Operations)
			}
		}
	}
	if len(first.Entries) == 0 {
		return first, errors.Errorf("no entry answers at %s; name a live one with --entry", strings.Join(f.seeds, ", "))
	}
	slices.Sort(addresses)
	return f.queryAll(ctx, slices.Compact(addresses)), nil
}

func (f *Fleet) queryAll(ctx context.Context, addresses []string) Report {
	var mu sync.Mutex
	var report Report
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			status, err := f.query(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				report.Unreachable = append(report.Unreachable, address)
				return
			}
			report.Entries = append(report.Entries, status)
		})
	}
	wg.Wait()
	slices.SortFunc(report.Entries, func(a, b Status) int { return strings.Compare(a.Entry, b.Entry) })
	slices.Sort(report.Unreachable)
	return report
}

func (f *Fleet) query(ctx context.Context, address string) (Status, error) {
	var s Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil {
		return s, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// Outdated returns the names of the entries and targets that do not have the version yet.
// Of the targets it returns the few that their entries list. An entry lists those that are
// older than its own version, so a listed target may have the version offset already.
// Entries that did not answer are left out.
func (r Report) Outdated(offset int64) []string {
	var outdated []string
	for _, s := range r.Entries {
		if !s.Loaded || s.ConfigOffset < offset {
			outdated = append(outdated, s.Entry)
		}
		if s.Targets.MinOffset < offset {
			outdated = append(outdated, s.Targets.Laggards...)
		}
	}
	slices.Sort(outdated)
	return slices.Compact(outdated)
}
