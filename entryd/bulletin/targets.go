package bulletin

import (
	"context"
	"time"

	"camphormill.dev/parts/registry"
)

// expire drops the targets that have not come back.
func (b *Board) expire() {
	b.mu.Lock()
	before := b.targets
	b.targets = b.targets.At(b.config.Now())
	after := b.targets
	b.mu.Unlock()
	if before.Len() != after.Len() {
		b.config.Log.Info().Int("targets", after.Len()).Msg("targets that did not come back after an outage are gone")
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
			b.takeRecords(from, records)
			return records, nil
		}
	}
	targets, end, err := b.config.Store.List(ctx)
	if err != nil {
		return Records{}, err
	}
	b.mu.Lock()
	b.targets = b.targets.Only(targets, b.grace())
	b.targetsAt = end
	b.targetsDue = b.config.Now().Add(readAge)
	b.listed = true
	after := b.targets
	b.mu.Unlock()
	b.config.Log.Info().Int("targets", len(targets)).Int64("offset", end).Msg("targets listed")
	b.config.Changed(after)
	return Records{End: end, Lost: true}, nil
}

// grace is until when a removed target may come back: its entry may have lapsed
// because the store was away, if this is the first that is heard of the store for
// a while. A removal after that is the target's own.
func (b *Board) grace() time.Time {
	now := b.config.Now()
	if now.Sub(b.confirmed) <= outageGap {
		return time.Time{}
	}
	return now.Add(returnGrace)
}

// takeRecords folds records from the offset into the registry.
func (b *Board) takeRecords(from int64, r Records) {
	b.mu.Lock()
	if from <= b.targetsAt && r.End >= b.targetsAt {
		b.targetsDue = b.config.Now().Add(readAge)
	}
	if r.End <= b.targetsAt || from > b.targetsAt {
		b.mu.Unlock()
		return
	}
	fresh := r.Raw[min(int(b.targetsAt-from), len(r.Raw)):]
	b.targetsAt = from + int64(len(r.Raw))
	next := b.targets
	for _, raw := range fresh {
		next = b.fold(next, raw)
	}
	b.targets = next
	b.mu.Unlock()
	if len(fresh) > 0 {
		b.config.Changed(next)
	}
}

func (b *Board) fold(r registry.Registry, raw []byte) registry.Registry {
	id, t, ok := b.config.Store.Decode(raw)
	if !ok {
		b.config.Log.Warn().Str("target", id).Int("bytes", len(raw)).Msg("record of a target cannot be read; it names nothing to use")
		return r
	}
	old, known := r.Target(id)
	if t == nil {
		if known {
			b.config.Log.Info().Str("target", id).Str("service", old.Service).Time("grace", b.grace()).Msg("target removed")
		}
		return r.Without(id, b.grace())
	}
	if known && old == *t {
		return r
	}
	b.config.Log.Info().Str("target", id).Str("service", t.Service).Str("address", t.Address).Str("state", string(t.State)).Msg("target changed")
	return r.With(*t)
}
