package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/quarantine"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func TestStrikesEnd(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewList()
	l.Add(start, 1, "t/1")
	l.Add(start, 1, "t/2")
	until, refused := l.Quarantined(start, 1)
	is.True(refused)
	_, refused = l.Quarantined(until, 1)
	is.Equal(refused, false)
}

func ExampleList() {
	l := quarantine.NewList()
	poison := quarantine.Fingerprint("muscat", "brief-model", []byte("prompt"))
	l.Add(start, poison, "brief-1/7")
	l.Add(start, poison, "brief-1/7") // the same death, told twice
	_, refused := l.Quarantined(start, poison)
	fmt.Println(l.Strikes(start, poison), refused)
	l.Add(start, poison, "brief-2/3")
	_, refused = l.Quarantined(start, poison)
	fmt.Println(l.Strikes(start, poison), refused)
	// Output:
	// 1 false
	// 2 true
}
