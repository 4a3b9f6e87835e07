package preset

import "sync"

// Store guards a Reader for concurrent use and signals new versions.
type Store struct {
	mu      sync.Mutex
	reader  *Reader
	changed chan struct{} // closed and replaced when the version changes
}

// NewStore returns a store with a new reader.
func NewStore() *Store {
	return &Store{reader: NewReader(), changed: make(chan struct{})}
}

// State returns the state and whether requests may be served by it.
func (st *Store) State() (State, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.reader.State()
}

// Offset returns the version of the state, or NoOffset if no record was applied.
func (st *Store) Offset() int64 {
	s, _ := st.State()
	return s.Offset
}

// ActivePreset returns the active preset.
func (st *Store) ActivePreset() Preset {
	s, _ := st.State()
	return s.ActivePreset()
}

// UpdateSince returns the update for a peer whose version is offset.
func (st *Store) UpdateSince(offset int64) Update {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.reader.UpdateSince(offset)
}

// Changed returns a channel that is closed when the version next changes.
func (st *Store) Changed() <-chan struct{} {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.changed
}

// Merge applies a peer's update.
func (st *Store) Merge(u Update) {
	st.WithReader(func(r *Reader) { r.Merge(u) })
}

// WithReader calls f on the reader while it holds the lock, so f must not call methods of
// the store. It closes the channel of Changed if f changes the version.
func (st *Store) WithReader(f func(r *Reader)) {
	st.mu.Lock()
	defer st.mu.Unlock()
	before := st.reader.state.Offset
	f(st.reader)
	if st.reader.state.Offset != before {
		close(st.changed)
		st.changed = make(chan struct{})
	}
}
