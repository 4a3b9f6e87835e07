//go:build crowd

package crowd

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// bodyCrowd is the number of members that send bodies.
const bodyCrowd = 64

const (
	chunked  = "Transfer-Encoding: chunked"
	lastPart = "0\r\n\r\n"
)

func contentLength(n int) string { return fmt.Sprint("Content-Length: ", n) }

// block is a part of a body.
var block = bytes.Repeat([]byte("x"), blockBytes)

// writeBody writes part of a body in blocks.
func (m *member) writeBody(size int, pause time.Duration) bool {
	for ; size > 0; size -= blockBytes {
		if !m.write(block[:min(size, blockBytes)]) {
			return false
		}
		time.Sleep(pause)
	}
	return true
}

// encodeChunk returns a chunk as it is sent.
func encodeChunk(content []byte) []byte {
	return append(append(fmt.Appendf(nil, "%x\r\n", len(content)), content...), "\r\n"...)
}

// writeChunks writes a body of blocks as chunks, without the last one.
func (m *member) writeChunks(size, chunkBytes int) bool {
	chunk := encodeChunk(bytes.Repeat([]byte("x"), chunkBytes))
	for ; size > 0; size -= chunkBytes {
		if !m.write(chunk) {
			return false
		}
	}
	return true
}

// tinyChunks returns a block of a body in chunks of 1 to 16 bytes.
func tinyChunks() []byte {
	const maxChunkBytes = 16
	var encoded []byte
	random := rand.New(rand.NewPCG(1, 2))
	for rest := blockBytes; rest > 0; {
		n := min(1+random.IntN(maxChunkBytes), rest)
		encoded = append(encoded, encodeChunk(block[:n])...)
		rest -= n
	}
	return encoded
}

// writeTinyChunks writes a body in very small chunks, without the last one.
func (m *member) writeTinyChunks(size int) bool {
	encoded := tinyChunks()
	for ; size > 0; size -= blockBytes {
		if !m.write(encoded) {
			return false
		}
	}
	return true
}

// sendUnfinishedBody sends a body of the largest legal size piece by piece, but for its last byte.
func sendUnfinishedBody(m *member) {
	const pause = 5 * time.Millisecond
	if m.write(m.head("POST", "/calls/x", contentLength(maxBodyBytes))) {
		m.writeBody(maxBodyBytes-1, pause)
	}
}

func TestCrowdOfWholeBodiesTakesAllMemory(t *testing.T) {
	f := startEntry(t)
	c := newCrowd(f)
	c.join(bodyCrowd, behaviour{address: f.entry.address(callersPort), send: func(m *member) {
		if m.write(m.head("POST", "/calls/x?slow", contentLength(maxBodyBytes))) {
			m.writeBody(maxBodyBytes, 0)
		}
	}})
	f.withstand(t, c, nil)
}

func TestCrowdOfUnfinishedBodiesTakesAllMemory(t *testing.T) {
	f := startEntry(t)
	c := newCrowd(f)
	c.join(bodyCrowd, behaviour{address: f.entry.address(callersPort), send: sendUnfinishedBody})
	f.withstand(t, c, nil)
}

func TestCrowdOfLargeChunksTakesAllMemory(t *testing.T) {
	const chunkBytes = 256 << 10
	f := startEntry(t)
	c := newCrowd(f)
	c.join(bodyCrowd, behaviour{address: f.entry.address(callersPort), send: func(m *member) {
		if m.write(m.head("POST", "/calls/x", chunked)) {
			m.writeChunks(maxBodyBytes, chunkBytes)
		}
	}})
	f.withstand(t, c, nil)
}

func TestCrowdOfTinyChunksTakesAllMemory(t *testing.T) {
	f := startEntry(t)
	c := newCrowd(f)
	c.join(bodyCrowd, behaviour{address: f.entry.address(callersPort), send: func(m *member) {
		if m.write(m.head("POST", "/calls/x", chunked)) {
			m.writeTinyChunks(maxBodyBytes)
		}
	}})
	f.withstand(t, c, nil)
}

func TestCrowdOfBodiesOverTheLimitTakesAllMemory(t *testing.T) {
	const (
		chunkBytes     = 256 << 10
		announcedBytes = 1 << 30
		sentBytes      = 64 << 20
		stepTimeout    = 3 * time.Second
	)
	f := startEntry(t)
	c := newCrowd(f)
	var step sync.WaitGroup
	step.Add(bodyCrowd)
	inStep := make(chan struct{})
	go func() {
		step.Wait()
		close(inStep)
	}()
	// All members go beyond the limit together, so that what is held before it adds up.
	together := func() {
		step.Done()
		select {
		case <-inStep:
		case <-time.After(stepTimeout):
		}
	}
	door := f.entry.address(callersPort)
	c.join(bodyCrowd/2, behaviour{address: door, send: func(m *member) {
		ok := m.write(m.head("POST", "/calls/x", contentLength(announcedBytes))) && m.writeBody(maxBodyBytes-blockBytes, 0)
		together()
		if ok {
			m.writeBody(sentBytes, 0)
		}
	}})
	c.join(bodyCrowd/2, behaviour{address: door, send: func(m *member) {
		ok := m.write(m.head("POST", "/calls/x", chunked)) && m.writeChunks(maxBodyBytes-chunkBytes, chunkBytes)
		together()
		if ok {
			m.writeChunks(sentBytes, chunkBytes)
		}
	}})
	f.withstand(t, c, nil)
}
