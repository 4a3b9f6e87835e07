//go:build crowd

package crowd

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// datagramBytes is the size of the largest datagrams.
	datagramBytes = 60_000
	// datagramPause is the pause between datagrams, in which the daemon can read one.
	datagramPause = time.Millisecond
	// datagrams is the number of datagrams that list hosts, and otherDatagrams that of each other kind.
	datagrams      = 1800
	otherDatagrams = 150
)

// stranger sends messages between daemons from a host that no directory names.
type stranger struct {
	fleet *fleet
	conn  net.Conn
}

// send sends a message and ignores that the other side may not take it.
func (s *stranger) send(message map[string]any) {
	raw, _ := json.Marshal(message) // fails for no message of these tests
	_, _ = s.conn.Write(raw)
	time.Sleep(datagramPause)
}

// host returns the record of a host that does not exist.
func (s *stranger) host(name, role string) map[string]any {
	return map[string]any{"name": name, "role": role, "address": s.fleet.address(strangerOctet, meshPort), "zone": "z", "public": s.fleet.address(strangerOctet, callersPort)}
}

// hosts returns records of many hosts, which fill a datagram.
func (s *stranger) hosts(n int) []map[string]any {
	const recordBytes = 130
	var hosts []map[string]any
	for i := range datagramBytes / recordBytes {
		hosts = append(hosts, s.host(fmt.Sprintf("host-%d-%d", n, i), []string{"entry", "target", "none"}[i%3]))
	}
	return hosts
}

// flood sends datagrams of all kinds.
func (s *stranger) flood() {
	const known = "stranger"
	long := strings.Repeat("x", datagramBytes/2)
	for n := range datagrams {
		s.send(map[string]any{"from": known, "hosts": s.hosts(n)})
	}
	for n := range otherDatagrams {
		name := fmt.Sprint("stranger-", n)
		s.send(map[string]any{"from": name, "host": s.host(name, "entry"), "ask_hosts": true})
		if n == 0 {
			s.send(map[string]any{"from": known, "host": s.host(known, "entry")})
		}
		s.send(map[string]any{"from": known, "strike": map[string]any{"strike": map[string]any{"fingerprint": n, "incarnation": fmt.Sprint(n, long)}, "lasts_s": 600}})
		s.send(map[string]any{"from": known, "target_limits": []any{map[string]any{"target": fmt.Sprint(n, long), "per_second": 1e6}}})
		s.send(map[string]any{"from": known, "limit_request": map[string]any{"id": fmt.Sprint(n), "target": fmt.Sprint(n, long), "per_second": 1e6}})
		s.send(map[string]any{"from": known, "part_records": map[string]any{"records": []any{map[string]any{
			"part": n, "deaths": []any{map[string]any{"incarnation": fmt.Sprint(n, long), "age_ms": 1}},
		}}}})
		s.send(map[string]any{"from": known, "ask": map[string]any{"id": fmt.Sprint(n, long), "service": "draft", "latest_in_ms": 600_000, "not": []string{long[:len(long)/2]}}})
		s.send(map[string]any{"from": known, "rank": map[string]any{"service": "draft", "engine": fmt.Sprint(n, long), "group": fmt.Sprint("g", n), "rank": n, "size": 1 << 20, "sequence": n}})
		s.send(map[string]any{"from": known, "bulletin": map[string]any{"configuration": 0, "published": []byte(long[:len(long)/2])}})
	}
}

func withstandDatagrams(t *testing.T, f *fleet, address string) {
	t.Helper()
	conn, err := net.Dial("udp4", address)
	is.New(t).NoErr(err)
	defer func() { _ = conn.Close() }()
	s := &stranger{fleet: f, conn: conn}
	flooded := make(chan struct{})
	go func() {
		defer close(flooded)
		s.flood()
	}()
	for over := false; !over; {
		f.answerOrdinary(t)
		select {
		case <-flooded:
			over = true
		case <-time.After(askPause):
		}
	}
	f.withstand(t, newCrowd(f), nil)
}

func TestCrowdOfDatagramsAtEntryTakesAllMemory(t *testing.T) {
	f := startEntry(t)
	withstandDatagrams(t, f, f.entry.address(meshPort))
}

func TestCrowdOfDatagramsAtTargetTakesAllMemory(t *testing.T) {
	f := startTarget(t)
	withstandDatagrams(t, f, f.targets[0].address(meshPort))
}
