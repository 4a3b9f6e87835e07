// Package quarantine decides for an entry which requests to refuse because they crash
// the targets that run them. The fingerprint of a request gets a strike for each
// target incarnation that died while running it. A request with at least two
// unexpired strikes is refused at every entry that has received them.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// quarantineThreshold is the number of strikes from which a request is refused.
const quarantineThreshold = 2

// strikeTTL is the time after which a strike expires.
const strikeTTL = 10 * time.Minute

// maxFingerprints is the maximum number of fingerprints in a List, which bounds its
// memory.
const maxFingerprints = 10000

const (
	// maxStrikes bounds the strikes of one fingerprint, of which two are enough to refuse it.
	maxStrikes = 16
	// maxIncarnationBytes bounds the name of an incarnation. Records with a longer one are ignored.
	maxIncarnationBytes = 256
)

// Fingerprint returns a hash of the organisation, the model or service, and the body
// of a request, whose blocks are given in order.
func Fingerprint(organisation, modelOrService string, body ...[]byte) uint64 {
	digest := xxhash.New()
	digest.WriteString(organisation)
	digest.Write([]byte{0})
	digest.WriteString(modelOrService)
	digest.Write([]byte{0})
	for _, block := range body {
		digest.Write(block)
	}
	return digest.Sum64()
}

// Strike records that one incarnation of a target died while it ran a request.
type Strike struct {
	Fingerprint uint64    `json:"fingerprint"`
	Incarnation string    `json:"incarnation"`
	Until       time.Time `json:"until"` // expiry, by the clock of the entry that holds the strike
}

// List holds the strikes by fingerprint. It is not safe for concurrent use.
type List struct {
	strikes map[uint64][]Strike
}

// NewList returns an empty list.
func NewList() *List {
	return &List{strikes: map[uint64][]Strike{}}
}

// Add records a strike and returns it with its expiry. A strike for an incarnation
// that already has one for the request is not added.
func (l *List) Add(now time.Time, fingerprint uint64, incarnation string) Strike {
	s := Strike{Fingerprint: fingerprint, Incarnation: incarnation, Until: now.Add(strikeTTL)}
	l.Merge(now, s)
	return s
}

// Merge adds a strike received from a peer, unless the incarnation already has one for
// the request. The caller must set s.Until by its own clock. A strike that would expire after strikeTTL expires then. A new
// fingerprint is dropped while the list is full of live strikes, and so is a strike beyond maxStrikes.
func (l *List) Merge(now time.Time, s Strike) {
	if latest := now.Add(strikeTTL); s.Until.After(latest) {
		s.Until = latest
	}
	live := l.live(now, s.Fingerprint)
	if len(live) >= maxStrikes || len(s.Incarnation) > maxIncarnationBytes {
		return
	}
	for _, known := range live {
		if known.Incarnation == s.Incarnation {
			return
		}
	}
	if len(l.strikes) >= maxFingerprints {
		l.dropExpired(now)
	}
	if len(l.strikes) < maxFingerprints || len(live) > 0 {
		l.strikes[s.Fingerprint] = append(live, s)
	}
}

// live returns the strikes of a fingerprint that have not expired.
func (l *List) live(now time.Time, fingerprint uint64) []Strike {
	var live []Strike
	for _, s := range l.strikes[fingerprint] {
		if s.Until.After(now) {
			live = append(live, s)
		}
	}
	return live
}

func (l *List) dropExpired(now time.Time) {
	for fingerprint := range l.strikes {
		if len(l.live(now, fingerprint)) == 0 {
			delete(l.strikes, fingerprint)
		}
	}
}

// Strikes returns the number of live strikes of a request. A request with one strike
// is a suspect, which should not run concurrently with another suspect.
func (l *List) Strikes(now time.Time, fingerprint uint64) int {
	if len(l.strikes) == 0 {
		return 0
	}
	return len(l.live(now, fingerprint))
}

// Quarantined reports whether the request is refused and, if so, when the first of its
// live strikes expires. With more than quarantineThreshold live strikes, the request stays
// refused after that time.
func (l *List) Quarantined(now time.Time, fingerprint uint64) (time.Time, bool) {
	if len(l.strikes) == 0 {
		return time.Time{}, false
	}
	live := l.live(now, fingerprint)
	if len(live) < quarantineThreshold {
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

// Latest returns the live strikes that expire last, maxCount at most, for a peer that may know none.
func (l *List) Latest(now time.Time, maxCount int) []Strike {
	var latest []Strike
	for fingerprint := range l.strikes {
		latest = append(latest, l.live(now, fingerprint)...)
	}
	slices.SortFunc(latest, func(a, b Strike) int {
		return cmp.Or(b.Until.Compare(a.Until), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return latest[:min(len(latest), maxCount)]
}
