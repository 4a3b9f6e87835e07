package registry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/registry"
)

func target(id, address string, state registry.State) registry.Target {
	return registry.Target{ID: id, Service: "s", Address: address, State: state}
}

func TestOnlyReadyTargetsServe(t *testing.T) {
	is := is.New(t)
	var r registry.Registry
	r = r.With(target("a", "h:1", registry.Ready)).With(target("b", "h:2", registry.Draining))
	is.Equal(len(r.Serving("s")), 1)
	is.Equal(len(r.Serving("other")), 0)
	r = r.With(target("a", "h:1", registry.Draining))
	is.Equal(len(r.Serving("s")), 0)
}

// TestLapsedTargetsStayForGracePeriod removes targets because of an outage. They serve
// until the end of the grace period, and beyond it only if their entry returns.
func TestLapsedTargetsStayForGracePeriod(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var empty registry.Registry
	r := empty.With(target("a", "h:1", registry.Ready)).With(target("b", "h:2", registry.Ready))
	r = r.WithListing(nil, now.Add(2*time.Second))
	is.Equal(len(r.WithoutExpired(now.Add(time.Second)).Serving("s")), 2)
	r = r.With(target("b", "h:2", registry.Ready)) // b is alive and registers again
	r = r.WithoutExpired(now.Add(2 * time.Second))
	is.Equal(len(r.Serving("s")), 1)
	is.Equal(len(r.Without("b", time.Time{}).Serving("s")), 0) // without a grace period it is removed at once
}

func TestNewestTargetAtReusedAddress(t *testing.T) {
	is := is.New(t)
	older, newer := target("a", "h:1", registry.Ready), target("b", "h:1", registry.Ready)
	older.Started, newer.Started = time.Unix(1, 0), time.Unix(2, 0)
	var r registry.Registry
	got, ok := r.With(newer).With(older).AtAddress("h:1")
	is.True(ok)
	is.Equal(got.ID, "b")
}

// TestDelayedEntryDoesNotRevertDraining applies the Ready entry of an incarnation after
// its Draining entry.
func TestDelayedEntryDoesNotRevertDraining(t *testing.T) {
	is := is.New(t)
	var empty registry.Registry
	r := empty.With(target("a", "h:1", registry.Draining)).With(target("a", "h:1", registry.Ready))
	is.Equal(len(r.Serving("s")), 0)
	restarted := target("a", "h:1", registry.Ready)
	restarted.Started = time.Unix(5, 0) // a new incarnation with the same id may become ready
	is.Equal(len(r.With(restarted).Serving("s")), 1)
}

// TestRestoredListingDoesNotGoBack guards against sending requests to targets that have left, drain or
// have restarted, because the registry came back from an older copy.
func TestRestoredListingDoesNotGoBack(t *testing.T) {
	is := is.New(t)
	started := time.Unix(100, 0)
	target := func(id string, state registry.State, started time.Time) registry.Target {
		return registry.Target{ID: id, Service: "s", State: state, Started: started}
	}
	var r registry.Registry
	for _, id := range []string{"left", "drains", "restarted", "stays"} {
		r = r.With(target(id, registry.Ready, started))
	}
	older := []registry.Target{
		target("left", registry.Ready, started), target("drains", registry.Ready, started),
		target("restarted", registry.Ready, started), target("stays", registry.Ready, started),
	}
	r = r.Without("left", time.Time{}).With(target("drains", registry.Draining, started))
	r = r.With(target("restarted", registry.Ready, started.Add(time.Second))).With(target("new", registry.Ready, started))
	graceEnd := started.Add(time.Minute)
	r, heldBack := r.WithRestoredListing(older, graceEnd)
	is.Equal(heldBack, 1)
	_, listed := r.Target("left")
	is.True(!listed)
	var serving []string
	for _, s := range r.Serving("s") {
		serving = append(serving, s.ID)
	}
	is.Equal(serving, []string{"new", "restarted", "stays"}) // new has time to register again
	restarted, _ := r.Target("restarted")
	is.Equal(restarted.Started, started.Add(time.Second))
	r = r.WithoutExpired(graceEnd)
	_, listed = r.Target("new")
	is.True(!listed)
	r = r.With(target("left", registry.Ready, started)) // written after the listing
	_, listed = r.Target("left")
	is.True(listed)
}

// TestTargetThatIsColdAgainStaysCold guards against a target that becomes cold again just as its cold time ends, and that
// gets the requests of a warm one, while reports that differ by their lag alone must change nothing.
func TestTargetThatIsColdAgainStaysCold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	cold := func(until time.Duration) registry.Target {
		return registry.Target{ID: "a", Service: "s", State: registry.Ready, ColdUntil: now.Add(until)}
	}
	r := registry.Registry{}.With(cold(3 * time.Second))
	is.Equal(len(r.With(cold(2900*time.Millisecond)).Cold("s", now.Add(2950*time.Millisecond))), 1) // a report with less lag
	r = r.With(cold(4 * time.Second))
	is.Equal(len(r.Cold("s", now.Add(3500*time.Millisecond))), 1)
	r = r.With(registry.Target{ID: "a", Service: "s", State: registry.Ready})
	is.Equal(r.ColdCount(now), 0)
}
