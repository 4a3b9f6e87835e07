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

	"camphormill.dev/standin/rack"
)

// counts are the outcomes of callers.
type counts struct {
	asked, served, refused, failed atomic.Int64
}

// callers send requests until the context ends, each with connections of its own.
type callers struct {
	fleet  *fleet
	counts *counts

	mu      sync.Mutex
	broken  []string
	revoked map[string]time.Time // keys, and since when they must not work
}

func (c *callers) breach(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

func (c *callers) run(ctx context.Context, number int, rng *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	var addresses []string
	var until time.Time
	for n := 0; ctx.Err() == nil; n++ {
		if time.Now().After(until) || len(addresses) == 0 {
			addresses = c.resolve(ctx, client, rng)
			until = time.Now().Add(2 * time.Second)
		}
		if len(addresses) > 0 {
			c.call(ctx, client, addresses[rng.IntN(len(addresses))], fmt.Sprintf("%d-%d", number, n), rng)
		}
		time.Sleep(time.Duration(10+rng.IntN(60)) * time.Millisecond)
	}
}

func (c *callers) resolve(ctx context.Context, client *http.Client, rng *rand.Rand) []string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	addresses, err := rack.Resolve(ctx, client, c.fleet.address(1+rng.IntN(c.fleet.config.Entries), namesPort))
	if err != nil {
		return nil // stopped, frozen or not ready; the next try asks another entry
	}
	return addresses
}

func (c *callers) key(rng *rand.Rand) (string, time.Time) {
	c.fleet.mu.Lock()
	key := c.fleet.keys[rng.IntN(len(c.fleet.keys))]
	c.fleet.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	const oldKeys = 4 // one request in so many tries a removed key
	if len(c.revoked) > 0 && rng.IntN(oldKeys) == 0 {
		for old, since := range c.revoked {
			return old, since
		}
	}
	return key, time.Time{}
}

// removed says whether a key is no longer published; it may have been when the
// request began.
func (c *callers) removed(key string) bool {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return !slices.Contains(c.fleet.keys, key)
}

func (c *callers) call(ctx context.Context, client *http.Client, at, id string, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, 7*time.Second)
	defer cancel()
	kind := []rack.Kind{rack.Draft, rack.Call, rack.Read}[rng.IntN(3)]
	key, since := c.key(rng)
	if since.IsZero() {
		c.counts.asked.Add(1)
	}
	sent := time.Now()
	reply, err := rack.Send(ctx, client, at, rack.Ask{Kind: kind, ID: id, Key: key, Limit: 6 * time.Second})
	if err != nil {
		c.counts.failed.Add(1)
		return
	}
	c.judge(kind, id, key, reply, sent, since)
}

// judge checks an answer against what callers are promised.
func (c *callers) judge(kind rack.Kind, id, key string, r rack.Reply, sent, since time.Time) {
	switch {
	case r.NotRun():
		c.counts.refused.Add(1)
		if kind == rack.Call {
			c.fleet.book.NotRun(id)
		}
		return
	case r.Status != http.StatusOK || r.Broken:
		c.counts.failed.Add(1)
		denied := r.Status == http.StatusUnauthorized || r.Status == http.StatusNotFound
		if denied && !c.removed(key) {
			c.breach("request %s was denied with %d though its route and key are published", id, r.Status)
		}
		return
	}
	c.counts.served.Add(1)
	if !since.IsZero() && sent.After(since.Add(keyBound)) {
		c.breach("request %s ran with a key that was removed %s before", id, sent.Sub(since).Round(time.Millisecond))
	}
	if !r.Sealed {
		c.breach("request %s has a success without the seal of its target", id)
	}
	if r.ID != id {
		c.breach("request %s got the answer of %s", id, r.ID)
	}
	if kind != rack.Draft && r.Body != "answer to "+id {
		c.breach("request %s got %q", id, r.Body)
	}
	if kind == rack.Draft {
		c.judgeStream(id, r.Events)
	}
}

func (c *callers) judgeStream(id string, events []string) {
	for n, event := range events {
		if event != strconv.Itoa(n+1) {
			c.breach("stream %s has event %s where %d was due", id, event, n+1)
		}
	}
	if len(events) != rack.StreamEvents {
		c.breach("stream %s ended as whole after %d events", id, len(events))
	}
}
