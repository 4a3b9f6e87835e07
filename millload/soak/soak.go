// Package soak runs the daemons of the users' platform as separate processes
// against stand-ins, injects faults from a seed, and checks what callers and
// targets are promised while it runs.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/standin/faults"
	"camphormill.dev/standin/rack"
)

// Config is one run.
type Config struct {
	Program                             string // path of camphormill-platform
	Work                                string // folder for settings and logs
	Seed                                uint64
	For                                 time.Duration // with faults
	Entries, Targets, Services, Callers int
	// Net is the second part of the loopback addresses, so that runs may go on
	// beside each other.
	Net int
}

// Report is how a run went.
type Report struct {
	Seed                           uint64
	Asked, Served, Refused, Failed int64
	Recovered                      float64 // share served after the last fault
	Switches                       int     // of the expert map
	Faults                         []string
	Broken                         []string
}

const (
	// settleTime bounds the start of the fleet.
	settleTime = 20 * time.Second
	// recoveryTime is what callers are promised after the last fault, and
	// calmTime how long they are counted then.
	recoveryTime = 12 * time.Second
	calmTime     = 3 * time.Second
	// serviceWork is what a plain target takes, and lostPart the share of answers
	// that it loses.
	serviceWork = 30 * time.Millisecond
	lostPart    = 0.02
	// longFault is how long some faults last: longer than a removed key may work.
	longFault = 8 * time.Second
	// slowPace is how many times slower one rank becomes, as the users' engines do.
	slowPace = 8
	// slowSequence numbers the random sequence of the slow rank.
	slowSequence = 1 << 32
	// shiftEvery is how often demand for experts drifts beside the drawn faults.
	shiftEvery = 1500 * time.Millisecond
	// leastRecovered is the share of requests that must be served then.
	leastRecovered = 0.9
)

// Run plays one seed.
func Run(ctx context.Context, c Config) (Report, error) {
	book := rack.NewBook()
	shape := rack.GroupConfig{
		Ranks: c.Targets, Sets: 2, Experts: 24, Places: 10, Spare: 3, Slots: 8, PassEvery: 25 * time.Millisecond,
		CopyTime: 150 * time.Millisecond, LatePart: 0.08, CutPart: 0.01,
	}
	f := &fleet{
		config: c, net: fmt.Sprintf("127.%d.0", c.Net), store: rack.NewStore(), switches: &faults.Switches{}, book: book,
		keys: []string{"key-0", "key-1", "key-2", "key-3", "key-4", "key-5"}, shape: shape, group: rack.NewGroup(shape, book),
	}
	defer f.close()
	if err := f.startStandins(); err != nil {
		return Report{}, err
	}
	if err := f.publish(); err != nil {
		return Report{}, err
	}
	for n := range c.Entries {
		if err := f.addHost("entry", 1+n); err != nil {
			return Report{}, err
		}
	}
	for n := range c.Targets {
		if err := f.addHost("target", 100+n); err != nil {
			return Report{}, err
		}
	}
	for _, h := range f.hosts {
		if err := f.start(h); err != nil {
			return Report{}, err
		}
	}
	settle, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	if !f.settled(settle) {
		return Report{}, errors.Errorf("soak: the entries are not ready; look into the logs in %s", c.Work)
	}
	return f.play(ctx)
}

// play injects faults while callers call, then lets the fleet recover.
func (f *fleet) play(ctx context.Context) (Report, error) {
	total := &counts{}
	people := &callers{fleet: f, counts: total, revoked: map[string]time.Time{}}
	callCtx, stopCalls := context.WithCancel(ctx)
	var calls sync.WaitGroup
	for n := range f.config.Callers {
		calls.Go(func() { people.run(callCtx, n, rand.New(rand.NewPCG(f.config.Seed, uint64(n+1)))) })
	}
	rng := rand.New(rand.NewPCG(f.config.Seed, 0))
	done, log := f.inject(ctx, rng, people)
	report := Report{Seed: f.config.Seed, Faults: log}
	done.Wait()
	f.calm()
	sleep(ctx, recoveryTime)
	report.Recovered = f.measure(ctx, total)
	stopCalls()
	calls.Wait()
	broken, switches, held := f.group.Verdict()
	report.Switches = switches
	report.Asked, report.Served, report.Refused, report.Failed = total.asked.Load(), total.served.Load(), total.refused.Load(), total.failed.Load()
	report.Broken = append(append(report.Broken, people.broken...), f.book.Broken()...)
	if broken != "" {
		report.Broken = append(report.Broken, broken)
	}
	if held {
		report.Broken = append(report.Broken, "a pass is still held after the recovery")
	}
	if report.Recovered < leastRecovered {
		report.Broken = append(report.Broken, fmt.Sprintf("only %.2f of the requests are served after the recovery", report.Recovered))
	}
	return report, ctx.Err()
}

// calm ends all faults that last.
func (f *fleet) calm() {
	f.switches.Set(faults.Mode{})
	for _, h := range f.hosts {
		h.store.set(clear)
	}
	for _, p := range f.targets {
		p.set(clear)
	}
}

// measure returns the share of the requests served in calm.
func (f *fleet) measure(ctx context.Context, total *counts) float64 {
	served, rest := total.served.Load(), total.refused.Load()+total.failed.Load()
	sleep(ctx, calmTime)
	good := total.served.Load() - served
	bad := total.refused.Load() + total.failed.Load() - rest
	// One in four requests tries a removed key once there is one, and must fail.
	f.mu.Lock()
	removed := len(f.keys) < 6
	f.mu.Unlock()
	if removed {
		bad = max(0, bad-(good+bad)/3)
	}
	return float64(good) / float64(max(good+bad, 1))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// inject plays overlapping faults until the time is over; the group is done when
// the last one has ended.
func (f *fleet) inject(ctx context.Context, rng *rand.Rand, people *callers) (*sync.WaitGroup, []string) {
	done := &sync.WaitGroup{}
	var log []string
	began := time.Now()
	done.Go(func() {
		for time.Since(began) < f.config.For && ctx.Err() == nil {
			sleep(ctx, shiftEvery)
			f.group.Shift()
		}
	})
	// And ranks become slow in turns, by a sequence of their own: older seeds stay
	// as they were.
	own := rand.New(rand.NewPCG(f.config.Seed, slowSequence))
	done.Go(func() {
		for time.Since(began) < f.config.For && ctx.Err() == nil {
			rank := own.IntN(f.config.Targets)
			f.group.Slow(rank, slowPace)
			sleep(ctx, time.Duration(500+own.IntN(1500))*time.Millisecond)
			f.group.Slow(rank, 1)
			sleep(ctx, time.Duration(own.IntN(1000))*time.Millisecond)
		}
	})
	// Every run has one long outage of the store in which a key is removed.
	outage := time.Duration(rng.Int64N(int64(f.config.For/2) + 1))
	done.Go(func() {
		sleep(ctx, outage)
		f.outage.Store(true)
		f.switches.Set(faults.Mode{Down: true})
		f.revoke(people)
		sleep(ctx, longFault)
		f.outage.Store(false)
		f.switches.Set(faults.Mode{})
	})
	log = append(log, fmt.Sprintf("%.1f s store down and key removed for %s", outage.Seconds(), longFault))
	for time.Since(began) < f.config.For && ctx.Err() == nil {
		name, lasts, fault := f.draw(rng, people)
		log = append(log, fmt.Sprintf("%.1f s %s for %s", time.Since(began).Seconds(), name, lasts.Round(100*time.Millisecond)))
		done.Go(fault)
		sleep(ctx, time.Duration(100+rng.IntN(900))*time.Millisecond)
	}
	return done, log
}

// draw chooses a fault.
func (f *fleet) draw(rng *rand.Rand, people *callers) (string, time.Duration, func()) {
	lasts := time.Duration(300+rng.IntN(3500)) * time.Millisecond
	const longShare = 6 // one fault in so many lasts long
	if rng.IntN(longShare) == 0 {
		lasts = longFault
	}
	h := f.hosts[rng.IntN(len(f.hosts))]
	choice := rng.IntN(11)
	state := path(1 + rng.IntN(4))
	p := f.targets[rng.IntN(len(f.targets))]
	mode := []faults.Mode{{Down: true}, {SlowMS: 300}, {LoseAnswer: true}}[rng.IntN(3)]
	restart := func(s syscall.Signal) func() {
		return func() {
			h.restarting.Lock()
			defer h.restarting.Unlock()
			exited := h.signal(s)
			if exited != nil {
				<-exited
			}
			time.Sleep(lasts / 4)
			if err := f.start(h); err != nil {
				people.breach("%s does not start again: %v", h.name, err)
			}
		}
	}
	switch choice {
	case 0:
		return "kill " + h.name, lasts, restart(syscall.SIGKILL)
	case 1:
		return "stop " + h.name, stopWithin, restart(syscall.SIGTERM)
	case 2, 3:
		return "freeze " + h.name, lasts, func() {
			h.signal(syscall.SIGSTOP)
			time.Sleep(lasts)
			h.signal(syscall.SIGCONT)
		}
	case 4:
		return "reload " + h.name, 0, func() { h.signal(syscall.SIGHUP) }
	case 5:
		return fmt.Sprint("path ", state, " to the store of ", h.name), lasts, func() {
			h.store.set(state)
			time.Sleep(lasts)
			h.store.set(clear)
		}
	case 6:
		return fmt.Sprint("path ", state, " to a target"), lasts, func() {
			p.set(state)
			time.Sleep(lasts)
			p.set(clear)
		}
	case 7:
		return fmt.Sprintf("store %+v", mode), lasts, func() {
			f.switchStore(mode)
			time.Sleep(lasts)
			f.switchStore(faults.Mode{})
		}
	case 8:
		return "configuration", 0, func() {
			f.mu.Lock()
			f.routes += 10
			f.mu.Unlock()
			f.mustPublish(people)
		}
	case 9:
		return "key removed", 0, func() { f.revoke(people) }
	}
	return "shift", 0, f.group.Shift
}

// switchStore changes how the store behaves, but for the long outage.
func (f *fleet) switchStore(mode faults.Mode) {
	if !f.outage.Load() {
		f.switches.Set(mode)
	}
}

// revoke removes a key, but never the last two.
func (f *fleet) revoke(people *callers) {
	f.mu.Lock()
	if len(f.keys) <= 2 {
		f.mu.Unlock()
		return
	}
	key := f.keys[len(f.keys)-1]
	f.keys = f.keys[:len(f.keys)-1]
	f.mu.Unlock()
	f.mustPublish(people)
	people.mu.Lock()
	defer people.mu.Unlock()
	people.revoked[key] = time.Now()
}

func (f *fleet) mustPublish(people *callers) {
	if err := f.publish(); err != nil {
		people.breach("a configuration cannot be published: %v", err)
	}
}
