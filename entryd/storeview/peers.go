package storeview

import (
	"math/rand/v2"
	"time"

	"camphormill.dev/parts/mesh"
)

// peerHeartbeats returns the names of the live entries and the last heartbeat of each.
func (v *View) peerHeartbeats() map[string]mesh.Heartbeat {
	heartbeats := map[string]mesh.Heartbeat{}
	for _, h := range v.config.Mesh.Alive(mesh.RoleEntry) {
		if beat, ok := v.config.Mesh.LastHeartbeat(h.Name); ok {
			heartbeats[h.Name] = beat
		}
	}
	return heartbeats
}

// isOwnInstant reports whether the time that an update returns is of this process's clock. A peer may still
// have a heartbeat of an earlier life of this host, whose clock may have been ahead.
func (v *View) isOwnInstant(from string, m mesh.StoreUpdate) bool {
	now := v.config.SteadyClock()
	if m.Life == v.config.Life && m.AsOf <= now {
		return true
	}
	v.config.Log.Info().Str("peer", from).Bool("same_life", m.Life == v.config.Life).Dur("ahead", time.Duration(m.AsOf-now)).
		Msg("a peer returned the time of another life of this host; the age of its data is unknown")
	return false
}

// notifyPeers sends the result of a read to the peers. Each message returns the sending time
// of the receiver's last heartbeat that had arrived before the read. The receiver counts the
// age of the result from this time, which is of its own clock. truncated is
// Records.Truncated of the read. If it is set, or the records are larger than
// maxRecordBytes, the message holds no records and its From is equal to its End.
func (v *View) notifyPeers(message mesh.StoreUpdate, truncated bool, heartbeats map[string]mesh.Heartbeat) {
	size := 0
	for _, raw := range message.Targets {
		size += len(raw)
	}
	if size > maxRecordBytes || truncated {
		message.From, message.Targets = message.End, nil // peers whose targetsOffset is less than End read the store themselves
	}
	for name, heartbeat := range heartbeats {
		peerMessage := message
		peerMessage.AsOf, peerMessage.Life = heartbeat.Sent, heartbeat.Life
		v.config.Mesh.Send(name, mesh.Message{StoreUpdate: &peerMessage})
	}
}

// maxPeerTargets is the number of targets, far above that of any fleet, up to which records of peers are applied.
const maxPeerTargets = 16384

// ApplyUpdate applies what a peer has read from the store. It renews the freshness proof
// only if the peer had a heartbeat of this entry (AsOf is set) and this entry has the
// configuration that the peer found. It postpones this entry's own next read only if it
// renews the proof and the update also covers the registry up to at least v.targetsOffset.
func (v *View) ApplyUpdate(from string, m mesh.StoreUpdate) {
	if m.AsOf > 0 && !v.isOwnInstant(from, m) {
		m.AsOf = 0
	}
	if v.applyPeerConfiguration(m) {
		v.config.Log.Debug().Str("peer", from).Int64("offset", m.Configuration).Msg("routes received from a peer")
	}
	v.mu.Lock()
	routesOffset := v.routesOffset
	if m.Configuration > routesOffset {
		if !v.peerHasNewerRoutes {
			v.nextReadAt = v.config.Now().Add(time.Duration(rand.Int64N(int64(newerRoutesJitter))))
			v.config.Log.Debug().Str("peer", from).Int64("offset", m.Configuration).Msg("a peer has newer routes; reading the store")
		}
		v.peerHasNewerRoutes = true
	}
	if m.AsOf > 0 && m.Configuration <= routesOffset {
		v.proof = v.proof.With(m.Configuration, m.AsOf)
	}
	if !v.listed || m.From > v.targetsOffset {
		v.mu.Unlock()
		return // records before m.From are missing here
	}
	if m.Configuration <= routesOffset && m.AsOf > 0 && m.RegistryRead && m.End >= v.targetsOffset {
		v.scheduleRead(maxViewAge)
	}
	isFull := v.targets.Len()+len(m.Targets) > maxPeerTargets
	v.mu.Unlock()
	if isFull {
		return // only the store is trusted with so many
	}
	v.applyRecords(m.From, Records{Raw: m.Targets, End: m.End})
	if m.RegistryRead {
		v.recordConfirmation()
	}
}

// recordConfirmation notes that the registry was just read, here or by a peer. It is
// called after the result was applied, because graceEnd needs the time of the read before.
func (v *View) recordConfirmation() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmedAt = v.config.Now()
}

// applyPeerConfiguration applies a configuration read by a peer and reports whether it was
// newer than the one known here and could be expanded. Without AsOf nothing is applied,
// because the age of the configuration would be unknown. Neither is an update of an older
// daemon that knows no evacuated zones.
func (v *View) applyPeerConfiguration(m mesh.StoreUpdate) bool {
	v.mu.Lock()
	known := m.Configuration <= v.routesOffset
	v.mu.Unlock()
	if known || len(m.Published) == 0 || m.AsOf == 0 || !m.HasZones {
		return false
	}
	configuration, err := expand(m.Published)
	if err != nil {
		v.config.Log.Warn().Err(err).Msg("cannot expand a peer's configuration; reading the store instead")
		return false
	}
	v.applyPublished(Published{Configuration: configuration, EvacuatedZones: &m.EvacuatedZones}, m.Era, m.Configuration, m.AsOf)
	return true
}
