package httpapi_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
	"camphormill.dev/parts/platform"
	"camphormill.dev/parts/preset"
)

// scriptedTarget answers each run as told. Its frames are sent before the answer.
type scriptedTarget func(call contract.Call) ([]contract.Frame, contract.Answer)

// serve serves the target's side of a link.
func (s scriptedTarget) serve(name string, conn net.Conn) {
	link.NewConn(conn, link.Methods{
		contract.MethodHello: {Inline: true, Run: func(context.Context, *link.Conn, json.RawMessage) (any, error) {
			return contract.Hello{Target: name, Incarnation: name + "/1", Kind: contract.WorkDraft, ServiceName: "m", Version: "v1", Capacity: 4, Clock: time.Now()}, nil
		}},
		contract.MethodHeartbeat: {Inline: true, Run: func(context.Context, *link.Conn, json.RawMessage) (any, error) {
			return contract.Heartbeat{}, nil
		}},
		contract.MethodRun: {Run: func(ctx context.Context, peer *link.Conn, params json.RawMessage) (any, error) {
			call, err := link.Decode[contract.Call](params)
			if err != nil {
				return nil, err
			}
			frames, answer := s(call)
			for batch := range slices.Chunk(frames, 100) {
				if err := peer.Notify(ctx, contract.MethodFrames, batch); err != nil {
					return nil, err
				}
			}
			return answer, nil
		}},
	})
}

// startDrafts starts a server with the targets and waits until it serves drafts.
func startDrafts(t *testing.T, targets ...scriptedTarget) *httptest.Server {
	t.Helper()
	var hosts []platform.Host
	for i := range targets {
		name := fmt.Sprint("t", i)
		hosts = append(hosts, platform.Host{Name: name, Role: platform.RoleTarget, Address: name, ServiceName: "m"})
	}
	dial := func(_ context.Context, address string) (net.Conn, error) {
		for i, target := range targets {
			if address == hosts[i].Address {
				near, far := net.Pipe()
				target.serve(address, far)
				return near, nil
			}
		}
		return nil, net.ErrClosed
	}
	server := httptest.NewServer(newHandlerDialing(t, preset.Initial(), hosts, dial))
	t.Cleanup(server.Close)
	return server
}

// draft sends a streamed completion by HTTP/1.0 or 1.1. The error is set if the response ended early.
func draft(t *testing.T, server *httptest.Server, proto string) (int, string, error) {
	t.Helper()
	is := is.New(t)
	var status int
	var body []byte
	var readErr error
	for range 100 { // until the entry has links to its targets
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		const request = `{"model":"m","prompt":"p","stream":true}`
		_, err = fmt.Fprintf(conn, "POST /v1/completions %s\r\nHost: h\r\nAuthorization: Bearer key-of-muscat\r\nContent-Length: %d\r\n\r\n%s", proto, len(request), request)
		is.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		status = response.StatusCode
		body, readErr = io.ReadAll(response.Body)
		if status != http.StatusServiceUnavailable && status != http.StatusNotFound {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return status, string(body), readErr
}

// framesFrom returns the frames of a run from call.ResumeFrom up to the given number, not included.
func framesFrom(call contract.Call, end int) []contract.Frame {
	var frames []contract.Frame
	for n := call.ResumeFrom; n < end; n++ {
		frames = append(frames, contract.Frame{Attempt: call.Attempt, Sequence: n, Token: fmt.Sprint("w", n, " ")})
	}
	return frames
}

func whole(call contract.Call) ([]contract.Frame, contract.Answer) {
	frames := framesFrom(call, 4)
	return frames, contract.Answer{Outcome: contract.OutcomeDone, Status: http.StatusOK, Frames: len(frames)}
}

// TestStreamWithLostTokensIsNotComplete guards against a stream whose target sent more tokens than have
// arrived, and that is ended as complete.
func TestStreamWithLostTokensIsNotComplete(t *testing.T) {
	is := is.New(t)
	lossy := func(call contract.Call) ([]contract.Frame, contract.Answer) {
		frames, answer := whole(call)
		if call.ResumeFrom > 0 {
			return frames, answer
		}
		return append(frames[:2:2], frames[3:]...), answer // without the third
	}
	status, body, err := draft(t, startDrafts(t, lossy, lossy), "HTTP/1.1")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(strings.Count(body, `"text":"w`), 4)
	is.True(strings.HasSuffix(body, "data: [DONE]\n\n"))

	_, body, _ = draft(t, startDrafts(t, lossy), "HTTP/1.1")
	is.Equal(strings.Count(body, `"text":"w`), 2)
	is.True(!strings.Contains(body, "[DONE]"))
	is.True(strings.Contains(body, "event: error"))
}

// TestBrokenDraftHasNoRegularEnd guards against a stream that failed midway and whose response ends
// regularly: a caller that only looks at the end would take it for complete.
func TestBrokenDraftHasNoRegularEnd(t *testing.T) {
	is := is.New(t)
	broken := func(call contract.Call) ([]contract.Frame, contract.Answer) {
		return framesFrom(call, 2), contract.UnknownAnswer(contract.NewFailure(contract.KindEngineLost, "lost", "send it again"))
	}
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		_, body, err := draft(t, startDrafts(t, broken), proto)
		is.True(err != nil)
		if proto == "HTTP/1.1" {
			is.Equal(strings.Count(body, `"text":"w`), 2)
			is.True(strings.Contains(body, "event: error"))
		}
	}
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		_, body, err := draft(t, startDrafts(t, whole), proto)
		is.NoErr(err)
		is.True(strings.HasSuffix(body, "data: [DONE]\n\n"))
	}
}

// TestFailedResumeOfDraftIsNotTheAnswer guards against a draft that broke off after some tokens and whose next
// target rejects it: the rejection is no answer to the draft, and another target may resume it.
func TestFailedResumeOfDraftIsNotTheAnswer(t *testing.T) {
	is := is.New(t)
	broken := func(call contract.Call) ([]contract.Frame, contract.Answer) {
		return framesFrom(call, 2), contract.UnknownAnswer(contract.NewFailure(contract.KindEngineLost, "lost", "send it again"))
	}
	var rejections atomic.Int64
	rejecting := func(call contract.Call) ([]contract.Frame, contract.Answer) {
		if call.ResumeFrom == 0 {
			return broken(call)
		}
		rejections.Add(1)
		return nil, contract.Answer{Outcome: contract.OutcomeDone, Status: http.StatusBadRequest, ContentType: "text/plain", Body: []byte("unknown field")}
	}
	_, body, err := draft(t, startDrafts(t, broken, rejecting), "HTTP/1.1")
	is.True(err != nil)
	is.True(strings.Contains(body, `"outcome":"unknown"`))
	is.True(!strings.Contains(body, "unknown field"))

	resuming := func(call contract.Call) ([]contract.Frame, contract.Answer) {
		if call.ResumeFrom == 0 || rejections.Load() == 0 {
			return broken(call)
		}
		return whole(call)
	}
	rejections.Store(0)
	for range 20 { // targets are chosen at random
		_, body, err = draft(t, startDrafts(t, rejecting, rejecting, resuming), "HTTP/1.1")
		if strings.HasSuffix(body, "data: [DONE]\n\n") {
			break
		}
	}
	is.NoErr(err)
	is.Equal(strings.Count(body, `"text":"w`), 4)
}

// maxAnswerBytes is the limit of answers in tests.
const maxAnswerBytes = 64 << 10

// TestEndlessDraftIsNotKept guards against an entry that collects the tokens of a faulty engine without end for a caller that
// doesn't take a stream.
func TestEndlessDraftIsNotKept(t *testing.T) {
	is := is.New(t)
	endless := func(call contract.Call) ([]contract.Frame, contract.Answer) {
		var frames []contract.Frame
		for n := range 4 * maxAnswerBytes / 1024 {
			frames = append(frames, contract.Frame{Attempt: call.Attempt, Sequence: n, Token: strings.Repeat("w", 1024)})
		}
		return frames, contract.Answer{Outcome: contract.OutcomeDone, Status: http.StatusOK, Frames: len(frames)}
	}
	server := startDrafts(t, endless)
	status, body := 0, ""
	for range 100 { // until the entry has links to its targets
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/completions", strings.NewReader(`{"model":"m","prompt":"p"}`))
		is.NoErr(err)
		r.Header.Set("Authorization", "Bearer key-of-muscat")
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		raw, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		if status, body = response.StatusCode, string(raw); status != http.StatusServiceUnavailable && status != http.StatusNotFound {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(status >= http.StatusInternalServerError || status == http.StatusRequestEntityTooLarge)
	is.True(len(body) < maxAnswerBytes)
	is.True(strings.Contains(body, "size limit"))
}
