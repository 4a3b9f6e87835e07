package storeview

import (
	"context"
	"time"

	"camphormill.dev/parts/registry"
)

// expire drops the targets that did not register again within outageGrace after their
// registration was removed, and the evacuated zones that are held no longer.
func (v *View) expire() {
	v.mu.Lock()
	v.setEvacuated(v.evacuated.withoutExpired(v.config.Now()))
	before := v.targets
	v.targets = v.targets.WithoutExpired(v.config.Now())
	after := v.targets
	v.mu.Unlock()
	if before.Len() != after.Len() {
		v.config.Log.Info().Int("targets", after.Len()).Msg("removed targets that did not register again after an outage; the field targets counts those left")
		v.config.OnTargetsChanged(after)
	}
}

// readTargets reads the registry and applies what it reads. It reads the records from the
// offset on, or lists all targets if they have not been listed yet or the records are no
// longer retained. After a listing, the result holds no records and has Truncated set, so
// that peers with older records read the store themselves.
func (v *View) readTargets(ctx context.Context, from int64, listed bool) (Records, error) {
	if listed {
		records, err := v.config.Store.ReadTargetRecords(ctx, from)
		if err != nil {
			return Records{}, err
		}
		if !records.Truncated {
			v.applyRecords(from, records)
			return records, nil
		}
	}
	targets, end, err := v.config.Store.ListTargets(ctx)
	if err != nil {
		return Records{}, err
	}
	era := v.era()
	v.mu.Lock()
	restored, heldBack := v.listed && era != v.listedEra, 0
	v.listAgainAt = time.Time{}
	if restored {
		v.targets, heldBack = v.targets.WithRestoredListing(targets, v.config.Now().Add(outageGrace))
	} else {
		v.targets = v.targets.WithListing(targets, v.graceEnd())
	}
	if heldBack > 0 {
		v.listAgainAt = v.config.Now().Add(restoredLapse)
	}
	v.listedEra = era
	v.targetsOffset = end
	v.targetsDueAt = v.config.Now().Add(maxViewAge)
	v.listed = true
	after := v.targets
	v.mu.Unlock()
	v.config.Log.Info().Int("targets", len(targets)).Int64("offset", end).Int64("era", era).Bool("restored", restored).
		Int("held_back", heldBack).Int("in_grace", after.Missing()).Msg("targets listed")
	v.config.OnTargetsChanged(after)
	if restored && v.config.OnRestored != nil {
		v.config.OnRestored()
	}
	return Records{End: end, Truncated: true}, nil
}

// era returns how often the store has come back from an older copy.
func (v *View) era() int64 {
	if v.config.Store.Era == nil {
		return 0
	}
	return v.config.Store.Era()
}

// graceEnd returns the time until which a target whose registration was removed may
// register again, or the zero time if the target is to be removed immediately. The target
// gets this grace if the last read of the registry, here or by a peer, is longer ago than
// outageThreshold: the registration may have expired because the store was unreachable.
// Otherwise the target itself has left. The caller holds v.mu.
func (v *View) graceEnd() time.Time {
	now := v.config.Now()
	if now.Sub(v.confirmedAt) <= outageThreshold {
		return time.Time{}
	}
	return now.Add(outageGrace)
}

// applyRecords applies records, the first of which has the offset from, to the targets. An
// offset counts records. Records that were applied before are skipped. If records between
// v.targetsOffset and from are missing, nothing is applied.
func (v *View) applyRecords(from int64, r Records) {
	v.mu.Lock()
	if from <= v.targetsOffset && r.End >= v.targetsOffset { // as new as the targets known here, or newer
		v.targetsDueAt = v.config.Now().Add(maxViewAge)
	}
	if r.End <= v.targetsOffset || from > v.targetsOffset {
		v.mu.Unlock()
		return
	}
	unapplied := r.Raw[min(int(v.targetsOffset-from), len(r.Raw)):]
	v.targetsOffset = from + int64(len(r.Raw))
	next := v.targets
	for _, raw := range unapplied {
		next = v.applyRecord(next, raw)
	}
	v.targets = next
	v.mu.Unlock()
	if len(unapplied) > 0 {
		v.config.OnTargetsChanged(next)
	}
}

// applyRecord returns the registry after one record, and logs what the record changes. The
// caller holds v.mu.
func (v *View) applyRecord(r registry.Registry, raw []byte) registry.Registry {
	id, t, ok := v.config.Store.DecodeTargetRecord(raw)
	if !ok {
		v.config.Log.Warn().Str("target", id).Int("bytes", len(raw)).Msg("cannot parse a target's record; skipping it")
		return r
	}
	previous, known := r.Target(id)
	if t == nil {
		if known {
			v.config.Log.Info().Str("target", id).Str("service", previous.Service).Time("grace", v.graceEnd()).Msg("target removed")
		}
		return r.Without(id, v.graceEnd())
	}
	returned := r.IsMissing(id)
	next := r.With(*t)
	if current, _ := next.Target(id); !known || returned || previous != current {
		v.config.Log.Info().Str("target", id).Str("service", t.Service).Str("address", t.Address).Str("state", string(t.State)).
			Time("cold_until", t.ColdUntil).Bool("returned", returned).Msg("target changed")
	}
	return next
}
