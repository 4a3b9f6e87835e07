// Package service is the adapter to an HTTP service.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/parts/contract"
)

// maxAnswerBytes bounds the size in bytes of the body of a service's answer.
const maxAnswerBytes = 8 << 20

// Service is an HTTP client of one service.
type Service struct {
	baseURL string
	client  *http.Client
}

// New returns the adapter for the service at the base URL. Its client follows no
// redirects. It must not retry a call, which could then take effect twice; see Work. Each call has a
// connection of its own, which is cheap on the same host: on one that was in use before, a late copy of an
// earlier answer would be taken for the answer to this call, and net/http sends a call without a body again.
func New(baseURL string) *Service {
	const noIdleConnections = -1
	return &Service{baseURL: baseURL, client: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: noIdleConnections},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Work makes one call. It passes the organisation to the service in a header that callers
// cannot set. It ignores its last parameter, because a service streams no tokens.
func (s *Service) Work(ctx context.Context, call contract.Call, _ func(token string)) contract.Answer {
	// Without GetBody, net/http cannot resend the body after a lost connection.
	body := io.NopCloser(bytes.NewReader(call.Body))
	req, err := http.NewRequestWithContext(ctx, call.Method, s.baseURL, body)
	if err == nil {
		req.URL, err = withTarget(req.URL, call.Path)
	}
	if err != nil {
		return contract.NotRunAnswer(contract.NewFailure(contract.KindInvalidRequest, err.Error(), "correct the path"))
	}
	req.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		req.Body = http.NoBody
	}
	written := make(chan error, 1)
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			select {
			case <-written: // of an earlier connection, on which net/http has sent a read before
			default:
			}
			written <- info.Err
		},
	}))
	req.Header.Set("Camphormill-Organisation", call.Organisation)
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return lostAnswer(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return lostAnswer(err)
	}
	if endsWithConnection(resp) {
		if err := checkConnectionEnd(ctx, resp.Request.URL, written); err != nil {
			return lostAnswer(err)
		}
	}
	if len(answer) > maxAnswerBytes {
		return contract.UnknownAnswer(contract.NewFailure(contract.KindTooLarge,
			"the service's answer exceeds the size limit; the call was run", "request a smaller answer from the service"))
	}
	return contract.Answer{
		Outcome: contract.OutcomeDone, Status: resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"), Body: answer,
	}
}

// withTarget returns a URL whose request target is the path of the base URL and then path, byte for byte.
func withTarget(base *url.URL, path string) (*url.URL, error) {
	target := strings.TrimSuffix(base.EscapedPath(), "/") + path
	if _, err := url.ParseRequestURI(target); err != nil {
		return nil, errors.Wrap(err, "path is no request target")
	}
	if !strings.HasPrefix(target, "/") || strings.HasPrefix(target, "//") || strings.Contains(target, " ") {
		return nil, errors.Errorf("path %q cannot be sent as it is", path)
	}
	return &url.URL{Scheme: base.Scheme, Host: base.Host, Opaque: target}, nil
}

// endsWithConnection reports whether the body of an answer has neither length nor chunks.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed && resp.Request.Method != http.MethodHead
}

const (
	// writeErrorTimeout bounds the wait for the end of writing a call whose connection has ended.
	writeErrorTimeout = 100 * time.Millisecond
	// livenessTimeout bounds the connection attempt that decides whether the service is dead.
	livenessTimeout = 250 * time.Millisecond
)

// checkConnectionEnd returns an error if an answer that ends with its connection was broken off, although
// the connection ended regularly: a reset may have been reported to the writing of the call instead, and a service that dies
// closes its connections.
func checkConnectionEnd(ctx context.Context, u *url.URL, written <-chan error) error {
	select {
	case err := <-written:
		if err != nil {
			return errors.Wrap(err, "service answered before it had the call")
		}
	case <-time.After(writeErrorTimeout):
		return errors.New("service ended its answer before it had the call")
	case <-ctx.Done():
		return ctx.Err()
	}
	address := u.Host
	if u.Port() == "" {
		address = net.JoinHostPort(u.Hostname(), "http")
	}
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.New("service died as its answer ended with the connection")
	}
	if err == nil {
		_ = conn.Close()
	}
	return nil
}

// lostAnswer returns the answer for a failed connection. Only a call whose connection was
// never opened is certain not to have run.
func lostAnswer(err error) contract.Answer {
	failure := contract.NewFailure(contract.KindEngineLost,
		"the connection to the service failed: "+err.Error(), "check with the service whether the call took effect")
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return contract.NotRunAnswer(failure)
	}
	return contract.UnknownAnswer(failure)
}
