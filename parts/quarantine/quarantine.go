// Package quarantine keeps a request that kills its targets from killing more.
// A fingerprint of the request gains a strike for each target that died while
// running it; at two strikes it is refused for a time, at every entry that has
// heard of them.
package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// strikesToQuarantine is how many dead targets quarantine a request.
const strikesToQuarantine = 2

// strikeMemory is how long a strike counts.
const strikeMemory = 10 * time.Minute

// maxFingerprints bounds the memory of a List.
const maxFingerprints = 10000

// Fingerprint names a request by organisation, model or service, and body.
func Fingerprint(organisation, serves string, body []byte) uint64 {
	d := xxhash.New()
	d.WriteString(organisation)
	d.Write([]byte{0})
	d.WriteString(serves)
	d.Write([]byte{0})
	d.Write(body)
	return d.Sum64()
}

// Strike says that one incarnation of a target died while it ran a request.
type Strike struct {
	Fingerprint uint64    `json:"fingerprint"`
	Incarnation string    `json:"incarnation"`
	Until       time.Time `json:"until"` // in the receiver's clock
}

// List holds strikes. It is not safe for concurrent use.
type List struct {
	strikes map[uint64][]Strike
}

// NewList returns an empty list.
func NewList() *List {
	return &List{strikes: map[uint64][]Strike{}}
}

// Add records a strike and returns it with its end. The same death told twice
// counts once.
func (l *List) Add(now time.Time, fingerprint uint64, incarnation string) Strike {
	s := Strike{Fingerprint: fingerprint, Incarnation: incarnation, Until: now.Add(strikeMemory)}
	l.Merge(now, s)
	return s
}

// Merge takes a strike from a peer.
func (l *List) Merge(now time.Time, s Strike) {
	live := l.live(now, s.Fingerprint)
	for _, known := range live {
		if known.Incarnation == s.Incarnation {
			return
		}
	}
	if len(l.strikes) >= maxFingerprints {
		l.expire(now)
	}
	if len(l.strikes) < maxFingerprints || len(live) > 0 {
		l.strikes[s.Fingerprint] = append(live, s)
	}
}

func (l *List) live(now time.Time, fingerprint uint64) []Strike {
	var live []Strike
	for _, s := range l.strikes[fingerprint] {
		if s.Until.After(now) {
			live = append(live, s)
		}
	}
	return live
}

func (l *List) expire(now time.Time) {
	for fingerprint := range l.strikes {
		if len(l.live(now, fingerprint)) == 0 {
			delete(l.strikes, fingerprint)
		}
	}
}

// Strikes counts the strikes of a request. One strike makes it a suspect, which
// should not run beside another suspect.
func (l *List) Strikes(now time.Time, fingerprint uint64) int {
	if len(l.strikes) == 0 {
		return 0
	}
	return len(l.live(now, fingerprint))
}

// Quarantined says whether the request is refused, and until when.
func (l *List) Quarantined(now time.Time, fingerprint uint64) (time.Time, bool) {
	if len(l.strikes) == 0 {
		return time.Time{}, false
	}
	live := l.live(now, fingerprint)
	if len(live) < strikesToQuarantine {
		return time.Time{}, false
	}
	until := live[0].Until
	for _, s := range live {
		if s.Until.Before(until) {
			until = s.Until
		}
	}
	return until, true
}
