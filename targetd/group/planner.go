package group

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"

	"camphormill.dev/parts/placement"
	"camphormill.dev/parts/platform"
)

// Layout is the layout of one expert map: for each layer, the experts on each rank.
type Layout []placement.Layout

// PlannerConfig configures a Planner.
type PlannerConfig struct {
	Group        string
	Ranks        int
	Slots        int // number of experts of a layer that fit on a rank
	PlanInterval time.Duration
	PlatformLog  platform.Log
	// Leads returns whether this process leads the group. Only the leader plans.
	Leads func() bool
	// Loads returns the load of experts that the engine measured, in tokens per second, by
	// layer and expert.
	Loads func(ctx context.Context) ([][]float64, error)
	// CurrentLayout returns the layout of the newest map, or nil if there is none.
	CurrentLayout func() Layout
	// Weights returns how the active preset weighs skew against the transfer of experts. These
	// are not the weights of the model.
	Weights func() placement.Weights
	Logger  zerolog.Logger
}

// Planner publishes a new expert map when the reduction of skew (the ratio of the step time of
// the slowest rank to the mean) is worth the cost of moving experts.
type Planner struct {
	config    PlannerConfig
	forecasts []placement.Forecast // of the loads, by layer; nil while this process does not lead
}

// NewPlanner returns a planner. Call Run to start it.
func NewPlanner(c PlannerConfig) *Planner {
	return &Planner{config: c}
}

// Run makes a plan at each interval while this process leads, until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, p.config.PlanInterval)
		if !p.config.Leads() {
			p.forecasts = nil
			continue
		}
		if err := p.plan(ctx); err != nil && ctx.Err() == nil {
			p.config.Logger.Warn().Err(err).Msg("planning the expert map failed; the current map stays")
		}
	}
}

// plan makes a plan and publishes it, unless no rank would have to fetch an expert for it.
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
	next, fetchedExperts := p.planLayers(loads, p.config.CurrentLayout())
	if fetchedExperts == 0 {
		return nil
	}
	return p.publish(ctx, next, fetchedExperts)
}

// planLayers plans each layer on its own and returns the layout and the number of experts that
// ranks must fetch for it. A group without a layout for this number of layers gets an initial
// one, for which ranks fetch an expert into every slot.
func (p *Planner) planLayers(loads [][]float64, current Layout) (Layout, int) {
	next := make(Layout, len(loads))
	fetchedExperts := 0
	for layer, observed := range loads {
		p.forecasts[layer] = p.forecasts[layer].With(observed)
		problem := placement.Problem{Loads: p.forecasts[layer].Next(), ExpertSlots: p.config.Slots, Ranks: p.config.Ranks}
		if len(current) != len(loads) {
			next[layer] = placement.PackReplicas(problem)
			fetchedExperts += p.config.Ranks * p.config.Slots
			continue
		}
		plan := placement.Improve(problem, current[layer], p.config.Weights())
		next[layer] = plan.Layout
		fetchedExperts += plan.Fetched
	}
	return next, fetchedExperts
}

func (p *Planner) publish(ctx context.Context, l Layout, fetchedExperts int) error {
	layout, err := json.Marshal(l)
	if err != nil {
		return err
	}
	data, err := json.Marshal(MapRecord{Group: p.config.Group, Layout: layout})
	if err != nil {
		return err
	}
	offset, err := p.config.PlatformLog.Append(ctx, platform.StreamMaps, data)
	if err != nil {
		return err
	}
	p.config.Logger.Info().Int64("map", offset).Int("experts_moved", fetchedExperts).Msg("expert map published")
	return nil
}
