package kernel_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/kernel"
)

func Example() {
	k := kernel.New()
	k.Register(kernel.Service{
		Name: "door", Needs: []string{"clock"},
		Start: func(_ context.Context, k *kernel.Kernel) (any, error) {
			fmt.Println("door starts with", kernel.Get[string](k, "clock"))
			return nil, nil
		},
		Stop: func(context.Context) error {
			fmt.Println("door stops")
			return nil
		},
	})
	k.Register(kernel.Service{Name: "clock", Start: func(context.Context, *kernel.Kernel) (any, error) { return "a clock", nil }})
	fmt.Println(k.Start(context.Background()))
	fmt.Println(k.Stop(context.Background()))
	// Output:
	// door starts with a clock
	// <nil>
	// door stops
	// <nil>
}

func TestStartNamesFaultyServices(t *testing.T) {
	cases := map[string]struct {
		services []kernel.Service
		want     string
	}{
		"missing": {[]kernel.Service{{Name: "a", Needs: []string{"b"}}}, "a needs b, which is not registered"},
		"circle":  {[]kernel.Service{{Name: "a", Needs: []string{"b"}}, {Name: "b", Needs: []string{"a"}}}, "break the cycle"},
		"twice":   {[]kernel.Service{{Name: "a"}, {Name: "a"}}, "registered twice"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := kernel.New()
			for _, s := range c.services {
				k.Register(s)
			}
			err := k.Start(context.Background())
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // the message states the fault
		})
	}
}

// TestLoopsMayLookUpServicesDuringStart guards against a crash by concurrent map access:
// the goroutines of loops look up values of services while the kernel still starts others.
func TestLoopsMayLookUpServicesDuringStart(t *testing.T) {
	is := is.New(t)
	k := kernel.New()
	const services = 2000
	for i := range services {
		name := fmt.Sprint("value ", i)
		k.Register(kernel.Service{Name: name, Start: func(context.Context, *kernel.Kernel) (any, error) { return i, nil }})
		if i < 4 {
			k.Register(kernel.Loop(fmt.Sprint("loop ", i), []string{name}, func(ctx context.Context, k *kernel.Kernel) {
				for ctx.Err() == nil {
					kernel.Get[int](k, name)
				}
			}))
		}
	}
	is.NoErr(k.Start(context.Background()))
	is.NoErr(k.Stop(context.Background()))
}
