// Package configuration keeps an entry daemon at the newest configuration: it
// tails the platform's log, asks peers when it is behind or the log is down, and
// appends snapshots so that old records may expire.
package configuration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/identity"
	"camphormill.dev/parts/platform"
	"camphormill.dev/parts/preset"
)

// Times of the follower.
const (
	firstWait = time.Millisecond       // the first read does not wait for news
	readWait  = 2 * time.Second        // how long a read waits for a record
	readLimit = 4 * time.Second        // after which an answer is given up
	readPause = 250 * time.Millisecond // before reading again after an error
)

// snapshotEvery is how many records may follow a snapshot before the next.
const snapshotEvery = 256

// Config is what a Follower is built from.
type Config struct {
	Log    platform.Log
	Holder *preset.Holder
	Now    func() time.Time
	// SnapshotAge is how old the newest snapshot may grow. It must be well
	// below the log's retention.
	SnapshotAge time.Duration
	// Int64N returns a random number below n; it spreads the snapshots of the
	// entries, so that mostly one of them writes.
	Int64N func(n int64) int64
	// AskPeers fetches what peers know after the offset; it is used while the
	// log cannot be read.
	AskPeers func(ctx context.Context, since int64)
	// Loaded is told once there is a configuration to serve from.
	Loaded func()
	Logger zerolog.Logger
}

// Follower tails the configuration stream.
type Follower struct {
	config     Config
	spread     int64
	snapshotAt time.Time // when the newest snapshot was appended, or first record
	logDown    bool
	loaded     bool
}

// NewFollower returns a follower; Run does its work.
func NewFollower(c Config) *Follower {
	return &Follower{config: c, spread: c.Int64N(snapshotEvery)}
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.noteLoaded()
		if err := f.read(ctx); err != nil && ctx.Err() == nil {
			f.noteDown(err)
			f.config.AskPeers(ctx, f.config.Holder.Offset())
			sleep(ctx, readPause)
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

func (f *Follower) noteLoaded() {
	if f.loaded {
		return
	}
	if _, f.loaded = f.config.Holder.State(); f.loaded {
		f.config.Loaded()
	}
}

func (f *Follower) noteDown(err error) {
	if !f.logDown {
		f.config.Logger.Warn().Err(err).Msg("log cannot be read; peers are asked")
	}
	f.logDown = true
}

func (f *Follower) read(ctx context.Context) error {
	var from int64
	f.config.Holder.With(func(r *preset.Reader) { from = r.Next() })
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	wait := readWait
	if !f.loaded {
		wait = firstWait
	}
	page, err := f.config.Log.Read(ctx, platform.StreamConfiguration, from, wait)
	if err != nil {
		return err
	}
	if f.logDown {
		f.config.Logger.Info().Msg("log can be read again")
	}
	f.logDown = false
	f.config.Holder.With(func(r *preset.Reader) { f.take(r, page) })
	return nil
}

func (f *Follower) take(r *preset.Reader, page platform.Page) {
	r.Truncated(page.Oldest)
	for _, record := range page.Records {
		before := r.NewestSnapshot()
		r.Read(preset.Entry{Offset: record.Offset, Data: record.Data})
		if f.snapshotAt.IsZero() || r.NewestSnapshot() != before {
			f.snapshotAt = record.AppendedAt
		}
	}
	if r.Next() >= page.End {
		r.Reached()
	}
}

func (f *Follower) snapshotIfDue(ctx context.Context) {
	var s preset.Snapshot
	var ok bool
	f.config.Holder.With(func(r *preset.Reader) {
		if f.due(r) {
			s, ok = r.Snapshot()
		}
	})
	if !ok {
		return
	}
	record := preset.Record{Kind: preset.RecordSnapshot, ChangeID: identity.New(), Snapshot: &s}
	data, err := json.Marshal(record)
	if err != nil {
		f.config.Logger.Error().Err(err).Msg("snapshot cannot be written")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	if _, err := f.config.Log.Append(ctx, platform.StreamConfiguration, data); err != nil {
		f.config.Logger.Warn().Err(err).Msg("snapshot not appended; it is tried again")
	}
}

func (f *Follower) due(r *preset.Reader) bool {
	state, _ := r.State()
	if state.Offset-r.NewestSnapshot() >= snapshotEvery+f.spread {
		return true
	}
	age := f.config.SnapshotAge + f.config.SnapshotAge*time.Duration(f.spread)/snapshotEvery
	return !f.snapshotAt.IsZero() && f.config.Now().Sub(f.snapshotAt) >= age
}
