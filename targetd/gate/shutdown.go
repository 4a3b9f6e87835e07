package gate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
)

// drainGracePeriod is the time for which the links stay open after the last answer. An entry
// that has not yet received the notice of the shutdown may still send a call, and must get a refusal
// instead of a lost connection.
const drainGracePeriod = 3 * time.Second

// Shutdown shuts a target daemon down gracefully: it refuses new calls, waits for those in flight,
// and closes the links after drainGracePeriod. If ctx ends first, it closes the links at once and
// returns an error.
func Shutdown(ctx context.Context, g *Gate, s *link.Server) error {
	defer s.Close()
	idle := g.Drain()
	s.NotifyAll(ctx, contract.MethodLeaving, nil)
	select {
	case <-idle:
	case <-ctx.Done():
		return errors.New("calls in flight did not end before the stop timeout; raise the stop timeout")
	}
	timer := time.NewTimer(drainGracePeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.Drain(ctx)
}
