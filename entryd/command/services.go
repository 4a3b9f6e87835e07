package command

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/entryd/claims"
	"camphormill.dev/entryd/configuration"
	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/entryd/door"
	"camphormill.dev/entryd/peers"
	"camphormill.dev/entryd/pool"
	"camphormill.dev/parts/daemon"
	"camphormill.dev/parts/kernel"
	"camphormill.dev/parts/link"
	"camphormill.dev/parts/membership"
	"camphormill.dev/parts/platform"
	"camphormill.dev/parts/preset"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/reservation"
	"camphormill.dev/parts/routing"
	"camphormill.dev/parts/settings"
)

// The names of the services.
const (
	serviceMetrics    = "metrics"
	serviceReadiness  = "readiness"
	serviceOperations = "operations"
	serviceHolder     = "configuration"
	serviceFollower   = "follower"
	serviceSelf       = "self"
	servicePeers      = "peers"
	serviceGossip     = "gossip"
	servicePool       = "pool"
	serviceHosts      = "hosts"
	serviceClaims     = "claims"
	serviceClaimLoop  = "claim_loop"
	serviceDispatch   = "dispatch"
	serviceDoor       = "door"
	serviceCallers    = "callers"
	serviceLink       = "link"
	serviceDrain      = "drain"
)

// newKernel registers the services of entryd.
func newKernel(s Settings, log zerolog.Logger) *kernel.Kernel {
	k := kernel.New()
	register := func(name string, needs []string, start func(k *kernel.Kernel) any) {
		k.Register(kernel.Service{Name: name, Needs: needs, Start: func(_ context.Context, k *kernel.Kernel) (any, error) {
			return start(k), nil
		}})
	}
	register(serviceMetrics, nil, func(*kernel.Kernel) any { return metrics.NewSet() })
	register(serviceReadiness, nil, func(*kernel.Kernel) any { return daemon.NewReadiness("starting") })
	register(serviceHolder, nil, func(*kernel.Kernel) any { return preset.NewHolder() })
	register(serviceSelf, nil, func(*kernel.Kernel) any { return newSelf(s) })
	register(servicePeers, []string{serviceHolder, serviceSelf}, func(k *kernel.Kernel) any { return newPeers(s, k, log) })
	register(servicePool, []string{serviceHolder, servicePeers}, func(k *kernel.Kernel) any { return newPool(s, k, log) })
	register(serviceClaims, []string{servicePeers}, func(k *kernel.Kernel) any { return newClaims(s, k, log) })
	register(serviceDispatch, []string{servicePool, serviceClaims}, func(k *kernel.Kernel) any { return newDispatcher(s, k, log) })
	register(serviceDoor, []string{serviceDispatch, serviceMetrics, serviceSelf}, func(k *kernel.Kernel) any { return newDoor(s, k, log) })
	k.Register(daemon.HTTPService(serviceOperations, s.Operations, []string{serviceMetrics, serviceReadiness, servicePool, servicePeers}, operations))
	k.Register(linkService(s))
	k.Register(kernel.Loop(serviceFollower, []string{serviceHolder, servicePeers, serviceReadiness}, func(ctx context.Context, k *kernel.Kernel) {
		newFollower(s, k, log).Run(ctx)
	}))
	k.Register(kernel.Loop(serviceGossip, []string{servicePeers, serviceDoor, serviceLink}, func(ctx context.Context, k *kernel.Kernel) {
		kernel.Get[*peers.Peers](k, servicePeers).Run(ctx)
	}))
	k.Register(kernel.Loop(serviceClaimLoop, []string{serviceClaims}, func(ctx context.Context, k *kernel.Kernel) {
		kernel.Get[*claims.Claimer](k, serviceClaims).Run(ctx)
	}))
	k.Register(kernel.Loop(serviceHosts, []string{servicePool, servicePeers, serviceReadiness}, func(ctx context.Context, k *kernel.Kernel) {
		followHosts(ctx, s, k, daemon.Part(log, serviceHosts))
	}))
	k.Register(daemon.HTTPService(serviceCallers, s.Callers, []string{serviceDoor, serviceFollower, serviceGossip, serviceHosts, serviceClaimLoop}, func(k *kernel.Kernel) http.Handler {
		return kernel.Get[*door.Door](k, serviceDoor).Handler()
	}))
	k.Register(drainService(s, daemon.Part(log, serviceDrain)))
	return k
}

func operations(k *kernel.Kernel) http.Handler {
	router := daemon.NewOperationsRouter(kernel.Get[*metrics.Set](k, serviceMetrics), kernel.Get[*daemon.Readiness](k, serviceReadiness))
	router.Get("/v1/status", status(k))
	return router
}

func newPeers(s Settings, k *kernel.Kernel, log zerolog.Logger) *peers.Peers {
	me := kernel.Get[*self](k, serviceSelf)
	holder := kernel.Get[*preset.Holder](k, serviceHolder)
	var p *peers.Peers
	p = peers.New(peers.Config{
		Self:  s.Name,
		Dial:  pool.DialTCP,
		Now:   time.Now,
		IntN:  rand.IntN,
		Round: func() time.Duration { return gossipRound },
		Refresh: func() time.Duration {
			if p == nil {
				return shortestRefresh // it is being made
			}
			return recordRefresh(len(p.Live()))
		},
		Record: func() membership.Record { return me.record(holder.Offset(), len(p.Live())) },
		Holder: holder,
		OnStrike: func(strike quarantine.Strike) {
			kernel.Get[*dispatch.Dispatcher](k, serviceDispatch).MergeStrike(strike)
		},
		Logger: daemon.Part(log, servicePeers),
	})
	for _, peer := range s.Peers {
		p.AddSeed(peer.Name, peer.Link)
	}
	return p
}

func newPool(s Settings, k *kernel.Kernel, log zerolog.Logger) *pool.Pool {
	holder := kernel.Get[*preset.Holder](k, serviceHolder)
	return pool.New(pool.Config{
		Entry:         s.Name,
		SubsetSize:    s.SubsetSize,
		Dial:          pool.DialTCP,
		Now:           time.Now,
		Heartbeat:     time.Duration(s.Heartbeat),
		ConfigOffset:  holder.Offset,
		ConfigChanged: holder.Changed,
		Methods:       kernel.Get[*peers.Peers](k, servicePeers).Methods(),
		Jitter:        func(d time.Duration) time.Duration { return d/2 + rand.N(d) },
		Log:           daemon.Part(log, servicePool),
	})
}

func newClaims(s Settings, k *kernel.Kernel, log zerolog.Logger) *claims.Claimer {
	p := kernel.Get[*peers.Peers](k, servicePeers)
	return claims.New(claims.Config{
		Log:      platform.NewHTTPLog(s.PlatformLog),
		Window:   time.Duration(s.KeyWindow),
		Now:      time.Now,
		Interval: func() time.Duration { return claimInterval(len(p.Live())) },
		Logger:   daemon.Part(log, serviceClaims),
	})
}

func newDispatcher(s Settings, k *kernel.Kernel, log zerolog.Logger) *dispatch.Dispatcher {
	claimer := kernel.Get[*claims.Claimer](k, serviceClaims)
	config := routing.PolicyConfig{Uint64N: rand.Uint64N}
	return dispatch.New(dispatch.Config{
		Zone:        s.Zone,
		Pool:        kernel.Get[*pool.Pool](k, servicePool),
		Policy:      routing.NewScored(config),
		Routing:     config,
		Sealer:      reservation.Sealer{Keys: settings.DecodeKeys(s.ReservationKeys)},
		Window:      time.Duration(s.ReservationWindow),
		Now:         time.Now,
		Preset:      kernel.Get[*preset.Holder](k, serviceHolder).InForce,
		Claimer:     dispatch.Claimer{Claim: claimer.Claim, Replace: claimer.Replace},
		ShareStrike: kernel.Get[*peers.Peers](k, servicePeers).ShareStrike,
		Log:         daemon.Part(log, serviceDispatch),
	})
}

func newDoor(s Settings, k *kernel.Kernel, log zerolog.Logger) *door.Door {
	me := kernel.Get[*self](k, serviceSelf)
	p := kernel.Get[*peers.Peers](k, servicePeers)
	keys := map[string]string{}
	for _, o := range s.Organisations {
		keys[o.KeySHA256] = o.Name
	}
	d := door.New(door.Config{
		Keys:       keys,
		Timeout:    time.Duration(s.Timeout),
		AddressTTL: time.Duration(s.AddressTTL),
		Addresses:  func() []door.Address { return addresses(p.Reachable(), s.Zone) },
		Dispatcher: kernel.Get[*dispatch.Dispatcher](k, serviceDispatch),
		State:      kernel.Get[*preset.Holder](k, serviceHolder).State,
		Share:      func(organisation string) float64 { return share(organisation, me.name, p.Live()) },
		Now:        time.Now,
		Observe:    newObserver(kernel.Get[*metrics.Set](k, serviceMetrics)).observe,
		Log:        daemon.Part(log, serviceDoor),
	})
	me.setDemand(d.Demand)
	return d
}

func newFollower(s Settings, k *kernel.Kernel, log zerolog.Logger) *configuration.Follower {
	holder := kernel.Get[*preset.Holder](k, serviceHolder)
	return configuration.NewFollower(configuration.Config{
		Log:         platform.NewHTTPLog(s.PlatformLog),
		Holder:      holder,
		Loaded:      func() { arrived(k, waitConfiguration) },
		Now:         time.Now,
		SnapshotAge: time.Duration(s.SnapshotAge),
		Int64N:      rand.Int64N,
		AskPeers:    kernel.Get[*peers.Peers](k, servicePeers).AskConfiguration,
		Logger:      daemon.Part(log, serviceFollower),
	})
}

// followHosts reads the platform's host list again and again.
func followHosts(ctx context.Context, s Settings, k *kernel.Kernel, log zerolog.Logger) {
	list := platform.NewHTTPHostList(s.PlatformHosts)
	links := kernel.Get[*pool.Pool](k, servicePool)
	p := kernel.Get[*peers.Peers](k, servicePeers)
	defer links.Close()
	ticker := time.NewTicker(time.Duration(s.HostListEvery))
	defer ticker.Stop()
	for {
		hosts, err := list.List(ctx)
		if err != nil && ctx.Err() == nil {
			log.Warn().Err(err).Msg("host list cannot be read; the last one holds")
		}
		if err == nil {
			links.SetHosts(hosts)
			addSeeds(p, hosts)
			arrived(k, waitHosts)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// arrived makes the entry ready once nothing is missing, and tells its peers, so
// that it comes into address answers.
func arrived(k *kernel.Kernel, what string) {
	if kernel.Get[*self](k, serviceSelf).arrived(what) {
		kernel.Get[*daemon.Readiness](k, serviceReadiness).Ready()
	}
}

func addSeeds(p *peers.Peers, hosts []platform.Host) {
	for _, h := range hosts {
		if h.Role == platform.HostEntry && !h.Leaving {
			p.AddSeed(h.Name, h.Address)
		}
	}
}

func linkService(s Settings) kernel.Service {
	server := &link.Server{}
	start := func(_ context.Context, k *kernel.Kernel) (any, error) {
		listener, err := net.Listen("tcp", s.Link)
		if err != nil {
			return nil, errors.Wrapf(err, "cannot listen on %s; free the address or set another", s.Link)
		}
		server.Methods = kernel.Get[*peers.Peers](k, servicePeers).Methods()
		go server.Serve(listener)
		return server, nil
	}
	stop := func(context.Context) error {
		server.Close()
		return nil
	}
	return kernel.Service{Name: serviceLink, Needs: []string{servicePeers, serviceDispatch}, Start: start, Stop: stop}
}

// drainService is started last and so stopped first: the entry drops out of all
// address answers and serves on for as long as callers may keep its address.
func drainService(s Settings, log zerolog.Logger) kernel.Service {
	var k *kernel.Kernel
	start := func(_ context.Context, started *kernel.Kernel) (any, error) {
		k = started
		return nil, nil
	}
	stop := func(ctx context.Context) error {
		kernel.Get[*daemon.Readiness](k, serviceReadiness).NotReady("leaving")
		kernel.Get[*self](k, serviceSelf).leave()
		kernel.Get[*peers.Peers](k, servicePeers).AnnounceNow(ctx)
		log.Info().Msg("dropped out of address answers; serving until kept addresses expire")
		timer := time.NewTimer(time.Duration(s.AddressTTL))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		return nil
	}
	return kernel.Service{Name: serviceDrain, Needs: []string{serviceCallers, serviceOperations}, Start: start, Stop: stop}
}
