package httpclient

import (
	"io"

	"github.com/pkg/errors"
)

// maxHeadBytes bounds the head of a response, because a faulty target may send one without end.
const maxHeadBytes = 64 << 10

// headLimiter bounds what is read from a connection while the head of a response is read.
type headLimiter struct {
	source    io.Reader
	unlimited bool
	remaining int // bytes that may be read, unless unlimited is set
}

func (l *headLimiter) allow(bytes int) { l.unlimited, l.remaining = false, bytes }

func (l *headLimiter) allowAll() { l.unlimited = true }

// Read reads from the connection, up to the limit.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.unlimited {
		return l.source.Read(p)
	}
	if l.remaining == 0 {
		return 0, errors.Errorf("the head of the response exceeds %d bytes; the connection is closed", maxHeadBytes)
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
