package httpclient

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// connectionHeaders are not copied from the request, because write sets them.
var connectionHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// write writes a request of HTTP/1.1. http.Request.Write would encode its target anew.
func write(w io.Writer, r Request) error {
	target := r.Target
	if target == "" {
		target = r.HTTP.URL.RequestURI()
	}
	host := r.HTTP.Host
	if host == "" {
		host = r.HTTP.URL.Host
	}
	if strings.ContainsAny(target, " \t\r\n") || strings.ContainsAny(host, " \t\r\n") {
		return fmt.Errorf("request target %q or host %q holds a space or a line break; it cannot be sent", target, host)
	}
	buffered := bufio.NewWriter(w)
	_, _ = fmt.Fprintf(buffered, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.HTTP.Method, target, host) // an error is kept until Flush
	if hasLength(r.HTTP) {
		_, _ = fmt.Fprintf(buffered, "Content-Length: %d\r\n", r.HTTP.ContentLength)
	}
	if err := r.HTTP.Header.WriteSubset(buffered, connectionHeaders); err != nil {
		return err
	}
	_, _ = buffered.WriteString("\r\n")
	if r.HTTP.Body != nil {
		if _, err := io.Copy(buffered, r.HTTP.Body); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

// hasLength reports whether a request names the length of its body: without one, only methods that usually have
// a body do.
func hasLength(r *http.Request) bool {
	switch r.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return r.ContentLength > 0
}
