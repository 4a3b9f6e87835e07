package mesh

import "time"

const (
	// maxHosts bounds the hosts that a daemon knows, far above the number of daemons of a fleet.
	maxHosts = 4096
	// maxNameBytes bounds each text in the record of a host.
	maxNameBytes = 512
)

// origin says where the record of a host comes from.
type origin int

const (
	fromPeer      origin = iota // another host listed it
	fromDirectory               // the platform's store lists it
	fromSelf                    // the host itself sent it
)

// isOverlong reports whether a text of the record is longer than any that a daemon has.
func (h Host) isOverlong() bool {
	for _, text := range []string{h.Name, string(h.Role), h.Address, h.Zone, h.CallerAddress, h.Engine} {
		if len(text) > maxNameBytes {
			return true
		}
	}
	return false
}

// makeRoom makes room for one more host and reports whether there is any. A host from which no message has arrived gives
// way to one of the directory. To one that sends messages, a silent host gives way too. The host that gives way has been
// silent for longest. The caller holds the lock.
func (m *Mesh) makeRoom(now time.Time, from origin) bool {
	if len(m.peers) < maxHosts {
		return true
	}
	if from == fromPeer {
		return false
	}
	stalest := ""
	for name, p := range m.peers {
		live := !p.lastReceived.IsZero() && now.Sub(p.lastReceived) < m.config.PeerTimeout
		if live || (from == fromDirectory && !p.lastReceived.IsZero()) {
			continue
		}
		if stalest == "" || p.isStalerThan(m.peers[stalest]) {
			stalest = name
		}
	}
	if stalest == "" {
		return false
	}
	delete(m.peers, stalest)
	m.names = nil
	return true
}

// isStalerThan reports whether the host gives way before another one.
func (p *peer) isStalerThan(other *peer) bool {
	if p.lastReceived.Equal(other.lastReceived) {
		return p.learnedAt.Before(other.learnedAt)
	}
	return p.lastReceived.Before(other.lastReceived)
}
