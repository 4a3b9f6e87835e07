package relay

import (
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/routes"
)

// refusal is an error response of the relay itself.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // 0 if a later attempt would not help
}

// admit checks the routes' freshness, the route and the key, chooses the service, sets the
// deadline and reads the body. It returns nil if the request may be forwarded.
func (rl *Relay) admit(c *call) *refusal {
	if !rl.config.View.Loaded() {
		return &refusal{http.StatusServiceUnavailable, "not_ready", defaultRetryAfter}
	}
	if !rl.config.View.Current(c.request.Context(), rl.config.MaxProofAge) {
		return &refusal{http.StatusServiceUnavailable, "routes_not_current", defaultRetryAfter}
	}
	table := rl.config.View.Routes()
	c.limits, c.routesVersion = table.Limits(), table.Version()
	route, ok := table.Match(c.request.Host, c.request.URL.Path)
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	c.route = route
	c.outcome.Route = route.Name
	if table.NeedsKey() && !route.Anonymous {
		if c.organisation, ok = table.Organisation(c.info.Key); !ok {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
	}
	c.outcome.Organisation = c.organisation.Name
	priority := c.organisation.PriorityOf(route)
	c.priority = &priority
	name := route.Pick(rand.Float64())
	if c.service, ok = table.Service(name); !ok {
		return &refusal{http.StatusServiceUnavailable, "no_service", defaultRetryAfter}
	}
	c.outcome.Service = name
	c.deadline = c.startedAt.Add(time.Hour) // if the route sets no timeout; the caller's can only shorten it
	if route.Timeout > 0 {
		c.deadline = c.startedAt.Add(route.Timeout)
	}
	if timeout := c.info.Timeout; timeout > 0 && c.startedAt.Add(timeout).Before(c.deadline) {
		c.deadline = c.startedAt.Add(timeout)
	}
	if rl.outlastsStop(c) {
		return &refusal{http.StatusServiceUnavailable, "leaving", rl.leavingRetryAfter()}
	}
	return rl.admitBody(c)
}

// admitBody reads the body and refuses a quarantined request. Any other request counts as a first attempt in
// the retry budget of its service.
func (rl *Relay) admitBody(c *call) *refusal {
	if refused := rl.readBody(c); refused != nil {
		return refused
	}
	c.fingerprint = quarantine.Fingerprint(c.info.Key, c.request.Method+" "+c.request.RequestURI, c.body.Blocks()...)
	for _, part := range c.info.SharedParts {
		c.parts = append(c.parts, quarantine.NewPartID(c.service.Name, part))
	}
	if refused := rl.refuseParts(c); refused != nil {
		return refused
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.strikes.Strikes(rl.config.Now(), c.fingerprint) >= quarantineStrikes {
		return &refusal{status: http.StatusServiceUnavailable, reason: "quarantined"}
	}
	rl.retryBudget(c.service.Name).Deposit(rl.config.SteadyClock())
	return nil
}

// noRoomRetryAfter is the retry-after of a request for whose body there is no memory.
const noRoomRetryAfter = time.Second

// readBody reads the body until the request's deadline, within the budget of the process. A body that is too large, or
// that has no room, is not read on, and its connection is closed.
func (rl *Relay) readBody(c *call) *refusal {
	announced := c.request.ContentLength
	if announced == 0 {
		return nil
	}
	maxBytes := c.limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = math.MaxInt32
	}
	connection := http.NewResponseController(c.writer)
	_ = connection.SetReadDeadline(c.deadline) // fails only on a connection that is closed, or without deadlines
	if announced < 0 || announced > bytebudget.FreeBytes {
		c.bodyHold = rl.config.Budget.Open(func() { _ = connection.SetReadDeadline(time.Unix(1, 0)) })
	}
	body, err := bytebudget.ReadBody(c.request.Body, c.bodyHold, maxBytes, announced)
	if err == nil {
		c.body = body
		return nil
	}
	c.bodyHold.Close()
	c.writer.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, bytebudget.ErrTooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	case errors.Is(err, bytebudget.ErrFull):
		return &refusal{http.StatusServiceUnavailable, "no_memory", noRoomRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{http.StatusRequestTimeout, "body_late", defaultRetryAfter}
	}
	return &refusal{status: http.StatusBadRequest, reason: "body_broken"}
}

// releaseBody forgets the body once no other attempt can need it.
func (c *call) releaseBody() {
	if c.route.Repeat != routes.Stream || !c.route.Resumable {
		c.body = bytebudget.Body{}
		c.bodyHold.Close()
	}
}
