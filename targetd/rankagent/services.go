package rankagent

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/daemon"
	"camphormill.dev/parts/kernel"
	"camphormill.dev/parts/mesh"
)

// hostTimeout is the time without a message after which a host counts as lost.
const hostTimeout = 2 * time.Second

// hostCheckInterval is the interval between checks for lost hosts.
const hostCheckInterval = 500 * time.Millisecond

// ServicesConfig configures a target daemon beside a rank. The caller need not set Agent.Self and
// Agent.Mesh, since RegisterServices sets them.
type ServicesConfig struct {
	Self  mesh.Host
	Hosts mesh.Directory
	Agent Config
	// Metrics receives the agent's metrics.
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// RegisterServices registers the services of a target daemon with a kernel. The loops depend on the
// service that creates the mesh and the agent, so no message is handled before both exist.
func RegisterServices(k *kernel.Kernel, c ServicesConfig) {
	var m *mesh.Mesh
	var agent *Agent
	start := func(context.Context, *kernel.Kernel) (any, error) {
		var err error
		m, err = mesh.Listen(mesh.Config{
			Self: c.Self, PeerTimeout: hostTimeout, Now: time.Now, Log: daemon.PartLogger(c.Log, "mesh"),
			Handle:  func(from mesh.Host, message mesh.Message) { agent.Handle(from, message) },
			OnLost:  func(h mesh.Host) { c.Log.Debug().Str("host", h.Name).Msg("host lost") },
			OnAlive: func(h mesh.Host) { c.Log.Debug().Str("host", h.Name).Msg("host found") },
		})
		if err != nil {
			return nil, err
		}
		config := c.Agent
		config.Self, config.Mesh = c.Self, m
		agent = New(config)
		c.Metrics.NewGauge(`camphormill_group_leads`, func() float64 {
			if agent.Leading() {
				return 1
			}
			return 0
		})
		c.Metrics.NewGauge(`camphormill_datagrams_dropped`, func() float64 { return float64(m.Dropped()) })
		return agent, nil
	}
	k.Register(kernel.Service{Name: "agent", Start: start})
	loop := func(name string, run func(ctx context.Context)) {
		k.Register(kernel.Loop(name, []string{"agent"}, func(ctx context.Context, _ *kernel.Kernel) { run(ctx) }))
	}
	loop("messages", func(ctx context.Context) { m.Run(ctx) })
	loop("join", func(ctx context.Context) { m.Join(ctx, c.Hosts) })
	loop("engine", func(ctx context.Context) { agent.Run(ctx) })
	loop("watch", func(ctx context.Context) {
		ticker := time.NewTicker(hostCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				m.DetectLost()
			}
		}
	})
}
