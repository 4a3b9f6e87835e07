package relay

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
)

const (
	// leaderTimeout is the time after its last message from which a leader is not asked
	// any more.
	leaderTimeout = 900 * time.Millisecond
	// slotRequestInterval is the time after which a slot request without a response is
	// sent again. It covers several round trips.
	slotRequestInterval = 25 * time.Millisecond
	// maxSlotRequests bounds the slot requests of one call before the entry decides
	// alone.
	maxSlotRequests = 3
	// queuedRequestInterval is the time after which a queued call asks again, in case a
	// response was lost.
	queuedRequestInterval = 150 * time.Millisecond
	// groupClosedRetryAfter is the retry-after for a closed group: a group opens about this
	// long after its last rank is back.
	groupClosedRetryAfter = time.Second
)

// PlacesConfig holds the dependencies of Places.
type PlacesConfig struct {
	Mesh *mesh.Mesh
	Now  func() time.Time
	Log  zerolog.Logger
}

// Places requests slots from the leaders of groups. It is safe for concurrent use.
type Places struct {
	config   PlacesConfig
	sequence atomic.Int64

	mu      sync.Mutex
	leaders map[string]groupLeader // by service
	pending map[string]chan mesh.SlotResponse
	held    map[string]*heldSlot
}

// heldSlot is the slot of a running request. Its engine changes when the leader moves the
// request.
type heldSlot struct {
	engine string
	// cancelAttempt cancels the attempt at the old engine and reports whether it did.
	cancelAttempt func() bool
}

type groupLeader struct {
	host        string
	fence       mapswitch.Fence
	open        bool
	slowEngines []string // addresses of engines that should get no requests
	lastHeardAt time.Time
}

// NewPlaces returns a Places that knows no leader.
func NewPlaces(c PlacesConfig) *Places {
	return &Places{config: c, leaders: map[string]groupLeader{}, pending: map[string]chan mesh.SlotResponse{}, held: map[string]*heldSlot{}}
}

// Handle processes a message of a group's leader: its state, a response or a move.
func (p *Places) Handle(from mesh.Host, m mesh.Message) {
	switch {
	case m.LeaderAnnouncement != nil:
		p.recordLeader(from, *m.LeaderAnnouncement)
	case m.SlotResponse != nil && m.SlotResponse.Moved:
		p.moveRequest(*m.SlotResponse)
	case m.SlotResponse != nil:
		p.mu.Lock()
		responses, ok := p.pending[m.SlotResponse.ID]
		p.mu.Unlock()
		if ok {
			select {
			case responses <- *m.SlotResponse:
			default: // an unread response is pending; the next request repeats this one
			}
		}
	}
}

// moveRequest makes a running request continue at another engine. A repeated message has
// no effect.
func (p *Places) moveRequest(v mesh.SlotResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.held[v.ID]
	if !ok || s.engine == v.Engine || s.cancelAttempt == nil || !s.cancelAttempt() {
		return
	}
	p.config.Log.Info().Str("request", v.ID).Str("from", s.engine).Str("to", v.Engine).Msg("group leader moved the request to another engine")
	s.engine, s.cancelAttempt = v.Engine, nil
}

// setCancel sets the function that cancels the request's attempt for a move. It is called
// before each attempt.
func (p *Places) setCancel(grant slotGrant, cancelAttempt func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.held[grant.id]; ok {
		s.cancelAttempt = cancelAttempt
	}
}

// currentEngine returns the address of the engine that holds the slot now.
func (p *Places) currentEngine(grant slotGrant) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.held[grant.id]; ok {
		return s.engine
	}
	return grant.engine
}

func (p *Places) recordLeader(from mesh.Host, announcement mesh.LeaderAnnouncement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.leaders[announcement.Service]
	now := p.config.Now()
	if announcement.Fence < previous.fence && now.Sub(previous.lastHeardAt) < leaderTimeout {
		return
	}
	if previous.host != from.Name || previous.open != announcement.Open {
		p.config.Log.Info().Str("leader", from.Name).Str("service", announcement.Service).Int64("fence", int64(announcement.Fence)).
			Bool("open", announcement.Open).Msg("leader or state of the group changed")
	}
	p.leaders[announcement.Service] = groupLeader{host: from.Name, fence: announcement.Fence, open: announcement.Open, slowEngines: announcement.SlowEngines, lastHeardAt: now}
}

// Fenced reports whether a leader with a higher fencing token is known for the service.
func (p *Places) Fenced(service string, fence mapswitch.Fence) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fence < p.leaders[service].fence
}

// slowEngines returns the addresses of a service's engines that should get no requests, as
// last reported by its leader.
func (p *Places) slowEngines(service string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaders[service].slowEngines
}

// slotGrant is the result of a slot request. Without engine and refusal the entry decides
// alone.
type slotGrant struct {
	id         string
	engine     string
	refused    bool
	retryAfter time.Duration
	// release gives the slot back; it is never nil.
	release func()
}

// requestSlot asks the leader for a slot. If there is no leader or no response in time,
// neither engine nor refused is set and the entry decides alone.
func (p *Places) requestSlot(ctx context.Context, a mesh.SlotRequest) slotGrant {
	noGrant := slotGrant{release: func() {}}
	p.mu.Lock()
	leader, ok := p.leaders[a.Service]
	if !ok || p.config.Now().Sub(leader.lastHeardAt) > leaderTimeout {
		p.mu.Unlock()
		return noGrant
	}
	if !leader.open {
		p.mu.Unlock()
		noGrant.refused, noGrant.retryAfter = true, groupClosedRetryAfter
		return noGrant
	}
	a.ID += "." + strconv.FormatInt(p.sequence.Add(1), 36)
	responses := make(chan mesh.SlotResponse, 1)
	p.pending[a.ID] = responses
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, a.ID)
		p.mu.Unlock()
	}()
	release := func() {
		p.mu.Lock()
		delete(p.held, a.ID)
		p.mu.Unlock()
		p.config.Mesh.Send(leader.host, mesh.Message{SlotRelease: &mesh.SlotRelease{ID: a.ID, Service: a.Service}})
	}
	v, ok := p.awaitResponse(ctx, leader.host, a, responses)
	if !ok || v.Engine == "" {
		release()
	}
	switch {
	case !ok:
		return noGrant
	case v.Engine == "":
		noGrant.refused, noGrant.retryAfter = true, time.Duration(v.RetryAfterMS)*time.Millisecond
		return noGrant
	}
	p.mu.Lock()
	p.held[a.ID] = &heldSlot{engine: v.Engine}
	p.mu.Unlock()
	return slotGrant{id: a.ID, engine: v.Engine, release: release}
}

func (p *Places) awaitResponse(ctx context.Context, leader string, a mesh.SlotRequest, responses chan mesh.SlotResponse) (mesh.SlotResponse, bool) {
	timer := time.NewTimer(slotRequestInterval)
	defer timer.Stop()
	responseDeadline := p.config.Now().Add(time.Duration(a.LatestInMS)*time.Millisecond + queuedRequestInterval)
	queued := false
	for attempt := 1; ; attempt++ {
		p.config.Mesh.Send(leader, mesh.Message{SlotRequest: &a})
		interval := slotRequestInterval
		if queued {
			interval = queuedRequestInterval
		}
		timer.Reset(interval)
		select {
		case v := <-responses:
			if !v.Wait {
				return v, true
			}
			queued = true
			timer.Reset(queuedRequestInterval)
			select {
			case v := <-responses:
				if !v.Wait {
					return v, true
				}
			case <-timer.C:
			case <-ctx.Done():
				return mesh.SlotResponse{}, false
			}
		case <-timer.C:
			if !queued && attempt >= maxSlotRequests {
				return mesh.SlotResponse{}, false
			}
		case <-ctx.Done():
			return mesh.SlotResponse{}, false
		}
		if p.config.Now().After(responseDeadline) {
			return mesh.SlotResponse{}, false
		}
	}
}
