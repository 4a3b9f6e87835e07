// Package bytebudget bounds the memory that a process holds for bytes whose amount only their senders decide.
package bytebudget

import (
	"slices"
	"sync"
	"time"
)

// Config configures a Budget.
type Config struct {
	// Bytes is what all senders together may make the process hold. A single sender may exceed it while no other
	// holds anything.
	Bytes int64
	// StallTime is the time without progress after which a sender gives way to others.
	StallTime time.Duration
	Now       func() time.Time
}

const (
	// processShare is the share of a process's memory that senders may fill. The rest is left for connections, garbage
	// and the daemon itself.
	processShare = 0.2
	// defaultBytes is the budget of a process whose memory is not known.
	defaultBytes = 256 << 20
	// stallTime is that of the budget of a process.
	stallTime = time.Second
)

// ForProcess returns the budget of a process with the given memory in MiB; 0 stands for an unknown one.
func ForProcess(memoryMB float64) *Budget {
	size := int64(defaultBytes)
	if memoryMB > 0 {
		size = int64(processShare * memoryMB * (1 << 20))
	}
	return New(Config{Bytes: size, StallTime: stallTime, Now: time.Now})
}

// Budget is the memory that senders share. It is safe for concurrent use.
type Budget struct {
	config Config

	mu    sync.Mutex
	held  int64
	holds map[*Hold]struct{} // that may give way
	stats Stats
}

// Stats tells how a budget is used.
type Stats struct {
	Held    int64 // bytes
	Evicted int64 // senders that gave way
	Refused int64 // reservations for which there was no room
}

// New returns a budget of which nothing is held.
func New(c Config) *Budget {
	return &Budget{config: c, holds: map[*Hold]struct{}{}}
}

// Size returns the bytes that all senders together may make the process hold.
func (b *Budget) Size() int64 { return b.config.Bytes }

// Stats returns how the budget is used.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.stats
	stats.Held = b.held
	return stats
}

// Hold is what one sender makes the process hold. It is safe for concurrent use.
type Hold struct {
	budget *Budget
	evict  func()

	// The fields below are guarded by budget.mu.
	bytes      int64
	progressAt time.Time
	evicted    bool
	closed     bool
}

// Open returns a hold without bytes. evict is called at most once and not after Close, when the sender must give way; it
// must end the reading or writing of the sender's bytes, and must neither block nor call the budget.
func (b *Budget) Open(evict func()) *Hold {
	h := &Hold{budget: b, evict: evict, progressAt: b.config.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holds[h] = struct{}{}
	return h
}

// Grow reserves n more bytes and counts as progress. It returns false if there is no room, or if the sender has given
// way. A nil hold has no room.
func (h *Hold) Grow(n int64) bool {
	if h == nil {
		return false
	}
	b := h.budget
	now := b.config.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.evicted || h.closed {
		return false
	}
	others := b.held - h.bytes
	if others > 0 && b.held+n > b.config.Bytes {
		b.evictStalled(now, h, b.held+n-b.config.Bytes)
		others = b.held - h.bytes
	}
	if others > 0 && b.held+n > b.config.Bytes {
		b.stats.Refused++
		return false
	}
	h.bytes += n
	b.held += n
	h.progressAt = now
	return true
}

// evictStalled makes the stalest senders give way until the bytes are free, or none if that isn't enough. The caller
// holds b.mu.
func (b *Budget) evictStalled(now time.Time, except *Hold, bytes int64) {
	var stalled []*Hold
	sum := int64(0)
	for h := range b.holds {
		if h != except && h.bytes > 0 && now.Sub(h.progressAt) >= b.config.StallTime {
			stalled = append(stalled, h)
			sum += h.bytes
		}
	}
	if sum < bytes {
		return
	}
	slices.SortFunc(stalled, func(x, y *Hold) int { return x.progressAt.Compare(y.progressAt) })
	for _, h := range stalled {
		if bytes <= 0 {
			return
		}
		bytes -= h.bytes
		b.stats.Evicted++
		h.evicted = true
		h.release()
		h.evict()
	}
}

// release returns the bytes of the hold. The caller holds budget.mu.
func (h *Hold) release() {
	h.budget.held -= h.bytes
	h.bytes = 0
	delete(h.budget.holds, h)
}

// Settle records that the sender has sent everything: it no longer gives way. It returns false if the sender has given way
// before. A nil hold has nothing to settle.
func (h *Hold) Settle() bool {
	if h == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.holds, h)
	return !h.evicted
}

// Unsettle records that the holder waits for its peer again, for instance for a caller to read: it gives way if there is no
// progress. evict replaces that of Open.
func (h *Hold) Unsettle(evict func()) {
	now := h.budget.config.Now()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.closed && !h.evicted {
		h.evict, h.progressAt = evict, now
		h.budget.holds[h] = struct{}{}
	}
}

// Progress records that the holder's peer has done something.
func (h *Hold) Progress() {
	now := h.budget.config.Now()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progressAt = now
}

// Evicted reports whether the sender has given way. A nil hold never does.
func (h *Hold) Evicted() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// Close returns everything that is held. Further calls do nothing, and neither does that of a nil hold.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.closed {
		h.closed = true
		h.release()
	}
}
