package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/membership"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func record(origin string, started, sequence int64) membership.Record {
	return membership.Record{Origin: origin, Role: membership.RoleEntry, Started: started, Sequence: sequence}
}

func TestNewestRecordWinsInAnyOrder(t *testing.T) {
	is := is.New(t)
	records := []membership.Record{record("a", 1, 1), record("a", 1, 9), record("a", 2, 1)}
	orders := [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0, 1}, {2, 0, 0, 1}}
	for _, order := range orders {
		table := membership.NewTable("self", time.Second)
		for _, i := range order {
			table.Put(start, records[i])
		}
		is.Equal(table.Live(start, membership.RoleEntry), []membership.Record{records[2]}) // the record of the restarted process
	}
}

func TestSilentAndSuspectedPeersAreExcluded(t *testing.T) {
	is := is.New(t)
	table := membership.NewTable("self", time.Second)
	table.Put(start, record("self", 1, 1))
	table.Put(start, record("a", 1, 1))
	table.Suspect("a")
	is.Equal(len(table.Reachable(start, membership.RoleEntry)), 1)
	table.Put(start, record("a", 1, 2)) // a new record clears the suspicion
	is.Equal(len(table.Reachable(start, membership.RoleEntry)), 2)
	is.Equal(len(table.Live(start.Add(2*time.Second), membership.RoleEntry)), 1) // a has timed out, only self is left
	table.DropExpired(start.Add(time.Minute))
	is.Equal(len(table.Versions()), 1)
}

func TestMergeIgnoresRecordsOfSelf(t *testing.T) {
	is := is.New(t)
	table := membership.NewTable("self", time.Second)
	is.Equal(table.Merge(start, []membership.Record{record("self", 9, 9), record("a", 1, 1)}), 1)
}

func ExampleTable() {
	first, second := membership.NewTable("here", time.Second), membership.NewTable("there", time.Second)
	first.Put(start, record("here", 1, 1))
	newer := first.Newer(second.Versions())
	fmt.Println(second.Merge(start, newer), len(first.Newer(second.Versions())))
	// Output: 1 0
}
