package frontend_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/entryd/storeview"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/registry"
	"camphormill.dev/parts/routes"
)

// countedTargets starts a target in each zone and returns them with their numbers of requests.
func countedTargets(t *testing.T, zones ...string) ([]registry.Target, []*atomic.Int64) {
	t.Helper()
	var targets []registry.Target
	var counts []*atomic.Int64
	for i, zone := range zones {
		count := &atomic.Int64{}
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { count.Add(1) }))
		t.Cleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		targets = append(targets, registry.Target{ID: fmt.Sprint("t", i), Service: "s", Address: address, Zone: zone, State: registry.Ready})
		counts = append(counts, count)
	}
	return targets, counts
}

// TestEvacuatedZoneGetsNoRequests guards against requests to the targets of an evacuated zone, and against requests
// that wait, or that are lost, when all zones are evacuated.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	is := is.New(t)
	targets, counts := countedTargets(t, "a", "b")
	var hosts []mesh.Host
	c := newPeerConfig(t, "e0", &hosts, targets)
	var state atomic.Pointer[[]string]
	state.Store(&[]string{})
	offset := atomic.Int64{}
	offset.Store(1)
	c.Store.ReadPublished = func(_ context.Context, from int64) (storeview.Published, int64, error) {
		if from == offset.Load() {
			return storeview.Published{}, from, nil
		}
		return storeview.Published{Configuration: []byte("x"), EvacuatedZones: state.Load()}, offset.Load(), nil
	}
	t.Cleanup(startEntry(t, c))
	evacuate := func(zones ...string) {
		state.Store(&zones)
		offset.Add(1)
		time.Sleep(1500 * time.Millisecond) // the entry reads the store
	}
	evacuate("a", "no such zone")
	before := counts[0].Load()
	for range 30 {
		is.Equal(status(c.CallersAddress), http.StatusOK)
	}
	is.Equal(counts[0].Load(), before)
	is.True(counts[1].Load() >= 30)
	evacuate("a", "b")
	before = counts[1].Load()
	is.Equal(status(c.CallersAddress), http.StatusServiceUnavailable)
	is.Equal(counts[1].Load(), before)
	evacuate()
	for range 30 {
		is.Equal(status(c.CallersAddress), http.StatusOK)
	}
	is.True(counts[0].Load() > 0)
}

// TestEntriesTogetherSpareColdTarget guards against a cold target that gets more requests from all entries together
// than it takes, because each entry counts only its own. It must still be used.
func TestEntriesTogetherSpareColdTarget(t *testing.T) {
	is := is.New(t)
	const perSecond, overage, entries, requestsPerSecond, seconds = 4.0, 1.5, 4, 60, 4
	targets, counts := countedTargets(t, "a", "a")
	targets[0].ColdUntil = time.Now().Add(time.Minute)
	table := routes.New(routes.Config{
		Version: 1, Services: []routes.Service{{Name: "s", ColdPerSecond: perSecond}},
		Routes: []routes.Route{{Name: "r", Host: "h", Prefix: "/", Services: []routes.WeightedService{{Service: "s", Weight: 1}}}},
	})
	var hosts []mesh.Host
	var addresses []string
	for i := range entries {
		c := newPeerConfig(t, fmt.Sprint("e", i), &hosts, targets)
		c.Store.ParseRoutes = func([]byte) (*routes.Table, error) { return table, nil }
		c.ColdOverage = overage
		t.Cleanup(startEntry(t, c))
		addresses = append(addresses, c.CallersAddress)
	}
	time.Sleep(700 * time.Millisecond) // all entries have sent a heartbeat
	var wg sync.WaitGroup
	var failed atomic.Int64
	startedAt, most := time.Now(), int64(0)
	for second := range seconds {
		before := counts[0].Load()
		for i := range requestsPerSecond {
			time.Sleep(time.Until(startedAt.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/requestsPerSecond)))
			wg.Go(func() {
				if status(addresses[i%entries]) != http.StatusOK {
					failed.Add(1)
				}
			})
		}
		most = max(most, counts[0].Load()-before)
	}
	wg.Wait()
	t.Logf("%d requests to the cold target, at most %d in a second", counts[0].Load(), most)
	is.Equal(failed.Load(), int64(0))
	is.True(most <= perSecond*overage+5) // the rules' slack
	is.True(counts[0].Load() >= perSecond*seconds/2)
}
