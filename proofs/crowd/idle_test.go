//go:build crowd

package crowd

import (
	"testing"

	"camphormill.dev/standin/fakeplatform"
)

const (
	directoryPath = "/api/resolve?name=" + fakeplatform.Host + "&zone=z"
	readyPath     = "/api/ready"
	metricsPath   = "/metrics"
	readPath      = "/reads/x"
	// idleCrowd is the number of silent connections, and that of idle ones, at a door. Either is below
	// the limit of descriptors, both together are over it.
	idleCrowd = 320
)

// silent opens a connection and sends nothing.
func silent(address string) behaviour { return behaviour{address: address, send: func(*member) {}} }

// idle sends one request and keeps the connection.
func idle(address, path string) behaviour {
	return behaviour{address: address, send: func(m *member) { m.write(m.head("GET", path)) }}
}

func withstandIdle(t *testing.T, f *fleet, door func(f *fleet) string, path string) {
	t.Helper()
	c := newCrowd(f)
	c.join(idleCrowd, silent(door(f)))
	c.join(idleCrowd, idle(door(f), path))
	var atDoor func(c *caller) error
	if path != readPath {
		atDoor = func(c *caller) error { return c.lookUp(door(f), path) }
	}
	f.withstand(t, c, atDoor)
}

func TestCrowdOfIdleCallersTakesAllDescriptors(t *testing.T) {
	withstandIdle(t, startEntry(t), func(f *fleet) string { return f.entry.address(callersPort) }, readPath)
}

func TestCrowdOfIdleConnectionsAtDirectoryTakesAllDescriptors(t *testing.T) {
	withstandIdle(t, startEntry(t), func(f *fleet) string { return f.entry.address(directoryPort) }, directoryPath)
}

func TestCrowdOfIdleConnectionsAtReadinessTakesAllDescriptors(t *testing.T) {
	withstandIdle(t, startEntry(t), func(f *fleet) string { return f.entry.address(readyPort) }, readyPath)
}

func TestCrowdOfIdleConnectionsAtMetricsTakesAllDescriptors(t *testing.T) {
	withstandIdle(t, startEntry(t), func(f *fleet) string { return f.entry.address(metricsPort) }, metricsPath)
}

func TestCrowdOfIdleConnectionsAtTargetMetricsTakesAllDescriptors(t *testing.T) {
	withstandIdle(t, startTarget(t), func(f *fleet) string { return f.targets[0].address(metricsPort) }, metricsPath)
}

func TestCrowdOfIdleConnectionsAtAllDoorsTakesAllDescriptors(t *testing.T) {
	f := startEntry(t)
	c := newCrowd(f)
	doors := []struct {
		port int
		path string
	}{{callersPort, readPath}, {directoryPort, directoryPath}, {readyPort, readyPath}, {metricsPort, metricsPath}}
	for _, door := range doors {
		c.join(doorCrowd, silent(f.entry.address(door.port)))
		c.join(doorCrowd, idle(f.entry.address(door.port), door.path))
	}
	f.withstand(t, c, func(c *caller) error {
		for _, door := range doors[1:] {
			if err := c.lookUp(f.entry.address(door.port), door.path); err != nil {
				return err
			}
		}
		return nil
	})
}

func TestCrowdThatComesBackShutsOutOrdinaryCallers(t *testing.T) {
	const rounds = 3
	f := startEntry(t)
	door := f.entry.address(callersPort)
	c := newCrowd(f)
	for _, b := range []behaviour{silent(door), idle(door, readPath)} {
		b.replace = true
		c.join(idleCrowd*3/4, b)
	}
	c.join(bodyCrowd, behaviour{address: door, send: sendUnfinishedBody, replace: true})
	c.awaitSent()
	for range rounds {
		f.answerOrdinary(t)
	}
	f.withstand(t, c, nil)
}
