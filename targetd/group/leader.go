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

// Map is a record of the stream of expert maps. Its offset is the ID of the map. Layout is for
// the engines and for the next plan.
type Map struct {
	Group  string          `json:"group"`
	Layout json.RawMessage `json:"layout,omitempty"`
}

// LeaderConfig configures a Leader.
type LeaderConfig struct {
	Group       string
	Incarnation string
	Members     []Member // one per rank
	Window      int      // number of steps permitted ahead, the same for every rank
	Log         platform.Log
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	Now         func() time.Time
	Timeout     time.Duration // time without a renewal after which the lease is free
	Pause       time.Duration // interval between two rounds of orders
	// Wait returns the random delay before a process claims a free lease, so that several
	// processes do not claim it at once.
	Wait func() time.Duration
	// NeedsReset is called when no rank remembers the group's schedule but engines hold
	// permits. Only a restart of the engines resolves this.
	NeedsReset func()
	Logger     zerolog.Logger
}

// Leader coordinates the group's switch to the newest map while it holds the lease.
type Leader struct {
	config LeaderConfig
	leases *lease.Table
	maps   *mapReader

	conns *link.Cache

	mu         sync.Mutex // guards the fields below
	holdsLease bool
	newestMap  Map
}

// orderTimeout bounds one order and one read or write of the platform's log.
const orderTimeout = time.Second

// NewLeader returns a leader. Call Run to start it.
func NewLeader(c LeaderConfig) *Leader {
	return &Leader{
		config: c,
		leases: lease.NewTable(c.Timeout),
		maps:   &mapReader{group: c.Group, newestID: expertmap.NoMap},
		conns:  &link.Cache{Dial: c.Dial},
	}
}

// Run claims the lease when it is free, and leads while it holds the lease, until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	defer l.conns.Close()
	for ctx.Err() == nil {
		if err := l.readLog(ctx); err != nil {
			// Without the log no process can claim the lease. A switch under way continues.
			sleep(ctx, l.config.Pause)
			continue
		}
		holder, fence, _ := l.leases.Holder(l.config.Group)
		switch {
		case holder == l.config.Incarnation && l.maps.newestID != expertmap.NoMap:
			l.lead(ctx, expertmap.Fence(fence))
		case holder == l.config.Incarnation:
			l.renew(ctx, expertmap.Fence(fence)) // until the first map is published
			sleep(ctx, l.config.Timeout/3)
		case l.leases.Available(l.config.Now(), l.config.Group):
			sleep(ctx, l.config.Wait())
			if l.readLog(ctx) == nil && l.leases.Available(l.config.Now(), l.config.Group) {
				l.append(ctx, lease.Record{Group: l.config.Group, Holder: l.config.Incarnation})
			}
		default:
			sleep(ctx, l.config.Pause)
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

// readLog applies new records of the streams of leases and maps.
func (l *Leader) readLog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	page, err := l.config.Log.Read(ctx, platform.StreamLeases, l.leases.Next(), time.Millisecond)
	if err != nil {
		return err
	}
	l.leases.Skip(page.Oldest)
	for _, r := range page.Records {
		l.leases.Apply(l.config.Now(), r.Offset, r.Data)
	}
	page, err = l.config.Log.Read(ctx, platform.StreamMaps, l.maps.nextOffset, time.Millisecond)
	if err != nil {
		return err
	}
	l.maps.addPage(page)
	holder, _, _ := l.leases.Holder(l.config.Group)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdsLease = holder == l.config.Incarnation
	l.newestMap = l.maps.newestRecord
	return nil
}

// Leads returns whether this process held the lease at the last read of the log.
func (l *Leader) Leads() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holdsLease
}

// Layout returns the layout of the newest map, or nil if there is none.
func (l *Leader) Layout() Layout {
	l.mu.Lock()
	record := l.newestMap
	l.mu.Unlock()
	var layout Layout
	if json.Unmarshal(record.Layout, &layout) != nil {
		return nil
	}
	return layout
}

// append appends a lease record. A lost answer is no problem, since reading the log shows who
// holds the lease.
func (l *Leader) append(ctx context.Context, r lease.Record) {
	data, err := json.Marshal(r)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := l.config.Log.Append(ctx, platform.StreamLeases, data); err != nil {
		l.config.Logger.Warn().Err(err).Msg("writing the lease record failed")
	}
}

// lead brings the group to the newest map and keeps it there, as long as this process holds
// the lease.
func (l *Leader) lead(ctx context.Context, fence expertmap.Fence) {
	renewedAt := l.config.Now()
	for firstRound := 0; ctx.Err() == nil; {
		targetMap := l.maps.newestID
		coordinator := expertmap.NewCoordinator(expertmap.CoordinatorConfig{
			Fence: fence, Ranks: len(l.config.Members), Window: l.config.Window, Wanted: targetMap, Round: firstRound,
		})
		for ctx.Err() == nil && coordinator.Orders() != nil && l.maps.newestID == targetMap {
			coordinator = l.sendOrders(ctx, coordinator)
			if l.config.Now().Sub(renewedAt) > l.config.Timeout/3 {
				renewedAt = l.config.Now()
				if !l.renew(ctx, fence) {
					return
				}
			}
			sleep(ctx, l.config.Pause)
		}
		firstRound = coordinator.Round() + 1
		switch coordinator.Phase() {
		case expertmap.PhaseSuperseded:
			return
		case expertmap.PhaseReset:
			l.config.NeedsReset()
		}
		if !l.renew(ctx, fence) {
			return
		}
		sleep(ctx, l.config.Timeout/3)
	}
}

// renew renews the lease and returns whether this process still holds it. While the log is
// unavailable no other process can claim the lease, so renew returns true.
func (l *Leader) renew(ctx context.Context, fence expertmap.Fence) bool {
	leaseOffset := int64(fence)
	l.append(ctx, lease.Record{Group: l.config.Group, Holder: l.config.Incarnation, Renews: &leaseOffset})
	if l.readLog(ctx) != nil {
		return true
	}
	holder, current, _ := l.leases.Holder(l.config.Group)
	return holder == l.config.Incarnation && current == leaseOffset
}

// sendOrders sends the outstanding orders and applies the statuses that arrive before
// orderTimeout.
func (l *Leader) sendOrders(ctx context.Context, coordinator expertmap.Coordinator) expertmap.Coordinator {
	orders := coordinator.Orders()
	replies := make(chan expertmap.Status, len(orders))
	var wg sync.WaitGroup
	for _, member := range l.config.Members {
		order, outstanding := orders[member.Rank]
		if !outstanding {
			continue
		}
		wg.Go(func() {
			if status, err := l.sendOrder(ctx, member, order); err == nil {
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

func (l *Leader) sendOrder(ctx context.Context, m Member, o expertmap.Order) (expertmap.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var status expertmap.Status
	conn, err := l.conns.Get(ctx, m.Link)
	if err != nil {
		return status, err
	}
	err = conn.Call(ctx, methodRankOrder, rankOrder{Rank: m.Rank, Order: o}, &status)
	if err != nil {
		l.conns.Remove(m.Link, conn)
	}
	return status, err
}

// mapReader finds the newest map of a group.
type mapReader struct {
	group        string
	nextOffset   int64
	newestID     expertmap.MapID
	newestRecord Map // record of newestID
}

func (m *mapReader) addPage(page platform.Page) {
	m.nextOffset = max(m.nextOffset, page.Oldest)
	for _, r := range page.Records {
		m.nextOffset = max(m.nextOffset, r.Offset+1)
		var record Map
		if json.Unmarshal(r.Data, &record) == nil && record.Group == m.group {
			m.newestID, m.newestRecord = expertmap.MapID(r.Offset), record
		}
	}
}
