package rankagent

import (
	"context"
	"slices"
	"time"

	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/pace"
	"camphormill.dev/parts/rankscheduler"
	"camphormill.dev/parts/routes"
)

// rankReport is the latest report of a rank, as the leader keeps it.
type rankReport struct {
	host       string // name of the host of the rank's daemon
	rank       mesh.RankReport
	receivedAt time.Time
	direct     bool // read by the leader from the engine, because the rank's daemon is silent
}

// handleReport stores a report that a rank's daemon sent. A report of another group or of no rank of it is ignored,
// and one whose sender follows a higher fence marks this leader as superseded.
func (l *leader) handleReport(host string, r mesh.RankReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Group != l.group || r.Fence > l.claimFence {
		l.superseded = l.superseded || (r.Group == l.group && r.Fence > l.claimFence)
		return
	}
	if r.Rank < 0 || r.Rank >= l.size {
		return
	}
	now := l.config.Now()
	l.workload.reports++
	l.addChoices(r.Choices)
	l.storeReport(now, rankReport{host: host, rank: r, receivedAt: now})
}

// schedule returns the schedule of the ranks' reports.
func (l *leader) schedule() reportSchedule {
	return newReportSchedule(len(l.ranks), l.settings.Sets*l.settings.Experts, l.config.LinkBytesPerSecond)
}

// readSilentEngines reads the engines whose daemons are silent, so that a held pass does not
// wait for a frozen host.
func (l *leader) readSilentEngines(now time.Time) {
	silentAfter := l.schedule().silentAfter()
	if now.Sub(l.startedAt) < silentAfter {
		return
	}
	reporting := map[string]bool{l.config.Self.Name: true}
	for _, r := range l.ranks {
		reporting[r.host] = reporting[r.host] || (!r.direct && now.Sub(r.receivedAt) < silentAfter)
	}
	known := l.config.Mesh.Known(mesh.RoleTarget)
	if len(l.directReadAt) > 2*len(known) { // hosts that are no longer known
		clear(l.directReadAt)
		clear(l.otherGroup)
	}
	begun := 0
	for _, h := range known {
		if begun == maxDirectReadsPerTick || l.directReads >= maxDirectReads {
			return
		}
		interval := directReadInterval
		if l.otherGroup[h.Name] {
			interval = otherGroupReadInterval
		}
		if !reporting[h.Name] && now.Sub(l.directReadAt[h.Name]) >= interval {
			l.directReadAt[h.Name] = now
			l.directReads++
			begun++
			go l.readEngine(h)
		}
	}
}

// readEngine reads the engine of a silent daemon and stores the result as the rank's report.
func (l *leader) readEngine(h mesh.Host) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	r, err := l.config.Engine.Read(ctx, h.Engine)
	l.mu.Lock()
	l.directReads--
	l.mu.Unlock()
	if err != nil {
		l.log.Debug().Err(err).Str("host", h.Name).Msg("reading the engine of a silent daemon failed; retrying")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.otherGroup[h.Name] = r.Group != l.group
	if r.Group != l.group {
		return
	}
	now := l.config.Now()
	old, known := l.ranks[r.Rank]
	if known && !old.direct && now.Sub(old.receivedAt) < l.schedule().silentAfter() {
		return // its daemon has reported in the meantime
	}
	if !known || !old.direct {
		l.log.Info().Str("host", h.Name).Int("rank", r.Rank).Msg("daemon of a rank is silent; reading its engine directly")
	}
	rank := mesh.RankReport{
		Service: l.config.Service, Engine: h.Engine, Group: r.Group, Rank: r.Rank, Size: r.Size, Open: r.Open,
		View: r.View, Queued: r.Queued, Active: r.Active, Slowdown: r.Slowdown,
	}
	l.storeReport(now, rankReport{host: h.Name, rank: rank, receivedAt: now, direct: true})
}

// readOwnEngine reads the engine beside this daemon. The pass that a switch holds is chosen by the newest pass that has
// begun there, and the next regular read may come a pass later.
func (l *leader) readOwnEngine() {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	r, err := l.config.Engine.Read(ctx, l.config.Self.Engine)
	if err != nil {
		return // the next regular read will do
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	own, known := l.ranks[l.ownRank]
	if !known || r.Group != l.group || r.View.Epoch != own.rank.View.Epoch || r.View.Map != own.rank.View.Map {
		return
	}
	now := l.config.Now()
	own.rank.View, own.receivedAt = r.View, now
	l.storeReport(now, own)
}

// storeReport stores the latest report of a rank and applies it to the current switch. A report without
// experts keeps those of the previous one if map and epoch are the same, or gets those of the map that this
// leader has put in force.
func (l *leader) storeReport(now time.Time, report rankReport) {
	old, known := l.ranks[report.rank.Rank]
	if view := report.rank.View; report.rank.Experts == nil {
		if known && old.rank.View.Map == view.Map && old.rank.View.Epoch == view.Epoch {
			report.rank.Experts = old.rank.Experts
		}
		if report.rank.Experts == nil && view.Map != 0 && view.Map == l.layoutMap && view.Epoch == l.layoutEpoch {
			report.rank.Experts = l.layout.OfRank(report.rank.Rank)
		}
	}
	l.ranks[report.rank.Rank] = report
	l.passDurations = l.passDurations.withPass(now, report.rank.View.Pass)
	if l.current != nil {
		s := l.current.WithView(report.rank.Rank, report.rank.View)
		l.current = &s
		l.enterPhase()
	}
}

// addChoices adds the choices of one report, encoded by mesh.EncodeChoices with the experts of each
// set in succession, to newChoices.
func (l *leader) addChoices(choices []byte) {
	if len(choices) == 0 || l.settings.Sets == 0 {
		return
	}
	if l.newChoices == nil {
		l.newChoices = make([][]float64, l.settings.Sets)
		for s := range l.newChoices {
			l.newChoices[s] = make([]float64, l.settings.Experts)
		}
	}
	for i, n := range mesh.DecodeChoices(choices) {
		if i/l.settings.Experts < l.settings.Sets {
			l.newChoices[i/l.settings.Experts][i%l.settings.Experts] += n
		}
	}
}

// updateDemand adds the choices since the last update to the estimated demand.
func (l *leader) updateDemand() {
	if l.newChoices == nil {
		return
	}
	shifts := l.demand.Shifts()
	l.demand = l.demand.With(l.newChoices)
	l.newChoices = nil
	if l.demand.Shifts() != shifts {
		l.log.Info().Int("shifts", l.demand.Shifts()).Msg("demand for experts shifted")
	}
}

// allReportsFresh returns whether every rank of the group has a fresh report, and all of them
// are of the same epoch (formation of the group).
func (l *leader) allReportsFresh(now time.Time) bool {
	size := 0
	for _, r := range l.ranks {
		size = max(size, r.rank.Size)
	}
	if size == 0 || len(l.ranks) < size {
		return false
	}
	epoch, maxAge := l.ranks[0].rank.View.Epoch, l.schedule().maxReportAge()
	for i := range size {
		r, ok := l.ranks[i]
		if !ok || r.rank.Down || now.Sub(r.receivedAt) > maxAge || r.rank.View.Epoch != epoch {
			return false
		}
	}
	return true
}

// updateRanks gives the scheduler the ranks that accept requests: all ranks of the newest epoch if
// the group is open, none if it is closed. The group is open if there are fresh reports and all
// of them say so. A change is announced at once.
func (l *leader) updateRanks(now time.Time) {
	epoch, open, fresh := int64(0), true, 0
	size := 0
	for _, r := range l.ranks {
		if r.rank.View.Epoch > epoch {
			epoch, size = r.rank.View.Epoch, r.rank.Size
		}
	}
	for i := range l.ranks {
		if size > 0 && i >= size {
			delete(l.ranks, i) // the group was formed again with fewer ranks
		}
	}
	zones, maxAge := l.zones(), l.schedule().maxReportAge()
	var usable []rankscheduler.Rank
	for _, i := range sortedRanks(l.ranks) {
		r := l.ranks[i]
		if r.rank.Down && r.rank.View.Epoch < epoch {
			continue // the group was formed again without it
		}
		if now.Sub(r.receivedAt) < maxAge {
			fresh++
			open = open && r.rank.Open && !r.rank.Down
		}
		if r.rank.View.Epoch == epoch {
			usable = append(usable, rankscheduler.Rank{Engine: r.rank.Engine, Zone: zones[r.rank.Engine], Slots: l.settings.Slots, Active: r.rank.Active + r.rank.Queued, Slowdown: r.rank.Slowdown})
		}
	}
	open = open && fresh > 0
	if !l.discovered {
		l.updateDiscovered(now, fresh)
	}
	if open != l.open {
		l.open, l.outages = open, l.outages.withState(now, open)
		l.log.Info().Bool("open", open).Int64("epoch", epoch).Int("ranks", len(usable)).Dur("opens_in", l.outages.opensIn(now)).Msg("group state changed")
		l.announceChange()
	}
	if !open {
		usable = nil
	}
	l.updatePace(now)
	l.scheduler.SetRanks(now, usable)
	if bound := l.scheduler.RequestBound(); bound != l.requestBound {
		l.log.Info().Int("bound", bound).Int("before", l.requestBound).Int("running", l.scheduler.Running()).Int("waiting", l.scheduler.Waiting()).
			Float64("skew", l.skew).Float64("margin", l.scheduler.Margin()).Dur("pass", l.passDurations.mean).Msg("bound of running requests by the pace of the group changed")
		l.requestBound = bound
	}
	if limited := l.scheduler.LimitedEngines(); !slices.Equal(limited, l.limitedEngines) {
		l.log.Info().Strs("limited", limited).Strs("before", l.limitedEngines).Msg("set of ranks with a rate limit changed")
		l.limitedEngines = limited
	}
	if zones := l.scheduler.EvacuatedZones(); !slices.Equal(zones, l.evacuatedZones) {
		l.log.Warn().Strs("zones", zones).Strs("before", l.evacuatedZones).Msg("set of evacuated zones changed; their ranks get no requests")
		l.evacuatedZones = zones
	}
	if slow := l.scheduler.SlowEngines(); !slices.Equal(slow, l.slowEngines) {
		l.log.Info().Strs("slow", slow).Strs("before", l.slowEngines).Msg("set of ranks too slow for requests changed")
		l.slowEngines = slow
		l.announceChange()
	}
}

// updatePace tells the scheduler what decides the duration of passes: the published costs, and the skew of the
// experts' load under the map in force.
func (l *leader) updatePace(now time.Time) {
	if l.settings.RequestPassMS <= 0 || !l.scheduler.NeedsSkew() {
		return
	}
	l.scheduler.SetEngine(newPaceEngine(l.settings))
	shares := l.demand.Shares()
	if shares == nil || !l.open {
		return
	}
	if current, ok := l.currentLayouts(); ok {
		l.skew = l.meanSkew(current, shares, l.measuredSpeeds())
		l.scheduler.RecordSkew(now, l.meanSkew(current, shares, nil), l.skew)
	}
}

// newPaceEngine returns the costs of a pass from the published parameters of an engine.
func newPaceEngine(e routes.Engine) pace.Engine {
	milliseconds := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	engine := pace.Engine{Idle: milliseconds(e.IdlePassMS), PerRequest: milliseconds(e.RequestPassMS), ExpertShare: e.ExpertShare}
	if e.PromptTokensPerSecond > 0 {
		engine.Prompt = time.Duration(e.UsualPromptTokens / e.PromptTokensPerSecond * float64(time.Second))
	}
	return engine
}

// updateDiscovered sets discovered when there are fresh reports of nearly all ranks, or the time for that is
// over. The daemon of the last leader may be gone, and a few reports lost. The next announcement then goes
// to all daemons at once.
func (l *leader) updateDiscovered(now time.Time, fresh int) {
	size := 0
	for _, r := range l.ranks {
		size = max(size, r.rank.Size)
	}
	overdue := now.Sub(l.startedAt) >= discoveryGracePeriod+discoveryPerRank*time.Duration(size)
	if l.discovered = overdue || (size > 0 && fresh >= size-1-size/maxMissingShare); l.discovered {
		l.log.Info().Int("ranks", fresh).Int("size", size).Dur("took", now.Sub(l.startedAt)).Msg("ranks of the group discovered")
		l.announcedAt = time.Time{}
	}
}

// minPassDuration returns the minimum duration of a pass, which is that of a pass without requests
// at the slowest rank, since all ranks wait for it.
func (l *leader) minPassDuration(now time.Time) time.Duration {
	slowdown, maxAge := 1.0, l.schedule().maxReportAge()
	for _, r := range l.ranks {
		if now.Sub(r.receivedAt) < maxAge {
			slowdown = max(slowdown, r.rank.Slowdown)
		}
	}
	return time.Duration(l.settings.IdlePassMS * slowdown * float64(time.Millisecond))
}

// zones returns the availability zones of the group's engines, by engine.
func (l *leader) zones() map[string]string {
	zones := map[string]string{l.config.Self.Engine: l.config.Self.Zone}
	for _, h := range l.config.Mesh.Known(mesh.RoleTarget) {
		zones[h.Engine] = h.Zone
	}
	return zones
}

func sortedRanks(ranks map[int]rankReport) []int {
	order := make([]int, 0, len(ranks))
	for i := range ranks {
		order = append(order, i)
	}
	slices.Sort(order)
	return order
}
