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

// Member names the target daemon that holds a rank.
type Member struct {
	Rank int    `json:"rank"`
	Link string `json:"link"`
}

// Map is a record of the stream of expert maps; its offset is the map's id. What
// it says of experts is for the engines.
type Map struct {
	Group  string          `json:"group"`
	Layout json.RawMessage `json:"layout,omitempty"`
}

// LeaderConfig is what a Leader is built from.
type LeaderConfig struct {
	Group       string
	Incarnation string
	Members     []Member // one for each rank
	Window      int      // of every rank
	Log         platform.Log
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	Now         func() time.Time
	Timeout     time.Duration // after which a lease that nobody renews is free
	Pause       time.Duration // between two rounds of orders
	// Wait spreads the processes that would take a free lease.
	Wait func() time.Duration
	// NeedsReset is told when no rank remembers the group while engines hold
	// permits: only starting the engines anew mends that.
	NeedsReset func()
	Logger     zerolog.Logger
}

// Leader leads the group to the newest map while it holds the lease.
type Leader struct {
	config LeaderConfig
	table  *lease.Table
	maps   *mapReader

	conns *link.Cache

	mu     sync.Mutex // guards what follows
	leads  bool
	newest Map
}

// orderTimeout bounds one order.
const orderTimeout = time.Second

// NewLeader returns a leader; Run does its work.
func NewLeader(c LeaderConfig) *Leader {
	return &Leader{
		config: c,
		table:  lease.NewTable(c.Timeout),
		maps:   &mapReader{group: c.Group, newest: expertmap.NoMap},
		conns:  &link.Cache{Dial: c.Dial},
	}
}

// Run takes the lease when it is free, and leads, until ctx ends.
func (l *Leader) Run(ctx context.Context) {
	defer l.conns.Close()
	for ctx.Err() == nil {
		if err := l.read(ctx); err != nil {
			// Without the log nobody leads anew; a switch under way goes on.
			pause(ctx, l.config.Pause)
			continue
		}
		holder, fence, _ := l.table.Holder(l.config.Group)
		switch {
		case holder == l.config.Incarnation && l.maps.newest != expertmap.NoMap:
			l.lead(ctx, expertmap.Fence(fence))
		case holder == l.config.Incarnation:
			l.renew(ctx, expertmap.Fence(fence)) // until there is a map to lead to
			pause(ctx, l.config.Timeout/3)
		case l.table.Free(l.config.Now(), l.config.Group):
			pause(ctx, l.config.Wait())
			if l.read(ctx) == nil && l.table.Free(l.config.Now(), l.config.Group) {
				l.append(ctx, lease.Record{Group: l.config.Group, Holder: l.config.Incarnation})
			}
		default:
			pause(ctx, l.config.Pause)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// read folds what is new in the streams of leases and maps.
func (l *Leader) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	page, err := l.config.Log.Read(ctx, platform.StreamLeases, l.table.Next(), time.Millisecond)
	if err != nil {
		return err
	}
	l.table.Skip(page.Oldest)
	for _, r := range page.Records {
		l.table.Fold(l.config.Now(), r.Offset, r.Data)
	}
	page, err = l.config.Log.Read(ctx, platform.StreamMaps, l.maps.next, time.Millisecond)
	if err != nil {
		return err
	}
	l.maps.take(page)
	holder, _, _ := l.table.Holder(l.config.Group)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leads = holder == l.config.Incarnation
	l.newest = l.maps.record
	return nil
}

// Leads says whether this process held the lease when it last read the log.
func (l *Leader) Leads() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leads
}

// Layout returns the layout of the newest map, or nil.
func (l *Leader) Layout() Layout {
	l.mu.Lock()
	record := l.newest
	l.mu.Unlock()
	var layout Layout
	if json.Unmarshal(record.Layout, &layout) != nil {
		return nil
	}
	return layout
}

// append adds a lease record. A lost answer needs no care: reading shows who
// holds the lease.
func (l *Leader) append(ctx context.Context, r lease.Record) {
	data, err := json.Marshal(r)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if _, err := l.config.Log.Append(ctx, platform.StreamLeases, data); err != nil {
		l.config.Logger.Warn().Err(err).Msg("lease not written")
	}
}

// lead brings the group to the newest map and keeps it there, as long as it
// holds the lease.
func (l *Leader) lead(ctx context.Context, fence expertmap.Fence) {
	renewed := l.config.Now()
	for first := 0; ctx.Err() == nil; {
		wanted := l.maps.newest
		c := expertmap.NewCoordinator(expertmap.CoordinatorConfig{
			Fence: fence, Ranks: len(l.config.Members), Window: l.config.Window, Wanted: wanted, Round: first,
		})
		for ctx.Err() == nil && c.Orders() != nil && l.maps.newest == wanted {
			c = l.round(ctx, c)
			if l.config.Now().Sub(renewed) > l.config.Timeout/3 {
				renewed = l.config.Now()
				if !l.renew(ctx, fence) {
					return
				}
			}
			pause(ctx, l.config.Pause)
		}
		first = c.Round() + 1
		switch c.Phase() {
		case expertmap.PhaseLost:
			return
		case expertmap.PhaseReset:
			l.config.NeedsReset()
		}
		if !l.renew(ctx, fence) {
			return
		}
		pause(ctx, l.config.Timeout/3)
	}
}

// renew keeps the lease alive and says whether it is still ours. While the log
// is down nobody else can take it, so leading goes on.
func (l *Leader) renew(ctx context.Context, fence expertmap.Fence) bool {
	offset := int64(fence)
	l.append(ctx, lease.Record{Group: l.config.Group, Holder: l.config.Incarnation, Renews: &offset})
	if l.read(ctx) != nil {
		return true
	}
	holder, now, _ := l.table.Holder(l.config.Group)
	return holder == l.config.Incarnation && now == offset
}

// round sends the outstanding orders and takes the answers that come in time.
func (l *Leader) round(ctx context.Context, c expertmap.Coordinator) expertmap.Coordinator {
	orders := c.Orders()
	answers := make(chan expertmap.Status, len(orders))
	var wg sync.WaitGroup
	for _, member := range l.config.Members {
		order, outstanding := orders[member.Rank]
		if !outstanding {
			continue
		}
		wg.Go(func() {
			if status, err := l.order(ctx, member, order); err == nil {
				answers <- status
			}
		})
	}
	wg.Wait()
	close(answers)
	for status := range answers {
		c = c.WithStatus(status)
	}
	return c
}

func (l *Leader) order(ctx context.Context, m Member, o expertmap.Order) (expertmap.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var status expertmap.Status
	conn, err := l.conns.Get(ctx, m.Link)
	if err != nil {
		return status, err
	}
	err = conn.Call(ctx, methodRankOrder, rankOrder{Rank: m.Rank, Order: o}, &status)
	if err != nil {
		l.conns.Drop(m.Link, conn)
	}
	return status, err
}

// mapReader finds the newest map of a group.
type mapReader struct {
	group  string
	next   int64
	newest expertmap.MapID
	record Map // that of newest
}

func (m *mapReader) take(page platform.Page) {
	m.next = max(m.next, page.Oldest)
	for _, r := range page.Records {
		m.next = max(m.next, r.Offset+1)
		var record Map
		if json.Unmarshal(r.Data, &record) == nil && record.Group == m.group {
			m.newest, m.record = expertmap.MapID(r.Offset), record
		}
	}
}
