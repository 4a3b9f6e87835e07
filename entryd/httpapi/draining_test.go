package httpapi

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDrainRefusesWhatOutlastsIt(t *testing.T) {
	cutOff := time.Unix(100, 0)
	cases := map[string]struct {
		drain    drain
		deadline time.Time
		want     bool
	}{
		"not draining":      {drain{}, cutOff.Add(time.Hour), false},
		"no end":            {drain{started: true}, cutOff.Add(time.Hour), false},
		"deadline before":   {drain{started: true, cutOff: cutOff}, cutOff.Add(-time.Second), false},
		"deadline at end":   {drain{started: true, cutOff: cutOff}, cutOff, false},
		"deadline after it": {drain{started: true, cutOff: cutOff}, cutOff.Add(time.Nanosecond), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(c.drain.outlasts(c.deadline), c.want)
		})
	}
}
