// Package daemon holds what the processes of all daemons share: the command line,
// the logger, the operations interface (/metrics, /healthz, /readyz) and graceful
// shutdown on a signal.
package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/kernel"
	"camphormill.dev/parts/link"
)

// headerTimeout bounds the time that a client takes to send its headers.
const headerTimeout = 5 * time.Second

// idleTimeout is the time after which an idle connection is closed.
const idleTimeout = time.Minute

const (
	// DefaultStopTimeout bounds a graceful shutdown, which waits for the requests in flight.
	DefaultStopTimeout = 10 * time.Minute
	// StopReserve is the part of the stop time that is left when a daemon ends the requests that still run: for
	// their answers, and for the end of the process.
	StopReserve = time.Second
	// closeReserve is the part of the stop time that an HTTP service leaves to the services that stop after it.
	closeReserve = 100 * time.Millisecond
)

// NewLogger returns a logger for the daemon with the name. level is debug, info,
// warn or error. Each part of the daemon logs through its own logger: see PartLogger.
func NewLogger(w io.Writer, level, name string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), errors.Errorf("log level %q is not known; write debug, info, warn or error", level)
	}
	return zerolog.New(w).Level(parsed).Hook(timestamp{}).With().Str("daemon", name).Logger(), nil
}

// timeFormat has milliseconds, because the log lines of one request are only
// milliseconds apart.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// timestamp is a hook that adds the time in UTC to each log line.
type timestamp struct{}

// Run adds the field time.
func (timestamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format(timeFormat))
}

// PartLogger returns the logger of one part of a daemon.
func PartLogger(l zerolog.Logger, part string) zerolog.Logger {
	return l.With().Str("part", part).Logger()
}

// Readiness records whether a daemon accepts new work. It is safe for concurrent
// use.
type Readiness struct {
	reason atomic.Pointer[string] // nil when ready
}

// NewReadiness returns a Readiness that is not ready for the reason.
func NewReadiness(reason string) *Readiness {
	r := &Readiness{}
	r.NotReady(reason)
	return r
}

// Ready marks the daemon ready.
func (r *Readiness) Ready() {
	r.reason.Store(nil)
}

// NotReady marks the daemon not ready for the reason.
func (r *Readiness) NotReady(reason string) {
	r.reason.Store(&reason)
}

// Reason returns why the daemon is not ready, or an empty string when it is ready.
func (r *Readiness) Reason() string {
	if reason := r.reason.Load(); reason != nil {
		return *reason
	}
	return ""
}

// NewOperationsRouter returns a router that serves /metrics, /healthz and /readyz,
// and adds the gauges of links and log lines to set.
func NewOperationsRouter(set *metrics.Set, r *Readiness) chi.Router {
	set.NewGauge(`camphormill_link_bytes{direction="sent"}`, func() float64 { return float64(link.BytesSent()) })
	set.NewGauge(`camphormill_link_bytes{direction="received"}`, func() float64 { return float64(link.BytesReceived()) })
	set.NewGauge(`camphormill_log_lines_dropped`, func() float64 { return float64(droppedLines.Load()) })
	router := chi.NewRouter()
	router.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	router.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := r.Reason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	return router
}

// HTTPService returns a kernel service that serves the handler on an address. The
// value of the service is the *Server. Its Stop waits for the requests in flight
// until closeReserve before the deadline of its context, and then cuts them off.
func HTTPService(name, address string, needs []string, limits Limits, handler func(k *kernel.Kernel) http.Handler) kernel.Service {
	server := NewServer(&http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 32 << 10}, limits)
	start := func(_ context.Context, k *kernel.Kernel) (any, error) {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Wrapf(err, "cannot listen on %s; free the address or set another", address)
		}
		h := handler(k)
		go func() { _ = server.Serve(listener, h) }()
		return server, nil
	}
	stop := func(ctx context.Context) error {
		if deadline, ok := ctx.Deadline(); ok {
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(ctx, deadline.Add(-closeReserve))
			defer cancel()
		}
		if server.Stop(ctx) != nil { // the time is over
			return server.Close()
		}
		return nil
	}
	return kernel.Service{Name: name, Needs: needs, Start: start, Stop: stop}
}

// WithStopReserve returns a context that ends StopReserve before the deadline of ctx, or with ctx if that has no
// deadline.
func WithStopReserve(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-StopReserve))
}

// Run starts the kernel, waits for SIGTERM, SIGINT or the end of ctx, and stops the
// kernel within the timeout.
func Run(ctx context.Context, k *kernel.Kernel, l zerolog.Logger, stopTimeout time.Duration) error {
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	// The signal must not cancel the context of the services: k.Stop stops them.
	if err := k.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	l.Info().Msg("started")
	<-ctx.Done()
	l.Info().Msg("stopping after the work in flight has finished")
	startedAt := time.Now()
	stopCtx, cancelStop := context.WithDeadline(context.Background(), startedAt.Add(stopTimeout))
	defer cancelStop()
	err := k.Stop(stopCtx)
	l.Info().Dur("took", time.Since(startedAt)).Msg("stopped")
	return err
}
