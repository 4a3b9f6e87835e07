package rankagent

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/popularity"
	"camphormill.dev/parts/rankscheduler"
	"camphormill.dev/parts/routes"
)

const (
	// announceInterval is the interval between the leader's announcements, about a third of
	// baseLeaderTimeout. announceIntervalPerRank is added for each rank of the group.
	announceInterval        = 150 * time.Millisecond
	announceIntervalPerRank = 2 * time.Millisecond
	// relayFanout is the number of ranks that one prepare message serves: its receiver and the
	// ranks to which the receiver relays the order. In a large group the leader's link would
	// take too long to send a message to every rank.
	relayFanout = 8
	// maxReportAge is the age up to which a rank's report counts as fresh. Decisions that
	// need all ranks require fresh reports.
	maxReportAge = 600 * time.Millisecond
	// directReadAfter is the time without a report after which the leader reads a rank's
	// engine itself, and directReadInterval the interval between such reads. Reading a remote
	// engine has a cost.
	directReadAfter    = 300 * time.Millisecond
	directReadInterval = 250 * time.Millisecond
	// otherGroupReadInterval is the interval for an engine that belonged to another group. Groups
	// are formed again rarely, and the daemon of a rank that has joined reports by itself.
	otherGroupReadInterval = 10 * time.Second
	// orderRetryInterval is the time after which an unanswered order is sent again.
	orderRetryInterval = 60 * time.Millisecond
	// prepareRetryInterval is the time after which an unanswered prepare order is sent again.
	// Copying the weights takes some tenths of a second.
	prepareRetryInterval = 400 * time.Millisecond
	// directOrderAfter is the time after which the leader sends an unanswered order directly
	// to the engine, because the daemon in between may be down.
	directOrderAfter = 200 * time.Millisecond
	// prepareTimeout bounds the copying of weights for one switch.
	prepareTimeout = 2500 * time.Millisecond
	// holdTimeout bounds the Holding and the Arming phase of a switch, in which the group may
	// have to wait until all ranks are armed.
	holdTimeout = 500 * time.Millisecond
	// longPassThreshold is the mean pass duration above which tightSkewTarget applies. It is half
	// of the longest pause between events that users accept.
	longPassThreshold = 60 * time.Millisecond
	// tightSkewTarget replaces a higher Config.SkewTarget when passes are long or the group is
	// larger than largeGroupSize. The experts of a large group are small and many, and its passes
	// have no spare time to absorb a shift of demand.
	tightSkewTarget = 1.15
	// discoveryGracePeriod is how long a new leader may take to receive the first reports.
	// Until then it does not announce to entries that the group is closed.
	discoveryGracePeriod = 400 * time.Millisecond
	// minSkewGain is the least reduction of skew, averaged over the sets of layers, for which a
	// switch starts. For a smaller reduction, copying weights slows passes more than the new map
	// speeds them up.
	minSkewGain = 0.15
	// activationTimeout bounds the wait, after a switch, for ranks that report neither that
	// they are armed nor that they run the new map.
	activationTimeout = time.Second
	// fencesPerSwitch is two: one fence to run the switch and one to roll it back.
	fencesPerSwitch = 2
)

// leader is the state of the daemon that leads a group. The methods isSuperseded, tick, handle,
// handleReport, handleOrderResult, placeRequest, releaseRequest, readEngine and orderDirectly
// lock mu, some through a method that they call, and are safe for concurrent use. For all other
// methods the caller holds mu.
type leader struct {
	config   Config
	group    string
	settings routes.Engine
	log      zerolog.Logger

	mu             sync.Mutex         // guards the fields below
	claimFence     mapswitch.Fence    // fence of this leader's claim
	nextFence      mapswitch.Fence    // fence of the next switch
	superseded     bool               // a rank or an engine has seen a higher fence than this leader's
	ranks          map[int]rankReport // latest report by rank
	scheduler      *rankscheduler.Scheduler
	requesterHosts map[string]string // host by request ID
	demand         popularity.Estimate
	newChoices     [][]float64 // choices since the last update of demand, by set and expert
	announcedAt    time.Time   // of the last announcement; zero makes the next one due
	open           bool        // the group accepts requests
	outages        outages
	slowEngines    []string // engines that are too slow to receive requests
	limitedEngines []string // engines that name a rate limit

	current        *mapswitch.Switch // nil between two switches
	layouts        [][][]int         // layouts of the current switch, by set and rank
	encodedLayouts []byte            // layouts, by mesh.EncodeLayout
	phaseStart     time.Time
	phase          mapswitch.Phase   // phase of the current switch that began at phaseStart
	sentOrders     map[int]sentOrder // last order of the phase that was sent, by rank
	lastOrderID    int64
	plannedSkew    float64 // expected skew under layouts, mean over the sets of layers
	// awaitedMap is the map of the last switch, 0 if that was rolled back. Until every rank has
	// begun a pass under it, reported layouts may still be those of the old map.
	awaitedMap    mapswitch.Version
	switchEndedAt time.Time
	startedAt     time.Time
	passDurations passDurations
	directReadAt  map[string]time.Time // start of the last direct read, by host name
	otherGroup    map[string]bool      // hosts whose engines belonged to another group at the last direct read, by name
}

func newLeader(c Config, group string, fence mapswitch.Fence, settings routes.Engine) *leader {
	return &leader{
		config: c, group: group, settings: settings, claimFence: fence, nextFence: fence, ranks: map[int]rankReport{}, scheduler: rankscheduler.New(),
		requesterHosts: map[string]string{}, sentOrders: map[int]sentOrder{}, directReadAt: map[string]time.Time{}, otherGroup: map[string]bool{}, startedAt: c.Now(), log: c.Log.With().Int64("fence", int64(fence)).Str("group", group).Logger(),
	}
}

func (l *leader) isSuperseded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.superseded
}

// tick runs the leader's periodic work. The agent calls it at each readInterval.
func (l *leader) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	l.announce(now)
	l.readSilentEngines(now)
	l.updateRanks(now)
	l.sendDecisions(l.scheduler.Dispatch(now))
	l.sendDecisions(l.scheduler.MoveOffSlowRanks(now))
	l.releaseOrphanedHolds(now)
	l.updateDemand()
	if l.current == nil {
		l.planSwitch(now)
	}
	l.advanceSwitch(now)
}

// announce tells all daemons which daemon leads the group, if the announcement is due.
func (l *leader) announce(now time.Time) {
	if now.Sub(l.announcedAt) < announceInterval+announceIntervalPerRank*time.Duration(len(l.ranks)) {
		return
	}
	l.announcedAt = now
	m := mesh.Message{LeaderAnnouncement: &mesh.LeaderAnnouncement{Service: l.config.Service, Group: l.group, Fence: l.claimFence, Open: l.open, Load: l.scheduler.Load(), OpensInMS: int(l.outages.opensIn(now).Milliseconds()), SlowEngines: l.slowEngines}}
	roles := []mesh.Role{mesh.RoleTarget, mesh.RoleEntry}
	if !l.open && !l.hasBeenOpen() && now.Sub(l.startedAt) < discoveryGracePeriod {
		roles = roles[:1] // entries would refuse requests of a group that may be open
	}
	for _, role := range roles {
		for _, h := range l.config.Mesh.Known(role) {
			l.config.Mesh.Send(h.Name, m)
		}
	}
}

// hasBeenOpen reports whether this leader has seen its group open.
func (l *leader) hasBeenOpen() bool { return l.open || !l.outages.closedAt.IsZero() }

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

// placeRequest assigns a request to a rank, queues it or refuses it.
func (l *leader) placeRequest(from mesh.Host, r mesh.SlotRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	for _, named := range r.Limits {
		l.scheduler.SetLimit(now, named.Engine, named.PerSecond)
	}
	_, repeated := l.requesterHosts[r.ID]
	l.requesterHosts[r.ID] = from.Name
	decision := l.scheduler.Offer(now, rankscheduler.Request{
		ID: r.ID, Organisation: r.Organisation, Zone: from.Zone, Fingerprint: r.Fingerprint, PromptTokens: r.PromptTokens, Exclude: r.ExcludedEngines, Movable: r.Movable,
		StartBy:   now.Add(time.Duration(r.StartInMS) * time.Millisecond),
		WaitUntil: now.Add(time.Duration(r.LatestInMS) * time.Millisecond),
	})
	if repeated && decision.Queued {
		// The host repeats its request for a slot in case the first reply was lost. The first
		// decision has been logged already.
		l.config.Mesh.Send(from.Name, mesh.Message{SlotResponse: &mesh.SlotResponse{ID: r.ID, Wait: true}})
		return
	}
	l.sendDecisions([]rankscheduler.Decision{decision})
}

// releaseRequest frees the slot of a request that has ended or no longer waits.
func (l *leader) releaseRequest(r mesh.SlotRelease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.requesterHosts, r.ID)
	l.sendDecisions(l.scheduler.Release(l.config.Now(), r.ID))
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
		l.config.Mesh.Send(host, mesh.Message{SlotResponse: &reply})
	}
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
