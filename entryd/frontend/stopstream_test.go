package frontend_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/entryd/frontend"
	"camphormill.dev/entryd/relay"
	"camphormill.dev/parts/registry"
	"camphormill.dev/parts/routes"
)

// newStreamConfig returns the configuration of an entry with a route of streams. Its target takes the time that length
// holds for each stream, and counts the streams in runs.
func newStreamConfig(t *testing.T, timeout time.Duration, length, runs *atomic.Int64) frontend.Config {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("Content-Type", "text/event-stream")
		const pause = 50 * time.Millisecond
		events := int(time.Duration(length.Load()) / pause)
		for id := range events {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id+1)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(pause)
		}
		_, _ = io.WriteString(w, "data: last\n\n")
	}))
	t.Cleanup(server.Close)
	c := newConfig(t, 0)
	c.StopTimeout = 4 * time.Second
	table := routes.New(routes.Config{
		Version: 1, Services: []routes.Service{{Name: "s"}},
		Routes: []routes.Route{{
			Name: "r", Host: "h", Prefix: "/", Repeat: routes.Stream, Timeout: timeout,
			Services: []routes.WeightedService{{Service: "s", Weight: 1}},
		}},
	})
	c.Store.ParseRoutes = func([]byte) (*routes.Table, error) { return table, nil }
	target := registry.Target{ID: "a", Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), State: registry.Ready}
	c.Store.ListTargets = func(context.Context) ([]registry.Target, int64, error) { return []registry.Target{target}, 1, nil }
	c.Protocol.Read = func(*http.Request) relay.RequestInfo { return relay.RequestInfo{MaxOutputTokens: 100} }
	return c
}

// TestStopBreaksOffNoStreamThatItAccepted guards against a stopping entry that accepts a stream and closes its connection
// before the end.
func TestStopBreaksOffNoStreamThatItAccepted(t *testing.T) {
	for name, test := range map[string]struct {
		before, during time.Duration // length of the streams before the stop (0: there are none) and during it
		timeout        time.Duration // of the route
	}{
		"no response to go by":      {during: 5 * time.Second},
		"shorter ones before":       {before: 100 * time.Millisecond, during: 5 * time.Second},
		"timeout behind the stop":   {before: 100 * time.Millisecond, during: 5 * time.Second, timeout: 8 * time.Second},
		"timeout within the stop":   {before: 100 * time.Millisecond, during: 300 * time.Millisecond, timeout: 2 * time.Second},
		"a target that became slow": {before: time.Second, during: 4500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var length, runs atomic.Int64
			c := newStreamConfig(t, test.timeout, &length, &runs)
			stop := startEntry(t, c)
			if test.before > 0 {
				length.Store(int64(test.before))
				body, err := get(c.CallersAddress, "h")
				is.NoErr(err)
				is.True(strings.HasSuffix(body, "data: last\n\n"))
			}
			length.Store(int64(test.during))
			before := runs.Load()
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				stop()
			}()
			time.Sleep(300 * time.Millisecond)
			body, err := get(c.CallersAddress, "h")
			is.NoErr(err)
			if body == "" { // refused
				is.Equal(runs.Load(), before)
				is.True(test.timeout == 0 || test.timeout > c.StopTimeout)
			} else {
				is.True(strings.HasSuffix(body, "data: last\n\n"))
			}
			<-stopped
		})
	}
}
