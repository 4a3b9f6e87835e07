package kernel

import "context"

// Loop returns a service that calls run in a goroutine. Stop cancels the context of
// run and waits until run returns or the context of Stop ends.
func Loop(name string, needs []string, run func(ctx context.Context, k *Kernel)) Service {
	var cancel context.CancelFunc
	done := make(chan struct{})
	start := func(ctx context.Context, k *Kernel) (any, error) {
		ctx, cancel = context.WithCancel(ctx)
		go func() {
			defer close(done)
			run(ctx, k)
		}()
		return nil, nil
	}
	stop := func(ctx context.Context) error {
		cancel()
		select {
		case <-done:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return Service{Name: name, Needs: needs, Start: start, Stop: stop}
}
