// Package front puts an entry daemon together that relays requests as they are:
// the mesh, the view of the store, the relay and its doors. How the store and the
// requests look on a platform comes in by functions.
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
	"camphormill.dev/parts/exchange"
	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/kernel"
	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/registry"
)

const (
	// silence is after which time without a beat an entry leaves the answers.
	silence = 1800 * time.Millisecond
	// beatEvery is how often entries tell each other that they live.
	beatEvery = 500 * time.Millisecond
	// largeFleet is the number of entries from which on beats come half as often.
	largeFleet = 24
	// quietStop is how long no request may have come before a leaving entry ends.
	quietStop = 1200 * time.Millisecond
	// leastStop is how long a leaving entry serves on at least: as long as most
	// callers keep its address.
	leastStop = 2500 * time.Millisecond
	// lastRequests is what is left of the time to stop when the callers' door closes:
	// plain requests may take a second, and targets may be slow.
	lastRequests = 3 * time.Second
	// lastStreams is what is left when no more streams are taken: the longest last
	// about four seconds.
	lastStreams = 4 * time.Second
	// exitTime is what is left for the rest of the process when the last requests
	// are cut off.
	exitTime = 300 * time.Millisecond
	// keyShare is the part of the bound on removed keys up to which a proof of
	// the routes counts; the rest is for a request on its way to its target.
	keyShare = 0.75
	// reserveShare is the part of the fleet's spare retries that entries use,
	// since more entries than known ones may run.
	reserveShare = 0.5
	// strikeLasts is how long a strike counts at a peer.
	strikeLasts = 10 * time.Minute
	// orderTimeout is how long an engine may take to answer an order.
	orderTimeout = 120 * time.Millisecond
	// idleCallers is how long a caller's connection may rest; above the longest
	// limit that operators publish.
	idleCallers = time.Minute
)

// Config is what a front is built from.
type Config struct {
	Self      mesh.Host
	Store     bulletin.Store
	Hosts     mesh.List
	Wire      relay.Wire
	Owner     func(request *http.Request, answer *http.Response) bool
	Callers   string // addresses of the doors
	Ready     string
	Directory string
	Metrics   string
	// ReadyDoor and DirectoryDoor serve the platform's questions.
	ReadyDoor     func(f *Front) http.Handler
	DirectoryDoor func(f *Front) http.Handler
	// Order gives an engine an order of a group's leader.
	Order      func(ctx context.Context, o mesh.Order) (mapswitch.Result, error)
	KeyBound   time.Duration
	StopWithin time.Duration
	RetryShare float64
	RetrySlack float64
	Entries    int // entries that share the retries
	Log        zerolog.Logger
}

// Front is a running entry.
type Front struct {
	config  Config
	mesh    *mesh.Mesh
	board   *bulletin.Board
	places  *relay.Places
	relay   *relay.Relay
	client  *exchange.Client
	metrics *observer
	leaving atomic.Bool
	lastAt  atomic.Int64 // of the last request, by the clock that runs on
	flying  atomic.Int64
}

// Services registers the services of an entry with a kernel.
func Services(k *kernel.Kernel, c Config) {
	set := metrics.NewSet()
	f := &Front{config: c, metrics: newObserver(set)}
	k.Register(kernel.Service{Name: "mesh", Start: func(context.Context, *kernel.Kernel) (any, error) { return f, f.open() }})
	loop := func(name string, run func(ctx context.Context)) {
		k.Register(kernel.Loop(name, []string{"mesh"}, func(ctx context.Context, _ *kernel.Kernel) { run(ctx) }))
	}
	loop("messages", func(ctx context.Context) { f.mesh.Run(ctx) })
	loop("join", func(ctx context.Context) { f.mesh.Join(ctx, c.Hosts) })
	loop("board", func(ctx context.Context) { f.board.Run(ctx) })
	loop("beats", f.beat)
	readiness := daemon.NewReadiness("")
	k.Register(daemon.HTTPService("operations", c.Metrics, []string{"mesh"}, func(*kernel.Kernel) http.Handler {
		return daemon.NewOperationsRouter(set, readiness)
	}))
	k.Register(daemon.HTTPService("ready", c.Ready, []string{"mesh"}, func(*kernel.Kernel) http.Handler { return c.ReadyDoor(f) }))
	k.Register(daemon.HTTPService("directory", c.Directory, []string{"mesh"}, func(*kernel.Kernel) http.Handler { return c.DirectoryDoor(f) }))
	k.Register(f.callersService())
}

func (f *Front) open() error {
	c := f.config
	var err error
	f.mesh, err = mesh.Listen(mesh.Config{
		Self: c.Self, Silence: silence, Now: time.Now, Handle: f.handle, Log: daemon.Part(c.Log, "mesh"),
		Lost:  func(h mesh.Host) { c.Log.Warn().Str("host", h.Name).Str("role", string(h.Role)).Msg("host lost") },
		Found: func(h mesh.Host) { c.Log.Info().Str("host", h.Name).Str("role", string(h.Role)).Msg("host found") },
	})
	if err != nil {
		return err
	}
	f.metrics.set.NewGauge(`camphormill_datagrams_dropped`, func() float64 { return float64(f.mesh.Dropped()) })
	f.metrics.set.NewGauge(`camphormill_routes_age_seconds`, func() float64 {
		age, _ := f.board.Age()
		return age.Seconds()
	})
	f.metrics.set.NewGauge(`camphormill_target_connections_opened`, func() float64 { return float64(f.client.Opened()) })
	f.board = bulletin.New(bulletin.Config{
		Store: c.Store, Mesh: f.mesh, Clock: freshness.Now, Now: time.Now, Log: daemon.Part(c.Log, "board"),
		Changed: func(r registry.Registry) { f.relay.TargetsChanged(r) },
	})
	f.places = relay.NewPlaces(relay.PlacesConfig{Mesh: f.mesh, Now: time.Now, Log: daemon.Part(c.Log, "places")})
	f.client = exchange.New(exchange.Config{
		ConnectTimeout: 400 * time.Millisecond, UnackedTimeout: 2 * time.Second, MaxIdle: 4, IdleTimeout: 8 * time.Second,
		Owner: c.Owner, Now: time.Now,
	})
	reserve := reserveShare * c.RetrySlack / float64(max(c.Entries, 1))
	f.relay = relay.New(relay.Config{
		Zone: c.Self.Zone, Wire: c.Wire, Board: f.board, Places: f.places, Client: f.client, Now: time.Now,
		KeyBound: time.Duration(keyShare * float64(c.KeyBound)), RetryShare: c.RetryShare / 2, RetryReserve: max(reserve, 1),
		Strike: f.shareStrike, Observe: f.metrics.observe, Log: daemon.Part(c.Log, "relay"),
	})
	return nil
}

func (f *Front) handle(from mesh.Host, m mesh.Message) {
	switch {
	case m.Bulletin != nil:
		f.board.Hear(from.Name, *m.Bulletin)
	case m.Strike != nil:
		s := m.Strike.Strike
		s.Until = time.Now().Add(time.Duration(m.Strike.LastsS) * time.Second)
		f.relay.MergeStrike(s)
	case m.AskShape != "":
		f.tellShape(from, m.AskShape)
	case m.Order != nil:
		go f.order(from, *m.Order)
	default:
		f.places.Handle(from, m)
	}
}

// tellShape answers what is published of the engines of a service: a large
// configuration takes too long over the narrow link of a target host.
func (f *Front) tellShape(to mesh.Host, service string) {
	table := f.board.Table()
	if table == nil {
		return // another entry may know it
	}
	if s, ok := table.Service(service); ok && s.Engine != nil {
		f.mesh.Send(to.Name, mesh.Message{Shape: &mesh.Shape{Service: service, Engine: *s.Engine}})
	}
}

// order gives an engine an order for a leader. One without an answer is repeated
// by the leader.
func (f *Front) order(from mesh.Host, o mesh.Order) {
	if f.places.Fenced(o.Service, o.Order.Fence) {
		f.mesh.Send(o.Leader, mesh.Message{Ordered: &mesh.Ordered{ID: o.ID, Result: mapswitch.Fenced}})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	result, err := f.config.Order(ctx, o)
	if err != nil {
		f.config.Log.Info().Err(err).Str("leader", from.Name).Str("engine", o.Engine).Str("order", string(o.Order.Kind)).
			Int64("fence", int64(o.Order.Fence)).Msg("order has no answer")
		return
	}
	f.mesh.Send(o.Leader, mesh.Message{Ordered: &mesh.Ordered{ID: o.ID, Result: result}})
}

func (f *Front) shareStrike(s quarantine.Strike) {
	for _, h := range f.mesh.Known(mesh.Entry) {
		f.mesh.Send(h.Name, mesh.Message{Strike: &mesh.Strike{Strike: s, LastsS: int(strikeLasts.Seconds())}})
	}
}

// beat tells the other entries that this one lives.
func (f *Front) beat(ctx context.Context) {
	for ctx.Err() == nil {
		f.tellBeat()
		f.mesh.Watch()
		f.client.Expire()
		every := beatEvery
		if len(f.mesh.Known(mesh.Entry)) > largeFleet {
			every *= 2
		}
		timer := time.NewTimer(every)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (f *Front) tellBeat() {
	b := mesh.Beat{Ready: f.IsReady(), Leaving: f.leaving.Load(), Sent: freshness.Now()}
	for _, h := range f.mesh.Known(mesh.Entry) {
		f.mesh.Send(h.Name, mesh.Message{Beat: &b})
	}
}

// IsReady says whether the entry takes callers.
func (f *Front) IsReady() bool {
	if f.leaving.Load() || !f.board.Known() {
		return false
	}
	age, ok := f.board.Age()
	return ok && age < f.config.KeyBound
}

// Addresses returns the callers' doors of the entries that take callers.
func (f *Front) Addresses() []string {
	var addresses []string
	if f.IsReady() {
		addresses = append(addresses, f.config.Self.Public)
	}
	for _, h := range f.mesh.Open() {
		addresses = append(addresses, h.Public)
	}
	return addresses
}

// callersService is the callers' door. It stops first, and slowly: callers keep
// addresses for a while.
func (f *Front) callersService() kernel.Service {
	server := &http.Server{
		IdleTimeout: idleCallers, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 64 << 10,
		Handler: http.HandlerFunc(f.serve), DisableGeneralOptionsHandler: true,
	}
	start := func(context.Context, *kernel.Kernel) (any, error) {
		listener, err := net.Listen("tcp", f.config.Callers)
		if err != nil {
			return nil, errors.Wrapf(err, "cannot listen on %s; free the address or set another", f.config.Callers)
		}
		go func() {
			if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
				f.config.Log.Error().Err(err).Msg("callers' door has ended")
			}
		}()
		return f, nil
	}
	stop := func(ctx context.Context) error {
		until := time.Now().Add(f.config.StopWithin - exitTime)
		f.drain(ctx)
		ctx, cancel := context.WithDeadline(ctx, until)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			f.config.Log.Warn().Err(err).Int64("requests", f.flying.Load()).Msg("requests are cut off; the time to stop is over")
			return server.Close()
		}
		return nil
	}
	return kernel.Service{Name: "callers", Needs: []string{"mesh", "ready", "directory", "board", "messages", "beats"}, Start: start, Stop: stop}
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	f.lastAt.Store(int64(freshness.Now()))
	f.flying.Add(1)
	defer f.flying.Add(-1)
	f.relay.ServeHTTP(w, r)
}

// drain serves on until callers have turned elsewhere.
func (f *Front) drain(ctx context.Context) {
	f.leaving.Store(true)
	f.relay.Leave()
	f.config.Log.Info().Msg("leaving; out of all address answers, serving on until callers have turned elsewhere")
	began := freshness.Now()
	limit := f.config.StopWithin - lastRequests
	for ctx.Err() == nil {
		f.tellBeat()
		time.Sleep(200 * time.Millisecond)
		now := freshness.Now()
		spent := time.Duration(now - began)
		quiet := time.Duration(now - freshness.Instant(f.lastAt.Load()))
		if spent >= f.config.StopWithin-lastStreams {
			f.relay.RefuseStreams()
		}
		if spent >= limit || (spent >= leastStop && quiet >= quietStop && f.flying.Load() == 0) {
			return
		}
	}
}
