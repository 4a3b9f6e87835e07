package relay

import (
	"maps"
	"time"

	"camphormill.dev/parts/mesh"
)

const (
	// maxNamedTargets bounds the targets whose limits an entry knows or counts, far above the number of targets.
	maxNamedTargets = 8192
	// maxLedGroups bounds the groups whose leaders an entry knows.
	maxLedGroups = 4096
	// maxNameBytes bounds the name of a target, a service, a group or an engine that a peer names, and maxSlowEngines the
	// engines that a leader reports as slow.
	maxNameBytes   = 512
	maxSlowEngines = 1024
	// sweepInterval is the least time between two searches for groups that are silent.
	sweepInterval = time.Second
)

// takesName reports whether a map of targets takes the name of a target that a peer names. In a full one, those that are not
// registered give way.
func takesName[V any](l *Limits, known map[string]V, target string) bool {
	if _, ok := known[target]; ok {
		return true
	}
	if len(known) >= maxNamedTargets && l.config.Registered != nil && l.config.Registered(target) {
		maps.DeleteFunc(known, func(name string, _ V) bool { return !l.config.Registered(name) })
	}
	return len(target) <= maxNameBytes && len(known) < maxNamedTargets
}

// takesGroup reports whether the group that a leader announces is kept. The caller holds the lock.
func (c *SlotClient) takesGroup(now time.Time, a mesh.LeaderAnnouncement) bool {
	if len(a.SlowEngines) > maxSlowEngines || isOverlong(append([]string{a.Service, a.Group}, a.SlowEngines...)...) {
		return false
	}
	if _, known := c.leaders[a.Service][a.Group]; known || c.groups < maxLedGroups {
		return true
	}
	if now.Sub(c.sweptAt) >= sweepInterval {
		c.dropSilentGroups(now)
	}
	return c.groups < maxLedGroups
}

// dropSilentGroups forgets the groups of which nothing has been heard for groupTTL. The caller holds the lock.
func (c *SlotClient) dropSilentGroups(now time.Time) {
	c.sweptAt = now
	for service, groups := range c.leaders {
		c.dropSilent(now, groups)
		if len(groups) == 0 {
			delete(c.leaders, service)
		}
	}
}

// dropSilent forgets those of a service's groups of which nothing has been heard for groupTTL. The caller holds the lock.
func (c *SlotClient) dropSilent(now time.Time, groups map[string]groupLeader) {
	for group, leader := range groups {
		if now.Sub(leader.lastHeardAt) > groupTTL {
			delete(groups, group)
			c.groups--
		}
	}
}

// isOverlong reports whether a text of an announcement is longer than any name.
func isOverlong(texts ...string) bool {
	for _, text := range texts {
		if len(text) > maxNameBytes {
			return true
		}
	}
	return false
}
