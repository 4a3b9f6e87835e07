package proofs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/entryd/pool"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
	"camphormill.dev/parts/platform"
	"camphormill.dev/parts/preset"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/reservation"
	"camphormill.dev/parts/routing"
	"camphormill.dev/targetd/gate"
)

// schedules is how many seeded schedules a proof runs; SCHEDULES raises it.
func schedules() int {
	const inCI = 1000
	if n, err := strconv.Atoi(os.Getenv("SCHEDULES")); err == nil {
		return n
	}
	return inCI
}

// random is a seeded source that goroutines share.
type random struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *random) intn(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *random) uint64n(n uint64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Uint64N(n)
}

func (r *random) upTo(d time.Duration) time.Duration {
	return time.Duration(r.uint64n(uint64(d) + 1))
}

// fleet is entries and targets of one service or model, in one bubble.
type fleet struct {
	random  *random
	net     *network
	world   *world
	sealer  reservation.Sealer
	targets []*target
	entries []*entry
	hosts   []platform.Host
	preset  preset.Preset
	strikes bool // whether entries tell each other of strikes

	mu           sync.Mutex
	incarnations int
}

type fleetConfig struct {
	seed     uint64
	entries  int
	targets  int
	kind     contract.WorkKind
	capacity int
	versions []string // of the targets in turn; v1 when empty
}

// serves is the one model or service of a fleet.
const serves = "roster-app"

func newFleet(c fleetConfig) *fleet {
	f := &fleet{
		random:  &random{rng: rand.New(rand.NewPCG(c.seed, c.seed))},
		sealer:  reservation.Sealer{Keys: [][]byte{[]byte("a key of the proofs")}},
		preset:  preset.Genesis(),
		strikes: true,
	}
	f.preset.RetryShare = 1
	f.world = newWorld(f.random)
	f.net = newNetwork(func() time.Duration { return time.Millisecond + f.random.upTo(4*time.Millisecond) })
	for i := range c.targets {
		name := fmt.Sprintf("target-%d", i)
		version := "v1"
		if len(c.versions) > 0 {
			version = c.versions[i%len(c.versions)]
		}
		t := &target{fleet: f, name: name, kind: c.kind, capacity: c.capacity, version: version}
		t.start()
		f.targets = append(f.targets, t)
		f.hosts = append(f.hosts, platform.Host{Name: name, Role: platform.HostTarget, Address: name, Zone: "a", Serves: serves})
	}
	for i := range c.entries {
		e := &entry{fleet: f, name: fmt.Sprintf("entry-%d", i)}
		e.start()
		f.entries = append(f.entries, e)
	}
	time.Sleep(50 * time.Millisecond) // links come up
	return f
}

// stop ends every process, so that the bubble can end.
func (f *fleet) stop() {
	for _, e := range f.entries {
		e.kill()
	}
	for _, t := range f.targets {
		t.kill()
	}
	f.net.cut("", "")
}

// target is one target daemon; a new process replaces it after a kill.
type target struct {
	fleet    *fleet
	name     string
	kind     contract.WorkKind
	capacity int
	version  string

	mu      sync.Mutex
	process *targetProcess
}

type targetProcess struct {
	gate   *gate.Gate
	server *link.Server
	dead   chan struct{}
}

func (t *target) start() {
	f := t.fleet
	t.mu.Lock()
	running := t.process != nil
	t.mu.Unlock()
	if running {
		return
	}
	f.mu.Lock()
	f.incarnations++
	incarnation := fmt.Sprintf("%s/%d", t.name, f.incarnations)
	f.mu.Unlock()
	p := &targetProcess{dead: make(chan struct{})}
	// Clocks of hosts differ; a target's is wrong by its own amount.
	skew := f.random.upTo(time.Minute)
	p.gate = gate.New(gate.Config{
		Target: t.name, Incarnation: incarnation, Kind: t.kind, Serves: serves, Version: t.version,
		Capacity: t.capacity, Sealer: f.sealer,
		Ledger: reservation.NewLedger(reservation.LedgerConfig{Target: t.name, Incarnation: incarnation, Capacity: 1000, Longest: 10 * time.Minute}),
		Work: func(ctx context.Context, call contract.Call, emit func(string)) contract.Answer {
			return f.world.work(ctx, p, t, call, emit)
		},
		Now: func() time.Time { return time.Now().Add(skew) },
	})
	p.server = &link.Server{Methods: p.gate.Methods("a", gate.Configuration{
		Offset: func() int64 { return 0 },
		Behind: func(*link.Conn, int64) {},
	})}
	go p.server.Serve(f.net.listen(t.name))
	t.mu.Lock()
	t.process = p
	t.mu.Unlock()
}

// kill ends the process at once; what it had sent and not delivered is lost.
func (t *target) kill() {
	t.mu.Lock()
	p := t.process
	t.process = nil
	t.mu.Unlock()
	if p == nil {
		return
	}
	close(p.dead)
	t.fleet.net.cut(t.name, "")
	p.server.Close()
}

// leave stops the process gracefully, as targetd does at SIGTERM.
func (t *target) leave() {
	t.mu.Lock()
	p := t.process
	t.process = nil
	t.mu.Unlock()
	if p == nil {
		return
	}
	if err := gate.Stop(context.Background(), p.gate, p.server); err != nil {
		panic(err)
	}
}

// entry is one entry daemon.
type entry struct {
	fleet *fleet
	name  string

	mu         sync.Mutex
	running    bool
	pool       *pool.Pool
	dispatcher *dispatch.Dispatcher
	ctx        context.Context // ends when the process is killed
	cancel     context.CancelFunc
	claimer    dispatch.Claimer
}

func (e *entry) start() {
	f := e.fleet
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running {
		return
	}
	e.running = true
	e.ctx, e.cancel = context.WithCancel(context.Background())
	never := make(chan struct{})
	e.pool = pool.New(pool.Config{
		Entry: e.name, SubsetSize: 32, Dial: f.net.dial(e.name), Now: time.Now, Heartbeat: time.Second,
		ConfigOffset:  func() int64 { return 0 },
		ConfigChanged: func() <-chan struct{} { return never },
		Jitter:        func(d time.Duration) time.Duration { return d/2 + f.random.upTo(d) },
		Log:           zerolog.Nop(),
	})
	e.pool.SetHosts(f.hosts)
	e.dispatcher = dispatch.New(dispatch.Config{
		Zone: "a", Pool: e.pool, Sealer: f.sealer, Window: 5 * time.Minute, Now: time.Now,
		Policy:      routing.NewScored(routing.PolicyConfig{Uint64N: f.random.uint64n}),
		Routing:     routing.PolicyConfig{Uint64N: f.random.uint64n},
		Preset:      func() preset.Preset { return f.preset },
		Claimer:     e.claimer,
		ShareStrike: f.shareStrike,
		Log:         zerolog.Nop(),
	})
}

func (e *entry) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = false
	e.cancel()
	e.pool.Close()
	e.fleet.net.cut(e.name, "")
}

// serving returns the dispatcher of the process that runs now and its context.
func (e *entry) serving() (*dispatch.Dispatcher, context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher, e.ctx
}

func (f *fleet) shareStrike(_ context.Context, s quarantine.Strike) {
	if !f.strikes {
		return
	}
	time.Sleep(time.Millisecond)
	for _, e := range f.entries {
		d, _ := e.serving()
		d.MergeStrike(s)
	}
}

// call sends a request through an entry. Without an answer, because the entry
// died, ok is false.
func (e *entry) call(r dispatch.Request, run func(d *dispatch.Dispatcher, ctx context.Context, r dispatch.Request) dispatch.Result) (dispatch.Result, bool) {
	d, process := e.serving()
	ctx, cancel := context.WithDeadline(process, r.Deadline)
	defer cancel()
	result := run(d, ctx, r)
	return result, process.Err() == nil
}

// forSeeds runs a schedule for each seed, each in a bubble of its own under a
// fake clock, several side by side, and returns when all have ended.
func forSeeds(t *testing.T, n int, schedule func(t *testing.T, seed uint64)) {
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(n) {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { schedule(t, seed) })
			})
		}
	})
}

// tally counts by name over the schedules.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func newTally() *tally {
	return &tally{counts: map[string]int{}}
}

func (c *tally) add(name string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name] += n
}

func (c *tally) of(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

func (c *tally) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.counts)
}
