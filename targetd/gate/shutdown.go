package gate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/daemon"
	"camphormill.dev/parts/link"
)

// drainGracePeriod is the time for which the links stay open after the last answer. An entry
// that has not yet received the notice of the shutdown may still send a call, and must get a refusal
// instead of a lost connection.
const drainGracePeriod = 3 * time.Second

// MinStopTimeout is the shortest stop timeout with which an idle target keeps its links open for long enough.
const MinStopTimeout = drainGracePeriod + daemon.StopReserve

// Shutdown shuts a target daemon down gracefully: it refuses new calls, waits for those in flight,
// and closes the links after drainGracePeriod. When only daemon.StopReserve is left until the deadline of ctx, it
// ends the calls that still run, sends their answers, and returns an error.
func Shutdown(ctx context.Context, g *Gate, s *link.Server) error {
	defer s.Close()
	work, cancel := daemon.WithStopReserve(ctx)
	defer cancel()
	idle := g.Drain()
	s.NotifyAll(work, contract.MethodLeaving, nil)
	select {
	case <-idle:
	case <-work.Done():
		return endRuns(ctx, g, s)
	}
	timer := time.NewTimer(drainGracePeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-work.Done():
	}
	return s.Drain(ctx)
}

// endRuns ends the calls that still run, and returns when their answers have been sent or ctx ends.
func endRuns(ctx context.Context, g *Gate, s *link.Server) error {
	running := g.Load().Running
	g.EndRuns()
	if err := s.Drain(ctx); err != nil {
		return errors.Wrap(err, "calls in flight have got no answers")
	}
	return errors.Errorf("%d calls in flight did not end before the stop timeout; raise stop_within", running)
}
