package rankagent_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/placement"
	"camphormill.dev/parts/routes"
	"camphormill.dev/targetd/rankagent"
)

const (
	largeSets        = 16
	targetLink       = 6e6 / 8                // bytes per second of a target host's link
	entryLink        = 40e6 / 8               // bytes per second of an entry host's link
	requestInterval  = 408 * time.Millisecond // of one entry; there are as many entries as ranks
	requestDuration  = 800 * time.Millisecond
	largePass        = 40 * time.Millisecond
	idleTime         = 4 * time.Second // between the start of the daemons and the first requests
	expertCopyTime   = 10 * time.Millisecond
	slotAnswerWithin = 75 * time.Millisecond // an entry that waits longer chooses an engine by itself
)

// largeGroup is a group of fake engines that counts the choices of experts without simulating requests.
type largeGroup struct {
	ranks   int
	experts int
	// settings are those of the service. The entries publish them.
	settings routes.Engine

	mu      sync.Mutex
	pass    mapswitch.Pass
	engines []largeEngine
	demands []demandPhase
	mixed   bool // in some pass, ranks had different maps
	groupChecks
}

// groupChecks is what a test checks after the run.
type groupChecks struct {
	claims       int
	switches     int             // maps that came in force
	rolledBack   int             // prepared maps that did not come in force
	switchTimes  []time.Duration // from the first prepare order of a map until it was in force
	firstPrepare time.Time
	copies       int             // experts that ranks have copied
	refusedBases int             // prepare orders without a usable layout
	slotWaits    []time.Duration // time until a request for a slot was answered
	lostRequests int             // requests for a slot without an answer in time
	heard        map[string]time.Time
	maxSilence   time.Duration // longest time without a message of the leader at an entry, while there were requests
	heldPasses   int
}

// demandPhase is the demand for experts from a pass on.
type demandPhase struct {
	from    mapswitch.Pass
	weights [][]float64 // choices per pass at one rank, by set and expert
}

type largeEngine struct {
	view       mapswitch.View
	fence      mapswitch.Fence
	armAt      mapswitch.Pass
	layout     [][][]int // by set and rank; the map in force
	next       [][][]int
	nextMap    mapswitch.Version
	preparedAt time.Time
	down       bool
}

// roundRobinLayout is the layout of map 0.
func roundRobinLayout(sets, ranks, experts int) [][][]int {
	layout := make([][][]int, sets)
	for s := range layout {
		layout[s] = make([][]int, ranks)
		for x := range experts {
			layout[s][x%ranks] = append(layout[s][x%ranks], x)
		}
	}
	return layout
}

func newLargeGroup(ranks int) *largeGroup {
	g := &largeGroup{ranks: ranks, experts: 2 * ranks, engines: make([]largeEngine, ranks)}
	g.settings = routes.Engine{Slots: 6, Sets: largeSets, Experts: g.experts, ExpertSlots: 3, SpareExpertSlots: 2, IdlePassMS: 6, PromptTokensPerSecond: 61200}
	initial := roundRobinLayout(largeSets, ranks, g.experts)
	for i := range g.engines {
		g.engines[i] = largeEngine{view: mapswitch.View{Epoch: 1, Held: mapswitch.NoPass}, layout: initial}
	}
	g.heard = map[string]time.Time{}
	return g
}

// shiftDemand changes which experts are in demand. A few of each set are chosen far more often than the
// others.
func (g *largeGroup) shiftDemand(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 1))
	weights := make([][]float64, largeSets)
	for s := range weights {
		weights[s] = make([]float64, g.experts)
		for x := range weights[s] {
			weights[s][x] = 20 + 40*r.Float64()
		}
		for range g.experts / 16 {
			weights[s][r.IntN(g.experts)] += 60 + 100*r.Float64()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.demands = append(g.demands, demandPhase{from: g.pass, weights: weights})
}

// skew returns the skew of the map in force under the demand in force, mean over the sets.
func (g *largeGroup) skew() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.demands) == 0 {
		return 1
	}
	total := 0.0
	for s, weights := range g.demands[len(g.demands)-1].weights {
		p := placement.Problem{Loads: weights, ExpertSlots: g.settings.ExpertSlots, Ranks: g.ranks}
		total += p.Skew(g.engines[0].layout[s])
	}
	return total / largeSets
}

func (g *largeGroup) runPasses(ctx context.Context) {
	ticker := time.NewTicker(largePass)
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

func (g *largeGroup) runPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.pass + 1
	for i := range g.engines {
		e := &g.engines[i]
		if e.down {
			return
		}
		if e.view.Held == next {
			g.heldPasses++
			return
		}
	}
	if len(g.demands) == 0 {
		return // an idle group runs no passes
	}
	g.pass = next
	for i := range g.engines {
		e := &g.engines[i]
		e.view.Pass = next
		if e.view.Armed != 0 && e.armAt == next {
			e.view.Map, e.view.Armed, e.layout = e.view.Armed, 0, e.next
		}
	}
	for i := range g.engines {
		g.mixed = g.mixed || g.engines[i].view.Map != g.engines[0].view.Map
	}
	if v := g.engines[0].view.Map; int(v) > 0 && !g.firstPrepare.IsZero() && v == g.engines[0].nextMap {
		g.switches++
		g.switchTimes = append(g.switchTimes, time.Since(g.firstPrepare))
		g.firstPrepare = time.Time{}
	}
}

// order executes an order at a rank.
func (g *largeGroup) order(rank int, o mapswitch.Order, layout [][][]int) mapswitch.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.engines[rank]
	switch {
	case o.Fence < e.fence:
		return mapswitch.Fenced
	case o.Epoch != e.view.Epoch:
		return mapswitch.Refused
	}
	e.fence = o.Fence
	switch o.Kind {
	case mapswitch.Prepare:
		return g.prepare(e, rank, o, layout)
	case mapswitch.Arm:
		if e.prepared() != o.Version || g.pass >= o.Pass {
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

func (g *largeGroup) prepare(e *largeEngine, rank int, o mapswitch.Order, layout [][][]int) mapswitch.Result {
	if len(layout) != largeSets {
		g.refusedBases++
		return mapswitch.Refused
	}
	if o.Version == e.nextMap {
		return mapswitch.Done
	}
	if o.Version < e.nextMap || e.view.Armed != 0 {
		return mapswitch.Refused
	}
	copies := 0
	for s := range layout {
		copies += placement.CountFetches(e.layout[s][rank:rank+1], layout[s][rank:rank+1])
	}
	if g.firstPrepare.IsZero() {
		g.firstPrepare = time.Now()
	} else if slices.MaxFunc(g.engines, func(a, b largeEngine) int { return cmp.Compare(a.nextMap, b.nextMap) }).nextMap < o.Version {
		g.rolledBack++
		g.firstPrepare = time.Now()
	}
	g.copies += copies
	e.nextMap, e.next, e.preparedAt = o.Version, layout, time.Now().Add(time.Duration(copies)*expertCopyTime)
	return mapswitch.Done
}

// prepared returns the map of which the rank has a complete copy.
func (e *largeEngine) prepared() mapswitch.Version {
	if e.nextMap > 0 && !time.Now().Before(e.preparedAt) {
		return e.nextMap
	}
	return 0
}

func (g *largeGroup) read(rank int) rankagent.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &g.engines[rank]
	view := e.view
	view.Prepared = e.prepared()
	return rankagent.Report{Group: "g", Rank: rank, Size: g.ranks, Open: true, View: view, Slowdown: 1}
}

// counts returns how often the requests of a rank have chosen each expert.
func (g *largeGroup) counts() []int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	total := make([]int64, largeSets*g.experts)
	for i, d := range g.demands {
		end := g.pass
		if i+1 < len(g.demands) {
			end = g.demands[i+1].from
		}
		for s, weights := range d.weights {
			for x, w := range weights {
				total[s*g.experts+x] += int64(float64(end-d.from) * w)
			}
		}
	}
	return total
}

func (g *largeGroup) layoutOf(rank int) rankagent.Layout {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := rankagent.Layout{Map: g.engines[rank].view.Map, Experts: make([][]int, largeSets)}
	for s := range l.Experts {
		l.Experts[s] = g.engines[rank].layout[s][rank]
	}
	return l
}

// largeFleet is a large group with its daemons, entries and network.
type largeFleet struct {
	*largeGroup
	started time.Time
	network *network
	hosts   []mesh.Host // of the target daemons, by rank, and then of the entries
	engines map[string]int
	agents  []*rankagent.Agent
	stop    func()               // stops the fleet
	stops   []context.CancelFunc // stop the target daemons, by rank
}

// startLargeFleet runs a target daemon beside each engine and as many entries.
func startLargeFleet(t *testing.T, ranks int) *largeFleet {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := &largeFleet{started: time.Now(), largeGroup: newLargeGroup(ranks), network: newNetwork(uint64(ranks), 0.003), engines: map[string]int{}}
	for i := range ranks {
		f.hosts = append(f.hosts, mesh.Host{Name: fmt.Sprint("target-", i), Role: mesh.RoleTarget, Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250+1), Engine: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250+1)})
		f.engines[f.hosts[i].Engine] = i
	}
	for i := range ranks {
		f.hosts = append(f.hosts, mesh.Host{Name: fmt.Sprint("entry-", i), Role: mesh.RoleEntry, Address: fmt.Sprintf("10.2.%d.%d:7000", i/250, i%250+1)})
	}
	for i, host := range f.hosts[ranks:] {
		f.startLargeEntry(t, ctx, host, i)
	}
	for i := range ranks {
		f.startAgent(t, ctx, i)
	}
	go f.runPasses(ctx)
	f.stop = func() {
		cancel()
		time.Sleep(5 * time.Second) // the goroutines of the fleet end
	}
	return f
}

func (f *largeFleet) startAgent(t *testing.T, ctx context.Context, rank int) {
	t.Helper()
	ctx, stop := context.WithCancel(ctx)
	host := f.hosts[rank]
	var agent *rankagent.Agent
	m, err := mesh.Listen(mesh.Config{
		Self: host, PeerTimeout: 2 * time.Second, Now: time.Now, Log: zerolog.Nop(), Socket: f.network.socket(host.Address, targetLink),
		Handle: func(from mesh.Host, message mesh.Message) { agent.Handle(from, message) },
	})
	is.New(t).NoErr(err)
	agent = rankagent.New(rankagent.Config{
		Self: host, Service: "s", Mesh: m, Now: time.Now, SkewTarget: 1.5, Log: zerolog.Nop(),
		Engine: rankagent.Engine{
			Read: func(_ context.Context, address string) (rankagent.Report, error) {
				return f.read(f.engines[address]), nil
			},
			ExpertCounts: func(context.Context) ([]int64, error) { return f.counts(), nil },
			Layout:       func(context.Context) (rankagent.Layout, error) { return f.layoutOf(rank), nil },
			Order: func(_ context.Context, address string, o mapswitch.Order, layout [][][]int) (mapswitch.Result, error) {
				return f.order(f.engines[address], o, layout), nil
			},
		},
		Store: rankagent.Store{
			ClaimLeadership: func(context.Context, string) (mapswitch.Fence, error) {
				time.Sleep(5 * time.Millisecond) // a call to the store
				f.mu.Lock()
				defer f.mu.Unlock()
				f.claims++
				return rankagent.ClaimFence(int64(f.claims)), nil
			},
			EngineSettings: func(context.Context) (routes.Engine, error) { return f.settings, nil },
		},
	})
	f.agents = append(f.agents, agent)
	f.stops = append(f.stops, stop)
	go m.Run(ctx)
	go m.Join(ctx, mesh.Directory{
		Register: func(context.Context, mesh.Host) error { return nil },
		Hosts:    func(context.Context) ([]mesh.Host, error) { return f.hosts, nil },
	})
	go func() {
		time.Sleep(rand.N(100 * time.Millisecond)) // hosts don't start at the same moment
		agent.Run(ctx)
	}()
}

// startLargeEntry runs an entry: it publishes the engine settings, passes on orders to engines, and
// requests slots for its share of the requests once there is demand.
func (f *largeFleet) startLargeEntry(t *testing.T, ctx context.Context, host mesh.Host, number int) {
	t.Helper()
	var m *mesh.Mesh
	var mu sync.Mutex
	leader, sent, pending := "", 0, map[string]time.Time{}
	m, err := mesh.Listen(mesh.Config{
		Self: host, PeerTimeout: 2 * time.Second, Now: time.Now, Log: zerolog.Nop(), Socket: f.network.socket(host.Address, entryLink),
		Handle: func(from mesh.Host, message mesh.Message) {
			switch {
			case message.LeaderAnnouncement != nil:
				f.recordSign(host.Name)
				mu.Lock()
				leader = from.Name
				mu.Unlock()
			case message.RequestEngineSettings == "s":
				m.Send(from.Name, mesh.Message{EngineSettings: &mesh.EngineSettings{Service: "s", Engine: f.settings}})
			case message.SlotResponse != nil:
				f.recordSign(host.Name)
				mu.Lock()
				at, ok := pending[message.SlotResponse.ID]
				delete(pending, message.SlotResponse.ID)
				mu.Unlock()
				if ok {
					f.recordSlotWait(time.Since(at))
				}
			case message.Order != nil:
				f.executeAsEntry(m, *message.Order)
			}
		},
	})
	is.New(t).NoErr(err)
	go m.Run(ctx)
	go m.Join(ctx, mesh.Directory{
		Register: func(context.Context, mesh.Host) error { return nil },
		Hosts:    func(context.Context) ([]mesh.Host, error) { return f.hosts, nil },
	})
	go func() {
		time.Sleep(idleTime + requestInterval*time.Duration(number)/time.Duration(f.ranks))
		for ctx.Err() == nil {
			mu.Lock()
			sent++
			id, to := fmt.Sprint(host.Name, ".", sent), leader
			pending[id] = time.Now()
			mu.Unlock()
			m.Send(to, mesh.Message{SlotRequest: &mesh.SlotRequest{ID: id, Service: "s", Organisation: "organisation-1", PromptTokens: 800, StartInMS: 450, LatestInMS: 7800, Movable: true}})
			time.AfterFunc(requestDuration, func() {
				mu.Lock()
				_, unanswered := pending[id]
				delete(pending, id)
				mu.Unlock()
				if unanswered {
					f.recordSlotWait(requestDuration)
				}
				m.Send(to, mesh.Message{SlotRelease: &mesh.SlotRelease{ID: id, Service: "s"}})
			})
			time.Sleep(requestInterval)
		}
	}()
}

// executeAsEntry passes on an order to an engine, which takes some milliseconds.
func (f *largeFleet) executeAsEntry(m *mesh.Mesh, o mesh.Order) {
	time.AfterFunc(5*time.Millisecond, func() {
		result := f.order(f.engines[o.Engine], o.Order, nil)
		m.Send(o.Leader, mesh.Message{OrderResult: &mesh.OrderResult{ID: o.ID, Result: result}})
	})
}

func (f *largeFleet) recordSign(entry string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if last, ok := f.heard[entry]; ok && len(f.demands) > 0 {
		f.maxSilence = max(f.maxSilence, time.Since(last))
	}
	f.heard[entry] = time.Now()
}

func (f *largeFleet) recordSlotWait(wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slotWaits = append(f.slotWaits, wait)
	if wait > slotAnswerWithin {
		f.lostRequests++
	}
}

// leaders returns the ranks whose daemons lead the group.
func (f *largeFleet) leaders() []int {
	var leaders []int
	for rank, agent := range f.agents {
		if agent.Leading() {
			leaders = append(leaders, rank)
		}
	}
	return leaders
}

// result returns the checks of a run and logs their figures.
func (f *largeFleet) result(t *testing.T) groupChecks {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.groupChecks
	slices.Sort(c.slotWaits)
	p99 := time.Duration(0)
	if len(c.slotWaits) > 0 {
		p99 = c.slotWaits[len(c.slotWaits)*99/100]
	}
	t.Logf("%d ranks: %d claims, %d switches in %v, %d not finished, %d copies, %d held passes; %d slot requests, p99 %v, %d late; longest silence at an entry %v",
		f.ranks, c.claims, c.switches, c.switchTimes, c.rolledBack, c.copies, c.heldPasses, len(c.slotWaits), p99, c.lostRequests, c.maxSilence)
	return c
}

// TestLargeGroupKeepsLeaderAndSwitches plays groups whose daemons have narrow links, with a shift of
// demand after 10 s. Orders of a switch that fill the leader's link would silence its announcements, so
// that other daemons take the lead and no switch is ever carried out.
func TestLargeGroupKeepsLeaderAndSwitches(t *testing.T) {
	for _, ranks := range []int{32, 129, 256} {
		t.Run(fmt.Sprint(ranks), func(t *testing.T) {
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
				is.True(!f.mixed)
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

func (f *largeFleet) claimCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.claims
}
