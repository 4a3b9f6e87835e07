package relay

import (
	"context"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/parts/httpclient"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/registry"
)

const (
	// quarantineStrikes is the number of targets that may die while running a request
	// before the request is refused.
	quarantineStrikes = 2
	// livenessTimeout bounds the connection attempt that decides whether a target is dead.
	livenessTimeout = 250 * time.Millisecond
	// answeredEvents is the number of events of an attempt that show that its target did not die
	// of the request. The first one may come in the moment in which the target dies.
	answeredEvents = 2
	// partQueryTime is the time in which the other entries tell what they know of the parts of a
	// request whose target died. It covers a round trip to a busy entry.
	partQueryTime = 50 * time.Millisecond
)

// refuseParts returns the refusal of a request that has a quarantined prompt part, or nil.
func (rl *Relay) refuseParts(c *call) *refusal {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.partRefusal(rl.config.Now(), c.parts)
}

// partRefusal is refuseParts for a caller that holds the lock.
func (rl *Relay) partRefusal(now time.Time, parts []quarantine.PartID) *refusal {
	until, refused := rl.parts.Refused(now, parts)
	if !refused {
		return nil
	}
	return &refusal{http.StatusServiceUnavailable, "part_quarantined", until.Sub(now)}
}

// startAttempt must be called right before a request is sent. It refuses a request with a
// quarantined part, also one that was quarantined while the request waited. If a part's time in
// quarantine is over, this request becomes its trial, and the other entries are told to wait for
// the outcome.
func (rl *Relay) startAttempt(c *call) *refusal {
	c.attemptEvents = 0
	rl.mu.Lock()
	now := rl.config.Now()
	if refused := rl.partRefusal(now, c.parts); refused != nil {
		rl.mu.Unlock()
		return refused
	}
	tried := rl.parts.StartTrial(now, c.parts)
	records := rl.parts.Records(now, tried)
	rl.mu.Unlock()
	if len(tried) > 0 {
		rl.config.Log.Info().Str("request", c.info.AttemptID).Str("service", c.service.Name).Strs("parts", formatParts(c.info.SharedParts)).
			Msg("request tries a suspected prompt part")
		rl.config.ShareParts(records, false)
	}
	return nil
}

// recordAnswered records that a target answered the request and lived on, which clears the
// request's parts of suspicion.
func (rl *Relay) recordAnswered(c *call) {
	if len(c.parts) == 0 {
		return
	}
	rl.mu.Lock()
	now := rl.config.Now()
	cleared := rl.parts.Answered(now, c.parts)
	records := rl.parts.Records(now, cleared)
	rl.mu.Unlock()
	if len(cleared) == 0 {
		return
	}
	rl.config.Log.Info().Str("request", c.info.AttemptID).Str("service", c.service.Name).Strs("parts", formatParts(c.info.SharedParts)).
		Msg("prompt parts cleared by an answer")
	rl.config.ShareParts(records, false)
}

// strikeIfDead records a strike against the request if its target refuses connections. A target that doesn't
// even refuse them may be cut off, so the request is remembered until the registry tells whether the target has restarted. A
// request that the target had begun to answer did not kill it.
func (rl *Relay) strikeIfDead(c *call, t registry.Target) {
	if c.attemptEvents >= answeredEvents {
		return
	}
	conn, err := rl.config.Dial("tcp", t.Address, livenessTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	lost := lostRequest{id: c.info.AttemptID, fingerprint: c.fingerprint, target: t, sharedParts: c.info.SharedParts, parts: c.parts, events: c.events, sentAt: c.sentAt}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		rl.config.Log.Info().Str("request", lost.id).Str("target", t.ID).Err(err).Msg("target of a lost request is out of reach; it may have died or be cut off")
		rl.rememberLost(lost)
		return
	}
	rl.recordStrike(lost)
	rl.recordPartDeath(lost, rl.config.Now())
}

// errDiedAtEnd reports a response that ended with its connection because the target died.
var errDiedAtEnd = errors.New("target died as its response ended with the connection; the rest of the response is missing")

// diedAtEnd reports whether a response ended with its connection because its target died. The connections
// of a process that dies are closed, which is the regular end of a response without length or chunks. A
// target that leaves completes its responses before it stops.
func (rl *Relay) diedAtEnd(ctx context.Context, t registry.Target, a *httpclient.Answer) bool {
	if a.Framing() != httpclient.FramedByConnection {
		return false
	}
	current, listed := rl.config.View.Targets().Target(t.ID)
	if !listed || current.State != registry.Ready || !rl.loads.available(rl.config.Now(), current) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	return errors.Is(rl.config.Client.Probe(ctx, t.Address), syscall.ECONNREFUSED)
}

// recordStrike records that a target died while running the request, and notifies the
// peers. The target's ID identifies the death, because a restarted target has another ID.
func (rl *Relay) recordStrike(lost lostRequest) {
	rl.mu.Lock()
	s := rl.strikes.Add(rl.config.Now(), lost.fingerprint, lost.target.ID)
	count := rl.strikes.Strikes(rl.config.Now(), lost.fingerprint)
	rl.mu.Unlock()
	rl.config.Log.Warn().Str("request", lost.id).Str("service", lost.target.Service).Str("target", lost.target.ID).Str("address", lost.target.Address).Int("strikes", count).
		Strs("parts", formatParts(lost.sharedParts)).Int("events", lost.events).Msg("target died while running the request")
	rl.config.OnTargetDeath(lost.target.Service)
	rl.config.OnStrike(s)
}

// recordPartDeath suspects the parts of a request whose target died at the given time. It tells the
// other entries at once, waits for what they know of the parts, and passes on what clears some of them.
func (rl *Relay) recordPartDeath(lost lostRequest, diedAt time.Time) {
	if len(lost.parts) == 0 {
		return
	}
	rl.mu.Lock()
	suspects := rl.parts.AddDeathAt(rl.config.Now(), diedAt, lost.target.ID, lost.parts)
	records := rl.parts.Records(rl.config.Now(), lost.parts)
	rl.mu.Unlock()
	rl.config.ShareParts(records, true)
	time.Sleep(partQueryTime)
	rl.mu.Lock()
	left := rl.parts.Suspects(rl.config.Now(), lost.parts)
	records = rl.parts.Records(rl.config.Now(), lost.parts)
	rl.mu.Unlock()
	if len(left) < len(suspects) {
		rl.config.ShareParts(records, false)
	}
	rl.config.Log.Warn().Str("request", lost.id).Str("service", lost.target.Service).Str("target", lost.target.ID).Strs("parts", formatParts(lost.sharedParts)).
		Int("suspects_alone", len(suspects)).Int("suspects", len(left)).Msg("prompt parts suspected of a target's death")
}

// MergeParts adds what another entry knows of prompt parts.
func (rl *Relay) MergeParts(records []quarantine.PartRecord) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.parts.Merge(rl.config.Now(), records)
}

// PartRecords returns what this relay knows of the parts in records, to answer the query of
// another entry.
func (rl *Relay) PartRecords(records []quarantine.PartRecord) []quarantine.PartRecord {
	parts := make([]quarantine.PartID, 0, len(records))
	for _, r := range records {
		parts = append(parts, r.Part)
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.parts.Records(rl.config.Now(), parts)
}

// SuspectedParts returns the records of all suspected parts, for an entry that has just started or
// was cut off.
func (rl *Relay) SuspectedParts() []quarantine.PartRecord {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.parts.SuspectRecords(rl.config.Now())
}

// LatestStrikes returns the latest strikes against whole requests, maxCount at most, for an entry that
// has just started or was cut off.
func (rl *Relay) LatestStrikes(maxCount int) []quarantine.Strike {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.strikes.Latest(rl.config.Now(), maxCount)
}

// formatParts returns the IDs of prompt parts as callers write them.
func formatParts(parts []uint64) []string {
	ids := make([]string, 0, len(parts))
	for _, p := range parts {
		ids = append(ids, strconv.FormatUint(p, 16))
	}
	return ids
}
