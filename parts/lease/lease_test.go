package lease_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/lease"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func encode(r lease.Record) []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}

func TestOnlyHolderRenews(t *testing.T) {
	is := is.New(t)
	table := lease.NewTable(10 * time.Second)
	first := int64(0)
	table.Apply(start, 0, encode(lease.Record{Group: "g", Holder: "a"}))
	table.Apply(start.Add(9*time.Second), 1, encode(lease.Record{Group: "g", Holder: "b", Renews: &first}))
	is.True(table.Available(start.Add(11*time.Second), "g")) // a record of b does not renew the lease of a
	table.Apply(start.Add(11*time.Second), 2, encode(lease.Record{Group: "g", Holder: "b"}))
	table.Apply(start.Add(12*time.Second), 3, encode(lease.Record{Group: "g", Holder: "a", Renews: &first}))
	holder, fence, _ := table.Holder("g")
	is.Equal(holder, "b") // a renews after its lease was replaced
	is.Equal(fence, int64(2))
}

func FuzzApply(f *testing.F) {
	f.Add(encode(lease.Record{Group: "g", Holder: "a"}))
	f.Add([]byte(`{"group":"g","renews":9}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		table := lease.NewTable(time.Second)
		table.Apply(start, 0, data)
		table.Apply(start, 1, data)
	})
}

func ExampleTable() {
	table := lease.NewTable(10 * time.Second)
	fmt.Println(table.Available(start, "brief-1"))
	table.Apply(start, 41, encode(lease.Record{Group: "brief-1", Holder: "om-brief-01/x"}))
	holder, fence, _ := table.Holder("brief-1")
	fmt.Println(table.Available(start, "brief-1"), holder, fence)
	// Output:
	// true
	// false om-brief-01/x 41
}
