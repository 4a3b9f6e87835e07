package frontend_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/registry"
)

// TestEntriesTogetherKeepLimitOfTarget guards against a target that names a rate limit for all
// entries together and gets more, because each entry counts only its own requests or learns of the
// limit late. Requests that don't fit into the limit are served by the other target.
func TestEntriesTogetherKeepLimitOfTarget(t *testing.T) {
	is := is.New(t)
	const perSecond, entries, requestsPerSecond = 2.0, 4, 40
	var mu sync.Mutex
	var arrivals []time.Time
	limited := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		w.Header().Set("Limit", fmt.Sprint(perSecond))
	}))
	t.Cleanup(limited.Close)
	free := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(free.Close)
	var targets []registry.Target
	for i, server := range []*httptest.Server{limited, free} {
		targets = append(targets, registry.Target{ID: fmt.Sprint("t", i), Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), State: registry.Ready})
	}
	var hosts []mesh.Host
	var addresses []string
	for i := range entries {
		addresses = append(addresses, startPeer(t, fmt.Sprint("e", i), &hosts, targets).CallersAddress)
	}
	time.Sleep(700 * time.Millisecond) // all entries have sent a heartbeat
	startedAt := time.Now()
	var wg sync.WaitGroup
	failed := 0
	for i := range 6 * requestsPerSecond {
		time.Sleep(time.Until(startedAt.Add(time.Duration(i) * time.Second / requestsPerSecond)))
		wg.Go(func() {
			if status(addresses[i%entries]) != http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				failed++
			}
		})
	}
	wg.Wait()
	is.Equal(failed, 0)
	mu.Lock()
	defer mu.Unlock()
	const window = 4 * time.Second
	most := 0
	for i, first := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if first.After(startedAt.Add(500*time.Millisecond)) && at.Sub(first) < window {
				count++
			}
		}
		most = max(most, count)
	}
	t.Logf("%d requests in all, at most %d in %v", len(arrivals), most, window)
	is.True(most <= 17)           // one and a half times the limit, and 5 requests
	is.True(len(arrivals) >= 2*4) // the target is still used
}
