package peers

import "camphormill.dev/parts/membership"

// KnownCount returns the number of entries that may be running, this one included: those in the host list and those
// that gossip tells of. It does not shrink while entries are cut off or restart.
func (p *Peers) KnownCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]bool{p.config.EntryName: true}
	for name := range p.seeds {
		known[name] = true
	}
	for _, r := range p.table.Live(p.config.Now(), membership.RoleEntry) {
		known[r.Origin] = true
	}
	return len(known)
}
