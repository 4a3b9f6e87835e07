package gate

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
)

// closeDelay is how long the links stay up after the last answer. An entry that
// has not yet heard that the target leaves may send a call, which must meet the
// gate's refusal and not a lost link.
const closeDelay = 3 * time.Second

// Stop ends a target daemon gracefully: it refuses new work, waits for what is in
// flight, and closes the links once every entry must know.
func Stop(ctx context.Context, g *Gate, s *link.Server) error {
	defer s.Close()
	idle := g.Leave()
	s.NotifyAll(ctx, contract.MethodLeaving, nil)
	select {
	case <-idle:
	case <-ctx.Done():
		return errors.New("work in flight did not end in time; raise the stop timeout")
	}
	timer := time.NewTimer(closeDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.Drain(ctx)
}
