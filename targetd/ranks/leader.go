package ranks

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/popularity"
	"camphormill.dev/parts/rankload"
	"camphormill.dev/parts/routes"
)

const (
	// leadEvery is how often a leader says that it leads, a third of leadSilence,
	// and leadEveryRank how much less often for each rank.
	leadEvery     = 150 * time.Millisecond
	leadEveryRank = 2 * time.Millisecond
	// relayRanks is how many ranks get a prepare from one other rank; the leader's
	// link would take too long for a large group.
	relayRanks = 8
	// rankAge is how old the word of a rank may be for a decision that needs all.
	rankAge = 600 * time.Millisecond
	// farAfter is how long a rank's daemon may be silent before the leader reads
	// its engine itself, and farEvery how often it does; such reads are paid for.
	farAfter = 300 * time.Millisecond
	farEvery = 250 * time.Millisecond
	// repeatAfter is when an order without an answer is sent again.
	repeatAfter = 60 * time.Millisecond
	// copyRepeat is when a prepare is sent again; its copies take some tenths.
	copyRepeat = 400 * time.Millisecond
	// directAfter is when an order goes straight to the engine, past silent
	// daemons.
	directAfter = 200 * time.Millisecond
	// prepareTime bounds the copies of one switch.
	prepareTime = 2500 * time.Millisecond
	// holdTime bounds how long the group may wait for all ranks to be armed.
	holdTime = 500 * time.Millisecond
	// longPass is when passes are so long that layouts are evened out as far as
	// they can: half of the pause between events that users allow.
	longPass = 60 * time.Millisecond
	// evenSkew takes the place of the usual target then, and always in a large group:
	// its experts are small and many, and a drift finds passes that leave no room.
	evenSkew = 1.15
	// learnTime is how long a new leader may take to hear of its ranks; until then
	// it does not tell entries that the group is closed.
	learnTime = 400 * time.Millisecond
	// worthwhile is by how much a switch must lower the skew, below which copies
	// slow passes more than they help.
	worthwhile = 0.15
	// arrivalTime bounds the wait, after a switch, for ranks that do not say that
	// they are armed for it nor that it is in force.
	arrivalTime = time.Second
	// fencesASwitch: one to lead it, one to undo it.
	fencesASwitch = 2
)

// leader is what the leading daemon of a group keeps. It is safe for concurrent
// use.
type leader struct {
	config Config
	group  string
	shape  routes.Engine
	log    zerolog.Logger

	mu       sync.Mutex
	fence    mapswitch.Fence // of the claim
	next     mapswitch.Fence // of the next switch
	fenced   bool
	ranks    map[int]rankState
	placer   *rankload.Placer
	askers   map[string]string // hosts by request
	demand   popularity.Estimate
	gathered [][]float64
	told     time.Time
	open     bool
	slow     []string // engines that should get no request

	current  *mapswitch.Switch
	layouts  [][][]int // of the current switch, by set and rank
	encoded  []byte
	phaseAt  time.Time
	phase    mapswitch.Phase
	orders   map[int]sent
	orderID  int64
	plannedS float64
	// awaited is the map of the last switch until every rank has begun a pass
	// under it; before that the layouts told are those of the old map.
	awaited mapswitch.Version
	awaitAt time.Time
	began   time.Time
	pace    passPace
	farRead map[string]time.Time // by host
}

func newLeader(c Config, group string, fence mapswitch.Fence, shape routes.Engine) *leader {
	return &leader{
		config: c, group: group, shape: shape, fence: fence, next: fence, ranks: map[int]rankState{}, placer: rankload.New(),
		askers: map[string]string{}, orders: map[int]sent{}, farRead: map[string]time.Time{}, began: c.Now(), log: c.Log.With().Int64("fence", int64(fence)).Str("group", group).Logger(),
	}
}

func (l *leader) deposed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fenced
}

// tick does what is due.
func (l *leader) tick() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	l.tell(now)
	l.readFar(now)
	l.updateRanks(now)
	l.send(l.placer.Next(now))
	l.send(l.placer.Vacate(now))
	l.watchHeld(now)
	l.demandNow()
	if l.current == nil {
		l.plan(now)
	}
	l.proceed(now)
}

// tell says to all daemons who leads.
func (l *leader) tell(now time.Time) {
	if now.Sub(l.told) < leadEvery+leadEveryRank*time.Duration(len(l.ranks)) {
		return
	}
	l.told = now
	m := mesh.Message{Lead: &mesh.Lead{Service: l.config.Service, Group: l.group, Fence: l.fence, Open: l.open, Slow: l.slow}}
	roles := []mesh.Role{mesh.Target, mesh.Entry}
	if !l.open && now.Sub(l.began) < learnTime {
		roles = roles[:1] // entries would refuse requests of a group that may be open
	}
	for _, role := range roles {
		for _, h := range l.config.Mesh.Known(role) {
			l.config.Mesh.Send(h.Name, m)
		}
	}
}

func (l *leader) handle(from mesh.Host, m mesh.Message) {
	switch {
	case m.Rank != nil:
		l.takeRank(from.Name, *m.Rank)
	case m.Ask != nil:
		l.ask(from, *m.Ask)
	case m.Release != nil:
		l.release(*m.Release)
	case m.Ordered != nil:
		l.ordered(*m.Ordered)
	}
}

// ask gives a request its place.
func (l *leader) ask(from mesh.Host, a mesh.Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	_, again := l.askers[a.ID]
	l.askers[a.ID] = from.Name
	v := l.placer.Offer(now, rankload.Request{
		ID: a.ID, Organisation: a.Organisation, Zone: from.Zone, Fingerprint: a.Fingerprint, Prompt: a.Prompt, Not: a.Not, Movable: a.Movable,
		StartBy: now.Add(time.Duration(a.StartInMS) * time.Millisecond),
		Latest:  now.Add(time.Duration(a.LatestInMS) * time.Millisecond),
	})
	if again && v.Wait {
		// It asks again in case the first word was lost; the log has it.
		l.config.Mesh.Send(from.Name, mesh.Message{Verdict: &mesh.Verdict{ID: a.ID, Wait: true}})
		return
	}
	l.send([]rankload.Verdict{v})
}

func (l *leader) release(r mesh.Release) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.askers, r.ID)
	l.send(l.placer.Release(l.config.Now(), r.ID))
}

func (l *leader) send(verdicts []rankload.Verdict) {
	now := l.config.Now()
	for _, v := range verdicts {
		host, ok := l.askers[v.ID]
		if !ok {
			continue
		}
		answer := mesh.Verdict{ID: v.ID, Engine: v.Engine, Wait: v.Wait, Moved: v.Moved}
		if v.Engine == "" && !v.Wait {
			answer.ReturnInMS = int(max(v.Return.Sub(now), 0).Milliseconds())
			delete(l.askers, v.ID)
		}
		l.log.Info().Str("request", v.ID).Str("engine", v.Engine).Bool("wait", v.Wait).Bool("moved", v.Moved).Int("return_in_ms", answer.ReturnInMS).
			Int("running", l.placer.Running()).Int("waiting", l.placer.Waiting()).Msg("place decided")
		l.config.Mesh.Send(host, mesh.Message{Verdict: &answer})
	}
}

// Fence returns the fence of the n-th claim: room is left below the next one
// for the switches of its leader.
func Fence(n int64) mapswitch.Fence {
	const switchesAClaim = 1_000_000 // years of one a second would not exceed it in days of service
	return mapswitch.Fence((n + 1) * switchesAClaim)
}
