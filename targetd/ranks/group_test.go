package ranks_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/routes"
	"camphormill.dev/targetd/ranks"
)

const (
	groupRanks   = 4
	groupExperts = 16
	groupPlaces  = 6
)

// group is a lock-step group of fake engines that follow orders as engines do.
type group struct {
	mu        sync.Mutex
	pass      mapswitch.Pass
	engines   [groupRanks]fakeEngine
	hot       int // demand peaks at this expert
	mixed     bool
	prepares  int
	refused   int
	passEvery time.Duration
	// freezeAtHold freezes the daemon that first holds a pass, for good.
	freezeAtHold bool
	frozen       string // its host
	// storeSlow keeps the store from answering with the shape; an entry knows it.
	storeSlow bool
	heldAt    time.Time
	// leads and closed count what the entry was told, and how often that the group
	// is closed.
	leads, closed int
}

type fakeEngine struct {
	view   mapswitch.View
	fence  mapswitch.Fence
	armAt  mapswitch.Pass
	held   []int
	next   []int
	counts []int64
}

func newGroup(passEvery time.Duration) *group {
	g := &group{passEvery: passEvery}
	for i := range g.engines {
		e := &g.engines[i]
		e.view = mapswitch.View{Epoch: 1, Held: mapswitch.NoPass}
		e.counts = make([]int64, groupExperts)
		for x := i; x < groupExperts; x += groupRanks {
			e.held = append(e.held, x)
		}
	}
	return g
}

// run makes passes until the context ends.
func (g *group) run(ctx context.Context) {
	ticker := time.NewTicker(g.passEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.step()
		}
	}
}

func (g *group) heldSince() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heldAt
}

func (g *group) passes() mapswitch.Pass {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pass
}

// freeze freezes the daemon of a host for good, once.
func (g *group) freeze(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == "" {
		g.frozen, g.heldAt = host, time.Now()
	}
}

// stopped blocks the daemon of a host while it is frozen.
func (g *group) stopped(host string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.frozen == host
}

func (g *group) step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.pass + 1
	for _, e := range g.engines {
		if e.view.Held == next {
			return
		}
	}
	g.pass = next
	for i := range g.engines {
		e := &g.engines[i]
		e.view.Pass = next
		if e.view.Armed != 0 && e.armAt == next {
			e.view.Map, e.view.Armed, e.held = e.view.Armed, 0, e.next
		}
		for x := range groupExperts {
			e.counts[x] += 100
		}
		// Two hot experts that the map in turn puts on one rank.
		e.counts[g.hot] += 1500
		e.counts[(g.hot+groupRanks)%groupExperts] += 1500
	}
	for _, e := range g.engines {
		g.mixed = g.mixed || e.view.Map != g.engines[0].view.Map
	}
}

func (g *group) order(rank int, o mapswitch.Order, layout [][][]int) mapswitch.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.engines[rank]
	if o.Fence < e.fence {
		return mapswitch.Fenced
	}
	e.fence = o.Fence
	switch o.Kind {
	case mapswitch.Prepare:
		g.prepares++
		if o.Version <= e.view.Prepared || e.view.Armed != 0 {
			g.refused++
			return mapswitch.Refused
		}
		e.view.Prepared, e.next = o.Version, layout[0][rank]
	case mapswitch.Arm:
		if e.view.Prepared != o.Version || g.pass >= o.Pass {
			return mapswitch.Refused
		}
		e.view.Armed, e.armAt = o.Version, o.Pass
	case mapswitch.Disarm:
		e.view.Armed = 0
	case mapswitch.Hold:
		if g.pass >= o.Pass {
			return mapswitch.Refused
		}
		e.view.Held = o.Pass
	case mapswitch.Go:
		if e.view.Held == o.Pass {
			e.view.Held = mapswitch.NoPass
		}
	}
	return mapswitch.Done
}

func (g *group) engine(ctx context.Context, rank int, host string, engines map[string]int) ranks.Engine {
	return ranks.Engine{
		Read: func(_ context.Context, address string) (ranks.Report, error) {
			if g.stopped(host) {
				<-ctx.Done()
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			rank := engines[address]
			return ranks.Report{Group: "g", Rank: rank, Size: groupRanks, Open: true, View: g.engines[rank].view, Pace: 1}, nil
		},
		Choices: func(context.Context) ([]int64, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			return slices.Clone(g.engines[rank].counts), nil
		},
		Layout: func(context.Context) (ranks.Layout, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			return ranks.Layout{Map: g.engines[rank].view.Map, Held: [][]int{g.engines[rank].held}}, nil
		},
		Order: func(_ context.Context, address string, o mapswitch.Order, layout [][][]int) (mapswitch.Result, error) {
			if g.stopped(host) {
				<-ctx.Done()
			}
			if g.freezeAtHold && o.Kind == mapswitch.Hold {
				g.freeze(host)
			}
			return g.order(engines[address], o, layout), nil
		},
	}
}

var shape = routes.Engine{Slots: 4, Sets: 1, Experts: groupExperts, Places: groupPlaces, Spare: 3}

// start runs a target daemon's agent beside each engine.
func (g *group) start(t *testing.T, ctx context.Context) {
	t.Helper()
	is := is.New(t)
	hosts := make([]mesh.Host, groupRanks)
	engines := map[string]int{}
	for i := range hosts {
		probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		is.NoErr(err)
		hosts[i] = mesh.Host{Name: fmt.Sprint("t", i), Role: mesh.Target, Address: probe.LocalAddr().String(), Engine: fmt.Sprint("e", i)}
		engines[hosts[i].Engine] = i
		is.NoErr(probe.Close())
	}
	hosts = append(hosts, g.startEntry(t, ctx, engines))
	var mu sync.Mutex
	claims := int64(0)
	for i, host := range hosts[:groupRanks] {
		var agent *ranks.Agent
		m, err := mesh.Listen(mesh.Config{
			Self: host, Silence: time.Second, Now: time.Now, Log: zerolog.Nop(),
			Handle: func(from mesh.Host, message mesh.Message) {
				if !g.stopped(host.Name) {
					agent.Handle(from, message)
				}
			},
		})
		is.NoErr(err)
		agent = ranks.New(ranks.Config{
			Self: host, Service: "s", Engine: g.engine(ctx, i, host.Name, engines), Mesh: m, Now: time.Now, SkewTarget: 1.15, Log: zerolog.Nop(),
			Store: ranks.Store{
				Claim: func(context.Context, string) (mapswitch.Fence, error) {
					mu.Lock()
					defer mu.Unlock()
					claims++
					return ranks.Fence(claims), nil
				},
				Shape: func(ctx context.Context) (routes.Engine, error) {
					if g.storeSlow {
						<-ctx.Done()
						return routes.Engine{}, ctx.Err()
					}
					return shape, nil
				},
			},
		})
		go m.Run(ctx)
		go m.Join(ctx, mesh.List{
			Register: func(context.Context, mesh.Host) error { return nil },
			Hosts:    func(context.Context) ([]mesh.Host, error) { return hosts, nil },
		})
		go agent.Run(ctx)
	}
	go g.run(ctx)
}

// startEntry runs what an entry does for a group: it knows the shape and gives
// orders.
func (g *group) startEntry(t *testing.T, ctx context.Context, engines map[string]int) mesh.Host {
	t.Helper()
	is := is.New(t)
	probe, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	host := mesh.Host{Name: "entry", Role: mesh.Entry, Address: probe.LocalAddr().String()}
	is.NoErr(probe.Close())
	var m *mesh.Mesh
	m, err = mesh.Listen(mesh.Config{
		Self: host, Silence: time.Second, Now: time.Now, Log: zerolog.Nop(),
		Handle: func(from mesh.Host, message mesh.Message) {
			g.told(message.Lead)
			if message.AskShape == "s" {
				m.Send(from.Name, mesh.Message{Shape: &mesh.Shape{Service: "s", Engine: shape}})
			}
			if o := message.Order; o != nil {
				if g.freezeAtHold && o.Order.Kind == mapswitch.Hold {
					g.freeze(from.Name)
				}
				result := g.order(engines[o.Engine], o.Order, nil)
				m.Send(o.Leader, mesh.Message{Ordered: &mesh.Ordered{ID: o.ID, Result: result}})
			}
		},
	})
	is.NoErr(err)
	go m.Run(ctx)
	return host
}

func (g *group) versions() (mapswitch.Version, bool, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.engines[0].view.Map, g.mixed, g.refused
}

func (g *group) told(l *mesh.Lead) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l == nil {
		return
	}
	g.leads++
	if !l.Open {
		g.closed++
	}
}

// TestNewLeaderDoesNotCallItsGroupClosed has a group that was open all along when
// its first leader is chosen. Entries refuse requests of a closed group.
func TestNewLeaderDoesNotCallItsGroupClosed(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newGroup(30 * time.Millisecond)
	g.start(t, ctx)
	leads, closed := 0, 0
	for deadline := time.Now().Add(5 * time.Second); leads < 3 && time.Now().Before(deadline); {
		time.Sleep(20 * time.Millisecond)
		g.mu.Lock()
		leads, closed = g.leads, g.closed
		g.mu.Unlock()
	}
	is.True(leads >= 3)
	is.Equal(closed, 0)
}

// TestOneShiftNeedsOneSwitch plays a group whose passes are slow, so that the held
// pass is reached well after the switch was led. A leader that plans meanwhile
// takes the old layout for the new one, and copies it all again.
func TestOneShiftNeedsOneSwitch(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newGroup(150 * time.Millisecond)
	g.start(t, ctx)
	var version mapswitch.Version
	deadline := time.Now().Add(8 * time.Second)
	for version == 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
		version, _, _ = g.versions()
	}
	is.Equal(version, mapswitch.Version(1)) // the group has changed its map
	time.Sleep(2 * time.Second)             // real time: engines and daemons run by it
	version, mixed, refused := g.versions()
	is.Equal(version, mapswitch.Version(1)) // and does not change it again for the same demand
	is.Equal(refused, 0)
	is.True(!mixed)
}

// TestSwitchWaitsForSlowPasses plays a rank that is twelve times slower than usual:
// the held pass begins more than a second after the switch was led. Meanwhile the
// armed engines refuse another map, which a leader must not begin to prepare.
func TestSwitchWaitsForSlowPasses(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newGroup(1200 * time.Millisecond)
	g.start(t, ctx)
	var version mapswitch.Version
	deadline := time.Now().Add(15 * time.Second)
	for version == 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
		version, _, _ = g.versions()
	}
	is.Equal(version, mapswitch.Version(1)) // the group has changed its map
	_, mixed, refused := g.versions()
	is.Equal(refused, 0)
	is.True(!mixed)
}

// TestFrozenLeaderLeavesNothingHeld freezes the leader's daemon right after it has
// held a pass. The others must let the group go on within a second and a half,
// past the frozen daemon, and under one map.
func TestFrozenLeaderLeavesNothingHeld(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newGroup(30 * time.Millisecond)
	g.freezeAtHold = true
	g.start(t, ctx)
	deadline := time.Now().Add(8 * time.Second)
	for g.heldSince().IsZero() && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(!g.heldSince().IsZero()) // a pass was held and its leader froze
	passed := g.passes()
	time.Sleep(1500 * time.Millisecond)
	is.True(g.passes() > passed+5) // the group goes on
	_, mixed, _ := g.versions()
	is.True(!mixed)
}

// TestShapeComesFromAnEntry has a store that answers too slowly over a narrow link;
// the group must still find a leader and change its map.
func TestShapeComesFromAnEntry(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newGroup(30 * time.Millisecond)
	g.storeSlow = true
	g.start(t, ctx)
	var version mapswitch.Version
	deadline := time.Now().Add(5 * time.Second)
	for version == 0 && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
		version, _, _ = g.versions()
	}
	is.True(version > 0)
}
