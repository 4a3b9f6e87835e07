// Package replay sends a trace at its recorded times, whatever the answers do,
// and reports outcomes and latency.
package replay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"camphormill.dev/millload/caller"
	"camphormill.dev/millload/trace"
	"camphormill.dev/parts/contract"
)

// Run replays the events and returns a result for each.
func Run(ctx context.Context, c *caller.Caller, events []trace.Event) []caller.Result {
	results := make([]caller.Result, len(events))
	began := time.Now()
	var wg sync.WaitGroup
	for i, e := range events {
		time.Sleep(time.Until(began.Add(time.Duration(e.AtMS) * time.Millisecond)))
		wg.Go(func() { results[i] = c.Do(ctx, e) })
	}
	wg.Wait()
	return results
}

// Row sums up the results of one kind.
type Row struct {
	Kind       trace.Kind `json:"kind"`
	Requests   int        `json:"requests"`
	Done       int        `json:"done"`
	NotRun     int        `json:"not_run"`
	Unknown    int        `json:"unknown"`
	Resent     int        `json:"resent"`
	Wrong      int        `json:"wrong"`
	P50MS      float64    `json:"p50_ms"`
	P95MS      float64    `json:"p95_ms"`
	P99MS      float64    `json:"p99_ms"`
	FirstP95MS float64    `json:"first_token_p95_ms"`
}

// Report is the outcome of a replay.
type Report struct {
	Rows     []Row    `json:"rows"`
	Problems []string `json:"problems,omitempty"`
}

// maxProblems bounds the problems told one by one.
const maxProblems = 10

// Summarise makes the report. effects counts how often each confirmation took
// effect, by ORGANISATION/ID; nil leaves that check out. allowUnfinished lets a
// final "not run" or "unknown" pass, as under faults.
func Summarise(results []caller.Result, effects map[string]int, allowUnfinished bool) Report {
	var report Report
	for _, kind := range []trace.Kind{trace.KindDraft, trace.KindLookup, trace.KindConfirm} {
		row := Row{Kind: kind}
		took, first := newHistogram(), newHistogram()
		for _, r := range results {
			if r.Event.Kind != kind {
				continue
			}
			row.add(r)
			_ = took.RecordValue(r.Took.Microseconds()) // the range covers any replay
			if r.FirstToken > 0 {
				_ = first.RecordValue(r.FirstToken.Microseconds())
			}
			if problem := wrong(r, effects, allowUnfinished); problem != "" {
				row.Wrong++
				report.note(r, problem)
			} else if r.Outcome != contract.OutcomeDone {
				report.note(r, "ended "+string(r.Outcome)+" after "+strconv.Itoa(r.Sends)+" sends: "+r.Problem)
			} else if r.Sends > 1 {
				report.note(r, "done after "+strconv.Itoa(r.Sends)+" sends, since first: "+r.FirstFault)
			}
		}
		row.P50MS, row.P95MS, row.P99MS = quantile(took, 50), quantile(took, 95), quantile(took, 99)
		row.FirstP95MS = quantile(first, 95)
		report.Rows = append(report.Rows, row)
	}
	return report
}

func newHistogram() *hdrhistogram.Histogram {
	const longest = int64(time.Hour / time.Microsecond)
	return hdrhistogram.New(1, longest, 3)
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func (row *Row) add(r caller.Result) {
	row.Requests++
	if r.Sends > 1 {
		row.Resent++
	}
	switch r.Outcome {
	case contract.OutcomeDone:
		row.Done++
	case contract.OutcomeNotRun:
		row.NotRun++
	default:
		row.Unknown++
	}
}

func (r *Report) note(result caller.Result, problem string) {
	if len(r.Problems) < maxProblems {
		r.Problems = append(r.Problems, fmt.Sprintf("%s %s: %s", result.Event.Kind, result.Event.ID, problem))
	}
}

// wrong says why a result is not right, or nothing.
func wrong(r caller.Result, effects map[string]int, allowUnfinished bool) string {
	if r.Outcome == contract.OutcomeDone && r.Problem != "" {
		return r.Problem
	}
	if r.Outcome != contract.OutcomeDone && !allowUnfinished {
		return "ended " + string(r.Outcome) + ": " + r.Problem
	}
	if r.Event.Kind != trace.KindConfirm || effects == nil {
		return ""
	}
	n := effects[r.Event.Organisation+"/"+r.Event.ID]
	switch {
	case n > 1:
		return fmt.Sprintf("took effect %d times", n)
	case r.Outcome == contract.OutcomeDone && n != 1:
		return "done, and took no effect"
	case r.Outcome == contract.OutcomeNotRun && n != 0:
		return "not run, and took effect"
	}
	return ""
}

// Effects asks the stand-in service how often each confirmation took effect.
func Effects(ctx context.Context, url string) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/effects", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	effects := map[string]int{}
	return effects, json.NewDecoder(resp.Body).Decode(&effects)
}

// Right says whether every request had its right outcome.
func (r Report) Right() bool {
	return !slices.ContainsFunc(r.Rows, func(row Row) bool { return row.Wrong > 0 })
}

// Print prints the report as a table.
func (r Report) Print(w io.Writer) error {
	const padding = 2
	table := tabwriter.NewWriter(w, 0, 0, padding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\trequests\tdone\tnot run\tunknown\tsent again\twrong\tp50 ms\tp95 ms\tp99 ms\tfirst token p95 ms\t")
	for _, row := range r.Rows {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", row.Kind, row.Requests, row.Done,
			row.NotRun, row.Unknown, row.Resent, row.Wrong, row.P50MS, row.P95MS, row.P99MS, row.FirstP95MS)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, problem := range r.Problems {
		if _, err := fmt.Fprintln(w, problem); err != nil {
			return err
		}
	}
	return nil
}
