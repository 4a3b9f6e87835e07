// Package soak runs the daemons of the users' platform as separate processes against
// stand-ins, injects faults drawn from a seed, and checks during the run what callers
// and targets are guaranteed.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/standin/fakeplatform"
	"camphormill.dev/standin/faults"
)

// Config describes one run.
type Config struct {
	Program                             string // path of the platform's program, which runs both kinds of daemon
	WorkDir                             string // folder for settings and logs of the daemons
	Seed                                uint64
	FaultTime                           time.Duration // how long faults are injected
	Entries, Targets, Services, Callers int
	// SubnetOctet is the second octet of the loopback addresses; runs at the same time need
	// different ones. The ranges of addresses allow at most 99 Entries, 50 Targets and
	// 50 Services; each of these must be at least 1.
	SubnetOctet int
}

// Report is the result of a run. Sent leaves out the requests with a revoked key;
// Served, Refused and Failed include them.
type Report struct {
	Seed                          uint64
	Sent, Served, Refused, Failed int64
	RecoveredShare                float64 // share of requests served after the recovery; see fleet.servedShare
	MapChanges                    int     // changes of the expert map
	Faults                        []string
	Violations                    []string // violated guarantees
}

const (
	// startTimeout bounds the start of the fleet.
	startTimeout = 20 * time.Second
	// recoveryTime is the time after the last fault within which callers are guaranteed
	// service again. Requests are then counted for measureTime.
	recoveryTime = 12 * time.Second
	measureTime  = 3 * time.Second
	// serviceTime is the time that a plain target takes for a request, and
	// lostAnswerShare the share of answers that it loses.
	serviceTime     = 30 * time.Millisecond
	lostAnswerShare = 0.02
	// longFaultTime is the duration of long faults. It exceeds maxRevocationDelay, so a
	// key revoked at the start of the long outage must be refused before the outage ends.
	longFaultTime = 8 * time.Second
	// slowdownFactor is how many times slower a slow rank runs. The users' engines slow
	// down by this factor too.
	slowdownFactor = 8
	// slowRankSequence selects the random sequence of the slow ranks. Callers have the
	// sequences 1 to Config.Callers, all other faults the sequence 0.
	slowRankSequence = 1 << 32
	// registrySequence selects that of the lapses of the registry and of odd entries in it.
	registrySequence = 1<<32 + 1
	// lapseTime is the time after which the registrations of targets lapse in an outage of the store, and
	// maxRenewTime that within which targets register again after it.
	lapseTime    = 3600 * time.Millisecond
	maxRenewTime = 1500 * time.Millisecond
	// demandShiftInterval is the time between the regular shifts of the demand for
	// experts. Further shifts are among the drawn faults.
	demandShiftInterval = 1500 * time.Millisecond
	// minRecovered is the share of requests that must be served after the recovery.
	minRecovered = 0.9
)

// Run runs the fleet under the faults of one seed and returns what was counted and
// violated. It fails if the fleet does not start within startTimeout or ctx ends. A
// violation is no error but part of the report.
func Run(ctx context.Context, c Config) (Report, error) {
	executions := fakeplatform.NewRecorder()
	groupConfig := fakeplatform.GroupConfig{
		Ranks: c.Targets, Sets: 2, Experts: 24, ExpertSlots: 10, SpareExpertSlots: 3, Slots: 8, PassInterval: 25 * time.Millisecond,
		CopyTime: 150 * time.Millisecond, LateOrderShare: 0.08, CutStreamShare: 0.01, FailedResumeShare: 0.3,
	}
	f := &fleet{
		config: c, subnet: fmt.Sprintf("127.%d.0", c.SubnetOctet), store: fakeplatform.NewStore(), storeFaults: &faults.Injector{}, executions: executions,
		keys: []string{"key-0", "key-1", "key-2", "key-3", "key-4", "key-5"}, groupConfig: groupConfig, group: fakeplatform.NewGroup(groupConfig, executions),
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
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if !f.waitReady(startCtx) {
		return Report{}, errors.Errorf("soak: not every entry became ready in time; see the logs in %s", c.WorkDir)
	}
	return f.runFaults(ctx)
}

// runFaults injects faults while callers send requests, ends the faults, lets the fleet
// recover, and measures the share of requests that is served then.
func (f *fleet) runFaults(ctx context.Context) (Report, error) {
	total := &counts{}
	callers := &callerPool{fleet: f, counts: total, revoked: map[string]time.Time{}}
	callCtx, stopCalls := context.WithCancel(ctx)
	var running sync.WaitGroup
	for n := range f.config.Callers {
		running.Go(func() { callers.run(callCtx, n, rand.New(rand.NewPCG(f.config.Seed, uint64(n+1)))) })
	}
	rng := rand.New(rand.NewPCG(f.config.Seed, 0))
	active, faultLog := f.injectFaults(ctx, rng, callers)
	report := Report{Seed: f.config.Seed, Faults: faultLog}
	active.Wait()
	f.clearFaults()
	sleep(ctx, recoveryTime)
	report.RecoveredShare = f.servedShare(ctx, total)
	stopCalls()
	running.Wait()
	violation, mapChanges, passHeld := f.group.CheckResult()
	report.MapChanges = mapChanges
	report.Sent, report.Served, report.Refused, report.Failed = total.sent.Load(), total.served.Load(), total.refused.Load(), total.failed.Load()
	report.Violations = append(append(report.Violations, callers.violations...), f.executions.Violations()...)
	if violation != "" {
		report.Violations = append(report.Violations, violation)
	}
	if passHeld {
		report.Violations = append(report.Violations, "a pass of the group is still held after the recovery")
	}
	if report.RecoveredShare < minRecovered {
		report.Violations = append(report.Violations, fmt.Sprintf("only a share of %.2f of the requests is served after the recovery", report.RecoveredShare))
	}
	return report, ctx.Err()
}

// clearFaults ends the faults of the store and of all links.
func (f *fleet) clearFaults() {
	f.storeFaults.Set(faults.Faults{})
	for _, h := range f.hosts {
		h.storeLink.setState(clear)
	}
	for _, p := range f.targetLinks {
		p.setState(clear)
	}
}

// servedShare counts requests for measureTime and returns the share that is served.
func (f *fleet) servedShare(ctx context.Context, total *counts) float64 {
	servedBefore, unservedBefore := total.served.Load(), total.refused.Load()+total.failed.Load()
	sleep(ctx, measureTime)
	served := total.served.Load() - servedBefore
	unserved := total.refused.Load() + total.failed.Load() - unservedBefore
	// Once a key is revoked, one request in four uses a revoked key and must fail. A third
	// of all counted requests, at most, is therefore not held against the share.
	f.mu.Lock()
	revoked := len(f.keys) < 6
	f.mu.Unlock()
	if revoked {
		unserved = max(0, unserved-(served+unserved)/3)
	}
	return float64(served) / float64(max(served+unserved, 1))
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// injectFaults injects overlapping faults for the time of the run. It returns a wait
// group of the faults that still last and the log of all faults.
func (f *fleet) injectFaults(ctx context.Context, rng *rand.Rand, callers *callerPool) (*sync.WaitGroup, []string) {
	active := &sync.WaitGroup{}
	var faultLog []string
	start := time.Now()
	active.Go(func() {
		for time.Since(start) < f.config.FaultTime && ctx.Err() == nil {
			sleep(ctx, demandShiftInterval)
			f.group.ShiftPopularity()
		}
	})
	// Ranks become slow one after the other. They are drawn from a random sequence of
	// their own, so that the other faults of seeds recorded earlier stay the same.
	slowRNG := rand.New(rand.NewPCG(f.config.Seed, slowRankSequence))
	active.Go(func() {
		for time.Since(start) < f.config.FaultTime && ctx.Err() == nil {
			rank := slowRNG.IntN(f.config.Targets)
			f.group.SetSlowdown(rank, slowdownFactor)
			sleep(ctx, time.Duration(500+slowRNG.IntN(1500))*time.Millisecond)
			f.group.SetSlowdown(rank, 1)
			sleep(ctx, time.Duration(slowRNG.IntN(1000))*time.Millisecond)
		}
	})
	// Every run has one long outage of the store, during which a key is revoked.
	outageStart := time.Duration(rng.Int64N(int64(f.config.FaultTime/2) + 1))
	active.Go(func() {
		sleep(ctx, outageStart)
		f.longOutage.Store(true)
		f.storeFaults.Set(faults.Faults{Down: true})
		f.revokeKey(callers)
		sleep(ctx, longFaultTime)
		f.longOutage.Store(false)
		f.storeFaults.Set(faults.Faults{})
	})
	faultLog = append(faultLog, f.disturbRegistry(ctx, active, start, outageStart)...)
	faultLog = append(faultLog, fmt.Sprintf("%.1f s store down and key revoked for %s", outageStart.Seconds(), longFaultTime))
	for time.Since(start) < f.config.FaultTime && ctx.Err() == nil {
		name, duration, fault := f.drawFault(rng, callers)
		faultLog = append(faultLog, fmt.Sprintf("%.1f s %s for %s", time.Since(start).Seconds(), name, duration.Round(100*time.Millisecond)))
		active.Go(fault)
		sleep(ctx, time.Duration(100+rng.IntN(900))*time.Millisecond)
	}
	return active, faultLog
}

// disturbRegistry leaves odd entries in the registry all the time, and in half of the runs lets all registrations
// lapse during the long outage. The targets register again after it, as they were. It returns the log of the lapse.
func (f *fleet) disturbRegistry(ctx context.Context, active *sync.WaitGroup, start time.Time, outageStart time.Duration) []string {
	rng := rand.New(rand.NewPCG(f.config.Seed, registrySequence))
	lapses := rng.IntN(2) == 0
	renewAfter := map[string]time.Duration{}
	for _, id := range f.targetIDs() {
		renewAfter[id] = time.Duration(rng.Int64N(int64(maxRenewTime)))
	}
	active.Go(func() {
		for time.Since(start) < f.config.FaultTime && ctx.Err() == nil {
			f.store.PutOddTarget(rng.IntN(1 << 16))
			sleep(ctx, time.Duration(200+rng.IntN(2000))*time.Millisecond)
		}
	})
	if !lapses {
		return nil
	}
	for id, after := range renewAfter {
		active.Go(func() {
			sleep(ctx, outageStart+lapseTime)
			renew := f.store.Lapse(id)
			sleep(ctx, longFaultTime-lapseTime+after)
			renew()
		})
	}
	return []string{fmt.Sprintf("%.1f s all registrations lapse; targets register again within %s of the end of the outage", (outageStart + lapseTime).Seconds(), maxRenewTime)}
}

// drawFault draws a fault and returns its description, its duration for the log and a
// function that injects it and returns when it has ended. A killed or stopped daemon starts
// again a quarter of the drawn duration after its end, whatever the log says.
func (f *fleet) drawFault(rng *rand.Rand, callers *callerPool) (string, time.Duration, func()) {
	duration := time.Duration(300+rng.IntN(3500)) * time.Millisecond
	const longFaultEvery = 6 // one fault in 6 is long
	if rng.IntN(longFaultEvery) == 0 {
		duration = longFaultTime
	}
	h := f.hosts[rng.IntN(len(f.hosts))]
	choice := rng.IntN(11)
	state := linkState(1 + rng.IntN(4)) // any state but clear
	p := f.targetLinks[rng.IntN(len(f.targetLinks))]
	storeFault := []faults.Faults{{Down: true}, {SlowMS: 300}, {LoseAnswer: true}}[rng.IntN(3)]
	restart := func(s syscall.Signal) func() {
		return func() {
			h.restarting.Lock()
			defer h.restarting.Unlock()
			exited := h.signal(s)
			if exited != nil {
				<-exited
			}
			time.Sleep(duration / 4)
			if err := f.start(h); err != nil {
				callers.addViolation("%s cannot be restarted: %v", h.name, err)
			}
		}
	}
	switch choice {
	case 0:
		return "kill " + h.name, duration, restart(syscall.SIGKILL)
	case 1:
		return "stop " + h.name, stopTimeout, restart(syscall.SIGTERM)
	case 2, 3:
		return "freeze " + h.name, duration, func() {
			h.signal(syscall.SIGSTOP)
			time.Sleep(duration)
			h.signal(syscall.SIGCONT)
		}
	case 4:
		return "reload " + h.name, 0, func() { h.signal(syscall.SIGHUP) }
	case 5:
		return fmt.Sprint("link state ", state, " to the store of ", h.name), duration, func() {
			h.storeLink.setState(state)
			time.Sleep(duration)
			h.storeLink.setState(clear)
		}
	case 6:
		return fmt.Sprint("link state ", state, " to a plain target"), duration, func() {
			p.setState(state)
			time.Sleep(duration)
			p.setState(clear)
		}
	case 7:
		return fmt.Sprintf("store %+v", storeFault), duration, func() {
			f.setStoreFault(storeFault)
			time.Sleep(duration)
			f.setStoreFault(faults.Faults{})
		}
	case 8:
		return "configuration", 0, func() {
			f.mu.Lock()
			f.extraRoutes += 10
			f.mu.Unlock()
			f.publishOrReport(callers)
		}
	case 9:
		return "key revoked", 0, func() { f.revokeKey(callers) }
	}
	return "shift", 0, f.group.ShiftPopularity
}

// setStoreFault sets the fault of the store, except during the long outage.
func (f *fleet) setStoreFault(injected faults.Faults) {
	if !f.longOutage.Load() {
		f.storeFaults.Set(injected)
	}
}

// revokeKey publishes a configuration without the last key and records the time. It does
// nothing if only two keys are left.
func (f *fleet) revokeKey(callers *callerPool) {
	f.mu.Lock()
	if len(f.keys) <= 2 {
		f.mu.Unlock()
		return
	}
	key := f.keys[len(f.keys)-1]
	f.keys = f.keys[:len(f.keys)-1]
	f.mu.Unlock()
	f.publishOrReport(callers)
	callers.mu.Lock()
	defer callers.mu.Unlock()
	callers.revoked[key] = time.Now()
}

// publishOrReport publishes the configuration and records a failure as a violation.
func (f *fleet) publishOrReport(callers *callerPool) {
	if err := f.publish(); err != nil {
		callers.addViolation("a configuration cannot be published: %v", err)
	}
}
