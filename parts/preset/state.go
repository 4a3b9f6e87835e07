package preset

import (
	"maps"

	"camphormill.dev/parts/contract"
)

// NoOffset is the version of a state to which no record was applied.
const NoOffset int64 = -1

// maxChangeResults is the number of results that a state retains to recognise
// repeated change ids.
const maxChangeResults = 512

// StoredPreset is a preset with SetAt, the offset of the record that last set it.
type StoredPreset struct {
	Preset Preset `json:"preset"`
	SetAt  int64  `json:"set_at"`
}

// ChangeResult is the result of the change with one change id: accepted or refused by
// the record at Offset.
type ChangeResult struct {
	ChangeID string            `json:"change_id"`
	Offset   int64             `json:"offset"`
	Failure  *contract.Failure `json:"failure,omitempty"` // nil when accepted
}

// Snapshot is a State that is stored in the log, so that older records may be
// truncated. State includes the records up to and including ThroughOffset.
type Snapshot struct {
	ThroughOffset int64 `json:"through_offset"`
	State         State `json:"state"`
}

// State is one version of the configuration. It is immutable. Offset is the
// version, and ActivatedAt the offset of the record that set Active.
type State struct {
	Offset        int64                   `json:"offset"`
	Presets       map[string]StoredPreset `json:"presets"`
	Active        string                  `json:"active"`
	ActivatedAt   int64                   `json:"activated_at"`
	ChangeResults []ChangeResult          `json:"verdicts"` // newest last
}

// NewState returns the configuration before the first record.
func NewState() State {
	return State{
		Offset:      NoOffset,
		Presets:     map[string]StoredPreset{InitialName: {Preset: Initial(), SetAt: NoOffset}},
		Active:      InitialName,
		ActivatedAt: NoOffset,
	}
}

// ActivePreset returns the active preset.
func (s State) ActivePreset() Preset {
	return s.Presets[s.Active].Preset
}

// ChangeResult returns the result of a change id, and false if the state retains
// none.
func (s State) ChangeResult(changeID string) (ChangeResult, bool) {
	for _, result := range s.ChangeResults {
		if result.ChangeID == changeID {
			return result, true
		}
	}
	return ChangeResult{}, false
}

// Apply applies the entry and returns the next state. Entries at or below the
// state's offset have no effect, so that Apply is idempotent. An entry that cannot be
// decoded, holds a snapshot or repeats a change id changes only the offset.
func (s State) Apply(e Entry) State {
	if e.Offset <= s.Offset {
		return s
	}
	next := s
	next.Offset = e.Offset
	record, err := DecodeRecord(e.Data)
	if err != nil || record.Kind == RecordSnapshot {
		return next
	}
	if _, repeated := s.ChangeResult(record.ChangeID); repeated {
		return next
	}
	next, failure := next.applyRecord(record)
	return next.withChangeResult(ChangeResult{ChangeID: record.ChangeID, Offset: e.Offset, Failure: failure})
}

// withChangeResult returns the state with the result added and the oldest results
// beyond maxChangeResults removed.
func (s State) withChangeResult(result ChangeResult) State {
	first := max(0, len(s.ChangeResults)+1-maxChangeResults)
	results := make([]ChangeResult, 0, len(s.ChangeResults)+1-first)
	results = append(results, s.ChangeResults[first:]...)
	s.ChangeResults = append(results, result)
	return s
}

// applyRecord applies a record at s.Offset. It returns the failure if the record
// is refused; the state then is unchanged.
func (s State) applyRecord(r Record) (State, *contract.Failure) {
	switch {
	case r.ChangeID == "":
		return s, invalid("the record has no change_id", "publish with the camphormill command")
	case r.Kind == RecordPreset && r.Preset != nil:
		return s.setPreset(*r.Preset, r.BaseOffset)
	case r.Kind == RecordChange && r.Change != nil:
		return s.change(*r.Change, r.BaseOffset)
	case r.Kind == RecordActivate && r.Activate != "":
		return s.activate(r.Activate, r.BaseOffset)
	}
	return s, invalid("the record has an unknown kind or lacks its content", "publish with the camphormill command")
}

// setPreset creates or replaces a preset. It refuses an invalid preset, and one whose
// stored version was set after base.
func (s State) setPreset(p Preset, base int64) (State, *contract.Failure) {
	if f := p.Check(); f != nil {
		return s, f
	}
	if stored, ok := s.Presets[p.Name]; ok && stored.SetAt > base {
		return s, stale("preset "+p.Name, stored.SetAt)
	}
	s.Presets = maps.Clone(s.Presets)
	s.Presets[p.Name] = StoredPreset{Preset: p, SetAt: s.Offset}
	return s, nil
}

func (s State) change(c Change, base int64) (State, *contract.Failure) {
	stored, ok := s.Presets[c.Preset]
	if !ok {
		return s, invalid("preset "+c.Preset+" does not exist", "publish it first")
	}
	return s.setPreset(stored.Preset.WithChange(c), base)
}

func (s State) activate(name string, base int64) (State, *contract.Failure) {
	if _, ok := s.Presets[name]; !ok {
		return s, invalid("preset "+name+" does not exist", "publish it first")
	}
	if s.ActivatedAt > base {
		return s, stale("the choice of the active preset", s.ActivatedAt)
	}
	s.Active = name
	s.ActivatedAt = s.Offset
	return s, nil
}

// stale returns the failure of a change whose base is older than offset, at which
// another record changed the same part.
func stale(what string, offset int64) *contract.Failure {
	return contract.NewFailure(contract.KindStaleConfiguration,
		what+" was changed by another operator",
		"look at the present state and publish again on top of it").WithOffset(offset)
}
