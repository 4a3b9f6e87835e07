package mesh_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/mesh"
)

func TestChoicesKeepTheirProportions(t *testing.T) {
	is := is.New(t)
	got := mesh.DecodeChoices(mesh.EncodeChoices([]int64{5, 0, 0}, []int64{5, 100_000, 50_000}))
	is.Equal(got[0], 0.0)
	is.True(got[1] > 99_000 && got[1] < 101_000)
	is.True(got[2]/got[1] > 0.49 && got[2]/got[1] < 0.51)
	is.Equal(mesh.EncodeChoices([]int64{9}, []int64{3}), nil) // the counter decreased: the engine has restarted
}

// TestCoarseChoicesKeepTheirProportions checks that the mean over ranks with different numbers of
// choices keeps the shares of the experts within a tenth of the mean share.
func TestCoarseChoicesKeepTheirProportions(t *testing.T) {
	is := is.New(t)
	const experts = 101 // an odd number
	exact, decoded := make([]float64, experts), make([]float64, experts+1)
	exactTotal, decodedTotal := 0.0, 0.0
	for rank := range int64(60) {
		counts := make([]int64, experts)
		for x := range counts {
			counts[x] = 100 + rank*7 + int64(x*x%211)*(10+rank)
			exact[x] += float64(counts[x])
			exactTotal += float64(counts[x])
		}
		for x, n := range mesh.DecodeChoices(mesh.EncodeCoarseChoices(make([]int64, experts), counts)) {
			decoded[x] += n
			decodedTotal += n
		}
	}
	for x := range exact {
		is.True(math.Abs(exact[x]/exactTotal-decoded[x]/decodedTotal) < 0.1/experts)
	}
	is.Equal(decoded[experts], 0.0)
}

func TestCoarseChoicesTakeHalfTheSize(t *testing.T) {
	is := is.New(t)
	before, now := make([]int64, 4128), make([]int64, 4128)
	for x := range now {
		now[x] = int64(x)
	}
	is.True(2*len(mesh.EncodeCoarseChoices(before, now)) <= len(mesh.EncodeChoices(before, now))+8)
	is.Equal(mesh.EncodeCoarseChoices([]int64{9}, []int64{3}), nil) // the counter decreased: the engine has restarted
}

// FuzzDecode feeds arbitrary bytes to the decoder of choices.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{255, 255, 255, 255, 15})
	f.Add([]byte{128, 255, 31})
	f.Fuzz(func(t *testing.T, raw []byte) {
		for _, n := range mesh.DecodeChoices(raw) {
			if n < 0 {
				t.Fatal("a count below zero")
			}
		}
	})
}
