package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/quarantine"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func TestStrikesExpire(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewList()
	l.Add(start, 1, "t/1")
	l.Add(start, 1, "t/2")
	until, quarantined := l.Quarantined(start, 1)
	is.True(quarantined)
	_, quarantined = l.Quarantined(until, 1)
	is.Equal(quarantined, false)
}

func ExampleList() {
	l := quarantine.NewList()
	fingerprint := quarantine.Fingerprint("muscat", "brief-model", []byte("prompt"))
	l.Add(start, fingerprint, "brief-1/7")
	l.Add(start, fingerprint, "brief-1/7") // the same crash reported again
	_, quarantined := l.Quarantined(start, fingerprint)
	fmt.Println(l.Strikes(start, fingerprint), quarantined)
	l.Add(start, fingerprint, "brief-2/3")
	_, quarantined = l.Quarantined(start, fingerprint)
	fmt.Println(l.Strikes(start, fingerprint), quarantined)
	// Output:
	// 1 false
	// 2 true
}
