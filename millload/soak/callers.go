package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"camphormill.dev/standin/fakeplatform"
)

// counts holds the number of requests by outcome. refused counts those whose status
// guarantees that they did not run, failed all others without a complete answer of status
// 200. sent leaves out the requests with a revoked key; the outcomes include them.
type counts struct {
	sent, served, refused, failed atomic.Int64
}

// callerPool runs callers, each with connections of its own, and checks the answers
// that they get.
type callerPool struct {
	fleet  *fleet
	counts *counts

	mu         sync.Mutex // guards the fields below
	violations []string
	revoked    map[string]time.Time // revoked keys by the time of their revocation
}

// addViolation records that a guarantee was violated.
func (c *callerPool) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// run sends the requests of one caller, one after the other with pauses of 10 to 69 ms,
// until ctx ends. Every 2 s, and while it has no address, it resolves the addresses of
// the entries anew.
func (c *callerPool) run(ctx context.Context, caller int, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	var addresses []string
	var resolveAt time.Time
	for n := 0; ctx.Err() == nil; n++ {
		if time.Now().After(resolveAt) || len(addresses) == 0 {
			addresses = c.resolve(ctx, client, rng)
			resolveAt = time.Now().Add(2 * time.Second)
		}
		if len(addresses) > 0 {
			c.call(ctx, client, addresses[rng.IntN(len(addresses))], fmt.Sprintf("%d-%d", caller, n), rng)
		}
		time.Sleep(time.Duration(10+rng.IntN(60)) * time.Millisecond)
	}
}

// resolve asks a random entry for the addresses to use and returns nil if it does not
// answer.
func (c *callerPool) resolve(ctx context.Context, client *http.Client, rng *rand.Rand) []string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	addresses, err := fakeplatform.Resolve(ctx, client, c.fleet.address(1+rng.IntN(c.fleet.config.Entries), directoryPort))
	if err != nil {
		return nil // the entry is stopped, frozen or not ready; the next call draws another one
	}
	return addresses
}

// pickKey returns a published key and the zero time, or a revoked key and the time of its
// revocation.
func (c *callerPool) pickKey(rng *rand.Rand) (string, time.Time) {
	c.fleet.mu.Lock()
	key := c.fleet.keys[rng.IntN(len(c.fleet.keys))]
	c.fleet.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	const revokedKeyEvery = 4 // one request in 4 uses a revoked key, if there is one
	if len(c.revoked) > 0 && rng.IntN(revokedKeyEvery) == 0 {
		for revoked, revokedAt := range c.revoked {
			return revoked, revokedAt
		}
	}
	return key, time.Time{}
}

// isRevoked reports whether a key is no longer published. The key may have been published
// when the request began.
func (c *callerPool) isRevoked(key string) bool {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return !slices.Contains(c.fleet.keys, key)
}

// call sends one request of a random kind to an entry and checks the reply.
func (c *callerPool) call(ctx context.Context, client *http.Client, address, id string, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, 7*time.Second)
	defer cancel()
	kind := []fakeplatform.Kind{fakeplatform.Stream, fakeplatform.AtMostOnce, fakeplatform.Read}[rng.IntN(3)]
	key, revokedAt := c.pickKey(rng)
	if revokedAt.IsZero() {
		c.counts.sent.Add(1)
	}
	sentAt := time.Now()
	reply, err := fakeplatform.Send(ctx, client, address, fakeplatform.Request{Kind: kind, ID: id, Key: key, Timeout: 6 * time.Second})
	if err != nil {
		c.counts.failed.Add(1)
		return
	}
	c.checkReply(kind, id, key, reply, sentAt, revokedAt)
}

// checkReply checks a reply against what callers are guaranteed: no denial of a
// published key and route, no success with a key that was revoked more than
// maxRevocationDelay before the request was sent, the seal of the target, which shows
// that the response comes from a target, on every success, and the complete answer to
// this request. A zero revokedAt means that the key was published when it was
// picked.
func (c *callerPool) checkReply(kind fakeplatform.Kind, id, key string, r fakeplatform.Reply, sentAt, revokedAt time.Time) {
	switch {
	case r.NotRun():
		c.counts.refused.Add(1)
		if kind == fakeplatform.AtMostOnce {
			c.fleet.executions.RecordNotRun(id)
		}
		return
	case r.Status != http.StatusOK || r.CutOff:
		c.counts.failed.Add(1)
		denied := r.Status == http.StatusUnauthorized || r.Status == http.StatusNotFound
		if denied && !c.isRevoked(key) {
			c.addViolation("request %s was denied with %d though its route and key are published", id, r.Status)
		}
		return
	}
	c.counts.served.Add(1)
	if !revokedAt.IsZero() && sentAt.After(revokedAt.Add(maxRevocationDelay)) {
		c.addViolation("request %s ran with a key that was revoked %s before", id, sentAt.Sub(revokedAt).Round(time.Millisecond))
	}
	if !r.FromTarget {
		c.addViolation("request %s succeeded without the seal of its target", id)
	}
	if r.ID != id {
		c.addViolation("request %s got the answer to request %s", id, r.ID)
	}
	if kind != fakeplatform.Stream && r.Body != "answer to "+id {
		c.addViolation("request %s got the wrong answer %q", id, r.Body)
	}
	if kind == fakeplatform.Stream {
		c.checkStream(id, r.Events)
	}
}

// checkStream checks that a stream has all of its events in order.
func (c *callerPool) checkStream(id string, events []string) {
	for n, event := range events {
		if event != strconv.Itoa(n+1) {
			c.addViolation("stream %s has event %s in place of event %d", id, event, n+1)
		}
	}
	if len(events) != fakeplatform.StreamEvents {
		c.addViolation("stream %s ended as complete after %d events", id, len(events))
	}
}
