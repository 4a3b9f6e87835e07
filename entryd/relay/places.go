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
	// leaderSilence is after which time without a word a leader is not asked.
	leaderSilence = 900 * time.Millisecond
	// askAgain is when an ask without a verdict is sent again: some round trips.
	askAgain = 25 * time.Millisecond
	// askTries bounds the asks of one request before the entry decides alone.
	askTries = 3
	// waitAgain is when a waiting request asks again, in case a verdict was lost.
	waitAgain = 150 * time.Millisecond
	// groupReturn is when a caller should come back to a closed group: it opens
	// about that long after its last rank is back.
	groupReturn = time.Second
)

// PlacesConfig is what Places is built from.
type PlacesConfig struct {
	Mesh *mesh.Mesh
	Now  func() time.Time
	Log  zerolog.Logger
}

// Places asks the leaders of groups for places. It is safe for concurrent use.
type Places struct {
	config PlacesConfig
	serial atomic.Int64

	mu      sync.Mutex
	leaders map[string]groupLeader // by service
	asks    map[string]chan mesh.Verdict
	running map[string]*seat
}

// seat is a place that a running request holds. Its engine changes when the leader
// moves the request.
type seat struct {
	engine string
	// leave ends the attempt at the old engine and says whether it did.
	leave func() bool
}

type groupLeader struct {
	host  string
	fence mapswitch.Fence
	open  bool
	slow  []string // engines that should get no request
	heard time.Time
}

// NewPlaces returns a Places that knows no leader.
func NewPlaces(c PlacesConfig) *Places {
	return &Places{config: c, leaders: map[string]groupLeader{}, asks: map[string]chan mesh.Verdict{}, running: map[string]*seat{}}
}

// Handle takes a message of a leader.
func (p *Places) Handle(from mesh.Host, m mesh.Message) {
	switch {
	case m.Lead != nil:
		p.follow(from, *m.Lead)
	case m.Verdict != nil && m.Verdict.Moved:
		p.move(*m.Verdict)
	case m.Verdict != nil:
		p.mu.Lock()
		answer, ok := p.asks[m.Verdict.ID]
		p.mu.Unlock()
		if ok {
			select {
			case answer <- *m.Verdict:
			default: // a verdict waits already; asking again brings this one back
			}
		}
	}
}

// move makes a running request go on at another engine. A move that was told before
// changes nothing.
func (p *Places) move(v mesh.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.running[v.ID]
	if !ok || s.engine == v.Engine || s.leave == nil || !s.leave() {
		return
	}
	p.config.Log.Info().Str("request", v.ID).Str("from", s.engine).Str("to", v.Engine).Msg("request is moved by its group's leader")
	s.engine, s.leave = v.Engine, nil
}

// runs notes how the request that holds the place leaves its engine; it is called
// before each attempt.
func (p *Places) runs(at place, leave func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.running[at.id]; ok {
		s.leave = leave
	}
}

// moved returns the engine at which the place is now.
func (p *Places) moved(at place) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.running[at.id]; ok {
		return s.engine
	}
	return at.engine
}

func (p *Places) follow(from mesh.Host, lead mesh.Lead) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.leaders[lead.Service]
	now := p.config.Now()
	if lead.Fence < old.fence && now.Sub(old.heard) < leaderSilence {
		return
	}
	if old.host != from.Name || old.open != lead.Open {
		p.config.Log.Info().Str("leader", from.Name).Str("service", lead.Service).Int64("fence", int64(lead.Fence)).
			Bool("open", lead.Open).Msg("group has this leader and state")
	}
	p.leaders[lead.Service] = groupLeader{host: from.Name, fence: lead.Fence, open: lead.Open, slow: lead.Slow, heard: now}
}

// Fenced says whether a leader with a higher fence is known for the service.
func (p *Places) Fenced(service string, fence mapswitch.Fence) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fence < p.leaders[service].fence
}

// slow returns the engines of a service that should get no request, by the last word
// of its leader.
func (p *Places) slow(service string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaders[service].slow
}

// place is a verdict as the entry acts on it.
type place struct {
	id      string
	engine  string
	refused bool
	comeIn  time.Duration
	// release gives the place back; it is never nil.
	release func()
}

// ask gets a place from the leader. Without a leader, or without a word of it,
// neither engine nor refusal is set and the entry decides alone.
func (p *Places) ask(ctx context.Context, a mesh.Ask) place {
	none := place{release: func() {}}
	p.mu.Lock()
	leader, ok := p.leaders[a.Service]
	if !ok || p.config.Now().Sub(leader.heard) > leaderSilence {
		p.mu.Unlock()
		return none
	}
	if !leader.open {
		p.mu.Unlock()
		none.refused, none.comeIn = true, groupReturn
		return none
	}
	a.ID += "." + strconv.FormatInt(p.serial.Add(1), 36)
	answer := make(chan mesh.Verdict, 1)
	p.asks[a.ID] = answer
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.asks, a.ID)
		p.mu.Unlock()
	}()
	release := func() {
		p.mu.Lock()
		delete(p.running, a.ID)
		p.mu.Unlock()
		p.config.Mesh.Send(leader.host, mesh.Message{Release: &mesh.Release{ID: a.ID, Service: a.Service}})
	}
	v, ok := p.await(ctx, leader.host, a, answer)
	if !ok || v.Engine == "" {
		release()
	}
	switch {
	case !ok:
		return none
	case v.Engine == "":
		none.refused, none.comeIn = true, time.Duration(v.ReturnInMS)*time.Millisecond
		return none
	}
	p.mu.Lock()
	p.running[a.ID] = &seat{engine: v.Engine}
	p.mu.Unlock()
	return place{id: a.ID, engine: v.Engine, release: release}
}

func (p *Places) await(ctx context.Context, leader string, a mesh.Ask, answer chan mesh.Verdict) (mesh.Verdict, bool) {
	timer := time.NewTimer(askAgain)
	defer timer.Stop()
	until := p.config.Now().Add(time.Duration(a.LatestInMS)*time.Millisecond + waitAgain)
	waiting := false
	for try := 1; ; try++ {
		p.config.Mesh.Send(leader, mesh.Message{Ask: &a})
		pause := askAgain
		if waiting {
			pause = waitAgain
		}
		timer.Reset(pause)
		select {
		case v := <-answer:
			if !v.Wait {
				return v, true
			}
			waiting = true
			timer.Reset(waitAgain)
			select {
			case v := <-answer:
				if !v.Wait {
					return v, true
				}
			case <-timer.C:
			case <-ctx.Done():
				return mesh.Verdict{}, false
			}
		case <-timer.C:
			if !waiting && try >= askTries {
				return mesh.Verdict{}, false
			}
		case <-ctx.Done():
			return mesh.Verdict{}, false
		}
		if p.config.Now().After(until) {
			return mesh.Verdict{}, false
		}
	}
}
