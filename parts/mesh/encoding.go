package mesh

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// EncodeLayout writes a layout by set and rank in few bytes: all ranks of a large
// group need it at once over narrow links.
func EncodeLayout(layout [][][]int) []byte {
	out := binary.AppendUvarint(nil, uint64(len(layout)))
	for _, set := range layout {
		out = binary.AppendUvarint(out, uint64(len(set)))
		for _, held := range set {
			out = binary.AppendUvarint(out, uint64(len(held)))
			for _, expert := range held {
				out = binary.AppendUvarint(out, uint64(expert))
			}
		}
	}
	return out
}

// maxLayoutPart bounds the sets, ranks and experts of a layout that is read.
const maxLayoutPart = 4096

var errLayout = errors.New("layout cannot be read; the leader sends it again")

// DecodeLayout reads what EncodeLayout has written.
func DecodeLayout(raw []byte) ([][][]int, error) {
	next := func() (int, error) {
		n, size := binary.Uvarint(raw)
		if size <= 0 || n > maxLayoutPart {
			return 0, errLayout
		}
		raw = raw[size:]
		return int(n), nil
	}
	sets, err := next()
	if err != nil {
		return nil, err
	}
	layout := make([][][]int, sets)
	for s := range layout {
		ranks, err := next()
		if err != nil {
			return nil, err
		}
		layout[s] = make([][]int, ranks)
		for r := range layout[s] {
			held, err := next()
			if err != nil {
				return nil, err
			}
			layout[s][r] = make([]int, held)
			for e := range layout[s][r] {
				if layout[s][r][e], err = next(); err != nil {
					return nil, err
				}
			}
		}
	}
	return layout, nil
}

// EncodeChoices writes how often each expert was chosen since an earlier count.
// Counts share a scale so that each takes one byte: what matters is their
// proportion. A count that went back belongs to an engine that started anew, and
// gives nothing.
func EncodeChoices(before, now []int64) []byte {
	if len(before) != len(now) || len(now) == 0 {
		return nil
	}
	most := int64(0)
	for i := range now {
		if now[i] < before[i] {
			return nil
		}
		most = max(most, now[i]-before[i])
	}
	if most == 0 {
		return nil
	}
	scale := 0
	const oneByte = 255
	for most>>scale > oneByte {
		scale++
	}
	out := make([]byte, 1, len(now)+1)
	out[0] = byte(scale)
	half := int64(1) << scale >> 1
	for i := range now {
		out = append(out, byte(min((now[i]-before[i]+half)>>scale, oneByte)))
	}
	return out
}

// DecodeChoices reads what EncodeChoices has written.
func DecodeChoices(raw []byte) []float64 {
	const maxScale = 62
	if len(raw) < 2 || raw[0] > maxScale {
		return nil
	}
	out := make([]float64, len(raw)-1)
	for i, b := range raw[1:] {
		out[i] = float64(int64(b) << raw[0])
	}
	return out
}
