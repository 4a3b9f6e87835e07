package platform_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/platform"
)

// startRaw starts an HTTP service that sends the bytes as its response to each request, and closes the connection.
func startRaw(t *testing.T, response string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte(response))
		_ = conn.(*net.TCPConn).Close()
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// TestCutOffLogPageFails covers each byte at which a page of the log can end, with a length and without: a
// page must not pass for one with fewer records.
func TestCutOffLogPageFails(t *testing.T) {
	is := is.New(t)
	const page = `{"records":[{"offset":4,"data":{"a":1}},{"offset":5,"data":{"a":2}}],"end":6,"first":0}`
	for _, framing := range []string{fmt.Sprintf("Content-Length: %d\r\n", len(page)), ""} {
		for cut := range len(page) + 1 {
			log := platform.NewHTTPLog(startRaw(t, "HTTP/1.1 200 OK\r\n"+framing+"\r\n"+page[:cut]))
			got, err := log.Read(t.Context(), "s", 4, time.Millisecond)
			if cut == len(page) {
				is.NoErr(err)
				is.Equal(len(got.Records), 2)
				continue
			}
			is.True(err != nil)
		}
	}
}
