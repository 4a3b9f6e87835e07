package rankagent

import (
	"time"

	"camphormill.dev/parts/expertlayout"
	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/placement"
)

// futileSkewGrowth is by how much the skew must grow under the same map and demand before the leader plans
// again after a plan that gained too little.
const futileSkewGrowth = 0.05

// planInput is what a plan of the next expert map depends on. It is immutable.
type planInput struct {
	current   []placement.Layout // of the map in force, by set
	shares    [][]float64        // demand by set and expert
	speeds    []float64          // of the ranks
	expertMap mapswitch.Version  // in force
	epoch     int64
	shifts    int // of demand so far
}

// sameState reports whether the other input is of the same map, and of demand that has not shifted in between.
func (in planInput) sameState(other planInput) bool {
	return in.expertMap == other.expertMap && in.epoch == other.epoch && in.shifts == other.shifts
}

// planLimits bounds what a plan may do.
type planLimits struct {
	expertSlots int
	skewTarget  float64 // at which a set is left as it is
	maxFetches  int     // experts that one rank copies in a set
	maxCopies   int     // experts that all ranks copy; 0 for no bound
	yield       func()  // called often during the computation
}

// layoutPlan is a layout for the demand, with the skews of the layout in force and of the new one, means over
// the sets.
type layoutPlan struct {
	layout        expertlayout.Layout
	copies        int
	before, after float64
}

// problems returns the placement problem of each set.
func (in planInput) problems(expertSlots int) []placement.Problem {
	problems := make([]placement.Problem, len(in.current))
	for s := range problems {
		problems[s] = placement.Problem{Loads: in.shares[s], Speeds: in.speeds, ExpertSlots: expertSlots, Ranks: len(in.speeds)}
	}
	return problems
}

// skew returns the skew of the layout in force, mean over the sets.
func (in planInput) skew(expertSlots int) float64 {
	sum := 0.0
	for s, p := range in.problems(expertSlots) {
		sum += p.Skew(in.current[s])
	}
	return sum / float64(max(len(in.current), 1))
}

// plan returns the layout with the least skew within the limits.
func (in planInput) plan(limits planLimits) layoutPlan {
	problems := in.problems(limits.expertSlots)
	results := placement.BalanceSets(problems, in.current, placement.BalanceConfig{
		TargetSkew: limits.skewTarget, MaxFetches: limits.maxFetches, MaxTotalFetches: limits.maxCopies, Yield: limits.yield,
	})
	plan := layoutPlan{layout: make(expertlayout.Layout, len(results)), before: in.skew(limits.expertSlots)}
	for s, r := range results {
		plan.layout[s] = r.Layout
		plan.copies += r.Fetched
		plan.after += r.Skew / float64(len(results))
	}
	return plan
}

// planSwitch starts to plan a switch when the skew of the current layouts is too high for the demand. The plan is made
// without the leader's lock: its computation takes longer than a request may wait for a slot.
func (l *leader) planSwitch(now time.Time) {
	if l.planning || !l.open || !l.allReportsFresh(now) || !l.lastSwitchSettled(now) || now.Sub(l.switchEndedAt) < rollbackPause(l.rolledBack) {
		return
	}
	in, ok := l.planInput()
	if !ok {
		return
	}
	if l.futile.sameState(in) && in.skew(l.settings.ExpertSlots) < l.futileSkew+futileSkewGrowth {
		return
	}
	limits := planLimits{
		expertSlots: l.settings.ExpertSlots, skewTarget: l.skewTarget(), maxFetches: l.settings.SpareExpertSlots,
		maxCopies: l.maxChanges(), yield: l.config.Yield,
	}
	l.planning = true
	go func() {
		plan := in.plan(limits)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.planned = &finishedPlan{in: in, plan: plan, took: l.config.Now().Sub(now)}
	}()
}

// finishedPlan is a plan that waits for the next tick. This daemon may have stopped to lead since the plan was begun.
type finishedPlan struct {
	in   planInput
	plan layoutPlan
	took time.Duration
}

// useFinishedPlan uses the plan that was made since the last call, if there is one.
func (l *leader) useFinishedPlan() {
	if p := l.planned; p != nil {
		l.planned, l.planning = nil, false
		l.usePlan(p.in, p.plan, p.took)
	}
}

// planInput returns what the next plan depends on, or false if the demand or the layouts are not known.
func (l *leader) planInput() (planInput, bool) {
	shares := l.demand.Shares()
	current, ok := l.currentLayouts()
	if shares == nil || !ok {
		return planInput{}, false
	}
	view := l.ranks[l.ownRank].rank.View
	return planInput{current: current, shares: shares, speeds: l.rankSpeeds(), expertMap: view.Map, epoch: view.Epoch, shifts: l.demand.Shifts()}, true
}

// skewTarget returns the skew at which a set of layers is left as it is.
func (l *leader) skewTarget() float64 {
	if l.passDurations.mean > longPassThreshold || len(l.ranks) > largeGroupSize {
		return min(l.config.SkewTarget, tightSkewTarget)
	}
	return l.config.SkewTarget
}

// usePlan starts a switch to a planned layout, unless it gains too little or the group or the demand has changed in
// the meantime.
func (l *leader) usePlan(in planInput, plan layoutPlan, took time.Duration) {
	if newest, ok := l.planInput(); !ok || !newest.sameState(in) || l.current != nil || !l.retireAt.IsZero() || l.superseded {
		l.log.Info().Dur("took", took).Msg("plan of an expert map dropped; the group or the demand has changed")
		return
	}
	if plan.before-plan.after < minSkewGain {
		l.futile, l.futileSkew = in, plan.before
		return
	}
	base := make(expertlayout.Layout, len(in.current))
	for s := range in.current {
		base[s] = in.current[s]
	}
	l.layout = plan.layout.Sorted()
	l.changes = expertlayout.Diff(base, l.layout, l.settings.Experts)
	l.knownLayouts.add(base)
	l.knownLayouts.add(l.layout)
	l.plannedSkew = plan.after
	highest := mapswitch.Version(0)
	for _, r := range l.ranks {
		highest = max(highest, r.rank.View.Map, r.rank.View.Prepared, r.rank.View.Armed)
	}
	version := l.newVersion(highest)
	l.log.Info().Float64("skew", plan.before).Float64("skew_planned", plan.after).Int("copies", plan.copies).Int64("map", int64(version)).
		Int("bytes", len(l.changes.Encoded)).Uint64("base", uint64(l.changes.Base)).
		Dur("pass", l.passDurations.mean).
		Dur("took", took).Msg("switch of the expert map started")
	config := l.switchConfig(version)
	l.layoutMap, l.layoutEpoch = config.Version, config.Epoch
	now := l.config.Now()
	l.startSwitch(now, mapswitch.New(config))
	l.advanceSwitch(now)
}
