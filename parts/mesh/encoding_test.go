package mesh_test

import (
	"reflect"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/mesh"
)

func TestLayoutRoundTrip(t *testing.T) {
	is := is.New(t)
	layout := [][][]int{{{0, 2, 251}, {}, {1}}, {{5}, {300}, {4, 4}}}
	got, err := mesh.DecodeLayout(mesh.EncodeLayout(layout))
	is.NoErr(err)
	is.Equal(got, layout)
}

// TestLargeLayoutFitsInDatagram bounds the encoded layout of a group of 63 ranks.
func TestLargeLayoutFitsInDatagram(t *testing.T) {
	is := is.New(t)
	layout := make([][][]int, 8)
	for s := range layout {
		layout[s] = make([][]int, 63)
		for r := range layout[s] {
			layout[s][r] = []int{1, 100, 127, 200, 251}
		}
	}
	is.True(len(mesh.EncodeLayout(layout)) < 5000)
}

func TestChoicesKeepTheirProportions(t *testing.T) {
	is := is.New(t)
	got := mesh.DecodeChoices(mesh.EncodeChoices([]int64{5, 0, 0}, []int64{5, 100_000, 50_000}))
	is.Equal(got[0], 0.0)
	is.True(got[1] > 99_000 && got[1] < 101_000)
	is.True(got[2]/got[1] > 0.49 && got[2]/got[1] < 0.51)
	is.Equal(mesh.EncodeChoices([]int64{9}, []int64{3}), nil) // the counter decreased: the engine has restarted
}

// FuzzDecode feeds arbitrary bytes to the decoders, and checks that a layout that
// decodes also survives a round trip.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{255, 255, 255, 255, 15})
	f.Add(mesh.EncodeLayout([][][]int{{{1}}}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		mesh.DecodeChoices(raw)
		layout, err := mesh.DecodeLayout(raw)
		if err != nil {
			return
		}
		decoded, err := mesh.DecodeLayout(mesh.EncodeLayout(layout))
		if err != nil || !reflect.DeepEqual(layout, decoded) {
			t.Fatalf("layout %v became %v after a round trip (error: %v)", layout, decoded, err)
		}
	})
}
