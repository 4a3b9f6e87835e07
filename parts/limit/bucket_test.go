package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/limit"
)

func ExampleBucket() {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	b := limit.NewBucket(now, 2)
	b, first := b.Take(now)
	b, second := b.Take(now)
	fmt.Println(first, second, b.NextIn(now))
	// Output: true false 500ms
}

// TestBucketKeepsRate checks that a bucket that is asked all the time grants no more than its rate
// and its burst, whatever the rate.
func TestBucketKeepsRate(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for _, perSecond := range []float64{0.1, 1, 2.2, 40} {
		b := limit.NewBucket(now, perSecond)
		granted := 0
		const seconds = 20
		for tick := range 100 * seconds {
			var ok bool
			if b, ok = b.Take(now.Add(time.Duration(tick) * 10 * time.Millisecond)); ok {
				granted++
			}
		}
		is.True(float64(granted) <= perSecond*seconds+max(1, perSecond/2))
		is.True(float64(granted) >= perSecond*seconds-1)
	}
	_, ok := limit.NewEmptyBucket(now, 2).Take(now)
	is.True(!ok)
}
