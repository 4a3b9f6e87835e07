package preset

import "sync"

// Holder guards a Reader for concurrent use and signals new versions.
type Holder struct {
	mu      sync.Mutex
	reader  *Reader
	changed chan struct{} // closed and replaced when the version changes
}

// NewHolder returns a holder of a new reader.
func NewHolder() *Holder {
	return &Holder{reader: NewReader(), changed: make(chan struct{})}
}

// State returns the state and whether requests may be served by it.
func (h *Holder) State() (State, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reader.State()
}

// Offset returns the version of the state, or NoOffset.
func (h *Holder) Offset() int64 {
	s, _ := h.State()
	return s.Offset
}

// InForce returns the active preset.
func (h *Holder) InForce() Preset {
	s, _ := h.State()
	return s.InForce()
}

// Since returns the update for a peer whose version is offset.
func (h *Holder) Since(offset int64) Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reader.Since(offset)
}

// Changed returns a channel that is closed when the version next changes.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Merge applies a peer's update.
func (h *Holder) Merge(u Update) {
	h.With(func(r *Reader) { r.Merge(u) })
}

// With calls f on the reader while it holds the lock. It closes the channel of
// Changed if f changes the version.
func (h *Holder) With(f func(r *Reader)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.reader.state.Offset
	f(h.reader)
	if h.reader.state.Offset != before {
		close(h.changed)
		h.changed = make(chan struct{})
	}
}
