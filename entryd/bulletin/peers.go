package bulletin

import (
	"math/rand/v2"
	"time"

	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/mesh"
)

func (b *Board) peerHeartbeats() map[string]freshness.Instant {
	heartbeats := map[string]freshness.Instant{}
	for _, h := range b.config.Mesh.Alive(mesh.RoleEntry) {
		if beat, ok := b.config.Mesh.LastHeartbeat(h.Name); ok {
			heartbeats[h.Name] = beat.Sent
		}
	}
	return heartbeats
}

// notifyPeers sends the result of a read to the peers. Each message returns the receiver's
// last heartbeat that had arrived before the read, from which the receiver may count the
// result as fresh.
func (b *Board) notifyPeers(message mesh.StoreUpdate, lost bool, heartbeats map[string]freshness.Instant) {
	size := 0
	for _, raw := range message.Targets {
		size += len(raw)
	}
	if size > maxRecordBytes || lost {
		message.From, message.Targets = message.End, nil // peers that have older records read the store themselves
	}
	for name, heartbeat := range heartbeats {
		peerMessage := message
		peerMessage.AsOf = heartbeat
		b.config.Mesh.Send(name, mesh.Message{StoreUpdate: &peerMessage})
	}
}

// Hear applies what a peer has read from the store.
func (b *Board) Hear(from string, m mesh.StoreUpdate) {
	if b.applyPeerConfiguration(m) {
		b.config.Log.Debug().Str("peer", from).Int64("offset", m.Configuration).Msg("routes received from a peer")
	}
	b.mu.Lock()
	tableOffset := b.tableOffset
	if m.Configuration > tableOffset {
		if !b.peerHasNewerRoutes {
			b.nextReadAt = b.config.Now().Add(time.Duration(rand.Int64N(int64(newerRoutesJitter))))
			b.config.Log.Debug().Str("peer", from).Int64("offset", m.Configuration).Msg("a peer has newer routes; reading the store")
		}
		b.peerHasNewerRoutes = true
	}
	if m.AsOf > 0 && m.Configuration <= tableOffset {
		b.proof = b.proof.With(m.Configuration, m.AsOf) // otherwise the proof is not renewed
	}
	if !b.listed || m.From > b.targetsOffset {
		b.mu.Unlock()
		return
	}
	if m.Configuration <= tableOffset && m.AsOf > 0 && m.RegistryRead && m.End >= b.targetsOffset {
		b.scheduleRead(maxViewAge)
	}
	b.mu.Unlock()
	b.applyRecords(m.From, Records{Raw: m.Targets, End: m.End})
	if m.RegistryRead {
		b.recordConfirmation()
	}
}

// recordConfirmation notes that the registry was just read, here or by a peer.
func (b *Board) recordConfirmation() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.confirmedAt = b.config.Now()
}

// applyPeerConfiguration applies a configuration read by a peer and reports whether it was
// newer and could be used.
func (b *Board) applyPeerConfiguration(m mesh.StoreUpdate) bool {
	b.mu.Lock()
	known := m.Configuration <= b.tableOffset
	b.mu.Unlock()
	if known || len(m.Published) == 0 || m.AsOf == 0 {
		return false
	}
	published, err := expand(m.Published)
	if err != nil {
		b.config.Log.Warn().Err(err).Msg("cannot expand a peer's configuration; reading the store instead")
		return false
	}
	b.applyPublished(published, m.Configuration, m.AsOf)
	return true
}
