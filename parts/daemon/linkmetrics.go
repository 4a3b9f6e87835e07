package daemon

import (
	"github.com/VictoriaMetrics/metrics"

	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/link"
)

// ObserveLink adds the gauges of a daemon's link server and of the budget of its process to set.
func ObserveLink(set *metrics.Set, server *link.Server, budget *bytebudget.Budget) {
	gauge := func(name string, value func() int64) {
		set.NewGauge(name, func() float64 { return float64(value()) })
	}
	gauge(`camphormill_link_connections`, func() int64 { return int64(server.Connections().Open) })
	gauge(`camphormill_link_connections_evicted`, func() int64 { return server.Connections().Evicted })
	gauge(`camphormill_link_connections_refused`, func() int64 { return server.Connections().Refused })
	gauge(`camphormill_link_calls_refused`, func() int64 { return int64(link.CallsRefused()) })
	gauge(`camphormill_budget_bytes{state="size"}`, budget.Size)
	gauge(`camphormill_budget_bytes{state="held"}`, func() int64 { return budget.Stats().Held })
	gauge(`camphormill_budget_evicted`, func() int64 { return budget.Stats().Evicted })
	gauge(`camphormill_budget_refused`, func() int64 { return budget.Stats().Refused })
}
