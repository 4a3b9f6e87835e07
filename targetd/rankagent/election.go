package rankagent

import (
	"context"
	"math/rand/v2"
	"time"

	"camphormill.dev/parts/mesh"
)

const (
	// baseLeaderTimeout is the time without an announcement of the leader after which another
	// rank claims the leadership. It tolerates several lost announcements and stays well under
	// the second within which a held pass (see mapswitch.Hold) must be released. The leader of a
	// larger group has more messages to send, so leaderTimeoutPerRank is added for each rank, up to
	// maxLeaderTimeout.
	baseLeaderTimeout    = 500 * time.Millisecond
	leaderTimeoutPerRank = 5 * time.Millisecond
	maxLeaderTimeout     = 800 * time.Millisecond
	// claimJitterPerRank, multiplied by the number of ranks, bounds the random part of the delay
	// before a claim, which spreads the claims of ranks for which the leader times out at the
	// same moment. The number of ranks counts as at least minJitterRanks. It applies up to
	// largeGroupSize ranks.
	claimJitterPerRank = 30 * time.Millisecond
	minJitterRanks     = 10
	// claimInterval is the time between the claims of successive ranks in a large group. A daemon that
	// hears of an earlier claim within this time does not claim: it covers the call to the store, an
	// announcement to all ranks and an interval between two reads of the engine.
	claimInterval = 200 * time.Millisecond
	// maxCandidates is the number of ranks that claim one after the other. All other ranks claim
	// after them at random times within lateClaimJitter, in case that all candidates are lost.
	maxCandidates   = 8
	lateClaimJitter = 2 * time.Second
	// askBeforeClaim is how long before it would claim the leadership a daemon of a large group begins to ask others
	// whether they have heard the leader, leaderRequestFanout at each read of the engine.
	askBeforeClaim      = 300 * time.Millisecond
	leaderRequestFanout = 3
	// retireTime is how long a leader goes on assigning requests while its successor learns the states
	// of the ranks.
	retireTime = 1500 * time.Millisecond
)

// noLeader is the rank of the leader of a group whose leader is not known.
const noLeader = -1

// leaderTimeout returns the time without an announcement after which the leader of a group of the given
// size counts as lost. A leader that was paused for as long stops leading.
func leaderTimeout(size int) time.Duration {
	return min(baseLeaderTimeout+leaderTimeoutPerRank*time.Duration(size), maxLeaderTimeout)
}

// claimDelay returns how long a rank waits for an announcement before it claims the leadership. The ranks
// of a large group claim one after the other, from the one after the last leader on, so that they do not
// all take the lead from each other when they stop to hear the leader at the same moment.
func claimDelay(size, rank, leaderRank int) time.Duration {
	if size <= largeGroupSize {
		return randomClaimDelay(size)
	}
	if position := claimPosition(size, rank, leaderRank); position < maxCandidates {
		return leaderTimeout(size) + claimInterval*time.Duration(position)
	}
	return leaderTimeout(size) + claimInterval*maxCandidates + rand.N(lateClaimJitter)
}

// claimPosition returns the place of a rank in the order of claims.
func claimPosition(size, rank, leaderRank int) int {
	return ((rank-leaderRank-1)%size + size) % size
}

// randomClaimDelay returns the delay before a claim in a group with few ranks.
func randomClaimDelay(size int) time.Duration {
	return leaderTimeout(size) + rand.N(claimJitterPerRank*time.Duration(max(size, minJitterRanks)))
}

// leaderRank returns the rank of the group's leader. The caller holds mu.
func (a *Agent) leaderRank() int {
	if a.announced.Fence == 0 {
		return noLeader
	}
	return a.announced.Rank
}

// askForLeader asks other ranks whether they have heard the leader lately, if this one has not. Silence
// that has its cause at this host's link, or in lost datagrams, is thus told from a leader that is gone.
func (a *Agent) askForLeader() {
	a.mu.Lock()
	group := a.rank.Group
	due := a.rank.Size > largeGroupSize && a.leading == nil && a.announced.Fence != 0 && a.config.Now().Sub(a.announcedAt) > a.claimAfter-askBeforeClaim
	a.mu.Unlock()
	if !due {
		return
	}
	targets := a.config.Mesh.Known(mesh.RoleTarget)
	for range min(len(targets), leaderRequestFanout) {
		a.config.Mesh.Send(targets[rand.IntN(len(targets))].Name, mesh.Message{RequestLeader: group})
	}
}

// sendSighting tells another daemon when this one has heard the leader of the group, or that it leads
// the group itself.
func (a *Agent) sendSighting(to mesh.Host, group string) {
	a.mu.Lock()
	sighting := mesh.LeaderSighting{Host: a.leaderHost, Announcement: a.announced, AgeMS: a.config.Now().Sub(a.announcedAt).Milliseconds()}
	if a.leading != nil && !a.leading.isRetiring() {
		sighting.AgeMS = 0
	}
	known := a.rank.Group == group && a.announced.Fence != 0 && a.leaderHost != ""
	a.mu.Unlock()
	if known {
		a.config.Mesh.Send(to.Name, mesh.Message{LeaderSighting: &sighting})
	}
}

// claimIfLeaderSilent claims the leadership of the group when its leader has timed out. Without
// engine settings it requests these instead, and claims once they are there.
func (a *Agent) claimIfLeaderSilent(ctx context.Context) {
	a.mu.Lock()
	group, hasReport := a.rank.Group, a.hasReport
	silent := a.config.Now().Sub(a.announcedAt)
	due := hasReport && group != "" && a.leading == nil && silent > a.claimAfter
	settings := a.engineSettings
	previous := a.announced
	a.mu.Unlock()
	if !due {
		return
	}
	if settings == nil {
		a.requestSettings(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := a.config.SteadyClock()
	fence, err := a.config.Store.ClaimLeadership(ctx, group)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.claimAfter = claimDelay(a.rank.Size, a.rank.Rank, a.leaderRank())
	if err != nil {
		a.config.Log.Warn().Err(err).Str("group", group).Msg("claiming the group's leadership failed; retrying")
		a.announcedAt = a.config.Now()
		return
	}
	if fence <= a.announced.Fence { // a later claim was announced in the meantime
		a.announcedAt = a.config.Now()
		return
	}
	a.announced = mesh.LeaderAnnouncement{Service: a.config.Service, Group: group, Fence: fence, Rank: a.rank.Rank}
	a.announcedAt = a.config.Now()
	a.leaderHost = a.config.Self.Name
	a.leading = newLeader(a.config, group, a.rank.Rank, a.rank.Size, fence, *settings, a.layouts)
	a.leadUntil = started.Add(leaderTimeout(a.rank.Size))
	a.config.Log.Info().Str("group", group).Int64("fence", int64(fence)).Dur("silent", silent).
		Int64("old_fence", int64(previous.Fence)).Int("old_leader_rank", previous.Rank).Msg("leading the group")
}

// currentLeader returns the leader's state if this daemon leads the group and was not paused for so long
// that others may lead it by now. The fences of its orders are out of date then, and its requests may
// run elsewhere.
func (a *Agent) currentLeader() *leader {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leading != nil && a.config.SteadyClock() > a.leadUntil {
		a.config.Log.Warn().Str("group", a.rank.Group).Int64("fence", int64(a.announced.Fence)).
			Dur("late", time.Duration(a.config.SteadyClock()-a.leadUntil)).Msg("stopped leading the group; this daemon was paused")
		a.stopLeading()
	}
	return a.leading
}

// stopLeading makes the daemon wait for another leader, as long as if it had just heard one. The caller
// holds mu.
func (a *Agent) stopLeading() {
	a.leading, a.leaderHost = nil, ""
	a.announcedAt = a.config.Now()
	a.claimAfter = claimDelay(a.rank.Size, a.rank.Rank, a.leaderRank())
}

// tickLeader runs the leader's periodic work and renews its right to lead. When another daemon holds a
// higher fence, this one retires.
func (a *Agent) tickLeader() {
	l := a.currentLeader()
	if l == nil {
		return
	}
	a.mu.Lock()
	a.leadUntil = a.config.SteadyClock().Add(leaderTimeout(a.rank.Size))
	if l.isSuperseded() && !l.isRetiring() {
		a.config.Log.Info().Str("group", l.group).Int64("fence", int64(l.claimFence)).Msg("stopped leading the group; a higher fence is in use")
		l.retire()
		a.leaderHost = ""
		a.announcedAt = a.config.Now()
	}
	if l.hasRetired() {
		a.leading, l = nil, nil
	}
	a.mu.Unlock()
	if l != nil {
		l.tick()
	}
}

// follow records a leader that was heard at the given time, and returns whether it is a new one. The
// highest fence wins: a daemon that leads retires when it hears of a higher fence than its own, and stops
// at once when that leader knows the ranks.
func (a *Agent) follow(host string, announcement mesh.LeaderAnnouncement, heardAt time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if announcement.Service != a.config.Service || (a.hasReport && announcement.Group != a.rank.Group) || announcement.Fence < a.announced.Fence || host == a.config.Self.Name {
		return false
	}
	isNew := announcement.Fence > a.announced.Fence
	if isNew {
		a.config.Log.Info().Str("leader", host).Str("group", announcement.Group).Int64("fence", int64(announcement.Fence)).
			Int64("old_fence", int64(a.announced.Fence)).Dur("silent", a.config.Now().Sub(a.announcedAt)).Msg("following a new leader")
		if a.leading != nil {
			a.leading.retire()
		}
	}
	if a.leading != nil && !a.leading.isRetiring() {
		return false
	}
	if !announcement.Discovering {
		a.leading = nil
	}
	if !isNew && !heardAt.After(a.announcedAt) {
		return false
	}
	a.announced, a.leaderHost, a.announcedAt = announcement, host, heardAt
	a.claimAfter = claimDelay(a.rank.Size, a.rank.Rank, a.leaderRank())
	return isNew
}
