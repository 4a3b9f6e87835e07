package storeview_test

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/entryd/storeview"
	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/registry"
	"camphormill.dev/parts/routes"
)

// fakeStore is a store that counts the calls of all entries.
type fakeStore struct {
	mu      sync.Mutex
	version int64
	targets []registry.Target
	removed [][]byte // IDs of removed targets, or + and the ID of one that registers as it was; removed[i] has offset i+1
	calls   atomic.Int64
	era     int64    // number of restores from an older copy
	zones   []string // evacuated zones, as of the version
}

// eraOffset is the difference between the offsets of two eras.
const eraOffset = 1000

var errStoreDown = errors.New("store unreachable")

// access returns one entry's access to the store. While storeCutOff is set,
// ReadPublished fails, which ends each read.
func (s *fakeStore) access(storeCutOff *atomic.Bool) storeview.Store {
	return storeview.Store{
		ReadPublished: func(_ context.Context, from int64) (storeview.Published, int64, error) {
			s.calls.Add(1)
			if storeCutOff.Load() {
				return storeview.Published{}, 0, errStoreDown
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if from == s.version {
				return storeview.Published{}, s.version, nil
			}
			zones := slices.Clone(s.zones)
			return storeview.Published{Configuration: []byte(strconv.FormatInt(s.version, 10)), EvacuatedZones: &zones}, s.version, nil
		},
		ParseRoutes: func(published []byte) (*routes.Table, error) {
			version, err := strconv.ParseInt(string(published), 10, 64)
			return routes.New(routes.Config{Version: version}), err
		},
		ReadTargetRecords: func(_ context.Context, from int64) (storeview.Records, error) {
			s.calls.Add(1)
			s.mu.Lock()
			defer s.mu.Unlock()
			if from < eraOffset*s.era {
				return storeview.Records{Truncated: true}, nil
			}
			from -= eraOffset * s.era
			if s.era > 0 {
				return storeview.Records{End: eraOffset*s.era + from}, nil
			}
			return storeview.Records{Raw: s.removed[from-1:], End: int64(1 + len(s.removed))}, nil
		},
		ListTargets: func(context.Context) ([]registry.Target, int64, error) {
			s.calls.Add(1)
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.targets, 1 + eraOffset*s.era, nil
		},
		Era: func() int64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.era
		},
		DecodeTargetRecord: func(raw []byte) (string, *registry.Target, bool) {
			if id, registers := strings.CutPrefix(string(raw), "+"); registers {
				return id, &registry.Target{ID: id, Service: "s", State: registry.Ready}, true
			}
			return string(raw), nil, true
		},
	}
}

type fleet struct {
	store       *fakeStore
	views       []*storeview.View
	storeCutOff []*atomic.Bool
}

func start(t *testing.T, entries int) *fleet {
	t.Helper()
	is := is.New(t)
	f := &fleet{store: &fakeStore{version: 1, targets: []registry.Target{{ID: "a", Service: "s", State: registry.Ready}}}}
	hosts := make([]mesh.Host, entries)
	for i := range hosts {
		freePort, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		is.NoErr(err)
		hosts[i] = mesh.Host{Name: "e" + strconv.Itoa(i), Role: mesh.RoleEntry, Address: freePort.LocalAddr().String()}
		is.NoErr(freePort.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, host := range hosts {
		var view *storeview.View
		m, err := mesh.Listen(mesh.Config{
			Self: host, PeerTimeout: time.Second, Now: time.Now, Log: zerolog.Nop(),
			Handle: func(from mesh.Host, message mesh.Message) {
				if message.StoreUpdate != nil {
					view.ApplyUpdate(from.Name, *message.StoreUpdate)
				}
			},
		})
		is.NoErr(err)
		storeCutOff := &atomic.Bool{}
		view = storeview.New(storeview.Config{
			Store: f.store.access(storeCutOff), Mesh: m, SteadyClock: freshness.Now, Now: time.Now, Log: zerolog.Nop(), OnTargetsChanged: func(registry.Registry) {},
		})
		f.views, f.storeCutOff = append(f.views, view), append(f.storeCutOff, storeCutOff)
		go m.Run(ctx)
		go m.Join(ctx, mesh.Directory{
			Register: func(context.Context, mesh.Host) error { return nil },
			Hosts:    func(context.Context) ([]mesh.Host, error) { return hosts, nil },
		})
		go view.Run(ctx)
		go func() {
			for ctx.Err() == nil {
				for _, peer := range m.Known(mesh.RoleEntry) {
					m.Send(peer.Name, mesh.Message{Heartbeat: &mesh.Heartbeat{Ready: true, Sent: freshness.Now()}})
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	is.True(eventually(5*time.Second, func() bool { return f.allAtVersion(1) }))
	return f
}

func (f *fleet) allAtVersion(version int64) bool {
	for _, v := range f.views {
		if !v.Loaded() || v.Routes().Version() < version {
			return false
		}
	}
	return true
}

func eventually(within time.Duration, ok func() bool) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// TestOneReadServesTheFleet guards against each entry reading the store by itself while
// nothing changes.
func TestOneReadServesTheFleet(t *testing.T) {
	is := is.New(t)
	const entries = 12
	f := start(t, entries)
	time.Sleep(1500 * time.Millisecond) // the entries have joined the mesh
	before := f.store.calls.Load()
	time.Sleep(4 * time.Second)
	calls := f.store.calls.Load() - before
	t.Logf("%d calls in 4 s by %d entries", calls, entries)
	is.True(calls < 2*entries) // about ten times as many calls if each entry read for itself
	for _, v := range f.views {
		is.True(v.Current(context.Background(), 2*time.Second)) // every entry has a fresh proof
	}
}

// TestCutOffEntryIsUpdatedByPeers guards against stale routes at an entry that cannot
// reach the store: it must receive newer routes and keep a fresh proof through its peers.
func TestCutOffEntryIsUpdatedByPeers(t *testing.T) {
	is := is.New(t)
	f := start(t, 4)
	f.storeCutOff[2].Store(true)
	f.store.mu.Lock()
	f.store.version = 2
	f.store.mu.Unlock()
	is.True(eventually(2*time.Second, func() bool { return f.allAtVersion(2) })) // within the bound on new configurations
	time.Sleep(2 * time.Second)
	is.True(f.views[2].Current(context.Background(), 2*time.Second))
}

// evacuate changes the evacuated zones in the store.
func (f *fleet) evacuate(zones ...string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.version++
	f.store.zones = zones
}

// allEvacuate reports whether the routes of all entries name these zones as evacuated.
func (f *fleet) allEvacuate(zones ...string) bool {
	return !slices.ContainsFunc(f.views, func(v *storeview.View) bool { return !slices.Equal(v.Routes().EvacuatedZones(), zones) })
}

// TestEvacuationReachesCutOffEntry guards against an entry that goes on sending to an evacuated zone, or that
// leaves out a zone for good, because it hears of the change only from its peers.
func TestEvacuationReachesCutOffEntry(t *testing.T) {
	is := is.New(t)
	f := start(t, 4)
	f.storeCutOff[2].Store(true)
	f.evacuate("z")
	is.True(eventually(2*time.Second, func() bool { return f.allEvacuate("z") }))
	f.evacuate()
	is.True(eventually(2*time.Second, func() bool { return f.allEvacuate() }))
}

// TestUpdateOfOlderDaemonEndsNoEvacuation guards against an update of a peer that knows no evacuations, which
// would put a newer configuration in force without them.
func TestUpdateOfOlderDaemonEndsNoEvacuation(t *testing.T) {
	is := is.New(t)
	f := start(t, 1)
	f.evacuate("z")
	is.True(eventually(2*time.Second, func() bool { return f.allEvacuate("z") }))
	f.views[0].ApplyUpdate("old", mesh.StoreUpdate{Configuration: 3, Published: []byte("not read"), AsOf: freshness.Now()})
	is.True(f.allEvacuate("z"))
	is.Equal(f.views[0].Routes().Version(), int64(2))
}

// TestProofExpiresWithoutStore guards against entries that renew each other's freshness
// proofs while none of them reaches the store.
func TestProofExpiresWithoutStore(t *testing.T) {
	is := is.New(t)
	f := start(t, 3)
	for _, storeCutOff := range f.storeCutOff {
		storeCutOff.Store(true)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, v := range f.views {
		is.True(!v.Current(context.Background(), time.Second)) // peers must not renew each other's proofs
	}
}

// TestUnreachableStoreIsNotCalledPerRequest guards against a read attempt for each request
// while the store refuses every call at once. The fleet may make about thirty attempts a
// second, and must notice soon when the store is back.
func TestUnreachableStoreIsNotCalledPerRequest(t *testing.T) {
	is := is.New(t)
	const entries = 12
	f := start(t, entries)
	time.Sleep(1500 * time.Millisecond) // the entries have joined the mesh
	for _, storeCutOff := range f.storeCutOff {
		storeCutOff.Store(true)
	}
	time.Sleep(time.Second) // the proofs become too old
	before := f.store.calls.Load()
	const outage = 3
	for range outage * 100 {
		for _, v := range f.views {
			is.True(!v.Current(context.Background(), 700*time.Millisecond))
		}
		time.Sleep(10 * time.Millisecond)
	}
	calls := f.store.calls.Load() - before
	t.Logf("%d calls in %d s by %d entries", calls, outage, entries)
	is.True(calls < 40*outage)
	for _, storeCutOff := range f.storeCutOff {
		storeCutOff.Store(false)
	}
	is.True(eventually(500*time.Millisecond, func() bool {
		for _, v := range f.views {
			if !v.Current(context.Background(), 700*time.Millisecond) {
				return false
			}
		}
		return true
	}))
}

// TestRemovalAfterOutageTakesEffectImmediately guards against grace for a target that
// leaves after the store is reachable again: the outage did not cause the removal.
func TestRemovalAfterOutageTakesEffectImmediately(t *testing.T) {
	is := is.New(t)
	f := start(t, 1)
	f.storeCutOff[0].Store(true)
	time.Sleep(2500 * time.Millisecond)
	f.storeCutOff[0].Store(false)
	is.True(eventually(3*time.Second, func() bool { return f.views[0].Current(context.Background(), 300*time.Millisecond) }))
	time.Sleep(900 * time.Millisecond) // at least one regular read
	f.store.mu.Lock()
	f.store.removed = append(f.store.removed, []byte("a"))
	f.store.mu.Unlock()
	isRemoved := func() bool { return len(f.views[0].Targets().Serving("s")) == 0 }
	is.True(eventually(1200*time.Millisecond, isRemoved)) // at the next read, without grace
}

// TestRemovalDuringOutageHasGrace guards against dropping a target whose removal is found
// by the first read after an outage: it must stay in use until it has had time to register
// again.
func TestRemovalDuringOutageHasGrace(t *testing.T) {
	is := is.New(t)
	f := start(t, 1)
	f.storeCutOff[0].Store(true)
	f.store.mu.Lock()
	f.store.removed = append(f.store.removed, []byte("a"))
	f.store.mu.Unlock()
	time.Sleep(2500 * time.Millisecond)
	f.storeCutOff[0].Store(false)
	is.True(eventually(3*time.Second, func() bool { return f.views[0].Current(context.Background(), 300*time.Millisecond) }))
	is.Equal(len(f.views[0].Targets().Serving("s")), 1)
	is.True(eventually(3*time.Second, func() bool { return len(f.views[0].Targets().Serving("s")) == 0 }))
}

// TestTimeOfAnotherLifeIsIgnored guards against an entry that refuses everything after a loss of power for as long as its
// host had been up before: a peer sends it the time of a heartbeat of its earlier life, by a clock that has begun anew.
func TestTimeOfAnotherLifeIsIgnored(t *testing.T) {
	is := is.New(t)
	f := start(t, 1)
	v := f.views[0]
	const uptime = 240 * time.Hour                // before the loss of power
	for _, life := range []freshness.Life{0, 7} { // 0 is that of the view
		v.ApplyUpdate("peer", mesh.StoreUpdate{Configuration: 1, AsOf: freshness.Now().Add(uptime), Life: life, RegistryRead: true, From: 1, End: 1})
	}
	is.True(eventually(3*time.Second, func() bool { return v.Current(context.Background(), time.Second) }))
	age, ok := v.ProofAge()
	is.True(ok && age >= 0)

	f.storeCutOff[0].Store(true)
	time.Sleep(1100 * time.Millisecond)
	update := mesh.StoreUpdate{Configuration: 1, AsOf: freshness.Now(), Life: 7, RegistryRead: true, From: 1, End: 1}
	v.ApplyUpdate("peer", update)
	is.True(!v.WasConfirmed(time.Second)) // it is not known when that was
	update.Life = 0
	v.ApplyUpdate("peer", update)
	is.True(v.WasConfirmed(time.Second))
}

// TestTargetThatReturnsAsItWasIsKept guards against an entry that drops, when their grace is over, all targets that
// have registered again after an outage exactly as they were, and that it never finds again.
func TestTargetThatReturnsAsItWasIsKept(t *testing.T) {
	is := is.New(t)
	f := start(t, 3)
	for _, storeCutOff := range f.storeCutOff {
		storeCutOff.Store(true)
	}
	f.store.mu.Lock()
	f.store.removed = append(f.store.removed, []byte("a"))
	f.store.mu.Unlock()
	time.Sleep(2500 * time.Millisecond)
	for _, storeCutOff := range f.storeCutOff {
		storeCutOff.Store(false)
	}
	isMissing := func() bool { return f.views[0].Targets().IsMissing("a") }
	is.True(eventually(3*time.Second, isMissing))
	f.store.mu.Lock()
	f.store.removed = append(f.store.removed, []byte("+a"))
	f.store.mu.Unlock()
	time.Sleep(4 * time.Second) // the grace is over
	for _, v := range f.views {
		is.Equal(len(v.Targets().Serving("s")), 1)
		is.Equal(v.Targets().Missing(), 0)
	}
}

// TestRestoredListingIsConfirmed guards against a target that was removed, has registered again as it was before the
// restored store is listed, and stays out for good since a copy may list targets that have left.
func TestRestoredListingIsConfirmed(t *testing.T) {
	is := is.New(t)
	f := start(t, 1)
	f.store.mu.Lock()
	f.store.removed = append(f.store.removed, []byte("a"))
	f.store.mu.Unlock()
	isServing := func() bool { return len(f.views[0].Targets().Serving("s")) == 1 }
	is.True(eventually(5*time.Second, func() bool { return !isServing() }))
	f.store.mu.Lock()
	f.store.era++ // its copy lists the target, which renews its registration
	f.store.mu.Unlock()
	time.Sleep(2 * time.Second)
	is.True(!isServing()) // it may have left
	is.True(eventually(7*time.Second, isServing))
}

// TestRestoredStoreBringsBackNoTargets guards against targets that left after the copy from which
// the store came back, and that it lists again.
func TestRestoredStoreBringsBackNoTargets(t *testing.T) {
	is := is.New(t)
	f := start(t, 3)
	f.store.mu.Lock()
	f.store.removed = append(f.store.removed, []byte("a"))
	f.store.mu.Unlock()
	is.True(eventually(5*time.Second, func() bool { return len(f.views[0].Targets().Serving("s")) == 0 }))
	f.store.mu.Lock()
	f.store.era++ // the copy still lists the target
	f.store.mu.Unlock()
	calls := f.store.calls.Load()
	is.True(eventually(5*time.Second, func() bool { return f.store.calls.Load() > calls+8 }))
	for _, v := range f.views {
		is.Equal(len(v.Targets().Serving("s")), 0)
	}
}

// TestHeldEvacuationEndsAtAllEntries guards against an entry that keeps a zone evacuated for good, because it heard only from
// a peer of the zones that are held back after the store has come back from an older copy.
func TestHeldEvacuationEndsAtAllEntries(t *testing.T) {
	is := is.New(t)
	f := start(t, 4)
	f.evacuate("z")
	is.True(eventually(2*time.Second, func() bool { return f.allEvacuate("z") }))
	f.store.mu.Lock()
	f.store.era++
	f.store.zones = nil // the copy lacks the record, and the operator does not write it again
	f.store.version++
	f.store.mu.Unlock()
	is.True(eventually(2*time.Second, func() bool { return f.allAtVersion(3) }))
	is.True(f.allEvacuate("z"))
	is.True(eventually(10*time.Second, func() bool { return f.allEvacuate() }))
}
