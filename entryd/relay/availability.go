package relay

import (
	"net/http"
	"time"

	"camphormill.dev/parts/registry"
)

// maxPause bounds the time for which a target is left alone. A longer time is taken for a fault.
const maxPause = 5 * time.Minute

// recordAvailability records what a target says in a response about further requests. It binds this
// entry at once, also while the registry still lists the target as ready.
func (rl *Relay) recordAvailability(c *call, t registry.Target, response *http.Response) {
	said := rl.config.Protocol.Availability(response)
	if !said.ColdUntil.IsZero() && rl.config.Limits.recordCold(t, said.ColdUntil) {
		rl.config.Log.Info().Str("request", c.info.AttemptID).Str("service", t.Service).Str("target", t.ID).Time("until", said.ColdUntil).
			Msg("target says that it is cold")
	}
	if said.Leaving && rl.loads.recordLeaving(t) {
		rl.config.Log.Info().Str("request", c.info.AttemptID).Str("service", t.Service).Str("target", t.ID).Str("address", t.Address).
			Msg("target says that it leaves; it gets no more requests from this entry")
	}
	if said.PausedFor > 0 {
		until := rl.config.Now().Add(min(said.PausedFor, maxPause))
		rl.loads.recordPause(t.ID, until)
		rl.config.Log.Info().Str("request", c.info.AttemptID).Str("service", t.Service).Str("target", t.ID).Dur("paused", said.PausedFor).
			Msg("target wants no requests for a while")
	}
}
