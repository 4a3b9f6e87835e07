package mesh

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// EncodeLayout encodes a layout as varints. layout[set][rank] lists the numbers of the
// experts; each list is preceded by its length. The encoding is compact because all ranks
// of a large group receive it at the same time over links of low bandwidth.
func EncodeLayout(layout [][][]int) []byte {
	out := binary.AppendUvarint(nil, uint64(len(layout)))
	for _, set := range layout {
		out = binary.AppendUvarint(out, uint64(len(set)))
		for _, experts := range set {
			out = binary.AppendUvarint(out, uint64(len(experts)))
			for _, expert := range experts {
				out = binary.AppendUvarint(out, uint64(expert))
			}
		}
	}
	return out
}

// maxLayoutValue is the maximum number of sets, ranks or experts, and the maximum
// expert number, that DecodeLayout accepts.
const maxLayoutValue = 4096

var errLayout = errors.New("cannot decode layout; the leader sends it again")

// DecodeLayout decodes the output of EncodeLayout. It returns an error if raw is
// truncated or exceeds a limit.
func DecodeLayout(raw []byte) ([][][]int, error) {
	next := func() (int, error) {
		n, size := binary.Uvarint(raw)
		if size <= 0 || n > maxLayoutValue {
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
			experts, err := next()
			if err != nil {
				return nil, err
			}
			layout[s][r] = make([]int, experts)
			for e := range layout[s][r] {
				if layout[s][r][e], err = next(); err != nil {
					return nil, err
				}
			}
		}
	}
	return layout, nil
}

// EncodeChoices encodes how often each expert was chosen between two readings of the
// counters, before and now, which are indexed by expert. The first byte is a number of
// bits. All counts are shifted right by it, so that each fits into one byte; only their
// proportions matter. EncodeChoices returns nil if no expert was chosen, if the readings
// differ in length, or if a counter has decreased, which means that the engine has
// restarted.
func EncodeChoices(before, now []int64) []byte {
	if len(before) != len(now) || len(now) == 0 {
		return nil
	}
	maxDelta := int64(0)
	for i := range now {
		if now[i] < before[i] {
			return nil
		}
		maxDelta = max(maxDelta, now[i]-before[i])
	}
	if maxDelta == 0 {
		return nil
	}
	shift := 0
	const maxByte = 255
	for maxDelta>>shift > maxByte {
		shift++
	}
	out := make([]byte, 1, len(now)+1)
	out[0] = byte(shift)
	rounding := int64(1) << shift >> 1
	for i := range now {
		out = append(out, byte(min((now[i]-before[i]+rounding)>>shift, maxByte)))
	}
	return out
}

// DecodeChoices decodes the output of EncodeChoices into approximate counts by expert.
// It returns nil for invalid input.
func DecodeChoices(raw []byte) []float64 {
	const maxShift = 62
	if len(raw) < 2 || raw[0] > maxShift {
		return nil
	}
	out := make([]float64, len(raw)-1)
	for i, b := range raw[1:] {
		out[i] = float64(int64(b) << raw[0])
	}
	return out
}
