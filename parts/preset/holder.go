package preset

import "sync"

// Holder is a Reader that is safe for concurrent use.
type Holder struct {
	mu      sync.Mutex
	reader  *Reader
	changed chan struct{} // closed and replaced when the version moves
}

// NewHolder returns a holder that has seen nothing.
func NewHolder() *Holder {
	return &Holder{reader: NewReader(), changed: make(chan struct{})}
}

// State returns the state and whether it may be served from.
func (h *Holder) State() (State, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reader.State()
}

// Offset is the version, or NoOffset.
func (h *Holder) Offset() int64 {
	s, _ := h.State()
	return s.Offset
}

// InForce returns the preset in force.
func (h *Holder) InForce() Preset {
	s, _ := h.State()
	return s.InForce()
}

// Since returns the update for a peer at the offset.
func (h *Holder) Since(offset int64) Update {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reader.Since(offset)
}

// Changed is closed when the version moves on from the present one.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Merge takes a peer's update.
func (h *Holder) Merge(u Update) {
	h.With(func(r *Reader) { r.Merge(u) })
}

// With runs f on the reader alone.
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
