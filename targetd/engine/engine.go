// Package engine is the adapter to a model engine's published HTTP interface:
// completions streamed as server-sent events. Another interface is a change in
// this package alone.
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

// maxEvent bounds one server-sent event, in bytes.
const maxEvent = 1 << 20

// Engine speaks to one engine.
type Engine struct {
	base   string
	client *http.Client
}

// New returns the adapter for the engine at the base URL.
func New(base string) *Engine {
	return &Engine{base: base, client: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 256},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// event is one server-sent event of a streamed completion.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Work runs a draft and emits its tokens.
func (e *Engine) Work(ctx context.Context, call contract.Call, emit func(token string)) contract.Answer {
	body, err := streamBody(call)
	if err != nil {
		return contract.Refusal(contract.AsFailure(err))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return contract.Refusal(contract.AsFailure(err))
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.client.Do(req)
	if err != nil {
		return lost(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return rejected(resp)
	}
	if err := readEvents(resp.Body, emit); err != nil {
		return lost(err)
	}
	return contract.Answer{Outcome: contract.OutcomeDone, Status: http.StatusOK}
}

// streamBody adds what the engine needs to stream and resume to the caller's
// body.
func streamBody(call contract.Call) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(call.Body, &fields); err != nil {
		return nil, contract.NewFailure(contract.KindInvalidRequest, "the body is no JSON object", "send a completion request")
	}
	resume, err := json.Marshal(call.ResumeFrom)
	if err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage("true")
	fields["resume_from"] = resume
	return json.Marshal(fields)
}

func lost(err error) contract.Answer {
	failure := contract.NewFailure(contract.KindEngineLost,
		"the engine was lost: "+err.Error(), "send the request again")
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return contract.Refusal(failure)
	}
	return contract.Uncertain(failure)
}

func rejected(resp *http.Response) contract.Answer {
	const maxMessage = 4096
	message, _ := io.ReadAll(io.LimitReader(resp.Body, maxMessage)) // what could be read is told
	if resp.StatusCode/100 == 4 {
		return contract.Answer{
			Outcome: contract.OutcomeDone, Status: resp.StatusCode,
			ContentType: resp.Header.Get("Content-Type"), Body: message,
		}
	}
	return contract.Uncertain(contract.NewFailure(contract.KindEngineLost,
		"the engine answered "+resp.Status, "send the request again"))
}

// readEvents emits the text of each event until the end marker. A stream that
// ends without it was cut.
func readEvents(r io.Reader, emit func(token string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEvent)
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
			return errors.Wrap(err, "event cannot be read")
		}
		for _, choice := range ev.Choices {
			emit(choice.Text)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return errors.New("the stream was cut")
}
