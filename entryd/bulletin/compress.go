package bulletin

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxCompressed is the largest configuration that goes into a datagram; who
	// needs a larger one reads the store.
	maxCompressed = 36 << 10
	// maxExpanded bounds what a datagram may expand to.
	maxExpanded = 16 << 20
)

// compress returns the configuration for a datagram, or nil when there is none or
// it is too large.
func compress(published []byte) []byte {
	if len(published) == 0 {
		return nil
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil // the level is a constant that the library knows
	}
	if _, err := w.Write(published); err != nil {
		return nil // a buffer takes all
	}
	if err := w.Close(); err != nil || out.Len() > maxCompressed {
		return nil
	}
	return out.Bytes()
}

// expand reads what compress has written.
func expand(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "configuration is not compressed")
	}
	published, err := io.ReadAll(io.LimitReader(r, maxExpanded+1))
	if err != nil {
		return nil, errors.Wrap(err, "configuration is cut off")
	}
	if len(published) > maxExpanded {
		return nil, errors.New("configuration is too large; read the store")
	}
	return published, nil
}
