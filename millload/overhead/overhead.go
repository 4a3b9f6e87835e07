// Package overhead measures what entryd and targetd add to a request, against
// calling the stand-in directly, in one run of both in turn.
package overhead

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Target is one way to make the same request.
type Target struct {
	Name   string
	URL    string
	Method string
	Header http.Header
	Body   []byte
}

// Config is what a measurement is built from.
type Config struct {
	Targets  []Target
	Callers  int // side by side
	Requests int // for each target and round
	Rounds   int // the targets take turns
}

// Row is what was measured of one target.
type Row struct {
	Name      string  `json:"name"`
	P50MS     float64 `json:"p50_ms"`
	P95MS     float64 `json:"p95_ms"`
	P99MS     float64 `json:"p99_ms"`
	PerSecond float64 `json:"per_second"`
	Failed    int64   `json:"failed"`
}

// Run measures.
func Run(ctx context.Context, c Config) ([]Row, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}
	rows := make([]Row, len(c.Targets))
	histograms := make([]*hdrhistogram.Histogram, len(c.Targets))
	spent := make([]time.Duration, len(c.Targets))
	for i, t := range c.Targets {
		rows[i].Name = t.Name
		histograms[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		if err := once(ctx, client, t); err != nil { // warms the connections
			return nil, errors.Wrapf(err, "%s does not answer", t.Name)
		}
	}
	for range c.Rounds {
		for i, t := range c.Targets {
			began := time.Now()
			rows[i].Failed += round(ctx, client, t, c, histograms[i])
			spent[i] += time.Since(began)
		}
	}
	for i, h := range histograms {
		at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		rows[i].P50MS, rows[i].P95MS, rows[i].P99MS = at(50), at(95), at(99)
		rows[i].PerSecond = float64(h.TotalCount()) / spent[i].Seconds()
	}
	return rows, nil
}

// round sends the requests of one round and returns how many failed.
func round(ctx context.Context, client *http.Client, t Target, c Config, h *hdrhistogram.Histogram) int64 {
	var left, failed atomic.Int64
	left.Store(int64(c.Requests))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range c.Callers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				began := time.Now()
				if once(ctx, client, t) != nil {
					failed.Add(1)
					continue
				}
				mu.Lock()
				_ = h.RecordValue(time.Since(began).Microseconds()) // the range covers any request
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return failed.Load()
}

func once(ctx context.Context, client *http.Client, t Target) error {
	req, err := http.NewRequestWithContext(ctx, t.Method, t.URL, bytes.NewReader(t.Body))
	if err != nil {
		return err
	}
	req.Header = t.Header.Clone()
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
