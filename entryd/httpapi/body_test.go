package httpapi_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/preset"
)

// TestIncompleteBodyIsAnsweredAtDeadline guards against a request whose body stops short of its end and that is held until its
// caller leaves, so that a stop waits for it.
func TestIncompleteBodyIsAnsweredAtDeadline(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(newHandler(t, preset.Initial()))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second))) // far over the timeout of the request
	_, err = fmt.Fprint(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key-of-muscat\r\n",
		"Camphormill-Timeout-Ms: 100\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	var a answer
	is.NoErr(json.Unmarshal(body, &a))
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(a.Kind, contract.KindDeadline)
	is.Equal(a.Outcome, contract.OutcomeNotRun)
}
