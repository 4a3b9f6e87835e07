// Package rankagent runs a target daemon beside an engine that is one rank of a lock-step group.
// It reads the engine's state and passes orders to it. The daemon that leads the group also
// assigns requests to ranks and switches the expert map when demand for experts shifts.
package rankagent

import (
	"context"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/routes"
)

// Report is the state that an engine reports. Slowdown is the engine's slowdown factor: 1 is
// normal speed, 2 means that a pass takes twice as long.
type Report struct {
	Group    string // empty when the engine is in no group
	Rank     int
	Size     int // number of ranks in the group
	Open     bool
	View     mapswitch.View
	Queued   int
	Active   int
	Slowdown float64
}

// Layout is the set of experts that one rank holds.
type Layout struct {
	Map     mapswitch.Version
	Experts [][]int // experts by set
}

// Engine is the interface to the engines of a group. An error from Order means that the
// outcome is unknown: the engine may have accepted the order, or may still carry it out.
type Engine struct {
	// Read reads the engine at an address. Only the read of the engine beside this daemon is
	// free of cost.
	Read         func(ctx context.Context, address string) (Report, error)
	ExpertCounts func(ctx context.Context) ([]int64, error) // counts since the engine's start, by set and expert
	Layout       func(ctx context.Context) (Layout, error)
	// Order sends an order to the engine at an address. The layout, by set and rank, is given
	// for a prepare order only.
	Order func(ctx context.Context, address string, o mapswitch.Order, layout [][][]int) (mapswitch.Result, error)
}

// Store is the persistent storage that the daemons share.
type Store struct {
	// ClaimLeadership records that this daemon leads the group and returns a fence above all earlier
	// ones.
	ClaimLeadership func(ctx context.Context, group string) (mapswitch.Fence, error)
	// EngineSettings reads the published settings of the engine's service.
	EngineSettings func(ctx context.Context) (routes.Engine, error)
}
