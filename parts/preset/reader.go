package preset

import "sort"

// minRecentEntries is the number of entries to which a reader trims its list of recent
// entries for peers that are behind. It does so when the list is over twice as long.
const minRecentEntries = 1024

// Reader builds the state from the log, from the updates of peers, or from both.
// It never goes back to a lower version. It is not safe for concurrent use.
type Reader struct {
	state  State
	loaded bool
	// pending buffers the entries read after a truncation until the state covers the gap.
	// The first one is a placeholder at the last truncated offset. It is empty if no
	// entries are missing.
	pending []Entry
	recent  []Entry // all entries after recentFrom up to state.Offset
	// recentFrom is the version to which the first recent entry was applied.
	recentFrom     int64
	snapshotOffset int64 // offset of the newest snapshot record that was read
}

// NewReader returns a reader in the initial state, from which nothing may be
// served yet.
func NewReader() *Reader {
	return &Reader{state: NewState(), recentFrom: NoOffset, snapshotOffset: NoOffset}
}

// State returns the state and whether requests may be served by it. No request may be
// served before the reader has read the log to its end from the beginning, restored a
// snapshot, or merged a peer's update.
func (r *Reader) State() (State, bool) {
	return r.state, r.loaded
}

// NextOffset returns the offset of the log to read from.
func (r *Reader) NextOffset() int64 {
	if n := len(r.pending); n > 0 {
		return r.pending[n-1].Offset + 1
	}
	return r.state.Offset + 1
}

// HandleTruncation handles a log that no longer holds entries before oldest. If the
// reader misses entries, it keeps its state and buffers further entries until a
// snapshot or a peer's update covers the gap.
func (r *Reader) HandleTruncation(oldest int64) {
	if oldest <= r.NextOffset() {
		return
	}
	r.pending = r.pending[:0]
	r.pending = append(r.pending, Entry{Offset: oldest - 1})
}

// HandleEnd handles the end of the log: the reader has read all of its entries. The
// state may be served unless the reader still waits for a snapshot.
func (r *Reader) HandleEnd() {
	if len(r.pending) == 0 {
		r.loaded = true
	}
}

// Read applies or buffers the next entry of the log. Entries before NextOffset have no
// effect.
func (r *Reader) Read(e Entry) {
	if e.Offset < r.NextOffset() {
		return
	}
	snapshot := entrySnapshot(e)
	if snapshot != nil {
		r.snapshotOffset = e.Offset
	}
	if len(r.pending) == 0 {
		r.apply(e)
		return
	}
	r.pending = append(r.pending, e)
	if snapshot != nil && r.closesGap(*snapshot) {
		r.Restore(snapshot.State)
	}
}

// closesGap reports whether no entry is missing between the snapshot and the
// pending entries.
func (r *Reader) closesGap(s Snapshot) bool {
	return s.ThroughOffset >= r.pending[0].Offset
}

// entrySnapshot returns the snapshot that the entry holds, or nil if it holds no
// valid one.
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

// apply applies an entry that follows the state and retains it for peers.
func (r *Reader) apply(e Entry) {
	r.state = r.state.Apply(e)
	r.recent = append(r.recent, e)
	if drop := len(r.recent) - minRecentEntries; drop > minRecentEntries {
		r.recentFrom = r.recent[drop-1].Offset
		r.recent = append([]Entry(nil), r.recent[drop:]...)
	}
}

// Restore replaces the reader's state by that of a snapshot or a peer and applies
// the pending entries after it. A state older than the reader's has no effect.
func (r *Reader) Restore(s State) {
	if s.Offset < r.state.Offset || s.Presets == nil {
		return
	}
	if s.Offset > r.state.Offset {
		r.state = s
		r.recent = nil
		r.recentFrom = s.Offset
	}
	r.loaded = true
	r.applyPending()
}

// applyPending applies the pending entries once the state includes all entries
// before them.
func (r *Reader) applyPending() {
	if len(r.pending) == 0 || r.state.Offset < r.pending[0].Offset {
		return
	}
	pending := r.pending
	r.pending = nil
	for _, e := range pending {
		if e.Offset > r.state.Offset {
			r.apply(e)
		}
	}
}

// Update is sent to a peer that is behind. It holds the entries after the peer's
// version, or the whole state if these entries are no longer retained.
type Update struct {
	// From is the version that the first entry follows without a gap.
	From    int64   `json:"from"`
	Entries []Entry `json:"entries,omitempty"`
	State   *State  `json:"state,omitempty"`
}

// UpdateSince returns the update for a peer whose version is offset. It is empty if the
// reader has nothing newer.
func (r *Reader) UpdateSince(offset int64) Update {
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

// Merge applies a peer's update. Entries that would leave a gap after the reader's state
// have no effect.
func (r *Reader) Merge(u Update) {
	if u.State != nil {
		r.Restore(*u.State)
	}
	if len(u.Entries) == 0 || u.From > r.state.Offset {
		return
	}
	for _, e := range u.Entries {
		if e.Offset > r.state.Offset {
			r.apply(e)
		}
	}
	r.loaded = true
	r.applyPending()
}

// NewestSnapshot returns the offset of the newest snapshot record that was read,
// or NoOffset.
func (r *Reader) NewestSnapshot() int64 {
	return r.snapshotOffset
}

// Snapshot returns the state as a snapshot to append to the log. It returns false
// if the state is empty, may not be served yet, or misses entries of the log.
func (r *Reader) Snapshot() (Snapshot, bool) {
	if !r.loaded || len(r.pending) > 0 || r.state.Offset == NoOffset {
		return Snapshot{}, false
	}
	return Snapshot{ThroughOffset: r.state.Offset, State: r.state}, true
}
