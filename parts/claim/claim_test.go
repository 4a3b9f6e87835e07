package claim_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/claim"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func batch(claims ...claim.Claim) []byte {
	data, err := json.Marshal(claim.Batch{ID: "b", Claims: claims})
	if err != nil {
		panic(err)
	}
	return data
}

func newClaim(key, reservation string) claim.Claim {
	return claim.Claim{Organisation: "muscat", Key: key, Reservation: reservation}
}

// TestReadersAgreeAtTheEdgeOfTheWindow checks that a reader of the whole stream and one
// that starts where the retention of the log begins find the same winner.
func TestReadersAgreeAtTheEdgeOfTheWindow(t *testing.T) {
	is := is.New(t)
	records := []struct {
		at   time.Duration
		data []byte
	}{
		{0, batch(newClaim("k", "first"))},
		{59 * time.Minute, batch(newClaim("k", "too early"))},
		{60*time.Minute + 1, batch(newClaim("k", "second"))},
		{61 * time.Minute, batch(newClaim("k", "third"))},
	}
	fromStart, fromRetention := claim.NewTable(time.Hour), claim.NewTable(time.Hour)
	fromRetention.Skip(2) // retention is longer than the window, so the removed claims have expired
	for offset, r := range records {
		fromStart.Apply(int64(offset), start.Add(r.at), r.data)
		fromRetention.Apply(int64(offset), start.Add(r.at), r.data)
	}
	for _, table := range []*claim.Table{fromStart, fromRetention} {
		winner, ok := table.Winner("muscat", "k")
		is.True(ok)
		is.Equal(winner, "second")
	}
}

func TestOnlyVoidedWinnerIsReplaced(t *testing.T) {
	is := is.New(t)
	table := claim.NewTable(time.Hour)
	table.Apply(0, start, batch(newClaim("k", "first")))
	wrong := newClaim("k", "second")
	wrong.Replaces = "never won"
	table.Apply(1, start, batch(wrong))
	winner, _ := table.Winner("muscat", "k")
	is.Equal(winner, "first")
	right := newClaim("k", "third")
	right.Replaces = "first"
	table.Apply(2, start, batch(right))
	winner, _ = table.Winner("muscat", "k")
	is.Equal(winner, "third")
}

// BenchmarkMemory reports the heap bytes of one retained key.
func BenchmarkMemory(b *testing.B) {
	const n = 100_000
	for b.Loop() {
		before := heapAlloc()
		table := claim.NewTable(time.Hour)
		for i := range n {
			table.Apply(int64(i), start, batch(newClaim(fmt.Sprint("key ", i), fmt.Sprintf("%0240d", i))))
		}
		b.ReportMetric(float64(heapAlloc()-before)/n, "B/key")
		runtime.KeepAlive(table)
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func FuzzApply(f *testing.F) {
	f.Add(batch(newClaim("k", "r")))
	f.Add([]byte(`{"claims":null}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		table := claim.NewTable(time.Hour)
		table.Apply(0, start, data)
		table.Apply(1, start.Add(2*time.Hour), data)
	})
}

func ExampleTable() {
	table := claim.NewTable(time.Hour)
	table.Apply(0, start, batch(newClaim("k", "first")))
	table.Apply(1, start, batch(newClaim("k", "second")))
	winner, _ := table.Winner("muscat", "k")
	_, known := table.Winner("nizwa", "k")
	fmt.Println(winner, known)
	// Output: first false
}
