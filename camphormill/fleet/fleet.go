// Package fleet asks the entry daemons how far they and their targets are with
// the configuration.
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

// askTimeout bounds one question to one entry.
const askTimeout = 2 * time.Second

// Targets is what an entry says of the targets it is linked to.
type Targets struct {
	Linked    int      `json:"linked"`
	MinOffset int64    `json:"min_offset"`
	Laggards  []string `json:"laggards,omitempty"`
}

// Peer is an entry that another entry knows.
type Peer struct {
	Origin     string `json:"origin"`
	Operations string `json:"operations"`
	Leaving    bool   `json:"leaving,omitempty"`
}

// Status is one entry's answer.
type Status struct {
	Entry        string  `json:"entry"`
	Zone         string  `json:"zone"`
	Loaded       bool    `json:"loaded"`
	ConfigOffset int64   `json:"config_offset"`
	Active       string  `json:"active"`
	Targets      Targets `json:"targets"`
	Peers        []Peer  `json:"peers"`
}

// Report is the state of the whole fleet.
type Report struct {
	Entries []Status `json:"entries"`
	Silent  []string `json:"silent,omitempty"` // entries that did not answer
}

// Fleet asks entries over HTTP.
type Fleet struct {
	seeds  []string
	client *http.Client
}

// New returns a fleet whose entries are found through the seeds, which are
// addresses of operations doors.
func New(seeds []string) *Fleet {
	return &Fleet{seeds: seeds, client: &http.Client{Timeout: askTimeout}}
}

// Ask asks every entry that any seed knows.
func (f *Fleet) Ask(ctx context.Context) (Report, error) {
	addresses := slices.Clone(f.seeds)
	first := f.askAll(ctx, addresses)
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
	return f.askAll(ctx, slices.Compact(addresses)), nil
}

func (f *Fleet) askAll(ctx context.Context, addresses []string) Report {
	var mu sync.Mutex
	var report Report
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			status, err := f.ask(ctx, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				report.Silent = append(report.Silent, address)
				return
			}
			report.Entries = append(report.Entries, status)
		})
	}
	wg.Wait()
	slices.SortFunc(report.Entries, func(a, b Status) int { return strings.Compare(a.Entry, b.Entry) })
	slices.Sort(report.Silent)
	return report
}

func (f *Fleet) ask(ctx context.Context, address string) (Status, error) {
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

// Behind names the daemons that do not have the version yet.
func (r Report) Behind(offset int64) []string {
	var behind []string
	for _, s := range r.Entries {
		if !s.Loaded || s.ConfigOffset < offset {
			behind = append(behind, s.Entry)
		}
		if s.Targets.MinOffset < offset {
			behind = append(behind, s.Targets.Laggards...)
		}
	}
	slices.Sort(behind)
	return slices.Compact(behind)
}
