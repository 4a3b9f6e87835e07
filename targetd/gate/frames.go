package gate

import (
	"context"
	"sync"
	"time"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
)

// frameDelay is the time a frame waits for further frames to the same entry. A message for
// many streams costs little more than a message with a single token.
const frameDelay = 2 * time.Millisecond

// frameWriter batches the frames of all streams to one entry.
type frameWriter struct {
	peer *link.Conn

	sendMu  sync.Mutex // keeps messages in the order of their frames
	mu      sync.Mutex
	pending []contract.Frame
}

// add queues a frame, to be sent within frameDelay.
func (w *frameWriter) add(f contract.Frame) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, f)
	if len(w.pending) == 1 {
		time.AfterFunc(frameDelay, w.flush)
	}
}

// flush sends the pending frames. If they are lost, so is the connection, and the entry sees
// that.
func (w *frameWriter) flush() {
	w.sendMu.Lock()
	defer w.sendMu.Unlock()
	w.mu.Lock()
	frames := w.pending
	w.pending = nil
	w.mu.Unlock()
	if len(frames) > 0 {
		_ = w.peer.Notify(context.Background(), contract.MethodFrames, frames)
	}
}

// frameWriters holds a frameWriter for each connected entry.
type frameWriters struct {
	mu      sync.Mutex
	writers map[*link.Conn]*frameWriter
}

func newFrameWriters() *frameWriters {
	return &frameWriters{writers: map[*link.Conn]*frameWriter{}}
}

func (ws *frameWriters) writerFor(peer *link.Conn) *frameWriter {
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
