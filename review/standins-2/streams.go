package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["spot"] = playSpot
	cases["paused"] = playPaused
	cases["crash"] = playCrash
}

const (
	streamEvents   = 40
	streamInterval = 100 * time.Millisecond
)

// startStreamFleet starts two entries and servers whose streams have neither a length nor chunks.
func (r *run) startStreamFleet(ids []string, args ...string) ([]*process, []*registration, error) {
	r.publish(3, keptKey)
	var servers []*process
	var registrations []*registration
	args = append([]string{"-unframed", fmt.Sprintf("-events=%d", streamEvents), fmt.Sprintf("-interval=%s", streamInterval)}, args...)
	for n, id := range ids {
		p, err := r.startServer(id, 101+n, args...)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, p)
		registrations = append(registrations, r.keepRegistered(id, appService, 101+n))
	}
	for _, host := range []int{1, 2} {
		if _, err := r.startEntry(host); err != nil {
			return nil, nil, err
		}
	}
	if err := r.awaitReady(1, 2); err != nil {
		return nil, nil, err
	}
	time.Sleep(time.Second)
	return servers, registrations, nil
}

// streams sends streams and judges their answers.
type streams struct {
	run *run

	mu                            sync.Mutex
	clients                       sync.WaitGroup
	whole, short, cutOff, refused int
}

// send sends one stream in a new goroutine.
func (s *streams) send(host int) {
	s.clients.Go(func() {
		a := s.run.send(http.MethodPost, s.run.address(host, callersPort), "/lohu930/2f", keptKey, 8*time.Second, map[string]string{
			"Model": "m", "Token-Count": "700,200", "Prompt-Prefix": "5c1e07a2:40,91bd3f06:660",
		})
		events := strings.Count(a.body, "\n\n")
		last := strings.Contains(a.body, fmt.Sprintf("event %d of %d\n", streamEvents, streamEvents))
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case a.status != http.StatusOK:
			s.refused++
			s.run.logf("client: stream %s through entry %d got status %d", a.attempt, host, a.status)
		case !a.whole:
			s.cutOff++
			s.run.logf("client: stream %s through entry %d was cut off after %d events: %v", a.attempt, host, events, a.err)
		case events < streamEvents || !last:
			s.short++
			s.run.logf("BROKEN: stream %s through entry %d ended as complete after %d of %d events", a.attempt, host, events, streamEvents)
		default:
			s.whole++
			s.run.logf("client: stream %s through entry %d got all %d events", a.attempt, host, events)
		}
	})
}

// result waits for the clients and reports whether a stream ended as complete before its last event.
func (s *streams) result() bool {
	s.clients.Wait()
	s.run.logf("%d streams whole, %d cut off, %d refused, %d ended as complete before their last event", s.whole, s.cutOff, s.refused, s.short)
	return s.short > 0
}

// serverIDs are the ids of the servers. One of seven is within the share that the pages set.
var serverIDs = []string{"i-7f3a91c2", "i-02d9e6b4", "i-51c8e07d", "i-b64f20a9", "i-0e93d71b", "i-c7a25f38", "i-98b1604e"}

// playSpot takes a server away two seconds after it has reported that it drains, while it still sends streams.
func playSpot(r *run) (bool, error) {
	servers, registrations, err := r.startStreamFleet(serverIDs)
	if err != nil {
		return false, err
	}
	defer endAll(registrations)
	sent := &streams{run: r}
	sent.sendMany(28)
	if r.trouble {
		registrations[0].set("draining")
		r.logf("server %s reports that it drains", serverIDs[0])
		time.Sleep(drainTime)
		servers[0].signal(syscall.SIGKILL)
		registrations[0].end()
		r.store.put("keyed.servers", serverIDs[0], nil)
		r.logf("server %s is taken away", serverIDs[0])
	}
	return sent.result(), nil
}

// playPaused kills a server that has turned requests away with Retry-After, while it still sends streams.
func playPaused(r *run) (bool, error) {
	return r.crashServer(0, 42, "-slots=4", "-retry-after=3")
}

// idleChannels are the channels that other callers keep open to each server, of the 248 that it accepts. 18 entries keep up
// to 72.
const idleChannels = 40

// playCrash kills a server while it still sends streams.
func playCrash(r *run) (bool, error) {
	return r.crashServer(idleChannels, 42, "-slots=12")
}

// openIdle opens channels to the servers, as other callers do, and keeps them open.
func (r *run) openIdle(channels int) error {
	for n := range serverIDs {
		if err := r.openIdleTo(101+n, channels); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) openIdleTo(host, channels int) error {
	for range channels {
		conn, err := net.DialTimeout("tcp", r.address(host, serverPort), time.Second)
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.idle = append(r.idle, conn)
		r.mu.Unlock()
	}
	return nil
}

// crashServer sends streams and kills one of the servers meanwhile.
func (r *run) crashServer(idle, streamCount int, args ...string) (bool, error) {
	servers, registrations, err := r.startStreamFleet(serverIDs, args...)
	if err != nil {
		return false, err
	}
	defer endAll(registrations)
	if err := r.openIdle(idle); err != nil {
		return false, err
	}
	sent := &streams{run: r}
	sent.sendMany(streamCount)
	if r.trouble {
		servers[0].signal(syscall.SIGKILL)
		r.logf("server %s crashes", serverIDs[0])
		time.Sleep(3 * heartbeatTime)
		registrations[0].end()
		r.store.put("keyed.servers", serverIDs[0], nil)
	}
	return sent.result(), nil
}

// sendMany sends streams through both entries in turn, and waits until the servers have begun.
func (s *streams) sendMany(n int) {
	for i := range n {
		s.send(1 + i%2)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
}

func endAll(registrations []*registration) {
	for _, g := range registrations {
		g.end()
	}
}
