// Package group keeps the ranks of one host in step with their lock-step group. It grants the
// engine permits to run steps, each under one expert map, and carries out the coordinator's
// orders. The process that holds the group's lease is the coordinator, and publishes new expert
// maps.
package group

import (
	"context"

	"camphormill.dev/parts/expertmap"
)

// Engine is the interface to the engine of this host's ranks. The engine need not check fencing
// tokens, because it accepts calls only from the target daemon beside it, which checks them.
type Engine struct {
	// Completed returns the last step that the rank has completed, expertmap.NoStep if none.
	Completed func(ctx context.Context, rank int) (expertmap.Step, error)
	// Grant permits the rank to run steps. Repeating it has no further effect.
	Grant func(ctx context.Context, rank int, permits []expertmap.Permit) error
	// Load fetches the weights that the rank needs under the map and returns once they are
	// loaded.
	Load func(ctx context.Context, rank int, m expertmap.MapID) error
	// Loads returns the measured load in tokens per second, by layer and expert.
	Loads func(ctx context.Context) ([][]float64, error)
}
