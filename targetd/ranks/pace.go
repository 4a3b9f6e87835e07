package ranks

import (
	"time"

	"camphormill.dev/parts/mapswitch"
)

// paceWindow is over how long passes are counted; a shorter one is mostly noise
// at some 25 passes a second.
const paceWindow = 400 * time.Millisecond

// passPace is how long a group's passes take. It is immutable.
type passPace struct {
	since time.Time
	first mapswitch.Pass
	mean  time.Duration // of the last whole window; 0 before there is one
}

// with returns the pace after a pass was seen to have begun. An idle group makes
// no passes and keeps its pace.
func (p passPace) with(now time.Time, pass mapswitch.Pass) passPace {
	if p.since.IsZero() || pass < p.first {
		return passPace{since: now, first: pass, mean: p.mean}
	}
	if now.Sub(p.since) < paceWindow || pass == p.first {
		return p
	}
	return passPace{since: now, first: pass, mean: now.Sub(p.since) / time.Duration(pass-p.first)}
}
