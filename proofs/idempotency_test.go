package proofs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/entryd/idempotency"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/platform"
)

// fakeLog is the platform's log with fault injection. It may be down or slow, lose
// an append or only the answer to it, and store an append long after its caller
// gave up.
type fakeLog struct {
	random *seededRand

	mu       sync.Mutex
	records  map[string][]platform.LogRecord // by stream; the index is the offset
	appended chan struct{}                   // closed and replaced at each append
	down     bool                            // whether each append and read fails
	faulty   bool                            // whether appends or their answers may be lost or delayed
	// retention is how long records are kept; zero means without limit.
	retention time.Duration
}

func newFakeLog(r *seededRand) *fakeLog {
	return &fakeLog{random: r, records: map[string][]platform.LogRecord{}, appended: make(chan struct{})}
}

// log returns the platform's interface to the log.
func (l *fakeLog) log() platform.Log {
	return platform.Log{Append: l.append, Read: l.read}
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *fakeLog) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

func (l *fakeLog) setFaulty(faulty bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faulty = faulty
}

func (l *fakeLog) isFaulty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faulty
}

// endOffset returns the offset that the next record of a stream will get.
func (l *fakeLog) endOffset(stream string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.records[stream]))
}

// store appends a record without faults and returns its offset.
func (l *fakeLog) store(stream string, data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := int64(len(l.records[stream]))
	l.records[stream] = append(l.records[stream], platform.LogRecord{Offset: offset, AppendedAt: time.Now(), Data: data})
	close(l.appended)
	l.appended = make(chan struct{})
	return offset
}

// append appends a record. If the log is faulty, one append in ten is lost, one in
// ten is stored but its answer is lost, and one in ten is stored after a delay and
// gets no answer before ctx ends. An append to a log
// that is down is not stored.
func (l *fakeLog) append(ctx context.Context, stream string, data []byte) (int64, error) {
	time.Sleep(l.random.upTo(20 * time.Millisecond))
	answerLost := &platform.AppendError{Ambiguous: true, Cause: errors.New("answer lost")}
	fault := 9 // any value above 2 means no fault
	if l.isFaulty() {
		fault = l.random.intN(10)
	}
	switch {
	case l.isDown():
		return 0, &platform.AppendError{Cause: errors.New("down")}
	case fault == 0:
		return 0, answerLost
	case fault == 1:
		l.store(stream, data)
		return 0, answerLost
	case fault == 2:
		delay := l.random.upTo(3 * time.Second)
		go func() {
			time.Sleep(delay)
			l.store(stream, data)
		}()
		<-ctx.Done()
		return 0, answerLost
	}
	return l.store(stream, data), nil
}

// read returns the retained records from an offset on. If there are none, it waits up
// to the given time for one. It returns an error if the log is down or ctx ends.
func (l *fakeLog) read(ctx context.Context, stream string, from int64, wait time.Duration) (platform.Page, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for mayWait := true; ; {
		if l.isDown() {
			return platform.Page{}, errors.New("down")
		}
		page, appended := l.page(stream, from)
		if len(page.Records) > 0 || !mayWait {
			return page, nil
		}
		select {
		case <-appended:
		case <-timeout.C:
			mayWait = false
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		}
	}
}

// page returns the retained records from an offset on, and a channel that is closed
// at the next append.
func (l *fakeLog) page(stream string, from int64) (platform.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := l.records[stream]
	page := platform.Page{End: int64(len(records))}
	for l.retention > 0 && page.Oldest < page.End && time.Since(records[page.Oldest].AppendedAt) > l.retention {
		page.Oldest++
	}
	if from = max(from, page.Oldest); from < page.End {
		page.Records = records[from:]
	}
	return page, l.appended
}

// keyedCaller sends one call under an idempotency key, which is the same through
// every entry.
type keyedCaller struct {
	caller
	organisation string
}

// submitKeyed sends the call once under its key.
func (c *keyedCaller) submitKeyed() contract.Outcome {
	r := c.request("")
	r.Organisation = c.organisation
	r.IdempotencyKey = "key of " + c.id
	r.Body = []byte(c.organisation + " " + c.id)
	return c.send(r)
}

// run sends the call until an entry reports it as done, in at most maxRounds rounds.
// Some rounds send it twice concurrently.
func (c *keyedCaller) run() {
	const maxRounds = 8
	for range maxRounds {
		var wg sync.WaitGroup
		if c.fleet.random.intN(3) == 0 {
			wg.Go(func() { c.submitKeyed() })
		}
		outcome := c.submitKeyed()
		wg.Wait()
		if outcome == contract.OutcomeDone {
			return
		}
		time.Sleep(c.fleet.random.upTo(time.Second))
	}
}

// check checks the recorded history of a key. It returns a description of the first
// violation, or an empty string. All submissions must have ended.
func (c *keyedCaller) check() string {
	effects := c.fleet.executor.effectCount(c.organisation + " " + c.id)
	switch {
	case c.wrongAnswer != "":
		return c.wrongAnswer
	case effects > 1:
		return fmt.Sprintf("call ran %d times instead of at most once", effects)
	case c.countOutcome(contract.OutcomeDone) > 0 && effects == 0:
		return "reported as done, but it did not run"
	case c.countOutcome(contract.OutcomeNotRun) == len(c.submissions) && effects > 0:
		return "reported as not run each time, but it ran"
	}
	return ""
}

// runKeyedCalls runs one schedule in which two organisations use the same keys. With
// perEntry, each entry claims keys in a log of its own, which is a naive policy.
// Claiming a key binds it to one reservation.
func runKeyedCalls(seed uint64, withFaults, perEntry bool) []*keyedCaller {
	f := newFleet(fleetConfig{seed: seed, entries: 3, targets: 3, kind: contract.WorkService, capacity: 4})
	f.executor.faulty = withFaults
	log := newFakeLog(f.random)
	log.faulty = withFaults
	ctx, cancel := context.WithCancel(context.Background())
	for _, e := range f.entries { // newFleet started the entries without a claimer
		e.kill()
		e.claimer = newClaimer(ctx, log, perEntry)
		e.start()
	}
	time.Sleep(50 * time.Millisecond)
	var faults, wg sync.WaitGroup
	stop := make(chan struct{})
	if withFaults {
		faults.Go(func() { f.injectFaults(stop, faultKindCount) })
		faults.Go(func() { injectLogOutages(f.random, log, stop) })
	}
	var callers []*keyedCaller
	const calls = 12
	for i := range calls {
		c := &keyedCaller{caller: caller{fleet: f, id: fmt.Sprintf("call-%d", i/2)}, organisation: []string{"muscat", "nizwa"}[i%2]}
		callers = append(callers, c)
		wg.Go(func() {
			time.Sleep(f.random.upTo(time.Second))
			c.run()
		})
	}
	wg.Wait()
	close(stop)
	faults.Wait()
	time.Sleep(5 * time.Second) // calls still in transit take effect
	cancel()
	f.stop()
	synctest.Wait()
	return callers
}

// newClaimer returns the running claimer of one entry. With perEntry, it has a log
// of its own.
func newClaimer(ctx context.Context, log *fakeLog, perEntry bool) dispatch.Claimer {
	if perEntry {
		log = newFakeLog(log.random)
	}
	c := idempotency.New(idempotency.Config{
		PlatformLog: log.log(), KeyRetention: time.Hour, Now: time.Now,
		Interval: func() time.Duration { return 12 * time.Millisecond },
		Logger:   zerolog.Nop(),
	})
	go c.Run(ctx)
	return dispatch.Claimer{Claim: c.Claim, Replace: c.Replace}
}

// injectLogOutages takes the log down and up again until stop is closed, and leaves
// it up.
func injectLogOutages(r *seededRand, l *fakeLog, stop <-chan struct{}) {
	for {
		for _, down := range []bool{true, false} {
			select {
			case <-stop:
				l.setDown(false)
				return
			case <-time.After(r.upTo(1500 * time.Millisecond)):
				l.setDown(down)
			}
		}
	}
}

// TestKeyedCallsRunAtMostOnce guards against a call that runs twice under one
// idempotency key, and against an outcome that contradicts what ran. Either could
// happen when the call is sent through several entries while they claim the key in
// a log that is down or slow, loses answers or stores appends late.
func TestKeyedCallsRunAtMostOnce(t *testing.T) {
	counts := newTally()
	forSeeds(t, schedules(), func(t *testing.T, seed uint64) {
		for _, c := range runKeyedCalls(seed, true, false) {
			if violation := c.check(); violation != "" {
				t.Fatalf("%s of %s: %s: %+v", c.id, c.organisation, violation, c.submissions)
			}
			counts.add(string(c.submissions[len(c.submissions)-1].outcome), 1)
		}
	})
	t.Logf("last outcome of each key under faults: %v", counts)
}

// TestKeyedCallsSucceedWithoutFaults guards against a system that is safe only
// because it refuses calls: without faults, every submission must end as done.
func TestKeyedCallsSucceedWithoutFaults(t *testing.T) {
	forSeeds(t, 50, func(t *testing.T, seed uint64) {
		for _, c := range runKeyedCalls(seed, false, false) {
			is := is.New(t)
			is.Equal(c.check(), "")
			is.Equal(c.countOutcome(contract.OutcomeDone), len(c.submissions))
		}
	})
}

// TestClaimsKeptPerEntryRunCallsTwice checks that the schedules can detect a call
// that runs twice, by letting each entry claim keys in a log of its own.
func TestClaimsKeptPerEntryRunCallsTwice(t *testing.T) {
	counts := newTally()
	forSeeds(t, 40, func(_ *testing.T, seed uint64) {
		for _, c := range runKeyedCalls(seed, true, true) {
			if c.check() != "" {
				counts.add("wrong", 1)
			}
		}
	})
	is.New(t).True(counts.count("wrong") > 0)
	t.Logf("wrong histories with claims kept per entry: %v of 480", counts) // 12 calls in each of 40 schedules
}
