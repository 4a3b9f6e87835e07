package command

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/kernel"
	"camphormill.dev/parts/placement"
	"camphormill.dev/parts/platform"
	"camphormill.dev/parts/preset"
	"camphormill.dev/parts/randomname"
	"camphormill.dev/targetd/group"
)

// orderInterval is the time between two rounds of a coordinator's orders.
const orderInterval = 20 * time.Millisecond

// registerGroup registers the services for the host's ranks. Without a group it registers
// serviceGroup without a value, since other services depend on that name.
func registerGroup(k *kernel.Kernel, g *Group, log zerolog.Logger) {
	if g == nil {
		k.Register(kernel.Service{Name: serviceGroup})
		return
	}
	incarnation := randomname.New() // identifies this process in the group; the gate has its own
	platformLog := platform.NewHTTPLog(g.PlatformLog)
	engine := group.NewHTTPEngine(g.Engine)
	driver := group.NewDriver(group.DriverConfig{
		Ranks: g.Ranks, Incarnation: incarnation, Window: g.Window, Engine: engine, PollInterval: time.Duration(g.PollInterval), Logger: log,
	})
	coordinator := group.NewCoordinator(group.CoordinatorConfig{
		Group: g.Name, Incarnation: incarnation, Members: g.Members, Window: g.Window, PlatformLog: platformLog, Dial: dialTCP,
		Now: time.Now, LeaseTimeout: time.Duration(g.LeaseTimeout), OrderInterval: orderInterval,
		ClaimDelay:    func() time.Duration { return rand.N(time.Duration(g.LeaseTimeout) / 4) },
		OnResetNeeded: func() { log.Error().Msg("no rank remembers the group's schedule; restart the group's engines") },
		Logger:        log,
	})
	k.Register(valueService(serviceGroup, driver))
	k.Register(valueService(serviceCoordinator, coordinator))
	k.Register(kernel.Loop(serviceDriverLoop, []string{serviceGroup}, func(ctx context.Context, _ *kernel.Kernel) { driver.Run(ctx) }))
	k.Register(kernel.Loop(serviceCoordinatorLoop, []string{serviceCoordinator}, func(ctx context.Context, _ *kernel.Kernel) { coordinator.Run(ctx) }))
	k.Register(kernel.Loop(servicePlannerLoop, []string{serviceCoordinator, serviceConfiguration}, func(ctx context.Context, k *kernel.Kernel) {
		store := kernel.Get[*preset.Store](k, serviceConfiguration)
		group.NewPlanner(group.PlannerConfig{
			Group: g.Name, Ranks: len(g.Members), Slots: g.Slots, PlanInterval: time.Duration(g.PlanInterval), PlatformLog: platformLog,
			Leads: coordinator.Leads, Loads: engine.Loads, CurrentLayout: coordinator.Layout,
			Weights: func() placement.Weights {
				r := store.ActivePreset().Rebalance
				return placement.Weights{Skew: r.SkewWeight, Cost: r.CostWeight, ExpertGiB: g.ExpertGiB}
			},
			Logger: log,
		}).Run(ctx)
	}))
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
