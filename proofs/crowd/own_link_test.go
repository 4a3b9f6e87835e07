//go:build crowd

package crowd

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"camphormill.dev/parts/contract"
)

// ownMessage returns a message of the link that announces a length and has the given text.
func ownMessage(length int, text string) []byte {
	return append(binary.AppendUvarint(nil, uint64(length)), text...)
}

// ownLongMessage begins a message of many bytes, which has no end.
var ownLongMessage = `{"jsonrpc":"2.0","id":1,"method":"hello","params":{"entry":"` + strings.Repeat("x", ownBodyBytes)

// ownRun returns a call of the service with a body, for which the target has a long time.
func ownRun(i int) []byte {
	call := fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"run","params":{"attempt":"crowd-%d","organisation":"crowd","class":"batch","kind":"service",
		"serves":%q,"version":"v1","method":"POST","path":"/confirmations/run-%d","deadline":%q,"body":%q}}`,
		i, i, ownService, i, time.Now().Add(10*time.Minute).UTC().Format(time.RFC3339), base64.StdEncoding.EncodeToString(ownBody[:64<<10]))
	return ownMessage(len(call), call)
}

func ownUnbounded(_ int, conn net.Conn) {
	for i, part := range [][]byte{ownMessage(1<<40, ownLongMessage), ownBody, ownBody, ownBody} {
		if _, err := conn.Write(part); err != nil || i == 3 {
			return
		}
	}
}

func TestOwnEntryOutlivesMessagesFarOverTheLimit(t *testing.T) {
	f := newOwnFleet(t)
	f.withstand(t, newOwnCrowd(f.entryLink, ownBodies, ownUnbounded))
}

func TestOwnTargetOutlivesMessagesFarOverTheLimit(t *testing.T) {
	f := newOwnFleet(t)
	f.withstand(t, newOwnCrowd(f.targetLink, ownBodies, ownUnbounded))
}

func ownShort(_ int, conn net.Conn) {
	_, _ = conn.Write(ownMessage(ownBodyBytes, ownLongMessage[:ownBodyBytes-1]))
}

func TestOwnEntryOutlivesMessagesThatStopShort(t *testing.T) {
	f := newOwnFleet(t)
	f.withstand(t, newOwnCrowd(f.entryLink, ownBodies, ownShort))
}

func TestOwnTargetOutlivesMessagesThatStopShort(t *testing.T) {
	f := newOwnFleet(t)
	f.withstand(t, newOwnCrowd(f.targetLink, ownBodies, ownShort))
}

func ownByteByByte(_ int, conn net.Conn) {
	for _, b := range ownMessage(ownBodyBytes, ownLongMessage)[:64] {
		if _, err := conn.Write([]byte{b}); err != nil {
			return
		}
	}
}

func TestOwnEntryOutlivesMessagesByteByByte(t *testing.T) {
	f := newOwnFleet(t)
	f.withstand(t, newOwnCrowd(f.entryLink, ownConnections, ownByteByByte))
}

func TestOwnTargetOutlivesMessagesByteByByte(t *testing.T) {
	f := newOwnFleet(t)
	f.withstand(t, newOwnCrowd(f.targetLink, ownConnections, ownByteByByte))
}

func TestOwnEntryOutlivesSilentPeers(t *testing.T) {
	f := newOwnFleet(t)
	f.withstand(t, newOwnCrowd(f.entryLink, ownConnections, func(int, net.Conn) {}))
}

func TestOwnTargetOutlivesSilentPeers(t *testing.T) {
	f := newOwnFleet(t)
	f.withstand(t, newOwnCrowd(f.targetLink, ownConnections, func(int, net.Conn) {}))
}

// TestOwnTargetOutlivesConcurrentRuns sends calls whose answers the callers don't read.
func TestOwnTargetOutlivesConcurrentRuns(t *testing.T) {
	f := newOwnFleet(t)
	const calls = 100 // of each connection
	f.withstand(t, newOwnCrowd(f.targetLink, ownBodies/10, func(i int, conn net.Conn) {
		for n := range calls {
			if _, err := conn.Write(ownRun(i*calls + n)); err != nil {
				return
			}
		}
	}))
}

// TestOwnEntryOutlivesConcurrentCalls sends calls whose answers repeat much of them and are not read.
func TestOwnEntryOutlivesConcurrentCalls(t *testing.T) {
	f := newOwnFleet(t)
	method := strings.Repeat("m", 64<<10) // the failure names the method
	f.withstand(t, newOwnCrowd(f.entryLink, ownBodies/10, func(_ int, conn net.Conn) {
		for n := range 400 {
			call := fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q}`, n, method)
			if n%2 == 0 {
				call = fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"records":[],"from":%q}}`, n, contract.MethodExchange, method)
			}
			if _, err := conn.Write(ownMessage(len(call), call)); err != nil {
				return
			}
		}
	}))
}

// TestOwnEntryOutlivesValuesThatGrowWhenDecoded sends short messages whose values take many times their bytes in memory.
func TestOwnEntryOutlivesValuesThatGrowWhenDecoded(t *testing.T) {
	f := newOwnFleet(t)
	result := `{"jsonrpc":"2.0","id":1,"result":[` + strings.Repeat("[],", (ownBodyBytes-50)/3) + `[]]}`
	f.withstand(t, newOwnCrowd(f.entryLink, ownBodies/10, func(_ int, conn net.Conn) {
		for range 4 {
			if _, err := conn.Write(ownMessage(len(result), result)); err != nil {
				return
			}
		}
	}))
}
