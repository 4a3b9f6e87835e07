package relay

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
)

const (
	// groupTTL is the time after its leader's last announcement from which a group is forgotten.
	groupTTL = time.Minute
	// leaderTimeout is the time after its last announcement from which a leader is not
	// asked any more.
	leaderTimeout = 900 * time.Millisecond
	// slotRequestInterval is the least time after which a slot request without a response is
	// sent again. It covers several round trips.
	slotRequestInterval = 25 * time.Millisecond
	// maxSlotWait is how long a call waits for a response before the entry decides alone.
	maxSlotWait = 75 * time.Millisecond
	// slowAnswerFactor is the multiple of a leader's usual answer time after which a slot request is sent again.
	// Repeats to a leader that answers late, because it has too much to do, would keep it late.
	slowAnswerFactor = 3
	// maxAnswerTimes bounds the leaders whose answer times are kept.
	maxAnswerTimes = 1024
	// answerTimeWeight is the weight of the newest answer in the usual answer time.
	answerTimeWeight = 0.25
	// queuedRequestInterval is the time after which a queued call asks again, in case a
	// response was lost. Most wait for less, and each repeat costs the leader as much as a new call.
	queuedRequestInterval = 400 * time.Millisecond
	// queuedResponseMargin is how long after the latest useful start a response may come.
	queuedResponseMargin = 150 * time.Millisecond
	// groupClosedRetryAfter is the retry-after for a group that may open at any moment: it
	// opens about this long after its last rank is back.
	groupClosedRetryAfter = time.Second
)

// SlotClientConfig holds the dependencies of a SlotClient.
type SlotClientConfig struct {
	Mesh *mesh.Mesh
	Now  func() time.Time
	Log  zerolog.Logger
}

// SlotClient requests slots from the leaders of groups. It is safe for concurrent use.
type SlotClient struct {
	config   SlotClientConfig
	sequence atomic.Int64

	mu      sync.Mutex
	leaders map[string]map[string]groupLeader // by service and group
	groups  int                               // number of leaders
	sweptAt time.Time                         // when silent groups were last looked for
	answers map[string]answerTime             // by the leader's host
	pending map[string]chan mesh.SlotResponse // by ID of the slot request that waits for a response
	held    map[string]*heldSlot              // by ID of the slot request
}

// answerTime is the usual time that a leader takes to answer a slot request. It is immutable.
type answerTime struct{ usual time.Duration }

// with returns the usual time after another answer.
func (a answerTime) with(took time.Duration) answerTime {
	return answerTime{a.usual + time.Duration(answerTimeWeight*float64(took-a.usual))}
}

// repeatAfter returns the time after which a request without an answer is sent again.
func (a answerTime) repeatAfter() time.Duration {
	return min(max(slowAnswerFactor*a.usual, slotRequestInterval), maxSlotWait)
}

// heldSlot is the slot of a running request. Its engine changes when the leader moves the
// request.
type heldSlot struct {
	engine string // address
	// cancelAttempt cancels the running attempt for a move and reports whether it did. It is
	// called under the SlotClient's lock, and is nil if the attempt may not be moved.
	cancelAttempt func() bool
}

type groupLeader struct {
	host        string
	fence       mapswitch.Fence
	open        bool
	load        float64   // share of the group's slots in use or waited for
	opensAt     time.Time // when a closed group is expected to open; may be past
	slowEngines []string  // addresses of engines that should get no requests
	lastHeardAt time.Time
}

// retryAfter returns when a request that a closed group can't serve should come back. Callers that
// come back at the same moment would only be refused again, so they are spread over half of the
// time that is left.
func (g groupLeader) retryAfter(now time.Time) time.Duration {
	left := g.opensAt.Sub(now)
	if left <= 0 {
		return groupClosedRetryAfter
	}
	return left + rand.N(left/2+1)
}

// NewSlotClient returns a SlotClient without known leaders.
func NewSlotClient(c SlotClientConfig) *SlotClient {
	return &SlotClient{config: c, leaders: map[string]map[string]groupLeader{}, answers: map[string]answerTime{}, pending: map[string]chan mesh.SlotResponse{}, held: map[string]*heldSlot{}}
}

// Handle processes a message of a group's leader: its state, a response or a move.
func (c *SlotClient) Handle(from mesh.Host, m mesh.Message) {
	switch {
	case m.LeaderAnnouncement != nil:
		c.recordLeader(from, *m.LeaderAnnouncement)
	case m.SlotResponse != nil && m.SlotResponse.Moved:
		c.moveRequest(*m.SlotResponse)
	case m.SlotResponse != nil:
		c.mu.Lock()
		c.recordSign(from)
		responses, ok := c.pending[m.SlotResponse.ID]
		c.mu.Unlock()
		if ok {
			select {
			case responses <- *m.SlotResponse:
			default: // an unread response is pending; the leader answers the next request again
			}
		}
	}
}

// recordSign records that a leader which answers is there, also if its last announcement was lost. The
// caller holds the lock.
func (c *SlotClient) recordSign(from mesh.Host) {
	for _, groups := range c.leaders {
		for name, leader := range groups {
			if leader.host == from.Name {
				leader.lastHeardAt = c.config.Now()
				groups[name] = leader
			}
		}
	}
}

// moveRequest cancels the attempt of a running request, so that the relay continues it at
// another engine. A repeated message has no effect.
func (c *SlotClient) moveRequest(move mesh.SlotResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.held[move.ID]
	if !ok || s.engine == move.Engine || s.cancelAttempt == nil || !s.cancelAttempt() {
		return
	}
	c.config.Log.Info().Str("request", move.ID).Str("from", s.engine).Str("to", move.Engine).Msg("group leader moved the request to another engine")
	s.engine, s.cancelAttempt = move.Engine, nil
}

// setCancel sets the function that cancels the request's attempt for a move; see heldSlot.
// The relay calls setCancel before each attempt that may be moved.
func (c *SlotClient) setCancel(grant slotGrant, cancelAttempt func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.held[grant.id]; ok {
		s.cancelAttempt = cancelAttempt
	}
}

// currentEngine returns the address of the engine at which the request has its slot now.
func (c *SlotClient) currentEngine(grant slotGrant) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, ok := c.held[grant.id]; ok {
		return s.engine
	}
	return grant.engine
}

// recordLeader records a leader's announcement. It ignores an announcement with a lower
// fencing token than that of the known leader, unless that leader has timed out.
func (c *SlotClient) recordLeader(from mesh.Host, announcement mesh.LeaderAnnouncement) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	if !c.takesGroup(now, announcement) {
		return
	}
	groups := c.leaders[announcement.Service]
	if groups == nil {
		groups = map[string]groupLeader{}
		c.leaders[announcement.Service] = groups
	}
	previous, known := groups[announcement.Group]
	if !known {
		c.groups++
	}
	if announcement.Fence < previous.fence && now.Sub(previous.lastHeardAt) < leaderTimeout {
		return
	}
	if previous.host != from.Name || previous.open != announcement.Open {
		c.config.Log.Info().Str("leader", from.Name).Str("service", announcement.Service).Str("group", announcement.Group).Int64("fence", int64(announcement.Fence)).
			Bool("open", announcement.Open).Msg("leader or state of the group changed")
	}
	groups[announcement.Group] = groupLeader{
		host: from.Name, fence: announcement.Fence, open: announcement.Open, load: announcement.Load, slowEngines: announcement.SlowEngines, lastHeardAt: now,
		opensAt: now.Add(time.Duration(announcement.OpensInMS) * time.Millisecond),
	}
	c.dropSilent(now, groups)
}

// Fenced reports whether a leader with a higher fencing token is known for the group.
func (c *SlotClient) Fenced(service, group string, fence mapswitch.Fence) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fence < c.leaders[service][group].fence
}

// liveLeaders returns the leaders of a service's groups that have not timed out, in the order in
// which to ask them, the open ones first. Of two open groups chosen at random, the less loaded one is
// asked first, so that entries with the same announcements don't all choose the same group. The
// caller holds the lock.
func (c *SlotClient) liveLeaders(service string) []groupLeader {
	now := c.config.Now()
	var open, closed []groupLeader
	for _, leader := range c.leaders[service] {
		switch {
		case now.Sub(leader.lastHeardAt) > leaderTimeout:
		case leader.open:
			open = append(open, leader)
		default:
			closed = append(closed, leader)
		}
	}
	rand.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
	if len(open) > 1 && open[1].load < open[0].load {
		open[0], open[1] = open[1], open[0]
	}
	return append(open, closed...)
}

// closedRetryAfter returns when a request should come back that a target refused because its group
// is closed, or soon will be known to be.
func (c *SlotClient) closedRetryAfter(service string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	leaders := c.liveLeaders(service)
	if len(leaders) == 0 || leaders[0].open {
		return groupClosedRetryAfter
	}
	return soonestRetryAfter(c.config.Now(), leaders)
}

// soonestRetryAfter returns when a request should come back that none of the closed groups can serve.
func soonestRetryAfter(now time.Time, closed []groupLeader) time.Duration {
	soonest := closed[0]
	for _, leader := range closed[1:] {
		if leader.opensAt.Before(soonest.opensAt) {
			soonest = leader
		}
	}
	return soonest.retryAfter(now)
}

// slowEngines returns the addresses of a service's engines that should get no requests, as
// last reported by the leaders of its groups.
func (c *SlotClient) slowEngines(service string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var slow []string
	for _, leader := range c.leaders[service] {
		slow = append(slow, leader.slowEngines...)
	}
	return slow
}

// slotGrant is the result of a slot request. If it has no engine and is not refused, the
// entry chooses the target by itself.
type slotGrant struct {
	id         string // of the slot request
	engine     string // address
	refused    bool
	retryAfter time.Duration // of a refused request
	// release gives the slot back and says what the longest pause of the stream was; it is never nil.
	release func(longestPause time.Duration)
}

// requestSlot asks the leader of one of the service's groups for a slot, and those of the others if
// that group has none. If there is no leader or no response in time, neither engine nor refused is
// set.
func (c *SlotClient) requestSlot(ctx context.Context, request mesh.SlotRequest) slotGrant {
	noGrant := slotGrant{release: func(time.Duration) {}}
	c.mu.Lock()
	leaders := c.liveLeaders(request.Service)
	c.mu.Unlock()
	switch {
	case len(leaders) == 0:
		return noGrant
	case !leaders[0].open:
		noGrant.refused, noGrant.retryAfter = true, soonestRetryAfter(c.config.Now(), leaders)
		return noGrant
	}
	grant := noGrant
	askedAt := c.config.Now()
	for _, leader := range leaders {
		if !leader.open {
			break
		}
		if grant = c.requestSlotOf(ctx, leader, withElapsed(request, c.config.Now().Sub(askedAt))); !grant.refused {
			break
		}
	}
	return grant
}

// withElapsed returns the slot request after a time in which another leader has not granted it. Its times count
// from receipt.
func withElapsed(r mesh.SlotRequest, elapsed time.Duration) mesh.SlotRequest {
	ms := int(elapsed.Milliseconds())
	r.StartInMS, r.LatestInMS = max(r.StartInMS-ms, 0), max(r.LatestInMS-ms, 0)
	if r.EndInMS > 0 {
		r.EndInMS = max(r.EndInMS-ms, 1)
	}
	return r
}

// requestSlotOf asks the leader of one group for a slot. It extends the ID of the request, so that
// each slot request of a call has its own.
func (c *SlotClient) requestSlotOf(ctx context.Context, leader groupLeader, request mesh.SlotRequest) slotGrant {
	noGrant := slotGrant{release: func(time.Duration) {}}
	c.mu.Lock()
	request.ID += "." + strconv.FormatInt(c.sequence.Add(1), 36)
	responses := make(chan mesh.SlotResponse, 1)
	c.pending[request.ID] = responses
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, request.ID)
		c.mu.Unlock()
	}()
	release := func(longestPause time.Duration) {
		c.mu.Lock()
		delete(c.held, request.ID)
		c.mu.Unlock()
		c.config.Mesh.Send(leader.host, mesh.Message{SlotRelease: &mesh.SlotRelease{ID: request.ID, Service: request.Service, LongestPauseMS: int(longestPause.Milliseconds())}})
	}
	response, ok := c.awaitResponse(ctx, leader.host, request, responses)
	if !ok || response.Engine == "" {
		release(0) // without a response, the leader may have queued the request or granted a slot
	}
	switch {
	case !ok:
		return noGrant
	case response.Engine == "":
		noGrant.refused, noGrant.retryAfter = true, time.Duration(response.RetryAfterMS)*time.Millisecond
		return noGrant
	}
	c.mu.Lock()
	c.held[request.ID] = &heldSlot{engine: response.Engine}
	c.mu.Unlock()
	return slotGrant{id: request.ID, engine: response.Engine, release: release}
}

// awaitResponse sends the slot request to the leader, repeatedly, until the leader grants a
// slot or refuses. It repeats less often once the leader has queued the request. The result
// is false if the leader sent nothing for maxSlotWait, if the latest useful
// start is past by queuedResponseMargin, or if ctx ends.
func (c *SlotClient) awaitResponse(ctx context.Context, leader string, request mesh.SlotRequest, responses chan mesh.SlotResponse) (mesh.SlotResponse, bool) {
	started := c.config.Now()
	giveUp := started.Add(maxSlotWait)
	interval := c.repeatAfter(leader)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	c.config.Mesh.Send(leader, mesh.Message{SlotRequest: &request})
	queued := false
	for {
		select {
		case response := <-responses:
			if !queued {
				c.recordAnswerTime(leader, c.config.Now().Sub(started))
			}
			if !response.Wait {
				return response, true
			}
			queued, interval = true, queuedRequestInterval
			giveUp = started.Add(time.Duration(request.LatestInMS)*time.Millisecond + queuedResponseMargin)
		case <-timer.C:
			if !c.config.Now().Before(giveUp) {
				if !queued {
					c.recordAnswerTime(leader, maxSlotWait)
				}
				return mesh.SlotResponse{}, false
			}
			c.config.Mesh.Send(leader, mesh.Message{SlotRequest: &request})
		case <-ctx.Done():
			return mesh.SlotResponse{}, false
		}
		timer.Reset(min(interval, giveUp.Sub(c.config.Now())))
	}
}

// repeatAfter returns the time after which a slot request to a leader is sent again.
func (c *SlotClient) repeatAfter(leader string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[leader].repeatAfter()
}

// recordAnswerTime records how long a leader took to answer, or maxSlotWait if it didn't.
func (c *SlotClient) recordAnswerTime(leader string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answers) > maxAnswerTimes {
		clear(c.answers)
	}
	c.answers[leader] = c.answers[leader].with(took)
}
