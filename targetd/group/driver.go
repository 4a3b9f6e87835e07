package group

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/expertmap"
	"camphormill.dev/parts/link"
)

// methodRankOrder is the RPC method by which the coordinator sends an order to a rank.
const methodRankOrder = "rank_order"

// engineTimeout bounds one call of Engine.Completed or Engine.Grant.
const engineTimeout = time.Second

// DriverConfig configures a Driver.
type DriverConfig struct {
	Ranks        []int // ranks of this host
	Incarnation  string
	Window       int // number of steps permitted ahead of the last completed one
	Engine       Engine
	PollInterval time.Duration // interval between reads of the engine's progress
	Logger       zerolog.Logger
}

// Driver grants permits to the ranks of this host and carries out the coordinator's orders. It
// is safe for concurrent use.
type Driver struct {
	config DriverConfig

	mu      sync.Mutex                       // guards the fields below
	ranks   map[int]expertmap.Rank           // no entry until the engine's progress is known
	loading map[int]map[expertmap.MapID]bool // maps that are being loaded, by rank
}

// NewDriver returns a driver. Call Run to start it.
func NewDriver(c DriverConfig) *Driver {
	return &Driver{config: c, ranks: map[int]expertmap.Rank{}, loading: map[int]map[expertmap.MapID]bool{}}
}

// Run drives the ranks until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, rank := range d.config.Ranks {
		wg.Go(func() { d.driveRank(ctx, rank) })
	}
	wg.Wait()
}

// driveRank advances a rank at every PollInterval until ctx ends.
func (d *Driver) driveRank(ctx context.Context, rank int) {
	ticker := time.NewTicker(d.config.PollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if err := d.advanceRank(ctx, rank); err != nil && ctx.Err() == nil {
			d.config.Logger.Warn().Err(err).Int("rank", rank).Msg("advancing the rank failed; the rank stalls, without mixing maps, until an attempt succeeds")
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// advanceRank reads the engine's progress, starts loading missing maps and grants the permits
// that are due. The permits are recorded before they are sent, so that the rank's horizon (the
// last step for which it may have granted a permit) is never below what the engine may hold.
func (d *Driver) advanceRank(ctx context.Context, rank int) error {
	callCtx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	completed, err := d.config.Engine.Completed(callCtx, rank)
	if err != nil {
		return err
	}
	d.mu.Lock()
	state, known := d.ranks[rank]
	if !known {
		state = expertmap.NewRank(expertmap.RankConfig{
			Rank: rank, Incarnation: d.config.Incarnation, Window: d.config.Window, Completed: completed,
		})
	}
	state, permits := state.WithCompleted(completed).WithPermits()
	d.ranks[rank] = state
	d.mu.Unlock()
	d.startLoads(ctx, rank, state.MissingMaps())
	if len(permits) == 0 {
		return nil
	}
	return d.grantPermits(ctx, rank, permits)
}

// grantPermits sends permits until the engine has accepted them. They must not be lost, since
// a rank grants each step only once. It returns an error only if ctx has ended.
func (d *Driver) grantPermits(ctx context.Context, rank int, permits []expertmap.Permit) error {
	for {
		callCtx, cancel := context.WithTimeout(ctx, engineTimeout)
		err := d.config.Engine.Grant(callCtx, rank, permits)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		d.config.Logger.Warn().Err(err).Int("rank", rank).Msg("sending permits to the engine failed; retrying")
		select {
		case <-ctx.Done():
		case <-time.After(d.config.PollInterval):
		}
	}
}

// maxLoads bounds the maps that a rank loads at a time. A coordinator repeats its order to load another one.
const maxLoads = 16

// startLoads starts loading those of the maps that are not being loaded yet, maxLoads at a time. Loading continues
// after it returns, until ctx ends. The caller does not hold d.mu.
func (d *Driver) startLoads(ctx context.Context, rank int, maps []expertmap.MapID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.loading[rank] == nil {
		d.loading[rank] = map[expertmap.MapID]bool{}
	}
	for _, m := range maps {
		if d.loading[rank][m] || len(d.loading[rank]) >= maxLoads {
			continue
		}
		d.loading[rank][m] = true
		go d.loadMap(ctx, rank, m)
	}
}

// loadMap loads a map and records it as loaded. After a failure the next call of startLoads with
// the map tries again.
func (d *Driver) loadMap(ctx context.Context, rank int, m expertmap.MapID) {
	err := d.config.Engine.Load(ctx, rank, m)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.loading[rank], m)
	if err != nil {
		d.config.Logger.Warn().Err(err).Int("rank", rank).Int64("map", int64(m)).Msg("loading weights failed; retrying")
		return
	}
	if state, ok := d.ranks[rank]; ok {
		d.ranks[rank] = state.WithLoaded(m)
	}
}

// rankOrder holds the parameters of methodRankOrder.
type rankOrder struct {
	Rank  int             `json:"rank"`
	Order expertmap.Order `json:"order"`
}

// Order applies a coordinator's order to one rank and returns the rank's status. It fails with
// KindNotReady until the engine's progress is known. A load order starts the load, which ends
// early if ctx ends, and does not wait for it.
func (d *Driver) Order(ctx context.Context, rank int, o expertmap.Order) (expertmap.Status, error) {
	d.mu.Lock()
	state, known := d.ranks[rank]
	if !known {
		d.mu.Unlock()
		return expertmap.Status{}, contract.NewFailure(contract.KindNotReady,
			"the rank's engine has not answered yet", "repeat the order")
	}
	state, status := state.WithOrder(o)
	d.ranks[rank] = state
	d.mu.Unlock()
	if o.Kind == expertmap.OrderLoad && status.Refused == nil {
		d.startLoads(ctx, rank, []expertmap.MapID{o.Map})
	}
	return status, nil
}

// Methods returns the handlers for orders from the coordinator. Loading continues after an order
// was answered, so its context is loadCtx, not that of the call.
func (d *Driver) Methods(loadCtx context.Context) link.Methods {
	order := func(_ context.Context, _ *link.Conn, params json.RawMessage) (any, error) {
		request, err := link.Decode[rankOrder](params)
		if err != nil {
			return nil, err
		}
		return d.Order(loadCtx, request.Rank, request.Order)
	}
	return link.Methods{methodRankOrder: {Inline: true, Run: order}}
}
