package rankagent

import "time"

// linkShare spreads bytes over a share of a link, so that other messages do not wait behind them. It is
// immutable. With a rate of 0 it limits nothing.
type linkShare struct {
	bytesPerSecond float64
	freeAt         time.Time // when the bytes sent so far are through at this rate
}

// linkShareBurst is how far ahead of its rate a linkShare may be.
const linkShareBurst = paceInterval

// allows reports whether more bytes may be sent now.
func (s linkShare) allows(now time.Time) bool {
	return s.bytesPerSecond <= 0 || !s.freeAt.After(now.Add(linkShareBurst))
}

// withSent returns the share after bytes were sent.
func (s linkShare) withSent(now time.Time, bytes int) linkShare {
	if s.bytesPerSecond <= 0 {
		return s
	}
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(time.Duration(float64(bytes) / s.bytesPerSecond * float64(time.Second)))
	return s
}
