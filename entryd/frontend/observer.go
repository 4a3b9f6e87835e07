package frontend

import (
	"fmt"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"camphormill.dev/entryd/relay"
	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/daemon"
)

// maxOrganisationSeries bounds the organisations with their own metric series; all others
// share one, so that a large configuration cannot exhaust memory.
const maxOrganisationSeries = 64

// observer updates the metrics of requests by organisation, service, status and reason.
type observer struct {
	set *metrics.Set

	mu       sync.Mutex
	labelled map[string]bool
}

func newObserver(set *metrics.Set) *observer {
	return &observer{set: set, labelled: map[string]bool{}}
}

// organisationLabel returns the label value of an organisation, or "other" if
// maxOrganisationSeries others have their own series.
func (o *observer) organisationLabel(name string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.labelled[name] && len(o.labelled) >= maxOrganisationSeries {
		return "other"
	}
	o.labelled[name] = true
	return name
}

// observe records the outcome of one request.
func (o *observer) observe(r relay.Outcome) {
	organisation := o.organisationLabel(r.Organisation)
	labels := fmt.Sprintf(`{organisation=%q,service=%q,status=%q,reason=%q}`, organisation, r.Service, strconv.Itoa(r.Status), r.Reason)
	o.set.GetOrCreateCounter(`camphormill_requests_total` + labels).Inc()
	if r.Attempts > 1 {
		o.set.GetOrCreateCounter(fmt.Sprintf(`camphormill_retries_total{service=%q}`, r.Service)).Add(r.Attempts - 1)
	}
	for _, b := range r.Broken {
		o.set.GetOrCreateCounter(fmt.Sprintf(`camphormill_broken_responses_total{service=%q,framing=%q,caller_got=%q}`, r.Service, b.Framing, b.CallerGot)).Inc()
	}
	if r.FailedResumes > 0 {
		o.set.GetOrCreateCounter(fmt.Sprintf(`camphormill_failed_resumes_total{service=%q}`, r.Service)).Add(r.FailedResumes)
	}
	if r.TimeToFirstByte > 0 {
		o.set.GetOrCreateHistogram(fmt.Sprintf(`camphormill_first_byte_seconds{organisation=%q}`, organisation)).Update(r.TimeToFirstByte.Seconds())
	}
	o.set.GetOrCreateHistogram(fmt.Sprintf(`camphormill_request_seconds{organisation=%q}`, organisation)).Update(r.Duration.Seconds())
}

// countRetry counts a retry that was due, by its cause and by whether the retry budget withheld it.
func (o *observer) countRetry(r relay.Retry) {
	name := "camphormill_retries_withheld_total"
	if r.Sent {
		name = "camphormill_retries_sent_total"
	}
	o.set.GetOrCreateCounter(fmt.Sprintf(`%s{service=%q,cause=%q}`, name, r.Service, r.Cause)).Inc()
	o.set.GetOrCreateGauge(fmt.Sprintf(`camphormill_retry_tokens{service=%q}`, r.Service), nil).Set(r.Tokens)
}

// countTargetDeath counts a request whose target died while it ran the request.
func (o *observer) countTargetDeath(service string) {
	o.set.GetOrCreateCounter(fmt.Sprintf(`camphormill_target_deaths_total{service=%q}`, service)).Inc()
}

// observeServer adds the gauges of the server for callers and of the budget of the process.
func (o *observer) observeServer(server *daemon.Server, budget *bytebudget.Budget) {
	gauge := func(name string, value func() int64) {
		o.set.NewGauge(name, func() float64 { return float64(value()) })
	}
	gauge(`camphormill_connections_open`, func() int64 { return int64(server.Connections().Open) })
	gauge(`camphormill_connections_evicted`, func() int64 { return server.Connections().Evicted })
	gauge(`camphormill_connections_refused`, func() int64 { return server.Connections().Refused })
	gauge(`camphormill_budget_bytes{state="size"}`, budget.Size)
	gauge(`camphormill_budget_bytes{state="held"}`, func() int64 { return budget.Stats().Held })
	gauge(`camphormill_budget_evicted`, func() int64 { return budget.Stats().Evicted })
	gauge(`camphormill_budget_refused`, func() int64 { return budget.Stats().Refused })
}
