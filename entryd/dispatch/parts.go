package dispatch

import (
	"context"
	"time"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/quarantine"
)

// answeredTokens is the number of tokens of an attempt that show that its target did not die of the
// request. The first one may come in the moment in which the target dies.
const answeredTokens = 2

// partsOf returns the parts of a request that other requests may share: the prefix of a prompt.
func partsOf(r Request) []quarantine.PartID {
	if r.Kind != contract.WorkDraft || r.Prefix == 0 {
		return nil
	}
	return []quarantine.PartID{quarantine.NewPartID(r.ServiceName, r.Prefix)}
}

func partFailure(until time.Time) *contract.Failure {
	return contract.NewFailure(contract.KindQuarantined,
		"targets died while they ran requests with this prompt's prefix", "change the prompt, or retry later").WithRetryAt(until)
}

// startAttempt must be called right before a request is sent. It refuses a request with a
// quarantined part, also one that was quarantined since the request was admitted. If a part's time
// in quarantine is over, this request becomes its trial, and the peers wait for the outcome.
func (d *Dispatcher) startAttempt(ctx context.Context, r Request) *contract.Failure {
	parts := partsOf(r)
	d.mu.Lock()
	now := d.config.Now()
	if until, refused := d.parts.Refused(now, parts); refused {
		d.mu.Unlock()
		return partFailure(until)
	}
	tried := d.parts.StartTrial(now, parts)
	records := d.parts.Records(now, tried)
	d.mu.Unlock()
	if len(tried) > 0 {
		d.config.Logger.Info().Uint64("prefix", r.Prefix).Msg("request tries a suspected prompt prefix")
		d.config.ShareParts(ctx, records)
	}
	return nil
}

// recordAnswered records that a target answered the request and lived on, which clears the
// request's parts of suspicion.
func (d *Dispatcher) recordAnswered(ctx context.Context, r Request) {
	d.mu.Lock()
	now := d.config.Now()
	cleared := d.parts.Answered(now, partsOf(r))
	records := d.parts.Records(now, cleared)
	d.mu.Unlock()
	if len(cleared) > 0 {
		d.config.Logger.Info().Uint64("prefix", r.Prefix).Msg("prompt prefix cleared by an answer")
		d.config.ShareParts(ctx, records)
	}
}

// recordPartDeath suspects the parts of a request whose target died, after it has asked the peers
// what they know of them. death identifies the death, as in strike. It returns a failure if the
// request is now refused.
func (d *Dispatcher) recordPartDeath(ctx context.Context, r Request, death string) *contract.Failure {
	parts := partsOf(r)
	if len(parts) == 0 {
		return nil
	}
	d.mu.Lock()
	now := d.config.Now()
	d.parts.AddDeath(now, death, parts)
	records := d.parts.Records(now, parts)
	d.mu.Unlock()
	known := d.config.ShareParts(ctx, records)
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.config.Now()
	d.parts.Merge(now, known)
	until, refused := d.parts.Refused(now, parts)
	d.config.Logger.Warn().Uint64("prefix", r.Prefix).Str("death", death).Bool("refused", refused).Msg("prompt prefix suspected of a target's death")
	if !refused {
		return nil
	}
	return partFailure(until)
}

// MergeParts adds what a peer knows of prompt parts and returns what this entry knows of the same
// parts.
func (d *Dispatcher) MergeParts(records []quarantine.PartRecord) []quarantine.PartRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.config.Now()
	d.parts.Merge(now, records)
	parts := make([]quarantine.PartID, 0, len(records))
	for _, r := range records {
		parts = append(parts, r.Part)
	}
	return d.parts.Records(now, parts)
}

// SuspectedParts returns the records of all suspected parts, for a peer that has just started or
// was cut off.
func (d *Dispatcher) SuspectedParts() []quarantine.PartRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.parts.SuspectRecords(d.config.Now())
}
