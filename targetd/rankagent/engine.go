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
// normal speed, 2 means that a pass takes twice as long. Queued and Active are numbers of
// requests.
type Report struct {
	Group    string // empty when the engine is in no group
	Rank     int
	Size     int  // number of ranks in the group
	Open     bool // the group accepts requests
	View     mapswitch.View
	Queued   int
	Active   int
	Slowdown float64
}

// Layout is the experts that one rank holds under a map. The layers of the model form sets, each
// with its own layout of experts.
type Layout struct {
	Map     mapswitch.Version
	Experts [][]int // experts held, by set of layers
}

// Engine is the interface to the engines of a group. An error from Order means that the
// outcome is unknown: the engine may have accepted the order, or may still carry it out.
type Engine struct {
	// Read reads the engine at an address. Only the read of the engine beside this daemon is
	// free of cost.
	Read func(ctx context.Context, address string) (Report, error)
	// ExpertCounts returns how often each expert was chosen at the engine beside this daemon
	// since that engine's start, by set and expert in one slice.
	ExpertCounts func(ctx context.Context) ([]int64, error)
	// Layout returns the experts of the rank of the engine beside this daemon.
	Layout func(ctx context.Context) (Layout, error)
	// Order sends an order to the engine at an address. The layout holds the experts by set and
	// rank, and is given for a prepare order only.
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
