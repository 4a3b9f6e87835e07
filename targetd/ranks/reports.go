package ranks

import (
	"context"
	"slices"
	"time"

	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/rankload"
)

type rankState struct {
	host string
	rank mesh.Rank
	at   time.Time
	far  bool // read past its silent daemon
}

// takeRank takes what a rank's daemon read.
func (l *leader) takeRank(host string, r mesh.Rank) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Group != l.group || r.Fence > l.fence {
		l.fenced = l.fenced || (r.Group == l.group && r.Fence > l.fence)
		return
	}
	now := l.config.Now()
	l.gather(r.Choices)
	l.note(now, rankState{host: host, rank: r, at: now})
}

// readFar reads the engines whose daemons are silent: a held pass must not wait
// for a frozen host.
func (l *leader) readFar(now time.Time) {
	if now.Sub(l.began) < farAfter {
		return
	}
	heard := map[string]bool{l.config.Self.Name: true}
	for _, r := range l.ranks {
		heard[r.host] = heard[r.host] || (!r.far && now.Sub(r.at) < farAfter)
	}
	for _, h := range l.config.Mesh.Known(mesh.Target) {
		if !heard[h.Name] && now.Sub(l.farRead[h.Name]) >= farEvery {
			l.farRead[h.Name] = now
			go l.readEngine(h)
		}
	}
}

func (l *leader) readEngine(h mesh.Host) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	r, err := l.config.Engine.Read(ctx, h.Engine)
	if err != nil {
		l.log.Debug().Err(err).Str("host", h.Name).Msg("engine of a silent daemon cannot be read; it is tried again")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Group != l.group {
		return
	}
	now := l.config.Now()
	old, known := l.ranks[r.Rank]
	if known && !old.far && now.Sub(old.at) < farAfter {
		return // its daemon has spoken meanwhile
	}
	if !known || !old.far {
		l.log.Info().Str("host", h.Name).Int("rank", r.Rank).Msg("daemon of a rank is silent; its engine is read from here")
	}
	rank := mesh.Rank{
		Service: l.config.Service, Engine: h.Engine, Group: r.Group, Rank: r.Rank, Size: r.Size, Open: r.Open,
		View: r.View, Queued: r.Queued, Active: r.Active, Pace: r.Pace,
	}
	if known && old.rank.View.Map == r.View.Map && old.rank.View.Epoch == r.View.Epoch {
		rank.Held = old.rank.Held
	}
	l.note(now, rankState{host: h.Name, rank: rank, at: now, far: true})
}

// note takes the newest of a rank.
func (l *leader) note(now time.Time, state rankState) {
	l.ranks[state.rank.Rank] = state
	l.pace = l.pace.with(now, state.rank.View.Pass)
	if l.current != nil {
		s := l.current.WithView(state.rank.Rank, state.rank.View)
		l.current = &s
		l.proceed(now)
	}
}

func (l *leader) gather(choices []byte) {
	if len(choices) == 0 || l.shape.Sets == 0 {
		return
	}
	if l.gathered == nil {
		l.gathered = make([][]float64, l.shape.Sets)
		for s := range l.gathered {
			l.gathered[s] = make([]float64, l.shape.Experts)
		}
	}
	for i, n := range mesh.DecodeChoices(choices) {
		if i/l.shape.Experts < l.shape.Sets {
			l.gathered[i/l.shape.Experts][i%l.shape.Experts] += n
		}
	}
}

func (l *leader) demandNow() {
	if l.gathered == nil {
		return
	}
	shifts := l.demand.Shifts()
	l.demand = l.demand.With(l.gathered)
	l.gathered = nil
	if l.demand.Shifts() != shifts {
		l.log.Info().Int("shifts", l.demand.Shifts()).Msg("demand for experts has changed")
	}
}

// whole says whether every rank of the group was heard lately, in one epoch.
func (l *leader) whole(now time.Time) bool {
	size := 0
	for _, r := range l.ranks {
		size = max(size, r.rank.Size)
	}
	if size == 0 || len(l.ranks) < size {
		return false
	}
	epoch := l.ranks[0].rank.View.Epoch
	for i := range size {
		r, ok := l.ranks[i]
		if !ok || now.Sub(r.at) > rankAge || r.rank.View.Epoch != epoch {
			return false
		}
	}
	return true
}

// updateRanks tells the placer which ranks take work: all of an open group.
func (l *leader) updateRanks(now time.Time) {
	epoch, open, heard := int64(0), true, 0
	size := 0
	for _, r := range l.ranks {
		if r.rank.View.Epoch > epoch {
			epoch, size = r.rank.View.Epoch, r.rank.Size
		}
	}
	for i := range l.ranks {
		if size > 0 && i >= size {
			delete(l.ranks, i) // the group has formed anew with fewer ranks
		}
	}
	zones := l.zones()
	var usable []rankload.Rank
	for _, i := range sortedRanks(l.ranks) {
		r := l.ranks[i]
		if now.Sub(r.at) < rankAge {
			heard++
			open = open && r.rank.Open
		}
		if r.rank.View.Epoch == epoch {
			usable = append(usable, rankload.Rank{Engine: r.rank.Engine, Zone: zones[r.rank.Engine], Slots: l.shape.Slots, Active: r.rank.Active + r.rank.Queued, Pace: r.rank.Pace})
		}
	}
	open = open && heard > 0
	if open != l.open {
		l.log.Info().Bool("open", open).Int64("epoch", epoch).Int("ranks", len(usable)).Msg("group changed")
		l.open = open
		l.told = time.Time{}
		l.tell(now)
	}
	if !open {
		usable = nil
	}
	l.placer.SetRanks(usable)
	if slow := l.placer.Slow(); !slices.Equal(slow, l.slow) {
		l.log.Info().Strs("slow", slow).Strs("before", l.slow).Msg("ranks that are too slow for requests")
		l.slow, l.told = slow, time.Time{}
		l.tell(now)
	}
}

// leastPass is how long a pass takes at least: all ranks wait for the slowest.
func (l *leader) leastPass(now time.Time) time.Duration {
	pace := 1.0
	for _, r := range l.ranks {
		if now.Sub(r.at) < rankAge {
			pace = max(pace, r.rank.Pace)
		}
	}
	return time.Duration(l.shape.PassMS * pace * float64(time.Millisecond))
}

// zones returns the availability zones of the group's engines.
func (l *leader) zones() map[string]string {
	zones := map[string]string{l.config.Self.Engine: l.config.Self.Zone}
	for _, h := range l.config.Mesh.Known(mesh.Target) {
		zones[h.Engine] = h.Zone
	}
	return zones
}

func sortedRanks(ranks map[int]rankState) []int {
	order := make([]int, 0, len(ranks))
	for i := range ranks {
		order = append(order, i)
	}
	slices.Sort(order)
	return order
}
