package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/limit"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func fullShare(string) float64 { return 1 }

func TestSharesNeverExceedTheLimit(t *testing.T) {
	is := is.New(t)
	demands := []float64{0, 3, 40, 7}
	total, sum := 50.0, 0.0
	for _, own := range demands {
		sum += limit.EntryShare(own, total, len(demands))
	}
	is.True(sum <= 1+1e-9)
	is.True(limit.EntryShare(0, total, 4) > 0) // an entry without demand still admits a first request
	is.Equal(limit.EntryShare(5, 5, 1), 1.0)
}

func TestDemandDropsIdleOrganisations(t *testing.T) {
	is := is.New(t)
	l := limit.NewLimiter(fullShare)
	for range 100 {
		l.Admit(start, "muscat", limit.Rate{PerSecond: 10, Burst: 10})
	}
	oneRequestPerSecond := func(string) float64 { return 1 }
	is.True(l.Demand(start, oneRequestPerSecond, 9)["muscat"] > 1)
	is.Equal(len(l.Demand(start, oneRequestPerSecond, 0)), 0) // at most maxCount organisations are returned
	is.Equal(len(l.Demand(start.Add(time.Minute), oneRequestPerSecond, 9)), 0)
}

// TestUnpublishedDemandIsAdmitted guards against refusing an organisation far below
// its limit: its demand at one entry is too low to be published, while another entry
// publishes demand for it and so receives most of the limit.
func TestUnpublishedDemandIsAdmitted(t *testing.T) {
	is := is.New(t)
	for _, entries := range []int{3, 20} {
		rate := limit.Rate{PerSecond: 50, Burst: 50}
		l := limit.NewLimiter(func(string) float64 { return limit.EntryShare(0, 10, entries) })
		gap := time.Duration(float64(time.Second) / limit.MinPublishedDemand(rate.PerSecond, entries))
		for n := range 200 {
			at := start.Add(time.Duration(n/2) * 2 * gap) // two requests at once, then a pause of two gaps
			ok, _ := l.Admit(at, "sohar", rate)
			is.True(ok)
		}
	}
}

func ExampleLimiter() {
	l := limit.NewLimiter(fullShare)
	rate := limit.Rate{PerSecond: 2, Burst: 1}
	fmt.Println(l.Admit(start, "muscat", rate))
	ok, at := l.Admit(start, "muscat", rate)
	fmt.Println(ok, at.Sub(start))
	// Output:
	// true 0001-01-01 00:00:00 +0000 UTC
	// false 500ms
}

func ExampleRetryBudget() {
	second := freshness.Instant(time.Second)
	const entries = 2
	b := limit.NewRetryBudget(limit.RetryLimit{Ratio: 0.2, Reserve: 40, Window: 10 * time.Second}, second)
	retries := 0
	for b.Withdraw(second, entries) {
		retries++
	}
	fmt.Println("of the reserve at the start:", retries)
	for range 15 {
		b.Deposit(second)
	}
	fmt.Println("after 15 first tries:", b.Withdraw(second, entries), b.Withdraw(second, entries))
	// Output:
	// of the reserve at the start: 2
	// after 15 first tries: true false
}
