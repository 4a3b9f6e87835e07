package storeview_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"camphormill.dev/entryd/storeview"
	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/registry"
	"camphormill.dev/parts/routes"
)

// TestEvacuationOutlivesRestore guards against an entry that sends to an evacuated zone again because the
// store has come back from a copy without the record, which the operator is about to write again.
func TestEvacuationOutlivesRestore(t *testing.T) {
	is := is.New(t)
	var era, offset atomic.Int64
	var zones atomic.Pointer[[]string]
	now := atomic.Pointer[time.Time]{}
	started := time.Now()
	now.Store(&started)
	zones.Store(&[]string{"z"})
	offset.Store(1)
	store := storeview.Store{
		ReadPublished: func(_ context.Context, from int64) (storeview.Published, int64, error) {
			if from == offset.Load() {
				return storeview.Published{}, from, nil
			}
			return storeview.Published{Configuration: []byte("x"), EvacuatedZones: zones.Load()}, offset.Load(), nil
		},
		ParseRoutes: func([]byte) (*routes.Table, error) { return routes.New(routes.Config{Version: 1}), nil },
		ReadTargetRecords: func(_ context.Context, from int64) (storeview.Records, error) {
			return storeview.Records{End: from}, nil
		},
		ListTargets: func(context.Context) ([]registry.Target, int64, error) { return nil, 1, nil },
		Era:         era.Load,
	}
	m, err := mesh.Listen(mesh.Config{Self: mesh.Host{Name: "e", Address: "127.0.0.1:0"}, Now: time.Now, Log: zerolog.Nop()})
	is.NoErr(err)
	view := storeview.New(storeview.Config{
		Store: store, Mesh: m, SteadyClock: freshness.Now, Now: func() time.Time { return *now.Load() }, Log: zerolog.Nop(),
		OnTargetsChanged: func(registry.Registry) {},
	})
	read := func() []string {
		view.Current(t.Context(), 0) // reads the store
		return view.Routes().EvacuatedZones()
	}
	is.Equal(read(), []string{"z"})
	era.Add(1)
	offset.Store(1 << 32) // the restored store's first record
	zones.Store(&[]string{})
	is.Equal(read(), []string{"z"})
	later := started.Add(10 * time.Second) // the operator has not written it again
	now.Store(&later)
	go view.Run(t.Context())
	is.True(eventually(2*time.Second, func() bool { return len(view.Routes().EvacuatedZones()) == 0 }))
}
