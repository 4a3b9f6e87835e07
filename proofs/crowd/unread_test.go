//go:build crowd

package crowd

import (
	"fmt"
	"testing"
)

// unread sends the same request a number of times and reads no answer.
func unread(address, method, target string, count int) behaviour {
	return behaviour{address: address, mute: true, send: func(m *member) {
		for range count {
			if !m.write(m.head(method, target, contentLength(0))) {
				return
			}
		}
	}}
}

func TestCrowdThatDoesNotReadTakesAllDescriptors(t *testing.T) {
	const (
		answerBytes, largeAnswerBytes = 200 << 10, 8 << 20
		pipelined                     = 100
	)
	f := startEntry(t)
	door := f.entry.address(callersPort)
	c := newCrowd(f)
	c.join(doorCrowd/2, unread(door, "GET", fmt.Sprint("/reads/x?bytes=", answerBytes), 1))
	c.join(doorCrowd, unread(door, "GET", fmt.Sprint("/reads/x?bytes=", largeAnswerBytes), 1))
	c.join(doorCrowd, unread(door, "POST", fmt.Sprint("/streams/x?events=", maxEvents), 1))
	c.join(doorCrowd/2, unread(door, "GET", fmt.Sprint("/reads/x?bytes=", answerBytes), pipelined))
	f.withstand(t, c, nil)
}
