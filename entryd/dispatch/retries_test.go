package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/preset"
)

// TestRestartedEntriesShareRetryReserve guards against entries that each bring a reserve of retries of their own, and bring it again
// when they restart.
func TestRestartedEntriesShareRetryReserve(t *testing.T) {
	is := is.New(t)
	for _, entries := range []int{20, 71, 400} {
		now := freshness.Instant(time.Minute)
		newEntry := func() *Dispatcher {
			return New(Config{
				SteadyClock: func() freshness.Instant { return now }, EntryCount: func() int { return entries },
				Now: time.Now, Preset: preset.Initial,
			})
		}
		var running []*Dispatcher
		for range entries {
			running = append(running, newEntry())
		}
		now = now.Add(time.Minute) // the reserve has been saved
		retries := 0
		for range 3 { // all entries restart twice in a window
			for i, d := range running {
				for d.takeRetry() {
					retries++
				}
				running[i] = newEntry()
			}
			now = now.Add(retryWindow / 3)
		}
		t.Logf("%d entries: %d retries", entries, retries)
		is.True(retries <= fleetRetryReserve)
	}
}

// TestRequestIsNotReroutedWithoutRetry guards against reroutes from busy targets that no budget counts.
func TestRequestIsNotReroutedWithoutRetry(t *testing.T) {
	is := is.New(t)
	d := New(Config{
		SteadyClock: func() freshness.Instant { return 0 }, EntryCount: func() int { return 400 }, Now: time.Now, Preset: preset.Initial,
	})
	is.True(!d.retryAvailable())
	request := Request{Organisation: "o", ServiceName: "s"}
	for range 20 {
		_, refused := d.admit(request)
		is.True(refused == nil)
	}
	is.True(d.retryAvailable()) // earned by first attempts
}
