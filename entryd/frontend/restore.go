package frontend

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"camphormill.dev/parts/mesh"
)

const (
	// restoreSpread is the time over which the entries check the list of hosts after the store has
	// come back from an older copy, so that most of them find nothing left to write.
	restoreSpread = 4 * time.Second
	// restoreTimeout bounds the check of one entry.
	restoreTimeout = 2 * time.Second
)

// restoreHosts registers again those living hosts that the store has lost.
func (s *Server) restoreHosts() {
	time.Sleep(rand.N(restoreSpread))
	ctx, cancel := context.WithTimeout(context.Background(), restoreTimeout)
	defer cancel()
	listed, err := s.config.Hosts.Hosts(ctx)
	if err != nil {
		s.config.Log.Warn().Err(err).Msg("cannot list hosts after the store was restored; the other entries check too")
		return
	}
	alive := append(s.mesh.Alive(mesh.RoleEntry), s.mesh.Alive(mesh.RoleTarget)...)
	lost := slices.DeleteFunc(append(alive, s.mesh.Self()), func(h mesh.Host) bool { return slices.Contains(listed, h) })
	for _, h := range lost {
		if err := s.config.Hosts.Register(ctx, h); err != nil {
			s.config.Log.Warn().Err(err).Str("host", h.Name).Msg("cannot register a host again; the other entries try too")
			return
		}
	}
	s.config.Log.Info().Int("listed", len(listed)).Int("registered", len(lost)).Msg("checked the list of hosts after the store was restored")
}
