// Package expertlayout holds the layouts of expert maps, which say which rank of a lock-step group
// holds which experts, and encodes them for messages. A layout of a large group takes many kilobytes,
// but a switch of maps changes little of it, so a message usually holds only the changes against a
// layout that the receiver knows.
package expertlayout

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Layout lists the experts of each rank, by set of layers and rank.
type Layout [][][]int

// Checksum identifies a layout, whatever the order in which a rank's experts are listed.
type Checksum uint64

// RoundRobin returns the layout in which the ranks hold the experts in turn, which is that of a group
// that has just been formed.
func RoundRobin(sets, ranks, experts int) Layout {
	l := make(Layout, sets)
	for s := range l {
		l[s] = make([][]int, ranks)
		for x := range experts {
			l[s][x%ranks] = append(l[s][x%ranks], x)
		}
	}
	return l
}

// OfRank returns the experts of one rank, by set.
func (l Layout) OfRank(rank int) [][]int {
	experts := make([][]int, len(l))
	for s := range l {
		if rank < len(l[s]) {
			experts[s] = l[s][rank]
		}
	}
	return experts
}

// Sorted returns the layout with each rank's experts in ascending order.
func (l Layout) Sorted() Layout {
	sorted := make(Layout, len(l))
	for s, ranks := range l {
		sorted[s] = make([][]int, len(ranks))
		for r, experts := range ranks {
			sorted[s][r] = slices.Sorted(slices.Values(experts))
		}
	}
	return sorted
}

// Checksum returns the checksum of the layout.
func (l Layout) Checksum() Checksum {
	var encoded []byte
	var sorted []int // reused for each rank
	for _, ranks := range l {
		encoded = binary.AppendUvarint(encoded, uint64(len(ranks)))
		for _, experts := range ranks {
			sorted = append(sorted[:0], experts...)
			slices.Sort(sorted)
			encoded = appendInts(encoded, sorted)
		}
	}
	return Checksum(xxhash.Sum64(encoded))
}

// Encode encodes the layout as varints. Each list is preceded by its length.
func (l Layout) Encode() []byte {
	out := binary.AppendUvarint(nil, uint64(len(l)))
	for _, ranks := range l {
		out = binary.AppendUvarint(out, uint64(len(ranks)))
		for _, experts := range ranks {
			out = appendInts(out, experts)
		}
	}
	return out
}

func appendInts(out []byte, values []int) []byte {
	out = binary.AppendUvarint(out, uint64(len(values)))
	for _, v := range values {
		out = binary.AppendUvarint(out, uint64(v))
	}
	return out
}

// maxValue is the maximum number of sets, ranks or experts, and the maximum expert number, that is
// decoded.
const maxValue = 4096

// errEncoding reports an encoded layout, or encoded changes, that cannot be decoded.
var errEncoding = errors.New("cannot decode layout; the leader sends it again")

// decoder reads varints.
type decoder struct{ raw []byte }

func (d *decoder) next() (int, error) {
	n, size := binary.Uvarint(d.raw)
	if size <= 0 || n > maxValue {
		return 0, errEncoding
	}
	d.raw = d.raw[size:]
	return int(n), nil
}

func (d *decoder) ints() ([]int, error) {
	n, err := d.next()
	if err != nil || n > len(d.raw) { // a value takes at least one byte
		return nil, errEncoding
	}
	values := make([]int, n)
	for i := range values {
		if values[i], err = d.next(); err != nil {
			return nil, err
		}
	}
	return values, nil
}

// Decode decodes the output of Encode. It returns an error if raw is truncated or exceeds a limit.
func Decode(raw []byte) (Layout, error) {
	d := decoder{raw}
	sets, err := d.next()
	if err != nil {
		return nil, err
	}
	l := make(Layout, sets)
	for s := range l {
		ranks, err := d.next()
		if err != nil || ranks > len(d.raw) {
			return nil, errEncoding
		}
		l[s] = make([][]int, ranks)
		for r := range l[s] {
			if l[s][r], err = d.ints(); err != nil {
				return nil, err
			}
		}
	}
	return l, nil
}
