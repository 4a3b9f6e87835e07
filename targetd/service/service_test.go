package service

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

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
