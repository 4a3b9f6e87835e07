package bulletin

import (
	"context"
	"time"

	"camphormill.dev/parts/registry"
)

// expire drops removed targets whose grace has ended.
func (b *Board) expire() {
	b.mu.Lock()
	before := b.targets
	b.targets = b.targets.WithoutExpired(b.config.Now())
	after := b.targets
	b.mu.Unlock()
	if before.Len() != after.Len() {
		b.config.Log.Info().Int("targets", after.Len()).Msg("removed targets that did not register again after an outage")
		b.config.Changed(after)
	}
}

func (b *Board) readTargets(ctx context.Context, from int64, listed bool) (Records, error) {
	if listed {
		records, err := b.config.Store.Targets(ctx, from)
		if err != nil {
			return Records{}, err
		}
		if !records.Lost {
			b.applyRecords(from, records)
			return records, nil
		}
	}
	targets, end, err := b.config.Store.List(ctx)
	if err != nil {
		return Records{}, err
	}
	b.mu.Lock()
	b.targets = b.targets.WithListing(targets, b.graceEnd())
	b.targetsOffset = end
	b.targetsDueAt = b.config.Now().Add(maxViewAge)
	b.listed = true
	after := b.targets
	b.mu.Unlock()
	b.config.Log.Info().Int("targets", len(targets)).Int64("offset", end).Msg("targets listed")
	b.config.Changed(after)
	return Records{End: end, Lost: true}, nil
}

// graceEnd returns until when a removed target may register again, or the zero time
// for an immediate removal. Grace is given if the registry has not been confirmed for
// longer than outageThreshold: the registration may have expired because the store was
// unreachable. Otherwise the target itself has left.
func (b *Board) graceEnd() time.Time {
	now := b.config.Now()
	if now.Sub(b.confirmedAt) <= outageThreshold {
		return time.Time{}
	}
	return now.Add(outageGrace)
}

// applyRecords applies the records from the offset on to the registry.
func (b *Board) applyRecords(from int64, r Records) {
	b.mu.Lock()
	if from <= b.targetsOffset && r.End >= b.targetsOffset {
		b.targetsDueAt = b.config.Now().Add(maxViewAge)
	}
	if r.End <= b.targetsOffset || from > b.targetsOffset {
		b.mu.Unlock()
		return
	}
	unapplied := r.Raw[min(int(b.targetsOffset-from), len(r.Raw)):]
	b.targetsOffset = from + int64(len(r.Raw))
	next := b.targets
	for _, raw := range unapplied {
		next = b.applyRecord(next, raw)
	}
	b.targets = next
	b.mu.Unlock()
	if len(unapplied) > 0 {
		b.config.Changed(next)
	}
}

func (b *Board) applyRecord(r registry.Registry, raw []byte) registry.Registry {
	id, t, ok := b.config.Store.Decode(raw)
	if !ok {
		b.config.Log.Warn().Str("target", id).Int("bytes", len(raw)).Msg("cannot parse a target's record; skipping it")
		return r
	}
	previous, known := r.Target(id)
	if t == nil {
		if known {
			b.config.Log.Info().Str("target", id).Str("service", previous.Service).Time("grace", b.graceEnd()).Msg("target removed")
		}
		return r.Without(id, b.graceEnd())
	}
	if known && previous == *t {
		return r
	}
	b.config.Log.Info().Str("target", id).Str("service", t.Service).Str("address", t.Address).Str("state", string(t.State)).Msg("target changed")
	return r.With(*t)
}
