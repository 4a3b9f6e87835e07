package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/contract"
)

func TestWorkOutcomes(t *testing.T) {
	cases := map[string]struct {
		handler http.HandlerFunc
		body    string
		outcome contract.Outcome
		tokens  string
	}{
		"whole":                          {sseHandler("data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"), "{}", contract.OutcomeDone, "a"},
		"cut":                            {sseHandler("data: {\"choices\":[{\"text\":\"a\"}]}\n\n"), "{}", contract.OutcomeUnknown, "a"},
		"garbage":                        {sseHandler("data: {\n\n"), "{}", contract.OutcomeUnknown, ""},
		"request rejected by the engine": {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusBadRequest) }, "{}", contract.OutcomeDone, ""},
		"engine error":                   {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusInternalServerError) }, "{}", contract.OutcomeUnknown, ""},
		"body is not JSON":               {sseHandler(""), "[", contract.OutcomeNotRun, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(c.handler)
			defer server.Close()
			var tokens strings.Builder
			answer := New(server.URL).Work(context.Background(), contract.Call{Body: []byte(c.body)}, func(s string) { tokens.WriteString(s) })
			is.Equal(answer.Outcome, c.outcome)
			is.Equal(tokens.String(), c.tokens)
		})
	}
}

func TestUnreachableEngineYieldsNotRun(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	answer := New(server.URL).Work(context.Background(), contract.Call{Body: []byte("{}")}, func(string) {})
	is.Equal(answer.Outcome, contract.OutcomeNotRun)
	is.Equal(answer.Failure.Kind, contract.KindEngineLost)
}

func sseHandler(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
}

func FuzzReadEvents(f *testing.F) {
	f.Add("data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n")
	f.Add("data: null\n")
	f.Add("event: x\ndata: {}\n")
	f.Fuzz(func(t *testing.T, text string) {
		if readEvents(strings.NewReader(text), func(string) {}) == nil && !strings.Contains(text, "[DONE]") {
			t.Fatal("a stream without its end marker was accepted as complete")
		}
	})
}

// TestCutOffRefusalIsNotPassedOn guards against an engine's error response that broke off, or is longer than
// what is read of it, and that the caller gets as a whole one.
func TestCutOffRefusalIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		length  int // of the body as announced
		sent    int
		outcome contract.Outcome
	}{
		{100, 100, contract.OutcomeDone},
		{100, 60, contract.OutcomeUnknown},
		{maxRefusalBytes, maxRefusalBytes, contract.OutcomeDone},
		{maxRefusalBytes + 1, maxRefusalBytes + 1, contract.OutcomeUnknown},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(test.length))
			w.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(w, strings.Repeat("x", test.sent))
		}))
		answer := New(server.URL).Work(t.Context(), contract.Call{Body: []byte("{}")}, func(string) {})
		server.Close()
		is.Equal(answer.Outcome, test.outcome)
		if answer.Outcome == contract.OutcomeDone {
			is.Equal(len(answer.Body), test.sent)
		}
	}
}
