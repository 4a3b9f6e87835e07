package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/platform"
)

const soundHost = `{"name":"t1","role":"target","address":"10.0.0.1:7000","zone":"a","serves":"m"}`

// list reads a host list with the body.
func list(t *testing.T, body string) (platform.Listing, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	defer server.Close()
	return platform.NewHTTPHostList(server.URL).List(context.Background())
}

// TestOddEntryDoesNotHideOtherHosts guards against daemons that stop following the host list because another
// writer has left one entry in it that can't be read.
func TestOddEntryDoesNotHideOtherHosts(t *testing.T) {
	nested := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	for name, odd := range map[string]string{
		"nested":               nested(100_000),
		"nested in a field":    `{"name":"odd","role":"target","address":` + nested(100_000) + `}`,
		"nested unknown field": `{"name":"odd","extra":` + nested(100_000) + `}`,
		"number too large":     `{"name":"odd","role":"target","address":"10.0.0.2:7000","zone":1e999999}`,
		"port too large":       `{"name":"odd","role":"target","address":"10.0.0.2:65536"}`,
		"port 0":               `{"name":"odd","role":"target","address":"10.0.0.2:0"}`,
		"no port":              `{"name":"odd","role":"target","address":"10.0.0.2"}`,
		"a name for address":   `{"name":"odd","role":"target","address":"localhost:80"}`,
		"no name":              `{"role":"target","address":"10.0.0.2:7000"}`,
		"text":                 `"odd"`,
		"number":               `1e999999`,
		"null":                 `null`,
		"leaving is text":      `{"name":"odd","role":"target","address":"10.0.0.2:7000","leaving":"yes"}`,
		"empty":                `{}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, entries := range []string{odd + "," + soundHost, soundHost + "," + odd} {
				listing, err := list(t, `{"at":`+nested(20_000)+`,"hosts":[`+entries+`],"more":`+odd+`}`)
				is.NoErr(err)
				is.Equal(listing.Hosts, []platform.Host{{Name: "t1", Role: "target", Address: "10.0.0.1:7000", Zone: "a", ServiceName: "m"}})
				is.Equal(len(listing.Invalid), 1)
			}
		})
	}
}

// TestBrokenHostListIsAnError guards against a list that ends early and is taken for the whole, so that hosts that
// follow are dropped.
func TestBrokenHostListIsAnError(t *testing.T) {
	is := is.New(t)
	const whole = `{"hosts":[` + soundHost + `]}`
	for n := range len(whole) {
		_, err := list(t, whole[:n])
		is.True(err != nil)
	}
	for _, body := range []string{`{}`, `[]`, `null`, `{"hosts":{}}`} {
		_, err := list(t, body)
		is.True(err != nil)
	}
	for _, body := range []string{`{"hosts":[]}`, `{"hosts":null}`} {
		listing, err := list(t, body)
		is.NoErr(err)
		is.Equal(len(listing.Hosts), 0)
	}
}
