// Package replay sends the events of a trace at their recorded times, independently of
// the answers (open loop), and decides for the verb replay whether each outcome is
// correct. It reports outcomes and latencies.
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

// Run sends the events at their times and returns one result for each, in their order,
// when all have their final outcome. The end of ctx ends the requests but not the waits
// between events, so Run still lasts until the time of the last event.
func Run(ctx context.Context, c *caller.Caller, events []trace.Event) []caller.Result {
	results := make([]caller.Result, len(events))
	start := time.Now()
	var wg sync.WaitGroup
	for i, e := range events {
		time.Sleep(time.Until(start.Add(time.Duration(e.AtMS) * time.Millisecond)))
		wg.Go(func() { results[i] = c.Do(ctx, e) })
	}
	wg.Wait()
	return results
}

// Row summarises the results of one kind of event. Resent counts the events that were
// sent more than once, Wrong those with an incorrect outcome. The percentiles are those of
// all results, whatever their outcome, with retries; FirstP95MS is that of the time to the
// first token.
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

// Report is the summary of a replay. Problems describes one by one the first maxProblems
// results that were wrong, not done, or done only after a retry.
type Report struct {
	Rows     []Row    `json:"rows"`
	Problems []string `json:"problems,omitempty"`
}

// maxProblems bounds the problems in a report.
const maxProblems = 10

// Summarise returns the report on the results. effects counts how often each confirmation
// took effect, by ORGANISATION/ID; nil skips that check. allowUnfinished accepts the final
// outcomes "not run" and "unknown", which are expected under faults.
func Summarise(results []caller.Result, effects map[string]int, allowUnfinished bool) Report {
	var report Report
	for _, kind := range []trace.Kind{trace.KindDraft, trace.KindLookup, trace.KindConfirm} {
		row := Row{Kind: kind}
		latency, firstToken := newHistogram(), newHistogram()
		for _, r := range results {
			if r.Event.Kind != kind {
				continue
			}
			row.add(r)
			_ = latency.RecordValue(r.Duration.Microseconds()) // a duration above the histogram's range is left out
			if r.TimeToFirstToken > 0 {
				_ = firstToken.RecordValue(r.TimeToFirstToken.Microseconds())
			}
			if problem := checkResult(r, effects, allowUnfinished); problem != "" {
				row.Wrong++
				report.addProblem(r, problem)
			} else if r.Outcome != contract.OutcomeDone {
				report.addProblem(r, "ended "+string(r.Outcome)+" after "+strconv.Itoa(r.Sends)+" sends: "+r.Problem)
			} else if r.Sends > 1 {
				report.addProblem(r, "done after "+strconv.Itoa(r.Sends)+" sends; first problem: "+r.FirstProblem)
			}
		}
		row.P50MS, row.P95MS, row.P99MS = percentileMS(latency, 50), percentileMS(latency, 95), percentileMS(latency, 99)
		row.FirstP95MS = percentileMS(firstToken, 95)
		report.Rows = append(report.Rows, row)
	}
	return report
}

// newHistogram returns a histogram of microseconds, from 1 µs to 1 h, with three
// significant digits.
func newHistogram() *hdrhistogram.Histogram {
	const longest = int64(time.Hour / time.Microsecond)
	return hdrhistogram.New(1, longest, 3)
}

// percentileMS returns a percentile, from 0 to 100, in milliseconds.
func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
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

// addProblem adds the problem of a result unless the report has maxProblems.
func (r *Report) addProblem(result caller.Result, problem string) {
	if len(r.Problems) < maxProblems {
		r.Problems = append(r.Problems, fmt.Sprintf("%s %s: %s", result.Event.Kind, result.Event.ID, problem))
	}
}

// checkResult returns why a result is incorrect, or an empty string.
func checkResult(r caller.Result, effects map[string]int, allowUnfinished bool) string {
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
		return "done, but took no effect"
	case r.Outcome == contract.OutcomeNotRun && n != 0:
		return "not run, but took effect"
	}
	return ""
}

// FetchEffects fetches from the stand-in service at the base URL how often each confirmation
// took effect, by ORGANISATION/ID. It does not check the status code.
func FetchEffects(ctx context.Context, url string) (map[string]int, error) {
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

// AllCorrect reports whether every event had a correct outcome.
func (r Report) AllCorrect() bool {
	return !slices.ContainsFunc(r.Rows, func(row Row) bool { return row.Wrong > 0 })
}

// Print prints the report as a table, followed by the problems.
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
