package group

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/expertmap"
	"camphormill.dev/parts/lease"
	"camphormill.dev/parts/link"
	"camphormill.dev/parts/platform"
)

// Member is one rank of the group and the link address of the target daemon that runs it.
type Member struct {
	Rank int    `json:"rank"`
	Link string `json:"link"`
}

// MapRecord is a record of the platform log's stream of expert maps. Its offset in the stream is
// the ID of the map. Layout is the JSON of a Layout, for the engines and for the next plan.
type MapRecord struct {
	Group  string          `json:"group"`
	Layout json.RawMessage `json:"layout,omitempty"`
}

// CoordinatorConfig configures a Coordinator.
type CoordinatorConfig struct {
	Group         string
	Incarnation   string   // identifies this process, also as holder of the lease
	Members       []Member // one per rank
	Window        int      // number of steps permitted ahead of the last completed one, the same for every rank
	PlatformLog   platform.Log
	Dial          func(ctx context.Context, address string) (net.Conn, error) // dials Member.Link
	Now           func() time.Time
	LeaseTimeout  time.Duration // time without a renewal after which the lease is free
	OrderInterval time.Duration // interval between two rounds of orders
	// ClaimDelay returns the random delay before a process claims a free lease, so that several
	// processes do not claim it at once.
	ClaimDelay func() time.Duration
	// OnResetNeeded is called when every rank has lost the group's schedule (the map of each
	// step) but engines hold permits. Only a restart of the engines resolves this. The call is
	// repeated as long as this lasts.
	OnResetNeeded func()
	Logger        zerolog.Logger
}

// Coordinator coordinates the group's switch to the newest map while it holds the lease. Run
// runs in one goroutine; Leads and Layout are safe to call concurrently with it.
type Coordinator struct {
	config CoordinatorConfig
	leases *lease.Table // used by Run only
	maps   *mapReader   // used by Run only

	conns *link.Cache

	mu         sync.Mutex // guards the fields below
	holdsLease bool
	newestMap  MapRecord
}

// orderTimeout bounds one order, one call of readLog, one write to the platform's log, and the
// making of one plan.
const orderTimeout = time.Second

// NewCoordinator returns a coordinator. Call Run to start it.
func NewCoordinator(c CoordinatorConfig) *Coordinator {
	return &Coordinator{
		config: c,
		leases: lease.NewTable(c.LeaseTimeout),
		maps:   &mapReader{group: c.Group, newestID: expertmap.NoMap},
		conns:  &link.Cache{Dial: c.Dial},
	}
}

// Run claims the lease when it is free, and leads while this process holds the lease, until ctx
// ends.
func (c *Coordinator) Run(ctx context.Context) {
	defer c.conns.Close()
	for ctx.Err() == nil {
		if err := c.readLog(ctx); err != nil {
			// Without the log no process can claim the lease. An unreadable log does not end
			// lead, so a switch under way continues.
			sleep(ctx, c.config.OrderInterval)
			continue
		}
		holder, fence, _ := c.leases.Holder(c.config.Group)
		switch {
		case holder == c.config.Incarnation && c.maps.newestID != expertmap.NoMap:
			c.lead(ctx, expertmap.Fence(fence))
		case holder == c.config.Incarnation:
			// There is nothing to lead until the first map is published.
			c.renew(ctx, expertmap.Fence(fence))
			sleep(ctx, c.config.LeaseTimeout/3)
		case c.leases.Available(c.config.Now(), c.config.Group):
			sleep(ctx, c.config.ClaimDelay())
			// Another process may have claimed the lease during the delay.
			if c.readLog(ctx) == nil && c.leases.Available(c.config.Now(), c.config.Group) {
				c.append(ctx, lease.Record{Group: c.config.Group, Holder: c.config.Incarnation})
			}
		default:
			sleep(ctx, c.config.OrderInterval)
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

// readLog reads and applies the new records of the streams of leases and maps. After an error,
// leases may have been applied without the maps.
func (c *Coordinator) readLog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	page, err := c.config.PlatformLog.Read(ctx, platform.StreamLeases, c.leases.Next(), time.Millisecond)
	if err != nil {
		return err
	}
	c.leases.Skip(page.Oldest)
	for _, r := range page.Records {
		c.leases.Apply(c.config.Now(), r.Offset, r.Data)
	}
	page, err = c.config.PlatformLog.Read(ctx, platform.StreamMaps, c.maps.nextOffset, time.Millisecond)
	if err != nil {
		return err
	}
	c.maps.addPage(page)
	holder, _, _ := c.leases.Holder(c.config.Group)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holdsLease = holder == c.config.Incarnation
	c.newestMap = c.maps.newestRecord
	return nil
}

// Leads returns whether this process held the lease at the last read of the log.
func (c *Coordinator) Leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdsLease
}

// Layout returns the layout of the newest map, or nil if there is none.
func (c *Coordinator) Layout() Layout {
	c.mu.Lock()
	record := c.newestMap
	c.mu.Unlock()
	var layout Layout
	if json.Unmarshal(record.Layout, &layout) != nil {
		return nil
	}
	return layout
}

// append appends a lease record, and logs a failure. The caller then reads the log to learn who
// holds the lease, so it does not matter if the record was written but its answer was lost.
func (c *Coordinator) append(ctx context.Context, r lease.Record) {
	data, err := json.Marshal(r)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := c.config.PlatformLog.Append(ctx, platform.StreamLeases, data); err != nil {
		c.config.Logger.Warn().Err(err).Msg("writing the lease record failed")
	}
}

// lead brings the group to the newest map and keeps it there. It returns when this process has
// lost the lease, a rank has accepted a higher fence, or ctx has ended. The fence is the offset
// of the lease.
func (c *Coordinator) lead(ctx context.Context, fence expertmap.Fence) {
	renewedAt := c.config.Now()
	for firstRound := 0; ctx.Err() == nil; {
		wantedMap := c.maps.newestID
		coordinator := expertmap.NewCoordinator(expertmap.CoordinatorConfig{
			Fence: fence, Ranks: len(c.config.Members), Window: c.config.Window, Wanted: wantedMap, Round: firstRound,
		})
		// Orders returns nil when the switch has ended. A newer map ends this loop as well; renew
		// reads it.
		for ctx.Err() == nil && coordinator.Orders() != nil && c.maps.newestID == wantedMap {
			coordinator = c.sendOrders(ctx, coordinator)
			if c.config.Now().Sub(renewedAt) > c.config.LeaseTimeout/3 {
				renewedAt = c.config.Now()
				if !c.renew(ctx, fence) {
					return
				}
			}
			sleep(ctx, c.config.OrderInterval)
		}
		firstRound = coordinator.Round() + 1 // ranks ignore orders of earlier rounds of the same fence
		switch coordinator.Phase() {
		case expertmap.PhaseSuperseded:
			return
		case expertmap.PhaseReset:
			c.config.OnResetNeeded()
		}
		if !c.renew(ctx, fence) {
			return
		}
		sleep(ctx, c.config.LeaseTimeout/3)
	}
}

// renew renews the lease, reads the log and returns whether this process still holds the lease.
// While the log is unavailable no other process can claim the lease, so renew returns true.
func (c *Coordinator) renew(ctx context.Context, fence expertmap.Fence) bool {
	leaseOffset := int64(fence)
	c.append(ctx, lease.Record{Group: c.config.Group, Holder: c.config.Incarnation, Renews: &leaseOffset})
	if c.readLog(ctx) != nil {
		return true
	}
	holder, current, _ := c.leases.Holder(c.config.Group)
	return holder == c.config.Incarnation && current == leaseOffset
}

// sendOrders sends the outstanding orders and returns the coordinator updated with the statuses
// that arrive before orderTimeout. Ranks without a status get the order again in the next call.
func (c *Coordinator) sendOrders(ctx context.Context, coordinator expertmap.Coordinator) expertmap.Coordinator {
	orders := coordinator.Orders()
	replies := make(chan expertmap.Status, len(orders))
	var wg sync.WaitGroup
	for _, member := range c.config.Members {
		order, outstanding := orders[member.Rank]
		if !outstanding {
			continue
		}
		wg.Go(func() {
			if status, err := c.sendOrder(ctx, member, order); err == nil {
				replies <- status
			}
		})
	}
	wg.Wait()
	close(replies)
	for status := range replies {
		coordinator = coordinator.WithStatus(status)
	}
	return coordinator
}

// sendOrder sends an order to the target daemon of a rank. After any error, also one that the
// daemon returned, the connection is dialed anew.
func (c *Coordinator) sendOrder(ctx context.Context, m Member, o expertmap.Order) (expertmap.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var status expertmap.Status
	conn, err := c.conns.Get(ctx, m.Link)
	if err != nil {
		return status, err
	}
	err = conn.Call(ctx, methodRankOrder, rankOrder{Rank: m.Rank, Order: o}, &status)
	if err != nil {
		c.conns.Remove(m.Link, conn)
	}
	return status, err
}

// mapReader finds the newest map of a group.
type mapReader struct {
	group        string
	nextOffset   int64           // offset of the next record to read
	newestID     expertmap.MapID // expertmap.NoMap before the first map
	newestRecord MapRecord       // record of newestID
}

// addPage applies a page of the stream. It ignores maps of other groups and records that it cannot
// decode.
func (m *mapReader) addPage(page platform.Page) {
	m.nextOffset = max(m.nextOffset, page.Oldest)
	for _, r := range page.Records {
		m.nextOffset = max(m.nextOffset, r.Offset+1)
		var record MapRecord
		if json.Unmarshal(r.Data, &record) == nil && record.Group == m.group {
			m.newestID, m.newestRecord = expertmap.MapID(r.Offset), record
		}
	}
}
