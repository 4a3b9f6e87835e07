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

// TestLapsedEntriesMayComeBack removes a target because of an outage: it serves on
// until its grace is over, and then is gone.
func TestLapsedEntriesMayComeBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	var empty registry.Registry
	r := empty.With(target("a", "h:1", registry.Ready)).With(target("b", "h:2", registry.Ready))
	r = r.Only(nil, now.Add(2*time.Second))
	is.Equal(len(r.At(now.Add(time.Second)).Serving("s")), 2)
	r = r.With(target("b", "h:2", registry.Ready)) // it lives and is back
	r = r.At(now.Add(2 * time.Second))
	is.Equal(len(r.Serving("s")), 1)
	is.Equal(len(r.Without("b", time.Time{}).Serving("s")), 0) // without an outage it is gone at once
}

func TestAddressesAreUsedAgain(t *testing.T) {
	is := is.New(t)
	old, fresh := target("a", "h:1", registry.Ready), target("b", "h:1", registry.Ready)
	old.Started, fresh.Started = time.Unix(1, 0), time.Unix(2, 0)
	var r registry.Registry
	got, ok := r.With(fresh).With(old).AtAddress("h:1")
	is.True(ok)
	is.Equal(got.ID, "b")
}

// TestLateEntriesDoNotBringBackLeavingTargets orders two entries the wrong way.
func TestLateEntriesDoNotBringBackLeavingTargets(t *testing.T) {
	is := is.New(t)
	var empty registry.Registry
	r := empty.With(target("a", "h:1", registry.Draining)).With(target("a", "h:1", registry.Ready))
	is.Equal(len(r.Serving("s")), 0)
	anew := target("a", "h:1", registry.Ready)
	anew.Started = time.Unix(5, 0) // the same id may start again
	is.Equal(len(r.With(anew).Serving("s")), 1)
}
