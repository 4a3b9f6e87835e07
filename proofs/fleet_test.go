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
	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/link"
	"camphormill.dev/parts/platform"
	"camphormill.dev/parts/preset"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/reservation"
	"camphormill.dev/parts/routing"
	"camphormill.dev/targetd/gate"
)

// schedules returns how many seeded schedules each main test runs. The environment
// variable SCHEDULES overrides the default.
func schedules() int {
	const defaultCount = 1000
	if n, err := strconv.Atoi(os.Getenv("SCHEDULES")); err == nil {
		return n
	}
	return defaultCount
}

// seededRand is a seeded random source that is safe for concurrent use.
type seededRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *seededRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *seededRand) uint64N(n uint64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Uint64N(n)
}

// upTo returns a random duration from zero to d.
func (r *seededRand) upTo(d time.Duration) time.Duration {
	return time.Duration(r.uint64N(uint64(d) + 1))
}

// fleet is a simulated deployment: the entries and targets of one service or
// model, within one synctest bubble.
type fleet struct {
	random   *seededRand
	net      *fakeNetwork
	executor *fakeExecutor
	signer   reservation.Signer
	targets  []*target
	entries  []*entry
	hosts    []platform.Host
	preset   preset.Preset
	// shareStrikes says whether entries send each other their strikes, the records
	// that a target died while it ran a request.
	shareStrikes bool
	// shareParts says whether entries tell each other what they know of prompt parts.
	shareParts bool

	mu           sync.Mutex
	incarnations int // number of target processes started so far, guarded by mu
}

// fleetConfig configures a fleet.
type fleetConfig struct {
	seed     uint64
	entries  int
	targets  int
	kind     contract.WorkKind
	capacity int      // of each target, in concurrent requests
	versions []string // model versions, assigned to the targets in turn; all targets have v1 if empty
}

// serviceName is the name of the one service or model of a fleet.
const serviceName = "roster-app"

// newFleet starts the targets and entries, and returns once they are linked.
func newFleet(c fleetConfig) *fleet {
	f := &fleet{
		random:       &seededRand{rng: rand.New(rand.NewPCG(c.seed, c.seed))},
		signer:       reservation.Signer{Keys: [][]byte{[]byte("a key of the proofs")}},
		preset:       preset.Initial(),
		shareStrikes: true,
		shareParts:   true,
	}
	f.preset.RetryShare = 1 // the maximum: one retry for each first attempt
	f.executor = newFakeExecutor(f.random)
	f.net = newFakeNetwork(func() time.Duration { return time.Millisecond + f.random.upTo(4*time.Millisecond) })
	for i := range c.targets {
		name := fmt.Sprintf("target-%d", i)
		version := "v1"
		if len(c.versions) > 0 {
			version = c.versions[i%len(c.versions)]
		}
		t := &target{fleet: f, name: name, kind: c.kind, capacity: c.capacity, version: version}
		t.start()
		f.targets = append(f.targets, t)
		f.hosts = append(f.hosts, platform.Host{Name: name, Role: platform.RoleTarget, Address: name, Zone: "a", ServiceName: serviceName})
	}
	for i := range c.entries {
		e := &entry{fleet: f, name: fmt.Sprintf("entry-%d", i)}
		e.start()
		f.entries = append(f.entries, e)
	}
	time.Sleep(50 * time.Millisecond) // entries connect to the targets
	return f
}

// stop kills every process and cuts all connections, since a synctest bubble ends only when all of its
// goroutines have ended.
func (f *fleet) stop() {
	for _, e := range f.entries {
		e.kill()
	}
	for _, t := range f.targets {
		t.kill()
	}
	f.net.cut("", "")
}

// target is one target daemon. Its process may be killed and started anew.
type target struct {
	fleet    *fleet
	name     string
	kind     contract.WorkKind
	capacity int
	version  string

	mu      sync.Mutex
	process *targetProcess // nil if none runs
}

// targetProcess is one incarnation of a target daemon.
type targetProcess struct {
	gate   *gate.Gate
	server *link.Server
	killed chan struct{} // closed by target.kill
}

// start starts a process unless one runs.
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
	p := &targetProcess{killed: make(chan struct{})}
	// The clocks of hosts differ, so each incarnation has a skew of its own.
	skew := f.random.upTo(time.Minute)
	p.gate = gate.New(gate.Config{
		Target: t.name, Incarnation: incarnation, Kind: t.kind, ServiceName: serviceName, Version: t.version,
		Capacity: t.capacity, Signer: f.signer,
		Ledger: reservation.NewLedger(reservation.LedgerConfig{Target: t.name, Incarnation: incarnation, Capacity: 1000, MaxAhead: 10 * time.Minute}),
		Work: func(ctx context.Context, call contract.Call, emit func(string)) contract.Answer {
			return f.executor.execute(ctx, p, t, call, emit)
		},
		Now: func() time.Time { return time.Now().Add(skew) },
	})
	p.server = &link.Server{Methods: p.gate.Methods("a", gate.ConfigurationSync{
		Offset:         func() int64 { return 0 },
		OnNewerVersion: func(*link.Conn, int64) {},
	})}
	go p.server.Serve(f.net.listen(t.name))
	t.mu.Lock()
	t.process = p
	t.mu.Unlock()
}

// kill ends the process at once. Bytes that it sent and that were not yet
// delivered are lost.
func (t *target) kill() {
	t.mu.Lock()
	p := t.process
	t.process = nil
	t.mu.Unlock()
	if p == nil {
		return
	}
	close(p.killed)
	t.fleet.net.cut(t.name, "")
	p.server.Close()
}

// drain stops the process gracefully, as targetd does on SIGTERM. It returns once
// the work in flight has ended and the links are closed.
func (t *target) drain() {
	t.mu.Lock()
	p := t.process
	t.process = nil
	t.mu.Unlock()
	if p == nil {
		return
	}
	if err := gate.Shutdown(context.Background(), p.gate, p.server); err != nil {
		panic(err)
	}
}

// entry is one entry daemon. Its process may be killed and started anew.
type entry struct {
	fleet *fleet
	name  string

	mu         sync.Mutex
	running    bool
	pool       *pool.Pool
	dispatcher *dispatch.Dispatcher
	ctx        context.Context // ends when the process is killed
	cancel     context.CancelFunc
	claimer    dispatch.Claimer // for idempotency keys; set before start, and only by runKeyedCalls
}

// start starts a process unless one runs.
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
		EntryName: e.name, SubsetSize: 32, Dial: f.net.dial(e.name), Now: time.Now, Heartbeat: time.Second,
		ConfigOffset:  func() int64 { return 0 },
		ConfigChanged: func() <-chan struct{} { return never },
		Jitter:        func(d time.Duration) time.Duration { return d/2 + f.random.upTo(d) },
		Logger:        zerolog.Nop(),
	})
	e.pool.SetHosts(f.hosts)
	e.dispatcher = dispatch.New(dispatch.Config{
		Zone: "a", Pool: e.pool, Signer: f.signer, ReservationValidity: 5 * time.Minute, Now: time.Now,
		SteadyClock:     func() freshness.Instant { return freshness.Instant(time.Now().UnixNano()) },
		EntryCount:      func() int { return len(f.entries) },
		Policy:          routing.NewScored(routing.PolicyConfig{Uint64N: f.random.uint64N}),
		Routing:         routing.PolicyConfig{Uint64N: f.random.uint64N},
		Preset:          func() preset.Preset { return f.preset },
		Claimer:         e.claimer,
		BroadcastStrike: f.broadcastStrike,
		ShareParts:      f.exchangeParts,
		Logger:          zerolog.Nop(),
	})
}

// kill ends the process at once. Bytes that it sent and that were not yet
// delivered are lost.
func (e *entry) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = false
	e.cancel()
	e.pool.Close()
	e.fleet.net.cut(e.name, "")
}

// current returns the dispatcher and the context of the newest process.
func (e *entry) current() (*dispatch.Dispatcher, context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher, e.ctx
}

// broadcastStrike gives a strike to all entries before it returns, as an entry does
// before it retries on another target.
func (f *fleet) broadcastStrike(_ context.Context, s quarantine.Strike) {
	if !f.shareStrikes {
		return
	}
	time.Sleep(time.Millisecond)
	for _, e := range f.entries {
		d, _ := e.current()
		d.MergeStrike(s)
	}
}

// exchangeParts gives records of prompt parts to all entries and returns what they know of the same
// parts.
func (f *fleet) exchangeParts(_ context.Context, records []quarantine.PartRecord) []quarantine.PartRecord {
	if !f.shareParts {
		return nil
	}
	time.Sleep(time.Millisecond)
	var known []quarantine.PartRecord
	for _, e := range f.entries {
		d, _ := e.current()
		known = append(known, d.MergeParts(records)...)
	}
	return known
}

// call sends a request through the entry with run, whose context ends at the
// request's deadline or when the process is killed. It returns false if the entry's process
// was killed before it answered.
func (e *entry) call(r dispatch.Request, run func(d *dispatch.Dispatcher, ctx context.Context, r dispatch.Request) dispatch.Result) (dispatch.Result, bool) {
	d, processCtx := e.current()
	ctx, cancel := context.WithDeadline(processCtx, r.Deadline)
	defer cancel()
	result := run(d, ctx, r)
	return result, processCtx.Err() == nil
}

// forSeeds runs the schedule once for each seed from 0 to n-1 and returns when all
// have ended. Each run has a synctest bubble, and so a fake clock, of its own;
// several run in parallel.
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

// tally holds named counters over all schedules of a test.
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

func (c *tally) count(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

func (c *tally) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.counts)
}
