package group

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/placement"
	"camphormill.dev/parts/platform"
)

// Layout is the layout of one expert map: for each layer, the experts that each
// rank holds.
type Layout []placement.Layout

// PlannerConfig is what a Planner is built from.
type PlannerConfig struct {
	Group string
	Ranks int
	Slots int // experts of a layer that a rank can hold
	Every time.Duration
	Log   platform.Log
	// Leads says whether this process leads the group now.
	Leads func() bool
	// Loads returns what the engine saw: tokens a second by layer and expert.
	Loads func(ctx context.Context) ([][]float64, error)
	// Current returns the layout of the newest map, or nil.
	Current func() Layout
	// Weights are those of the preset in force.
	Weights func() placement.Weights
	Logger  zerolog.Logger
}

// Planner publishes a new expert map when it is worth what it moves.
type Planner struct {
	config    PlannerConfig
	forecasts []placement.Forecast
}

// NewPlanner returns a planner; Run does its work.
func NewPlanner(c PlannerConfig) *Planner {
	return &Planner{config: c}
}

// Run plans again and again until ctx ends, while this process leads.
func (p *Planner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, p.config.Every)
		if !p.config.Leads() {
			p.forecasts = nil
			continue
		}
		if err := p.plan(ctx); err != nil && ctx.Err() == nil {
			p.config.Logger.Warn().Err(err).Msg("no plan made; the map in force stays")
		}
	}
}

func (p *Planner) plan(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	loads, err := p.config.Loads(ctx)
	if err != nil {
		return err
	}
	if len(p.forecasts) != len(loads) {
		p.forecasts = make([]placement.Forecast, len(loads))
	}
	next, moved := p.improve(loads, p.config.Current())
	if moved == 0 {
		return nil
	}
	return p.publish(ctx, next, moved)
}

// improve plans each layer by itself. A group without a layout gets one.
func (p *Planner) improve(loads [][]float64, current Layout) (Layout, int) {
	next := make(Layout, len(loads))
	moved := 0
	for layer, observed := range loads {
		p.forecasts[layer] = p.forecasts[layer].With(observed)
		problem := placement.Problem{Loads: p.forecasts[layer].Next(), Slots: p.config.Slots, Ranks: p.config.Ranks}
		if len(current) != len(loads) {
			next[layer] = placement.FromScratch(problem)
			moved += p.config.Ranks * p.config.Slots
			continue
		}
		plan := placement.Improve(problem, current[layer], p.config.Weights())
		next[layer] = plan.Layout
		moved += plan.Moved
	}
	return next, moved
}

func (p *Planner) publish(ctx context.Context, l Layout, moved int) error {
	layout, err := json.Marshal(l)
	if err != nil {
		return err
	}
	data, err := json.Marshal(Map{Group: p.config.Group, Layout: layout})
	if err != nil {
		return err
	}
	offset, err := p.config.Log.Append(ctx, platform.StreamMaps, data)
	if err != nil {
		return err
	}
	p.config.Logger.Info().Int64("map", offset).Int("experts_moved", moved).Msg("expert map published")
	return nil
}
