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

	"camphormill.dev/entryd/claims"
	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/platform"
)

// fakeLog is the platform's log with faults: it may be down or slow, lose an
// answer before or after the effect, and let an append land long after its
// caller gave up.
type fakeLog struct {
	random *random

	mu      sync.Mutex
	records map[string][]platform.LogRecord
	news    chan struct{} // closed and replaced at each append
	down    bool
	faulty  bool
	// retention is how long records are kept; zero is for ever.
	retention time.Duration
}

func newFakeLog(r *random) *fakeLog {
	return &fakeLog{random: r, records: map[string][]platform.LogRecord{}, news: make(chan struct{})}
}

func (l *fakeLog) log() platform.Log {
	return platform.Log{Append: l.append, Read: l.read}
}

func (l *fakeLog) set(down bool) {
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

// end is the offset that the next record of a stream gets.
func (l *fakeLog) end(stream string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.records[stream]))
}

func (l *fakeLog) land(stream string, data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := int64(len(l.records[stream]))
	l.records[stream] = append(l.records[stream], platform.LogRecord{Offset: offset, AppendedAt: time.Now(), Data: data})
	close(l.news)
	l.news = make(chan struct{})
	return offset
}

func (l *fakeLog) append(ctx context.Context, stream string, data []byte) (int64, error) {
	time.Sleep(l.random.upTo(20 * time.Millisecond))
	lost := &platform.AppendError{Ambiguous: true, Cause: errors.New("answer lost")}
	fate := 9
	if l.isFaulty() {
		fate = l.random.intn(10)
	}
	switch {
	case l.isDown():
		return 0, &platform.AppendError{Cause: errors.New("down")}
	case fate == 0:
		return 0, lost
	case fate == 1:
		l.land(stream, data)
		return 0, lost
	case fate == 2:
		late := l.random.upTo(3 * time.Second)
		go func() {
			time.Sleep(late)
			l.land(stream, data)
		}()
		<-ctx.Done()
		return 0, lost
	}
	return l.land(stream, data), nil
}

func (l *fakeLog) read(ctx context.Context, stream string, from int64, wait time.Duration) (platform.Page, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for waiting := true; ; {
		if l.isDown() {
			return platform.Page{}, errors.New("down")
		}
		page, news := l.page(stream, from)
		if len(page.Records) > 0 || !waiting {
			return page, nil
		}
		select {
		case <-news:
		case <-timeout.C:
			waiting = false
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		}
	}
}

// page returns what follows an offset, and a channel that is closed at the next
// append.
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
	return page, l.news
}

// keyed sends one call under the caller's own key, the same through every entry.
type keyed struct {
	caller
	organisation string
}

func (c *keyed) sendKeyed() contract.Outcome {
	r := c.request("")
	r.Organisation = c.organisation
	r.Key = "key of " + c.id
	r.Body = []byte(c.organisation + " " + c.id)
	return c.send(r)
}

func (c *keyed) run() {
	const patience = 8
	for range patience {
		var wg sync.WaitGroup
		if c.fleet.random.intn(3) == 0 {
			wg.Go(func() { c.sendKeyed() })
		}
		outcome := c.sendKeyed()
		wg.Wait()
		if outcome == contract.OutcomeDone {
			return
		}
		time.Sleep(c.fleet.random.upTo(time.Second))
	}
}

// check says what is wrong with the history of a key, or nothing.
func (c *keyed) check() string {
	effects := c.fleet.world.effect(c.organisation + " " + c.id)
	switch {
	case c.wrong != "":
		return c.wrong
	case effects > 1:
		return fmt.Sprintf("ran %d times", effects)
	case c.count(contract.OutcomeDone) > 0 && effects == 0:
		return "said done, and did not run"
	case c.count(contract.OutcomeNotRun) == len(c.presentations) && effects > 0:
		return "said not run each time, and ran"
	}
	return ""
}

// runKeys makes one schedule. With local, entries remember keys by themselves,
// which is the naive policy.
func runKeys(seed uint64, withFaults, local bool) []*keyed {
	f := newFleet(fleetConfig{seed: seed, entries: 3, targets: 3, kind: contract.WorkService, capacity: 4})
	f.world.faulty = withFaults
	log := newFakeLog(f.random)
	log.faulty = withFaults
	ctx, cancel := context.WithCancel(context.Background())
	for _, e := range f.entries {
		e.kill()
		e.claimer = newClaimer(ctx, log, local)
		e.start()
	}
	time.Sleep(50 * time.Millisecond)
	var faults, wg sync.WaitGroup
	stop := make(chan struct{})
	if withFaults {
		faults.Go(func() { f.faults(stop, faultKinds) })
		faults.Go(func() { outages(f.random, log, stop) })
	}
	var callers []*keyed
	const calls = 12
	for i := range calls {
		c := &keyed{caller: caller{fleet: f, id: fmt.Sprintf("call-%d", i/2)}, organisation: []string{"muscat", "nizwa"}[i%2]}
		callers = append(callers, c)
		wg.Go(func() {
			time.Sleep(f.random.upTo(time.Second))
			c.run()
		})
	}
	wg.Wait()
	close(stop)
	faults.Wait()
	time.Sleep(5 * time.Second)
	cancel()
	f.stop()
	synctest.Wait()
	return callers
}

func newClaimer(ctx context.Context, log *fakeLog, local bool) dispatch.Claimer {
	if local {
		log = newFakeLog(log.random)
	}
	c := claims.New(claims.Config{
		Log: log.log(), Window: time.Hour, Now: time.Now,
		Interval: func() time.Duration { return 12 * time.Millisecond },
		Logger:   zerolog.Nop(),
	})
	go c.Run(ctx)
	return dispatch.Claimer{Claim: c.Claim, Replace: c.Replace}
}

// outages takes the log down and up again.
func outages(r *random, l *fakeLog, stop <-chan struct{}) {
	for {
		for _, down := range []bool{true, false} {
			select {
			case <-stop:
				l.set(false)
				return
			case <-time.After(r.upTo(1500 * time.Millisecond)):
				l.set(down)
			}
		}
	}
}

func TestKeysRunAtMostOnce(t *testing.T) {
	counts := newTally()
	forSeeds(t, schedules(), func(t *testing.T, seed uint64) {
		for _, c := range runKeys(seed, true, false) {
			if problem := c.check(); problem != "" {
				t.Fatalf("%s of %s: %s: %+v", c.id, c.organisation, problem, c.presentations)
			}
			counts.add(string(c.presentations[len(c.presentations)-1].outcome), 1)
		}
	})
	t.Logf("last outcome of each key under faults: %v", counts)
}

func TestKeysEndDoneWithoutFaults(t *testing.T) {
	forSeeds(t, 50, func(t *testing.T, seed uint64) {
		for _, c := range runKeys(seed, false, false) {
			is := is.New(t)
			is.Equal(c.check(), "")
			is.Equal(c.count(contract.OutcomeDone), len(c.presentations))
		}
	})
}

// TestKeysKeptByEachEntryRunTwice shows that the check has teeth.
func TestKeysKeptByEachEntryRunTwice(t *testing.T) {
	counts := newTally()
	forSeeds(t, 40, func(_ *testing.T, seed uint64) {
		for _, c := range runKeys(seed, true, true) {
			if c.check() != "" {
				counts.add("wrong", 1)
			}
		}
	})
	is.New(t).True(counts.of("wrong") > 0)
	t.Logf("keys kept by each entry: %v of 480", counts)
}
