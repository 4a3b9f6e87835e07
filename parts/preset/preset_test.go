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

// presetWith returns the initial preset with another name and retry share.
func presetWith(name string, share float64) *preset.Preset {
	p := preset.Initial()
	p.Name = name
	p.RetryShare = share
	return &p
}

// logModel is a log with limited retention, readers of it, and the expected state
// after each record ever appended.
type logModel struct {
	log      []preset.Entry // retained
	end      int64
	expected []preset.State // by offset
	readers  []*preset.Reader
	served   []int64 // highest version each reader served
	pending  *preset.Snapshot
	updates  []preset.Update // of peers, in flight
	newest   int64           // highest ThroughOffset of an appended snapshot
	ids      int
}

const readerCount = 3

func newLogModel() *logModel {
	m := &logModel{newest: preset.NoOffset}
	for range readerCount {
		m.readers = append(m.readers, preset.NewReader())
		m.served = append(m.served, preset.NoOffset)
	}
	return m
}

func (m *logModel) append(data json.RawMessage) {
	e := preset.Entry{Offset: m.end, Data: data}
	m.end++
	m.log = append(m.log, e)
	last := preset.NewState()
	if n := len(m.expected); n > 0 {
		last = m.expected[n-1]
	}
	m.expected = append(m.expected, last.Apply(e))
}

func (m *logModel) publish(t *rapid.T) {
	m.ids++
	r := preset.Record{ChangeID: fmt.Sprint(m.ids), BaseOffset: rapid.Int64Range(-1, m.end).Draw(t, "base")}
	name := rapid.SampledFrom([]string{"ordinary", "peak", ""}).Draw(t, "name")
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		r.Kind, r.Preset = preset.RecordPreset, presetWith(name, rapid.Float64Range(-0.2, 1).Draw(t, "share"))
	case 1:
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		r.Kind, r.Change = preset.RecordChange, &preset.Change{Preset: name, RetryShare: &share}
	case 2:
		r.Kind, r.Activate = preset.RecordActivate, name
	}
	data := encode(r)
	m.append(data)
	if rapid.Bool().Draw(t, "answer lost and appended again") {
		m.append(data)
	}
}

func (m *logModel) reader(t *rapid.T) int {
	return rapid.IntRange(0, readerCount-1).Draw(t, "reader")
}

func (m *logModel) read(t *rapid.T) {
	i := m.reader(t)
	r := m.readers[i]
	oldest := m.end
	if len(m.log) > 0 {
		oldest = m.log[0].Offset
	}
	_, before := r.State()
	r.HandleTruncation(oldest)
	n := rapid.IntRange(1, 6).Draw(t, "records")
	for _, e := range m.log {
		if e.Offset >= r.NextOffset() && n > 0 {
			r.Read(e)
			n--
		}
	}
	if r.NextOffset() >= m.end {
		r.HandleEnd()
	}
	if state, loaded := r.State(); loaded && !before && state.Offset+1 < oldest {
		t.Fatalf("reader %d serves version %d though the log begins at %d", i, state.Offset, oldest)
	}
}

// truncate removes records that an appended snapshot covers.
func (m *logModel) truncate(t *rapid.T) {
	keep := rapid.Int64Range(0, max(m.newest+1, 0)).Draw(t, "oldest kept")
	for len(m.log) > 0 && m.log[0].Offset < keep {
		m.log = m.log[1:]
	}
}

func (m *logModel) takeSnapshot(t *rapid.T) {
	if s, ok := m.readers[m.reader(t)].Snapshot(); ok {
		m.pending = &s
	}
}

// appendSnapshot appends a snapshot taken earlier. Records may have been appended
// since.
func (m *logModel) appendSnapshot(*rapid.T) {
	if m.pending == nil {
		return
	}
	m.ids++
	m.append(encode(preset.Record{Kind: preset.RecordSnapshot, ChangeID: fmt.Sprint(m.ids), Snapshot: m.pending}))
	m.newest = max(m.newest, m.pending.ThroughOffset)
	m.pending = nil
}

func (m *logModel) restart(t *rapid.T) {
	i := m.reader(t)
	m.readers[i] = preset.NewReader()
	m.served[i] = preset.NoOffset
}

func (m *logModel) exchange(t *rapid.T) {
	from, to := m.readers[m.reader(t)], m.readers[m.reader(t)]
	state, _ := to.State()
	to.Merge(from.UpdateSince(state.Offset))
}

// lateExchange sends a peer's update that deliverUpdate delivers to any reader at
// any later time.
func (m *logModel) lateExchange(t *rapid.T) {
	from, to := m.readers[m.reader(t)], m.readers[m.reader(t)]
	state, _ := to.State()
	m.updates = append(m.updates, from.UpdateSince(state.Offset))
}

func (m *logModel) deliverUpdate(t *rapid.T) {
	if len(m.updates) == 0 {
		return
	}
	m.readers[m.reader(t)].Merge(rapid.SampledFrom(m.updates).Draw(t, "update"))
}

// staleExchange delivers an old state of a peer.
func (m *logModel) staleExchange(t *rapid.T) {
	if len(m.expected) == 0 {
		return
	}
	old := m.expected[rapid.IntRange(0, len(m.expected)-1).Draw(t, "old version")]
	m.readers[m.reader(t)].Merge(preset.Update{State: &old})
}

func (m *logModel) check(t *rapid.T) {
	for i, r := range m.readers {
		state, loaded := r.State()
		if !loaded {
			continue
		}
		if state.Offset < m.served[i] {
			t.Fatalf("reader %d went back from version %d to %d", i, m.served[i], state.Offset)
		}
		m.served[i] = state.Offset
		if state.Offset == preset.NoOffset {
			continue
		}
		want := m.expected[state.Offset]
		if encodeState(state) != encodeState(want) {
			t.Fatalf("reader %d at version %d differs from the expected state:\n%+v\n%+v", i, state.Offset, state, want)
		}
		if _, ok := state.Presets[state.Active]; !ok {
			t.Fatalf("the active preset does not exist at version %d", state.Offset)
		}
	}
}

// encodeState returns a state as peers receive it.
func encodeState(s preset.State) string {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// TestAllReadersReachTheSameState checks that readers of one log agree at every version
// and never go back, under concurrent publications, repeated appends, truncation,
// snapshots, restarts, and late or old updates of peers.
func TestAllReadersReachTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLogModel()
		t.Repeat(map[string]func(*rapid.T){
			"publish":        m.publish,
			"read":           m.read,
			"truncate":       m.truncate,
			"takeSnapshot":   m.takeSnapshot,
			"appendSnapshot": m.appendSnapshot,
			"restart":        m.restart,
			"exchange":       m.exchange,
			"staleExchange":  m.staleExchange,
			"lateExchange":   m.lateExchange,
			"deliverUpdate":  m.deliverUpdate,
			"":               m.check,
		})
	})
}

// TestOlderPeerStateIsIgnored delivers an older state after a newer one. A naive
// reader that restores every state goes back to the older version; Reader does not.
func TestOlderPeerStateIsIgnored(t *testing.T) {
	is := is.New(t)
	first := preset.NewState().Apply(preset.Entry{Offset: 0, Data: encode(preset.Record{
		Kind: preset.RecordPreset, ChangeID: "a", BaseOffset: -1, Preset: presetWith("peak", 0.1),
	})})
	second := first.Apply(preset.Entry{Offset: 1, Data: encode(preset.Record{Kind: preset.RecordActivate, ChangeID: "b", BaseOffset: 0, Activate: "peak"})})
	var naive preset.State
	reader := preset.NewReader()
	for _, copied := range []preset.State{second, first} { // the older one arrives last
		naive = copied
		reader.Merge(preset.Update{State: &copied})
	}
	is.Equal(naive.Active, preset.InitialName) // the naive reader reverted
	state, _ := reader.State()
	is.Equal(state.Active, "peak")
}

// TestOneOfTwoConcurrentChangesIsAccepted guards against lost updates: of two
// changes with the same base, the second is refused.
func TestOneOfTwoConcurrentChangesIsAccepted(t *testing.T) {
	is := is.New(t)
	s := preset.NewState()
	s = s.Apply(preset.Entry{Offset: 0, Data: encode(preset.Record{Kind: preset.RecordPreset, ChangeID: "a", BaseOffset: -1, Preset: presetWith("peak", 0.1)})})
	s = s.Apply(preset.Entry{Offset: 1, Data: encode(preset.Record{Kind: preset.RecordPreset, ChangeID: "b", BaseOffset: 0, Preset: presetWith("peak", 0.2)})})
	s = s.Apply(preset.Entry{Offset: 2, Data: encode(preset.Record{Kind: preset.RecordPreset, ChangeID: "c", BaseOffset: 0, Preset: presetWith("peak", 0.3)})})
	accepted, _ := s.ChangeResult("b")
	refused, _ := s.ChangeResult("c")
	is.True(accepted.Failure == nil)
	is.Equal(refused.Failure.Kind, contract.KindStaleConfiguration)
	is.Equal(refused.Failure.Offset, int64(1)) // the version to base the next attempt on
}

// TestRepeatedAppendHasNoEffect repeats an append whose response was lost, after
// another operator has activated another preset. The repeated record must not
// revert that.
func TestRepeatedAppendHasNoEffect(t *testing.T) {
	is := is.New(t)
	activate := func(id, name string, base int64) json.RawMessage {
		return encode(preset.Record{Kind: preset.RecordActivate, ChangeID: id, BaseOffset: base, Activate: name})
	}
	records := []json.RawMessage{
		encode(preset.Record{Kind: preset.RecordPreset, ChangeID: "a", BaseOffset: -1, Preset: presetWith("peak", 0.1)}),
		activate("b", "peak", 0),
		activate("c", preset.InitialName, 1),
		activate("b", "peak", 9), // the repeated record; its base does not matter
	}
	s := preset.NewState()
	for offset, data := range records {
		s = s.Apply(preset.Entry{Offset: int64(offset), Data: data})
	}
	is.Equal(s.Active, preset.InitialName)
}

// BenchmarkChange measures a change of one organisation among 44,000 and reports
// the size of the encoded state.
func BenchmarkChange(b *testing.B) {
	p := preset.Initial()
	p.Name = "full"
	p.Organisations = map[string]preset.Organisation{}
	for i := range 44_000 {
		p.Organisations[fmt.Sprint("organisation-", i)] = p.Default
	}
	s := preset.NewState().Apply(preset.Entry{Offset: 0, Data: encode(preset.Record{Kind: preset.RecordPreset, ChangeID: "a", BaseOffset: -1, Preset: &p})})
	b.ReportAllocs()
	for b.Loop() {
		change := preset.Change{Preset: "full", Organisations: map[string]preset.Organisation{"organisation-7": p.Default}}
		s = s.Apply(preset.Entry{Offset: s.Offset + 1, Data: encode(preset.Record{
			Kind: preset.RecordChange, ChangeID: fmt.Sprint(s.Offset), BaseOffset: s.Offset, Change: &change,
		})})
	}
	b.ReportMetric(float64(len(encodeState(s))), "B/state")
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"kind":"activate","change_id":"a","activate":"peak"}`))
	f.Add([]byte(`{"kind":"snapshot","snapshot":{"through_offset":3,"state":{"offset":3}}}`))
	f.Add([]byte(`{"kind":"change","change":{"preset":"genesis","models":{"m":{}}}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := preset.NewReader()
		r.Read(preset.Entry{Offset: 0, Data: data})
		r.HandleEnd()
		if s, loaded := r.State(); loaded {
			s.ActivePreset()
		}
	})
}

func ExampleState() {
	s := preset.NewState()
	p := preset.Initial()
	p.Name = "peak"
	s = s.Apply(preset.Entry{Offset: 0, Data: encode(preset.Record{Kind: preset.RecordPreset, ChangeID: "a", BaseOffset: -1, Preset: &p})})
	s = s.Apply(preset.Entry{Offset: 1, Data: encode(preset.Record{Kind: preset.RecordActivate, ChangeID: "b", BaseOffset: 0, Activate: "peak"})})
	fmt.Println(s.Offset, s.ActivePreset().Name)
	// Output: 1 peak
}

func ExampleReader() {
	r := preset.NewReader()
	_, loaded := r.State()
	fmt.Println("before the log was read:", loaded)
	r.HandleEnd()
	s, loaded := r.State()
	fmt.Println("after:", loaded, s.Active)
	// Output:
	// before the log was read: false
	// after: true genesis
}
