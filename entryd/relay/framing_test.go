package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"camphormill.dev/entryd/relay"
	"camphormill.dev/parts/httpclient"
	"camphormill.dev/parts/routes"
)

// The framings of a response, and the ways in which its target stops sending it.
const (
	byLength, byChunks, byConnection = "length", "chunks", "connection"
	endClose, endReset, endSilence   = "close", "reset", "silence"
)

// rawResponse is a response of a target as bytes on the wire.
type rawResponse struct {
	framing   string
	bytes     []byte
	bodyStart int   // index of the first byte after the head
	received  []int // number of bytes of the body within the first i bytes
}

// newRawResponse frames a body. Each piece becomes one chunk.
func newRawResponse(framing, id, contentType string, pieces []string) *rawResponse {
	r := &rawResponse{framing: framing}
	write := func(text string, isBody bool) {
		for i := range len(text) {
			r.received = append(r.received, r.bodyLength())
			if isBody {
				r.received[len(r.received)-1]++
			}
			r.bytes = append(r.bytes, text[i])
		}
	}
	head := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Type: " + contentType + "\r\n"
	switch framing {
	case byLength:
		head += "Content-Length: " + strconv.Itoa(len(strings.Join(pieces, ""))) + "\r\n"
	case byChunks:
		head += "Transfer-Encoding: chunked\r\n"
	}
	write(head+"\r\n", false)
	r.bodyStart = len(r.bytes)
	for _, piece := range pieces {
		if framing == byChunks {
			write(fmt.Sprintf("%x\r\n", len(piece)), false)
		}
		write(piece, true)
		if framing == byChunks {
			write("\r\n", false)
		}
	}
	if framing == byChunks {
		write("0\r\n\r\n", false)
	}
	return r
}

func (r *rawResponse) bodyLength() int {
	if len(r.received) == 0 {
		return 0
	}
	return r.received[len(r.received)-1]
}

// bodyAt returns the length of the body within the first cut bytes.
func (r *rawResponse) bodyAt(cut int) int {
	if cut == 0 {
		return 0
	}
	return r.received[cut-1]
}

// cutAfter returns how many bytes hold the first bytes of the body.
func (r *rawResponse) cutAfter(bodyBytes int) int { return slices.Index(r.received, bodyBytes) + 1 }

// cutResponse is a response of which the target sends only the first bytes.
type cutResponse struct {
	*rawResponse
	cut    int
	ending string
}

// send writes the bytes and ends the connection, or keeps it open until the peer closes it.
func (c cutResponse) send(conn net.Conn) {
	_, _ = conn.Write(c.bytes[:c.cut])
	switch c.ending {
	case endReset:
		waitUntilAcknowledged(conn.(*net.TCPConn))
		_ = conn.(*net.TCPConn).SetLinger(0)
	case endSilence:
		_, _ = io.Copy(io.Discard, conn)
	}
}

// waitUntilAcknowledged waits until the peer's kernel has all sent bytes, because a reset drops the others.
func waitUntilAcknowledged(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	for unsent := 1; unsent > 0; time.Sleep(time.Millisecond) {
		if err := raw.Control(func(fd uintptr) { unsent, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }); err != nil {
			return
		}
	}
}

// callerView is what a caller got.
type callerView struct {
	status int
	body   string
	err    error // nil if the response ended regularly
}

func (v callerView) String() string {
	return fmt.Sprintf("status %d, %d bytes, error %v", v.status, len(v.body), v.err)
}

// framingFleet is a relay with two targets that send prepared responses.
type framingFleet struct {
	entry  *entry
	nextID atomic.Int64
	first  sync.Map // cutResponse of the first attempt, by request ID
	events sync.Map // []string, by request ID: what further attempts send, after the event that they resume
}

// The timeouts of requests. Only a target that falls silent makes a caller wait for one.
const (
	answeredTimeout = 10 * time.Second       // where a whole response or an early end is due
	eventsTimeout   = 2 * time.Second        // where events are due before the silence
	silenceTimeout  = 250 * time.Millisecond // where nothing is due
)

// timeout returns how long the caller waits for the response of a stream or of another body.
func (c cutResponse) timeout(events []string) time.Duration {
	whole := c.cut == len(c.bytes) && c.framing != byConnection
	received, _ := completeEvents(events, c.bodyAt(c.cut))
	switch {
	case c.ending != endSilence || whole:
		return answeredTimeout
	case received > 0:
		return eventsTimeout
	}
	return silenceTimeout
}

func startFramingFleet(t *testing.T, route routes.Route) *framingFleet {
	t.Helper()
	f := &framingFleet{}
	respond := func(_ *entry, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Id")
		if planned, ok := f.first.LoadAndDelete(id); ok {
			if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
				planned.(cutResponse).send(conn)
				_ = conn.Close()
			}
			return
		}
		events, _ := f.events.Load(id)
		after, _ := strconv.Atoi(r.Header.Get("After"))
		w.Header().Set("Content-Type", "text/event-stream")
		for _, event := range events.([]string)[after:] {
			_, _ = io.WriteString(w, event)
		}
	}
	route.Timeout = answeredTimeout
	f.entry = startConfigured(t, route, routes.Service{Name: "s"}, func(c *relay.Config) {
		c.RetryLimit.Reserve = 1 << 24
		// No connection is used again: some targets end or forget theirs after a whole response.
		c.Client = httpclient.New(httpclient.Config{ConnectTimeout: time.Second, MaxIdlePerAddress: 1, IdleTimeout: time.Nanosecond, Now: time.Now})
	}, respond, respond)
	return f
}

// fataler is a *testing.T or a *rapid.T.
type fataler interface {
	Helper()
	Fatal(args ...any)
}

// call sends a request, by HTTP/1.0 or 1.1, whose first attempt gets the response.
func (f *framingFleet) call(t fataler, id, proto string, response cutResponse, events []string) callerView {
	t.Helper()
	f.first.Store(id, response)
	f.events.Store(id, events)
	defer f.events.Delete(id)
	conn, err := net.Dial("tcp", f.entry.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(2 * answeredTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "POST /r/x %s\r\nHost: h\r\nId: %s\r\nKey: key\r\nTimeout: %v\r\nContent-Length: 4\r\n\r\nbody", proto, id, response.timeout(events)); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return callerView{err: err}
	}
	body, err := io.ReadAll(answer.Body)
	return callerView{status: answer.StatusCode, body: string(body), err: err}
}

func (f *framingFleet) newID() string { return "q" + strconv.FormatInt(f.nextID.Add(1), 10) }

// completeEvents returns the bytes of the events that lie whole within the first bytes of a stream.
func completeEvents(events []string, bytes int) (length int, atBoundary bool) {
	for _, event := range events {
		if length+len(event) > bytes {
			return length, length == bytes
		}
		length += len(event)
	}
	return length, length == bytes
}

// checkStream compares what the caller of a stream got with what its target sent, and returns what is
// wrong, or "".
func checkStream(got callerView, c cutResponse, events []string, resumable bool) string {
	full := strings.Join(events, "")
	received, atBoundary := completeEvents(events, c.bodyAt(c.cut))
	resumable = resumable && c.ending != endSilence // the silence lasts until the deadline
	wholeBody := c.cut >= c.bodyStart && c.bodyAt(c.cut) == len(full)
	whole, unknown := false, false
	switch c.framing {
	case byLength:
		whole = wholeBody
	case byChunks:
		whole = c.cut == len(c.bytes)
		unknown = !whole && len(c.bytes)-c.cut <= len("\r\n") // only the line that ends the last chunk is missing
	case byConnection:
		// Nothing tells a stream that ends with its connection between two events from one of as many events.
		whole = c.ending == endClose && atBoundary && received > 0
		full = full[:received]
	}
	regular := got.err == nil && got.status == http.StatusOK
	switch {
	case !strings.HasPrefix(strings.Join(events, ""), got.body):
		return "bytes that are not the stream's"
	case unknown && regular && got.body == full:
		return ""
	case unknown || (!whole && !resumable):
		if regular {
			return "a broken stream looks complete"
		}
		if got.err == nil && (got.status < http.StatusInternalServerError || received > 0) {
			return "ready events are held back"
		}
		return ""
	case whole && (!regular || got.body != full):
		return "a whole stream is broken or short"
	case !whole && (!regular || got.body != strings.Join(events, "")):
		return "a broken stream is not resumed"
	}
	return ""
}

// callGroup runs calls side by side.
type callGroup struct {
	running chan struct{}
	calls   sync.WaitGroup
}

// start runs a call as soon as there is room for it.
func (g *callGroup) start(call func()) {
	g.running <- struct{}{}
	g.calls.Go(func() {
		defer func() { <-g.running }()
		call()
	})
}

// forEachBreak calls test for each framing, each way to end and each version of the caller's protocol,
// and waits for the calls. Callers of targets that fall silent only wait, so that many run side by side.
func forEachBreak(test func(framing, ending, proto string, calls *callGroup)) {
	for _, framing := range []string{byLength, byChunks, byConnection} {
		for _, ending := range []string{endClose, endReset, endSilence} {
			calls := &callGroup{running: make(chan struct{}, 16)}
			if ending == endSilence {
				calls.running = make(chan struct{}, 128)
			}
			test(framing, ending, "HTTP/1.1", calls)
			if ending != endSilence {
				test(framing, ending, "HTTP/1.0", calls)
			}
			calls.calls.Wait()
		}
	}
}

func streamOf(count int) []string {
	var events []string
	for i := range count {
		events = append(events, fmt.Sprintf("id: %d\ndata: e%d\n\n", i+1, i+1))
	}
	return events
}

// TestBrokenStreamNeverLooksComplete guards against a stream that its target broke off and that ends for
// its caller as if it were complete. It covers each byte at which a stream can break off.
func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	events := streamOf(3)
	for _, resumable := range []bool{false, true} {
		fleet := startFramingFleet(t, routes.Route{Repeat: routes.Stream, Resumable: resumable, MaxAttempts: 2})
		forEachBreak(func(framing, ending, proto string, calls *callGroup) {
			length := len(newRawResponse(framing, fleet.newID(), "text/event-stream", events).bytes)
			for cut := 0; cut <= length; cut++ {
				calls.start(func() {
					id := fleet.newID()
					raw := newRawResponse(framing, id, "text/event-stream", events)
					c := cutResponse{rawResponse: raw, cut: min(cut, len(raw.bytes)), ending: ending}
					got := fleet.call(t, id, proto, c, events)
					if wrong := checkStream(got, c, events, resumable); wrong != "" {
						t.Errorf("%s: resumable %v, %s, %s after %d of %d bytes (%d of the body), caller %s: %v",
							wrong, resumable, framing, ending, c.cut, len(raw.bytes), c.bodyAt(c.cut), proto, got)
					}
				})
			}
		})
	}
}

// TestFramingThatEndsInsideEventIsBroken guards against a stream that is whole by its length or its last
// chunk, but was broken off inside an event.
func TestFramingThatEndsInsideEventIsBroken(t *testing.T) {
	events := streamOf(3)
	full := strings.Join(events, "")
	for _, resumable := range []bool{false, true} {
		fleet := startFramingFleet(t, routes.Route{Repeat: routes.Stream, Resumable: resumable, MaxAttempts: 2})
		for _, framing := range []string{byLength, byChunks} {
			for cut := 1; cut <= len(full); cut++ {
				id := fleet.newID()
				raw := newRawResponse(framing, id, "text/event-stream", []string{full[:cut]})
				got := fleet.call(t, id, "HTTP/1.1", cutResponse{rawResponse: raw, cut: len(raw.bytes), ending: endClose}, events)
				received, atBoundary := completeEvents(events, cut)
				regular, want := got.err == nil && got.status == http.StatusOK, full[:received]
				if !atBoundary && resumable {
					want = full
				}
				if regular != (atBoundary || resumable) || got.body != want {
					t.Errorf("resumable %v, %s, %d of %d bytes: %v, want %d bytes", resumable, framing, cut, len(full), got, len(want))
				}
			}
		}
	}
}

// TestStreamsOfAnyShapeEndAsTheirTargetsEndThem draws streams, their framing and their end.
func TestStreamsOfAnyShapeEndAsTheirTargetsEndThem(t *testing.T) {
	fleets := map[bool]*framingFleet{}
	for _, resumable := range []bool{false, true} {
		fleets[resumable] = startFramingFleet(t, routes.Route{Repeat: routes.Stream, Resumable: resumable, MaxAttempts: 2})
	}
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
		count := rapid.IntRange(1, 4).Draw(t, "events")
		var events []string
		for i := range count {
			// Lines that fill a buffer of a power of two come up often.
			data := rapid.OneOf(rapid.IntRange(0, 40), rapid.IntRange(4096-12, 4096+4), rapid.IntRange(8192-12, 8192+4)).Draw(t, "data")
			events = append(events, "id: "+strconv.Itoa(i+1)+lineEnd+"data: "+strings.Repeat("x", data)+lineEnd+lineEnd)
		}
		var pieces []string
		for rest := strings.Join(events, ""); rest != ""; {
			n := min(rapid.OneOf(rapid.IntRange(1, 20), rapid.IntRange(1, 5000)).Draw(t, "piece"), len(rest))
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		resumable := rapid.Bool().Draw(t, "resumable")
		fleet := fleets[resumable]
		id := fleet.newID()
		framing := rapid.SampledFrom([]string{byLength, byChunks, byConnection}).Draw(t, "framing")
		raw := newRawResponse(framing, id, "text/event-stream", pieces)
		c := cutResponse{
			rawResponse: raw,
			cut:         rapid.OneOf(rapid.IntRange(0, len(raw.bytes)), rapid.Just(len(raw.bytes))).Draw(t, "cut"),
			ending:      rapid.SampledFrom([]string{endClose, endReset, endSilence}).Draw(t, "ending"),
		}
		got := fleet.call(t, id, rapid.SampledFrom([]string{"HTTP/1.1", "HTTP/1.0"}).Draw(t, "caller"), c, events)
		if wrong := checkStream(got, c, events, resumable); wrong != "" {
			t.Fatalf("%s: %v", wrong, got)
		}
	})
}

// checkBody is checkStream for a response that is not a stream.
func checkBody(got callerView, c cutResponse, body string) string {
	received := c.bodyAt(c.cut)
	whole, unknown := false, false
	switch c.framing {
	case byLength:
		whole = c.cut >= c.bodyStart && received == len(body)
	case byChunks:
		whole = c.cut == len(c.bytes)
		unknown = !whole && len(c.bytes)-c.cut <= len("\r\n")
	case byConnection:
		whole, body = c.ending == endClose && c.cut >= c.bodyStart, body[:received]
	}
	regular := got.err == nil && got.status == http.StatusOK
	switch {
	case whole && (!regular || got.body != body):
		return "a whole response is broken or short"
	case !whole && regular && !(unknown && got.body == body):
		return "a broken response looks complete"
	}
	return ""
}

// TestBrokenBodyNeverLooksComplete is TestBrokenStreamNeverLooksComplete for responses that are not streams,
// small ones and ones that are passed on before they are whole.
func TestBrokenBodyNeverLooksComplete(t *testing.T) {
	const small, large = 30, 300 << 10
	const edge = 12 // bytes at the end of a large response that are all tried
	for _, route := range []routes.Route{{Repeat: routes.AtMostOnce, MaxAttempts: 2}, {Repeat: routes.Stream, MaxAttempts: 1}} {
		fleet := startFramingFleet(t, route)
		for _, size := range []int{0, small, large} {
			pieces := []string{strings.Repeat("y", size/2), strings.Repeat("z", size-size/2)}
			if size == 0 {
				pieces = nil
			}
			body := strings.Join(pieces, "")
			forEachBreak(func(framing, ending, proto string, calls *callGroup) {
				length := len(newRawResponse(framing, fleet.newID(), "text/plain", pieces).bytes)
				for cut := 0; cut <= length; cut++ {
					if size == large && cut > 100 && cut < length-edge {
						cut = min(cut+37<<10, length-edge)
					}
					calls.start(func() {
						id := fleet.newID()
						raw := newRawResponse(framing, id, "text/plain", pieces)
						c := cutResponse{rawResponse: raw, cut: min(cut, len(raw.bytes)), ending: ending}
						got := fleet.call(t, id, proto, c, nil)
						if wrong := checkBody(got, c, body); wrong != "" {
							t.Errorf("%s: route %s, %d bytes, %s, %s after %d of %d bytes (%d of the body), caller %s: %v",
								wrong, route.Repeat, size, framing, ending, c.cut, len(raw.bytes), c.bodyAt(c.cut), proto, got)
						}
					})
				}
			})
		}
	}
}
