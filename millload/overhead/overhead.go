// Package overhead measures what entryd and targetd add to a request, compared with a
// direct request to the stand-in. The variants take turns in each round, so that all meet
// the same conditions of the machine.
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

// Variant is one way to send the request: directly or through the daemons.
type Variant struct {
	Name   string
	URL    string
	Method string
	Header http.Header
	Body   []byte
}

// Config describes a measurement.
type Config struct {
	Variants []Variant
	Callers  int // concurrent callers
	Requests int // per variant and round
	Rounds   int // in each of which the variants take turns
}

// Row is the result of one variant. The latencies are those of successful requests, and
// PerSecond is the rate of successful requests over the time of the variant's rounds. A
// successful request longer than the histogram's range, at least a minute, counts in none
// of the figures.
type Row struct {
	Name      string  `json:"name"`
	P50MS     float64 `json:"p50_ms"`
	P95MS     float64 `json:"p95_ms"`
	P99MS     float64 `json:"p99_ms"`
	PerSecond float64 `json:"per_second"`
	Failed    int64   `json:"failed"`
}

// Run measures the variants and returns one row for each, in their order. It fails if a
// variant does not answer a first request.
func Run(ctx context.Context, c Config) ([]Row, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}
	rows := make([]Row, len(c.Variants))
	histograms := make([]*hdrhistogram.Histogram, len(c.Variants))
	elapsed := make([]time.Duration, len(c.Variants))
	for i, v := range c.Variants {
		rows[i].Name = v.Name
		histograms[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		if err := sendOnce(ctx, client, v); err != nil { // opens a connection before measuring
			return nil, errors.Wrapf(err, "%s does not answer; check its URL and key", v.Name)
		}
	}
	for range c.Rounds {
		for i, v := range c.Variants {
			start := time.Now()
			rows[i].Failed += runRound(ctx, client, v, c, histograms[i])
			elapsed[i] += time.Since(start)
		}
	}
	for i, h := range histograms {
		percentileMS := func(p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
		rows[i].P50MS, rows[i].P95MS, rows[i].P99MS = percentileMS(50), percentileMS(95), percentileMS(99)
		rows[i].PerSecond = float64(h.TotalCount()) / elapsed[i].Seconds()
	}
	return rows, nil
}

// runRound sends the requests of one round and returns how many failed.
func runRound(ctx context.Context, client *http.Client, v Variant, c Config, h *hdrhistogram.Histogram) int64 {
	var remaining, failed atomic.Int64
	remaining.Store(int64(c.Requests))
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range c.Callers {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				start := time.Now()
				if sendOnce(ctx, client, v) != nil {
					failed.Add(1)
					continue
				}
				mu.Lock()
				_ = h.RecordValue(time.Since(start).Microseconds()) // a duration above the histogram's range is left out
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return failed.Load()
}

// sendOnce sends one request and reads the response to its end. Any status but 200 is an
// error.
func sendOnce(ctx context.Context, client *http.Client, v Variant) error {
	req, err := http.NewRequestWithContext(ctx, v.Method, v.URL, bytes.NewReader(v.Body))
	if err != nil {
		return err
	}
	req.Header = v.Header.Clone()
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected status %d", resp.StatusCode)
	}
	return nil
}
