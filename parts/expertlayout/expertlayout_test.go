package expertlayout_test

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"camphormill.dev/parts/expertlayout"
)

// drawLayout draws a layout of the given dimensions in which each rank holds up to three experts.
func drawLayout(t *rapid.T, sets, ranks, experts int) expertlayout.Layout {
	l := make(expertlayout.Layout, sets)
	for s := range l {
		l[s] = make([][]int, ranks)
		for r := range l[s] {
			l[s][r] = rapid.SliceOfNDistinct(rapid.IntRange(0, experts-1), 0, min(3, experts), rapid.ID[int]).Draw(t, "experts")
		}
	}
	return l
}

func TestLayoutSurvivesEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLayout(t, rapid.IntRange(0, 3).Draw(t, "sets"), rapid.IntRange(1, 9).Draw(t, "ranks"), 200)
		decoded, err := expertlayout.Decode(l.Encode())
		if err != nil || fmt.Sprint(decoded) != fmt.Sprint(l) {
			t.Fatal(decoded, l, err)
		}
	})
}

func TestLayoutRoundTrip(t *testing.T) {
	is := is.New(t)
	layout := expertlayout.Layout{{{0, 2, 251}, {}, {1}}, {{5}, {300}, {4, 4}}}
	got, err := expertlayout.Decode(layout.Encode())
	is.NoErr(err)
	is.Equal(got, layout)
}

// TestLargeLayoutFitsInDatagram bounds the encoded layout of a group of 63 ranks.
func TestLargeLayoutFitsInDatagram(t *testing.T) {
	is := is.New(t)
	layout := make(expertlayout.Layout, 8)
	for s := range layout {
		layout[s] = make([][]int, 63)
		for r := range layout[s] {
			layout[s][r] = []int{1, 100, 127, 200, 251}
		}
	}
	is.True(len(layout.Encode()) < 5000)
}

// FuzzDecode feeds arbitrary bytes to the decoder, and checks that a layout that decodes also survives a
// round trip.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{255, 255, 255, 255, 15})
	f.Add(expertlayout.Layout{{{1}}}.Encode())
	f.Fuzz(func(t *testing.T, raw []byte) {
		layout, err := expertlayout.Decode(raw)
		if err != nil {
			return
		}
		decoded, err := expertlayout.Decode(layout.Encode())
		if err != nil || !reflect.DeepEqual(layout, decoded) {
			t.Fatalf("layout %v became %v after a round trip (error: %v)", layout, decoded, err)
		}
	})
}

// TestChangesLeadToSameLayout sends a chain of layouts as changes to a receiver that starts with none.
// The base of the first is the round-robin layout, which needs no message.
func TestChangesLeadToSameLayout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets, ranks, experts := rapid.IntRange(1, 3).Draw(t, "sets"), rapid.IntRange(1, 9).Draw(t, "ranks"), rapid.IntRange(1, 20).Draw(t, "experts")
		var known expertlayout.Known
		base := expertlayout.RoundRobin(sets, ranks, experts)
		for range rapid.IntRange(1, 6).Draw(t, "switches") {
			next := drawLayout(t, sets, ranks, experts)
			changes := expertlayout.Diff(base, next, experts)
			for range 2 { // the second time, as a repeated message
				got, err := known.Apply(changes)
				if err != nil || got.Checksum() != next.Checksum() {
					t.Fatal(got, next, err)
				}
			}
			base = next
		}
	})
}

// TestChangesAgainstUnknownLayoutAreRefused checks that a receiver without the base gets a typed error
// and applies nothing, and that the whole layout then makes it known.
func TestChangesAgainstUnknownLayoutAreRefused(t *testing.T) {
	is := is.New(t)
	base := expertlayout.Layout{{{0, 1}, {2}}}
	next := expertlayout.Layout{{{0}, {1, 2}}}
	changes := expertlayout.Diff(base, next, 3)
	var known expertlayout.Known
	_, err := known.Apply(changes)
	var unknown *expertlayout.UnknownBaseError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.Base, base.Checksum())
	known.Add(base)
	got, err := known.Apply(changes)
	is.NoErr(err)
	is.Equal(got.Checksum(), next.Checksum())
}

// TestDamagedChangesAreRefused cuts changes off at each byte, and changes each byte. Whatever can be
// applied has the announced result.
func TestDamagedChangesAreRefused(t *testing.T) {
	is := is.New(t)
	base := expertlayout.RoundRobin(2, 4, 8)
	next := expertlayout.RoundRobin(2, 4, 8)
	next[0][1], next[1][3] = []int{1, 5, 2}, []int{3}
	changes := expertlayout.Diff(base, next, 8)
	try := func(encoded []byte) {
		damaged := changes
		damaged.Encoded = encoded
		var known expertlayout.Known
		if got, err := known.Apply(damaged); err == nil {
			is.Equal(got.Checksum(), next.Checksum())
		}
	}
	for i := range changes.Encoded {
		try(changes.Encoded[:i])
		for bit := range 8 {
			damaged := append([]byte(nil), changes.Encoded...)
			damaged[i] ^= 1 << bit
			try(damaged)
		}
	}
	huge := changes
	huge.Sets, huge.Ranks, huge.Experts = 4096, 4096, 4096
	var known expertlayout.Known
	_, err := known.Apply(huge)
	is.True(err != nil) // and no layout of this size was built
}

func ExampleDiff() {
	base := expertlayout.RoundRobin(16, 129, 258)
	next := expertlayout.RoundRobin(16, 129, 258)
	for s := range next {
		for r := range 10 { // ten replicas in each set
			next[s][r] = append(next[s][r], 200+r)
		}
	}
	fmt.Println(len(next.Encode()), "bytes whole,", len(expertlayout.Diff(base, next, 258).Encoded), "bytes of changes")
	// Output: 8625 bytes whole, 1280 bytes of changes
}
