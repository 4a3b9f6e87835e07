package preset

import "sync"

// Store guards a Reader for concurrent use and signals new versions.
type Store struct {
	mu      sync.Mutex
	reader  *Reader
	changed chan struct{} // closed and replaced when the version changes
}

// NewStore returns a holder of a new reader.
func NewStore() *Store {
	return &Store{reader: NewReader(), changed: make(chan struct{})}
}

// State returns the state and whether requests may be served by it.
func (h *Store) State() (State, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reader.State()
}

// Offset returns the version of the state, or NoOffset.
func (h *Store) Offset() int64 {
	s, _ := h.State()
	return s.Offset
}

// ActivePreset returns the active preset.
func (h *Store) ActivePreset() Preset {
	s, _ := h.State()
	return s.ActivePreset()
}

// UpdateSince returns the update for a peer whose version is offset.
func (h *Store) UpdateSince(offset int64) Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reader.UpdateSince(offset)
}

// Changed returns a channel that is closed when the version next changes.
func (h *Store) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Merge applies a peer's update.
func (h *Store) Merge(u Update) {
	h.WithReader(func(r *Reader) { r.Merge(u) })
}

// WithReader calls f on the reader while it holds the lock. It closes the channel of
// Changed if f changes the version.
func (h *Store) WithReader(f func(r *Reader)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.reader.state.Offset
	f(h.reader)
	if h.reader.state.Offset != before {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}
