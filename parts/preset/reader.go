package preset

import "sort"

// recentEntries is how many entries a reader keeps for peers that are behind.
const recentEntries = 1024

// Reader builds the state from the log, from a peer's copy, or from both. It
// never moves to a lower version. It is not safe for concurrent use.
type Reader struct {
	state   State
	loaded  bool
	pending []Entry // read from a truncated log before its first snapshot
	recent  []Entry // every entry after recentFrom, ending at state.Offset
	// recentFrom is the version onto which the first recent entry was folded.
	recentFrom int64
	snapshot   int64 // offset of the newest snapshot seen
}

// NewReader returns a reader that has seen nothing.
func NewReader() *Reader {
	return &Reader{state: NewState(), recentFrom: NoOffset, snapshot: NoOffset}
}

// State returns the state and whether it may be served from: a reader that has
// met neither the log's beginning, nor a snapshot, nor a peer's copy may not.
func (r *Reader) State() (State, bool) {
	return r.state, r.loaded
}

// Next is the offset to read from.
func (r *Reader) Next() int64 {
	if n := len(r.pending); n > 0 {
		return r.pending[n-1].Offset + 1
	}
	return r.state.Offset + 1
}

// Truncated tells the reader that the log no longer holds entries before
// oldest. It keeps its state, and goes on once it has a snapshot that covers
// what it missed.
func (r *Reader) Truncated(oldest int64) {
	if oldest <= r.Next() {
		return
	}
	r.pending = r.pending[:0]
	r.pending = append(r.pending, Entry{Offset: oldest - 1})
}

// Reached tells the reader that it has read up to the log's end.
func (r *Reader) Reached() {
	if len(r.pending) == 0 {
		r.loaded = true
	}
}

// Read takes the next entry of the log.
func (r *Reader) Read(e Entry) {
	if e.Offset < r.Next() {
		return
	}
	snapshot := entrySnapshot(e)
	if snapshot != nil {
		r.snapshot = e.Offset
	}
	if len(r.pending) == 0 {
		r.fold(e)
		return
	}
	r.pending = append(r.pending, e)
	if snapshot != nil && r.bridges(*snapshot) {
		r.Adopt(snapshot.State)
	}
}

// bridges says whether the snapshot and the pending entries leave no gap.
func (r *Reader) bridges(s Snapshot) bool {
	return s.ThroughOffset >= r.pending[0].Offset
}

func entrySnapshot(e Entry) *Snapshot {
	record, err := DecodeRecord(e.Data)
	if err != nil || record.Kind != RecordSnapshot || record.Snapshot == nil {
		return nil
	}
	if record.Snapshot.State.Offset != record.Snapshot.ThroughOffset {
		return nil
	}
	return record.Snapshot
}

func (r *Reader) fold(e Entry) {
	r.state = r.state.Fold(e)
	r.recent = append(r.recent, e)
	if drop := len(r.recent) - recentEntries; drop > recentEntries {
		r.recentFrom = r.recent[drop-1].Offset
		r.recent = append([]Entry(nil), r.recent[drop:]...)
	}
}

// Adopt takes a whole state, from a snapshot or a peer. An older one than the
// reader's own has no effect. Pending entries after it are folded on top.
func (r *Reader) Adopt(s State) {
	if s.Offset < r.state.Offset || s.Presets == nil {
		return
	}
	if s.Offset > r.state.Offset {
		r.state = s
		r.recent = nil
		r.recentFrom = s.Offset
	}
	r.loaded = true
	r.drainPending()
}

// drainPending folds what was read ahead, once the state has closed the gap
// before it.
func (r *Reader) drainPending() {
	if len(r.pending) == 0 || r.state.Offset < r.pending[0].Offset {
		return
	}
	pending := r.pending
	r.pending = nil
	for _, e := range pending {
		if e.Offset > r.state.Offset {
			r.fold(e)
		}
	}
}

// Update is what a peer that is behind receives: the entries after its version,
// or the whole state when they are no longer at hand.
type Update struct {
	// From is the version onto which the entries fold without a gap.
	From    int64   `json:"from"`
	Entries []Entry `json:"entries,omitempty"`
	State   *State  `json:"state,omitempty"`
}

// Since returns the update for a peer at the offset.
func (r *Reader) Since(offset int64) Update {
	if !r.loaded || offset >= r.state.Offset {
		return Update{}
	}
	if r.recentFrom <= offset {
		first := sort.Search(len(r.recent), func(i int) bool { return r.recent[i].Offset > offset })
		return Update{From: offset, Entries: append([]Entry(nil), r.recent[first:]...)}
	}
	state := r.state
	return Update{State: &state}
}

// Merge takes a peer's update.
func (r *Reader) Merge(u Update) {
	if u.State != nil {
		r.Adopt(*u.State)
	}
	if len(u.Entries) == 0 || u.From > r.state.Offset {
		return
	}
	for _, e := range u.Entries {
		if e.Offset > r.state.Offset {
			r.fold(e)
		}
	}
	r.loaded = true
	r.drainPending()
}

// NewestSnapshot is the offset of the newest snapshot that was read, or NoOffset.
func (r *Reader) NewestSnapshot() int64 {
	return r.snapshot
}

// Snapshot returns the state as a snapshot to append, unless the reader has
// nothing whole to write.
func (r *Reader) Snapshot() (Snapshot, bool) {
	if !r.loaded || len(r.pending) > 0 || r.state.Offset == NoOffset {
		return Snapshot{}, false
	}
	return Snapshot{ThroughOffset: r.state.Offset, State: r.state}, true
}
