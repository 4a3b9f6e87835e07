package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
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
	at := c.fleet.address(1+rng.IntN(c.fleet.config.Entries), namesPort)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at+"/api/resolve?name=h&zone=z", nil)
	if err != nil {
		return nil
	}
	answer, err := client.Do(r)
	if err != nil {
		return nil
	}
	defer func() { _ = answer.Body.Close() }()
	var found struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(answer.Body).Decode(&found); err != nil {
		return nil // refused; the next try asks another entry
	}
	return found.Addresses
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
	kind := []string{"drafts", "calls", "reads"}[rng.IntN(3)]
	method := http.MethodPost
	if kind == "reads" {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+"/"+kind+"/x", strings.NewReader("body of "+id))
	if err != nil {
		return
	}
	key, since := c.key(rng)
	r.Host = "h"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline", "6000")
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("Token-Count", "600,80")
	if kind == "calls" {
		r.Header.Set("Once", "1")
	}
	if since.IsZero() {
		c.counts.asked.Add(1)
	}
	sent := time.Now()
	answer, err := client.Do(r)
	if err != nil {
		c.counts.failed.Add(1)
		return
	}
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	c.judge(kind, id, key, answer, string(body), err, sent, since)
}

// judge checks an answer against what callers are promised.
func (c *callers) judge(kind, id, key string, answer *http.Response, body string, bodyErr error, sent, since time.Time) {
	switch {
	case answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests:
		c.counts.refused.Add(1)
		if kind == "calls" {
			c.fleet.book.NotRun(id)
		}
		return
	case answer.StatusCode != http.StatusOK || bodyErr != nil:
		c.counts.failed.Add(1)
		denied := answer.StatusCode == http.StatusUnauthorized || answer.StatusCode == http.StatusNotFound
		if denied && !c.removed(key) {
			c.breach("request %s was denied with %d though its route and key are published", id, answer.StatusCode)
		}
		return
	}
	c.counts.served.Add(1)
	if !since.IsZero() && sent.After(since.Add(keyBound)) {
		c.breach("request %s ran with a key that was removed %s before", id, sent.Sub(since).Round(time.Millisecond))
	}
	if answer.Header.Get("Response-Seal") == "" {
		c.breach("request %s has a success without the mark of its target", id)
	}
	if echoed := answer.Header.Get("Attempt-Id"); echoed != id {
		c.breach("request %s got the answer of %s", id, echoed)
	}
	if kind != "drafts" && body != "answer to "+id {
		c.breach("request %s got %q", id, body)
	}
	if kind == "drafts" {
		c.judgeStream(id, body)
	}
}

func (c *callers) judgeStream(id, body string) {
	next := 1
	for _, line := range strings.Split(body, "\n") {
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			if value != fmt.Sprint(next) {
				c.breach("stream %s has event %s where %d was due", id, value, next)
			}
			next++
		}
	}
	const events = 8
	if next != events+1 {
		c.breach("stream %s ended as whole after %d events", id, next-1)
	}
}
