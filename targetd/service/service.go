// Package service is the adapter to an HTTP service.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"

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
// redirects. It must not retry a call, which could then take effect twice; see Work.
func New(baseURL string) *Service {
	return &Service{baseURL: baseURL, client: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 256},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Work makes one call. It passes the organisation to the service in a header that callers
// cannot set. It ignores its last parameter, because a service streams no tokens.
func (s *Service) Work(ctx context.Context, call contract.Call, _ func(token string)) contract.Answer {
	// Without GetBody, net/http cannot resend the body after a lost connection. A GET without
	// a body can still be resent.
	body := io.NopCloser(bytes.NewReader(call.Body))
	req, err := http.NewRequestWithContext(ctx, call.Method, s.baseURL+call.Path, body)
	if err != nil {
		return contract.NotRunAnswer(contract.NewFailure(contract.KindInvalidRequest, err.Error(), "correct the path"))
	}
	req.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		req.Body = http.NoBody
	}
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
	if len(answer) > maxAnswerBytes {
		return contract.UnknownAnswer(contract.NewFailure(contract.KindTooLarge,
			"the service's answer exceeds the size limit; the call was run", "request a smaller answer from the service"))
	}
	return contract.Answer{
		Outcome: contract.OutcomeDone, Status: resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"), Body: answer,
	}
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
