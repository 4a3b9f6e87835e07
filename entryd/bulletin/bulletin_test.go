package bulletin_test

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/entryd/bulletin"
	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/registry"
	"camphormill.dev/parts/routes"
)

// fakeStore counts its calls.
type fakeStore struct {
	mu      sync.Mutex
	version int64
	targets []registry.Target
	removed [][]byte // ids, the registry's records from offset 1
	calls   atomic.Int64
}

var errAway = errors.New("the store is away")

// of gives an entry its access, which may be cut.
func (s *fakeStore) of(cut *atomic.Bool) bulletin.Store {
	return bulletin.Store{
		Configuration: func(_ context.Context, from int64) ([]byte, int64, error) {
			s.calls.Add(1)
			if cut.Load() {
				return nil, 0, errAway
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if from == s.version {
				return nil, s.version, nil
			}
			return []byte(strconv.FormatInt(s.version, 10)), s.version, nil
		},
		Table: func(published []byte) (*routes.Table, error) {
			version, err := strconv.ParseInt(string(published), 10, 64)
			return routes.New(routes.Config{Version: version}), err
		},
		Targets: func(_ context.Context, from int64) (bulletin.Records, error) {
			s.calls.Add(1)
			s.mu.Lock()
			defer s.mu.Unlock()
			return bulletin.Records{Raw: s.removed[from-1:], End: int64(1 + len(s.removed))}, nil
		},
		List: func(context.Context) ([]registry.Target, int64, error) {
			s.calls.Add(1)
			return s.targets, 1, nil
		},
		Decode: func(raw []byte) (string, *registry.Target, bool) { return string(raw), nil, true },
	}
}

type fleet struct {
	store  *fakeStore
	boards []*bulletin.Board
	cut    []*atomic.Bool
}

func start(t *testing.T, entries int) *fleet {
	t.Helper()
	is := is.New(t)
	f := &fleet{store: &fakeStore{version: 1, targets: []registry.Target{{ID: "a", Service: "s", State: registry.Ready}}}}
	hosts := make([]mesh.Host, entries)
	for i := range hosts {
		probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		is.NoErr(err)
		hosts[i] = mesh.Host{Name: "e" + strconv.Itoa(i), Role: mesh.Entry, Address: probe.LocalAddr().String()}
		is.NoErr(probe.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, host := range hosts {
		var board *bulletin.Board
		m, err := mesh.Listen(mesh.Config{
			Self: host, Silence: time.Second, Now: time.Now, Log: zerolog.Nop(),
			Handle: func(from mesh.Host, message mesh.Message) {
				if message.Bulletin != nil {
					board.Hear(from.Name, *message.Bulletin)
				}
			},
		})
		is.NoErr(err)
		cut := &atomic.Bool{}
		board = bulletin.New(bulletin.Config{
			Store: f.store.of(cut), Mesh: m, Clock: freshness.Now, Now: time.Now, Log: zerolog.Nop(), Changed: func(registry.Registry) {},
		})
		f.boards, f.cut = append(f.boards, board), append(f.cut, cut)
		go m.Run(ctx)
		go m.Join(ctx, mesh.List{
			Register: func(context.Context, mesh.Host) error { return nil },
			Hosts:    func(context.Context) ([]mesh.Host, error) { return hosts, nil },
		})
		go board.Run(ctx)
		go func() {
			for ctx.Err() == nil {
				for _, peer := range m.Known(mesh.Entry) {
					m.Send(peer.Name, mesh.Message{Beat: &mesh.Beat{Ready: true, Sent: freshness.Now()}})
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	is.True(eventually(5*time.Second, func() bool { return f.all(1) }))
	return f
}

func (f *fleet) all(version int64) bool {
	for _, b := range f.boards {
		if !b.Known() || b.Table().Version() < version {
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

// TestOneReadServesTheFleet counts the store's calls in calm: far fewer than one
// an entry and round.
func TestOneReadServesTheFleet(t *testing.T) {
	is := is.New(t)
	const entries = 12
	f := start(t, entries)
	time.Sleep(1500 * time.Millisecond) // the joining is over
	before := f.store.calls.Load()
	time.Sleep(4 * time.Second)
	calls := f.store.calls.Load() - before
	t.Logf("%d calls in 4 s by %d entries", calls, entries)
	is.True(calls < 2*entries) // each reading for itself would make some ten times as many
	for _, b := range f.boards {
		is.True(b.Current(context.Background(), 2*time.Second)) // and all have a proof
	}
}

// TestCutOffEntryHearsFromItsPeers cuts an entry from the store: it must learn of
// newer routes and keep its proof by way of the others.
func TestCutOffEntryHearsFromItsPeers(t *testing.T) {
	is := is.New(t)
	f := start(t, 4)
	f.cut[2].Store(true)
	f.store.mu.Lock()
	f.store.version = 2
	f.store.mu.Unlock()
	is.True(eventually(2*time.Second, func() bool { return f.all(2) })) // within the bound on configuration
	time.Sleep(2 * time.Second)
	is.True(f.boards[2].Current(context.Background(), 2*time.Second))
}

// TestNobodyReachesTheStore lets every proof grow old.
func TestNobodyReachesTheStore(t *testing.T) {
	is := is.New(t)
	f := start(t, 3)
	for _, cut := range f.cut {
		cut.Store(true)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, b := range f.boards {
		is.True(!b.Current(context.Background(), time.Second)) // peers do not prove it to each other
	}
}

// TestLostStoreIsNotCalledByEachRequest has requests at entries whose store is away,
// and refuses their calls at once. All entries together try some thirty times a
// second, and know it soon when the store is back.
func TestLostStoreIsNotCalledByEachRequest(t *testing.T) {
	is := is.New(t)
	const entries = 12
	f := start(t, entries)
	time.Sleep(1500 * time.Millisecond) // the joining is over
	for _, cut := range f.cut {
		cut.Store(true)
	}
	time.Sleep(time.Second) // proofs grow old
	before := f.store.calls.Load()
	const outage = 3
	for range outage * 100 {
		for _, b := range f.boards {
			is.True(!b.Current(context.Background(), 700*time.Millisecond))
		}
		time.Sleep(10 * time.Millisecond)
	}
	calls := f.store.calls.Load() - before
	t.Logf("%d calls in %d s by %d entries", calls, outage, entries)
	is.True(calls < 40*outage)
	for _, cut := range f.cut {
		cut.Store(false)
	}
	is.True(eventually(500*time.Millisecond, func() bool {
		for _, b := range f.boards {
			if !b.Current(context.Background(), 700*time.Millisecond) {
				return false
			}
		}
		return true
	}))
}

// TestRemovalAfterAnOutageCountsAtOnce cuts an entry from the store for a while.
// A target that leaves after the store is regained must be gone at once: the
// outage did not cause that.
func TestRemovalAfterAnOutageCountsAtOnce(t *testing.T) {
	is := is.New(t)
	f := start(t, 1)
	f.cut[0].Store(true)
	time.Sleep(2500 * time.Millisecond)
	f.cut[0].Store(false)
	is.True(eventually(3*time.Second, func() bool { return f.boards[0].Current(context.Background(), 300*time.Millisecond) }))
	time.Sleep(900 * time.Millisecond) // a read in calm
	f.store.mu.Lock()
	f.store.removed = append(f.store.removed, []byte("a"))
	f.store.mu.Unlock()
	gone := func() bool { return len(f.boards[0].Targets().Serving("s")) == 0 }
	is.True(eventually(1200*time.Millisecond, gone)) // one read later, without grace
}

// TestRemovalInAnOutageMayBeUndone finds a removal in the first read after an
// outage: the target serves on until it has had time to come back.
func TestRemovalInAnOutageMayBeUndone(t *testing.T) {
	is := is.New(t)
	f := start(t, 1)
	f.cut[0].Store(true)
	f.store.mu.Lock()
	f.store.removed = append(f.store.removed, []byte("a"))
	f.store.mu.Unlock()
	time.Sleep(2500 * time.Millisecond)
	f.cut[0].Store(false)
	is.True(eventually(3*time.Second, func() bool { return f.boards[0].Current(context.Background(), 300*time.Millisecond) }))
	is.Equal(len(f.boards[0].Targets().Serving("s")), 1)
	is.True(eventually(3*time.Second, func() bool { return len(f.boards[0].Targets().Serving("s")) == 0 }))
}
