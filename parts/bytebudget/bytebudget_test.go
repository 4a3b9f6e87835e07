package bytebudget_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"camphormill.dev/parts/bytebudget"
)

// clock is a clock that a test moves.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newBudget(size int64) (*bytebudget.Budget, *clock) {
	c := &clock{now: time.Unix(0, 0)}
	return bytebudget.New(bytebudget.Config{Bytes: size, StallTime: time.Second, Now: c.Now}), c
}

func ExampleBudget() {
	budget := bytebudget.New(bytebudget.Config{Bytes: 100, StallTime: time.Second, Now: time.Now})
	first, second := budget.Open(func() {}), budget.Open(func() {})
	fmt.Println(first.Grow(80), second.Grow(40))
	first.Close()
	fmt.Println(second.Grow(40))
	// Output:
	// true false
	// true
}

func TestStalestSenderGivesWay(t *testing.T) {
	is := is.New(t)
	budget, clock := newBudget(100)
	var evicted []string
	open := func(name string) *bytebudget.Hold { return budget.Open(func() { evicted = append(evicted, name) }) }
	stale, settled, fresh, late := open("stale"), open("settled"), open("fresh"), open("late")
	is.True(settled.Grow(30))
	settled.Settle()
	is.True(stale.Grow(30))
	clock.now = clock.now.Add(900 * time.Millisecond)
	is.True(fresh.Grow(40))
	is.True(!late.Grow(10)) // nobody has been without progress for long enough
	clock.now = clock.now.Add(200 * time.Millisecond)
	is.True(late.Grow(10))
	is.Equal(evicted, []string{"stale"})
	is.True(!stale.Grow(1))
	is.True(stale.Evicted())
	is.Equal(budget.Stats(), bytebudget.Stats{Held: 80, Evicted: 1, Refused: 1})
}

// TestLargestBodyAloneHasRoom guards against a budget below the largest legal body, under which none is ever served.
func TestLargestBodyAloneHasRoom(t *testing.T) {
	is := is.New(t)
	budget, _ := newBudget(100)
	alone, second := budget.Open(func() {}), budget.Open(func() {})
	is.True(alone.Grow(90))
	is.True(alone.Grow(90))
	is.True(!second.Grow(1))
	alone.Close()
	alone.Close()
	is.True(second.Grow(1))
	is.Equal(budget.Stats().Held, int64(1))
}

// TestBudgetIsNeverExceeded draws senders that come, grow, settle and leave.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 1000
		budget, clock := newBudget(size)
		held := map[*bytebudget.Hold]int64{}
		evictions := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			var hold *bytebudget.Hold
			hold = budget.Open(func() { delete(held, hold); evictions++ })
			held[hold] = 0
			for h := range held {
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0:
					h.Close()
					delete(held, h)
				case 1:
					h.Settle()
				default:
					n := rapid.Int64Range(1, 400).Draw(t, "bytes")
					if h.Grow(n) {
						held[h] += n
					}
				}
				clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			}
			sum, most := int64(0), int64(0)
			for _, n := range held {
				sum += n
				most = max(most, n)
			}
			stats := budget.Stats()
			if stats.Held != sum || stats.Evicted != evictions {
				t.Fatalf("holds %d, senders have %d; %d evicted, %d told", stats.Held, sum, stats.Evicted, evictions)
			}
			if sum > size && sum-most > size {
				t.Fatalf("holds %d of %d", sum, size)
			}
		}
	})
}

func TestBodyIsReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, 2 << 10, 2<<10 + 1, 16 << 10, 16<<10 + 1, 16<<10 + 2, 200_000} {
		for _, announced := range []int64{-1, int64(size)} {
			for _, slow := range []bool{false, true} {
				is := is.New(t)
				budget, _ := newBudget(1 << 20)
				hold := budget.Open(func() {})
				content := strings.Repeat("0123456789", size/10+1)[:size]
				var reader io.Reader = strings.NewReader(content)
				if slow {
					reader = iotest.DataErrReader(iotest.OneByteReader(reader))
				}
				body, err := bytebudget.ReadBody(reader, hold, 200_000, announced)
				is.NoErr(err)
				is.Equal(body.Len(), int64(size))
				read, err := io.ReadAll(body.Reader())
				is.NoErr(err)
				is.Equal(string(read), content)
				is.Equal(string(body.Bytes()), content)
				is.Equal(string(body.Last(7)), content[max(0, size-7):])
				is.True(budget.Stats().Held < int64(size)+64<<10+1)
				is.True(budget.Stats().Held == 0 || size >= 16<<10)
				is.True(budget.Stats().Held > 0 || size <= 16<<10+1)
			}
		}
	}
}

func TestBodyThatCannotBeKept(t *testing.T) {
	is := is.New(t)
	budget, clock := newBudget(100 << 10)
	open := func() *bytebudget.Hold { return budget.Open(func() {}) }
	_, err := bytebudget.ReadBody(iotest.ErrReader(io.ErrNoProgress), open(), 1000, 1001)
	is.Equal(err, bytebudget.ErrTooLarge) // without reading
	_, err = bytebudget.ReadBody(bytes.NewReader(make([]byte, 1001)), open(), 1000, -1)
	is.Equal(err, bytebudget.ErrTooLarge)
	_, err = bytebudget.ReadBody(iotest.ErrReader(io.ErrUnexpectedEOF), open(), 1000, -1)
	is.Equal(err, io.ErrUnexpectedEOF)
	holder := open()
	is.True(holder.Grow(90 << 10))
	_, err = bytebudget.ReadBody(bytes.NewReader(make([]byte, 30<<10)), open(), 1<<20, 30<<10)
	is.Equal(err, bytebudget.ErrFull)
	body, err := bytebudget.ReadPrefix(bytes.NewReader(make([]byte, 30<<10)), open(), 1<<20, 30<<10)
	is.NoErr(err)
	is.Equal(body.Len(), int64(bytebudget.FreeBytes))
	clock.now = clock.now.Add(2 * time.Second)
	body, err = bytebudget.ReadPrefix(bytes.NewReader(make([]byte, 30<<10)), open(), 1<<20, 30<<10)
	is.Equal(err, io.EOF) // the holder gave way
	is.Equal(body.Len(), int64(30<<10))
}
