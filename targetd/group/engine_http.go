package group

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"camphormill.dev/parts/expertmap"
)

// maxAnswerBytes bounds an answer of the engine, of which the loads of all experts are the longest.
const maxAnswerBytes = 8 << 20

// NewHTTPEngine returns the Engine that is served at the base URL. Its calls have no timeout but
// that of their ctx, and fail if the engine is unreachable or does not answer with a 2xx status.
func NewHTTPEngine(baseURL string) Engine {
	h := httpEngine{baseURL: baseURL, client: &http.Client{}}
	return Engine{Completed: h.completed, Grant: h.grant, Load: h.load, Loads: h.loads}
}

type httpEngine struct {
	baseURL string
	client  *http.Client
}

func (h httpEngine) completed(ctx context.Context, rank int) (expertmap.Step, error) {
	var result struct {
		Completed expertmap.Step `json:"completed"`
	}
	err := h.call(ctx, http.MethodGet, fmt.Sprintf("/v1/ranks/%d", rank), nil, &result)
	return result.Completed, err
}

func (h httpEngine) grant(ctx context.Context, rank int, permits []expertmap.Permit) error {
	return h.call(ctx, http.MethodPost, fmt.Sprintf("/v1/ranks/%d/permits", rank), permits, nil)
}

func (h httpEngine) load(ctx context.Context, rank int, m expertmap.MapID) error {
	body := struct {
		Map expertmap.MapID `json:"map"`
	}{m}
	return h.call(ctx, http.MethodPost, fmt.Sprintf("/v1/ranks/%d/load", rank), body, nil)
}

func (h httpEngine) loads(ctx context.Context) ([][]float64, error) {
	var result struct {
		Layers [][]float64 `json:"layers"`
	}
	err := h.call(ctx, http.MethodGet, "/v1/loads", nil, &result)
	return result.Layers, err
}

// call sends body as JSON and decodes the answer into result, unless result is nil.
func (h httpEngine) call(ctx context.Context, method, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, h.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "group: the engine is unreachable; check its host")
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("group: the engine answered %s to %s; check its log", resp.Status, path)
	}
	if result == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(result), "group: decoding the engine's answer failed")
}
