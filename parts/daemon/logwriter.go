package daemon

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxBufferedLines is the number of lines that are buffered for a slow reader
// before further lines are dropped. It holds some seconds of a busy daemon in a few
// hundred kilobytes.
const maxBufferedLines = 2048

// droppedLines is the number of lines that all log writers of the process dropped.
var droppedLines atomic.Int64

// LogWriter writes log lines to another writer without blocking its callers. It
// drops a line if the buffer is full, and counts the dropped lines. It is safe for
// concurrent use.
type LogWriter struct {
	w       io.Writer
	lines   chan []byte // nil ends run
	dropped atomic.Int64
	closing sync.Once
	done    chan struct{} // closed when run has returned
}

// NewLogWriter returns a LogWriter that writes to w until it is closed.
func NewLogWriter(w io.Writer) *LogWriter {
	l := &LogWriter{w: w, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go l.run()
	return l
}

func (l *LogWriter) run() {
	defer close(l.done)
	for line := range l.lines {
		if line == nil {
			return
		}
		if _, err := l.w.Write(line); err != nil {
			l.countDropped() // there is no other place to report the error
		}
	}
}

// Write buffers a copy of the line, or drops the line if the buffer is full. It
// never fails. The line must not be empty: its copy would be nil, which ends run.
func (l *LogWriter) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.countDropped()
	}
	return len(line), nil
}

func (l *LogWriter) countDropped() {
	l.dropped.Add(1)
	droppedLines.Add(1)
}

// Dropped returns the number of lines that were dropped or could not be written.
func (l *LogWriter) Dropped() int64 { return l.dropped.Load() }

// Close waits until the buffered lines are written, however slow the other writer is,
// and stops the LogWriter. Lines written after Close are lost.
func (l *LogWriter) Close() {
	l.closing.Do(func() { l.lines <- nil })
	<-l.done
}
