// Package kernel starts and stops the services of a daemon. Services register
// under a name together with the names they need; the kernel starts them in
// that order and stops them in reverse.
package kernel

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"
)

// Service is one part of a daemon.
type Service struct {
	Name  string
	Needs []string
	// Start returns the value that other services find by name. Nil Start is
	// a service without a value.
	Start func(ctx context.Context, k *Kernel) (any, error)
	// Stop ends the service; it may be nil.
	Stop func(ctx context.Context) error
}

// Kernel holds the services of one process. Register, Start and Stop are for one
// goroutine; Get and Find are safe for concurrent use, since services that run
// already may look for others while the kernel still starts the rest.
type Kernel struct {
	services map[string]Service
	order    []string
	started  []Service

	mu     sync.RWMutex
	values map[string]any
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

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: map[string]Service{}, values: map[string]any{}}
}

// Register adds a service. Registering a name twice is an error at Start.
func (k *Kernel) Register(s Service) {
	k.order = append(k.order, s.Name)
	k.services[s.Name] = s
}

// Start starts every service after those it needs. On an error the services
// already started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	if len(k.order) != len(k.services) {
		return errors.New("kernel: a service name is registered twice; give each service its own name")
	}
	visiting := map[string]bool{}
	for _, name := range k.order {
		if err := k.start(ctx, name, "", visiting); err != nil {
			return errors.Wrap(joinStop(err, k.Stop(ctx)), "kernel")
		}
	}
	return nil
}

func joinStop(err, stopErr error) error {
	if stopErr == nil {
		return err
	}
	return errors.Wrap(err, "while stopping: "+stopErr.Error())
}

func (k *Kernel) start(ctx context.Context, name, neededBy string, visiting map[string]bool) error {
	if _, done := k.value(name); done {
		return nil
	}
	s, ok := k.services[name]
	if !ok {
		return errors.Errorf("service %s needs %s, which is not registered; register %s", neededBy, name, name)
	}
	if visiting[name] {
		return errors.Errorf("service %s needs itself through %s; break the circle", name, neededBy)
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

// Stop stops the started services in reverse order and returns the first error.
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

// Get finds the value of a started service by name. It panics with the names
// involved when the service is missing or of another type, which is a mistake
// of the program, never of its input.
func Get[T any](k *Kernel, name string) T {
	found, _ := k.value(name)
	value, ok := found.(T)
	if !ok {
		panic(fmt.Sprintf("kernel: service %s is %T here; add it to Needs", name, found))
	}
	return value
}

// Find is Get for a service that may have no value.
func Find[T any](k *Kernel, name string) (T, bool) {
	found, _ := k.value(name)
	value, ok := found.(T)
	return value, ok
}
