// Package engine is the adapter to a model engine's HTTP interface, which streams completions
// as server-sent events. Support for another interface requires changes in this package only.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"camphormill.dev/parts/contract"
)

// maxEventBytes bounds the size in bytes of one line of the stream, which holds one event.
const maxEventBytes = 1 << 20

// Engine is an HTTP client of one model engine.
type Engine struct {
	baseURL string
	client  *http.Client
}

// New returns the adapter for the engine at the base URL. It follows no redirects. Each draft has a
// connection of its own, so that no late copy of an earlier answer is taken for its answer.
func New(baseURL string) *Engine {
	const noIdleConnections = -1
	return &Engine{baseURL: baseURL, client: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: noIdleConnections},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// event is one server-sent event of a streamed completion.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Work runs a draft and passes each of its tokens to emit. Its outcome is OutcomeUnknown if
// the engine may have run the draft without a complete answer.
func (e *Engine) Work(ctx context.Context, call contract.Call, emit func(token string)) contract.Answer {
	body, err := streamingBody(call)
	if err != nil {
		return contract.NotRunAnswer(contract.AsFailure(err))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.baseURL+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return contract.NotRunAnswer(contract.AsFailure(err))
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return lostAnswer(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorAnswer(resp)
	}
	if err := readEvents(resp.Body, emit); err != nil {
		return lostAnswer(err)
	}
	return contract.Answer{Outcome: contract.OutcomeDone, Status: http.StatusOK}
}

// streamingBody adds to the caller's body the fields that make the engine stream the
// completion from the token with the number call.ResumeFrom on.
func streamingBody(call contract.Call) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(call.Body, &fields); err != nil {
		return nil, contract.NewFailure(contract.KindInvalidRequest, "the body is not a JSON object", "send a completion request")
	}
	resume, err := json.Marshal(call.ResumeFrom)
	if err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["resume_from"] = resume
	return json.Marshal(fields)
}

// lostAnswer returns the answer for a failed connection or a stream that was not complete.
// Only a draft whose connection was never opened is certain not to have run.
func lostAnswer(err error) contract.Answer {
	failure := contract.NewFailure(contract.KindEngineLost,
		"the connection to the engine failed: "+err.Error(), "send the request again")
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return contract.NotRunAnswer(failure)
	}
	return contract.UnknownAnswer(failure)
}

// maxRefusalBytes bounds the body of an engine's error response in bytes.
const maxRefusalBytes = 64 << 10

// errorAnswer returns the answer for a status other than 200. A 4xx status means that the
// engine rejected the request, so the caller gets the engine's response, if it is whole. After any
// other status the draft may have run.
func errorAnswer(resp *http.Response) contract.Answer {
	if resp.StatusCode/100 != 4 {
		return contract.UnknownAnswer(contract.NewFailure(contract.KindEngineLost,
			"the engine answered "+resp.Status, "send the request again"))
	}
	message, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes+1))
	if err != nil {
		return lostAnswer(err)
	}
	if len(message) > maxRefusalBytes {
		return contract.UnknownAnswer(contract.NewFailure(contract.KindTooLarge,
			"the engine answered "+resp.Status+" with a body over the size limit", "look at the engine's log"))
	}
	return contract.Answer{
		Outcome: contract.OutcomeDone, Status: resp.StatusCode,
		ContentType: resp.Header.Get("Content-Type"), Body: message,
	}
}

// readEvents passes the text of each event to emit until the end marker [DONE]. It skips
// lines that hold no event data. It returns an error if an event cannot be decoded or the
// stream ends without the marker.
func readEvents(r io.Reader, emit func(token string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		var ev event
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			return errors.Wrap(err, "decoding an event failed")
		}
		for _, choice := range ev.Choices {
			emit(choice.Text)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("the stream ended without its end marker")
}
