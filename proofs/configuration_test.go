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

// rolloutLimit is the longest time allowed, not counting outages of the log, from the
// acceptance of a change until every entry serves from it (it is in force).
const rolloutLimit = 8 * time.Second

// maxSnapshots bounds the records that are not changes, which are snapshots, in
// one schedule. A schedule lasts 56 s (40 s with faults, then twice rolloutLimit), a
// new snapshot is due every 4 s, and each of the four entries may write it at about
// the same time. The bound includes repeated appends and lost answers.
const maxSnapshots = 4 * 56 / 4

// follower is the part of one entry daemon that follows the configuration. Its
// process may be killed and started anew.
type follower struct {
	sim  *configurationSim
	name string

	mu            sync.Mutex
	store         *preset.Store
	cancel        context.CancelFunc // nil if no process runs
	server        *link.Server
	started       time.Time
	highestOffset int64 // newest configuration version that observe saw in this process
}

// configurationSim simulates operators who publish configuration to a log, and the
// entries that follow the log.
type configurationSim struct {
	random     *seededRand
	net        *fakeNetwork
	log        *fakeLog
	followers  []*follower
	violation  string     // the first one found; guarded by mu
	mu         sync.Mutex // guards violation and the fields below
	accepted   []preset.ChangeResult
	refused    int           // changes refused because another one was published first
	maxRollout time.Duration // longest time until a change was in force at all entries
}

// fail records a violation unless there is one already. The caller must not hold mu.
func (s *configurationSim) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}

// newConfigurationSim starts four followers. faulty makes the log faulty.
func newConfigurationSim(seed uint64, faulty bool) *configurationSim {
	s := &configurationSim{random: &seededRand{rng: rand.New(rand.NewPCG(seed, seed))}}
	s.net = newFakeNetwork(func() time.Duration { return time.Millisecond + s.random.upTo(4*time.Millisecond) })
	s.log = newFakeLog(s.random)
	s.log.faulty = faulty
	s.log.retention = 15 * time.Second
	const entries = 4
	for i := range entries {
		s.followers = append(s.followers, &follower{sim: s, name: fmt.Sprintf("entry-%d", i)})
	}
	for _, f := range s.followers {
		f.start()
	}
	return s
}

func (f *follower) start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		return
	}
	s := f.sim
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel, f.store, f.started, f.highestOffset = cancel, preset.NewStore(), time.Now(), preset.NoOffset
	p := peers.New(peers.Config{
		EntryName: f.name, Dial: s.net.dial(f.name), Now: time.Now, IntN: s.random.intN,
		Round: func() time.Duration { return time.Second }, Refresh: func() time.Duration { return 5 * time.Second },
		Record: func() membership.Record {
			return membership.Record{Origin: f.name, Role: membership.RoleEntry, Address: f.name, Started: f.started.UnixNano()}
		},
		Store: f.store, OnStrike: func(quarantine.Strike) {},
		OnParts:        func([]quarantine.PartRecord) []quarantine.PartRecord { return nil },
		SuspectedParts: func() []quarantine.PartRecord { return nil },
		LatestStrikes:  func() []quarantine.Strike { return nil }, Logger: zerolog.Nop(),
	})
	for _, other := range s.followers {
		p.AddSeed(other.name, other.name)
	}
	f.server = &link.Server{Methods: p.Methods()}
	go f.server.Serve(s.net.listen(f.name))
	go p.Run(ctx)
	go configuration.NewFollower(configuration.Config{
		PlatformLog: s.log.log(), Store: f.store, Now: time.Now, SnapshotAge: 4 * time.Second,
		Int64N:         func(n int64) int64 { return int64(s.random.uint64N(uint64(n))) },
		FetchFromPeers: p.FetchConfiguration, OnLoaded: func() {}, Logger: zerolog.Nop(),
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
	f.sim.net.cut(f.name, "")
}

// observe returns the state that the follower serves from, and records a violation
// if its version went back. It returns false if the follower is down or has loaded no
// configuration yet.
func (f *follower) observe() (preset.State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel == nil {
		return preset.State{}, false
	}
	state, loaded := f.store.State()
	if loaded && state.Offset < f.highestOffset {
		f.sim.fail("%s went back from configuration version %d to %d", f.name, f.highestOffset, state.Offset)
	}
	if loaded {
		f.highestOffset = state.Offset
	}
	return state, loaded
}

// runOperator publishes changes, concurrently with the other operators, until stop
// is closed.
func (s *configurationSim) runOperator(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(s.random.upTo(2 * time.Second)):
		}
		s.publishOnce(n)
	}
}

// publishOnce publishes one change on top of the newest version, and records whether
// it was accepted or refused. The name and values of the change depend on n and chance.
func (s *configurationSim) publishOnce(n int) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	p := publish.New(s.log.log())
	state, err := p.Load(ctx)
	if err != nil {
		return
	}
	candidate := preset.Initial()
	candidate.Name = []string{"ordinary", "peak"}[n%2]
	candidate.RetryShare = float64(s.random.intN(100)) / 100
	result, err := p.Publish(ctx, preset.Record{Kind: preset.RecordPreset, Preset: &candidate}, state.Offset)
	if err != nil {
		return // Publish returned an error, which means that the result is unknown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Failure != nil {
		s.refused++
		return
	}
	s.accepted = append(s.accepted, result)
	go s.awaitInForce(result.Offset)
}

// awaitInForce waits until the version is in force at every follower that has run
// for at least rolloutLimit, and records a violation if that takes longer than
// rolloutLimit. Time during which the log is down does not count.
func (s *configurationSim) awaitInForce(offset int64) {
	const pollInterval = 100 * time.Millisecond
	upTime := time.Duration(0)
	for upTime < rolloutLimit {
		time.Sleep(pollInterval)
		if !s.log.isDown() {
			upTime += pollInterval
		}
		if s.inForceEverywhere(offset) {
			s.mu.Lock()
			s.maxRollout = max(s.maxRollout, upTime)
			s.mu.Unlock()
			return
		}
	}
	s.fail("version %d is not in force everywhere after %v with the log up", offset, upTime)
}

// inForceEverywhere reports whether all followers serve the version or a newer one.
// Followers that are down, or started less than rolloutLimit ago, are exempt.
func (s *configurationSim) inForceEverywhere(offset int64) bool {
	all := true
	for _, f := range s.followers {
		f.mu.Lock()
		exempt := f.cancel == nil || time.Since(f.started) < rolloutLimit
		f.mu.Unlock()
		if state, loaded := f.observe(); !exempt && (!loaded || state.Offset < offset) {
			all = false
		}
	}
	return all
}

// runConfiguration runs one schedule: concurrent operators, an unreliable log, and
// followers that are killed, cut off and frozen, also during outages of the log.
func runConfiguration(seed uint64) *configurationSim {
	s := newConfigurationSim(seed, true)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { s.runOperator(stop) })
	}
	wg.Go(func() { injectLogOutages(s.random, s.log, stop) })
	wg.Go(func() { s.injectFaults(stop) })
	time.Sleep(40 * time.Second) // more than twice the retention of the log
	close(stop)
	wg.Wait()
	s.log.setFaulty(false)
	time.Sleep(2 * rolloutLimit)
	s.checkFinalState()
	for _, f := range s.followers {
		f.kill()
	}
	s.net.cut("", "")
	time.Sleep(10 * time.Second) // delayed appends are stored
	synctest.Wait()
	return s
}

// injectFaults kills, cuts off or freezes one random follower after another until
// stop is closed.
func (s *configurationSim) injectFaults(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(s.random.upTo(2 * time.Second)):
		}
		f := s.followers[s.random.intN(len(s.followers))]
		pause := s.random.upTo(2 * time.Second)
		switch s.random.intN(3) {
		case 0:
			f.kill()
			time.Sleep(pause)
			f.start()
		case 1:
			s.net.cut(f.name, "")
		case 2:
			s.net.freeze(f.name, true)
			time.Sleep(pause)
			s.net.freeze(f.name, false)
		}
	}
}

// checkFinalState records a violation unless all followers ended with the same
// state, which holds every accepted change, and wrote at most maxSnapshots snapshots.
func (s *configurationSim) checkFinalState() {
	first, _ := s.followers[0].observe()
	if snapshots := first.Offset - int64(len(first.ChangeResults)); snapshots > maxSnapshots {
		s.fail("the log has %d records that are not changes, more than maxSnapshots", snapshots)
	}
	for _, f := range s.followers {
		state, loaded := f.observe()
		if !loaded || encodeWithoutOffset(state) != encodeWithoutOffset(first) {
			s.fail("final states differ: %s is at version %d, %s at %d", f.name, state.Offset, s.followers[0].name, first.Offset)
		}
	}
	for _, change := range s.accepted {
		if result, found := first.ChangeResult(change.ChangeID); !found || result.Failure != nil || result.Offset != change.Offset {
			s.fail("the accepted change at version %d was lost", change.Offset)
		}
	}
}

// encodeWithoutOffset encodes a state for comparison. It leaves out the offset,
// which changes with every snapshot.
func encodeWithoutOffset(s preset.State) string {
	s.Offset = 0
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// TestAcceptedConfigurationTakesEffectAndPersists guards against an accepted change
// that is lost, reverted, or not in force at every entry within rolloutLimit. These
// could come about when operators publish concurrently, appends are lost or
// delayed, the log is down or drops old records, or an entry restarts during an
// outage and takes an old copy from a peer.
func TestAcceptedConfigurationTakesEffectAndPersists(t *testing.T) {
	counts := newTally()
	var mu sync.Mutex
	maxRollout := time.Duration(0)
	forSeeds(t, schedules(), func(t *testing.T, seed uint64) {
		s := runConfiguration(seed)
		if s.violation != "" {
			t.Fatal(s.violation)
		}
		counts.add("accepted", len(s.accepted))
		counts.add("refused as concurrent", s.refused)
		mu.Lock()
		defer mu.Unlock()
		maxRollout = max(maxRollout, s.maxRollout)
	})
	is.New(t).True(counts.count("refused as concurrent") > 0) // some changes were indeed published concurrently
	t.Logf("changes: %v; longest time until in force everywhere: %v with the log up", counts, maxRollout)
}
