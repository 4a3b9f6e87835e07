package gate

import (
	"context"
	"sync"
	"time"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
)

// frameDelay is the time for which a frame (one token of a streamed answer) waits for further
// frames to the same entry. A message for many streams costs little more than a message with a
// single token.
const frameDelay = 2 * time.Millisecond

// frameWriter batches the frames of all streams to one entry. It is safe for concurrent use.
type frameWriter struct {
	peer *link.Conn

	sendMu  sync.Mutex // held while sending, so that messages keep the order of their frames; locked before mu
	mu      sync.Mutex // guards pending
	pending []contract.Frame
}

// add queues a frame. It is sent after frameDelay, or before that by a flush for other frames.
func (w *frameWriter) add(f contract.Frame) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, f)
	if len(w.pending) == 1 {
		time.AfterFunc(frameDelay, w.flush)
	}
}

// flush sends the pending frames. It also waits for a concurrent flush to end. It ignores a
// failure to send: the connection is then lost, and the entry sees that.
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

// writerFor returns the writer for an entry, and deletes it again when the connection ends.
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
