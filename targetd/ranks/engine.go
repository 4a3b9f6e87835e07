// Package ranks is the target daemon's work beside an engine that is one rank of
// a lock-step group: it reads its own engine, gives it its orders, and, while it
// leads the group, gives requests their places and changes the expert map as
// demand drifts.
package ranks

import (
	"context"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/routes"
)

// Report is what an engine says of itself.
type Report struct {
	Group  string // empty when it is in none
	Rank   int
	Size   int // ranks of the group
	Open   bool
	View   mapswitch.View
	Queued int
	Active int
	Pace   float64
}

// Layout is what a rank holds.
type Layout struct {
	Map  mapswitch.Version
	Held [][]int // experts by set
}

// Engine is how engines are read and ordered. Errors of Order mean that the
// order may have been accepted, or may be carried out later.
type Engine struct {
	// Read reads the engine at an address; engines are free to read only for
	// the daemon beside them.
	Read    func(ctx context.Context, address string) (Report, error)
	Choices func(ctx context.Context) ([]int64, error) // since the start, by set and expert
	Layout  func(ctx context.Context) (Layout, error)
	// Order goes to the engine at an address; layout is that of a prepare.
	Order func(ctx context.Context, address string, o mapswitch.Order, layout [][][]int) (mapswitch.Result, error)
}

// Store is what lasts beyond this process.
type Store struct {
	// Claim records that this daemon leads the group and returns a fence above
	// all earlier ones.
	Claim func(ctx context.Context, group string) (mapswitch.Fence, error)
	// Shape reads what operators publish of the engine's service.
	Shape func(ctx context.Context) (routes.Engine, error)
}
