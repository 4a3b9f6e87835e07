package storeview

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
)

const (
	// maxCompressed is the size in bytes up to which a compressed configuration is sent in
	// a datagram; peers read a larger one from the store.
	maxCompressed = 36 << 10
	// maxExpanded bounds the expanded size of a received configuration in bytes.
	maxExpanded = 16 << 20
)

// compress returns the configuration in compressed form, or nil if there is none or the
// result is too large for a datagram.
func compress(published []byte) []byte {
	if len(published) == 0 {
		return nil
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil // cannot happen: the level is valid
	}
	if _, err := w.Write(published); err != nil {
		return nil // cannot happen: writes to a buffer do not fail
	}
	if err := w.Close(); err != nil || out.Len() > maxCompressed {
		return nil
	}
	return out.Bytes()
}

// expand reverses compress. It fails if the data is not valid gzip data or expands to more
// than maxExpanded bytes.
func expand(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "configuration of a peer is not valid gzip data")
	}
	published, err := io.ReadAll(io.LimitReader(r, maxExpanded+1))
	if err != nil {
		return nil, errors.Wrap(err, "configuration of a peer is truncated or damaged")
	}
	if len(published) > maxExpanded {
		return nil, errors.New("configuration of a peer exceeds the size limit when expanded; it must be read from the store")
	}
	return published, nil
}
