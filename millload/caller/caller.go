// Package caller is a caller of the system as docs/CALLERS.md asks callers to
// be: it asks which address to use, keeps the answer for its time, and sends a
// call that may not be repeated again only under the same reservation or key.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/millload/trace"
	"camphormill.dev/parts/contract"
)

// maxSends bounds how often a caller sends one request.
const maxSends = 8

// avoidTime is how long a caller keeps from an address that failed.
const avoidTime = 5 * time.Second

// firstPause is the pause after a lost connection; it doubles.
const firstPause = 100 * time.Millisecond

// Config is what a Caller is built from.
type Config struct {
	Seeds []string          // URLs to ask first
	Keys  map[string]string // key of each organisation
}

// Caller is safe for concurrent use.
type Caller struct {
	config Config
	client *http.Client

	mu        sync.Mutex
	addresses []string
	expires   time.Time
	next      int
	avoid     map[string]time.Time // addresses that failed, until when
}

// New returns a caller.
func New(c Config) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &Caller{config: c, client: &http.Client{Transport: transport}, avoid: map[string]time.Time{}}
}

// Result is what became of one event.
type Result struct {
	Event      trace.Event
	Outcome    contract.Outcome
	Problem    string // why the answer is not right; empty when it is
	Sends      int
	FirstFault string        // why it was sent a second time
	FirstToken time.Duration // of a streamed draft
	Took       time.Duration
}

// address returns the URL to use now.
func (c *Caller) address(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expires) {
		c.refresh(ctx)
	}
	known := c.addresses
	if len(known) == 0 {
		known = c.config.Seeds
	}
	for range known {
		c.next++
		if url := known[c.next%len(known)]; time.Now().After(c.avoid[url]) {
			return url
		}
	}
	return known[c.next%len(known)]
}

// refresh asks the known addresses, then the seeds. The caller holds the lock.
func (c *Caller) refresh(ctx context.Context) {
	for _, base := range append(append([]string{}, c.addresses...), c.config.Seeds...) {
		addresses, expires, err := c.ask(ctx, base)
		if err == nil && len(addresses) > 0 {
			c.addresses, c.expires = addresses, expires
			return
		}
	}
}

func (c *Caller) ask(ctx context.Context, base string) ([]string, time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/addresses", nil)
	if err != nil {
		return nil, time.Time{}, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, time.Time{}, err
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []struct {
			URL string `json:"url"`
		} `json:"addresses"`
		ExpiresAt time.Time `json:"expires_at"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, time.Time{}, err
	}
	urls := make([]string, 0, len(answer.Addresses))
	for _, a := range answer.Addresses {
		urls = append(urls, a.URL)
	}
	return urls, answer.ExpiresAt, nil
}

// drop forgets the addresses after one of them failed, and avoids that one.
func (c *Caller) drop(failed string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
	c.avoid[failed] = time.Now().Add(avoidTime)
}

// Do carries out one event to its final outcome.
func (c *Caller) Do(ctx context.Context, e trace.Event) Result {
	began := time.Now()
	s := &session{caller: c, event: e, began: began}
	result := s.run(ctx)
	result.Event = e
	result.Took = time.Since(began)
	result.Sends = s.sends
	result.FirstFault = s.firstFault
	return result
}

// reply is one HTTP answer.
type reply struct {
	status     int
	header     http.Header
	body       []byte
	firstToken time.Time
}

func (r reply) outcome() contract.Outcome {
	return contract.Outcome(r.header.Get("Camphormill-Outcome"))
}

// pause is how long to wait before the next send.
func (r reply) pause(fallback time.Duration) time.Duration {
	seconds, err := strconv.Atoi(r.header.Get("Retry-After"))
	if err != nil {
		return fallback
	}
	return time.Duration(seconds) * time.Second
}

func (c *Caller) send(ctx context.Context, method, path string, header http.Header, body []byte) (reply, error) {
	base := c.address(ctx)
	req, err := http.NewRequestWithContext(ctx, method, base+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return reply{}, err
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	req.Header = header
	resp, err := c.client.Do(req)
	if err != nil {
		c.drop(base)
		return reply{}, err
	}
	defer resp.Body.Close()
	r := reply{status: resp.StatusCode, header: resp.Header}
	first := make([]byte, 1)
	n, err := io.ReadFull(resp.Body, first)
	r.firstToken = time.Now()
	if err == nil {
		var rest []byte
		rest, err = io.ReadAll(resp.Body)
		r.body = append(first[:n], rest...)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		c.drop(base)
		return reply{}, err
	}
	return r, nil
}
