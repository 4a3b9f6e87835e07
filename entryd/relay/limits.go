package relay

import (
	"net/http"

	"camphormill.dev/parts/registry"
)

// recordLimit records the rate limit that a target names in a response, or that it names none.
func (rl *Relay) recordLimit(c *call, t registry.Target, response *http.Response) {
	perSecond, _ := rl.config.Protocol.ReportedLimit(response)
	previous := rl.loads.setLimit(t.ID, perSecond)
	if previous == perSecond {
		return
	}
	rl.config.Log.Warn().Str("request", c.info.AttemptID).Str("service", t.Service).Str("target", t.ID).Str("address", t.Address).
		Float64("per_second", perSecond).Float64("before", previous).Msg("rate limit of a target changed")
}
