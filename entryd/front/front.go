// Package front builds the parts of an entry daemon that relays HTTP requests unchanged:
// the mesh, the view of the platform's store, the relay and the listeners. The caller
// supplies functions for the platform's store and its wire protocol.
package front

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/entryd/bulletin"
	"camphormill.dev/entryd/relay"
	"camphormill.dev/parts/daemon"
	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/httpclient"
	"camphormill.dev/parts/kernel"
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
	// its address for about as long.
	minDrainTime = 2500 * time.Millisecond
	// requestReserve is the part of the stop time left when the listener for callers
	// closes: a plain request takes up to a second, and targets may be slow.
	requestReserve = 3 * time.Second
	// streamReserve is the part of the stop time left when the entry starts to refuse
	// streams: the longest take about four seconds.
	streamReserve = 4 * time.Second
	// exitReserve is the part of the stop time left for the rest of the process when
	// running requests are cut off.
	exitReserve = 300 * time.Millisecond
	// keyBoundShare is the share of the bound on revoked keys that the age of the routes'
	// freshness proof may use. The rest is for the request to reach its target.
	keyBoundShare = 0.75
	// retryReserveShare is the share of the fleet's retry reserve that the known entries
	// use, because more entries than the known ones may be running.
	retryReserveShare = 0.5
	// strikeDuration is the time for which a peer counts a strike.
	strikeDuration = 10 * time.Minute
	// orderTimeout bounds the wait for an engine's answer to an order.
	orderTimeout = 120 * time.Millisecond
	// callerIdleTimeout is the time after which an idle connection of a caller is closed.
	// It is longer than any limit that operators publish.
	callerIdleTimeout = time.Minute
)

// Config holds the settings and platform functions of a Front.
type Config struct {
	Self  mesh.Host
	Store bulletin.Store
	Hosts mesh.Directory
	Wire  relay.Wire
	// Owner reports whether an answer belongs to the request; nil accepts every answer.
	Owner     func(request *http.Request, answer *http.Response) bool
	Callers   string // listen address for callers
	Ready     string // listen address for readiness requests
	Directory string // listen address for address requests
	Metrics   string // listen address for metrics
	// ReadyDoor and DirectoryDoor return the handlers for the platform's readiness and
	// address requests.
	ReadyDoor     func(f *Front) http.Handler
	DirectoryDoor func(f *Front) http.Handler
	// Order passes an order of a group's leader to an engine and returns its result.
	Order      func(ctx context.Context, o mesh.Order) (mapswitch.Result, error)
	KeyBound   time.Duration // how long a revoked key may still be accepted
	StopWithin time.Duration // how long a planned stop may take
	RetryShare float64       // retries allowed per request, in the fleet
	RetrySlack float64       // retry reserve of the whole fleet, in retries
	Entries    int           // number of entries that share the retry reserve
	Log        zerolog.Logger
}

// Front is the state of a running entry.
type Front struct {
	config        Config
	mesh          *mesh.Mesh
	board         *bulletin.Board
	slots         *relay.Places
	relay         *relay.Relay
	client        *httpclient.Client
	metrics       *observer
	draining      atomic.Bool
	lastRequestAt atomic.Int64 // time of the last request, a freshness.Instant
	inFlight      atomic.Int64
}

// Services registers the services of an entry with the kernel.
func Services(k *kernel.Kernel, c Config) {
	set := metrics.NewSet()
	f := &Front{config: c, metrics: newObserver(set)}
	k.Register(kernel.Service{Name: "mesh", Start: func(context.Context, *kernel.Kernel) (any, error) { return f, f.build() }})
	registerLoop := func(name string, run func(ctx context.Context)) {
		k.Register(kernel.Loop(name, []string{"mesh"}, func(ctx context.Context, _ *kernel.Kernel) { run(ctx) }))
	}
	registerLoop("messages", func(ctx context.Context) { f.mesh.Run(ctx) })
	registerLoop("join", func(ctx context.Context) { f.mesh.Join(ctx, c.Hosts) })
	registerLoop("board", func(ctx context.Context) { f.board.Run(ctx) })
	registerLoop("beats", f.runHeartbeats)
	readiness := daemon.NewReadiness("")
	k.Register(daemon.HTTPService("operations", c.Metrics, []string{"mesh"}, func(*kernel.Kernel) http.Handler {
		return daemon.NewOperationsRouter(set, readiness)
	}))
	k.Register(daemon.HTTPService("ready", c.Ready, []string{"mesh"}, func(*kernel.Kernel) http.Handler { return c.ReadyDoor(f) }))
	k.Register(daemon.HTTPService("directory", c.Directory, []string{"mesh"}, func(*kernel.Kernel) http.Handler { return c.DirectoryDoor(f) }))
	k.Register(f.callersService())
}

// build opens the mesh and creates the board, the relay and the client for targets.
func (f *Front) build() error {
	c := f.config
	var err error
	f.mesh, err = mesh.Listen(mesh.Config{
		Self: c.Self, PeerTimeout: heartbeatTimeout, Now: time.Now, Handle: f.handleMessage, Log: daemon.PartLogger(c.Log, "mesh"),
		OnLost:  func(h mesh.Host) { c.Log.Warn().Str("host", h.Name).Str("role", string(h.Role)).Msg("host lost") },
		OnAlive: func(h mesh.Host) { c.Log.Info().Str("host", h.Name).Str("role", string(h.Role)).Msg("host found") },
	})
	if err != nil {
		return err
	}
	f.metrics.set.NewGauge(`camphormill_datagrams_dropped`, func() float64 { return float64(f.mesh.Dropped()) })
	f.metrics.set.NewGauge(`camphormill_routes_age_seconds`, func() float64 {
		age, _ := f.board.Age()
		return age.Seconds()
	})
	f.metrics.set.NewGauge(`camphormill_target_connections_opened`, func() float64 { return float64(f.client.ConnectionsOpened()) })
	f.board = bulletin.New(bulletin.Config{
		Store: c.Store, Mesh: f.mesh, Clock: freshness.Now, Now: time.Now, Log: daemon.PartLogger(c.Log, "board"),
		Changed: func(r registry.Registry) { f.relay.TargetsChanged(r) },
	})
	f.slots = relay.NewPlaces(relay.PlacesConfig{Mesh: f.mesh, Now: time.Now, Log: daemon.PartLogger(c.Log, "places")})
	f.client = httpclient.New(httpclient.Config{
		ConnectTimeout: 400 * time.Millisecond, UnackedTimeout: 2 * time.Second, MaxIdlePerAddress: 4, IdleTimeout: 8 * time.Second,
		IsResponseTo: c.Owner, Now: time.Now,
	})
	reserve := retryReserveShare * c.RetrySlack / float64(max(c.Entries, 1))
	f.relay = relay.New(relay.Config{
		Zone: c.Self.Zone, Wire: c.Wire, Board: f.board, Places: f.slots, Client: f.client, Now: time.Now,
		KeyBound: time.Duration(keyBoundShare * float64(c.KeyBound)), RetryShare: c.RetryShare / 2, RetryReserve: max(reserve, 1),
		Strike: f.broadcastStrike, Observe: f.metrics.observe, Log: daemon.PartLogger(c.Log, "relay"),
	})
	return nil
}

func (f *Front) handleMessage(from mesh.Host, m mesh.Message) {
	switch {
	case m.StoreUpdate != nil:
		f.board.Hear(from.Name, *m.StoreUpdate)
	case m.Strike != nil:
		s := m.Strike.Strike
		s.Until = time.Now().Add(time.Duration(m.Strike.RemainingSeconds) * time.Second)
		f.relay.MergeStrike(s)
	case m.RequestEngineSettings != "":
		f.sendEngineSettings(from, m.RequestEngineSettings)
	case m.Order != nil:
		go f.executeOrder(from, *m.Order)
	default:
		f.slots.Handle(from, m)
	}
}

// sendEngineSettings sends the published configuration of a service's engines to a target host,
// because the whole configuration takes too long over the host's narrow link.
func (f *Front) sendEngineSettings(to mesh.Host, service string) {
	table := f.board.Table()
	if table == nil {
		return // another entry may know it and answers instead
	}
	if s, ok := table.Service(service); ok && s.Engine != nil {
		f.mesh.Send(to.Name, mesh.Message{EngineSettings: &mesh.EngineSettings{Service: service, Engine: *s.Engine}})
	}
}

// executeOrder passes a leader's order to an engine and returns the result. The leader
// repeats an order that gets no result.
func (f *Front) executeOrder(from mesh.Host, o mesh.Order) {
	if f.slots.Fenced(o.Service, o.Order.Fence) {
		f.mesh.Send(o.Leader, mesh.Message{OrderResult: &mesh.OrderResult{ID: o.ID, Result: mapswitch.Fenced}})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	result, err := f.config.Order(ctx, o)
	if err != nil {
		f.config.Log.Info().Err(err).Str("leader", from.Name).Str("engine", o.Engine).Str("order", string(o.Order.Kind)).
			Int64("fence", int64(o.Order.Fence)).Msg("engine did not answer the order")
		return
	}
	f.mesh.Send(o.Leader, mesh.Message{OrderResult: &mesh.OrderResult{ID: o.ID, Result: result}})
}

func (f *Front) broadcastStrike(s quarantine.Strike) {
	for _, h := range f.mesh.Known(mesh.RoleEntry) {
		f.mesh.Send(h.Name, mesh.Message{Strike: &mesh.Strike{Strike: s, RemainingSeconds: int(strikeDuration.Seconds())}})
	}
}

// runHeartbeats sends heartbeats to the other entries until the context ends. At the same
// interval it checks for lost hosts and closes idle connections to targets.
func (f *Front) runHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		f.sendHeartbeat()
		f.mesh.DetectLost()
		f.client.CloseExpired()
		interval := heartbeatInterval
		if len(f.mesh.Known(mesh.RoleEntry)) > largeFleet {
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

func (f *Front) sendHeartbeat() {
	b := mesh.Heartbeat{Ready: f.IsReady(), Leaving: f.draining.Load(), Sent: freshness.Now()}
	for _, h := range f.mesh.Known(mesh.RoleEntry) {
		f.mesh.Send(h.Name, mesh.Message{Heartbeat: &b})
	}
}

// IsReady reports whether the entry accepts callers.
func (f *Front) IsReady() bool {
	if f.draining.Load() || !f.board.Known() {
		return false
	}
	age, ok := f.board.Age()
	return ok && age < f.config.KeyBound
}

// Addresses returns the public addresses of the entries that accept callers.
func (f *Front) Addresses() []string {
	var addresses []string
	if f.IsReady() {
		addresses = append(addresses, f.config.Self.CallerAddress)
	}
	for _, h := range f.mesh.ReadyEntries() {
		addresses = append(addresses, h.CallerAddress)
	}
	return addresses
}

// callersService is the HTTP server for callers. It stops before the services it needs,
// and drains first, because callers cache addresses for a while.
func (f *Front) callersService() kernel.Service {
	server := &http.Server{
		IdleTimeout: callerIdleTimeout, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 64 << 10,
		Handler: http.HandlerFunc(f.serve), DisableGeneralOptionsHandler: true,
	}
	start := func(context.Context, *kernel.Kernel) (any, error) {
		listener, err := net.Listen("tcp", f.config.Callers)
		if err != nil {
			return nil, errors.Wrapf(err, "cannot listen on %s; free the address or set another", f.config.Callers)
		}
		go func() {
			if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
				f.config.Log.Error().Err(err).Msg("HTTP server for callers ended")
			}
		}()
		return f, nil
	}
	stop := func(ctx context.Context) error {
		deadline := time.Now().Add(f.config.StopWithin - exitReserve)
		f.drain(ctx)
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			f.config.Log.Warn().Err(err).Int64("requests", f.inFlight.Load()).Msg("stop time is over; cutting off running requests")
			return server.Close()
		}
		return nil
	}
	return kernel.Service{Name: "callers", Needs: []string{"mesh", "ready", "directory", "board", "messages", "beats"}, Start: start, Stop: stop}
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	f.lastRequestAt.Store(int64(freshness.Now()))
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	f.relay.ServeHTTP(w, r)
}

// drain keeps serving until callers use other entries or the time for it is over.
func (f *Front) drain(ctx context.Context) {
	f.draining.Store(true)
	f.relay.Leave()
	f.config.Log.Info().Msg("draining; removed from address responses, serving until callers use other entries")
	startedAt := freshness.Now()
	maxElapsed := f.config.StopWithin - requestReserve
	for ctx.Err() == nil {
		f.sendHeartbeat()
		time.Sleep(200 * time.Millisecond)
		now := freshness.Now()
		elapsed := time.Duration(now - startedAt)
		idle := time.Duration(now - freshness.Instant(f.lastRequestAt.Load()))
		if elapsed >= f.config.StopWithin-streamReserve {
			f.relay.RefuseStreams()
		}
		if elapsed >= maxElapsed || (elapsed >= minDrainTime && idle >= drainIdleTime && f.inFlight.Load() == 0) {
			return
		}
	}
}
