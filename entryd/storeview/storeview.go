// Package storeview keeps an entry's view of the platform's store: the routes in force, the
// registered targets, and the proof of how fresh the routes are. An entry whose view is
// due for a refresh reads the store and sends the result to the other entries, so that one
// read usually serves the whole fleet. An entry that receives nothing from its peers reads
// the store itself.
package storeview

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
	// maxViewAge is the age of the view at which the store is read again: all entries must
	// know within 2 s that a target drains, also when they learn of it through another entry.
	maxViewAge = 700 * time.Millisecond
	// readJitterPerEntry is the jitter per known entry before a read, up to maxReadJitter.
	// It keeps entries from reading at the same moment: the update of the first one must
	// reach the others before they read.
	readJitterPerEntry = 30 * time.Millisecond
	maxReadJitter      = time.Second
	// readTimeout bounds one read of the store. A read usually takes a few milliseconds.
	readTimeout = 700 * time.Millisecond
	// newerRoutesJitter is the jitter before a read for newer routes that a peer has
	// announced. It spreads the reads of the fleet and lets one read cover several
	// versions published in quick succession.
	newerRoutesJitter = 250 * time.Millisecond
	// minRefreshAge is the age of the targets below which RefreshTargets does not read
	// them again.
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
	// restoredLapse is the time after which the store, when it has come back from an older copy, lists only
	// targets that renew their registrations.
	restoredLapse = 6 * time.Second
	// outageThreshold decides whether the removal of a target is attributed to an outage of
	// the store: it is if the registry was last read longer ago than this. The threshold is
	// longer than any usual pause between reads and shorter than the time after which
	// registrations expire.
	outageThreshold = 2 * time.Second
	// pollInterval is the interval at which Run checks whether a read is due.
	pollInterval = 50 * time.Millisecond
	// maxRecordBytes bounds the total size in bytes of the registry records in one datagram.
	maxRecordBytes = 8 << 10
)

// Records is a range of the registry's record stream.
type Records struct {
	Raw [][]byte // encoded records in order
	End int64    // offset after the last record
	// Truncated is set if the range is no longer retained; a full listing is needed.
	Truncated bool
}

// Published is what operators have published in the configuration stream since an offset.
type Published struct {
	Configuration []byte // the latest one; nil if it has not changed
	// EvacuatedZones holds all evacuated zones; nil if none was evacuated or taken back. The
	// configuration is then set too, if there is one.
	EvacuatedZones *[]string
}

// isEmpty reports whether nothing has changed.
func (p Published) isEmpty() bool { return p.Configuration == nil && p.EvacuatedZones == nil }

// Store holds the functions that read the platform's store.
type Store struct {
	// ReadPublished returns what has changed in the configuration stream after the offset from, or
	// everything if from is 0, and the end offset of the stream.
	ReadPublished func(ctx context.Context, from int64) (Published, int64, error)
	// ParseRoutes parses a published configuration.
	ParseRoutes func(published []byte) (*routes.Table, error)
	// ReadTargetRecords returns the registry's records from the offset from on.
	ReadTargetRecords func(ctx context.Context, from int64) (Records, error)
	// ListTargets returns all registered targets and the end of the registry's stream.
	ListTargets func(ctx context.Context) ([]registry.Target, int64, error)
	// Era returns how often the store has come back from an older copy, as last seen. Nil means
	// that it never does.
	Era func() int64
	// DecodeTargetRecord parses one registry record. t is nil if the record removes the
	// target; ok is false if the record cannot be parsed.
	DecodeTargetRecord func(raw []byte) (id string, t *registry.Target, ok bool)
}

// Config holds the dependencies of a View.
type Config struct {
	Store       Store
	Mesh        *mesh.Mesh
	SteadyClock func() freshness.Instant // for the age of proofs; runs on while the host is suspended
	Life        freshness.Life           // of this process, as in its heartbeats
	Now         func() time.Time
	Log         zerolog.Logger
	// OnTargetsChanged is called with each new set of targets.
	OnTargetsChanged func(r registry.Registry)
	// OnRestored is called when the store has come back from an older copy, so that what must last
	// is written again. It must not block; nil does nothing.
	OnRestored func()
}

// View is an entry's view of the store. It is safe for concurrent use.
type View struct {
	config Config

	mu                 sync.Mutex
	readDone           chan struct{} // closed when the running read ends; nil if none is running
	routes             *routes.Table
	routesOffset       int64           // end of the configuration stream as last read
	proof              freshness.Proof // newest confirmed end of the configuration stream, and when the confirming read was sent
	targets            registry.Registry
	evacuated          evacuations
	listed             bool      // the targets have been listed completely at least once
	listedEra          int64     // era of the store at that listing
	listAgainAt        time.Time // when the targets are listed again; zero if a read of the records is enough
	targetsOffset      int64     // end of the registry's record stream as last applied
	nextReadAt         time.Time // when Run next reads the store
	confirmedAt        time.Time // when the registry was last read, by this entry or a peer
	storeReachable     bool      // the last read succeeded, or there was none yet
	peerHasNewerRoutes bool      // a peer has read a newer configuration
	// targetsDueAt is from when on a read includes the targets even if a peer has newer
	// routes. It is set to maxViewAge from the time at which a listing is applied, or a
	// range of records, possibly empty or from a peer, that reaches targetsOffset.
	// RefreshTargets sets it to the time of its call.
	targetsDueAt time.Time
}

// New returns a view without routes and targets.
func New(c Config) *View {
	return &View{config: c, storeReachable: true, nextReadAt: c.Now()}
}

// Routes returns the routes in force, or nil if none are known yet.
func (v *View) Routes() *routes.Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.routes
}

// Targets returns the registered targets.
func (v *View) Targets() registry.Registry {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.targets
}

// Loaded reports whether both routes and targets are known.
func (v *View) Loaded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.routes != nil && v.listed
}

// ProofAge returns the age of the routes' freshness proof; false if there is none.
func (v *View) ProofAge() (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.proof.Age(v.config.SteadyClock(), v.routesOffset)
}

// Current reports whether the routes were confirmed as the newest less than bound ago. If
// they were not, it first waits for a read of the store, at most until ctx ends, unless the
// last read failed and the next attempt is not due yet.
func (v *View) Current(ctx context.Context, bound time.Duration) bool {
	if v.proofIsCurrent(bound) {
		return true
	}
	if v.awaitingRetry() {
		return false
	}
	v.read(ctx)
	return v.proofIsCurrent(bound)
}

// awaitingRetry reports whether the last read failed and the next attempt is not due yet.
func (v *View) awaitingRetry() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.storeReachable && v.config.Now().Before(v.nextReadAt)
}

// WasConfirmed reports whether the routes were confirmed as the newest less than bound ago, without reading
// the store.
func (v *View) WasConfirmed(bound time.Duration) bool { return v.proofIsCurrent(bound) }

func (v *View) proofIsCurrent(bound time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.proof.IsCurrent(v.config.SteadyClock(), v.routesOffset, bound)
}

// RefreshTargets reads the targets again unless a listing or records were applied less than
// minRefreshAge ago, as targetsDueAt tells, or the last read failed and the next attempt is
// not due yet. It is called when a target was not found at its address.
func (v *View) RefreshTargets(ctx context.Context) {
	v.mu.Lock()
	// targetsDueAt less maxViewAge is when a listing or records were last applied, unless
	// an earlier call has set targetsDueAt.
	recent := v.config.Now().Before(v.targetsDueAt.Add(minRefreshAge - maxViewAge))
	v.targetsDueAt = v.config.Now()
	v.mu.Unlock()
	if !recent && !v.awaitingRetry() {
		v.read(ctx)
	}
}

// Run keeps the view current until the context ends.
func (v *View) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if v.readDue() {
			v.read(ctx)
		}
		v.expire()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (v *View) readDue() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.config.Now().Before(v.nextReadAt)
}

// scheduleRead sets the time of the next read, with jitter so that usually one entry reads
// before the others. The caller holds v.mu.
func (v *View) scheduleRead(after time.Duration) {
	jitter := min(readJitterPerEntry*time.Duration(1+len(v.config.Mesh.Known(mesh.RoleEntry))), maxReadJitter)
	v.nextReadAt = v.config.Now().Add(after + time.Duration(rand.Int64N(int64(jitter))))
}

// beginRead returns the channel that is closed when the running read ends, and whether the
// caller has to do this read.
func (v *View) beginRead() (chan struct{}, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.readDone != nil {
		return v.readDone, false
	}
	v.readDone = make(chan struct{})
	return v.readDone, true
}

func (v *View) endRead(done chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.readDone = nil
	close(done)
}

// read reads the store once and sends the result to the peers. If another read is running,
// it waits for the end of that one or of ctx instead. The caller must not hold v.mu.
func (v *View) read(ctx context.Context) {
	done, started := v.beginRead()
	if !started {
		select {
		case <-done: // another read was running and serves this call too
		case <-ctx.Done():
		}
		return
	}
	defer v.endRead(done)
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	v.mu.Lock()
	routesOffset, targetsOffset := v.routesOffset, v.targetsOffset
	listed := v.listed && (v.listAgainAt.IsZero() || v.config.Now().Before(v.listAgainAt))
	// If a peer has announced newer routes, the read leaves out the targets until they are due.
	routesOnly := v.peerHasNewerRoutes && v.listed && v.config.Now().Before(v.targetsDueAt)
	v.scheduleRead(maxViewAge)
	v.mu.Unlock()
	// The age of the result counts from asOf here, and at each peer from the sending time
	// of that peer's last heartbeat. Both are taken before the read, so that the result never
	// seems fresher than it is.
	asOf := v.config.SteadyClock()
	heartbeats := v.peerHeartbeats()
	published, end, err := v.config.Store.ReadPublished(ctx, routesOffset)
	if err == nil {
		v.applyPublished(published, v.era(), end, asOf)
	}
	if err != nil {
		v.recordFailure(err)
		return
	}
	records := Records{End: targetsOffset}
	if !routesOnly {
		records, err = v.readTargets(ctx, targetsOffset, listed)
	}
	if err != nil {
		// The configuration was read, so it is still sent to the peers.
		v.recordFailure(err)
		records = Records{End: targetsOffset}
	} else {
		v.recordSuccess()
	}
	if err == nil && !routesOnly {
		v.recordConfirmation()
	}
	update := mesh.StoreUpdate{Configuration: end, From: targetsOffset, End: records.End, Targets: records.Raw, RegistryRead: !routesOnly && err == nil}
	if !published.isEmpty() {
		update.Published, update.HasZones, update.Era = compress(published.Configuration), true, v.era()
		update.EvacuatedZones = v.listedEvacuations()
	}
	v.notifyPeers(update, records.Truncated, heartbeats)
}

// applyPublished parses and applies what operators have published. If the configuration cannot be
// parsed, the routes in force stay, and count as confirmed.
func (v *View) applyPublished(p Published, era, end int64, asOf freshness.Instant) {
	var table *routes.Table
	if p.Configuration != nil {
		var err error
		if table, err = v.config.Store.ParseRoutes(p.Configuration); err != nil {
			v.config.Log.Warn().Err(err).Int64("offset", end).Msg("cannot parse the published configuration; keeping the routes in force")
		}
	}
	v.applyRoutes(table, p.EvacuatedZones, era, end, asOf)
}

// applyRoutes puts the table and the evacuated zones in force unless they are nil or older than what
// is known, and adds to the proof that the configuration stream ended at the offset end at the
// time asOf, by this entry's steady clock.
func (v *View) applyRoutes(table *routes.Table, zones *[]string, era, end int64, asOf freshness.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if zones != nil && end >= v.routesOffset {
		v.setEvacuated(v.evacuated.withListed(*zones, era, v.config.Now()))
	}
	if table != nil && (v.routes == nil || table.Version() >= v.routes.Version()) && end >= v.routesOffset {
		if v.routes == nil || table.Version() > v.routes.Version() {
			v.config.Log.Info().Int64("version", table.Version()).Int64("offset", end).Msg("routes in force")
		}
		v.routes = table.WithEvacuatedZones(v.evacuated.zones())
	}
	if end > v.routesOffset {
		v.routesOffset = end
	}
	v.peerHasNewerRoutes = false
	v.proof = v.proof.With(end, asOf)
}

// recordFailure notes that a read failed and schedules the next attempt.
func (v *View) recordFailure(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	jitter := min(retryJitterPerEntry*time.Duration(1+len(v.config.Mesh.Alive(mesh.RoleEntry))), maxRetryJitter)
	v.nextReadAt = v.config.Now().Add(retryDelay + time.Duration(rand.Int64N(int64(jitter))))
	if v.storeReachable {
		v.config.Log.Warn().Err(err).Msg("store lost; relying on peers and retrying")
	}
	v.storeReachable = false
}

func (v *View) recordSuccess() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.storeReachable {
		v.config.Log.Info().Msg("store reachable again")
	}
	v.storeReachable = true
}
