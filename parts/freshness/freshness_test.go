package freshness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/freshness"
)

func Example() {
	var p freshness.Proof
	sent := freshness.Instant(10 * time.Second) // time at which the confirming read was sent
	p = p.With(7, sent)
	now := freshness.Instant(12 * time.Second)
	fmt.Println(p.IsCurrent(now, 7, 3*time.Second), p.IsCurrent(now, 7, time.Second), p.IsCurrent(now, 6, 3*time.Second))
	// Output: true false false
}

func TestOlderConfirmationIsIgnored(t *testing.T) {
	is := is.New(t)
	p := freshness.Proof{}.With(7, 100).With(6, 200).With(7, 50)
	age, ok := p.Age(150, 7)
	is.True(ok)
	is.Equal(age, time.Duration(50))
	is.True(!freshness.Proof{}.IsCurrent(0, 0, time.Hour)) // nothing is confirmed
}

func TestClockDoesNotGoBackwards(t *testing.T) {
	is := is.New(t)
	before := freshness.Now()
	is.True(freshness.Now() >= before)
}
