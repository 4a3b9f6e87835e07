package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/entryd/relay"
	"camphormill.dev/parts/routes"
)

// TestRequestWithoutIDGetsConnectionOfItsOwn guards against a response that can't be matched with its request, on
// a connection that has carried others.
func TestRequestWithoutIDGetsConnectionOfItsOwn(t *testing.T) {
	is := is.New(t)
	e := startConfigured(t, routes.Route{Repeat: routes.Idempotent, MaxAttempts: 1, Timeout: time.Second}, routes.Service{Name: "s"}, func(c *relay.Config) {
		read := c.Protocol.Read
		c.Protocol.Read = func(r *http.Request) relay.RequestInfo {
			info := read(r)
			info.AttemptID = ""
			return info
		}
	}, serve("t0"))
	for range 2 {
		status, _, _, err := e.call(t, http.MethodGet, "/r/x", "key")
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	is.True(e.seen[0].RemoteAddr != e.seen[1].RemoteAddr)
}
