package preset_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/preset"
)

func encode(r preset.Record) json.RawMessage {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}

func named(name string, share float64) *preset.Preset {
	p := preset.Genesis()
	p.Name = name
	p.RetryShare = share
	return &p
}

// world is a log with limited retention, readers of it, and the truth: the fold
// of every record ever appended.
type world struct {
	log     []preset.Entry // retained
	end     int64
	truth   []preset.State // by offset
	readers []*preset.Reader
	seen    []int64 // highest version each reader served
	pending *preset.Snapshot
	updates []preset.Update // of peers, on their way
	newest  int64           // highest ThroughOffset of an appended snapshot
	ids     int
}

const readers = 3

func newWorld() *world {
	w := &world{newest: preset.NoOffset}
	for range readers {
		w.readers = append(w.readers, preset.NewReader())
		w.seen = append(w.seen, preset.NoOffset)
	}
	return w
}

func (w *world) append(data json.RawMessage) {
	e := preset.Entry{Offset: w.end, Data: data}
	w.end++
	w.log = append(w.log, e)
	last := preset.NewState()
	if n := len(w.truth); n > 0 {
		last = w.truth[n-1]
	}
	w.truth = append(w.truth, last.Fold(e))
}

func (w *world) publish(t *rapid.T) {
	w.ids++
	r := preset.Record{ChangeID: fmt.Sprint(w.ids), BaseOffset: rapid.Int64Range(-1, w.end).Draw(t, "base")}
	name := rapid.SampledFrom([]string{"ordinary", "peak", ""}).Draw(t, "name")
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		r.Kind, r.Preset = preset.RecordPreset, named(name, rapid.Float64Range(-0.2, 1).Draw(t, "share"))
	case 1:
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		r.Kind, r.Change = preset.RecordChange, &preset.Change{Preset: name, RetryShare: &share}
	case 2:
		r.Kind, r.Activate = preset.RecordActivate, name
	}
	data := encode(r)
	w.append(data)
	if rapid.Bool().Draw(t, "answer lost and appended again") {
		w.append(data)
	}
}

func (w *world) reader(t *rapid.T) int {
	return rapid.IntRange(0, readers-1).Draw(t, "reader")
}

func (w *world) read(t *rapid.T) {
	i := w.reader(t)
	r := w.readers[i]
	oldest := w.end
	if len(w.log) > 0 {
		oldest = w.log[0].Offset
	}
	_, before := r.State()
	r.Truncated(oldest)
	n := rapid.IntRange(1, 6).Draw(t, "records")
	for _, e := range w.log {
		if e.Offset >= r.Next() && n > 0 {
			r.Read(e)
			n--
		}
	}
	if r.Next() >= w.end {
		r.Reached()
	}
	if state, loaded := r.State(); loaded && !before && state.Offset+1 < oldest {
		t.Fatalf("reader %d serves version %d though the log begins at %d", i, state.Offset, oldest)
	}
}

// truncate forgets records that no longer are needed since a snapshot covers
// them.
func (w *world) truncate(t *rapid.T) {
	keep := rapid.Int64Range(0, max(w.newest+1, 0)).Draw(t, "oldest kept")
	for len(w.log) > 0 && w.log[0].Offset < keep {
		w.log = w.log[1:]
	}
}

func (w *world) takeSnapshot(t *rapid.T) {
	if s, ok := w.readers[w.reader(t)].Snapshot(); ok {
		w.pending = &s
	}
}

// appendSnapshot appends a snapshot taken earlier; changes may have come since.
func (w *world) appendSnapshot(*rapid.T) {
	if w.pending == nil {
		return
	}
	w.ids++
	w.append(encode(preset.Record{Kind: preset.RecordSnapshot, ChangeID: fmt.Sprint(w.ids), Snapshot: w.pending}))
	w.newest = max(w.newest, w.pending.ThroughOffset)
	w.pending = nil
}

func (w *world) restart(t *rapid.T) {
	i := w.reader(t)
	w.readers[i] = preset.NewReader()
	w.seen[i] = preset.NoOffset
}

func (w *world) exchange(t *rapid.T) {
	from, to := w.readers[w.reader(t)], w.readers[w.reader(t)]
	state, _ := to.State()
	to.Merge(from.Since(state.Offset))
}

// lateExchange sends a peer's update, to be delivered to anybody at any time.
func (w *world) lateExchange(t *rapid.T) {
	from, to := w.readers[w.reader(t)], w.readers[w.reader(t)]
	state, _ := to.State()
	w.updates = append(w.updates, from.Since(state.Offset))
}

func (w *world) deliverUpdate(t *rapid.T) {
	if len(w.updates) == 0 {
		return
	}
	w.readers[w.reader(t)].Merge(rapid.SampledFrom(w.updates).Draw(t, "update"))
}

// staleExchange delivers a peer's old copy.
func (w *world) staleExchange(t *rapid.T) {
	if len(w.truth) == 0 {
		return
	}
	old := w.truth[rapid.IntRange(0, len(w.truth)-1).Draw(t, "old version")]
	w.readers[w.reader(t)].Merge(preset.Update{State: &old})
}

func (w *world) check(t *rapid.T) {
	for i, r := range w.readers {
		state, loaded := r.State()
		if !loaded {
			continue
		}
		if state.Offset < w.seen[i] {
			t.Fatalf("reader %d went back from version %d to %d", i, w.seen[i], state.Offset)
		}
		w.seen[i] = state.Offset
		if state.Offset == preset.NoOffset {
			continue
		}
		want := w.truth[state.Offset]
		if normal(state) != normal(want) {
			t.Fatalf("reader %d at version %d differs from the truth:\n%+v\n%+v", i, state.Offset, state, want)
		}
		if _, ok := state.Presets[state.Active]; !ok {
			t.Fatalf("the preset in force does not exist at version %d", state.Offset)
		}
	}
}

// normal is a state as peers would see it.
func normal(s preset.State) string {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func TestAllReadersFoldTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"publish":        w.publish,
			"read":           w.read,
			"truncate":       w.truncate,
			"takeSnapshot":   w.takeSnapshot,
			"appendSnapshot": w.appendSnapshot,
			"restart":        w.restart,
			"exchange":       w.exchange,
			"staleExchange":  w.staleExchange,
			"lateExchange":   w.lateExchange,
			"deliverUpdate":  w.deliverUpdate,
			"":               w.check,
		})
	})
}

// TestTakingAnyCopyReverts shows that the check has teeth: a naive reader that
// takes whatever copy a peer sends goes back, ours does not.
func TestTakingAnyCopyReverts(t *testing.T) {
	is := is.New(t)
	first := preset.NewState().Fold(preset.Entry{Offset: 0, Data: encode(preset.Record{
		Kind: preset.RecordPreset, ChangeID: "a", BaseOffset: -1, Preset: named("peak", 0.1),
	})})
	second := first.Fold(preset.Entry{Offset: 1, Data: encode(preset.Record{Kind: preset.RecordActivate, ChangeID: "b", BaseOffset: 0, Activate: "peak"})})
	var naive preset.State
	ours := preset.NewReader()
	for _, copied := range []preset.State{second, first} { // the older one comes late
		naive = copied
		ours.Merge(preset.Update{State: &copied})
	}
	is.Equal(naive.Active, preset.GenesisName) // the naive reader reverted
	state, _ := ours.State()
	is.Equal(state.Active, "peak")
}

func TestOfTwoRacingChangesOneWins(t *testing.T) {
	is := is.New(t)
	s := preset.NewState()
	s = s.Fold(preset.Entry{Offset: 0, Data: encode(preset.Record{Kind: preset.RecordPreset, ChangeID: "a", BaseOffset: -1, Preset: named("peak", 0.1)})})
	s = s.Fold(preset.Entry{Offset: 1, Data: encode(preset.Record{Kind: preset.RecordPreset, ChangeID: "b", BaseOffset: 0, Preset: named("peak", 0.2)})})
	s = s.Fold(preset.Entry{Offset: 2, Data: encode(preset.Record{Kind: preset.RecordPreset, ChangeID: "c", BaseOffset: 0, Preset: named("peak", 0.3)})})
	won, _ := s.Verdict("b")
	lost, _ := s.Verdict("c")
	is.True(won.Failure == nil)
	is.Equal(lost.Failure.Kind, contract.KindStaleConfiguration)
	is.Equal(lost.Failure.Offset, int64(1)) // the operator is told what to start from
}

// TestRepeatedAppendCountsOnce has an operator append again after a lost answer,
// while another put a preset in force in between: the repeat must not revert it.
func TestRepeatedAppendCountsOnce(t *testing.T) {
	is := is.New(t)
	activate := func(id, name string, base int64) json.RawMessage {
		return encode(preset.Record{Kind: preset.RecordActivate, ChangeID: id, BaseOffset: base, Activate: name})
	}
	records := []json.RawMessage{
		encode(preset.Record{Kind: preset.RecordPreset, ChangeID: "a", BaseOffset: -1, Preset: named("peak", 0.1)}),
		activate("b", "peak", 0),
		activate("c", preset.GenesisName, 1),
		activate("b", "peak", 9), // the repeat, whatever base it claims
	}
	s := preset.NewState()
	for offset, data := range records {
		s = s.Fold(preset.Entry{Offset: int64(offset), Data: data})
	}
	is.Equal(s.Active, preset.GenesisName)
}

// BenchmarkChange measures a change of one organisation among 44,000, and reports
// the size of the whole state as JSON.
func BenchmarkChange(b *testing.B) {
	p := preset.Genesis()
	p.Name = "full"
	p.Organisations = map[string]preset.Organisation{}
	for i := range 44_000 {
		p.Organisations[fmt.Sprint("organisation-", i)] = p.Default
	}
	s := preset.NewState().Fold(preset.Entry{Offset: 0, Data: encode(preset.Record{Kind: preset.RecordPreset, ChangeID: "a", BaseOffset: -1, Preset: &p})})
	b.ReportAllocs()
	for b.Loop() {
		change := preset.Change{Preset: "full", Organisations: map[string]preset.Organisation{"organisation-7": p.Default}}
		s = s.Fold(preset.Entry{Offset: s.Offset + 1, Data: encode(preset.Record{
			Kind: preset.RecordChange, ChangeID: fmt.Sprint(s.Offset), BaseOffset: s.Offset, Change: &change,
		})})
	}
	b.ReportMetric(float64(len(normal(s))), "B/state")
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"kind":"activate","change_id":"a","activate":"peak"}`))
	f.Add([]byte(`{"kind":"snapshot","snapshot":{"through_offset":3,"state":{"offset":3}}}`))
	f.Add([]byte(`{"kind":"change","change":{"preset":"genesis","models":{"m":{}}}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := preset.NewReader()
		r.Read(preset.Entry{Offset: 0, Data: data})
		r.Reached()
		if s, loaded := r.State(); loaded {
			s.InForce()
		}
	})
}

func ExampleState() {
	s := preset.NewState()
	p := preset.Genesis()
	p.Name = "peak"
	s = s.Fold(preset.Entry{Offset: 0, Data: encode(preset.Record{Kind: preset.RecordPreset, ChangeID: "a", BaseOffset: -1, Preset: &p})})
	s = s.Fold(preset.Entry{Offset: 1, Data: encode(preset.Record{Kind: preset.RecordActivate, ChangeID: "b", BaseOffset: 0, Activate: "peak"})})
	fmt.Println(s.Offset, s.InForce().Name)
	// Output: 1 peak
}

func ExampleReader() {
	r := preset.NewReader()
	_, loaded := r.State()
	fmt.Println("before the log was read:", loaded)
	r.Reached()
	s, loaded := r.State()
	fmt.Println("after:", loaded, s.Active)
	// Output:
	// before the log was read: false
	// after: true genesis
}
