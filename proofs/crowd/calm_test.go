//go:build crowd

package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// exchange sends one request on a connection of its own and returns its answer.
func exchange(t *testing.T, f *fleet, send func(m *member) bool) (status int, body string) {
	t.Helper()
	is := is.New(t)
	conn, err := net.DialTimeout("tcp", f.entry.address(callersPort), dialTimeout)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(callerTimeout)))
	m := &member{conn: conn, ctx: t.Context()}
	is.True(send(m))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	raw, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, string(raw)
}

// TestLargestBodyIsServedInCalm guards against limits that refuse a single request inside the published ones.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	const chunkBytes = 256 << 10
	is := is.New(t)
	f := startEntry(t)
	expected := echo(maxBodyBytes, crc32.ChecksumIEEE(bytes.Repeat([]byte("x"), maxBodyBytes)))
	for _, send := range []func(m *member) bool{
		func(m *member) bool {
			return m.write(m.head("POST", "/calls/x", contentLength(maxBodyBytes))) && m.writeBody(maxBodyBytes, 0)
		},
		func(m *member) bool {
			return m.write(m.head("POST", "/calls/x", chunked)) && m.writeChunks(maxBodyBytes, chunkBytes) && m.write([]byte(lastPart))
		},
		func(m *member) bool {
			return m.write(m.head("POST", "/calls/x", chunked)) && m.writeTinyChunks(maxBodyBytes) && m.write([]byte(lastPart))
		},
	} {
		status, body := exchange(t, f, send)
		is.Equal(status, http.StatusOK)
		is.Equal(body, expected)
	}
	f.check(t)
}

// TestLargestHeadIsServedInCalm guards against limits that refuse a single head inside the published one.
func TestLargestHeadIsServedInCalm(t *testing.T) {
	const margin = 512 // bytes for the request line and the headers of every request
	is := is.New(t)
	f := startEntry(t)
	for _, lines := range []string{"Long: " + strings.Repeat("x", maxHeadBytes-margin), strings.TrimSuffix(manyLines(maxHeadBytes-margin), "\r\n")} {
		status, body := exchange(t, f, func(m *member) bool { return m.write(m.head("GET", "/reads/x", lines)) })
		is.Equal(status, http.StatusOK)
		is.Equal(body, fmt.Sprint(echo(0, 0)))
	}
	f.check(t)
}
