package daemon

import (
	"io"
	"sync"
	"sync/atomic"
)

// logBuffer is how many lines wait for a slow reader before lines are dropped:
// some seconds of a busy daemon, in a few hundred kilobytes.
const logBuffer = 2048

// droppedLines counts the lines that all log writers of the process have lost.
var droppedLines atomic.Int64

// LogWriter passes lines on without ever blocking the writer. Lines that find no
// room are dropped and counted. It is safe for concurrent use.
type LogWriter struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing sync.Once
	done    chan struct{}
}

// NewLogWriter returns a writer that passes lines on until it is closed.
func NewLogWriter(to io.Writer) *LogWriter {
	w := &LogWriter{to: to, lines: make(chan []byte, logBuffer), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *LogWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := w.to.Write(line); err != nil {
			w.drop() // nobody reads; there is no other place to tell it
		}
	}
}

// Write takes a line. It never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *LogWriter) drop() {
	w.dropped.Add(1)
	droppedLines.Add(1)
}

// Dropped counts the lines that were lost.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Close passes on what waits and ends the writer.
func (w *LogWriter) Close() {
	w.closing.Do(func() { w.lines <- nil })
	<-w.done
}
