// Package group keeps the ranks of one host in step with their group: it grants
// their engine permits under the expert map in force, answers the coordinator's
// orders, and coordinates itself while it holds the group's lease.
package group

import (
	"context"

	"camphormill.dev/parts/expertmap"
)

// Engine is the engine of the ranks of this host. It takes orders only from its
// own targetd, so that one that ignores fencing numbers is no danger.
type Engine struct {
	// Completed returns the last step that the rank has completed.
	Completed func(ctx context.Context, rank int) (expertmap.Step, error)
	// Grant lets the rank run steps. Granting the same again is harmless.
	Grant func(ctx context.Context, rank int, permits []expertmap.Permit) error
	// Load fetches the weights that the rank needs under the map and returns
	// once they are there.
	Load func(ctx context.Context, rank int, m expertmap.MapID) error
	// Loads returns the load of experts, in tokens a second, by layer.
	Loads func(ctx context.Context) ([][]float64, error)
}
