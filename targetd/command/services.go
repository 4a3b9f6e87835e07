package command

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/daemon"
	"camphormill.dev/parts/kernel"
	"camphormill.dev/parts/link"
	"camphormill.dev/parts/preset"
	"camphormill.dev/parts/randomname"
	"camphormill.dev/parts/reservation"
	"camphormill.dev/parts/settings"
	"camphormill.dev/targetd/engine"
	"camphormill.dev/targetd/gate"
	"camphormill.dev/targetd/group"
	"camphormill.dev/targetd/service"
)

// Names of the kernel services.
const (
	serviceMetrics         = "metrics"
	serviceReadiness       = "readiness"
	serviceOperations      = "operations"
	serviceConfiguration   = "configuration"
	serviceGate            = "gate"
	serviceLink            = "link"
	serviceDrain           = "drain"
	serviceGroup           = "group"
	serviceCoordinator     = "leader"
	serviceDriverLoop      = "driving"
	serviceCoordinatorLoop = "leading"
	servicePlannerLoop     = "planning"
)

// answerShare is the share of the memory for the answers of reserved calls, which are kept for as long as the reservations
// are valid.
const answerShare = 0.2

// newKernel returns a kernel with the services of targetd.
func newKernel(s Settings, log zerolog.Logger) *kernel.Kernel {
	k := kernel.New()
	budget, shares := bytebudget.ForProcess(s.MemoryMB), daemon.NewShares(s.MaxDescriptors, s.MemoryMB)
	k.Register(valueService(serviceMetrics, metrics.NewSet()))
	k.Register(valueService(serviceReadiness, daemon.NewReadiness("starting")))
	k.Register(valueService(serviceConfiguration, preset.NewStore()))
	k.Register(daemon.HTTPService(serviceOperations, s.OperationsAddress, []string{serviceMetrics, serviceReadiness}, daemon.Limits{Connections: shares.Operations, Budget: budget}, newOperationsHandler))
	k.Register(gateService(s))
	registerGroup(k, s.Group, daemon.PartLogger(log, serviceGroup))
	k.Register(linkService(s, link.Limits{Connections: shares.Callers, Budget: budget}, daemon.PartLogger(log, serviceLink)))
	k.Register(drainService(daemon.PartLogger(log, serviceDrain)))
	return k
}

// valueService returns a kernel service whose value is v.
func valueService(name string, v any) kernel.Service {
	return kernel.Service{Name: name, Start: func(context.Context, *kernel.Kernel) (any, error) { return v, nil }}
}

func newOperationsHandler(k *kernel.Kernel) http.Handler {
	return daemon.NewOperationsRouter(kernel.Get[*metrics.Set](k, serviceMetrics), kernel.Get[*daemon.Readiness](k, serviceReadiness))
}

func gateService(s Settings) kernel.Service {
	start := func(_ context.Context, k *kernel.Kernel) (any, error) {
		store := kernel.Get[*preset.Store](k, serviceConfiguration)
		incarnation := randomname.New()
		g := gate.New(gate.Config{
			Target:      s.Name,
			Incarnation: incarnation,
			Kind:        s.Kind,
			ServiceName: s.ServiceName,
			Version:     s.Version,
			Capacity:    s.Capacity,
			Signer:      reservation.Signer{Keys: settings.DecodeKeys(s.ReservationKeys)},
			Ledger: reservation.NewLedger(reservation.LedgerConfig{
				Target: s.Name, Incarnation: incarnation,
				Capacity: s.MaxReservations, MaxAhead: time.Duration(s.MaxReservationWindow),
				MaxAnswerBytes: int(answerShare * s.MemoryMB * (1 << 20)),
			}),
			Work:   withWorkMetrics(s, kernel.Get[*metrics.Set](k, serviceMetrics), newWork(s)),
			Now:    time.Now,
			Weight: func(organisation string) float64 { return store.ActivePreset().Organisation(organisation).Weight },
		})
		return g, nil
	}
	return kernel.Service{Name: serviceGate, Needs: []string{serviceConfiguration, serviceMetrics}, Start: start}
}

// newWork returns the function that runs calls on the target's engine or service.
func newWork(s Settings) gate.Work {
	if s.Kind == contract.WorkDraft {
		return engine.New(s.Backend).Work
	}
	return service.New(s.Backend).Work
}

// withWorkMetrics returns work with a histogram of the duration of calls by kind, class and
// outcome.
func withWorkMetrics(s Settings, set *metrics.Set, work gate.Work) gate.Work {
	return func(ctx context.Context, call contract.Call, emit func(token string)) contract.Answer {
		start := time.Now()
		answer := work(ctx, call, emit)
		name := `camphormill_work_seconds{kind="` + string(s.Kind) + `",class="` + string(call.Class) + `",outcome="` + string(answer.Outcome) + `"}`
		set.GetOrCreateHistogram(name).UpdateDuration(start)
		return answer
	}
}

func linkService(s Settings, limits link.Limits, log zerolog.Logger) kernel.Service {
	server := &link.Server{Limits: limits, Log: log}
	start := func(_ context.Context, k *kernel.Kernel) (any, error) {
		listener, err := net.Listen("tcp", s.LinkAddress)
		if err != nil {
			return nil, errors.Wrapf(err, "cannot listen on %s; free the address or set another", s.LinkAddress)
		}
		store := kernel.Get[*preset.Store](k, serviceConfiguration)
		server.Methods = kernel.Get[*gate.Gate](k, serviceGate).Methods(s.Zone, gate.ConfigurationSync{
			Offset:         store.Offset,
			OnNewerVersion: fetchConfiguration(store, log),
		})
		if d, ok := kernel.Find[*group.Driver](k, serviceGroup); ok {
			// The context must outlive the order, because loading continues after the answer.
			maps.Copy(server.Methods, d.Methods(context.Background()))
		}
		daemon.ObserveLink(kernel.Get[*metrics.Set](k, serviceMetrics), server, limits.Budget)
		go server.Serve(listener)
		return server, nil
	}
	stop := func(context.Context) error {
		server.Close() // needed only if targetd failed to start; otherwise drainService has closed the server
		return nil
	}
	return kernel.Service{Name: serviceLink, Needs: []string{serviceMetrics, serviceGate, serviceConfiguration, serviceGroup}, Start: start, Stop: stop}
}

// fetchTimeout bounds the fetch of a configuration from an entry.
const fetchTimeout = 2 * time.Second

// fetchConfiguration returns a function that fetches a newer configuration from the entry that
// announced it. offset is that of the configuration in use. A call while another fetch runs
// does nothing.
func fetchConfiguration(store *preset.Store, log zerolog.Logger) func(peer *link.Conn, offset int64) {
	var fetching atomic.Bool
	return func(peer *link.Conn, offset int64) {
		if !fetching.CompareAndSwap(false, true) {
			return // all entries announce a change at once, and one answer is enough
		}
		defer fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		var update preset.Update
		if err := peer.Call(ctx, contract.MethodConfiguration, contract.ConfigurationRequest{Since: offset}, &update); err != nil {
			log.Warn().Err(err).Msg("fetching the configuration failed; retrying after the next heartbeat")
			return
		}
		store.Merge(update)
	}
}

// drainService returns the service that drains the target. It starts last and so stops first,
// while the other services still run the calls in flight.
func drainService(log zerolog.Logger) kernel.Service {
	var g *gate.Gate
	var server *link.Server
	var readiness *daemon.Readiness
	start := func(_ context.Context, k *kernel.Kernel) (any, error) {
		g = kernel.Get[*gate.Gate](k, serviceGate)
		server = kernel.Get[*link.Server](k, serviceLink)
		readiness = kernel.Get[*daemon.Readiness](k, serviceReadiness)
		readiness.Ready()
		return nil, nil
	}
	stop := func(ctx context.Context) error {
		readiness.NotReady("leaving")
		log.Info().Int("in_flight", g.Load().Running).Msg("draining; refusing new calls")
		return gate.Shutdown(ctx, g, server)
	}
	return kernel.Service{Name: serviceDrain, Needs: []string{serviceGate, serviceLink, serviceReadiness, serviceOperations}, Start: start, Stop: stop}
}
