package group

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEndlessLoadsAreNotKept guards against a target daemon that keeps an answer of its engine without end in memory.
func TestEndlessLoadsAreNotKept(t *testing.T) {
	for name, part := range map[string]struct{ begin, repeated string }{
		"string": {`{"x": "`, "x"}, "numbers": {`{"layers": [[`, "1,"}, "spaces": {"", " "},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := make(chan int, 1)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				total, block := 0, part.begin
				for total < 256<<20 {
					n, err := io.WriteString(w, block)
					if total += n; err != nil {
						break
					}
					block = strings.Repeat(part.repeated, 64<<10)
				}
				sent <- total
			}))
			t.Cleanup(server.Close)
			_, err := NewHTTPEngine(server.URL).Loads(t.Context())
			is.True(err != nil)
			is.True(<-sent < 64<<20) // both socket buffers included
		})
	}
}
