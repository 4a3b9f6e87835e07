package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/limit"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func whole(string) float64 { return 1 }

func TestSharesNeverAddUpToMore(t *testing.T) {
	is := is.New(t)
	demands := []float64{0, 3, 40, 7}
	total, sum := 50.0, 0.0
	for _, own := range demands {
		sum += limit.DividedShare(own, total, len(demands))
	}
	is.True(sum <= 1+1e-9)
	is.True(limit.DividedShare(0, total, 4) > 0) // a quiet entry lets a first request pass
	is.Equal(limit.DividedShare(5, 5, 1), 1.0)
}

func TestQuietOrganisationsAreForgotten(t *testing.T) {
	is := is.New(t)
	l := limit.NewLimiter(whole)
	for range 100 {
		l.Admit(start, "muscat", limit.Rate{PerSecond: 10, Burst: 10})
	}
	one := func(string) float64 { return 1 }
	is.True(l.Demand(start, one, 9)["muscat"] > 1)
	is.Equal(len(l.Demand(start, one, 0)), 0) // no more than may be published
	is.Equal(len(l.Demand(start.Add(time.Minute), one, 9)), 0)
}

// TestQuietEntryServesWhatItDoesNotPublish is what the demo showed: an
// organisation far below its limit was refused at an entry where it was too quiet
// to be published, while another entry published it.
func TestQuietEntryServesWhatItDoesNotPublish(t *testing.T) {
	is := is.New(t)
	for _, entries := range []int{3, 20} {
		rate := limit.Rate{PerSecond: 50, Burst: 50}
		l := limit.NewLimiter(func(string) float64 { return limit.DividedShare(0, 10, entries) })
		gap := time.Duration(float64(time.Second) / limit.PublishFloor(rate.PerSecond, entries))
		for n := range 200 {
			at := start.Add(time.Duration(n/2) * 2 * gap) // two at once, then none for a while
			ok, _ := l.Admit(at, "sohar", rate)
			is.True(ok)
		}
	}
}

func ExampleLimiter() {
	l := limit.NewLimiter(whole)
	rate := limit.Rate{PerSecond: 2, Burst: 1}
	fmt.Println(l.Admit(start, "muscat", rate))
	ok, at := l.Admit(start, "muscat", rate)
	fmt.Println(ok, at.Sub(start))
	// Output:
	// true 0001-01-01 00:00:00 +0000 UTC
	// false 500ms
}

func ExampleBudget() {
	b := limit.NewBudget()
	retries := 0
	for b.Retry() {
		retries++
	}
	fmt.Println("full budget:", retries)
	for range 15 {
		b.FirstTry(0.1)
	}
	fmt.Println("after 15 first tries:", b.Retry(), b.Retry())
	// Output:
	// full budget: 10
	// after 15 first tries: true false
}
