// Package idempotency binds callers' idempotency keys to reservations through the
// platform's log: the first claim of a key in the log wins at every entry. Claims of
// many callers share one append, because the log takes only several hundred appends
// per second for the whole system.
package idempotency

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/claim"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/platform"
	"camphormill.dev/parts/randomname"
)

// Timeouts and delays of the claimer.
const (
	readWait      = 2 * time.Second        // how long a read waits for a record
	readTimeout   = 4 * time.Second        // timeout of a read, including readWait
	readBackoff   = 250 * time.Millisecond // delay before the next read after an error
	appendTimeout = time.Second            // timeout of an append
	retryAfter    = 2 * time.Second        // sent to callers; also bounds the wait for a claim's own record
)

// Config holds the dependencies and parameters of a Claimer.
type Config struct {
	PlatformLog  platform.Log
	KeyRetention time.Duration // how long a key is retained
	Now          func() time.Time
	// Interval returns the shortest time between two appends of this entry.
	Interval func() time.Duration
	Logger   zerolog.Logger
}

// Claimer binds idempotency keys to reservations. It is safe for concurrent use. While Run
// does not run, Claim and Replace only return bindings that are already known, and
// otherwise fail when their context ends.
type Claimer struct {
	config  Config
	pending chan request

	mu      sync.Mutex
	table   *claim.Table
	applied chan struct{} // closed and replaced after each page of records
}

// request is one claim that waits for its append.
type request struct {
	claim claim.Claim
	done  chan appendResult
}

// appendResult is the outcome of the append that carried a claim.
type appendResult struct {
	offset int64 // of the record in the log, if err is nil
	err    error
}

// maxBatch bounds the number of claims in one append.
const maxBatch = 512

// New returns a Claimer; Run does its work.
func New(c Config) *Claimer {
	return &Claimer{
		config:  c,
		pending: make(chan request, maxBatch),
		table:   claim.NewTable(c.KeyRetention),
		applied: make(chan struct{}),
	}
}

// Run reads the log and appends claims until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	go c.appendBatches(ctx)
	for ctx.Err() == nil {
		if err := c.read(ctx); err != nil && ctx.Err() == nil {
			sleep(ctx, readBackoff)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// read applies the next page of the log to the table.
func (c *Claimer) read(ctx context.Context) error {
	c.mu.Lock()
	from := c.table.Next()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := c.config.PlatformLog.Read(ctx, platform.StreamClaims, from, readWait)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Skip(page.Oldest)
	for _, record := range page.Records {
		c.table.Apply(record.Offset, record.AppendedAt, record.Data)
	}
	if len(page.Records) > 0 {
		close(c.applied)
		c.applied = make(chan struct{})
	}
	return nil
}

// Claim binds the key to the reservation unless the key is already bound, and returns
// the reservation that the key is bound to. The error is a *contract.Failure of kind
// KindLogUnavailable.
func (c *Claimer) Claim(ctx context.Context, organisation, key, reservation string) (string, error) {
	return c.bind(ctx, claim.Claim{Organisation: organisation, Key: key, Reservation: reservation})
}

// Replace binds a key whose reservation was voided to another reservation, unless
// another caller already did, and returns the reservation that the key is bound to. The
// error is as for Claim.
func (c *Claimer) Replace(ctx context.Context, organisation, key, voided, reservation string) (string, error) {
	return c.bind(ctx, claim.Claim{Organisation: organisation, Key: key, Reservation: reservation, Replaces: voided})
}

// bind returns the reservation that the claim's key is bound to. It appends the
// claim unless the key is already bound to a reservation that the claim does not
// replace.
func (c *Claimer) bind(ctx context.Context, proposed claim.Claim) (string, error) {
	if winner, ok := c.winner(proposed); ok {
		return winner, nil
	}
	r := request{claim: proposed, done: make(chan appendResult, 1)}
	select {
	case c.pending <- r:
	case <-ctx.Done():
		return "", c.unavailableFailure("too many claims wait for an append to the log")
	}
	select {
	case a := <-r.done:
		return c.awaitRecord(ctx, proposed, a)
	case <-ctx.Done():
		return "", c.unsettledFailure()
	}
}

// winner returns the reservation that the key is bound to, unless that is the one the
// claim replaces.
func (c *Claimer) winner(proposed claim.Claim) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	winner, ok := c.table.Winner(proposed.Organisation, proposed.Key)
	return winner, ok && winner != proposed.Replaces
}

// awaitRecord waits until the claim's own record has been read from the log. After an
// append whose answer was lost, it waits for any record that binds the key.
func (c *Claimer) awaitRecord(ctx context.Context, proposed claim.Claim, a appendResult) (string, error) {
	var failed *platform.AppendError
	if errors.As(a.err, &failed) && !failed.Ambiguous {
		return "", c.unavailableFailure("the log does not accept appends")
	}
	ctx, cancel := context.WithTimeout(ctx, retryAfter)
	defer cancel()
	for {
		c.mu.Lock()
		next, applied := c.table.Next(), c.applied
		c.mu.Unlock()
		if winner, ok := c.winner(proposed); ok && (a.err != nil || next > a.offset) {
			return winner, nil
		}
		select {
		case <-applied:
		case <-ctx.Done():
			return "", c.unsettledFailure()
		}
	}
}

// unavailableFailure returns the failure for a claim that was not appended.
func (c *Claimer) unavailableFailure(message string) error {
	return contract.NewFailure(contract.KindLogUnavailable, message,
		"send the call under a reservation, or retry later").WithRetryAt(c.config.Now().Add(retryAfter))
}

// unsettledFailure returns the failure for a claim that may have been appended.
func (c *Claimer) unsettledFailure() error {
	return contract.NewFailure(contract.KindLogUnavailable,
		"the log does not show yet whether the key was claimed",
		"send the call again with the same key").WithRetryAt(c.config.Now().Add(retryAfter))
}

// appendBatches appends the pending claims, one batch per interval, until ctx ends.
func (c *Claimer) appendBatches(ctx context.Context) {
	for {
		select {
		case first := <-c.pending:
			c.appendBatch(ctx, c.collectBatch(first))
			sleep(ctx, c.config.Interval())
		case <-ctx.Done():
			return
		}
	}
}

// collectBatch returns the first request and those that are pending, up to maxBatch.
func (c *Claimer) collectBatch(first request) []request {
	batch := []request{first}
	for len(batch) < maxBatch {
		select {
		case r := <-c.pending:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

// appendBatch appends the claims of the batch as one record and reports the result
// to each of them.
func (c *Claimer) appendBatch(ctx context.Context, batch []request) {
	record := claim.Batch{ID: randomname.New()}
	for _, r := range batch {
		record.Claims = append(record.Claims, r.claim)
	}
	var result appendResult
	data, err := json.Marshal(record)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		result.offset, err = c.config.PlatformLog.Append(ctx, platform.StreamClaims, data)
		cancel()
	}
	result.err = err
	for _, r := range batch {
		r.done <- result
	}
}
