package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
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
