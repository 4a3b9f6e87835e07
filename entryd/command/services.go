package command

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/entryd/configuration"
	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/entryd/httpapi"
	"camphormill.dev/entryd/idempotency"
	"camphormill.dev/entryd/peers"
	"camphormill.dev/entryd/pool"
	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/daemon"
	"camphormill.dev/parts/freshness"
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

// Names of the services, also used in the field "part" of their log lines.
const (
	serviceMetrics    = "metrics"
	serviceReadiness  = "readiness"
	serviceOperations = "operations"
	serviceStore      = "configuration"
	serviceFollower   = "follower"
	serviceEntryState = "self"
	servicePeers      = "peers"
	serviceGossip     = "gossip"
	servicePool       = "pool"
	serviceHosts      = "hosts"
	serviceClaims     = "claims"
	serviceClaimLoop  = "claim_loop"
	serviceDispatch   = "dispatch"
	serviceHTTPAPI    = "door"
	serviceCallers    = "callers"
	serviceLink       = "link"
	serviceDrain      = "drain"
)

// newKernel returns a kernel with the services of entryd and their dependencies.
func newKernel(s Settings, log zerolog.Logger) *kernel.Kernel {
	k := kernel.New()
	budget, shares := bytebudget.ForProcess(s.MemoryMB), daemon.NewShares(s.MaxDescriptors, s.MemoryMB)
	register := func(name string, needs []string, start func(k *kernel.Kernel) any) {
		k.Register(kernel.Service{Name: name, Needs: needs, Start: func(_ context.Context, k *kernel.Kernel) (any, error) {
			return start(k), nil
		}})
	}
	register(serviceMetrics, nil, func(*kernel.Kernel) any { return metrics.NewSet() })
	register(serviceReadiness, nil, func(*kernel.Kernel) any { return daemon.NewReadiness("starting") })
	register(serviceStore, nil, func(*kernel.Kernel) any { return preset.NewStore() })
	register(serviceEntryState, nil, func(*kernel.Kernel) any { return newEntryState(s) })
	register(servicePeers, []string{serviceStore, serviceEntryState}, func(k *kernel.Kernel) any { return newPeers(s, k, log, shares.Directory) })
	register(servicePool, []string{serviceStore, servicePeers}, func(k *kernel.Kernel) any { return newPool(s, k, log) })
	register(serviceClaims, []string{servicePeers}, func(k *kernel.Kernel) any { return newClaimer(s, k, log) })
	register(serviceDispatch, []string{servicePool, serviceClaims}, func(k *kernel.Kernel) any { return newDispatcher(s, k, log) })
	register(serviceHTTPAPI, []string{serviceDispatch, serviceMetrics, serviceEntryState}, func(k *kernel.Kernel) any { return newAPIServer(s, k, log, budget) })
	k.Register(daemon.HTTPService(serviceOperations, s.OperationsAddress, []string{serviceMetrics, serviceReadiness, servicePool, servicePeers}, daemon.Limits{Connections: shares.Operations, Budget: budget}, operations))
	k.Register(linkService(s, link.Limits{Connections: shares.Directory, Budget: budget}, daemon.PartLogger(log, serviceLink)))
	k.Register(kernel.Loop(serviceFollower, []string{serviceStore, servicePeers, serviceReadiness}, func(ctx context.Context, k *kernel.Kernel) {
		newFollower(s, k, log).Run(ctx)
	}))
	k.Register(kernel.Loop(serviceGossip, []string{servicePeers, serviceHTTPAPI, serviceLink}, func(ctx context.Context, k *kernel.Kernel) {
		kernel.Get[*peers.Peers](k, servicePeers).Run(ctx)
	}))
	k.Register(kernel.Loop(serviceClaimLoop, []string{serviceClaims}, func(ctx context.Context, k *kernel.Kernel) {
		kernel.Get[*idempotency.Claimer](k, serviceClaims).Run(ctx)
	}))
	k.Register(kernel.Loop(serviceHosts, []string{servicePool, servicePeers, serviceReadiness}, func(ctx context.Context, k *kernel.Kernel) {
		pollHostList(ctx, s, k, daemon.PartLogger(log, serviceHosts))
	}))
	k.Register(daemon.HTTPService(serviceCallers, s.CallersAddress, []string{serviceHTTPAPI, serviceFollower, serviceGossip, serviceHosts, serviceClaimLoop}, daemon.Limits{Connections: shares.Callers, Budget: budget}, func(k *kernel.Kernel) http.Handler {
		return kernel.Get[*httpapi.Server](k, serviceHTTPAPI).Handler()
	}))
	k.Register(drainService(s, daemon.PartLogger(log, serviceDrain)))
	return k
}

// operations returns the handler of the operations address.
func operations(k *kernel.Kernel) http.Handler {
	router := daemon.NewOperationsRouter(kernel.Get[*metrics.Set](k, serviceMetrics), kernel.Get[*daemon.Readiness](k, serviceReadiness))
	router.Get("/v1/status", status(k))
	return router
}

func newPeers(s Settings, k *kernel.Kernel, log zerolog.Logger, maxConnections int) *peers.Peers {
	entry := kernel.Get[*entryState](k, serviceEntryState)
	store := kernel.Get[*preset.Store](k, serviceStore)
	var p *peers.Peers
	p = peers.New(peers.Config{
		EntryName: s.Name,
		Dial:      pool.DialTCP,
		Now:       time.Now,
		IntN:      rand.IntN,
		Round:     func() time.Duration { return gossipRound },
		Refresh: func() time.Duration {
			if p == nil {
				return minRecordRefresh // called by peers.New, before p is set
			}
			return recordRefresh(len(p.Live()))
		},
		Record: func() membership.Record { return entry.record(store.Offset(), len(p.Live())) },
		Store:  store,
		OnStrike: func(strike quarantine.Strike) {
			kernel.Get[*dispatch.Dispatcher](k, serviceDispatch).MergeStrike(strike)
		},
		OnParts: func(records []quarantine.PartRecord) []quarantine.PartRecord {
			return kernel.Get[*dispatch.Dispatcher](k, serviceDispatch).MergeParts(records)
		},
		SuspectedParts: func() []quarantine.PartRecord {
			return kernel.Get[*dispatch.Dispatcher](k, serviceDispatch).SuspectedParts()
		},
		LatestStrikes: func() []quarantine.Strike {
			return kernel.Get[*dispatch.Dispatcher](k, serviceDispatch).LatestStrikes()
		},
		MaxConnections: maxConnections,
		Logger:         daemon.PartLogger(log, servicePeers),
	})
	for _, peer := range s.Peers {
		p.AddSeed(peer.Name, peer.Link)
	}
	return p
}

func newPool(s Settings, k *kernel.Kernel, log zerolog.Logger) *pool.Pool {
	store := kernel.Get[*preset.Store](k, serviceStore)
	return pool.New(pool.Config{
		EntryName:     s.Name,
		SubsetSize:    s.SubsetSize,
		Dial:          pool.DialTCP,
		Now:           time.Now,
		Heartbeat:     time.Duration(s.Heartbeat),
		ConfigOffset:  store.Offset,
		ConfigChanged: store.Changed,
		Methods:       kernel.Get[*peers.Peers](k, servicePeers).Methods(),
		Jitter:        func(d time.Duration) time.Duration { return d/2 + rand.N(d) },
		Logger:        daemon.PartLogger(log, servicePool),
	})
}

func newClaimer(s Settings, k *kernel.Kernel, log zerolog.Logger) *idempotency.Claimer {
	p := kernel.Get[*peers.Peers](k, servicePeers)
	return idempotency.New(idempotency.Config{
		PlatformLog:  platform.NewHTTPLog(s.PlatformLog),
		KeyRetention: time.Duration(s.KeyWindow),
		Now:          time.Now,
		Interval:     func() time.Duration { return claimInterval(len(p.Live())) },
		Logger:       daemon.PartLogger(log, serviceClaims),
	})
}

func newDispatcher(s Settings, k *kernel.Kernel, log zerolog.Logger) *dispatch.Dispatcher {
	claimer := kernel.Get[*idempotency.Claimer](k, serviceClaims)
	config := routing.PolicyConfig{Uint64N: rand.Uint64N}
	return dispatch.New(dispatch.Config{
		Zone:                s.Zone,
		Pool:                kernel.Get[*pool.Pool](k, servicePool),
		Policy:              routing.NewScored(config),
		Routing:             config,
		Signer:              reservation.Signer{Keys: settings.DecodeKeys(s.ReservationKeys)},
		ReservationValidity: time.Duration(s.ReservationWindow),
		Now:                 time.Now,
		SteadyClock:         freshness.Now,
		EntryCount:          kernel.Get[*peers.Peers](k, servicePeers).KnownCount,
		Preset:              kernel.Get[*preset.Store](k, serviceStore).ActivePreset,
		Claimer:             dispatch.Claimer{Claim: claimer.Claim, Replace: claimer.Replace},
		BroadcastStrike:     kernel.Get[*peers.Peers](k, servicePeers).BroadcastStrike,
		ShareParts:          kernel.Get[*peers.Peers](k, servicePeers).ExchangeParts,
		Logger:              daemon.PartLogger(log, serviceDispatch),
	})
}

func newAPIServer(s Settings, k *kernel.Kernel, log zerolog.Logger, budget *bytebudget.Budget) *httpapi.Server {
	entry := kernel.Get[*entryState](k, serviceEntryState)
	p := kernel.Get[*peers.Peers](k, servicePeers)
	keys := map[string]string{}
	for _, o := range s.Organisations {
		keys[o.KeySHA256] = o.Name
	}
	server := httpapi.New(httpapi.Config{
		OrganisationKeys: keys,
		Timeout:          time.Duration(s.Timeout),
		AddressTTL:       time.Duration(s.AddressTTL),
		Addresses:        func() []httpapi.Address { return callerAddresses(p.Reachable(), s.Zone) },
		Dispatcher:       kernel.Get[*dispatch.Dispatcher](k, serviceDispatch),
		State:            kernel.Get[*preset.Store](k, serviceStore).State,
		LimitShare:       func(organisation string) float64 { return limitShare(organisation, entry.name, p.Live()) },
		Now:              time.Now,
		Budget:           budget,
		Observe:          newObserver(kernel.Get[*metrics.Set](k, serviceMetrics)).observe,
		Logger:           daemon.PartLogger(log, serviceHTTPAPI),
	})
	entry.setDemand(server.Demand)
	return server
}

func newFollower(s Settings, k *kernel.Kernel, log zerolog.Logger) *configuration.Follower {
	store := kernel.Get[*preset.Store](k, serviceStore)
	return configuration.NewFollower(configuration.Config{
		PlatformLog:    platform.NewHTTPLog(s.PlatformLog),
		Store:          store,
		OnLoaded:       func() { markAvailable(k, needConfiguration) },
		Now:            time.Now,
		SnapshotAge:    time.Duration(s.SnapshotAge),
		Int64N:         rand.Int64N,
		FetchFromPeers: kernel.Get[*peers.Peers](k, servicePeers).FetchConfiguration,
		Logger:         daemon.PartLogger(log, serviceFollower),
	})
}

// pollHostList reads the platform's host list at the configured interval until ctx
// ends. After an error the last list stays in use.
func pollHostList(ctx context.Context, s Settings, k *kernel.Kernel, log zerolog.Logger) {
	hostList := platform.NewHTTPHostList(s.PlatformHosts)
	targets := kernel.Get[*pool.Pool](k, servicePool)
	p := kernel.Get[*peers.Peers](k, servicePeers)
	defer targets.Close()
	ticker := time.NewTicker(time.Duration(s.HostListInterval))
	defer ticker.Stop()
	var invalid []string
	for {
		listing, err := hostList.List(ctx)
		if err != nil && ctx.Err() == nil {
			log.Warn().Err(err).Msg("host list cannot be read; using the last one")
		}
		if err == nil {
			if !slices.Equal(listing.Invalid, invalid) {
				log.Warn().Strs("entries", listing.Invalid).Int("hosts", len(listing.Hosts)).Msg("entries of the host list cannot be read; using the others")
			}
			invalid = listing.Invalid
			targets.SetHosts(listing.Hosts)
			addSeeds(p, listing.Hosts)
			markAvailable(k, needHostList)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// markAvailable records that something the entry needs is available. When nothing is
// missing it makes the entry ready, unless that is leaving; the next record sent to the peers reports this, and
// the entry then appears in address answers.
func markAvailable(k *kernel.Kernel, what string) {
	if kernel.Get[*entryState](k, serviceEntryState).markAvailable(what) {
		kernel.Get[*daemon.Readiness](k, serviceReadiness).Ready()
	}
}

// addSeeds adds the entries of the host list that are not leaving as gossip peers.
func addSeeds(p *peers.Peers, hosts []platform.Host) {
	for _, h := range hosts {
		if h.Role == platform.RoleEntry && !h.Leaving {
			p.AddSeed(h.Name, h.Address)
		}
	}
}

// linkService returns the service that accepts links from other entries.
func linkService(s Settings, limits link.Limits, log zerolog.Logger) kernel.Service {
	server := &link.Server{Limits: limits, Log: log}
	start := func(_ context.Context, k *kernel.Kernel) (any, error) {
		listener, err := net.Listen("tcp", s.LinkAddress)
		if err != nil {
			return nil, errors.Wrapf(err, "cannot listen on %s; free the address or set another", s.LinkAddress)
		}
		server.Methods = kernel.Get[*peers.Peers](k, servicePeers).Methods()
		daemon.ObserveLink(kernel.Get[*metrics.Set](k, serviceMetrics), server, limits.Budget)
		go server.Serve(listener)
		return server, nil
	}
	stop := func(context.Context) error {
		server.Close()
		return nil
	}
	return kernel.Service{Name: serviceLink, Needs: []string{serviceMetrics, servicePeers, serviceDispatch}, Start: start, Stop: stop}
}

// drainService returns the service that drains the entry. It starts last and therefore
// stops first: the entry disappears from address answers and keeps serving for as long
// as callers may cache its address. Requests that still run shortly before the end of the stop timeout are ended.
func drainService(s Settings, log zerolog.Logger) kernel.Service {
	var k *kernel.Kernel
	start := func(_ context.Context, started *kernel.Kernel) (any, error) {
		k = started
		return nil, nil
	}
	stop := func(ctx context.Context) error {
		work, cancel := daemon.WithStopReserve(ctx)
		defer cancel()
		cutOff, _ := work.Deadline()
		kernel.Get[*httpapi.Server](k, serviceHTTPAPI).StartDrain(cutOff)
		kernel.Get[*entryState](k, serviceEntryState).setLeaving()
		kernel.Get[*daemon.Readiness](k, serviceReadiness).NotReady("leaving")
		kernel.Get[*peers.Peers](k, servicePeers).AnnounceNow(work)
		log.Info().Msg("removed from address answers; serving until cached addresses expire")
		timer := time.NewTimer(time.Duration(s.AddressTTL))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-work.Done():
		}
		return stopCallers(ctx, work, k, log)
	}
	return kernel.Service{Name: serviceDrain, Needs: []string{serviceCallers, serviceOperations}, Start: start, Stop: stop}
}

// stopCallers stops the HTTP server for callers. When work ends, it ends the requests that still run, and their answers
// have half of daemon.StopReserve.
func stopCallers(ctx, work context.Context, k *kernel.Kernel, log zerolog.Logger) error {
	server := kernel.Get[*daemon.Server](k, serviceCallers)
	if server.Stop(work) == nil {
		return nil
	}
	log.Warn().Msg("stop time is over; ending requests in flight")
	kernel.Get[*httpapi.Server](k, serviceHTTPAPI).EndRequests()
	answers, cancel := context.WithTimeout(ctx, daemon.StopReserve/2)
	defer cancel()
	if err := server.Stop(answers); err != nil {
		_ = server.Close() // the connections are closed in any case
	}
	return errors.New("requests in flight did not end before the stop timeout; raise stop_within")
}
