package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// target is a server of the platform: a plain service, or one rank of a group of model servers. It
// answers as a sound server does unless a case sets one of its functions.
type target struct {
	id, service string
	rank, ranks int // of a model server
	fleet       *fleet
	started     time.Time
	seq         int // of the entry in the registry

	running atomic.Int64

	mu   sync.Mutex
	runs []run

	// pieces returns the number of events of a whole stream, and gap the time between two.
	pieces int
	gap    time.Duration
	// misbehave may answer a request in place of the target, after it counts as run; it returns false
	// to leave the answer to the target.
	misbehave func(w http.ResponseWriter, r *http.Request) bool
}

// run is a request that a target has run.
type run struct {
	attempt, method, uri, tenant, body string
}

func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", t.id)
		return
	case "/api/report":
		t.report(w)
		return
	case "/api/picked":
		t.picked(w, r)
		return
	case "/api/order":
		w.WriteHeader(http.StatusConflict)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	w.Header()["Date"] = nil
	w.Header().Set("Attempt-Id", attempt)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,12", t.running.Add(1)))
	defer t.running.Add(-1)
	w.Header().Set("Response-Seal", "seal."+t.id+"."+attempt)
	t.mu.Lock()
	t.runs = append(t.runs, run{attempt, r.Method, r.RequestURI, r.Header.Get("Tenant"), string(body)})
	t.mu.Unlock()
	t.fleet.record.printf("%s runs %s: %s %s, %d bytes, deadline %s, after event %q", t.id, attempt, r.Method, r.RequestURI, len(body), r.Header.Get("Deadline"), r.Header.Get("Last-Event-Id"))
	if t.misbehave != nil && t.misbehave(w, r) {
		return
	}
	if t.service == drafts {
		t.stream(w, r, t.pieces)
		return
	}
	_, _ = io.WriteString(w, "done "+attempt+"\n")
}

// stream sends the events after the one that the request names, up to the given one.
func (t *target) stream(w http.ResponseWriter, r *http.Request, last int) {
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	for n := first; n <= last; n++ {
		select {
		case <-r.Context().Done():
			t.fleet.record.printf("%s: the connection of %s was closed before event %d", t.id, r.Header.Get("Attempt-Id"), n)
			return
		case <-time.After(t.gap):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("w", 50))
		_ = controller.Flush()
	}
	t.fleet.record.printf("%s ends %s after event %d of %d", t.id, r.Header.Get("Attempt-Id"), last, t.pieces)
}

// report answers GET /api/report: an open group under map 0.
func (t *target) report(w http.ResponseWriter) {
	writeJSON(w, map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 0, "queued": 0, "active": t.running.Load(),
		"kvUsed": 0, "kvTotal": 372000, "handles": 0, "pace": 1.0, "step": int64(time.Since(t.started) / (100 * time.Millisecond)), "map": 0, "prepared": nil, "armed": nil, "held": nil,
		"group": map[string]any{"name": "g0", "epoch": 1, "rank": t.rank, "state": "open"}, "size": t.ranks, "born": t.started.UnixMilli(),
	})
}

// picked answers GET /api/picked. No experts have been chosen yet, so that the group keeps map 0.
func (t *target) picked(w http.ResponseWriter, r *http.Request) {
	const sets, experts = 4, 72
	if r.URL.Query().Has("lists") {
		lists := make([][]int, sets)
		for s := range lists {
			for x := t.rank; x < experts; x += t.ranks {
				lists[s] = append(lists[s], x)
			}
		}
		writeJSON(w, map[string]any{"epoch": 1, "map": map[string]any{"version": 0, "experts": lists}, "prepared": nil})
		return
	}
	writeJSON(w, map[string]any{"step": 0, "epoch": 1, "counts": make([]int64, sets*experts)})
}

// startTargets starts a group of model servers and the plain services, and registers them.
func (f *fleet) startTargets(ranks, services, pieces int, gap time.Duration) (models, plain []*target, err error) {
	for i := range ranks + services {
		t := &target{fleet: f, started: time.Now(), id: fmt.Sprintf("i-model%d", i), service: drafts, rank: i, ranks: ranks, pieces: pieces, gap: gap}
		octet := octetTargets + i
		if i >= ranks {
			t.id, t.service = fmt.Sprintf("i-app%d", i-ranks), bookings
			octet = octetServices + i - ranks
			plain = append(plain, t)
		} else {
			models = append(models, t)
		}
		address := f.address(octet, portEngine)
		if err := f.serve(address, t); err != nil {
			return nil, nil, err
		}
		if err := f.registerTarget(t, octet); err != nil {
			return nil, nil, err
		}
	}
	return models, plain, nil
}

// registerTarget writes the entry of a target to the registry. The heartbeats that follow change only its
// seq, and so not the entry.
func (f *fleet) registerTarget(t *target, octet int) error {
	slots := 12
	if t.service == bookings {
		slots = 6
	}
	t.seq++
	return f.store.put("keyed.servers", t.id, map[string]any{
		"service": t.service, "address": f.address(octet, portEngine), "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0, "seq": t.seq,
		"born": t.started.UnixMilli(),
	})
}
