package rankagent_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/routes"
	"camphormill.dev/targetd/rankagent"
)

const (
	groupRanks   = 4
	groupExperts = 16
	groupSlots   = 6
)

// copyTime is the time that the rest of a copy takes.
const copyTime = 300 * time.Millisecond

// otherEngine is the address of an engine of another group.
const otherEngine = "other-engine"

// fakeGroup is a lock-step group of fake engines that carry out orders as real engines do.
type fakeGroup struct {
	mu           sync.Mutex
	pass         mapswitch.Pass
	engines      [groupRanks]fakeEngine
	hotExpert    int                        // expert with the highest demand
	mixedMaps    bool                       // in some pass, ranks had different maps
	prepares     int                        // number of prepare orders
	ordered      map[mapswitch.Version]bool // the maps of prepare orders
	refused      int                        // number of refused prepare orders
	passInterval time.Duration
	// freezeAtHold permanently freezes the first daemon that orders an engine to hold a pass.
	freezeAtHold bool
	frozenHost   string // host of the frozen daemon
	// storeBlocked makes the store block instead of returning the engine settings. The entry
	// still returns them.
	storeBlocked bool
	heldAt       time.Time // when the daemon was frozen, at its hold order
	// announcements counts the leader announcements that the entry received, and
	// closedAnnouncements those that said that the group is closed.
	announcements, closedAnnouncements int
	lastAnnouncedOpen                  bool
	// neverCopies makes engines accept copies of maps and never complete them.
	neverCopies bool
	orderedAt   []time.Time // when each map was first ordered
	// refusing is set for the ranks whose engines refuse connections.
	refusing [groupRanks]bool
	// otherGroup adds a host to the fleet whose engine belongs to another group. otherReads counts
	// the reads of that engine.
	otherGroup bool
	otherReads int
}

type fakeEngine struct {
	view    mapswitch.View
	fence   mapswitch.Fence
	armAt   mapswitch.Pass
	held    []int             // experts held under view.Map
	next    []int             // experts under the prepared map
	counts  []int64           // times that each expert was chosen
	highest mapswitch.Version // of the maps that it was ordered to prepare
	// copying is the version of a copy that is not complete until copiedAt, copyTime after the next order.
	copying  mapswitch.Version
	copiedAt time.Time
}

func newFakeGroup(passInterval time.Duration) *fakeGroup {
	g := &fakeGroup{passInterval: passInterval, ordered: map[mapswitch.Version]bool{}}
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

// runPasses runs passes until ctx ends.
func (g *fakeGroup) runPasses(ctx context.Context) {
	ticker := time.NewTicker(g.passInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.runPass()
		}
	}
}

func (g *fakeGroup) heldTime() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heldAt
}

func (g *fakeGroup) passCount() mapswitch.Pass {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pass
}

// freeze freezes the daemon of a host permanently. Only the first call has an effect.
func (g *fakeGroup) freeze(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozenHost == "" {
		g.frozenHost, g.heldAt = host, time.Now()
	}
}

// isFrozen returns whether the daemon of a host is frozen.
func (g *fakeGroup) isFrozen(host string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.frozenHost == host
}

func (g *fakeGroup) runPass() {
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
		if e.copying != 0 && !e.copiedAt.IsZero() && time.Now().After(e.copiedAt) {
			e.view.Prepared, e.copying = e.copying, 0
		}
		e.view.Pass = next
		if e.view.Armed != 0 && e.armAt == next {
			e.view.Map, e.view.Armed, e.held = e.view.Armed, 0, e.next
		}
		for x := range groupExperts {
			e.counts[x] += 100
		}
		// The round-robin map puts these two hot experts on the same rank.
		e.counts[g.hotExpert] += 1500
		e.counts[(g.hotExpert+groupRanks)%groupExperts] += 1500
	}
	for _, e := range g.engines {
		g.mixedMaps = g.mixedMaps || e.view.Map != g.engines[0].view.Map
	}
}

func (g *fakeGroup) executeOrder(rank int, o mapswitch.Order, layout [][][]int) mapswitch.Result {
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
		if !g.ordered[o.Version] {
			g.ordered[o.Version] = true
			g.orderedAt = append(g.orderedAt, time.Now())
		}
		if o.Version <= e.highest || e.view.Armed != 0 {
			if e.copying != 0 && e.copiedAt.IsZero() {
				e.copiedAt = time.Now().Add(copyTime)
			}
			g.refused++
			return mapswitch.Refused
		}
		e.highest, e.copying = o.Version, 0
		if g.neverCopies {
			return mapswitch.Done
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
	case mapswitch.Release:
		if e.view.Held == o.Pass {
			e.view.Held = mapswitch.NoPass
		}
	}
	return mapswitch.Done
}

// rankEngine returns the interface to the engines for the daemon beside a rank, which hangs while
// the daemon's host is frozen. engines holds the ranks by engine address.
func (g *fakeGroup) rankEngine(ctx context.Context, rank int, host string, engines map[string]int) rankagent.Engine {
	return rankagent.Engine{
		Read: func(_ context.Context, address string) (rankagent.Report, error) {
			if g.isFrozen(host) {
				<-ctx.Done()
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			if address == otherEngine {
				g.otherReads++
				return rankagent.Report{Group: "other", Size: 1, Open: true}, nil
			}
			rank := engines[address]
			if g.refusing[rank] {
				return rankagent.Report{}, errors.Wrap(syscall.ECONNREFUSED, "dial")
			}
			return rankagent.Report{Group: "g", Rank: rank, Size: groupRanks, Open: true, View: g.engines[rank].view, Slowdown: 1}, nil
		},
		ExpertCounts: func(context.Context) ([]int64, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			return slices.Clone(g.engines[rank].counts), nil
		},
		Layout: func(context.Context) (rankagent.Layout, error) {
			g.mu.Lock()
			defer g.mu.Unlock()
			return rankagent.Layout{Map: g.engines[rank].view.Map, Experts: [][]int{g.engines[rank].held}}, nil
		},
		Order: func(_ context.Context, address string, o mapswitch.Order, layout [][][]int) (mapswitch.Result, error) {
			if g.isFrozen(host) {
				<-ctx.Done()
			}
			if g.freezeAtHold && o.Kind == mapswitch.Hold {
				g.freeze(host)
			}
			return g.executeOrder(engines[address], o, layout), nil
		},
	}
}

var settings = routes.Engine{Slots: 4, Sets: 1, Experts: groupExperts, ExpertSlots: groupSlots, SpareExpertSlots: 3}

// start runs a target daemon's agent beside each engine, an entry, and the passes of the group.
func (g *fakeGroup) start(t *testing.T, ctx context.Context) {
	t.Helper()
	is := is.New(t)
	hosts := make([]mesh.Host, groupRanks)
	engines := map[string]int{}
	for i := range hosts {
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		is.NoErr(err)
		hosts[i] = mesh.Host{Name: fmt.Sprint("t", i), Role: mesh.RoleTarget, Address: socket.LocalAddr().String(), Engine: fmt.Sprint("e", i)}
		engines[hosts[i].Engine] = i
		is.NoErr(socket.Close())
	}
	hosts = append(hosts, g.startEntry(t, ctx, engines))
	if g.otherGroup {
		hosts = append(hosts, mesh.Host{Name: "other", Role: mesh.RoleTarget, Address: "127.0.0.1:9", Engine: otherEngine})
	}
	var mu sync.Mutex
	claims := int64(0)
	for i, host := range hosts[:groupRanks] {
		var agent *rankagent.Agent
		m, err := mesh.Listen(mesh.Config{
			Self: host, PeerTimeout: time.Second, Now: time.Now, Log: zerolog.Nop(),
			Handle: func(from mesh.Host, message mesh.Message) {
				if !g.isFrozen(host.Name) {
					agent.Handle(from, message)
				}
			},
		})
		is.NoErr(err)
		agent = rankagent.New(rankagent.Config{
			Self: host, Service: "s", Engine: g.rankEngine(ctx, i, host.Name, engines), Mesh: m, Now: time.Now, SkewTarget: 1.15, Log: zerolog.Nop(),
			Store: rankagent.Store{
				ClaimLeadership: func(context.Context, string) (mapswitch.Fence, error) {
					mu.Lock()
					defer mu.Unlock()
					claims++
					return rankagent.ClaimFence(claims), nil
				},
				EngineSettings: func(ctx context.Context) (routes.Engine, error) {
					if g.storeBlocked {
						<-ctx.Done()
						return routes.Engine{}, ctx.Err()
					}
					return settings, nil
				},
			},
		})
		go m.Run(ctx)
		go m.Join(ctx, mesh.Directory{
			Register: func(context.Context, mesh.Host) error { return nil },
			Hosts:    func(context.Context) ([]mesh.Host, error) { return hosts, nil },
		})
		go agent.Run(ctx)
	}
	go g.runPasses(ctx)
}

// startEntry runs an entry's part in a group: it answers requests for the engine settings and
// passes orders to engines.
func (g *fakeGroup) startEntry(t *testing.T, ctx context.Context, engines map[string]int) mesh.Host {
	t.Helper()
	is := is.New(t)
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	host := mesh.Host{Name: "entry", Role: mesh.RoleEntry, Address: socket.LocalAddr().String()}
	is.NoErr(socket.Close())
	var m *mesh.Mesh
	m, err = mesh.Listen(mesh.Config{
		Self: host, PeerTimeout: time.Second, Now: time.Now, Log: zerolog.Nop(),
		Handle: func(from mesh.Host, message mesh.Message) {
			g.countAnnouncement(message.LeaderAnnouncement)
			if message.RequestEngineSettings == "s" {
				m.Send(from.Name, mesh.Message{EngineSettings: &mesh.EngineSettings{Service: "s", Engine: settings}})
			}
			if o := message.Order; o != nil {
				if g.freezeAtHold && o.Order.Kind == mapswitch.Hold {
					g.freeze(from.Name)
				}
				result := g.executeOrder(engines[o.Engine], o.Order, nil)
				m.Send(o.Leader, mesh.Message{OrderResult: &mesh.OrderResult{ID: o.ID, Result: result}})
			}
		},
	})
	is.NoErr(err)
	go m.Run(ctx)
	return host
}

// mapState returns the map of rank 0, whether ranks had different maps in some pass, and the number
// of refused prepare orders.
func (g *fakeGroup) mapState() (mapswitch.Version, bool, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.engines[0].view.Map, g.mixedMaps, g.refused
}

// orderedMaps returns how many maps ranks were ordered to prepare.
func (g *fakeGroup) orderedMaps() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.ordered)
}

func (g *fakeGroup) countAnnouncement(l *mesh.LeaderAnnouncement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l == nil {
		return
	}
	g.announcements++
	g.lastAnnouncedOpen = l.Open
	if !l.Open {
		g.closedAnnouncements++
	}
}
