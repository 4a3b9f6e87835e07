// Package claims settles through the platform's log which reservation a caller's
// idempotency key stands for. Claims of many callers share one append, since the
// log takes only several hundred a second for the whole system.
package claims

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/claim"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/identity"
	"camphormill.dev/parts/platform"
)

// Times of the claimer.
const (
	readWait      = 2 * time.Second
	readLimit     = 4 * time.Second
	readPause     = 250 * time.Millisecond
	appendTimeout = time.Second
	comeBack      = 2 * time.Second
)

// Config is what a Claimer is built from.
type Config struct {
	Log    platform.Log
	Window time.Duration // how long a key is remembered
	Now    func() time.Time
	// Interval is the least time between two appends of this entry.
	Interval func() time.Duration
	Logger   zerolog.Logger
}

// Claimer is safe for concurrent use once Run runs.
type Claimer struct {
	config  Config
	pending chan request

	mu     sync.Mutex
	table  *claim.Table
	folded chan struct{} // closed and replaced at each fold
}

type request struct {
	claim claim.Claim
	ended chan appended
}

type appended struct {
	offset int64
	err    error
}

// maxBatch bounds the claims of one append.
const maxBatch = 512

// New returns a claimer.
func New(c Config) *Claimer {
	return &Claimer{
		config:  c,
		pending: make(chan request, maxBatch),
		table:   claim.NewTable(c.Window),
		folded:  make(chan struct{}),
	}
}

// Run reads and appends until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	go c.appendBatches(ctx)
	for ctx.Err() == nil {
		if err := c.read(ctx); err != nil && ctx.Err() == nil {
			sleep(ctx, readPause)
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

func (c *Claimer) read(ctx context.Context) error {
	c.mu.Lock()
	from := c.table.Next()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	page, err := c.config.Log.Read(ctx, platform.StreamClaims, from, readWait)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Skip(page.Oldest)
	for _, record := range page.Records {
		c.table.Fold(record.Offset, record.AppendedAt, record.Data)
	}
	if len(page.Records) > 0 {
		close(c.folded)
		c.folded = make(chan struct{})
	}
	return nil
}

// Claim claims the key for the reservation and returns the winner.
func (c *Claimer) Claim(ctx context.Context, organisation, key, reservation string) (string, error) {
	return c.settle(ctx, claim.Claim{Organisation: organisation, Key: key, Reservation: reservation})
}

// Replace claims the key for the reservation in place of one that was voided.
func (c *Claimer) Replace(ctx context.Context, organisation, key, voided, reservation string) (string, error) {
	return c.settle(ctx, claim.Claim{Organisation: organisation, Key: key, Reservation: reservation, Voided: voided})
}

func (c *Claimer) settle(ctx context.Context, wanted claim.Claim) (string, error) {
	if winner, ok := c.winner(wanted); ok {
		return winner, nil
	}
	r := request{claim: wanted, ended: make(chan appended, 1)}
	select {
	case c.pending <- r:
	case <-ctx.Done():
		return "", c.unavailable("the log takes too few appends")
	}
	select {
	case a := <-r.ended:
		return c.await(ctx, wanted, a)
	case <-ctx.Done():
		return "", c.unsettled()
	}
}

// winner returns the reservation that the key stands for, unless it is the
// voided one.
func (c *Claimer) winner(wanted claim.Claim) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	winner, ok := c.table.Winner(wanted.Organisation, wanted.Key)
	return winner, ok && winner != wanted.Voided
}

// await reads until the claim's own record is folded. An append whose answer was
// lost is settled by reading too, as far as the time allows.
func (c *Claimer) await(ctx context.Context, wanted claim.Claim, a appended) (string, error) {
	var failed *platform.AppendError
	if errors.As(a.err, &failed) && !failed.Ambiguous {
		return "", c.unavailable("the log does not take appends")
	}
	ctx, cancel := context.WithTimeout(ctx, comeBack)
	defer cancel()
	for {
		c.mu.Lock()
		next, folded := c.table.Next(), c.folded
		c.mu.Unlock()
		if winner, ok := c.winner(wanted); ok && (a.err != nil || next > a.offset) {
			return winner, nil
		}
		select {
		case <-folded:
		case <-ctx.Done():
			return "", c.unsettled()
		}
	}
}

func (c *Claimer) unavailable(message string) error {
	return contract.NewFailure(contract.KindLogUnavailable, message,
		"send the call under a reservation, or come back later").WithRetryAt(c.config.Now().Add(comeBack))
}

func (c *Claimer) unsettled() error {
	return contract.NewFailure(contract.KindLogUnavailable,
		"the log has not told yet whether the key was claimed",
		"send the call again with the same key").WithRetryAt(c.config.Now().Add(comeBack))
}

func (c *Claimer) appendBatches(ctx context.Context) {
	for {
		select {
		case first := <-c.pending:
			c.appendBatch(ctx, c.gather(first))
			sleep(ctx, c.config.Interval())
		case <-ctx.Done():
			return
		}
	}
}

func (c *Claimer) gather(first request) []request {
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

func (c *Claimer) appendBatch(ctx context.Context, batch []request) {
	record := claim.Batch{ID: identity.New()}
	for _, r := range batch {
		record.Claims = append(record.Claims, r.claim)
	}
	var result appended
	data, err := json.Marshal(record)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		result.offset, err = c.config.Log.Append(ctx, platform.StreamClaims, data)
		cancel()
	}
	result.err = err
	for _, r := range batch {
		r.ended <- result
	}
}
