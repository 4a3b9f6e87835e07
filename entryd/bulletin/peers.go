package bulletin

import (
	"math/rand/v2"
	"time"

	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/mesh"
)

func (b *Board) beats() map[string]freshness.Instant {
	beats := map[string]freshness.Instant{}
	for _, h := range b.config.Mesh.Alive(mesh.Entry) {
		if beat, ok := b.config.Mesh.LastBeat(h.Name); ok {
			beats[h.Name] = beat.Sent
		}
	}
	return beats
}

// tell passes on what was read. A peer may count it from its own beat that had
// arrived before the read.
func (b *Board) tell(told mesh.Bulletin, lost bool, beats map[string]freshness.Instant) {
	size := 0
	for _, raw := range told.Targets {
		size += len(raw)
	}
	if size > maxTold || lost {
		told.From, told.Targets = told.End, nil // who lags behind reads for itself
	}
	for name, after := range beats {
		one := told
		one.After = after
		b.config.Mesh.Send(name, mesh.Message{Bulletin: &one})
	}
}

// Hear takes what a peer read.
func (b *Board) Hear(from string, m mesh.Bulletin) {
	if b.takeTold(m) {
		b.config.Log.Debug().Str("peer", from).Int64("offset", m.Configuration).Msg("routes came from a peer")
	}
	b.mu.Lock()
	tableAt := b.tableAt
	if m.Configuration > tableAt {
		if !b.behind {
			b.readDue = b.config.Now().Add(time.Duration(rand.Int64N(int64(behindSpread))))
			b.config.Log.Debug().Str("peer", from).Int64("offset", m.Configuration).Msg("a peer knows newer routes; they are read")
		}
		b.behind = true
	}
	if m.After > 0 && m.Configuration <= tableAt {
		b.proof = b.proof.With(m.Configuration, m.After) // else the old proof grows old
	}
	if !b.listed || m.From > b.targetsAt {
		b.mu.Unlock()
		return
	}
	if m.Configuration <= tableAt && m.After > 0 && m.Read && m.End >= b.targetsAt {
		b.postpone(readAge)
	}
	b.mu.Unlock()
	b.takeRecords(m.From, Records{Raw: m.Targets, End: m.End})
	if m.Read {
		b.confirm()
	}
}

// confirm notes that the registry was heard of just now.
func (b *Board) confirm() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmed = b.config.Now()
}

// takeTold takes a configuration that a peer has read, and says whether it did.
func (b *Board) takeTold(m mesh.Bulletin) bool {
	b.mu.Lock()
	known := m.Configuration <= b.tableAt
	b.mu.Unlock()
	if known || len(m.Published) == 0 || m.After == 0 {
		return false
	}
	published, err := expand(m.Published)
	if err != nil {
		b.config.Log.Warn().Err(err).Msg("configuration of a peer cannot be read; the store is asked")
		return false
	}
	b.takePublished(published, m.Configuration, m.After)
	return true
}
