package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/entryd/relay"
	"camphormill.dev/entryd/storeview"
	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/httpclient"
	"camphormill.dev/parts/limit"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/registry"
	"camphormill.dev/parts/routes"
)

// testProtocol returns a minimal protocol for the tests.
func testProtocol() relay.Protocol {
	return relay.Protocol{
		Read: func(r *http.Request) relay.RequestInfo {
			info := relay.RequestInfo{AttemptID: r.Header.Get("Id"), Key: r.Header.Get("Key")}
			if timeout, err := time.ParseDuration(r.Header.Get("Timeout")); err == nil {
				info.Timeout = timeout
			}
			for _, part := range strings.Fields(r.Header.Get("Parts")) {
				id, _ := strconv.ParseUint(part, 16, 64)
				info.SharedParts = append(info.SharedParts, id)
			}
			return info
		},
		SetHeaders: func(h http.Header, _ relay.RequestInfo, target relay.TargetHeaders) {
			h.Del("Key")
			h.Set("Only", target.TargetID)
			h.Set("Customer", target.Organisation)
			if target.LastEventID != "" {
				h.Set("After", target.LastEventID)
			}
		},
		Classify: func(r *http.Response) relay.ResponseClass {
			if r.StatusCode == http.StatusMisdirectedRequest {
				return relay.WrongTarget
			}
			if r.Header.Get("Not-Run") != "" {
				return relay.NotRun
			}
			return relay.Ran
		},
		ReportedLoad: func(*http.Response) (relay.Load, bool) { return relay.Load{}, false },
		ReportedLimit: func(r *http.Response) (float64, bool) {
			limit, err := strconv.ParseFloat(r.Header.Get("Limit"), 64)
			return limit, err == nil
		},
		FailedTarget: func(*http.Response) string { return "" },
		Availability: func(r *http.Response) relay.Availability {
			seconds, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
			return relay.Availability{Leaving: r.Header.Get("Leaving") != "", PausedFor: time.Duration(seconds * float64(time.Second))}
		},
	}
}

// entry is a relay with fake targets.
type entry struct {
	server    *httptest.Server
	relay     *relay.Relay
	storeDown atomic.Bool // the store is unreachable
	restarted atomic.Bool // t0 has restarted under the ID t0b
	mu        sync.Mutex
	runs      []string        // target and request ID of each run
	seen      []*http.Request // the requests that the targets ran

	logs      logBuffer
	addresses []string // of the targets
	mesh      *mesh.Mesh
	slots     *relay.SlotClient
	view      *storeview.View
}

func (e *entry) recordRun(target string, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, target+" "+r.Header.Get("Id"))
	e.seen = append(e.seen, r)
}

func (e *entry) runCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

const maxProofAge = 600 * time.Millisecond

// start runs a relay; each handler is one target of the service.
func start(t testing.TB, route routes.Route, handlers ...func(e *entry, w http.ResponseWriter, r *http.Request)) *entry {
	t.Helper()
	return startWith(t, route, routes.Service{Name: "s"}, handlers...)
}

func startWith(t testing.TB, route routes.Route, service routes.Service, handlers ...func(e *entry, w http.ResponseWriter, r *http.Request)) *entry {
	t.Helper()
	return startConfigured(t, route, service, func(*relay.Config) {}, handlers...)
}

// startConfigured is startWith for a relay whose configuration differs from that of other tests.
func startConfigured(t testing.TB, route routes.Route, service routes.Service, configure func(c *relay.Config), handlers ...func(e *entry, w http.ResponseWriter, r *http.Request)) *entry {
	t.Helper()
	is := is.New(t)
	e := &entry{}
	var targets []registry.Target
	for i, handle := range handlers {
		id := fmt.Sprint("t", i)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			handle(e, w, r)
		}))
		t.Cleanup(server.Close)
		targets = append(targets, registry.Target{
			ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), Zone: "z", State: registry.Ready,
		})
	}
	for _, target := range targets {
		e.addresses = append(e.addresses, target.Address)
	}
	route.Name, route.Host, route.Prefix = "r", "h", "/r/"
	route.Services = []routes.WeightedService{{Service: "s", Weight: 1}}
	table := routes.New(routes.Config{
		Version: 1, Routes: []routes.Route{route}, Services: []routes.Service{service},
		Keys: map[string]routes.Organisation{"key": {Name: "clerks"}},
	})
	errStoreDown := errors.New("store unreachable")
	store := storeview.Store{
		ReadPublished: func(context.Context, int64) (storeview.Published, int64, error) {
			if e.storeDown.Load() {
				return storeview.Published{}, 0, errStoreDown
			}
			return storeview.Published{Configuration: []byte("published")}, 1, nil
		},
		ParseRoutes: func([]byte) (*routes.Table, error) { return table, nil },
		ReadTargetRecords: func(_ context.Context, from int64) (storeview.Records, error) {
			return storeview.Records{End: from, Truncated: e.restarted.Load()}, nil
		},
		ListTargets: func(context.Context) ([]registry.Target, int64, error) {
			listed := append([]registry.Target(nil), targets...)
			if e.restarted.Load() {
				listed[0].ID = "t0b"
			}
			return listed, 1, nil
		},
	}
	m, err := mesh.Listen(mesh.Config{
		Self: mesh.Host{Name: "e", Role: mesh.RoleEntry, Address: freeAddress(t)}, PeerTimeout: time.Second, Now: time.Now,
		Handle: func(from mesh.Host, message mesh.Message) { e.slots.Handle(from, message) }, Log: zerolog.Nop(),
	})
	is.NoErr(err)
	e.mesh, e.slots = m, relay.NewSlotClient(relay.SlotClientConfig{Mesh: m, Now: time.Now, Log: zerolog.Nop()})
	view := storeview.New(storeview.Config{
		Store: store, Mesh: m, SteadyClock: freshness.Now, Now: time.Now, Log: zerolog.Nop(),
		OnTargetsChanged: func(r registry.Registry) { e.relay.PruneTargets(r) },
	})
	config := relay.Config{
		Zone: "z", Protocol: testProtocol(), View: view, Now: time.Now, MaxProofAge: maxProofAge,
		RetryLimit: limit.RetryLimit{Ratio: 0.2, Reserve: 50, Window: 10 * time.Second}, EntryCount: func() int { return 1 }, SteadyClock: freshness.Now,
		Slots:    e.slots,
		Budget:   bytebudget.ForProcess(0),
		Limits:   relay.NewLimits(relay.LimitsConfig{Mesh: m, Now: time.Now, Log: zerolog.Nop()}),
		Client:   httpclient.New(httpclient.Config{ConnectTimeout: time.Second, MaxIdlePerAddress: 2, IdleTimeout: time.Second, Now: time.Now}),
		OnStrike: func(quarantine.Strike) {}, Dial: net.DialTimeout, OnTargetDeath: func(string) {}, OnRetry: func(relay.Retry) {}, ShareParts: func([]quarantine.PartRecord, bool) {}, OnOutcome: func(relay.Outcome) {}, Log: zerolog.New(&e.logs),
	}
	configure(&config)
	e.relay = relay.New(config)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	e.view = view
	go m.Run(ctx)
	go view.Run(ctx)
	for i := 0; !view.Loaded() && i < 200; i++ {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(view.Loaded())
	e.server = httptest.NewServer(e.relay)
	t.Cleanup(e.server.Close)
	return e
}

// call sends a request and returns its status, headers and body. The error is set if the
// body ended early.
func (e *entry) call(t *testing.T, method, path, key string) (int, http.Header, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, e.server.URL+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Id", "a1")
	r.Header.Set("Key", key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(body), err
}
