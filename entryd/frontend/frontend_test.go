package frontend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"camphormill.dev/entryd/frontend"
	"camphormill.dev/entryd/relay"
	"camphormill.dev/entryd/storeview"
	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/daemon"
	"camphormill.dev/parts/kernel"
	"camphormill.dev/parts/limit"
	"camphormill.dev/parts/mesh"
	"camphormill.dev/parts/registry"
	"camphormill.dev/parts/routes"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// freeDatagramAddress returns an address for datagrams. A port that is free for connections may be in
// use for datagrams.
func freeDatagramAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}

// newConfig returns the configuration of an entry with one target that takes the given
// time for each request.
func newConfig(t *testing.T, work time.Duration) frontend.Config {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(work)
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(server.Close)
	target := registry.Target{ID: "a", Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), State: registry.Ready}
	table := routes.New(routes.Config{
		Version: 1, Services: []routes.Service{{Name: "s"}},
		Routes: []routes.Route{{Name: "r", Host: "h", Prefix: "/", Services: []routes.WeightedService{{Service: "s", Weight: 1}}}},
	})
	callers := freeAddress(t)
	status := func(f *frontend.Server) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Join(f.Addresses(), ","))
		})
	}
	return frontend.Config{
		Self: mesh.Host{Name: "e", Role: mesh.RoleEntry, Address: freeDatagramAddress(t), CallerAddress: callers}, CallersAddress: callers,
		ReadyAddress: freeAddress(t), DirectoryAddress: freeAddress(t), MetricsAddress: freeAddress(t), NewReadyHandler: status, NewDirectoryHandler: status,
		RevocationBound: 5 * time.Second, StopTimeout: 6 * time.Second, RetryLimit: limit.RetryLimit{Ratio: 0.2, Reserve: 100, Window: 10 * time.Second}, Budget: bytebudget.ForProcess(0), Shares: daemon.NewShares(0, 0), Log: zerolog.Nop(),
		Hosts: mesh.Directory{
			Register: func(context.Context, mesh.Host) error { return nil },
			Hosts:    func(context.Context) ([]mesh.Host, error) { return nil, nil },
		},
		Store: storeview.Store{
			ReadPublished: func(_ context.Context, from int64) (storeview.Published, int64, error) {
				if from == 1 {
					return storeview.Published{}, 1, nil
				}
				return storeview.Published{Configuration: []byte("x")}, 1, nil
			},
			ParseRoutes:       func([]byte) (*routes.Table, error) { return table, nil },
			ReadTargetRecords: func(_ context.Context, end int64) (storeview.Records, error) { return storeview.Records{End: end}, nil },
			ListTargets:       func(context.Context) ([]registry.Target, int64, error) { return []registry.Target{target}, 1, nil },
		},
		Protocol: relay.Protocol{
			Read:         func(*http.Request) relay.RequestInfo { return relay.RequestInfo{} },
			SetHeaders:   func(http.Header, relay.RequestInfo, relay.TargetHeaders) {},
			Classify:     func(*http.Response) relay.ResponseClass { return relay.Ran },
			ReportedLoad: func(*http.Response) (relay.Load, bool) { return relay.Load{}, false },
			ReportedLimit: func(r *http.Response) (float64, bool) {
				limit, err := strconv.ParseFloat(r.Header.Get("Limit"), 64)
				return limit, err == nil
			},
			FailedTarget: func(*http.Response) string { return "" },
			Availability: func(*http.Response) relay.Availability { return relay.Availability{} },
		},
	}
}

func get(address, host string) (string, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return "", err
	}
	r.Host = host
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestPlannedStopCompletesRequests guards against requests that a planned stop cuts off or
// refuses: a stopping entry must be out of address responses at once, serve callers that
// still use its address, and end within the stop time.
func TestPlannedStopCompletesRequests(t *testing.T) {
	is := is.New(t)
	c := newConfig(t, 700*time.Millisecond)
	k := kernel.New()
	frontend.RegisterServices(k, c)
	is.NoErr(k.Start(context.Background()))
	addresses := ""
	for i := 0; addresses == "" && i < 300; i++ {
		time.Sleep(10 * time.Millisecond)
		addresses, _ = get(c.DirectoryAddress, "")
	}
	is.Equal(addresses, c.CallersAddress) // the entry is ready once it knows routes and targets
	responses := make(chan string, 2)
	sendRequest := func() {
		body, err := get(c.CallersAddress, "h")
		if err != nil {
			body = err.Error()
		}
		responses <- body
	}
	go sendRequest()
	time.Sleep(100 * time.Millisecond) // the target is running the request
	startedAt := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- k.Stop(context.Background()) }()
	time.Sleep(300 * time.Millisecond)
	addresses, err := get(c.DirectoryAddress, "")
	is.NoErr(err)
	is.Equal(addresses, "") // removed from address responses at once
	go sendRequest()        // from a caller that has cached the address
	is.Equal(<-responses, "done")
	is.Equal(<-responses, "done")
	is.NoErr(<-stopped)
	is.True(time.Since(startedAt) < c.StopTimeout)
	_, err = get(c.CallersAddress, "h")
	is.True(err != nil) // the listener is closed
}

// TestStopWaitsForLastRequest guards against cutting off the last requests at a stop:
// callers keep coming until the listener closes, and each request takes two seconds.
func TestStopWaitsForLastRequest(t *testing.T) {
	is := is.New(t)
	c := newConfig(t, 2*time.Second)
	k := kernel.New()
	frontend.RegisterServices(k, c)
	is.NoErr(k.Start(context.Background()))
	for i := 0; i < 300; i++ {
		if addresses, _ := get(c.DirectoryAddress, ""); addresses != "" {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	startedAt := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- k.Stop(context.Background()) }()
	const callers = 15
	responses := make(chan string, callers)
	for range callers {
		time.Sleep(190 * time.Millisecond)
		go func() {
			body, err := get(c.CallersAddress, "h")
			if err != nil {
				body = err.Error()
			}
			responses <- body
		}()
	}
	for range callers {
		is.Equal(<-responses, "done")
	}
	is.NoErr(<-stopped)
	is.True(time.Since(startedAt) < c.StopTimeout)
}

// TestStopCutsOffNothingThatItAccepted guards against a stopping entry that accepts long requests when its time
// is nearly over, passes them on, and cuts them off. Each is either answered or refused without being run.
func TestStopCutsOffNothingThatItAccepted(t *testing.T) {
	is := is.New(t)
	c := newConfig(t, 3100*time.Millisecond)
	k := kernel.New()
	frontend.RegisterServices(k, c)
	is.NoErr(k.Start(context.Background()))
	for i := 0; i < 300; i++ {
		if addresses, _ := get(c.DirectoryAddress, ""); addresses != "" {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- k.Stop(context.Background()) }()
	const callers = 6
	responses := make(chan string, callers)
	for i := range callers {
		time.AfterFunc(time.Duration(i)*560*time.Millisecond, func() { // up to 2.8 s; the entry listens for 3 s
			body, err := get(c.CallersAddress, "h")
			if err != nil {
				body = err.Error()
			}
			responses <- body
		})
	}
	served := 0
	for range callers {
		switch body := <-responses; body {
		case "done":
			served++
		default:
			is.Equal(body, "") // of a refusal
		}
	}
	is.Equal(served, 5) // those up to 2.24 s end in time
	is.NoErr(<-stopped)
}

// TestStopAnswersRequestsOfSilentTargets guards against requests that a stop ends with a closed connection and no answer,
// because their target is silent: requests that came before the stop, and such that came late on connections that callers
// keep open.
func TestStopAnswersRequestsOfSilentTargets(t *testing.T) {
	is := is.New(t)
	c := newConfig(t, 9*time.Second)
	k := kernel.New()
	frontend.RegisterServices(k, c)
	is.NoErr(k.Start(context.Background()))
	for i := 0; i < 300; i++ {
		if addresses, _ := get(c.DirectoryAddress, ""); addresses != "" {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	const callers = 12
	errs := make(chan error, callers)
	for i := range callers { // the first before the stop, the last one 5.4 s into it
		conn, err := net.Dial("tcp", c.CallersAddress)
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		time.AfterFunc(time.Duration(i)*500*time.Millisecond, func() {
			_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := conn.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
				errs <- nil // closed before the request
				return
			}
			_ = conn.SetReadDeadline(time.Time{})
			_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
			if err == nil {
				_, err = http.ReadResponse(bufio.NewReader(conn), nil)
			}
			errs <- err
		})
	}
	time.Sleep(100 * time.Millisecond)
	startedAt := time.Now()
	is.NoErr(k.Stop(context.Background()))
	is.True(time.Since(startedAt) < c.StopTimeout)
	for range callers {
		is.NoErr(<-errs)
	}
}

// callUntilRefused sends requests, as callers do who go on using an entry that stops, on one connection for as
// long as the entry allows, until no connection is accepted. It returns the number of responses and of requests
// that the entry has read and not answered: their connection ends regularly, not by a reset.
func callUntilRefused(address string) (answered, lost int) {
	for {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return answered, lost
		}
		reader := bufio.NewReader(conn)
		for closing := false; !closing; {
			if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				break
			}
			response, err := http.ReadResponse(reader, nil)
			if errors.Is(err, io.ErrUnexpectedEOF) {
				lost++
			}
			if err != nil {
				break
			}
			_, err = io.Copy(io.Discard, response.Body)
			if err == nil {
				answered++
			}
			closing = err != nil || response.Close
		}
		_ = conn.Close()
	}
}

// TestStopAnswersRequestsThatItHasRead guards against requests that come while the entry stops listening,
// which it reads and drops with their connections.
func TestStopAnswersRequestsThatItHasRead(t *testing.T) {
	is := is.New(t)
	c := newConfig(t, 0)
	c.StopTimeout = 4 * time.Second
	k := kernel.New()
	frontend.RegisterServices(k, c)
	is.NoErr(k.Start(context.Background()))
	for i := 0; i < 300; i++ {
		if addresses, _ := get(c.DirectoryAddress, ""); addresses != "" {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	var answered, lost atomic.Int64
	var callers sync.WaitGroup
	for range 64 {
		callers.Go(func() {
			a, l := callUntilRefused(c.CallersAddress)
			answered.Add(int64(a))
			lost.Add(int64(l))
		})
	}
	time.Sleep(100 * time.Millisecond)
	is.NoErr(k.Stop(context.Background()))
	callers.Wait()
	is.True(answered.Load() > 0)
	is.Equal(lost.Load(), int64(0))
}

// TestEntryThatRefusesIsNotReady guards against an entry that says that it is ready while it refuses all requests,
// because it has not been able to confirm its routes for too long.
func TestEntryThatRefusesIsNotReady(t *testing.T) {
	is := is.New(t)
	c := newConfig(t, 0)
	var down atomic.Bool
	read := c.Store.ReadPublished
	c.Store.ReadPublished = func(ctx context.Context, from int64) (storeview.Published, int64, error) {
		if down.Load() {
			return storeview.Published{}, 0, errors.New("store unreachable")
		}
		return read(ctx, from)
	}
	k := kernel.New()
	frontend.RegisterServices(k, c)
	is.NoErr(k.Start(context.Background()))
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	isReady := func() bool {
		addresses, _ := get(c.DirectoryAddress, "")
		return addresses != ""
	}
	for i := 0; i < 300 && !isReady(); i++ {
		time.Sleep(10 * time.Millisecond)
	}
	down.Store(true)
	refused := false
	for until := time.Now().Add(c.RevocationBound + time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		body, err := get(c.CallersAddress, "h")
		is.NoErr(err)
		if body == "" {
			refused = true
			is.True(!isReady())
		}
	}
	is.True(refused)
}

// TestHostsAreRegisteredAgainAfterRestore guards against hosts that are not listed any more, and that new
// daemons don't find, after the store has come back from an older copy.
func TestHostsAreRegisteredAgainAfterRestore(t *testing.T) {
	is := is.New(t)
	c := newConfig(t, 0)
	var mu sync.Mutex
	registered, era := map[string]bool{}, int64(0)
	c.Hosts.Register = func(_ context.Context, h mesh.Host) error {
		mu.Lock()
		defer mu.Unlock()
		registered[h.Name] = true
		return nil
	}
	c.Store.Era = func() int64 {
		mu.Lock()
		defer mu.Unlock()
		return era
	}
	c.Store.ReadTargetRecords = func(_ context.Context, end int64) (storeview.Records, error) {
		return storeview.Records{End: end, Truncated: true}, nil
	}
	k := kernel.New()
	frontend.RegisterServices(k, c)
	is.NoErr(k.Start(context.Background()))
	t.Cleanup(func() { _ = k.Stop(context.Background()) })
	isRegistered := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return registered["e"]
	}
	await := func() bool {
		for i := 0; !isRegistered() && i < 800; i++ {
			time.Sleep(10 * time.Millisecond)
		}
		return isRegistered()
	}
	is.True(await())
	time.Sleep(time.Second) // the targets have been listed
	mu.Lock()
	registered, era = map[string]bool{}, 1
	mu.Unlock()
	is.True(await())
}
