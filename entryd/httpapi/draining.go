package httpapi

import (
	"context"
	"net/http"
	"time"

	"camphormill.dev/parts/contract"
)

// drain is the state of a planned stop.
type drain struct {
	started bool
	// cutOff is when the server ends the requests that still run, or zero if it never does.
	cutOff time.Time
}

// outlasts reports whether a request may run for longer than the server.
func (d drain) outlasts(deadline time.Time) bool {
	return d.started && !d.cutOff.IsZero() && deadline.After(d.cutOff)
}

// StartDrain starts a planned stop: every response asks its caller to close the connection, and requests with a deadline
// after cutOff are refused, so that their callers use another address. A zero cutOff means that the server
// waits for every request.
func (s *Server) StartDrain(cutOff time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drain = drain{started: true, cutOff: cutOff}
}

func (s *Server) drainState() drain {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drain
}

// EndRequests ends all requests, each with its final answer. It doesn't wait for the answers.
func (s *Server) EndRequests() {
	s.endRequests(contract.NewFailure(contract.KindLeaving,
		"this entry shut down before the request was complete", "use another address").WithRetryAt(s.config.Now()))
}

// announceDrain asks callers to close their connections while the server drains.
func (s *Server) announceDrain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.drainState().started {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// refuseOutlasting refuses a request that the server may not complete before it stops.
func (s *Server) refuseOutlasting(deadline time.Time) *contract.Failure {
	if !s.drainState().outlasts(deadline) {
		return nil
	}
	return contract.NewFailure(contract.KindLeaving, "this entry may shut down before the request is complete", "use another address").
		WithRetryAt(s.config.Now())
}

// requestContext returns the context of a request, which ends at its deadline, when the caller disconnects, or by
// EndRequests. In the last case its cause is the failure for the caller.
func (s *Server) requestContext(r *http.Request, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	ctx, end := context.WithCancelCause(ctx)
	unlink := context.AfterFunc(s.ending, func() { end(context.Cause(s.ending)) })
	return ctx, func() {
		unlink()
		end(nil)
		cancel()
	}
}
