package rankagent

import (
	"slices"
	"time"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/placement"
)

const (
	// prepareTimeout bounds the copying of weights for one switch.
	prepareTimeout = 2500 * time.Millisecond
	// holdTimeout bounds the Holding and the Arming phase of a switch, in which the group may
	// have to wait until all ranks are armed. holdTimeoutPerRank is added for each rank.
	holdTimeout        = 500 * time.Millisecond
	holdTimeoutPerRank = time.Millisecond
	// freeRollbacks is the number of switches that may be rolled back one after the other before the
	// next waits for rollbackPauseBase, and twice as long after each further one, up to
	// maxRollbackPause.
	freeRollbacks     = 2
	rollbackPauseBase = 2 * time.Second
	maxRollbackPause  = 16 * time.Second
	maxPauseDoublings = 10 // reaches maxRollbackPause
)

// releaseOrphanedHolds releases passes that an earlier leader or a late order left held. It starts
// a rollback of the switch to which they belong.
func (l *leader) releaseOrphanedHolds(now time.Time) {
	if l.current != nil || !l.allReportsFresh(now) {
		return
	}
	heldPasses := map[int]mapswitch.Pass{}
	version := mapswitch.Version(0)
	for i, r := range l.ranks {
		if r.rank.View.Held != mapswitch.NoPass {
			heldPasses[i] = r.rank.View.Held
		}
		version = max(version, r.rank.View.Armed, r.rank.View.Prepared)
	}
	if len(heldPasses) == 0 {
		return
	}
	config := l.switchConfig(version)
	s := mapswitch.NewRollback(config, heldPasses)
	l.log.Warn().Int("holders", len(heldPasses)).Int64("map", int64(version)).Msg("a pass is held without a current switch; releasing it")
	l.startSwitch(now, s)
}

// switchConfig returns the configuration of a new switch to a map and reserves its fences. The rank
// beside this daemon holds the pass, or rank 0 if no report of that rank is known.
func (l *leader) switchConfig(version mapswitch.Version) mapswitch.Config {
	holder := 0
	for i, r := range l.ranks {
		if r.host == l.config.Self.Name {
			holder = i
		}
	}
	c := mapswitch.Config{
		Fence: l.nextFence, Epoch: l.ranks[0].rank.View.Epoch, Ranks: len(l.ranks), Version: version, Holder: holder, HoldAhead: l.passDurations.passesAhead(l.minPassDuration(l.config.Now()), len(l.ranks), l.holdTook),
	}
	l.nextFence += fencesPerSwitch
	return c
}

// newVersion returns the version of a new map, above the highest that any rank reports. It is the fence of its
// switch, which no other switch of any leader has: ranks don't report copies that are not complete, so another map with
// the same version may be on its way to some of them.
func (l *leader) newVersion(highest mapswitch.Version) mapswitch.Version {
	return max(highest+1, mapswitch.Version(l.nextFence))
}

func (l *leader) startSwitch(now time.Time, s mapswitch.Switch) {
	l.current = &s
	l.phase, l.phaseStart = s.Phase(), now
	l.sentOrders, l.orderedRanks = map[int]sentOrder{}, map[int64]int{}
}

// meanSkew returns the step time of the slowest rank under a layout, relative to that of ranks that are equally fast and
// have equal loads; the mean over the sets. Without speeds all ranks are taken to be equally fast.
func (l *leader) meanSkew(layouts []placement.Layout, shares [][]float64, speeds []float64) float64 {
	totalSpeed := 0.0
	for _, speed := range speeds {
		totalSpeed += speed
	}
	if speeds == nil {
		totalSpeed = float64(len(l.ranks))
	}
	sum := 0.0
	for s, layout := range layouts {
		sum += placement.Problem{Loads: shares[s], Speeds: speeds, ExpertSlots: l.settings.ExpertSlots, Ranks: len(l.ranks)}.Skew(layout)
	}
	return sum / float64(max(len(layouts), 1)) * float64(len(l.ranks)) / totalSpeed
}

// measuredSpeeds returns the speeds of the ranks relative to healthy ones, as they report them.
func (l *leader) measuredSpeeds() []float64 {
	speeds := make([]float64, len(l.ranks))
	for i, r := range l.ranks {
		speeds[i] = 1 / max(r.rank.Slowdown, 1)
	}
	return speeds
}

// rankSpeeds returns the speeds by which experts are placed; see relativeSpeed.
func (l *leader) rankSpeeds() []float64 {
	speeds := make([]float64, len(l.ranks))
	for i, r := range l.ranks {
		speeds[i] = relativeSpeed(r.rank.Slowdown, slices.Contains(l.slowEngines, r.rank.Engine))
	}
	return speeds
}

// relativeSpeed returns the share of expert work for a rank, relative to a rank of normal
// speed. slow means that the rank is too slow for requests. Such a rank gets less expert work
// than it could do: an expert that it still holds may become popular, and all ranks would wait
// for the slow rank.
func relativeSpeed(slowdown float64, slow bool) float64 {
	slowdown = max(slowdown, 1)
	if slow {
		slowdown *= slowdown
	}
	return 1 / slowdown
}

// lastSwitchSettled returns whether the last switch has taken effect. While an engine
// is armed, the switch never counts as settled, because the engine accepts no other map, however
// long its pass takes. Otherwise it counts as settled after activationTimeout, since the ranks of
// a group in a new epoch have no record of it.
func (l *leader) lastSwitchSettled(now time.Time) bool {
	if l.awaitedMap != 0 && l.knownMap() == l.awaitedMap {
		return true
	}
	for _, r := range l.ranks {
		if r.rank.View.Armed != 0 {
			return false
		}
	}
	return l.awaitedMap == 0 || now.Sub(l.switchEndedAt) > activationTimeout
}

// knownMap returns the map of this leader that the group runs, 0 if the map in force is not one of its own. All ranks
// begin a pass under the same map, so that the rank beside this daemon, whose report is the newest, tells it of all.
func (l *leader) knownMap() mapswitch.Version {
	own, ok := l.ranks[l.ownRank]
	if !ok || l.layoutMap == 0 || own.rank.View.Map != l.layoutMap || own.rank.View.Epoch != l.layoutEpoch {
		return 0
	}
	return l.layoutMap
}

// currentLayouts assembles the layouts of the current map, by set, from the ranks' reports unless it is this leader's
// own map. It returns false when a rank is missing, the ranks report different maps, or a rank reports no layout.
func (l *leader) currentLayouts() ([]placement.Layout, bool) {
	if len(l.ranks) < l.size {
		return nil, false
	}
	layouts := make([]placement.Layout, l.settings.Sets)
	if l.knownMap() != 0 && len(l.layout) == len(layouts) {
		for s := range layouts {
			layouts[s] = l.layout[s]
		}
		return layouts, true
	}
	for s := range layouts {
		layouts[s] = make(placement.Layout, len(l.ranks))
	}
	version := l.ranks[l.ownRank].rank.View.Map
	for i, r := range l.ranks {
		if i >= len(l.ranks) || r.rank.View.Map != version || len(r.rank.Experts) != l.settings.Sets {
			return nil, false
		}
		for s, held := range r.rank.Experts {
			layouts[s][i] = held
		}
	}
	return layouts, true
}

// enterPhase gives the orders of the current switch's next phase if it has entered one, or a new pass to hold. All
// others are given by sendPaced and tick.
func (l *leader) enterPhase() {
	if phase := l.current.Phase(); phase != l.phase || phase == mapswitch.Holding {
		l.advanceSwitch(l.config.Now())
	}
}

// advanceSwitch sends the orders of the current switch that are due, abandons a switch whose phase
// takes too long, and ends a finished one.
func (l *leader) advanceSwitch(now time.Time) {
	if l.current == nil {
		return
	}
	if l.phaseExpired(now) {
		l.withPending(now, l.log.Warn()).Str("phase", string(l.phase)).Dur("after", now.Sub(l.phaseStart)).Msg("phase of the switch timed out; abandoning the switch")
		s := l.current.TimedOut()
		l.current = &s
	}
	if phase := l.current.Phase(); phase != l.phase {
		l.log.Info().Str("phase", string(phase)).Dur("last_took", now.Sub(l.phaseStart)).Msg("switch entered its next phase")
		switch {
		case phase == mapswitch.Holding:
			l.holdStart = now
			go l.readOwnEngine()
		case l.phase == mapswitch.Releasing && !l.current.RolledBack():
			l.holdTook = withHoldTime(l.holdTook, now.Sub(l.holdStart))
		}
		l.phase, l.phaseStart = phase, now
		l.sentOrders, l.orderedRanks = map[int]sentOrder{}, map[int64]int{}
	}
	if l.phase == mapswitch.Finished {
		l.log.Info().Int64("map", int64(l.current.Version())).Bool("undone", l.current.RolledBack()).Float64("skew_planned", l.plannedSkew).Msg("switch ended")
		l.awaitedMap, l.switchEndedAt = 0, now
		l.rolledBack++
		if !l.current.RolledBack() {
			l.awaitedMap, l.rolledBack = l.current.Version(), 0
		}
		l.current = nil
		return
	}
	l.sendOrders(now, l.current.Orders())
}

// phaseExpired reports whether the current phase takes so long that the switch is abandoned.
func (l *leader) phaseExpired(now time.Time) bool {
	elapsed := now.Sub(l.phaseStart)
	switch l.phase {
	case mapswitch.Preparing:
		return elapsed > prepareTimeout
	case mapswitch.Holding, mapswitch.Arming:
		return elapsed > holdTimeout+holdTimeoutPerRank*time.Duration(len(l.ranks))
	}
	return false
}

// rollbackPause returns the time between the end of a switch and the start of the next after a number of
// switches that were rolled back. A group whose switches fail keeps its map for longer and longer.
func rollbackPause(rolledBack int) time.Duration {
	if rolledBack < freeRollbacks {
		return 0
	}
	doublings := min(rolledBack-freeRollbacks, maxPauseDoublings)
	return min(rollbackPauseBase<<doublings, maxRollbackPause)
}
