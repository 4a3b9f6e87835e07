// Package service is the adapter to a plain HTTP service.
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

// maxAnswer bounds the answer of a service, in bytes.
const maxAnswer = 8 << 20

// Service speaks to one service.
type Service struct {
	base   string
	client *http.Client
}

// New returns the adapter for the service at the base URL. The client never
// sends a request a second time by itself.
func New(base string) *Service {
	return &Service{base: base, client: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 256},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Work makes one call. The service learns the organisation from a header that
// callers cannot set.
func (s *Service) Work(ctx context.Context, call contract.Call, _ func(token string)) contract.Answer {
	// Without GetBody, net/http cannot send the body again on a lost
	// connection.
	body := io.NopCloser(bytes.NewReader(call.Body))
	req, err := http.NewRequestWithContext(ctx, call.Method, s.base+call.Path, body)
	if err != nil {
		return contract.Refusal(contract.NewFailure(contract.KindInvalidRequest, err.Error(), "mend the path"))
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
		return lost(err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return lost(err)
	}
	if len(answer) > maxAnswer {
		return contract.Uncertain(contract.NewFailure(contract.KindTooLarge,
			"the service's answer is too large; the call ran", "ask the service for less"))
	}
	return contract.Answer{
		Outcome: contract.OutcomeDone, Status: resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"), Body: answer,
	}
}

// lost tells a service that could not be reached from one whose answer was
// lost: only the first did surely not run the call.
func lost(err error) contract.Answer {
	failure := contract.NewFailure(contract.KindEngineLost,
		"the service was lost: "+err.Error(), "look up with the service whether the call took effect")
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return contract.Refusal(failure)
	}
	return contract.Uncertain(failure)
}
