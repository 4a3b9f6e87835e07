package main

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["restore"] = playRestore }

const (
	removedKey = "n2ctnfzs989anu6wsjnb"
	keptKey    = "k7d0q2m4x8v1r5t9y3wz"
	appService = "lehu44b"
)

// publish writes a configuration with the keys of the tenant ficu301 and of another.
func (r *run) publish(version int, keys ...string) {
	r.publishWith(version, nil, appService, keys...)
}

// publishWith is publish with another service, to which streams go.
func (r *run) publishWith(version int, service map[string]any, streamService string, keys ...string) {
	services := []map[string]any{{"name": appService, "healthPath": "/health", "maxConns": 248}}
	if service != nil {
		services = append(services, service)
	}
	r.store.put("keyed.op", "config", map[string]any{
		"version": version,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
		"routes": []map[string]any{
			{"name": "lookup", "host": clientHost, "pathPrefix": "/cufi504/", "kind": "idempotent", "service": appService, "timeoutMs": 8000, "goalMs": 300, "priority": 2, "maxAttempts": 2},
			{"name": "draft", "host": clientHost, "pathPrefix": "/lohu930/", "kind": "stream", "resumable": true, "sticky": true, "service": streamService, "timeoutMs": 8000, "goalMs": 400, "gapGoalMs": 120, "priority": 1, "maxAttempts": 2},
			{"name": "order", "host": clientHost, "pathPrefix": "/puxa403/", "kind": "non_idempotent", "service": appService, "timeoutMs": 1500, "goalMs": 300, "priority": 2, "maxAttempts": 1},
		},
		"services": services,
		"tenants":  []map[string]any{{"name": "hule930", "apiKeys": keys}, {"name": "bami112", "apiKeys": []string{"o5h8j2c6b0n4"}}},
	})
}

// isListed reports whether the directory of entry 1 names the entry on a host, as clients ask it.
func (r *run) isListed(host int) bool {
	response, err := http.Get("http://" + r.address(1, directoryPort) + "/api/resolve?name=" + clientHost + "&region=z&zone=z-a")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(body), r.address(host, callersPort))
}

// playRestore removes a key, brings the store back from a copy that is older than that, and adds a machine.
func playRestore(r *run) (bool, error) {
	const (
		copyAge     = 8 * time.Second // of the copy from which the store comes back
		awayTime    = time.Second     // for which the store is away
		addedHost   = 4               // of the entry that is added
		rewriteTime = 2 * time.Second // until the operator and the servers have written again what the store has lost
	)
	r.publish(3, removedKey, keptKey)
	var registrations []*registration
	for n, id := range []string{"i-7f3a91c2", "i-02d9e6b4"} {
		if _, err := r.startServer(id, 101+n); err != nil {
			return false, err
		}
		registrations = append(registrations, r.keepRegistered(id, appService, 101+n))
	}
	defer func() {
		for _, g := range registrations {
			g.end()
		}
	}()
	for _, host := range []int{1, 2, 3} {
		if _, err := r.startEntry(host); err != nil {
			return false, err
		}
	}
	if err := r.awaitReady(1, 2, 3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	backup := r.store.copyTopics()
	r.logf("the platform takes a copy of the store")
	time.Sleep(time.Second)
	r.publish(8, keptKey)
	removedAt := time.Now()
	r.logf("operator: configuration 8 without key %s is acknowledged", removedKey)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	late, served := 0, 0
	for _, host := range []int{1, 2, 3, addedHost} {
		for _, key := range []string{removedKey, keptKey} {
			clients.Go(func() {
				for host == addedHost && !r.isListed(host) {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
				}
				for {
					select {
					case <-stop:
						return
					case <-time.After(100 * time.Millisecond):
					}
					a := r.send(http.MethodGet, r.address(host, callersPort), "/cufi504/fi50/2f", key, 1500*time.Millisecond, nil)
					time.Sleep(20 * time.Millisecond) // the server's line arrives
					ran := r.hasRun(a.attempt)
					mu.Lock()
					if key == keptKey && a.status == http.StatusOK {
						served++
					}
					after := a.sentAt.Sub(removedAt)
					if key == removedKey && ran && after > revokeTime {
						late++
						r.logf("BROKEN: request %s with the removed key, sent to entry %d %.3f s after the ack, ran; its client got %d", a.attempt, host, after.Seconds(), a.status)
					} else if a.status != 0 && (a.status != http.StatusOK || key == removedKey) {
						r.logf("client: request %s with key %s, sent to entry %d %.3f s after the ack, got %d", a.attempt, key, host, after.Seconds(), a.status)
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(copyAge - time.Second - awayTime)
	if r.trouble {
		r.store.setAway(true)
		r.logf("the store is away")
	}
	time.Sleep(awayTime)
	if r.trouble {
		r.store.restore(backup)
		r.logf("the store is back from the copy, which is %s old", copyAge)
		time.AfterFunc(rewriteTime, func() {
			for _, g := range registrations {
				g.set("ready")
			}
			r.publish(8, keptKey)
			r.logf("the operator and the servers have written again what they wrote")
		})
	}
	time.Sleep(200 * time.Millisecond)
	if _, err := r.startEntry(addedHost); err != nil {
		return false, err
	}
	r.logf("a machine is added: entry 4")
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()
	r.logf("%d requests with the kept key were served, %d with the removed key ran although they were sent later than %s after the ack", served, late, revokeTime)
	return late > 0, nil
}
