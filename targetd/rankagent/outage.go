package rankagent

import "time"

const (
	// initialOutage is the expected duration of an outage of a group until one has been seen: an
	// engine starts again within a few seconds, and the group then forms.
	initialOutage = 4 * time.Second
	// maxExpectedOutage bounds the expected duration. A longer outage has no typical duration.
	maxExpectedOutage = 10 * time.Second
)

// outages estimates when a closed group opens again, from its earlier outages.
type outages struct {
	closedAt time.Time     // start of the current outage; zero while the group is open or has not been open yet
	expected time.Duration // mean of the earlier outages with more weight on the latest; 0 if there were none
}

// withState returns the outages after the group has opened or closed.
func (o outages) withState(now time.Time, open bool) outages {
	if !open {
		o.closedAt = now
		return o
	}
	if !o.closedAt.IsZero() {
		last := min(now.Sub(o.closedAt), maxExpectedOutage)
		if o.expected == 0 {
			o.expected = last
		}
		o.expected = (o.expected + last) / 2
	}
	o.closedAt = time.Time{}
	return o
}

// opensIn returns the time until the group is expected to open, or 0 if it is open, has not been
// open yet, or has been closed for longer than expected.
func (o outages) opensIn(now time.Time) time.Duration {
	if o.closedAt.IsZero() {
		return 0
	}
	expected := o.expected
	if expected == 0 {
		expected = initialOutage
	}
	return max(o.closedAt.Add(expected).Sub(now), 0)
}
