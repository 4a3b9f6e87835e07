package group

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"camphormill.dev/parts/expertmap"
)

// NewHTTPEngine returns the engine served at the base URL.
func NewHTTPEngine(base string) Engine {
	h := httpEngine{base: base, client: &http.Client{}}
	return Engine{Completed: h.completed, Grant: h.grant, Load: h.load, Loads: h.loads}
}

type httpEngine struct {
	base   string
	client *http.Client
}

func (h httpEngine) completed(ctx context.Context, rank int) (expertmap.Step, error) {
	var answer struct {
		Completed expertmap.Step `json:"completed"`
	}
	err := h.do(ctx, http.MethodGet, fmt.Sprintf("/v1/ranks/%d", rank), nil, &answer)
	return answer.Completed, err
}

func (h httpEngine) grant(ctx context.Context, rank int, permits []expertmap.Permit) error {
	return h.do(ctx, http.MethodPost, fmt.Sprintf("/v1/ranks/%d/permits", rank), permits, nil)
}

func (h httpEngine) load(ctx context.Context, rank int, m expertmap.MapID) error {
	body := struct {
		Map expertmap.MapID `json:"map"`
	}{m}
	return h.do(ctx, http.MethodPost, fmt.Sprintf("/v1/ranks/%d/load", rank), body, nil)
}

func (h httpEngine) loads(ctx context.Context) ([][]float64, error) {
	var answer struct {
		Layers [][]float64 `json:"layers"`
	}
	err := h.do(ctx, http.MethodGet, "/v1/loads", nil, &answer)
	return answer.Layers, err
}

func (h httpEngine) do(ctx context.Context, method, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "group: the engine was lost; look at its host")
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("group: the engine answered %s to %s; look at its log", resp.Status, path)
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(answer), "group: the engine's answer cannot be read")
}
