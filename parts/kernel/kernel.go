// Package kernel starts and stops the services of a daemon. Each service registers
// under a name with the names of the services that it depends on. The kernel
// starts services after their dependencies and stops them in reverse order.
package kernel

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"
)

// Service is one part of a daemon.
type Service struct {
	Name string
	// Needs holds the names of the services to start before this one.
	Needs []string
	// Start starts the service and returns the value that other services find
	// under its name. It may be nil; the value is then nil.
	Start func(ctx context.Context, k *Kernel) (any, error)
	// Stop stops the service. It may be nil.
	Stop func(ctx context.Context) error
}

// Kernel holds the services of one process. Register, Start and Stop must be called
// from one goroutine. Get and Find are safe for concurrent use, since a running
// service may look up others while the kernel still starts the rest.
type Kernel struct {
	services map[string]Service
	order    []string  // names in the order of registration
	started  []Service // in the order of their start

	mu     sync.RWMutex
	values map[string]any // of started services, by name
}

func (k *Kernel) value(name string) (any, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	value, ok := k.values[name]
	return value, ok
}

func (k *Kernel) setValue(name string, value any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.values[name] = value
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{services: map[string]Service{}, values: map[string]any{}}
}

// Register adds a service. If a name is registered twice, Start returns an error.
func (k *Kernel) Register(s Service) {
	k.order = append(k.order, s.Name)
	k.services[s.Name] = s
}

// Start starts all services, each after its dependencies. If one fails, Start stops
// those already started and returns the error. Services such as Loop keep ctx, so it
// must not end before Stop.
func (k *Kernel) Start(ctx context.Context) error {
	if len(k.order) != len(k.services) {
		return errors.New("kernel: a service name is registered twice; give each service its own name")
	}
	visiting := map[string]bool{}
	for _, name := range k.order {
		if err := k.start(ctx, name, "", visiting); err != nil {
			return errors.Wrap(withStopError(err, k.Stop(ctx)), "kernel")
		}
	}
	return nil
}

// withStopError adds the error of stopping, if there is one, to the error of
// starting.
func withStopError(err, stopErr error) error {
	if stopErr == nil {
		return err
	}
	return errors.Wrap(err, "while stopping: "+stopErr.Error())
}

// start starts a service after its dependencies. visiting holds the names of all
// services whose start has begun. A service that is in visiting but has no value yet
// depends on itself. neededBy is the service that needs this one, or empty.
func (k *Kernel) start(ctx context.Context, name, neededBy string, visiting map[string]bool) error {
	if _, done := k.value(name); done {
		return nil
	}
	s, ok := k.services[name]
	if !ok {
		return errors.Errorf("service %s needs %s, which is not registered; register %s", neededBy, name, name)
	}
	if visiting[name] {
		return errors.Errorf("service %s depends on itself through %s; break the cycle", name, neededBy)
	}
	visiting[name] = true
	for _, need := range s.Needs {
		if err := k.start(ctx, need, name, visiting); err != nil {
			return err
		}
	}
	var value any
	if s.Start != nil {
		var err error
		if value, err = s.Start(ctx, k); err != nil {
			return errors.Wrapf(err, "service %s did not start", name)
		}
	}
	k.setValue(name, value)
	k.started = append(k.started, s)
	return nil
}

// Stop stops the started services in reverse order. It stops all of them and
// returns the first error.
func (k *Kernel) Stop(ctx context.Context) error {
	var first error
	for i := len(k.started) - 1; i >= 0; i-- {
		s := k.started[i]
		if s.Stop == nil {
			continue
		}
		if err := s.Stop(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "service %s did not stop", s.Name)
		}
	}
	k.started = nil
	return first
}

// Get returns the value of a started service by name. It panics if the service is
// not started or its value is not a T, since that is a programming error.
func Get[T any](k *Kernel, name string) T {
	stored, _ := k.value(name)
	value, ok := stored.(T)
	if !ok {
		panic(fmt.Sprintf("kernel: the value of service %s is of type %T; add it to Needs or correct the type", name, stored))
	}
	return value
}

// Find returns the value of a service by name, and false if the service is not
// started or its value is not a T.
func Find[T any](k *Kernel, name string) (T, bool) {
	stored, _ := k.value(name)
	value, ok := stored.(T)
	return value, ok
}
