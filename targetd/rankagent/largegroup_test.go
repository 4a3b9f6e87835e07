package rankagent_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestLargeGroupKeepsLeaderAndSwitches plays groups whose daemons have narrow links, with a shift of
// demand after 10 s. Orders of a switch that fill the leader's link would silence its announcements, so
// that other daemons take the lead and no switch is ever carried out.
func TestLargeGroupKeepsLeaderAndSwitches(t *testing.T) {
	for _, ranks := range []int{32, 129, 256} {
		t.Run(fmt.Sprint(ranks), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := startLargeFleet(t, ranks)
				defer f.stop()
				time.Sleep(idleTime)
				leaders, claims := f.leaders(), f.claimCount()
				f.shiftDemand(1)
				f.play(t, 10*time.Second)
				skewBeforeShift := f.skew()
				f.shiftDemand(2)
				f.play(t, 10*time.Second)
				c := f.result(t)
				is.Equal(len(leaders), 1)
				is.Equal(c.claims, claims) // nobody took the lead from the leader
				is.True(c.switches >= 2)   // for the demand of the start, and for the shift
				is.True(skewBeforeShift <= 1.5)
				is.True(f.skew() <= 1.5) // after the shift
				is.True(!f.mixedMaps())
				is.True(c.maxSilence < 900*time.Millisecond)    // entries ask a silent leader no more
				is.True(c.lostRequests*100 <= len(c.slotWaits)) // requests for slots are answered in time
			})
		})
	}
}

// play lets time pass and logs the skew and what the leader has sent.
func (f *largeFleet) play(t *testing.T, duration time.Duration) {
	t.Helper()
	const interval = 2 * time.Second
	for range duration / interval {
		time.Sleep(interval)
		sent, dropped := 0, 0
		for _, leader := range f.leaders() {
			bytes, lost := f.network.sentBytes(f.hosts[leader].Address)
			sent, dropped = sent+bytes, dropped+lost
		}
		t.Logf("skew %.2f, leaders %v sent %.2f MB, %d datagrams dropped", f.skew(), f.leaders(), float64(sent)/1e6, dropped)
	}
}

func (f *largeFleet) switchCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.switches
}

func (f *largeFleet) claimCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.claims
}

// mixedMaps reports whether ranks had different maps in some pass.
func (f *largeFleet) mixedMaps() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mixed
}
