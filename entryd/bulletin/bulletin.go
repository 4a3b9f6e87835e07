// Package bulletin keeps an entry's view of the platform's store: the routes in force, the
// registered targets, and the proof of how fresh the routes are. An entry whose view is
// due for a refresh reads the store and sends the result to the other entries, so that one
// read usually serves the whole fleet. An entry that receives nothing from its peers reads
// the store itself.
package bulletin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/registry"
	"camphormill.dev/parts/routes"
)

const (
	// maxViewAge is the age at which a view is read again: all entries must know a
	// draining target within 2 s, also when they learn of it through another entry.
	maxViewAge = 700 * time.Millisecond
	// readJitterPerEntry is the jitter per known entry before a read, up to maxReadJitter.
	// It keeps entries from reading at the same moment: the bulletin of the first one must
	// reach the others before they read.
	readJitterPerEntry = 30 * time.Millisecond
	maxReadJitter      = time.Second
	// readTimeout bounds one read of the store. A read usually takes a few milliseconds.
	readTimeout = 700 * time.Millisecond
	// newerRoutesJitter is the jitter before a read for newer routes that a peer has
	// announced. It spreads the reads of the fleet and lets one read cover several
	// versions published in quick succession.
	newerRoutesJitter = 250 * time.Millisecond
	// minRefreshAge is the age of a view below which Refresh does not read it again.
	minRefreshAge = 150 * time.Millisecond
	// retryDelay is the minimum delay after a failed read. retryJitterPerEntry is the
	// jitter added for each live entry, up to maxRetryJitter. Together they limit the
	// fleet to about thirty attempts a second; the first entry that succeeds informs the
	// others.
	retryDelay          = 200 * time.Millisecond
	retryJitterPerEntry = 60 * time.Millisecond
	maxRetryJitter      = 4 * time.Second
	// outageGrace is the time that targets have to register again if their registrations
	// expired while the store was unreachable.
	outageGrace = 2 * time.Second
	// outageThreshold is the time since the last confirmation of the registry from which a
	// removal is attributed to an outage of the store. It is longer than any usual pause
	// between reads and shorter than the time after which registrations expire.
	outageThreshold = 2 * time.Second
	// pollInterval is the interval at which Run checks whether a read is due.
	pollInterval = 50 * time.Millisecond
	// maxRecordBytes bounds the registry records in one datagram.
	maxRecordBytes = 8 << 10
)

// Records is a range of the registry's record stream.
type Records struct {
	Raw [][]byte // encoded records in order
	End int64    // offset after the last record
	// Lost is set if the range is no longer retained; a full listing is needed.
	Lost bool
}

// Store holds the functions that read the platform's store.
type Store struct {
	// Configuration returns the latest published configuration if it changed after the
	// offset, otherwise nil, and the end of the configuration stream.
	Configuration func(ctx context.Context, from int64) ([]byte, int64, error)
	// Table parses a published configuration.
	Table func(published []byte) (*routes.Table, error)
	// Targets returns the registry's records from the offset on.
	Targets func(ctx context.Context, from int64) (Records, error)
	// List returns all registered targets and the end of the registry's stream.
	List func(ctx context.Context) ([]registry.Target, int64, error)
	// Decode parses one registry record. A nil target was removed; ok is false if the
	// record cannot be parsed.
	Decode func(raw []byte) (id string, t *registry.Target, ok bool)
}

// Config holds the dependencies of a Board.
type Config struct {
	Store Store
	Mesh  *mesh.Mesh
	Clock func() freshness.Instant // for the age of proofs; runs on while the host is suspended
	Now   func() time.Time
	Log   zerolog.Logger
	// Changed is called with each new set of targets.
	Changed func(r registry.Registry)
}

// Board is an entry's view of the store. It is safe for concurrent use.
type Board struct {
	config Config

	mu                 sync.Mutex
	readDone           chan struct{} // closed when the running read ends; nil if none is running
	table              *routes.Table
	tableOffset        int64 // end of the configuration stream as last read
	proof              freshness.Proof
	targets            registry.Registry
	listed             bool
	targetsOffset      int64
	nextReadAt         time.Time
	confirmedAt        time.Time // when the registry was last read, by this entry or a peer
	storeReachable     bool
	peerHasNewerRoutes bool // a peer has read a newer configuration
	// targetsDueAt is when the targets should be read again.
	targetsDueAt time.Time
}

// New returns a board without routes and targets.
func New(c Config) *Board {
	return &Board{config: c, storeReachable: true, nextReadAt: c.Now()}
}

// Table returns the routes in force, or nil if none are known yet.
func (b *Board) Table() *routes.Table {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table
}

// Targets returns the registered targets.
func (b *Board) Targets() registry.Registry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets
}

// Known reports whether both routes and targets are known.
func (b *Board) Known() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table != nil && b.listed
}

// Age returns the age of the routes' freshness proof; false if there is none.
func (b *Board) Age() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.proof.Age(b.config.Clock(), b.tableOffset)
}

// Current reports whether the routes were in force within the bound. If the proof is older
// it waits for a read of the store, unless the last read failed and the next attempt is
// not due yet.
func (b *Board) Current(ctx context.Context, bound time.Duration) bool {
	if b.proofHolds(bound) {
		return true
	}
	if b.awaitingRetry() {
		return false
	}
	b.read(ctx)
	return b.proofHolds(bound)
}

// awaitingRetry reports whether the last read failed and the next attempt is not due yet.
func (b *Board) awaitingRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.storeReachable && b.config.Now().Before(b.nextReadAt)
}

func (b *Board) proofHolds(bound time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.proof.IsCurrent(b.config.Clock(), b.tableOffset, bound)
}

// Refresh reads the targets again unless the view is very recent. It is called when a
// target was not found at its address.
func (b *Board) Refresh(ctx context.Context) {
	b.mu.Lock()
	recent := b.config.Now().Before(b.targetsDueAt.Add(minRefreshAge - maxViewAge))
	b.targetsDueAt = b.config.Now()
	b.mu.Unlock()
	if !recent && !b.awaitingRetry() {
		b.read(ctx)
	}
}

// Run keeps the view current until the context ends.
func (b *Board) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if b.readDue() {
			b.read(ctx)
		}
		b.expire()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *Board) readDue() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.config.Now().Before(b.nextReadAt)
}

// scheduleRead sets the time of the next read, with jitter so that usually one entry reads
// before the others.
func (b *Board) scheduleRead(after time.Duration) {
	jitter := min(readJitterPerEntry*time.Duration(1+len(b.config.Mesh.Known(mesh.RoleEntry))), maxReadJitter)
	b.nextReadAt = b.config.Now().Add(after + time.Duration(rand.Int64N(int64(jitter))))
}

// beginRead returns the channel that is closed when the running read ends, and whether the
// caller has to do this read.
func (b *Board) beginRead() (chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.readDone != nil {
		return b.readDone, false
	}
	b.readDone = make(chan struct{})
	return b.readDone, true
}

func (b *Board) endRead(done chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readDone = nil
	close(done)
}

// read reads the store once and sends the result to the peers.
func (b *Board) read(ctx context.Context) {
	done, started := b.beginRead()
	if !started {
		select {
		case <-done: // another read was running and serves this call too
		case <-ctx.Done():
		}
		return
	}
	defer b.endRead(done)
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	b.mu.Lock()
	tableOffset, targetsOffset, listed := b.tableOffset, b.targetsOffset, b.listed
	// An announcement of newer routes requires no read of the targets.
	routesOnly := b.peerHasNewerRoutes && listed && b.config.Now().Before(b.targetsDueAt)
	b.scheduleRead(maxViewAge)
	b.mu.Unlock()
	asOf := b.config.Clock()
	heartbeats := b.peerHeartbeats()
	published, end, err := b.config.Store.Configuration(ctx, tableOffset)
	if err == nil {
		b.applyPublished(published, end, asOf)
	}
	if err != nil {
		b.recordFailure(err)
		return
	}
	records := Records{End: targetsOffset}
	if !routesOnly {
		records, err = b.readTargets(ctx, targetsOffset, listed)
	}
	if err != nil {
		b.recordFailure(err)
		records = Records{End: targetsOffset}
	} else {
		b.recordSuccess()
	}
	if err == nil && !routesOnly {
		b.recordConfirmation()
	}
	b.notifyPeers(mesh.StoreUpdate{
		Configuration: end, Published: compress(published), From: targetsOffset, End: records.End, Targets: records.Raw,
		RegistryRead: !routesOnly && err == nil,
	}, records.Lost, heartbeats)
}

// applyPublished parses and applies a published configuration. If it cannot be parsed, the
// routes in force stay.
func (b *Board) applyPublished(published []byte, end int64, asOf freshness.Instant) {
	var table *routes.Table
	if published != nil {
		var err error
		if table, err = b.config.Store.Table(published); err != nil {
			b.config.Log.Warn().Err(err).Int64("offset", end).Msg("cannot parse the published configuration; keeping the routes in force")
		}
	}
	b.applyTable(table, end, asOf)
}

func (b *Board) applyTable(table *routes.Table, end int64, asOf freshness.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if table != nil && (b.table == nil || table.Version() >= b.table.Version()) && end >= b.tableOffset {
		if b.table == nil || table.Version() > b.table.Version() {
			b.config.Log.Info().Int64("version", table.Version()).Int64("offset", end).Msg("routes in force")
		}
		b.table = table
	}
	if end > b.tableOffset {
		b.tableOffset = end
	}
	b.peerHasNewerRoutes = false
	b.proof = b.proof.With(end, asOf)
}

func (b *Board) recordFailure(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	jitter := min(retryJitterPerEntry*time.Duration(1+len(b.config.Mesh.Alive(mesh.RoleEntry))), maxRetryJitter)
	b.nextReadAt = b.config.Now().Add(retryDelay + time.Duration(rand.Int64N(int64(jitter))))
	if b.storeReachable {
		b.config.Log.Warn().Err(err).Msg("store lost; relying on peers and retrying")
	}
	b.storeReachable = false
}

func (b *Board) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.storeReachable {
		b.config.Log.Info().Msg("store reachable again")
	}
	b.storeReachable = true
}
