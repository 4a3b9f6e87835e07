package service

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/contract"
)

// TestCallWithLostAnswerIsNotRetried closes a reused connection after the call took effect.
// net/http must not retry the call on a new connection, since it would then take effect twice.
func TestCallWithLostAnswerIsNotRetried(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			return
		}
		calls.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	s := New(server.URL)
	for _, body := range []string{"", "{}"} {
		calls.Store(0)
		warmUp := s.Work(context.Background(), contract.Call{Method: "POST", Path: "/warm"}, nil)
		is.Equal(warmUp.Outcome, contract.OutcomeDone)
		answer := s.Work(context.Background(), contract.Call{Method: "POST", Path: "/confirm", Body: []byte(body)}, nil)
		is.Equal(answer.Outcome, contract.OutcomeUnknown)
		is.Equal(calls.Load(), int64(1))
	}
}

func TestOrganisationHeaderIsSetFromCall(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(r.Header.Get("Camphormill-Organisation")))
	}))
	defer server.Close()
	answer := New(server.URL).Work(context.Background(), contract.Call{Method: "GET", Path: "/", Organisation: "muscat"}, nil)
	is.Equal(string(answer.Body), "muscat")
}

func TestUnreachableServiceYieldsNotRun(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	answer := New(server.URL).Work(context.Background(), contract.Call{Method: "POST", Path: "/"}, nil)
	is.Equal(answer.Outcome, contract.OutcomeNotRun)
}

// TestLateCopyOfAnswerIsNotTheNextAnswer guards against an answer, such as a refusal, that a service writes once
// more on a connection in use again, and against a read that is sent again after its connection was lost.
func TestLateCopyOfAnswerIsNotTheNextAnswer(t *testing.T) {
	is := is.New(t)
	const refusal = "HTTP/1.1 409 Conflict\r\nContent-Length: 7\r\n\r\nrefused"
	answer := func(path string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(path), path)
	}
	var lost atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					switch {
					case r.URL.Path == "/refused":
						_, _ = io.WriteString(conn, refusal)
					case r.URL.Path == "/lost":
						lost.Add(1)
						return
					case n > 0:
						_, _ = io.WriteString(conn, refusal+answer(r.URL.Path))
					default:
						_, _ = io.WriteString(conn, answer(r.URL.Path))
					}
				}
			}()
		}
	}()
	s := New("http://" + listener.Addr().String())
	for range 3 {
		refused := s.Work(context.Background(), contract.Call{Method: "POST", Path: "/refused"}, nil)
		is.Equal(refused.Status, http.StatusConflict)
		confirmed := s.Work(context.Background(), contract.Call{Method: "POST", Path: "/confirm"}, nil)
		is.Equal(confirmed.Status, http.StatusOK)
		is.Equal(string(confirmed.Body), "/confirm")
		lost.Store(0)
		read := s.Work(context.Background(), contract.Call{Method: "GET", Path: "/lost"}, nil)
		is.Equal(read.Outcome, contract.OutcomeUnknown)
		is.Equal(lost.Load(), int64(1))
	}
}

// TestPathGoesOutAsItCame guards against a service that gets another path or query than the caller sent, since
// they were decoded and encoded again.
func TestPathGoesOutAsItCame(t *testing.T) {
	is := is.New(t)
	var target string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { target = r.RequestURI }))
	defer server.Close()
	for _, base := range []string{"", "/base"} {
		for _, path := range []string{"/x", "/x?", "/x??", "/a%2Fb", "/a\"b", "/a\"b%2fc?q=\"", "/x;v=1?a;b", "/caf\u00e9?\u00e9", "/a//b", "/./x", "/x#f"} {
			answer := New(server.URL+base).Work(context.Background(), contract.Call{Method: "GET", Path: path}, nil)
			is.Equal(answer.Outcome, contract.OutcomeDone)
			is.Equal(target, base+path)
		}
	}
	for _, path := range []string{"//x", "x", "/%zz", "/a b", "", "/a\r\nb"} {
		target = ""
		answer := New(server.URL).Work(context.Background(), contract.Call{Method: "GET", Path: path}, nil)
		is.Equal(answer.Outcome, contract.OutcomeNotRun)
		is.Equal(target, "")
	}
}

// startRawService starts a service that writes bytes of its own choice to each connection. Its listener
// is closed before that if dying is set.
func startRawService(t *testing.T, dying bool, write func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1<<10))
			if dying {
				_ = listener.Close()
			}
			write(conn.(*net.TCPConn))
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

// TestBrokenAnswerIsNotPassedOn guards against the answer of a service that broke off, by any framing and in
// any way, and that is passed on as whole.
func TestBrokenAnswerIsNotPassedOn(t *testing.T) {
	reset := func(conn *net.TCPConn) {
		time.Sleep(20 * time.Millisecond) // the reset must not overtake the bytes
		_ = conn.SetLinger(0)
	}
	closed := func(*net.TCPConn) {}
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, test := range map[string]struct {
		answer    string
		end       func(conn *net.TCPConn)
		dying     bool
		bodyBytes int // of the call
		outcome   contract.Outcome
	}{
		"length, closed":                {ok + "Content-Length: 5\r\n\r\ndone", closed, false, 0, contract.OutcomeUnknown},
		"chunks, closed":                {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", closed, false, 0, contract.OutcomeUnknown},
		"connection, closed":            {ok + "\r\ndone", closed, false, 0, contract.OutcomeDone},
		"connection, reset":             {ok + "\r\ndone", reset, false, 0, contract.OutcomeUnknown},
		"connection, reset during call": {ok + "\r\ndone", reset, false, 32 << 20, contract.OutcomeUnknown},
		"connection, service died":      {ok + "\r\ndone", closed, true, 0, contract.OutcomeUnknown},
		"length, whole, service died":   {ok + "Content-Length: 4\r\n\r\ndone", closed, true, 0, contract.OutcomeDone},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			url := startRawService(t, test.dying, func(conn *net.TCPConn) {
				_, _ = io.WriteString(conn, test.answer)
				test.end(conn)
			})
			answer := New(url).Work(t.Context(), contract.Call{Method: "POST", Path: "/", Body: make([]byte, test.bodyBytes)}, nil)
			is.Equal(answer.Outcome, test.outcome)
			if answer.Outcome == contract.OutcomeDone {
				is.Equal(string(answer.Body), "done")
			}
		})
	}
}

// TestAnswerCutInsideHeadIsNotWhole guards against an empty answer, passed on as whole, of a service that closed its connection
// in the middle of the head.
func TestAnswerCutInsideHeadIsNotWhole(t *testing.T) {
	is := is.New(t)
	for _, framing := range []string{"", "Content-Length: 5\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n"} {
		head := "HTTP/1.1 200 OK\r\n" + framing + "\r\n"
		var length atomic.Int64
		service := New(startRawService(t, false, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, head[:length.Load()]) }))
		for length.Store(1); length.Load() < int64(len(head)); length.Add(1) {
			answer := service.Work(t.Context(), contract.Call{Method: "POST", Path: "/"}, nil)
			is.Equal(answer.Outcome, contract.OutcomeUnknown)
		}
	}
}

// TestEndlessAnswerIsNotKept guards against a target daemon that keeps the bytes of a faulty service without end.
func TestEndlessAnswerIsNotKept(t *testing.T) {
	for name, begin := range map[string]string{
		"status line": "HTTP/1.1 200 ", "header": "HTTP/1.1 200 OK\r\nX: ", "body": "HTTP/1.1 200 OK\r\n\r\n",
		"chunk size": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan int64, 1)
			url := startRawService(t, false, func(conn *net.TCPConn) {
				block, sent := []byte(begin), int64(0)
				for sent < 1<<30 {
					n, err := conn.Write(block)
					if sent += int64(n); err != nil {
						break
					}
					block = bytes.Repeat([]byte("x"), 64<<10)
				}
				ended <- sent
			})
			answer := New(url).Work(t.Context(), contract.Call{Method: "POST", Path: "/"}, nil)
			is.Equal(answer.Outcome, contract.OutcomeUnknown)
			is.True(<-ended < 64<<20) // what the daemon and both socket buffers have taken
		})
	}
}
