//go:build crowd

package crowd

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const (
	// legalHeadBytes is the size of the largest heads inside the published limit. The others are over it.
	legalHeadBytes     = maxHeadBytes - 64
	doubleHeadBytes    = 30 << 10
	overLimitHeadBytes = 60 << 10
	hugeHeadBytes      = 256 << 10
	// doorCrowd is the number of members with the same behaviour at a door.
	doorCrowd = 100
)

// manyLines returns header lines, each with another name, of about the given size.
func manyLines(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "%x:\r\n", n)
	}
	return b.String()
}

// requestLine is the beginning of a head.
func requestLine(method, target string) string {
	return method + " " + target + " HTTP/1.1\r\nHost: h\r\n"
}

// unfinishedHead returns a behaviour that sends a head of many small lines without its end.
func unfinishedHead(address, method, target string, size int) behaviour {
	head := []byte(requestLine(method, target) + manyLines(size-len(requestLine(method, target))))
	return behaviour{address: address, send: func(m *member) { m.write(head) }}
}

// sendSlowHead sends a byte of a head every second.
func sendSlowHead(m *member) {
	for _, b := range []byte(requestLine("GET", "/reads/x")) {
		if !m.write([]byte{b}) {
			return
		}
		select {
		case <-m.ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}

func TestCrowdOfUnfinishedHeadsTakesAllMemory(t *testing.T) {
	f := startEntry(t)
	door := f.entry.address(callersPort)
	c := newCrowd(f)
	c.join(doorCrowd, unfinishedHead(door, "GET", "/reads/x", legalHeadBytes))
	c.join(doorCrowd, unfinishedHead(door, "POST", "/calls/x", overLimitHeadBytes))
	c.join(doorCrowd, unfinishedHead(door, "POST", "/calls/x", hugeHeadBytes))
	c.join(doorCrowd/2, behaviour{address: door, send: sendSlowHead, slow: true})
	f.withstand(t, c, nil)
}

// halfRequests lets heads without end and bodies without end loose on a door.
func halfRequests(c *crowd, address, path string) {
	const halfBodyBytes = maxBodyBytes / 2
	c.join(doorCrowd, unfinishedHead(address, "GET", path, legalHeadBytes))
	c.join(2*doorCrowd, unfinishedHead(address, "GET", path, doubleHeadBytes))
	c.join(doorCrowd/5, unfinishedHead(address, "GET", path, hugeHeadBytes))
	for _, method := range []string{"GET", "POST"} {
		c.join(doorCrowd/4, behaviour{address: address, send: func(m *member) {
			if m.write(m.head(method, path, contentLength(maxBodyBytes))) {
				m.writeBody(halfBodyBytes, 0)
			}
		}})
		c.join(doorCrowd/4, behaviour{address: address, send: func(m *member) {
			if m.write(m.head(method, path, chunked)) {
				m.writeTinyChunks(halfBodyBytes)
			}
		}})
	}
}

func TestCrowdOfHalfRequestsAtDirectoryTakesAllMemory(t *testing.T) {
	withstandHalfRequests(t, startEntry(t), func(f *fleet) string { return f.entry.address(directoryPort) }, directoryPath)
}

func TestCrowdOfHalfRequestsAtReadinessTakesAllMemory(t *testing.T) {
	withstandHalfRequests(t, startEntry(t), func(f *fleet) string { return f.entry.address(readyPort) }, readyPath)
}

func TestCrowdOfHalfRequestsAtMetricsTakesAllMemory(t *testing.T) {
	withstandHalfRequests(t, startEntry(t), func(f *fleet) string { return f.entry.address(metricsPort) }, metricsPath)
}

func TestCrowdOfHalfRequestsAtTargetMetricsTakesAllMemory(t *testing.T) {
	withstandHalfRequests(t, startTarget(t), func(f *fleet) string { return f.targets[0].address(metricsPort) }, metricsPath)
}

func withstandHalfRequests(t *testing.T, f *fleet, door func(f *fleet) string, path string) {
	t.Helper()
	c := newCrowd(f)
	halfRequests(c, door(f), path)
	f.withstand(t, c, func(c *caller) error { return c.lookUp(door(f), path) })
}
