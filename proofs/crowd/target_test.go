//go:build crowd

package crowd

import (
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slowTargetTime = 2 * time.Second
	eventInterval  = time.Millisecond
	eventBytes     = 1 << 10
	shortEvents    = 3
	// maxEvents bounds an endless stream whose caller stays.
	maxEvents = 200_000
)

// target stands in for a target of a plain service and records the requests that reach it.
type target struct {
	id string

	mu      sync.Mutex
	reached map[string]bool // by attempt ID
}

func newTarget(id string) *target { return &target{id: id, reached: map[string]bool{}} }

// wasReached reports whether the request with the attempt ID has reached the target.
func (g *target) wasReached(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reached[id]
}

// echo is the answer of a target to a whole body.
func echo(size int64, sum uint32) string { return fmt.Sprintf("%d bytes, sum %08x\n", size, sum) }

// ServeHTTP runs a request as its query says: slow; bytes=N for an answer of that size; events=N.
func (g *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	g.mu.Lock()
	g.reached[id] = true
	g.mu.Unlock()
	w.Header().Set("Attempt-Id", id)
	sum := crc32.NewIEEE()
	size, err := io.Copy(sum, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the entry has left
	}
	w.Header().Set("Response-Seal", g.id)
	query := r.URL.Query()
	switch {
	case query.Has("events"):
		sendEvents(w, r, number(query, "events"))
		return
	case query.Has("bytes"):
		sendBytes(w, number(query, "bytes"))
		return
	case query.Has("slow"):
		select {
		case <-time.After(slowTargetTime):
		case <-r.Context().Done():
		}
	}
	_, _ = io.WriteString(w, echo(size, sum.Sum32())) // fails only if the entry has left
}

func number(query url.Values, name string) int {
	n, _ := strconv.Atoi(query.Get(name))
	return n
}

func sendBytes(w http.ResponseWriter, size int) {
	w.Header().Set("Content-Length", strconv.Itoa(size))
	for block := make([]byte, eventBytes); size > 0; size -= len(block) {
		if _, err := w.Write(block[:min(size, len(block))]); err != nil {
			return
		}
	}
}

func sendEvents(w http.ResponseWriter, r *http.Request, events int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for n := 1; n <= events; n++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", eventBytes))
		if err != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
	}
}
