package proofs

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"camphormill.dev/camphormill/publish"
	"camphormill.dev/entryd/configuration"
	"camphormill.dev/entryd/peers"
	"camphormill.dev/parts/link"
	"camphormill.dev/parts/membership"
	"camphormill.dev/parts/preset"
	"camphormill.dev/parts/quarantine"
)

// inForceWithin is how soon an accepted change must be in force everywhere.
const inForceWithin = 8 * time.Second

// maxSnapshots bounds the records beside changes in one schedule: 56 s with a
// snapshot age of 4 s, by four entries that may each write at about the same
// time, repeated appends and lost answers included.
const maxSnapshots = 4 * 56 / 4

// follower is the configuration part of one entry daemon.
type follower struct {
	world *configurationWorld
	name  string

	mu      sync.Mutex
	holder  *preset.Holder
	cancel  context.CancelFunc
	server  *link.Server
	started time.Time
	highest int64
}

// configurationWorld is followers, a log and operators.
type configurationWorld struct {
	random    *random
	net       *network
	log       *fakeLog
	followers []*follower
	problem   string
	mu        sync.Mutex
	accepted  []preset.Verdict
	refused   int
	slowest   time.Duration
}

func (w *configurationWorld) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.problem == "" {
		w.problem = fmt.Sprintf(format, args...)
	}
}

func newConfigurationWorld(seed uint64, faulty bool) *configurationWorld {
	w := &configurationWorld{random: &random{rng: rand.New(rand.NewPCG(seed, seed))}}
	w.net = newNetwork(func() time.Duration { return time.Millisecond + w.random.upTo(4*time.Millisecond) })
	w.log = newFakeLog(w.random)
	w.log.faulty = faulty
	w.log.retention = 15 * time.Second
	const entries = 4
	for i := range entries {
		w.followers = append(w.followers, &follower{world: w, name: fmt.Sprintf("entry-%d", i)})
	}
	for _, f := range w.followers {
		f.start()
	}
	return w
}

func (f *follower) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		return
	}
	w := f.world
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel, f.holder, f.started, f.highest = cancel, preset.NewHolder(), time.Now(), preset.NoOffset
	p := peers.New(peers.Config{
		Self: f.name, Dial: w.net.dial(f.name), Now: time.Now, IntN: w.random.intn,
		Round: func() time.Duration { return time.Second }, Refresh: func() time.Duration { return 5 * time.Second },
		Record: func() membership.Record {
			return membership.Record{Origin: f.name, Role: membership.RoleEntry, Address: f.name, Started: f.started.UnixNano()}
		},
		Holder: f.holder, OnStrike: func(quarantine.Strike) {}, Logger: zerolog.Nop(),
	})
	for _, other := range w.followers {
		p.AddSeed(other.name, other.name)
	}
	f.server = &link.Server{Methods: p.Methods()}
	go f.server.Serve(w.net.listen(f.name))
	go p.Run(ctx)
	go configuration.NewFollower(configuration.Config{
		Log: w.log.log(), Holder: f.holder, Now: time.Now, SnapshotAge: 4 * time.Second,
		Int64N:   func(n int64) int64 { return int64(w.random.uint64n(uint64(n))) },
		AskPeers: p.AskConfiguration, Loaded: func() {}, Logger: zerolog.Nop(),
	}).Run(ctx)
}

func (f *follower) kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel == nil {
		return
	}
	f.cancel()
	f.cancel = nil
	f.server.Close()
	f.world.net.cut(f.name, "")
}

// look returns the state that the follower serves from, and notes a version
// that went back.
func (f *follower) look() (preset.State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel == nil {
		return preset.State{}, false
	}
	state, loaded := f.holder.State()
	if loaded && state.Offset < f.highest {
		f.world.fail("%s went back from version %d to %d", f.name, f.highest, state.Offset)
	}
	if loaded {
		f.highest = state.Offset
	}
	return state, loaded
}

// operate publishes changes and races with the other operators.
func (w *configurationWorld) operate(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(w.random.upTo(2 * time.Second)):
		}
		w.publishOnce(n)
	}
}

func (w *configurationWorld) publishOnce(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	p := publish.New(w.log.log())
	state, err := p.Load(ctx)
	if err != nil {
		return
	}
	wanted := preset.Genesis()
	wanted.Name = []string{"ordinary", "peak"}[n%2]
	wanted.RetryShare = float64(w.random.intn(100)) / 100
	verdict, err := p.Publish(ctx, preset.Record{Kind: preset.RecordPreset, Preset: &wanted}, state.Offset)
	if err != nil {
		return // not known, and the operator was told so
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if verdict.Failure != nil {
		w.refused++
		return
	}
	w.accepted = append(w.accepted, verdict)
	go w.expect(verdict.Offset)
}

// expect waits until the version is in force at every follower that has run for
// the time allowed. Time in which the log was down does not count.
func (w *configurationWorld) expect(offset int64) {
	const tick = 100 * time.Millisecond
	up := time.Duration(0)
	for up < inForceWithin {
		time.Sleep(tick)
		if !w.log.isDown() {
			up += tick
		}
		if w.everywhere(offset) {
			w.mu.Lock()
			w.slowest = max(w.slowest, up)
			w.mu.Unlock()
			return
		}
	}
	w.fail("version %d is not in force everywhere after %v with the log up", offset, up)
}

func (w *configurationWorld) everywhere(offset int64) bool {
	all := true
	for _, f := range w.followers {
		f.mu.Lock()
		young := f.cancel == nil || time.Since(f.started) < inForceWithin
		f.mu.Unlock()
		if state, loaded := f.look(); !young && (!loaded || state.Offset < offset) {
			all = false
		}
	}
	return all
}

// runConfiguration makes one schedule: racing operators, an unreliable log,
// followers killed and started in outages, cut and frozen.
func runConfiguration(seed uint64) *configurationWorld {
	w := newConfigurationWorld(seed, true)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { w.operate(stop) })
	}
	wg.Go(func() { outages(w.random, w.log, stop) })
	wg.Go(func() { w.disturb(stop) })
	time.Sleep(40 * time.Second) // more than twice the retention
	close(stop)
	wg.Wait()
	w.log.setFaulty(false)
	time.Sleep(2 * inForceWithin)
	w.checkEnd()
	for _, f := range w.followers {
		f.kill()
	}
	w.net.cut("", "")
	time.Sleep(10 * time.Second) // late appends land
	synctest.Wait()
	return w
}

func (w *configurationWorld) disturb(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(w.random.upTo(2 * time.Second)):
		}
		f := w.followers[w.random.intn(len(w.followers))]
		pause := w.random.upTo(2 * time.Second)
		switch w.random.intn(3) {
		case 0:
			f.kill()
			time.Sleep(pause)
			f.start()
		case 1:
			w.net.cut(f.name, "")
		case 2:
			w.net.freeze(f.name, true)
			time.Sleep(pause)
			w.net.freeze(f.name, false)
		}
	}
}

// checkEnd says whether all followers ended in one state that holds every
// accepted verdict.
func (w *configurationWorld) checkEnd() {
	first, _ := w.followers[0].look()
	if snapshots := first.Offset - int64(len(first.Verdicts)); snapshots > maxSnapshots {
		w.fail("%d records beside the changes", snapshots)
	}
	for _, f := range w.followers {
		state, loaded := f.look()
		if !loaded || encodeState(state) != encodeState(first) {
			w.fail("%s ended at version %d, %s at %d", f.name, state.Offset, w.followers[0].name, first.Offset)
		}
	}
	for _, v := range w.accepted {
		if held, found := first.Verdict(v.ChangeID); !found || held.Failure != nil || held.Offset != v.Offset {
			w.fail("the accepted change at version %d was lost", v.Offset)
		}
	}
}

// encodeState leaves out the offset, which moves with every snapshot.
func encodeState(s preset.State) string {
	s.Offset = 0
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func TestAcceptedConfigurationIsInForceAndStays(t *testing.T) {
	counts := newTally()
	var mu sync.Mutex
	slowest := time.Duration(0)
	forSeeds(t, schedules(), func(t *testing.T, seed uint64) {
		w := runConfiguration(seed)
		if w.problem != "" {
			t.Fatal(w.problem)
		}
		counts.add("accepted", len(w.accepted))
		counts.add("refused as racing", w.refused)
		mu.Lock()
		defer mu.Unlock()
		slowest = max(slowest, w.slowest)
	})
	is.New(t).True(counts.of("refused as racing") > 0) // operators do race
	t.Logf("changes: %v; slowest in force everywhere after %v with the log up", counts, slowest)
}
