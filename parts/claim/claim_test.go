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

func key(name, reservation string) claim.Claim {
	return claim.Claim{Organisation: "muscat", Key: name, Reservation: reservation}
}

// TestReadersAgreeAtTheEdgeOfTheWindow folds the same records from the beginning
// and from where the retention of the log begins.
func TestReadersAgreeAtTheEdgeOfTheWindow(t *testing.T) {
	is := is.New(t)
	records := []struct {
		at   time.Duration
		data []byte
	}{
		{0, batch(key("k", "first"))},
		{59 * time.Minute, batch(key("k", "too early"))},
		{60*time.Minute + 1, batch(key("k", "second"))},
		{61 * time.Minute, batch(key("k", "third"))},
	}
	whole, late := claim.NewTable(time.Hour), claim.NewTable(time.Hour)
	late.Skip(2) // the log keeps more than the window, so what is gone no longer holds
	for offset, r := range records {
		whole.Fold(int64(offset), start.Add(r.at), r.data)
		late.Fold(int64(offset), start.Add(r.at), r.data)
	}
	for _, table := range []*claim.Table{whole, late} {
		winner, ok := table.Winner("muscat", "k")
		is.True(ok)
		is.Equal(winner, "second")
	}
}

func TestReplacementNeedsTheVoidedWinner(t *testing.T) {
	is := is.New(t)
	table := claim.NewTable(time.Hour)
	table.Fold(0, start, batch(key("k", "first")))
	wrong := key("k", "second")
	wrong.Voided = "never won"
	table.Fold(1, start, batch(wrong))
	winner, _ := table.Winner("muscat", "k")
	is.Equal(winner, "first")
	right := key("k", "third")
	right.Voided = "first"
	table.Fold(2, start, batch(right))
	winner, _ = table.Winner("muscat", "k")
	is.Equal(winner, "third")
}

// BenchmarkMemory reports the heap that one remembered key takes.
func BenchmarkMemory(b *testing.B) {
	const n = 100_000
	for b.Loop() {
		before := heap()
		table := claim.NewTable(time.Hour)
		for i := range n {
			table.Fold(int64(i), start, batch(key(fmt.Sprint("key ", i), fmt.Sprintf("%0240d", i))))
		}
		b.ReportMetric(float64(heap()-before)/n, "B/key")
		runtime.KeepAlive(table)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func FuzzFold(f *testing.F) {
	f.Add(batch(key("k", "r")))
	f.Add([]byte(`{"claims":null}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		table := claim.NewTable(time.Hour)
		table.Fold(0, start, data)
		table.Fold(1, start.Add(2*time.Hour), data)
	})
}

func ExampleTable() {
	table := claim.NewTable(time.Hour)
	table.Fold(0, start, batch(key("k", "first")))
	table.Fold(1, start, batch(key("k", "second")))
	winner, _ := table.Winner("muscat", "k")
	_, known := table.Winner("nizwa", "k")
	fmt.Println(winner, known)
	// Output: first false
}
