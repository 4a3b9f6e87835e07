package httpapi

import (
	"testing"

	"github.com/matryer/is"
)

// TestServicePathIsNotEncodedAnew guards against a call whose path or query reaches the service changed.
func TestServicePathIsNotEncodedAnew(t *testing.T) {
	is := is.New(t)
	for _, path := range []string{"/", "/x", "/x?", "/x??", "/a%2Fb", "/a\"b%2fc?q=\"", "/x;v=1?a;b", "/caf\u00e9", "/a//b"} {
		got, ok := servicePath("/v1/services/roster-app" + path)
		is.True(ok)
		is.Equal(got, path)
	}
	for _, target := range []string{"/v1/services/roster-app", "/v1/services/roster-app//x", "http://h/v1/services/roster-app/x", "/v1/services/roster-app/\xff"} {
		_, ok := servicePath(target)
		is.True(!ok)
	}
}
