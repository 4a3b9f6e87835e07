package relay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/entryd/relay"
	"camphormill.dev/parts/routes"
)

// TestLongerResponsesTakeLonger guards against a long response that is accepted because short ones were complete
// in time.
func TestLongerResponsesTakeLonger(t *testing.T) {
	is := is.New(t)
	e := startConfigured(t, routes.Route{Repeat: routes.AtMostOnce, MaxAttempts: 1}, routes.Service{Name: "s"}, func(c *relay.Config) {
		read := c.Protocol.Read
		c.Protocol.Read = func(r *http.Request) relay.RequestInfo {
			info := read(r)
			info.MaxOutputTokens, _ = strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/r/"))
			return info
		}
	}, takes(200*time.Millisecond))
	status, _, _, err := e.call(t, http.MethodPost, "/r/100", "key")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	now := time.Now()
	e.relay.StartDrain(relay.Drain{StartedAt: now, CutOff: now.Add(time.Second), OnlyKnownFrom: now})
	for path, expected := range map[string]int{"/r/100": http.StatusOK, "/r/600": http.StatusServiceUnavailable, "/r/9223372036854775807": http.StatusServiceUnavailable} {
		status, _, _, err := e.call(t, http.MethodPost, path, "key")
		is.NoErr(err)
		is.Equal(status, expected)
	}
}

// takes returns a target that answers after the given time.
func takes(d time.Duration) func(e *entry, w http.ResponseWriter, r *http.Request) {
	return func(e *entry, w http.ResponseWriter, r *http.Request) {
		e.recordRun("t0", r)
		time.Sleep(d)
		_, _ = io.WriteString(w, "done")
	}
}

// TestDrainingEntryRefusesWhatItWouldCutOff guards against an entry that accepts a request shortly before it
// stops, passes it on and cuts it off, whatever its service is.
func TestDrainingEntryRefusesWhatItWouldCutOff(t *testing.T) {
	const call, stream = routes.AtMostOnce, routes.Stream
	for name, test := range map[string]struct {
		repeat    routes.RepeatPolicy
		timeout   time.Duration // of the route; 0 if it has none
		served    int           // requests before the entry drains
		onlyKnown time.Duration // after the drain began
		cutOff    time.Duration // after the drain began
		status    int
	}{
		"sure to end":                          {call, time.Second, 0, 0, 2 * time.Second, http.StatusOK},
		"may outlast the stop":                 {call, time.Second, 0, 0, 800 * time.Millisecond, http.StatusServiceUnavailable},
		"without a timeout":                    {call, 0, 0, 0, 2 * time.Second, http.StatusServiceUnavailable},
		"unknown, early":                       {call, time.Second, 0, time.Second, 800 * time.Millisecond, http.StatusOK},
		"known to be short":                    {call, 0, 2, 0, 2 * time.Second, http.StatusOK},
		"known to be too long":                 {call, time.Second, 2, time.Second, 100 * time.Millisecond, http.StatusServiceUnavailable},
		"known to end just before":             {call, time.Second, 2, time.Second, 210 * time.Millisecond, http.StatusServiceUnavailable},
		"stream, sure to end":                  {stream, time.Second, 0, 0, 2 * time.Second, http.StatusOK},
		"stream, may outlast the stop":         {stream, time.Second, 0, 0, 800 * time.Millisecond, http.StatusServiceUnavailable},
		"stream, without a timeout":            {stream, 0, 0, 0, 2 * time.Second, http.StatusServiceUnavailable},
		"stream, unknown, early":               {stream, time.Second, 0, time.Second, 800 * time.Millisecond, http.StatusServiceUnavailable},
		"stream, others were short":            {stream, 0, 2, 0, 2 * time.Second, http.StatusServiceUnavailable},
		"stream, others were too long":         {stream, time.Second, 2, time.Second, 100 * time.Millisecond, http.StatusServiceUnavailable},
		"stream, others ended just before":     {stream, time.Second, 2, time.Second, 210 * time.Millisecond, http.StatusServiceUnavailable},
		"a stream route without a group":       {stream, 8 * time.Second, 0, 0, 4500 * time.Millisecond, http.StatusServiceUnavailable},
		"stream, timeout just behind the stop": {stream, 8 * time.Second, 2, time.Second, 7700 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := start(t, routes.Route{Repeat: test.repeat, MaxAttempts: 1, Timeout: test.timeout}, takes(200*time.Millisecond))
			for range test.served {
				status, _, _, err := e.call(t, http.MethodPost, "/r/x", "key")
				is.NoErr(err)
				is.Equal(status, http.StatusOK)
			}
			now := time.Now()
			e.relay.StartDrain(relay.Drain{StartedAt: now, CutOff: now.Add(test.cutOff), OnlyKnownFrom: now.Add(test.onlyKnown)})
			status, header, _, err := e.call(t, http.MethodPost, "/r/x", "key")
			is.NoErr(err)
			is.Equal(status, test.status)
			if status == http.StatusServiceUnavailable {
				is.Equal(header.Get("Retry-After"), "0.01")
				is.Equal(e.runCount(), test.served) // the refusal is true
			}
		})
	}
}

// TestRefusalOfLastEntryNamesLaterReturn guards against callers who are sent away for 10 ms, again and again, while no
// other entry accepts callers.
func TestRefusalOfLastEntryNamesLaterReturn(t *testing.T) {
	for ready, expected := range map[bool]string{true: "0.01", false: "1"} {
		is := is.New(t)
		e := start(t, streamRoute(1), takes(0))
		now := time.Now()
		e.relay.StartDrain(relay.Drain{StartedAt: now, CutOff: now.Add(time.Second), OthersReady: func() bool { return ready }})
		status, header, _, err := e.call(t, http.MethodPost, "/r/x", "key")
		is.NoErr(err)
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(header.Get("Retry-After"), expected)
	}
}

// TestStreamWhoseBodyEndsDuringStopIsRefused guards against a stream that is passed on during a stop that it may outlast,
// because its head came before the stop.
func TestStreamWhoseBodyEndsDuringStopIsRefused(t *testing.T) {
	is := is.New(t)
	e := start(t, routes.Route{Repeat: routes.Stream, MaxAttempts: 1, Timeout: 8 * time.Second}, takes(0))
	conn, err := net.Dial("tcp", e.server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /r/x HTTP/1.1\r\nHost: h\r\nId: a1\r\nKey: key\r\nContent-Length: 2\r\n\r\na")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond) // the entry reads the body
	now := time.Now()
	e.relay.StartDrain(relay.Drain{StartedAt: now, CutOff: now.Add(time.Second), OnlyKnownFrom: now})
	_, err = io.WriteString(conn, "b")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(e.runCount(), 0)
}

// TestStreamRetriedDuringStopIsRefused guards against a stream that is sent to a further target during a stop that it may
// outlast, before its caller has got anything.
func TestStreamRetriedDuringStopIsRefused(t *testing.T) {
	is := is.New(t)
	var e *entry
	drain := func(_ *entry, w http.ResponseWriter, _ *http.Request) {
		now := time.Now()
		e.relay.StartDrain(relay.Drain{StartedAt: now, CutOff: now.Add(time.Second), OnlyKnownFrom: now})
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	ran := 0
	serve := func(_ *entry, w http.ResponseWriter, r *http.Request) {
		if ran++; ran == 1 {
			drain(nil, w, r)
			return
		}
		_, _ = io.WriteString(w, "ran")
	}
	e = start(t, routes.Route{Repeat: routes.Stream, MaxAttempts: 3, Timeout: 8 * time.Second}, serve, serve)
	status, _, _, err := e.call(t, http.MethodPost, "/r/x", "key")
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
}
