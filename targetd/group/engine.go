// Package group keeps the ranks of one host in step with their lock-step group. It grants
// their engine permits under the current expert map and answers the coordinator's orders. The
// process that holds the group's lease is the coordinator, and publishes new expert maps.
package group

import (
	"context"

	"camphormill.dev/parts/expertmap"
)

// Engine is the interface to the engine of this host's ranks. An engine accepts orders only
// from its own targetd, so one that does not check fencing tokens is safe to use.
type Engine struct {
	// Completed returns the last step that the rank has completed.
	Completed func(ctx context.Context, rank int) (expertmap.Step, error)
	// Grant permits the rank to run steps. It is idempotent.
	Grant func(ctx context.Context, rank int, permits []expertmap.Permit) error
	// Load fetches the weights that the rank needs under the map and returns once they are
	// loaded.
	Load func(ctx context.Context, rank int, m expertmap.MapID) error
	// Loads returns the load of each expert by layer, in tokens per second.
	Loads func(ctx context.Context) ([][]float64, error)
}
