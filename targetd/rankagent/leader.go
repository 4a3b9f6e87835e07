package rankagent

import (
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/expertlayout"
	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/popularity"
	"camphormill.dev/parts/rankscheduler"
	"camphormill.dev/parts/routes"
)

const (
	// baseAnnounceInterval is the interval between the leader's announcements, about a third of
	// baseLeaderTimeout. announceIntervalPerRank is added for each rank of the group.
	baseAnnounceInterval    = 150 * time.Millisecond
	announceIntervalPerRank = 2 * time.Millisecond
	// maxAnnounceInterval bounds the interval. Entries may miss one announcement.
	maxAnnounceInterval = 400 * time.Millisecond
	// rareAnnouncements is the number of these intervals between two announcements of a large group's leader to a host
	// that knows by other signs that it leads, or that would claim the leadership only after others.
	rareAnnouncements = 2
	// directReadInterval is the interval at which the leader reads the engine of a rank whose daemon is
	// silent. Reading a remote engine has a cost.
	directReadInterval = 250 * time.Millisecond
	// maxDirectReads bounds the direct reads that go on at a time, and maxDirectReadsPerTick those that begin in a tick.
	// If many ranks seem silent at once, it may be the leader that is late.
	maxDirectReads        = 64
	maxDirectReadsPerTick = 6
	// otherGroupReadInterval is the interval for an engine that belonged to another group. Groups
	// are formed again rarely, and the daemon of a rank that has joined reports by itself.
	otherGroupReadInterval = 10 * time.Second
	// longPassThreshold is the mean pass duration above which tightSkewTarget applies. It is half
	// of the longest pause between events that users accept.
	longPassThreshold = 60 * time.Millisecond
	// tightSkewTarget replaces a higher Config.SkewTarget when passes are long or the group is
	// larger than largeGroupSize. The experts of a large group are small and many, and its passes
	// have no spare time to absorb a shift of demand.
	tightSkewTarget = 1.15
	// discoveryGracePeriod is how long a new leader may take to receive the first reports of all ranks,
	// with discoveryPerRank for each of them. Until then it does not announce itself to entries.
	discoveryGracePeriod = 400 * time.Millisecond
	discoveryPerRank     = 3 * time.Millisecond
	// maxMissingShare is the reciprocal of the share of the ranks whose reports may be missing.
	maxMissingShare = 32
	// minSkewGain is the least reduction of skew, averaged over the sets of layers, for which a
	// switch starts. For a smaller reduction, copying weights slows passes more than the new map
	// speeds them up.
	minSkewGain = 0.15
	// activationTimeout bounds the wait, after a switch, for ranks that report neither that
	// they are armed nor that they run the new map.
	activationTimeout = time.Second
	// maxTextBytes bounds each text of a slot request, and maxExcludedEngines the engines that it excludes.
	maxTextBytes       = 1024
	maxExcludedEngines = 256
	// fencesPerSwitch is two: one fence to run the switch and one to roll it back.
	fencesPerSwitch = 2
)

// leader is the state of the daemon that leads a group. The methods isSuperseded, tick, handle,
// handleReport, handleOrderResult, placeRequest, releaseRequest, readEngine and orderDirectly
// lock mu, some through a method that they call, and are safe for concurrent use. For all other
// methods the caller holds mu.
type leader struct {
	config       Config
	group        string
	ownRank      int
	size         int // number of ranks
	settings     routes.Engine
	knownLayouts *layoutStore
	log          zerolog.Logger

	mu             sync.Mutex         // guards the fields below
	claimFence     mapswitch.Fence    // fence of this leader's claim
	nextFence      mapswitch.Fence    // fence of the next switch
	superseded     bool               // a rank or an engine has seen a higher fence than this leader's
	retireAt       time.Time          // end of the time after a successor's claim; zero without one
	discovered     bool               // the states of all ranks are known, or the time for that is over
	ranks          map[int]rankReport // latest report by rank
	scheduler      *rankscheduler.Scheduler
	requesterHosts map[string]string // host by request ID
	demand         popularity.Estimate
	newChoices     [][]float64          // choices since the last update of demand, by set and expert
	announcedAt    time.Time            // of the last announcement; zero makes the next one due
	announceNext   int                  // index of the host that a large group's leader considers next
	announcedTo    map[string]time.Time // last announcement by host name
	heardAt        map[string]time.Time // last message that shows a host that this daemon leads, by host name
	open           bool                 // the group accepts requests
	outages        outages
	slowEngines    []string // engines that are too slow to receive requests
	limitedEngines []string // engines that name a rate limit
	requestBound   int      // requests that may run by the pace of the group; 0: no bound
	evacuatedZones []string // zones whose engines get no requests

	current     *mapswitch.Switch   // nil between two switches
	layout      expertlayout.Layout // of the current or last switch
	layoutMap   mapswitch.Version   // map with layout
	layoutEpoch int64
	changes     expertlayout.Changes // that lead from the map in force to layout
	orderLink   linkShare            // use of the leader's link by prepare orders
	phaseStart  time.Time
	phase       mapswitch.Phase   // phase of the current switch that began at phaseStart
	holdStart   time.Time         // when the pass that the current switch holds was to be chosen
	holdTook    time.Duration     // usual time from then until it is released
	sentOrders  map[int]sentOrder // last order of the phase that was sent, by rank
	// orderedRanks holds the ranks of the orders that were sent in the phase, by order ID.
	orderedRanks map[int64]int
	lastOrderID  int64
	planning     bool // a plan of the next map is being made, or waits in planned
	planned      *finishedPlan
	futile       planInput // of the last plan that gained too little
	futileSkew   float64   // under futile
	plannedSkew  float64   // expected skew under layouts, mean over the sets of layers
	// awaitedMap is the map of the last switch, 0 if that was rolled back. Until every rank has
	// begun a pass under it, reported layouts may still be those of the old map.
	awaitedMap    mapswitch.Version
	switchEndedAt time.Time
	rolledBack    int // switches that were rolled back one after the other
	startedAt     time.Time
	passDurations passDurations
	skew          float64 // of the experts' load under the map in force, as last known; mean over the sets
	workload      workload
	directReads   int                  // that are going on
	directReadAt  map[string]time.Time // start of the last direct read, by host name
	otherGroup    map[string]bool      // hosts whose engines belonged to another group at the last direct read, by name
}

func newLeader(c Config, group string, rank, size int, fence mapswitch.Fence, settings routes.Engine, layouts *layoutStore) *leader {
	return &leader{
		config: c, group: group, ownRank: rank, size: size, settings: settings, knownLayouts: layouts, orderLink: linkShare{bytesPerSecond: orderLinkShare * c.LinkBytesPerSecond}, claimFence: fence, nextFence: fence, ranks: map[int]rankReport{}, scheduler: rankscheduler.New(c.Admission),
		requesterHosts: map[string]string{}, sentOrders: map[int]sentOrder{}, orderedRanks: map[int64]int{}, announcedTo: map[string]time.Time{}, heardAt: map[string]time.Time{}, directReadAt: map[string]time.Time{}, otherGroup: map[string]bool{}, startedAt: c.Now(), log: c.Log.With().Int64("fence", int64(fence)).Str("group", group).Logger(),
	}
}

func (l *leader) isSuperseded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.superseded
}

// retire makes the leader give no more orders and send no more announcements, because another daemon has
// claimed the leadership. For retireTime at most it goes on assigning requests to the ranks as it last knew
// them, while its successor learns their states.
func (l *leader) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retireAt.IsZero() {
		l.retireAt = l.config.Now().Add(retireTime)
		l.current = nil
	}
}

func (l *leader) isRetiring() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.retireAt.IsZero()
}

// hasRetired reports whether the time after a successor's claim is over.
func (l *leader) hasRetired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.retireAt.IsZero() && l.config.Now().After(l.retireAt)
}

// tick runs the leader's periodic work. The agent calls it at each readInterval.
func (l *leader) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	if !l.retireAt.IsZero() {
		l.sendDecisions(l.scheduler.Dispatch(now))
		return
	}
	l.readSilentEngines(now)
	l.updateRanks(now)
	l.announce(now)
	l.sendDecisions(l.scheduler.Dispatch(now))
	l.sendDecisions(l.scheduler.MoveOffSlowRanks(now))
	l.releaseOrphanedHolds(now)
	l.updateDemand()
	l.useFinishedPlan()
	if l.current == nil {
		l.planSwitch(now)
	}
	l.advanceSwitch(now)
	l.workload = l.workload.withTick(now, l.config.Now())
	l.logWorkload(now)
}

// sendPaced sends what the leader spreads over time. The agent calls it at each paceInterval between two ticks.
func (l *leader) sendPaced() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.retireAt.IsZero() {
		return
	}
	if len(l.ranks) > largeGroupSize {
		l.announceToSome()
	}
	l.useFinishedPlan()
	l.advanceSwitch(l.config.Now())
}

// announce tells all daemons which daemon leads the group, if the announcement is due. The leader of a
// large group announces itself to all only at first, and when it knows the ranks.
func (l *leader) announce(now time.Time) {
	first := l.announcedAt.IsZero()
	if !first && (len(l.ranks) > largeGroupSize || now.Sub(l.announcedAt) < l.announceInterval()) {
		return
	}
	l.announcedAt = now
	l.announceTo(l.announcedHosts())
}

// announceInterval returns the interval between the announcements to the same host.
func (l *leader) announceInterval() time.Duration {
	return min(baseAnnounceInterval+announceIntervalPerRank*time.Duration(len(l.ranks)), maxAnnounceInterval)
}

// announceToSome announces the leader of a large group to the hosts that should hear it again, but not to all of
// them at once.
func (l *leader) announceToSome() {
	now := l.config.Now()
	hosts := l.announcedHosts()
	if len(hosts) == 0 {
		return
	}
	if len(l.announcedTo) > 2*len(hosts) || len(l.heardAt) > 2*len(hosts) { // hosts that are gone
		clear(l.announcedTo)
		clear(l.heardAt)
	}
	rare := l.rarelyAnnounced()
	steps := max(int(l.announceInterval()/paceInterval*4/5), 1) // one in five is a tick instead
	most := (len(hosts) + steps - 1) / steps
	var due []mesh.Host
	for range hosts {
		if l.announceNext = (l.announceNext + 1) % len(hosts); len(due) < most && l.announcementDue(now, hosts[l.announceNext].Name, rare) {
			due = append(due, hosts[l.announceNext])
		}
		if len(due) == most {
			break
		}
	}
	l.announceTo(due)
}

// announcementDue reports whether a host should hear the leader again. An answered request is a sign of the leader
// too, but says less than an announcement.
func (l *leader) announcementDue(now time.Time, host string, rare map[string]bool) bool {
	interval := l.announceInterval()
	if rare[host] {
		return now.Sub(l.announcedTo[host]) >= rareAnnouncements*interval
	}
	return now.Sub(l.heardAt[host]) >= interval || now.Sub(l.announcedTo[host]) >= rareAnnouncements*interval
}

// rarelyAnnounced returns the hosts of the ranks that are not among the first to claim the leadership.
func (l *leader) rarelyAnnounced() map[string]bool {
	rare := make(map[string]bool, len(l.ranks))
	for rank, r := range l.ranks {
		rare[r.host] = claimPosition(l.size, rank, l.ownRank) >= maxCandidates
	}
	return rare
}

// announcedHosts returns the hosts to which the leader announces itself. Entries hear of a leader that
// does not know the states of all ranks yet only when it does: they would refuse requests of a group that
// may be open, or send them to the few ranks that the leader knows.
func (l *leader) announcedHosts() []mesh.Host {
	hosts := l.config.Mesh.Known(mesh.RoleTarget)
	if l.discovered {
		hosts = append(hosts, l.config.Mesh.Known(mesh.RoleEntry)...)
	}
	return hosts
}

func (l *leader) announceTo(hosts []mesh.Host) {
	m := mesh.Message{LeaderAnnouncement: &mesh.LeaderAnnouncement{
		Service: l.config.Service, Group: l.group, Fence: l.claimFence, Rank: l.ownRank, Open: l.open, Load: l.scheduler.Load(),
		OpensInMS: int(l.outages.opensIn(l.config.Now()).Milliseconds()), SlowEngines: l.slowEngines, Discovering: !l.discovered,
	}}
	now := l.config.Now()
	for _, h := range hosts {
		l.announcedTo[h.Name], l.heardAt[h.Name] = now, now
	}
	l.config.Mesh.SendToAll(hosts, m)
	l.workload.announcements += len(hosts)
}

// announceChange announces a change at once to those that need it.
func (l *leader) announceChange() {
	if len(l.ranks) > largeGroupSize && l.discovered {
		l.announceTo(l.config.Mesh.Known(mesh.RoleEntry))
		return
	}
	l.announcedAt = time.Time{}
	l.announce(l.config.Now())
}

// handle processes a message from another daemon to the leader.
func (l *leader) handle(from mesh.Host, m mesh.Message) {
	switch {
	case m.RankReport != nil:
		l.handleReport(from.Name, *m.RankReport)
	case m.SlotRequest != nil:
		l.placeRequest(from, *m.SlotRequest)
	case m.SlotRelease != nil:
		l.releaseRequest(*m.SlotRelease)
	case m.OrderResult != nil:
		l.handleOrderResult(*m.OrderResult)
	}
}

// placeRequest assigns a request to a rank, queues it or refuses it. It ignores a request that is larger than any of an entry.
func (l *leader) placeRequest(from mesh.Host, r mesh.SlotRequest) {
	if isOverlong(r) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	for _, named := range r.Limits {
		l.scheduler.SetLimit(now, named.Engine, named.PerSecond)
	}
	l.scheduler.SetEvacuated(now, r.EvacuatedZones)
	_, repeated := l.requesterHosts[r.ID]
	l.workload.slotRequests++
	if repeated {
		l.workload.slotRepeats++
	}
	l.requesterHosts[r.ID] = from.Name
	decision := l.scheduler.Offer(now, newRequest(now, from, r))
	decisions := l.scheduler.TakeDisplaced()
	if repeated && decision.Queued {
		l.sendDecisions(decisions)
		// The host repeats its request for a slot in case the first reply was lost. The first
		// decision has been logged already.
		l.config.Mesh.Send(from.Name, mesh.Message{SlotResponse: &mesh.SlotResponse{ID: r.ID, Wait: true}})
		return
	}
	l.sendDecisions(append(decisions, decision))
}

// newRequest returns the scheduler's request of a slot request that has just arrived.
func newRequest(now time.Time, from mesh.Host, r mesh.SlotRequest) rankscheduler.Request {
	in := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	request := rankscheduler.Request{
		ID: r.ID, Organisation: r.Organisation, Zone: from.Zone, Fingerprint: r.Fingerprint, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
		Exclude: r.ExcludedEngines, Movable: r.Movable, PauseGoal: time.Duration(r.PauseGoalMS) * time.Millisecond, Priority: r.Priority,
		StartBy: in(r.StartInMS), WaitUntil: in(r.LatestInMS),
	}
	if r.EndInMS > 0 {
		request.EndBy = in(r.EndInMS)
	}
	return request
}

// releaseRequest frees the slot of a request that has ended or no longer waits.
func (l *leader) releaseRequest(r mesh.SlotRelease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.requesterHosts, r.ID)
	now := l.config.Now()
	l.scheduler.RecordPause(now, r.ID, time.Duration(r.LongestPauseMS)*time.Millisecond)
	l.sendDecisions(l.scheduler.Release(now, r.ID))
}

// sendDecisions logs decisions and sends them to the hosts that requested the slots.
func (l *leader) sendDecisions(decisions []rankscheduler.Decision) {
	now := l.config.Now()
	for _, d := range decisions {
		host, ok := l.requesterHosts[d.ID]
		if !ok {
			continue
		}
		reply := mesh.SlotResponse{ID: d.ID, Engine: d.Engine, Wait: d.Queued, Moved: d.Moved}
		if d.Engine == "" && !d.Queued { // the request is refused
			reply.RetryAfterMS = int(l.retryIn(now, d).Milliseconds())
			delete(l.requesterHosts, d.ID)
		}
		l.log.Info().Str("request", d.ID).Str("engine", d.Engine).Bool("wait", d.Queued).Bool("moved", d.Moved).Int("return_in_ms", reply.RetryAfterMS).
			Int("running", l.scheduler.Running()).Int("waiting", l.scheduler.Waiting()).Msg("request placement decided")
		l.heardAt[host] = now
		l.config.Mesh.Send(host, mesh.Message{SlotResponse: &reply})
	}
	l.forgetEndedRequests()
}

// forgetEndedRequests forgets who requested the slots that were freed without a release, which may have been lost.
func (l *leader) forgetEndedRequests() {
	if len(l.requesterHosts) <= l.scheduler.Running()+l.scheduler.Waiting() {
		return
	}
	maps.DeleteFunc(l.requesterHosts, func(id, _ string) bool { return !l.scheduler.Holds(id) })
}

// isOverlong reports whether a slot request is larger than any of an entry.
func isOverlong(r mesh.SlotRequest) bool {
	if len(r.ExcludedEngines) > maxExcludedEngines {
		return true
	}
	for _, text := range append([]string{r.ID, r.Organisation, r.Service}, r.ExcludedEngines...) {
		if len(text) > maxTextBytes {
			return true
		}
	}
	return false
}

// retryIn returns when a refused request should be retried, which is not before the group should be
// open.
func (l *leader) retryIn(now time.Time, d rankscheduler.Decision) time.Duration {
	return max(d.RetryAt.Sub(now), l.outages.opensIn(now), 0)
}

// ClaimFence returns the fence of claim number n; later claims have higher numbers. It leaves
// enough fences below that of the next claim for the switches of this leader.
func ClaimFence(n int64) mapswitch.Fence {
	const fencesPerClaim = 1_000_000 // enough for five days of one switch a second
	return mapswitch.Fence((n + 1) * fencesPerClaim)
}
