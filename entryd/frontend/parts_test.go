package frontend_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/entryd/frontend"
	"camphormill.dev/entryd/relay"
	"camphormill.dev/parts/kernel"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/registry"
)

// dyingTargets returns targets that die of the first request that they get.
func dyingTargets(t *testing.T, n int, deaths *atomic.Int64) []registry.Target {
	t.Helper()
	dying := func(w http.ResponseWriter, r *http.Request) {
		deaths.Add(1)
		if server, ok := r.Context().Value(http.ServerContextKey).(*http.Server); ok {
			go func() { _ = server.Close() }()
		}
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			time.Sleep(30 * time.Millisecond) // so that the listener closes before the connection
			_ = conn.Close()
		}
	}
	var targets []registry.Target
	for i := range n {
		server := httptest.NewServer(http.HandlerFunc(dying))
		t.Cleanup(server.Close)
		targets = append(targets, registry.Target{ID: fmt.Sprint("t", i), Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), State: registry.Ready})
	}
	return targets
}

// pathWithoutParts is the path of requests that have no prompt parts. All others have one.
const pathWithoutParts = "/whole"

// startPeer starts an entry of a fleet of the given hosts.
func startPeer(t *testing.T, name string, hosts *[]mesh.Host, targets []registry.Target) frontend.Config {
	t.Helper()
	c := newPeerConfig(t, name, hosts, targets)
	t.Cleanup(startEntry(t, c))
	return c
}

// newPeerConfig returns the configuration of an entry of a fleet of the given hosts, and adds it to
// them.
func newPeerConfig(t *testing.T, name string, hosts *[]mesh.Host, targets []registry.Target) frontend.Config {
	t.Helper()
	c := newConfig(t, 0)
	c.Self.Name = name
	*hosts = append(*hosts, c.Self)
	c.Hosts.Hosts = func(context.Context) ([]mesh.Host, error) { return *hosts, nil }
	c.Store.ListTargets = func(context.Context) ([]registry.Target, int64, error) { return targets, 1, nil }
	c.Protocol.Read = func(r *http.Request) relay.RequestInfo {
		if r.URL.Path == pathWithoutParts {
			return relay.RequestInfo{}
		}
		return relay.RequestInfo{SharedParts: []uint64{1}}
	}
	return c
}

// startEntry starts an entry, waits until it is ready, and returns a function that stops it.
func startEntry(t *testing.T, c frontend.Config) (stop func()) {
	t.Helper()
	k := kernel.New()
	frontend.RegisterServices(k, c)
	is.New(t).NoErr(k.Start(context.Background()))
	for addresses, i := "", 0; addresses == "" && i < 300; i++ {
		time.Sleep(10 * time.Millisecond)
		addresses, _ = get(c.DirectoryAddress, "")
	}
	return func() { _ = k.Stop(context.Background()) }
}

// status returns the status of a request to an entry, or 0 if it was not answered.
func status(address string) int { return statusOf(address, "/") }

func statusOf(address, path string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0
	}
	r.Host = "h"
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestLateEntryRefusesPoisonPart guards against an entry that starts after a target died and lets
// the same prompt part kill another one.
func TestLateEntryRefusesPoisonPart(t *testing.T) {
	is := is.New(t)
	var deaths atomic.Int64
	targets := dyingTargets(t, 2, &deaths)
	var hosts []mesh.Host
	first := startPeer(t, "e1", &hosts, targets)
	is.Equal(status(first.CallersAddress), http.StatusBadGateway) // its target died
	is.Equal(status(first.CallersAddress), http.StatusServiceUnavailable)
	late := startPeer(t, "e2", &hosts, targets)
	time.Sleep(700 * time.Millisecond) // both entries have sent a heartbeat
	for range 4 {
		is.Equal(status(late.CallersAddress), http.StatusServiceUnavailable)
	}
	is.Equal(deaths.Load(), int64(1))
}

// TestRestartedEntryRefusesPoisonPart guards against an entry that restarts so quickly that its peers
// don't miss it, and that then lets a prompt part kill another target.
func TestRestartedEntryRefusesPoisonPart(t *testing.T) {
	is := is.New(t)
	var deaths atomic.Int64
	targets := dyingTargets(t, 2, &deaths)
	var hosts []mesh.Host
	first := startPeer(t, "e1", &hosts, targets)
	second := newPeerConfig(t, "e2", &hosts, targets)
	stop := startEntry(t, second)
	is.Equal(status(first.CallersAddress), http.StatusBadGateway) // its target died
	stop()
	t.Cleanup(startEntry(t, second))
	time.Sleep(300 * time.Millisecond) // it has introduced itself
	for range 4 {
		is.Equal(status(second.CallersAddress), http.StatusServiceUnavailable)
	}
	is.Equal(deaths.Load(), int64(1))
}

// TestRestartedEntryRefusesPoisonRequest guards against an entry that restarts and lets a request kill
// two more targets, although it was quarantined at all entries.
func TestRestartedEntryRefusesPoisonRequest(t *testing.T) {
	is := is.New(t)
	var deaths atomic.Int64
	targets := dyingTargets(t, 3, &deaths)
	var hosts []mesh.Host
	first := startPeer(t, "e1", &hosts, targets)
	second := newPeerConfig(t, "e2", &hosts, targets)
	stop := startEntry(t, second)
	for deaths.Load() < 2 && statusOf(first.CallersAddress, pathWithoutParts) == http.StatusBadGateway {
	}
	is.Equal(deaths.Load(), int64(2))
	stop()
	t.Cleanup(startEntry(t, second))
	time.Sleep(300 * time.Millisecond) // it has introduced itself
	is.Equal(statusOf(second.CallersAddress, pathWithoutParts), http.StatusServiceUnavailable)
	is.Equal(deaths.Load(), int64(2))
}
