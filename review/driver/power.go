package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
	"unsafe"
)

const (
	// recoveryTime is recoveryS of the platform.
	recoveryTime = 12 * time.Second
	// darkTime is how long a machine that has lost power is off.
	darkTime = 1500 * time.Millisecond
	// earlierUptime is how much longer the machines had been up, before they lost power, than their clock
	// says after it. A machine's CLOCK_BOOTTIME begins anew when it starts.
	earlierUptime = 10 * 24 * time.Hour
	// startAfterRead is the time from a read of the store by the other entry to the start of the machine, so
	// that the other entry's next read, about 0.75 s after the one before, comes within the half second before
	// the first heartbeat.
	startAfterRead = 400 * time.Millisecond
)

// awaitConfigRead waits until an entry reads the configuration.
func (f *fleet) awaitConfigRead() {
	since := time.Now()
	for !f.store.lastConfigRead().After(since) && time.Since(since) < 3*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
}

// bootTime returns CLOCK_BOOTTIME, the clock that entries name in their heartbeats.
func bootTime() time.Duration {
	const clockBootTime = 7
	var ts syscall.Timespec
	_, _, _ = syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBootTime, uintptr(unsafe.Pointer(&ts)), 0)
	return time.Duration(ts.Nano())
}

// powerLoss switches two entries off and on again, one after the other. Of the requests that are sent
// later than recoveryS after the machines are back, a quarter at least has to be served, since all were
// before.
func powerLoss(f *fleet, trouble bool) (bool, error) {
	_, _, err := f.startTargets(0, 2, 0, 0)
	if err != nil {
		return false, err
	}
	if err := f.publish(); err != nil {
		return false, err
	}
	entries, err := f.startAll(2, 0)
	if err != nil {
		return false, err
	}
	before, sent := f.servedShare(entries)
	f.record.printf("before the fault %d of %d requests are served", before, sent)
	if 4*before < sent {
		return false, fmt.Errorf("too few requests are served before the fault")
	}
	if trouble {
		for i := range entries {
			if entries[i], err = f.losePower(entries[i], octetEntries+i, entries[(i+1)%len(entries)]); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(recoveryTime + time.Second)
	for _, e := range entries {
		f.record.printf("%s says that it is ready: %t", e.name, f.ready(e))
	}
	after, sent := f.servedShare(entries)
	f.record.printf("later than recoveryS after the machines are back %d of %d requests are served", after, sent)
	return 4*after < sent, nil
}

// servedShare sends requests, each once more to the other entry if it is refused, and returns how many
// are served.
func (f *fleet) servedShare(entries []*process) (served, sent int) {
	for i := range 40 {
		sent++
		for try := range entries {
			method, uri := http.MethodGet, fmt.Sprintf("/lookups/%d", i)
			if i%2 == 1 {
				method, uri = http.MethodPost, fmt.Sprintf("/bookings/%d", i)
			}
			entry := entries[(i+try)%len(entries)]
			a := f.newCaller(entry).send(method, uri, "", 1500*time.Millisecond)
			f.record.printf("%s got %s", a.attempt, a.describe())
			if a.err == nil && a.status == http.StatusOK {
				served++
				break
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return served, sent
}

// losePower ends an entry, as a loss of power does, and starts it again when its machine is back. This
// process can't set CLOCK_BOOTTIME back, as the start of a machine does. Instead it sends the last heartbeat
// of the entry's earlier life as that would have been on a machine that had been up for longer: the same
// datagram, with the clock of that machine.
func (f *fleet) losePower(p *process, octet int, other *process) (*process, error) {
	address := f.address(octet, portMesh)
	f.record.printf("%s loses power", p.name)
	_ = p.command.Process.Kill()
	<-p.exited
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	remote, err := net.ResolveUDPAddr("udp4", fmt.Sprintf("%s:%d", other.ip, portMesh))
	if err != nil {
		return nil, err
	}
	conn, err := net.DialUDP("udp4", local, remote)
	if err != nil {
		return nil, err
	}
	uptime := earlierUptime
	if os.Getenv("CLOCK") == "kept" { // a control: the process is killed, and its machine stays up
		uptime = 0
	}
	raw, err := json.Marshal(map[string]any{"from": p.name, "beat": map[string]any{"ready": true, "sent": int64(bootTime() + uptime)}})
	if err == nil {
		_, err = conn.Write(raw)
	}
	_ = conn.Close()
	if err != nil {
		return nil, err
	}
	time.Sleep(darkTime)
	f.awaitConfigRead()
	time.Sleep(startAfterRead)
	next, err := f.startDaemon(p.role, octet)
	if err != nil {
		return nil, err
	}
	f.record.printf("%s is back", p.name)
	deadline := time.Now().Add(10 * time.Second)
	for !f.ready(next) && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return next, nil
}
