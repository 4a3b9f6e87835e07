package quarantine_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/quarantine"
)

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// TestStrikesOfOneRequestAreBounded guards against memory that grows with the strikes that peers report.
func TestStrikesOfOneRequestAreBounded(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewList()
	const strikes = 10_000
	for i := range strikes {
		l.Merge(start, quarantine.Strike{Fingerprint: 1, Incarnation: fmt.Sprint("t/", i), Until: start.Add(time.Minute)})
	}
	is.True(len(l.Latest(start, strikes)) <= 64)
	_, quarantined := l.Quarantined(start, 1)
	is.True(quarantined)
}

// TestStrikeOfPeerEndsLikeOwn guards against strikes that a peer says to last for years.
func TestStrikeOfPeerEndsLikeOwn(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewList()
	own := l.Add(start, 1, "t/1")
	l.Merge(start, quarantine.Strike{Fingerprint: 2, Incarnation: "t/1", Until: start.Add(1000 * time.Hour)})
	is.Equal(l.Strikes(start, 2), 1)
	is.Equal(l.Strikes(own.Until, 2), 0)
}

// TestOverlongIncarnationsAreIgnored guards against records of kilobytes.
func TestOverlongIncarnationsAreIgnored(t *testing.T) {
	is := is.New(t)
	before := heapBytes()
	l, parts := quarantine.NewList(), quarantine.NewPartList()
	long := strings.Repeat("x", 10<<10)
	for i := range 4000 {
		incarnation := long + fmt.Sprint(i)
		l.Merge(start, quarantine.Strike{Fingerprint: uint64(i), Incarnation: incarnation, Until: start.Add(time.Minute)})
		parts.Merge(start, []quarantine.PartRecord{{Part: quarantine.PartID(i), Deaths: []quarantine.PartDeathRecord{{Incarnation: incarnation}}}})
	}
	after := heapBytes()
	runtime.KeepAlive(l)
	runtime.KeepAlive(parts)
	is.True(after < before+(16<<20))
}

// TestPartsOfOneDeathAreBounded guards against memory that grows with the parts that peers put down to one death.
func TestPartsOfOneDeathAreBounded(t *testing.T) {
	is := is.New(t)
	before := heapBytes()
	l := quarantine.NewPartList()
	for i := range 3_000_000 {
		l.Merge(start, []quarantine.PartRecord{{Part: quarantine.PartID(i), Deaths: []quarantine.PartDeathRecord{{Incarnation: "t/1"}}}})
	}
	after := heapBytes()
	runtime.KeepAlive(l)
	is.True(after < before+(16<<20))
}
