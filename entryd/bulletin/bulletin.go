// Package bulletin keeps an entry's view of the platform's store: the routes in
// force, the registered targets, and the proof of how current they are. Any entry
// whose view grows old reads the store and tells the others, so that mostly one
// read serves the whole fleet, and an entry that hears nothing reads for itself.
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
	// readAge is how old a view may grow before it is read anew: a leaving
	// target must be known within 2 s, by way of another entry.
	readAge = 700 * time.Millisecond
	// readSpread, for each entry up to maxReadSpread, keeps entries from reading
	// at the same moment: the first one's bulletin must reach the others first.
	readSpread    = 30 * time.Millisecond
	maxReadSpread = time.Second
	// readTimeout bounds one read of the store, which takes some milliseconds.
	readTimeout = 700 * time.Millisecond
	// behindSpread spreads the reads of entries that hear of newer routes, and
	// lets one read serve versions that follow each other quickly.
	behindSpread = 250 * time.Millisecond
	// refreshAge is how old a view may be that is not read anew when a target has
	// turned out to be gone.
	refreshAge = 150 * time.Millisecond
	// retryAfter is the least pause after a failed read, and retrySpread, for each
	// entry alive up to maxRetrySpread, spreads the next tries: together they make
	// some thirty a second, and the first that succeeds tells the others.
	retryAfter     = 200 * time.Millisecond
	retrySpread    = 60 * time.Millisecond
	maxRetrySpread = 4 * time.Second
	// returnGrace is how long targets whose entries lapsed while the store was
	// away may take to come back.
	returnGrace = 2 * time.Second
	// outageGap is how old the last confirmation must be for a removal to count as
	// one that the store's absence may have caused: longer than any usual pause
	// between reads, shorter than the silence after which entries lapse.
	outageGap = 2 * time.Second
	// tick is how often it is looked whether a read is due.
	tick = 50 * time.Millisecond
	// maxTold is how many bytes of records one datagram carries.
	maxTold = 8 << 10
)

// Records is a stretch of the registry's stream.
type Records struct {
	Raw [][]byte
	End int64
	// Lost says that the stretch is no longer kept; a full listing is needed.
	Lost bool
}

// Store is how the store is read.
type Store struct {
	// Configuration returns what was published last when it changed after the
	// offset, or nil, and the end of the stream.
	Configuration func(ctx context.Context, from int64) ([]byte, int64, error)
	// Table reads what was published.
	Table   func(published []byte) (*routes.Table, error)
	Targets func(ctx context.Context, from int64) (Records, error)
	List    func(ctx context.Context) ([]registry.Target, int64, error)
	// Decode reads one record. A nil target was removed; ok is false for a
	// record that cannot be read.
	Decode func(raw []byte) (id string, t *registry.Target, ok bool)
}

// Config is what a Board is built from.
type Config struct {
	Store Store
	Mesh  *mesh.Mesh
	Clock func() freshness.Instant
	Now   func() time.Time
	Log   zerolog.Logger
	// Changed is told of each new view of the targets.
	Changed func(r registry.Registry)
}

// Board is safe for concurrent use.
type Board struct {
	config Config

	mu        sync.Mutex
	reading   chan struct{} // closed when the read that goes on ends
	table     *routes.Table
	tableAt   int64 // end of the configuration stream that the table is from
	proof     freshness.Proof
	targets   registry.Registry
	listed    bool
	targetsAt int64
	readDue   time.Time
	confirmed time.Time // when the store was last heard of, from itself or a peer
	reachable bool
	behind    bool // a peer knows newer configuration
	// targetsDue is when the targets should be read anew.
	targetsDue time.Time
}

// New returns an empty board.
func New(c Config) *Board {
	return &Board{config: c, reachable: true, readDue: c.Now()}
}

// Table returns the routes in force, or nil before any are known.
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

// Known says whether both routes and targets are known.
func (b *Board) Known() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table != nil && b.listed
}

// Age is how old the proof of the routes is; false when there is none.
func (b *Board) Age() (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.proof.Age(b.config.Clock(), b.tableAt)
}

// Current says whether the routes were in force within the bound. An old proof
// is renewed by a read while the caller waits, unless the store was away just now.
func (b *Board) Current(ctx context.Context, bound time.Duration) bool {
	if b.holds(bound) {
		return true
	}
	if b.away() {
		return false
	}
	b.read(ctx)
	return b.holds(bound)
}

// away says whether the last read failed and the next try is not due yet.
func (b *Board) away() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.reachable && b.config.Now().Before(b.readDue)
}

func (b *Board) holds(bound time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.proof.Holds(b.config.Clock(), b.tableAt, bound)
}

// Refresh reads the targets anew when the view is not quite fresh: one of them was
// not where it should be.
func (b *Board) Refresh(ctx context.Context) {
	b.mu.Lock()
	fresh := b.config.Now().Before(b.targetsDue.Add(refreshAge - readAge))
	b.targetsDue = b.config.Now()
	b.mu.Unlock()
	if !fresh && !b.away() {
		b.read(ctx)
	}
}

// Run keeps the board current until the context ends.
func (b *Board) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		if b.due() {
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

func (b *Board) due() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.config.Now().Before(b.readDue)
}

// postpone sets the next read; jitter lets mostly one entry be first.
func (b *Board) postpone(after time.Duration) {
	spread := min(readSpread*time.Duration(1+len(b.config.Mesh.Known(mesh.Entry))), maxReadSpread)
	b.readDue = b.config.Now().Add(after + time.Duration(rand.Int64N(int64(spread))))
}

// beginRead returns the end of the read that goes on, and whether it is a new one.
func (b *Board) beginRead() (chan struct{}, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reading != nil {
		return b.reading, false
	}
	b.reading = make(chan struct{})
	return b.reading, true
}

func (b *Board) endRead(done chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = nil
	close(done)
}

// read reads the store once and tells the peers.
func (b *Board) read(ctx context.Context) {
	done, first := b.beginRead()
	if !first {
		select {
		case <-done: // another read was on its way and served this one
		case <-ctx.Done():
		}
		return
	}
	defer b.endRead(done)
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	b.mu.Lock()
	tableAt, targetsAt, listed := b.tableAt, b.targetsAt, b.listed
	// A peer's word of newer routes is no reason to read the targets as well.
	onlyTable := b.behind && listed && b.config.Now().Before(b.targetsDue)
	b.postpone(readAge)
	b.mu.Unlock()
	asOf := b.config.Clock()
	beats := b.beats()
	published, end, err := b.config.Store.Configuration(ctx, tableAt)
	if err == nil {
		b.takePublished(published, end, asOf)
	}
	if err != nil {
		b.noteFailure(err)
		return
	}
	records := Records{End: targetsAt}
	if !onlyTable {
		records, err = b.readTargets(ctx, targetsAt, listed)
	}
	if err != nil {
		b.noteFailure(err)
		records = Records{End: targetsAt}
	} else {
		b.noteReachable()
	}
	if err == nil && !onlyTable {
		b.confirm()
	}
	b.tell(mesh.Bulletin{
		Configuration: end, Published: compress(published), From: targetsAt, End: records.End, Targets: records.Raw,
		Read: !onlyTable && err == nil,
	}, records.Lost, beats)
}

// takePublished reads what was published. What cannot be read leaves the routes in
// force as they are.
func (b *Board) takePublished(published []byte, end int64, asOf freshness.Instant) {
	var table *routes.Table
	if published != nil {
		var err error
		if table, err = b.config.Store.Table(published); err != nil {
			b.config.Log.Warn().Err(err).Int64("offset", end).Msg("published configuration cannot be read; the last one holds")
		}
	}
	b.takeTable(table, end, asOf)
}

func (b *Board) takeTable(table *routes.Table, end int64, asOf freshness.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if table != nil && (b.table == nil || table.Version() >= b.table.Version()) && end >= b.tableAt {
		if b.table == nil || table.Version() > b.table.Version() {
			b.config.Log.Info().Int64("version", table.Version()).Int64("offset", end).Msg("routes in force")
		}
		b.table = table
	}
	if end > b.tableAt {
		b.tableAt = end
	}
	b.behind = false
	b.proof = b.proof.With(end, asOf)
}

func (b *Board) noteFailure(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	spread := min(retrySpread*time.Duration(1+len(b.config.Mesh.Alive(mesh.Entry))), maxRetrySpread)
	b.readDue = b.config.Now().Add(retryAfter + time.Duration(rand.Int64N(int64(spread))))
	if b.reachable {
		b.config.Log.Warn().Err(err).Msg("store lost; peers are heard, and it is tried again")
	}
	b.reachable = false
}

func (b *Board) noteReachable() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.reachable {
		b.config.Log.Info().Msg("store regained")
	}
	b.reachable = true
}
