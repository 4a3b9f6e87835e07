package bytebudget

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// FreeBytes is the part of a body that is not counted.
	FreeBytes = 16 << 10
	// firstBlock and blockBytes are the sizes of the blocks in which a body of unknown length is read.
	firstBlock = 2 << 10
	blockBytes = 64 << 10
	// endByte is the block that finds the end of a body whose announced bytes have come.
	endByte = 1
)

var (
	// ErrTooLarge reports a body over its limit.
	ErrTooLarge = errors.New("body exceeds the size limit; send a smaller one")
	// ErrFull reports that the budget has no room for a body, or that its sender has given way to others.
	ErrFull = errors.New("no memory for the body is left; send it again later")
)

// Body is a body in blocks. Its zero value is empty.
type Body struct {
	blocks [][]byte
	size   int64
}

// NewBody returns a body of one block.
func NewBody(block []byte) Body { return Body{blocks: [][]byte{block}, size: int64(len(block))} }

// Len returns the number of bytes.
func (b Body) Len() int64 { return b.size }

// Reader returns a reader of the whole body.
func (b Body) Reader() io.Reader {
	readers := make([]io.Reader, len(b.blocks))
	for i, block := range b.blocks {
		readers[i] = bytes.NewReader(block)
	}
	return io.MultiReader(readers...)
}

// Blocks returns the blocks of the body, which must not be changed.
func (b Body) Blocks() [][]byte { return b.blocks }

// Bytes returns the body as one block. A body of several blocks is copied.
func (b Body) Bytes() []byte {
	if len(b.blocks) == 1 {
		return b.blocks[0]
	}
	return bytes.Join(b.blocks, nil)
}

// Last returns up to n bytes of the body's end.
func (b Body) Last(n int) []byte {
	var last []byte
	for i := len(b.blocks) - 1; i >= 0 && len(last) < n; i-- {
		block := b.blocks[i]
		last = append(bytes.Clone(block[max(0, len(block)-n+len(last)):]), last...)
	}
	return last
}

// ReadBody reads a whole body of at most limit bytes and settles the hold. announced is its length, -1 if that is not
// known; a body that is announced as too large is not read. The hold may be nil for a body that is announced with at most
// FreeBytes. The error is ErrTooLarge, ErrFull, or that of the reader.
func ReadBody(r io.Reader, h *Hold, limit, announced int64) (Body, error) {
	if announced > limit {
		return Body{}, ErrTooLarge
	}
	body, err := readBlocks(r, h, limit+1, announced)
	switch {
	case body.size > limit:
		return Body{}, ErrTooLarge
	case err == io.EOF && h.Settle():
		return body, nil
	case err == io.EOF, err == ErrFull, h.Evicted():
		return Body{}, ErrFull
	}
	return Body{}, err
}

// ReadPrefix reads a body up to limit bytes, or until the budget has no room for more. The error is io.EOF if the
// body has ended, and nil if more may follow.
func ReadPrefix(r io.Reader, h *Hold, limit, announced int64) (Body, error) {
	body, err := readBlocks(r, h, limit, announced)
	if err == ErrFull {
		return body, nil
	}
	return body, err
}

// readBlocks reads up to size bytes. Its error is io.EOF at the end of the body, and nil if more may follow.
func readBlocks(r io.Reader, h *Hold, size, announced int64) (Body, error) {
	var body Body
	for body.size < size {
		n := min(nextBlock(body.size, announced), size-body.size)
		if body.size+n > FreeBytes+endByte && !h.Grow(n) {
			return body, ErrFull
		}
		block := make([]byte, n)
		read, err := fill(r, block)
		if read > 0 {
			body.blocks = append(body.blocks, block[:read:read])
			body.size += int64(read)
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// nextBlock returns the size of the next block of a body of which size bytes have been read.
func nextBlock(size, announced int64) int64 {
	next := int64(blockBytes)
	switch {
	case size == 0:
		next = firstBlock
	case size < FreeBytes:
		next = FreeBytes - size
	}
	if announced >= 0 {
		next = min(next, max(announced-size, endByte))
	}
	return next
}

// fill reads until the block is full or the reader fails.
func fill(r io.Reader, block []byte) (n int, err error) {
	for n < len(block) && err == nil {
		var read int
		read, err = r.Read(block[n:])
		n += read
	}
	return n, err
}
