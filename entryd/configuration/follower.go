// Package configuration keeps an entry daemon at the newest configuration. It tails
// the platform's log, asks peers while the log cannot be read, and decides when to
// append a snapshot so that older records may expire.
package configuration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/platform"
	"camphormill.dev/parts/preset"
	"camphormill.dev/parts/randomname"
)

// Timeouts and delays of the follower.
const (
	initialWait = time.Millisecond       // wait of a read before there is a configuration
	readWait    = 2 * time.Second        // how long a later read waits for a record
	logTimeout  = 4 * time.Second        // timeout of a read, including its wait, or of an append
	readBackoff = 250 * time.Millisecond // delay before the next read after an error
)

// snapshotEvery is how many records follow a snapshot before the next one is due.
const snapshotEvery = 256

// Config holds the dependencies and parameters of a Follower.
type Config struct {
	PlatformLog platform.Log
	Store       *preset.Store
	Now         func() time.Time
	// SnapshotAge is the age of the newest snapshot from which another is due. Jitter
	// adds up to the same time again; the sum must be well below the retention of the
	// log.
	SnapshotAge time.Duration
	// Int64N returns a random number from 0 to n-1. It spreads the times at which the
	// entries find a snapshot due, so that usually only one of them writes it.
	Int64N func(n int64) int64
	// FetchFromPeers asks peers for a configuration newer than the log offset since and
	// puts it into Store. It is called while the log cannot be read.
	FetchFromPeers func(ctx context.Context, since int64)
	// OnLoaded is called once, when there is a configuration to serve requests with.
	OnLoaded func()
	Logger   zerolog.Logger
}

// Follower tails the configuration stream of the log. It is not safe for concurrent
// use.
type Follower struct {
	config Config
	// jitter is the number of records to add to snapshotEvery, from 0 to snapshotEvery-1.
	// SnapshotAge is extended by the same proportion.
	jitter     int64
	snapshotAt time.Time // when the newest snapshot, or else the first record, was appended
	logDown    bool
	loaded     bool
}

// NewFollower returns a Follower; Run does its work.
func NewFollower(c Config) *Follower {
	return &Follower{config: c, jitter: c.Int64N(snapshotEvery)}
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.reportLoaded()
		if err := f.read(ctx); err != nil && ctx.Err() == nil {
			f.reportLogDown(err)
			f.config.FetchFromPeers(ctx, f.config.Store.Offset())
			sleep(ctx, readBackoff)
			continue
		}
		f.snapshotIfDue(ctx)
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

// reportLoaded calls OnLoaded when there is a configuration for the first time.
func (f *Follower) reportLoaded() {
	if f.loaded {
		return
	}
	if _, f.loaded = f.config.Store.State(); f.loaded {
		f.config.OnLoaded()
	}
}

// reportLogDown logs the first of several read errors in a row.
func (f *Follower) reportLogDown(err error) {
	if !f.logDown {
		f.config.Logger.Warn().Err(err).Msg("log cannot be read; asking peers for the configuration")
	}
	f.logDown = true
}

// read applies the next page of the log.
func (f *Follower) read(ctx context.Context) error {
	var from int64
	f.config.Store.WithReader(func(r *preset.Reader) { from = r.NextOffset() })
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	wait := readWait
	if !f.loaded {
		wait = initialWait
	}
	page, err := f.config.PlatformLog.Read(ctx, platform.StreamConfiguration, from, wait)
	if err != nil {
		return err
	}
	if f.logDown {
		f.config.Logger.Info().Msg("log can be read again")
	}
	f.logDown = false
	f.config.Store.WithReader(func(r *preset.Reader) { f.apply(r, page) })
	return nil
}

// apply passes a page of the log to the reader and records when the newest snapshot
// was appended.
func (f *Follower) apply(r *preset.Reader, page platform.Page) {
	r.HandleTruncation(page.Oldest)
	for _, record := range page.Records {
		before := r.NewestSnapshot()
		r.Read(preset.Entry{Offset: record.Offset, Data: record.Data})
		if f.snapshotAt.IsZero() || r.NewestSnapshot() != before {
			f.snapshotAt = record.AppendedAt
		}
	}
	if r.NextOffset() >= page.End {
		r.HandleEnd()
	}
}

// snapshotIfDue appends a snapshot of the configuration if one is due.
func (f *Follower) snapshotIfDue(ctx context.Context) {
	var s preset.Snapshot
	var ok bool
	f.config.Store.WithReader(func(r *preset.Reader) {
		if f.snapshotDue(r) {
			s, ok = r.Snapshot()
		}
	})
	if !ok {
		return
	}
	record := preset.Record{Kind: preset.RecordSnapshot, ChangeID: randomname.New(), Snapshot: &s}
	data, err := json.Marshal(record)
	if err != nil {
		f.config.Logger.Error().Err(err).Msg("snapshot cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	if _, err := f.config.PlatformLog.Append(ctx, platform.StreamConfiguration, data); err != nil {
		f.config.Logger.Warn().Err(err).Msg("snapshot not appended; trying again after the next read")
	}
}

// snapshotDue reports whether a snapshot is due by the number of records since the
// newest one or by its age.
func (f *Follower) snapshotDue(r *preset.Reader) bool {
	state, _ := r.State()
	if state.Offset-r.NewestSnapshot() >= snapshotEvery+f.jitter {
		return true
	}
	age := f.config.SnapshotAge + f.config.SnapshotAge*time.Duration(f.jitter)/snapshotEvery
	return !f.snapshotAt.IsZero() && f.config.Now().Sub(f.snapshotAt) >= age
}
