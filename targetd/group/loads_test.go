package group_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"camphormill.dev/parts/expertmap"
	"camphormill.dev/targetd/group"
)

// TestLoadsInFlightAreBounded guards against requests to an engine that grow with the maps that orders name.
func TestLoadsInFlightAreBounded(t *testing.T) {
	is := is.New(t)
	var loading, most atomic.Int64
	d := group.NewDriver(group.DriverConfig{
		Ranks: []int{0}, Incarnation: "t/1", Window: 4, PollInterval: time.Millisecond, Logger: zerolog.Nop(),
		Engine: group.Engine{
			Completed: func(context.Context, int) (expertmap.Step, error) { return expertmap.NoStep, nil },
			Load: func(ctx context.Context, _ int, _ expertmap.MapID) error {
				most.Store(max(most.Load(), loading.Add(1)))
				<-ctx.Done()
				return ctx.Err()
			},
		},
	})
	go d.Run(t.Context())
	order := expertmap.Order{Kind: expertmap.OrderLoad, Fence: 1, Incarnation: "t/1"}
	var err error
	for i := 0; i < 5000; {
		order.Map = expertmap.MapID(i + 1)
		if _, err = d.Order(t.Context(), 0, order); err == nil {
			i++
		}
	}
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	is.True(most.Load() > 0)
	is.True(most.Load() <= 256)
}
