package preset

import (
	"maps"

	"camphormill.dev/parts/contract"
)

// NoOffset is the version of a state into which nothing was folded.
const NoOffset int64 = -1

// rememberedChanges is how many change ids a state keeps to recognise repeats.
const rememberedChanges = 512

// Held is a preset with the offset of the record that last set it.
type Held struct {
	Preset Preset `json:"preset"`
	SetAt  int64  `json:"set_at"`
}

// Verdict is what the fold decided about one change id.
type Verdict struct {
	ChangeID string            `json:"change_id"`
	Offset   int64             `json:"offset"`
	Failure  *contract.Failure `json:"failure,omitempty"` // nil when accepted
}

// Snapshot carries a state in the log, so that older records may expire.
type Snapshot struct {
	ThroughOffset int64 `json:"through_offset"`
	State         State `json:"state"`
}

// State is one version of the configuration. It is immutable.
type State struct {
	Offset      int64           `json:"offset"`
	Presets     map[string]Held `json:"presets"`
	Active      string          `json:"active"`
	ActivatedAt int64           `json:"activated_at"`
	Verdicts    []Verdict       `json:"verdicts"` // newest last
}

// NewState is the configuration before any record.
func NewState() State {
	return State{
		Offset:      NoOffset,
		Presets:     map[string]Held{GenesisName: {Preset: Genesis(), SetAt: NoOffset}},
		Active:      GenesisName,
		ActivatedAt: NoOffset,
	}
}

// InForce returns the preset in force.
func (s State) InForce() Preset {
	return s.Presets[s.Active].Preset
}

// Verdict finds the verdict on a change id.
func (s State) Verdict(changeID string) (Verdict, bool) {
	for _, v := range s.Verdicts {
		if v.ChangeID == changeID {
			return v, true
		}
	}
	return Verdict{}, false
}

// Fold returns the state after the entry. Entries at or below the state's
// offset have no effect, so folding is idempotent.
func (s State) Fold(e Entry) State {
	if e.Offset <= s.Offset {
		return s
	}
	next := s
	next.Offset = e.Offset
	record, err := DecodeRecord(e.Data)
	if err != nil || record.Kind == RecordSnapshot {
		return next
	}
	if _, repeated := s.Verdict(record.ChangeID); repeated {
		return next
	}
	next, failure := next.apply(record)
	return next.withVerdict(Verdict{ChangeID: record.ChangeID, Offset: e.Offset, Failure: failure})
}

func (s State) withVerdict(v Verdict) State {
	first := max(0, len(s.Verdicts)+1-rememberedChanges)
	verdicts := make([]Verdict, 0, len(s.Verdicts)+1-first)
	verdicts = append(verdicts, s.Verdicts[first:]...)
	s.Verdicts = append(verdicts, v)
	return s
}

func (s State) apply(r Record) (State, *contract.Failure) {
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
	return s, invalid("the record has no known content", "publish with the camphormill command")
}

func (s State) setPreset(p Preset, base int64) (State, *contract.Failure) {
	if f := p.Check(); f != nil {
		return s, f
	}
	if held, ok := s.Presets[p.Name]; ok && held.SetAt > base {
		return s, stale("preset "+p.Name, held.SetAt)
	}
	s.Presets = maps.Clone(s.Presets)
	s.Presets[p.Name] = Held{Preset: p, SetAt: s.Offset}
	return s, nil
}

func (s State) change(c Change, base int64) (State, *contract.Failure) {
	held, ok := s.Presets[c.Preset]
	if !ok {
		return s, invalid("preset "+c.Preset+" does not exist", "publish it first")
	}
	return s.setPreset(held.Preset.WithChange(c), base)
}

func (s State) activate(name string, base int64) (State, *contract.Failure) {
	if _, ok := s.Presets[name]; !ok {
		return s, invalid("preset "+name+" does not exist", "publish it first")
	}
	if s.ActivatedAt > base {
		return s, stale("the choice of the preset in force", s.ActivatedAt)
	}
	s.Active = name
	s.ActivatedAt = s.Offset
	return s, nil
}

func stale(what string, offset int64) *contract.Failure {
	return contract.NewFailure(contract.KindStaleConfiguration,
		what+" was changed by another operator",
		"look at the present state and publish again on top of it").WithOffset(offset)
}
