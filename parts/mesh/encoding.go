package mesh

import (
	"math"
	"math/rand/v2"
	"slices"
)

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

// coarseFlag is set in the first byte of the output of EncodeCoarseChoices.
const coarseFlag = 0x80

// maxShift is the maximum number of bits in the first byte of encoded choices.
const maxShift = 62

// EncodeCoarseChoices is EncodeChoices with half the size: each count, in proportion to the largest, is
// kept as its square root in four bits. It is rounded up or down at random so that the mean over several
// ranks is exact.
func EncodeCoarseChoices(before, now []int64) []byte {
	fine := EncodeChoices(before, now)
	if fine == nil {
		return nil
	}
	largest := slices.Max(fine[1:])
	out := make([]byte, 1, len(fine)/2+2)
	out[0] = coarseFlag | fine[0]
	out = append(out, largest)
	for i, b := range fine[1:] {
		root := coarseRoot(float64(b) / float64(largest))
		if i%2 == 0 {
			out = append(out, root<<nibbleBits)
		} else {
			out[len(out)-1] |= root
		}
	}
	return out
}

// coarseRoot returns the square root of a share of the largest count, in units of 1/maxNibble. Its square
// has the share as its mean.
func coarseRoot(share float64) byte {
	low := math.Floor(maxNibble * math.Sqrt(share))
	if low == maxNibble {
		return maxNibble
	}
	excess := share*maxNibble*maxNibble - low*low
	if rand.Float64() < excess/(2*low+1) {
		low++
	}
	return byte(low)
}

const (
	nibbleBits = 4
	maxNibble  = 1<<nibbleBits - 1
)

// decodeCoarseChoices decodes the output of EncodeCoarseChoices. The last count is an additional 0 if the
// number of experts is odd.
func decodeCoarseChoices(raw []byte) []float64 {
	shift := raw[0] &^ coarseFlag
	if shift > maxShift || len(raw) < 3 {
		return nil
	}
	largest := float64(int64(raw[1]) << shift)
	out := make([]float64, 0, 2*(len(raw)-2))
	for _, b := range raw[2:] {
		for _, root := range []byte{b >> nibbleBits, b & maxNibble} {
			share := float64(root) / maxNibble
			out = append(out, share*share*largest)
		}
	}
	return out
}

// DecodeChoices decodes the output of EncodeChoices or EncodeCoarseChoices into approximate counts by
// expert. It returns nil for invalid input.
func DecodeChoices(raw []byte) []float64 {
	if len(raw) >= 1 && raw[0]&coarseFlag != 0 {
		return decodeCoarseChoices(raw)
	}
	if len(raw) < 2 || raw[0] > maxShift {
		return nil
	}
	out := make([]float64, len(raw)-1)
	for i, b := range raw[1:] {
		out[i] = float64(int64(b) << raw[0])
	}
	return out
}
