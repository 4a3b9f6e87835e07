package frontend

import (
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"camphormill.dev/entryd/relay"
)

// TestBrokenResponsesAreCounted guards against metrics that don't show that targets break off their
// responses as long as callers get them whole.
func TestBrokenResponsesAreCounted(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	newObserver(set).observe(relay.Outcome{Service: "brief-model", Status: 200, Attempts: 2, Broken: []relay.BrokenResponse{{Framing: "connection", CallerGot: "whole"}}})
	var out strings.Builder
	set.WritePrometheus(&out)
	is.True(strings.Contains(out.String(), `camphormill_broken_responses_total{service="brief-model",framing="connection",caller_got="whole"} 1`))
}

// TestFailedResumesAreCounted guards against metrics that don't tell targets that break off streams from
// targets that don't resume them.
func TestFailedResumesAreCounted(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	newObserver(set).observe(relay.Outcome{Service: "brief-model", Status: 200, Attempts: 3, FailedResumes: 2})
	var out strings.Builder
	set.WritePrometheus(&out)
	is.True(strings.Contains(out.String(), `camphormill_failed_resumes_total{service="brief-model"} 2`))
}

// TestRetriesAreCountedByCause guards against metrics that don't tell why retries are sent, or that the retry
// budget withholds them.
func TestRetriesAreCountedByCause(t *testing.T) {
	is := is.New(t)
	set := metrics.NewSet()
	o := newObserver(set)
	o.countRetry(relay.Retry{Service: "brief-model", Cause: "target_refused", Sent: true, Tokens: 1.5})
	o.countRetry(relay.Retry{Service: "brief-model", Cause: "answer_lost", Tokens: 0.5})
	var out strings.Builder
	set.WritePrometheus(&out)
	for _, line := range []string{
		`camphormill_retries_sent_total{service="brief-model",cause="target_refused"} 1`,
		`camphormill_retries_withheld_total{service="brief-model",cause="answer_lost"} 1`,
		`camphormill_retry_tokens{service="brief-model"} 0.5`,
	} {
		is.True(strings.Contains(out.String(), line))
	}
}
