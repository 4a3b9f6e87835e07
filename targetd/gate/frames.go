package gate

import (
	"context"
	"sync"
	"time"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
)

// frameDelay is how long a frame may wait for others to the same entry. One
// message for many streams costs little more than one for a single token.
const frameDelay = 2 * time.Millisecond

// frameWriter gathers the frames of all streams to one entry.
type frameWriter struct {
	peer *link.Conn

	sending sync.Mutex // keeps messages in the order of their frames
	mu      sync.Mutex
	pending []contract.Frame
}

// add takes a frame; it leaves within the delay.
func (w *frameWriter) add(f contract.Frame) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, f)
	if len(w.pending) == 1 {
		time.AfterFunc(frameDelay, w.flush)
	}
}

// flush sends what is pending. A lost frame shows as a lost connection at the
// entry.
func (w *frameWriter) flush() {
	w.sending.Lock()
	defer w.sending.Unlock()
	w.mu.Lock()
	frames := w.pending
	w.pending = nil
	w.mu.Unlock()
	if len(frames) > 0 {
		_ = w.peer.Notify(context.Background(), contract.MethodFrames, frames)
	}
}

// frameWriters holds the writer of each connected entry.
type frameWriters struct {
	mu      sync.Mutex
	writers map[*link.Conn]*frameWriter
}

func newFrameWriters() *frameWriters {
	return &frameWriters{writers: map[*link.Conn]*frameWriter{}}
}

func (ws *frameWriters) of(peer *link.Conn) *frameWriter {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w, ok := ws.writers[peer]; ok {
		return w
	}
	w := &frameWriter{peer: peer}
	ws.writers[peer] = w
	go func() {
		<-peer.Done()
		ws.mu.Lock()
		defer ws.mu.Unlock()
		delete(ws.writers, peer)
	}()
	return w
}
