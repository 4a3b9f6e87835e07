package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = playStop }

// exportPath is the path of requests with a large answer, which takes exportTime.
const (
	exportPath  = "/cufi504/export"
	exportBytes = 400 << 10
	exportTime  = 5 * time.Second
)

// playStop stops an entry while clients that have its address ask for large answers.
func playStop(r *run) (bool, error) {
	const (
		firstAfter = 3200 * time.Millisecond // from the SIGTERM to the first of the requests
		gap        = 150 * time.Millisecond
		requests   = 6
	)
	r.publish(3, keptKey)
	for n, id := range serverIDs {
		if _, err := r.startServer(id, 101+n); err != nil {
			return false, err
		}
		defer r.keepRegistered(id, appService, 101+n).end()
	}
	var stopped *process
	for _, host := range []int{1, 2, 3} {
		p, err := r.startEntry(host)
		if err != nil {
			return false, err
		}
		if host == 3 {
			stopped = p
		}
	}
	if err := r.awaitReady(1, 2, 3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range 3 { // clients with small answers, until the entry no longer takes channels
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				r.send(http.MethodGet, r.address(3, callersPort), "/cufi504/fi50/2f", keptKey, 1500*time.Millisecond, nil)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.logf("entry 3 gets SIGTERM")
		stopped.signal(syscall.SIGTERM)
		kill := time.AfterFunc(graceTime, func() { stopped.signal(syscall.SIGKILL) })
		defer kill.Stop()
	}
	signalledAt := time.Now()
	time.Sleep(firstAfter)
	var mu sync.Mutex
	lost := 0
	for range requests {
		clients.Go(func() {
			a := r.send(http.MethodGet, r.address(3, callersPort), exportPath, keptKey, 8*time.Second, nil)
			mu.Lock()
			defer mu.Unlock()
			ended := time.Since(signalledAt)
			cut := a.status != 0 && !a.whole && len(r.eventsOf(a.attempt)) > 0 && ended-a.sentAt.Sub(signalledAt) < 7500*time.Millisecond
			word := "client"
			if cut {
				lost++
				word = "BROKEN"
			}
			r.logf("%s: request %s, sent %.3f s after the SIGTERM, got status %d and %d of %d bytes, and its channel ended %.3f s after the SIGTERM: %v",
				word, a.attempt, a.sentAt.Sub(signalledAt).Seconds(), a.status, len(a.body), exportBytes, ended.Seconds(), a.err)
		})
		time.Sleep(gap)
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	r.logf("%d of %d requests were passed on and cut off", lost, requests)
	return lost > 0, nil
}

// eventsOf returns what servers have said of an attempt.
func (r *run) eventsOf(attempt string) []serverEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[attempt]
}
