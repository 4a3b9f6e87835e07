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
	is.True(l.Demand(start, 1)["muscat"] > 1)
	is.Equal(len(l.Demand(start.Add(time.Minute), 1)), 0)
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
