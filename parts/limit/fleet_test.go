package limit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/limit"
)

// TestRetryBudgetsKeepLimitTogether guards against entries that together send more retries in some window than their limit
// allows, whatever requests they get and however often they restart: at most twice each in a window.
func TestRetryBudgetsKeepLimitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := limit.RetryLimit{
			Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), Reserve: rapid.Float64Range(0, 400).Draw(t, "reserve"), Window: 10 * time.Second,
		}
		entries := rapid.IntRange(1, 30).Draw(t, "entries")
		budgets := make([]*limit.RetryBudget, entries)
		startedAt := make([]int, entries) // as a tick
		const tick, ticks, window = 100 * time.Millisecond, 400, 100
		at := func(n int) freshness.Instant { return freshness.Instant(time.Duration(n) * tick) }
		for i := range budgets {
			budgets[i] = limit.NewRetryBudget(l, at(0))
		}
		var requests, retries [ticks]int
		for n := range ticks {
			i := rapid.IntRange(0, entries-1).Draw(t, "entry")
			if n-startedAt[i] >= window/2 && rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				budgets[i], startedAt[i] = limit.NewRetryBudget(l, at(n)), n
			}
			for range rapid.IntRange(0, 40).Draw(t, "requests") {
				budgets[i].Deposit(at(n))
				requests[n]++
			}
			for range rapid.IntRange(0, 40).Draw(t, "failures") {
				if budgets[i].Withdraw(at(n), entries) {
					retries[n]++
				}
			}
		}
		sum := func(counts []int) (total int) {
			for _, c := range counts {
				total += c
			}
			return total
		}
		for from := window; from+window <= ticks; from++ {
			counted := max(sum(requests[from:from+window]), sum(requests[from-window:from]))
			if allowed := l.Ratio*float64(counted) + l.Reserve; float64(sum(retries[from:from+window])) > allowed+1e-6 {
				t.Fatalf("%d retries from tick %d, %.1f allowed", sum(retries[from:from+window]), from, allowed)
			}
		}
	})
}

// TestUnknownFleetSizeGrantsNoReserve guards against an entry that uses the whole reserve of the fleet before it has heard of
// any other entry.
func TestUnknownFleetSizeGrantsNoReserve(t *testing.T) {
	is := is.New(t)
	b := limit.NewRetryBudget(limit.RetryLimit{Ratio: 0.2, Reserve: 400, Window: 10 * time.Second}, 0)
	now := freshness.Instant(time.Minute)
	is.True(!b.Withdraw(now, 0))
	for range 11 {
		b.Deposit(now)
	}
	is.True(b.Withdraw(now, 0)) // earned
	is.True(!b.Withdraw(now, 0))
	is.True(b.Withdraw(now, 100)) // its part of the reserve
}

func BenchmarkRetryBudget(b *testing.B) {
	budget := limit.NewRetryBudget(limit.RetryLimit{Ratio: 0.2, Reserve: 400, Window: 10 * time.Second}, 0)
	b.ReportAllocs()
	for n := range b.N {
		now := freshness.Instant(time.Duration(n) * time.Millisecond)
		budget.Deposit(now)
		budget.Withdraw(now, 400)
	}
}
