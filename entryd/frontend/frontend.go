// Package frontend builds the parts of an entry daemon that relays HTTP requests unchanged:
// the mesh, the view of the platform's store, the relay and the listeners. The caller
// supplies functions for the platform's store and its wire protocol.
package frontend

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/entryd/relay"
	"camphormill.dev/entryd/storeview"
	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/daemon"
	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/httpclient"
	"camphormill.dev/parts/kernel"
	"camphormill.dev/parts/limit"
	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/registry"
)

const (
	// heartbeatTimeout is the time after the last heartbeat from which an entry is left
	// out of address responses.
	heartbeatTimeout = 1800 * time.Millisecond
	// heartbeatInterval is the time between heartbeats of an entry to the others.
	heartbeatInterval = 500 * time.Millisecond
	// largeFleet is the number of entries above which the heartbeat interval doubles.
	largeFleet = 24
	// drainIdleTime is the time without requests after which a draining entry may stop.
	drainIdleTime = 1200 * time.Millisecond
	// minDrainTime is the minimum time a draining entry keeps serving: most callers cache
	// its address for about as long. It refuses requests of those who come later if it can't tell that they end
	// before it stops.
	minDrainTime = 2500 * time.Millisecond
	// requestReserve is the part of the stop time left when the listener for callers
	// closes: a plain request takes up to a second, and targets may be slow.
	requestReserve = 3 * time.Second
	// exitReserve is the part of the stop time left for the rest of the process when
	// running requests are cut off.
	exitReserve = 300 * time.Millisecond
	// answerReserve is the part of exitReserve in which the requests that are ended get their answers.
	answerReserve = 150 * time.Millisecond
	// proofAgeShare is the share of the bounds on revoked keys and on evacuated zones that the age of the
	// routes' freshness proof may use. The rest is for the request to reach its target.
	proofAgeShare = 0.75
	// introductionTime is how long a starting entry waits for the hosts that others tell of.
	introductionTime = 5 * time.Second
	// knowledgeFanout is the number of entries that tell a starting one what they know.
	knowledgeFanout = 8
	// maxStrikesSent bounds the strikes against whole requests that it is told.
	maxStrikesSent = 16
	// orderTimeout bounds the wait for an engine's answer to an order.
	orderTimeout = 120 * time.Millisecond
	// maxOrders bounds the orders that are executed at a time.
	maxOrders = 256
	// callerIdleTimeout is the time after which an idle connection of a caller is closed.
	// It is longer than any limit that operators publish.
	callerIdleTimeout = time.Minute
)

// Config holds the settings and platform functions of a Server.
type Config struct {
	Self     mesh.Host
	Store    storeview.Store
	Hosts    mesh.Directory
	Protocol relay.Protocol
	// MatchResponse tells whether a target's response belongs to a request; see httpclient.Config.
	MatchResponse    func(request *http.Request, response *http.Response) httpclient.Match
	CallersAddress   string // listen address for callers
	ReadyAddress     string // listen address for readiness requests
	DirectoryAddress string // listen address for address requests
	MetricsAddress   string // listen address for metrics
	// NewReadyHandler and NewDirectoryHandler return the handlers for the platform's readiness and
	// address requests.
	NewReadyHandler     func(s *Server) http.Handler
	NewDirectoryHandler func(s *Server) http.Handler
	// SendOrder passes an order of a group's leader to an engine and returns its result. An
	// error counts as no answer of the engine.
	SendOrder       func(ctx context.Context, o mesh.Order) (mapswitch.Result, error)
	RevocationBound time.Duration    // how long a revoked key may still be accepted
	EvacuationBound time.Duration    // how long targets of an evacuated zone may still get requests; 0: no bound
	ColdOverage     float64          // factor of the published rate that a cold target takes for a second; 0: not known
	StopTimeout     time.Duration    // how long a planned stop may take
	RetryLimit      limit.RetryLimit // of all entries together, for each service
	// Budget bounds what callers make the process hold.
	Budget *bytebudget.Budget
	// Shares are the connections that each server may have open.
	Shares daemon.Shares
	Log    zerolog.Logger
}

// Server is the state of a running entry.
type Server struct {
	config        Config
	life          freshness.Life
	startedAt     freshness.Instant
	mesh          *mesh.Mesh
	view          *storeview.View
	slots         *relay.SlotClient
	limits        *relay.Limits
	relay         *relay.Relay
	client        *httpclient.Client
	metrics       *observer
	draining      atomic.Bool
	lastRequestAt atomic.Int64 // time of the last request, a freshness.Instant
	inFlight      atomic.Int64 // running requests of callers
	orders        atomic.Int64 // that are being executed
}

// RegisterServices registers the services of an entry with the kernel.
func RegisterServices(k *kernel.Kernel, c Config) {
	set := metrics.NewSet()
	s := &Server{config: c, life: freshness.NewLife(), startedAt: freshness.Now(), metrics: newObserver(set)}
	k.Register(kernel.Service{Name: "mesh", Start: func(context.Context, *kernel.Kernel) (any, error) { return s, s.build() }})
	registerLoop := func(name string, run func(ctx context.Context)) {
		k.Register(kernel.Loop(name, []string{"mesh"}, func(ctx context.Context, _ *kernel.Kernel) { run(ctx) }))
	}
	registerLoop("messages", func(ctx context.Context) { s.mesh.Run(ctx) })
	registerLoop("join", func(ctx context.Context) { s.mesh.Join(ctx, c.Hosts) })
	registerLoop("board", func(ctx context.Context) { s.view.Run(ctx) }) // the view of the platform's store
	registerLoop("beats", s.runHeartbeats)
	readiness := daemon.NewReadiness("")
	operations := daemon.Limits{Connections: c.Shares.Operations, Budget: c.Budget}
	k.Register(daemon.HTTPService("operations", c.MetricsAddress, []string{"mesh"}, operations, func(*kernel.Kernel) http.Handler {
		return daemon.NewOperationsRouter(set, readiness)
	}))
	k.Register(daemon.HTTPService("ready", c.ReadyAddress, []string{"mesh"}, operations, func(*kernel.Kernel) http.Handler { return c.NewReadyHandler(s) }))
	k.Register(daemon.HTTPService("directory", c.DirectoryAddress, []string{"mesh"}, daemon.Limits{Connections: c.Shares.Directory, Budget: c.Budget}, func(*kernel.Kernel) http.Handler { return c.NewDirectoryHandler(s) }))
	k.Register(s.callersService())
}

// build opens the mesh and creates the view, the relay and the client for targets.
func (s *Server) build() error {
	c := s.config
	var err error
	s.mesh, err = mesh.Listen(mesh.Config{
		Self: c.Self, PeerTimeout: heartbeatTimeout, Now: time.Now, Handle: s.handleMessage, Log: daemon.PartLogger(c.Log, "mesh"),
		OnLost: func(h mesh.Host) { c.Log.Warn().Str("host", h.Name).Str("role", string(h.Role)).Msg("host lost") },
		OnAlive: func(h mesh.Host) {
			c.Log.Info().Str("host", h.Name).Str("role", string(h.Role)).Msg("host found")
			s.sendKnowledge(h)
		},
		OnIntroduced: s.sendKnowledge,
	})
	if err != nil {
		return err
	}
	s.metrics.set.NewGauge(`camphormill_datagrams_dropped`, func() float64 { return float64(s.mesh.Dropped()) })
	s.metrics.set.NewGauge(`camphormill_routes_age_seconds`, func() float64 {
		age, _ := s.view.ProofAge()
		return age.Seconds()
	})
	s.metrics.set.NewGauge(`camphormill_targets_in_grace`, func() float64 { return float64(s.view.Targets().Missing()) })
	s.metrics.set.NewGauge(`camphormill_prompt_parts_suspected`, func() float64 { return float64(len(s.relay.SuspectedParts())) })
	s.metrics.set.NewGauge(`camphormill_zones_evacuated`, func() float64 {
		if table := s.view.Routes(); table != nil {
			return float64(len(table.EvacuatedZones()))
		}
		return 0
	})
	s.metrics.set.NewGauge(`camphormill_targets_cold`, func() float64 { return float64(s.view.Targets().ColdCount(time.Now())) })
	s.metrics.set.NewGauge(`camphormill_targets_limited`, func() float64 { return float64(s.limits.Count()) })
	s.metrics.set.NewGauge(`camphormill_retry_budget_entries`, func() float64 { return float64(s.entryCount()) })
	s.metrics.set.NewGauge(`camphormill_target_connections_opened`, func() float64 { return float64(s.client.ConnectionsOpened()) })
	s.view = storeview.New(storeview.Config{
		Store: c.Store, Mesh: s.mesh, SteadyClock: freshness.Now, Life: s.life, Now: time.Now, Log: daemon.PartLogger(c.Log, "board"),
		OnTargetsChanged: func(r registry.Registry) { s.relay.PruneTargets(r) },
		OnRestored:       func() { go s.restoreHosts() },
	})
	s.slots = relay.NewSlotClient(relay.SlotClientConfig{Mesh: s.mesh, Now: time.Now, Log: daemon.PartLogger(c.Log, "places")})
	s.limits = relay.NewLimits(relay.LimitsConfig{
		Mesh: s.mesh, Now: time.Now, Log: daemon.PartLogger(c.Log, "limits"), ColdRateFactor: relay.ColdRateFactor(c.ColdOverage),
		Registered: func(target string) bool {
			_, ok := s.view.Targets().Target(target)
			return ok
		},
	})
	s.client = httpclient.New(httpclient.Config{
		ConnectTimeout: 400 * time.Millisecond, UnackedTimeout: 2 * time.Second, MaxIdlePerAddress: 4, IdleTimeout: 8 * time.Second,
		Match: c.MatchResponse, Now: time.Now,
	})
	s.relay = relay.New(relay.Config{
		Zone: c.Self.Zone, Protocol: c.Protocol, View: s.view, Slots: s.slots, Limits: s.limits, Client: s.client, Budget: c.Budget, Now: time.Now,
		MaxProofAge: s.maxProofAge(), RetryLimit: c.RetryLimit, EntryCount: s.entryCount, SteadyClock: freshness.Now,
		OnStrike: s.broadcastStrike, ShareParts: s.broadcastParts, Dial: net.DialTimeout, OnTargetDeath: s.metrics.countTargetDeath, OnRetry: s.metrics.countRetry, OnOutcome: s.metrics.observe, Log: daemon.PartLogger(c.Log, "relay"),
	})
	return nil
}

// entryCount returns the number of entries that share the retry reserve, 0 if it is not known yet. If the list of hosts
// can't be read, it is the number of those that the seeds and the hosts themselves told of.
func (s *Server) entryCount() int {
	count := s.mesh.MemberCount(mesh.RoleEntry)
	if s.mesh.Joined() || (count > 1 && freshness.Now() > s.startedAt.Add(introductionTime)) {
		return count
	}
	return 0
}

// handleMessage processes a message of another host. The expiry of a peer's strike is
// computed by the local clock.
func (s *Server) handleMessage(from mesh.Host, m mesh.Message) {
	switch {
	case m.StoreUpdate != nil:
		s.view.ApplyUpdate(from.Name, *m.StoreUpdate)
	case m.Strike != nil:
		strike := m.Strike.Strike
		strike.Until = time.Now().Add(time.Duration(m.Strike.RemainingSeconds) * time.Second)
		s.relay.MergeStrike(strike)
	case m.LimitRequest != nil, m.LimitResponse != nil, m.TargetLimits != nil:
		s.limits.Handle(from, m)
	case m.PartRecords != nil:
		s.mergePartRecords(from, *m.PartRecords)
	case m.RequestEngineSettings != "":
		s.sendEngineSettings(from, m.RequestEngineSettings)
	case m.Order != nil:
		s.startOrders(from, *m.Order)
	default:
		s.slots.Handle(from, m)
	}
}

// sendEngineSettings sends the published configuration of a service's engines to a target host,
// because the whole configuration takes too long over the host's narrow link.
func (s *Server) sendEngineSettings(to mesh.Host, service string) {
	table := s.view.Routes()
	if table == nil {
		return // the target host asks several entries, and another may have the routes
	}
	if settings, ok := table.Service(service); ok && settings.Engine != nil {
		s.mesh.Send(to.Name, mesh.Message{EngineSettings: &mesh.EngineSettings{Service: service, Engine: *settings.Engine}})
	}
}

// startOrders executes the orders of a message in new goroutines, unless there are maxOrders already, and sends their
// results. The leader repeats an order that is dropped.
func (s *Server) startOrders(from mesh.Host, m mesh.Order) {
	orders := m.ForEachEngine()
	if s.orders.Add(int64(len(orders))) > maxOrders {
		s.orders.Add(-int64(len(orders)))
		return
	}
	results := make(chan mesh.OrderResult)
	var running sync.WaitGroup
	for _, o := range orders {
		running.Go(func() {
			defer s.orders.Add(-1)
			results <- s.executeOrder(from, o)
		})
	}
	go func() {
		running.Wait()
		close(results)
	}()
	go s.mesh.SendResults(m.Leader, results)
}

// executeOrder passes a leader's order to an engine and returns the result, which is empty if the engine does not
// answer. It refuses an order whose fencing token is out of date.
func (s *Server) executeOrder(from mesh.Host, o mesh.Order) mesh.OrderResult {
	if s.slots.Fenced(o.Service, o.Group, o.Order.Fence) {
		return mesh.OrderResult{ID: o.ID, Result: mapswitch.Fenced}
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	result, err := s.config.SendOrder(ctx, o)
	if err != nil {
		s.config.Log.Info().Err(err).Str("leader", from.Name).Str("engine", o.Engine).Str("order", string(o.Order.Kind)).
			Int64("fence", int64(o.Order.Fence)).Msg("engine did not answer the order")
		return mesh.OrderResult{ID: o.ID}
	}
	return mesh.OrderResult{ID: o.ID, Result: result}
}

func (s *Server) broadcastStrike(strike quarantine.Strike) {
	for _, h := range s.mesh.Known(mesh.RoleEntry) {
		s.mesh.Send(h.Name, strikeMessage(strike))
	}
}

// strikeMessage returns the message that tells a peer of a strike. The peer computes the strike's
// expiry by its own clock.
func strikeMessage(strike quarantine.Strike) mesh.Message {
	return mesh.Message{Strike: &mesh.Strike{Strike: strike, RemainingSeconds: int(time.Until(strike.Until).Seconds()) + 1}}
}

// broadcastParts tells the other entries what this one knows of prompt parts.
func (s *Server) broadcastParts(records []quarantine.PartRecord, query bool) {
	for _, h := range s.mesh.Known(mesh.RoleEntry) {
		s.mesh.Send(h.Name, mesh.Message{PartRecords: &mesh.PartRecords{Records: records, Query: query}})
	}
}

// mergePartRecords adds what another entry knows of prompt parts, and answers its query.
func (s *Server) mergePartRecords(from mesh.Host, m mesh.PartRecords) {
	s.relay.MergeParts(m.Records)
	if !m.Query {
		return
	}
	answered := slices.DeleteFunc(s.relay.PartRecords(m.Records), func(r quarantine.PartRecord) bool { return !r.Answered })
	if len(answered) > 0 {
		s.mesh.Send(from.Name, mesh.Message{PartRecords: &mesh.PartRecords{Records: answered}})
	}
}

// sendKnowledge tells an entry that has started, or that was cut off, which prompt parts are
// suspected of killing targets, which requests did, and which rate limits targets name. About
// knowledgeFanout entries do so.
func (s *Server) sendKnowledge(to mesh.Host) {
	if to.Role != mesh.RoleEntry || rand.IntN(len(s.mesh.Known(mesh.RoleEntry))+1) >= knowledgeFanout {
		return
	}
	if suspects := s.relay.SuspectedParts(); len(suspects) > 0 {
		s.mesh.Send(to.Name, mesh.Message{PartRecords: &mesh.PartRecords{Records: suspects}})
	}
	for _, strike := range s.relay.LatestStrikes(maxStrikesSent) {
		s.mesh.Send(to.Name, strikeMessage(strike))
	}
	if limits := s.limits.Named(); len(limits) > 0 {
		s.mesh.Send(to.Name, mesh.Message{TargetLimits: limits})
	}
}

// runHeartbeats sends heartbeats to the other entries until the context ends. At the same
// interval it checks for lost hosts and closes idle connections to targets.
func (s *Server) runHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		s.sendHeartbeat()
		s.mesh.DetectLost()
		s.client.CloseExpired()
		interval := heartbeatInterval
		if len(s.mesh.Known(mesh.RoleEntry)) > largeFleet {
			interval *= 2
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (s *Server) sendHeartbeat() {
	b := mesh.Heartbeat{Ready: s.IsReady(), Leaving: s.draining.Load(), Sent: freshness.Now(), Life: s.life}
	for _, h := range s.mesh.Known(mesh.RoleEntry) {
		s.mesh.Send(h.Name, mesh.Message{Heartbeat: &b})
	}
}

// IsReady reports whether the entry accepts callers.
func (s *Server) IsReady() bool {
	if s.draining.Load() || !s.view.Loaded() {
		return false
	}
	return s.view.WasConfirmed(s.maxProofAge())
}

// maxProofAge is the age of the routes' freshness proof from which the entry refuses requests.
func (s *Server) maxProofAge() time.Duration {
	bound := s.config.RevocationBound
	if evacuation := s.config.EvacuationBound; evacuation > 0 {
		bound = min(bound, evacuation)
	}
	return time.Duration(proofAgeShare * float64(bound))
}

// Addresses returns the public addresses of the entries that accept callers, with that of
// this entry first if it is ready.
func (s *Server) Addresses() []string {
	var addresses []string
	if s.IsReady() {
		addresses = append(addresses, s.config.Self.CallerAddress)
	}
	for _, h := range s.mesh.ReadyEntries() {
		addresses = append(addresses, h.CallerAddress)
	}
	return addresses
}

// callersService is the HTTP server for callers. It stops before the services it needs,
// and drains first, because callers cache addresses for a while.
func (s *Server) callersService() kernel.Service {
	server := daemon.NewServer(&http.Server{
		IdleTimeout: callerIdleTimeout, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 64 << 10, DisableGeneralOptionsHandler: true,
	}, daemon.Limits{Connections: s.config.Shares.Callers, Budget: s.config.Budget})
	s.metrics.observeServer(server, s.config.Budget)
	start := func(context.Context, *kernel.Kernel) (any, error) {
		listener, err := net.Listen("tcp", s.config.CallersAddress)
		if err != nil {
			return nil, errors.Wrapf(err, "cannot listen on %s; free the address or set another", s.config.CallersAddress)
		}
		go func() {
			if err := server.Serve(listener, http.HandlerFunc(s.serve)); err != nil {
				s.config.Log.Error().Err(err).Msg("HTTP server for callers ended")
			}
		}()
		return s, nil
	}
	stop := func(ctx context.Context) error {
		startedAt := time.Now()
		deadline := startedAt.Add(s.config.StopTimeout - exitReserve)
		s.drain(ctx, relay.Drain{
			StartedAt: startedAt, CutOff: deadline, OnlyKnownFrom: startedAt.Add(minDrainTime),
			OthersReady: func() bool { return len(s.mesh.ReadyEntries()) > 0 },
		})
		work, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		if err := server.Stop(work); err != nil {
			s.config.Log.Warn().Err(err).Int64("requests", s.inFlight.Load()).Msg("stop time is over; ending running requests")
			s.relay.EndRequests()
			answers, cancel := context.WithTimeout(ctx, answerReserve)
			defer cancel()
			_ = server.Stop(answers) // what remains is closed in any case
			return server.Close()
		}
		return nil
	}
	return kernel.Service{Name: "callers", Needs: []string{"mesh", "ready", "directory", "board", "messages", "beats"}, Start: start, Stop: stop}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.lastRequestAt.Store(int64(freshness.Now()))
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.relay.ServeHTTP(w, r)
}

// drain keeps serving until callers use other entries, or until only requestReserve is left
// of the stop time.
func (s *Server) drain(ctx context.Context, d relay.Drain) {
	s.draining.Store(true)
	s.relay.StartDrain(d)
	s.config.Log.Info().Msg("draining; removed from address responses, serving until callers use other entries")
	startedAt := freshness.Now()
	maxElapsed := s.config.StopTimeout - requestReserve
	for ctx.Err() == nil {
		s.sendHeartbeat()
		time.Sleep(200 * time.Millisecond)
		now := freshness.Now()
		elapsed := time.Duration(now - startedAt)
		idle := time.Duration(now - freshness.Instant(s.lastRequestAt.Load()))
		if elapsed >= maxElapsed || (elapsed >= minDrainTime && idle >= drainIdleTime && s.inFlight.Load() == 0) {
			return
		}
	}
}
