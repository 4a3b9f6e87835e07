// Package caller implements a caller of the entry daemons that follows
// docs/CALLERS.md, for replays. It resolves the addresses of entries, caches them until
// they expire, decides when a request is retried, and repeats a non-idempotent call only
// under the same reservation or idempotency key.
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

// maxSends bounds how often a caller sends one request, the first time and failed requests
// for a reservation included.
const maxSends = 8

// avoidTimeout is how long a caller avoids an address that failed.
const avoidTimeout = 5 * time.Second

// initialBackoff is the wait after the first lost connection or failed reservation; it
// doubles with each further one. A valid Retry-After takes its place.
const initialBackoff = 100 * time.Millisecond

// Config holds the settings of a Caller.
type Config struct {
	Seeds []string          // base URLs of entries to resolve addresses from; at least one
	Keys  map[string]string // API keys by organisation
}

// Caller sends the events of a trace to the entries. It is safe for concurrent use.
type Caller struct {
	config Config
	client *http.Client

	mu         sync.Mutex // guards the fields below; also held while addresses are resolved
	addresses  []string
	expiresAt  time.Time            // of addresses
	next       int                  // counter that rotates through the addresses
	avoidUntil map[string]time.Time // by address that failed
}

// New returns a caller that has resolved no address yet.
func New(c Config) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &Caller{config: c, client: &http.Client{Transport: transport}, avoidUntil: map[string]time.Time{}}
}

// Result is the final outcome of one event.
type Result struct {
	Event            trace.Event
	Outcome          contract.Outcome // empty if the last reply names none
	Problem          string           // why the answer is wrong or missing; empty if it is right
	Sends            int              // includes failed requests for a reservation
	FirstProblem     string           // first problem that led to a retry
	TimeToFirstToken time.Duration    // from the start of Do to the first byte of a streamed draft; else 0
	Duration         time.Duration    // of Do, with all retries
}

// nextAddress returns the base URL for the next request. It rotates through the resolved
// addresses, or the seeds if there are none, and skips those to avoid unless all are.
func (c *Caller) nextAddress(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expiresAt) {
		c.refreshAddresses(ctx)
	}
	candidates := c.addresses
	if len(candidates) == 0 {
		candidates = c.config.Seeds
	}
	for range candidates {
		c.next++
		if url := candidates[c.next%len(candidates)]; time.Now().After(c.avoidUntil[url]) {
			return url
		}
	}
	return candidates[c.next%len(candidates)]
}

// refreshAddresses resolves the addresses anew by way of the cached addresses, then of the
// seeds. c.mu must be held.
func (c *Caller) refreshAddresses(ctx context.Context) {
	for _, base := range append(append([]string{}, c.addresses...), c.config.Seeds...) {
		addresses, expiresAt, err := c.resolve(ctx, base)
		if err == nil && len(addresses) > 0 {
			c.addresses, c.expiresAt = addresses, expiresAt
			return
		}
	}
}

// resolve asks one entry for the addresses to use and the time at which they expire.
func (c *Caller) resolve(ctx context.Context, base string) ([]string, time.Time, error) {
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

// markFailed makes the caller avoid the failed address and resolve addresses anew for the
// next request.
func (c *Caller) markFailed(failed string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiresAt = time.Time{}
	c.avoidUntil[failed] = time.Now().Add(avoidTimeout)
}

// Do sends one event, with retries, until it has a final outcome or ctx ends.
func (c *Caller) Do(ctx context.Context, e trace.Event) Result {
	start := time.Now()
	x := &execution{caller: c, event: e, start: start}
	result := x.run(ctx)
	result.Event = e
	result.Duration = time.Since(start)
	result.Sends = x.sends
	result.FirstProblem = x.firstProblem
	return result
}

// reply is one HTTP response, read to its end.
type reply struct {
	status     int
	header     http.Header
	body       []byte
	firstToken time.Time // when the first byte of the body arrived, or its end if it is empty
}

// outcome returns the outcome that the entry names in a header, or an empty one.
func (r reply) outcome() contract.Outcome {
	return contract.Outcome(r.header.Get("Camphormill-Outcome"))
}

// retryAfter returns the delay of the header Retry-After, or the fallback if the header is
// missing or not a whole number of seconds.
func (r reply) retryAfter(fallback time.Duration) time.Duration {
	seconds, err := strconv.Atoi(r.header.Get("Retry-After"))
	if err != nil {
		return fallback
	}
	return time.Duration(seconds) * time.Second
}

// send sends a request once, to the next address. It fails if no complete response
// arrives, and then marks the address as failed.
func (c *Caller) send(ctx context.Context, method, path string, header http.Header, body []byte) (reply, error) {
	base := c.nextAddress(ctx)
	// NopCloser hides the type of the reader, so that the HTTP client cannot rewind the
	// body and resend the request by itself.
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
		c.markFailed(base)
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
		c.markFailed(base)
		return reply{}, err
	}
	return r, nil
}
