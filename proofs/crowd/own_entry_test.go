//go:build crowd

package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"camphormill.dev/parts/contract"
)

var ownBody = []byte(strings.Repeat("x", ownBodyBytes))

func ownHead(i int, length string) string {
	return fmt.Sprintf("POST %scrowd-%d HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n", ownCallPath, i, ownKey, length)
}

func ownChunk(body []byte) []byte {
	return fmt.Appendf(nil, "%x\r\n%s\r\n", len(body), body)
}

func TestOwnEntryOutlivesBodiesThatStopShort(t *testing.T) {
	f := newOwnFleet(t)
	f.withstand(t, newOwnCrowd(f.callers, ownBodies, func(i int, conn net.Conn) {
		_, _ = io.WriteString(conn, ownHead(i, fmt.Sprintf("Content-Length: %d", ownBodyBytes)))
		_, _ = conn.Write(ownBody[:ownBodyBytes-1])
	}))
}

func TestOwnEntryOutlivesLargeChunksThatStopShort(t *testing.T) {
	f := newOwnFleet(t)
	chunk := ownChunk(ownBody[:64<<10])
	f.withstand(t, newOwnCrowd(f.callers, ownBodies, func(i int, conn net.Conn) {
		_, _ = io.WriteString(conn, ownHead(i, "Transfer-Encoding: chunked"))
		for range ownBodyBytes/(64<<10) - 1 {
			_, _ = conn.Write(chunk)
		}
	}))
}

func TestOwnEntryOutlivesSmallChunksThatStopShort(t *testing.T) {
	f := newOwnFleet(t)
	const count = 4 << 10 // in one write
	chunks := []byte(strings.Repeat(string(ownChunk(ownBody[:4])), count))
	f.withstand(t, newOwnCrowd(f.callers, ownBodies, func(i int, conn net.Conn) {
		_, _ = io.WriteString(conn, ownHead(i, "Transfer-Encoding: chunked"))
		for range ownBodyBytes/(4*count) - 1 {
			_, _ = conn.Write(chunks)
		}
	}))
}

func TestOwnEntryOutlivesBodiesFarOverTheLimit(t *testing.T) {
	f := newOwnFleet(t)
	f.withstand(t, newOwnCrowd(f.callers, ownBodies, func(i int, conn net.Conn) {
		length := fmt.Sprintf("Content-Length: %d", 1<<40)
		if i%2 == 0 {
			length = "Transfer-Encoding: chunked"
		}
		_, _ = io.WriteString(conn, ownHead(i, length))
		for range 4 {
			body := ownBody
			if i%2 == 0 {
				body = ownChunk(ownBody)
			}
			if _, err := conn.Write(body); err != nil {
				return
			}
		}
	}))
}

func TestOwnFleetOutlivesWholeBodies(t *testing.T) {
	f := newOwnFleet(t)
	var mu sync.Mutex
	refused := map[string]bool{}
	crowd := newOwnCrowd(f.callers, ownBodies, func(i int, conn net.Conn) {
		_, _ = io.WriteString(conn, ownHead(i, fmt.Sprintf("Content-Length: %d", ownBodyBytes)))
		_, _ = conn.Write(ownBody)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		if resp.Header.Get("Camphormill-Outcome") == string(contract.OutcomeNotRun) {
			mu.Lock()
			defer mu.Unlock()
			refused[fmt.Sprintf("crowd/crowd-%d", i)] = true
		}
	})
	f.withstand(t, crowd)
	effects := f.effectsOf(t)
	t.Logf("%d refused", len(refused))
	for id := range refused {
		if effects[id] > 0 {
			t.Errorf("%s was refused as not run, and ran %d times", id, effects[id])
		}
	}
}

func TestOwnEntryOutlivesHeadsThatStopShort(t *testing.T) {
	f := newOwnFleet(t)
	head := "GET /v1/addresses HTTP/1.1\r\nHost: entry\r\nX: " + strings.Repeat("x", 30<<10)
	f.withstand(t, newOwnCrowd(f.callers, ownConnections, func(_ int, conn net.Conn) { _, _ = io.WriteString(conn, head) }))
}

func TestOwnEntryOutlivesSilentConnections(t *testing.T) {
	f := newOwnFleet(t)
	f.withstand(t, newOwnCrowd(f.callers, ownConnections, func(int, net.Conn) {}))
}

func TestOwnEntryOutlivesIdleConnections(t *testing.T) {
	f := newOwnFleet(t)
	f.withstand(t, newOwnCrowd(f.callers, ownConnections, ownIdle("/v1/addresses")))
}

func TestOwnEntryOutlivesSilentOperators(t *testing.T) {
	f := newOwnFleet(t)
	f.withstand(t, newOwnCrowd(f.entryOps, ownConnections, func(int, net.Conn) {}))
}

func TestOwnTargetOutlivesIdleOperators(t *testing.T) {
	f := newOwnFleet(t)
	f.withstand(t, newOwnCrowd(f.targetOps, ownConnections, ownIdle("/healthz")))
}

// ownIdle sends one request and reads its answer.
func ownIdle(path string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: entry\r\n\r\n", path)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
