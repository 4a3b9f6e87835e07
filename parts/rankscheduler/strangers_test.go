package rankscheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/rankscheduler"
)

// TestStrangersRequestsDoNotFillQueue guards against memory that grows with requests that say they can wait for hours.
func TestStrangersRequestsDoNotFillQueue(t *testing.T) {
	is := is.New(t)
	s := newScheduler()
	now := time.Unix(0, 0)
	for i := range 30_000 {
		s.Offer(now, rankscheduler.Request{
			ID: fmt.Sprint("r", i), Fingerprint: uint64(i), StartBy: now.Add(1000 * time.Hour), WaitUntil: now.Add(1000 * time.Hour),
		})
	}
	is.True(s.Running()+s.Waiting() <= 16384)
	d := s.Offer(now, rankscheduler.Request{ID: "late", Fingerprint: 1, StartBy: now.Add(time.Hour), WaitUntil: now.Add(time.Hour)})
	is.True(!d.Queued && d.Engine == "")
	is.True(d.RetryAt.After(now))
}

// TestStrangersEnginesAndZonesAreBounded guards against memory that grows with the names in slot requests.
func TestStrangersEnginesAndZonesAreBounded(t *testing.T) {
	is := is.New(t)
	s := newScheduler()
	now := time.Unix(0, 0)
	for i := range 50_000 {
		s.SetLimit(now, fmt.Sprint("stranger-", i), 1)
		s.SetEvacuated(now, []string{fmt.Sprint("stranger-", i)})
	}
	s.SetLimit(now, strings.Repeat("x", 10<<10), 1)
	s.SetEvacuated(now, []string{strings.Repeat("x", 10<<10)})
	s.SetLimit(now, "e3", 1) // an engine of the group
	limited := s.LimitedEngines()
	is.True(len(limited) <= 8192)
	is.Equal(limited[0], "e3")
	is.True(len(s.EvacuatedZones()) <= 1024)
	for _, name := range append(limited, s.EvacuatedZones()...) {
		is.True(len(name) <= 1024)
	}
}
