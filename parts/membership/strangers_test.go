package membership_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/membership"
)

// TestStrangersRecordsDoNotFillTable guards against memory that grows with the names in gossip, and against a known
// peer that is pushed out by them.
func TestStrangersRecordsDoNotFillTable(t *testing.T) {
	is := is.New(t)
	table := membership.NewTable("self", time.Minute)
	table.Put(start, record("self", 1, 1))
	table.Put(start, record("known", 1, 1))
	table.MarkAlive(start, "known")
	for i := range 50_000 {
		table.Put(start.Add(time.Duration(i)), record(fmt.Sprint("stranger-", i), 1, 1))
	}
	is.True(len(table.Versions()) <= 4096)
	for _, origin := range []string{"self", "known", "stranger-49999"} { // a newcomer finds room
		_, ok := table.Versions()[origin]
		is.True(ok)
	}
}

// TestOverlongRecordIsIgnored guards against records that take kilobytes each.
func TestOverlongRecordIsIgnored(t *testing.T) {
	is := is.New(t)
	table := membership.NewTable("self", time.Minute)
	long := strings.Repeat("x", 10<<10)
	is.True(!table.Put(start, record(long, 1, 1)))
	zone := record("a", 1, 1)
	zone.Zone = long
	is.True(!table.Put(start, zone))
	demand := record("b", 1, 1)
	demand.Demand = map[string]float64{}
	for i := range 1000 {
		demand.Demand[fmt.Sprint(i)] = 1
	}
	is.True(!table.Put(start, demand))
	is.Equal(len(table.Versions()), 0)
}
