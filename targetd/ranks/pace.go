package ranks

import (
	"time"

	"camphormill.dev/parts/mapswitch"
)

// paceWindow is over how long passes are counted; a shorter one is mostly noise
// at some 25 passes a second.
const paceWindow = 400 * time.Millisecond

// idleGap is a time between two passes after which the group was idle: no rank
// is so slow that its passes take seconds.
const idleGap = 2 * time.Second

const (
	// orderTime is what it takes to hold a pass and arm all ranks for it: two
	// messages and two orders, some 15 ms each.
	orderTime = 60 * time.Millisecond
	// usualPass stands for the length of a pass before any was measured.
	usualPass = 40 * time.Millisecond
	// longOrders is how many times orderTime a pass must take to be long: then a
	// hold comes in time for the next pass in three cases of four.
	longOrders = 4
)

// passPace is how long a group's passes take. It is immutable.
type passPace struct {
	since time.Time
	first mapswitch.Pass
	mean  time.Duration // of the last whole window; 0 before there is one
}

// with returns the pace after a pass was seen to have begun. An idle group makes
// no passes and keeps its pace.
func (p passPace) with(now time.Time, pass mapswitch.Pass) passPace {
	if p.since.IsZero() || pass < p.first || (pass != p.first && now.Sub(p.since) > idleGap) {
		return passPace{since: now, first: pass, mean: p.mean}
	}
	if now.Sub(p.since) < paceWindow || pass == p.first {
		return p
	}
	return passPace{since: now, first: pass, mean: now.Sub(p.since) / time.Duration(pass-p.first)}
}

// ahead is how many passes should lie between the newest known one and a held one,
// when a pass takes at least the time given: as many as take orderTime, and the one
// that may begin meanwhile. Long passes leave that one out: a hold that comes too
// late is refused, which costs less than another pass under the old map.
func (p passPace) ahead(least time.Duration) mapswitch.Pass {
	mean := max(p.mean, least)
	if mean == 0 {
		mean = usualPass
	}
	if mean >= longOrders*orderTime {
		return 1
	}
	return 1 + mapswitch.Pass((orderTime+mean-1)/mean)
}
