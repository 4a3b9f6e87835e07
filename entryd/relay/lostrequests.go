package relay

import (
	"slices"
	"time"

	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/registry"
)

const (
	// lostRequestTTL bounds how long a request whose target was out of reach waits for the news that the
	// target has restarted. It covers a cut of some seconds and the next read of the registry.
	lostRequestTTL = 20 * time.Second
	// maxLostRequests bounds the requests that are kept. The oldest are dropped.
	maxLostRequests = 256
)

// lostRequest is a request that its target left unanswered.
type lostRequest struct {
	id          string
	fingerprint uint64
	target      registry.Target
	sharedParts []uint64
	parts       []quarantine.PartID
	events      int // that its caller has got
	sentAt      time.Time
}

// rememberLost keeps a request whose target is out of reach: it may have killed the target, or be at
// the other side of a cut.
func (rl *Relay) rememberLost(lost lostRequest) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.lost = append(rl.lost, lost)
	rl.lost = rl.lost[max(0, len(rl.lost)-maxLostRequests):]
}

// takeRestarted returns the lost requests whose target's process is gone, since the registry has
// another one at its address, and forgets them and the expired ones.
func (rl *Relay) takeRestarted(r registry.Registry) []lostRequest {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := rl.config.Now()
	var restarted []lostRequest
	rl.lost = slices.DeleteFunc(rl.lost, func(lost lostRequest) bool {
		present, ok := r.AtAddress(lost.target.Address)
		gone := ok && present.Service == lost.target.Service && (present.ID != lost.target.ID || !present.Started.Equal(lost.target.Started))
		expired := now.Sub(lost.sentAt) >= lostRequestTTL
		if gone && !expired {
			restarted = append(restarted, lost)
		}
		return gone || expired
	})
	return restarted
}

// recordRestarts records strikes against lost requests whose targets have restarted, and suspects their parts. The deaths count
// from when the requests were sent, so that every answer since then clears its parts.
func (rl *Relay) recordRestarts(r registry.Registry) {
	for _, lost := range rl.takeRestarted(r) {
		rl.config.Log.Info().Str("request", lost.id).Str("target", lost.target.ID).Time("sent_at", lost.sentAt).
			Msg("target of a lost request has restarted; it may have died of the request")
		rl.recordStrike(lost)
		go rl.recordPartDeath(lost, lost.sentAt)
	}
}
