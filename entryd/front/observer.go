package front

import (
	"fmt"
	"strconv"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"camphormill.dev/entryd/relay"
)

// maxSeries bounds the organisations with series of their own; the rest share
// one, so that a large configuration cannot fill the memory.
const maxSeries = 64

// observer counts requests by organisation, service and outcome.
type observer struct {
	set *metrics.Set

	mu    sync.Mutex
	known map[string]bool
}

func newObserver(set *metrics.Set) *observer {
	return &observer{set: set, known: map[string]bool{}}
}

func (o *observer) organisation(name string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.known[name] && len(o.known) >= maxSeries {
		return "other"
	}
	o.known[name] = true
	return name
}

func (o *observer) observe(r relay.Outcome) {
	who := o.organisation(r.Organisation)
	labels := fmt.Sprintf(`{organisation=%q,service=%q,status=%q,reason=%q}`, who, r.Service, strconv.Itoa(r.Status), r.Reason)
	o.set.GetOrCreateCounter(`camphormill_requests_total` + labels).Inc()
	if r.Attempts > 1 {
		o.set.GetOrCreateCounter(fmt.Sprintf(`camphormill_retries_total{service=%q}`, r.Service)).Add(r.Attempts - 1)
	}
	if r.First > 0 {
		o.set.GetOrCreateHistogram(fmt.Sprintf(`camphormill_first_byte_seconds{organisation=%q}`, who)).Update(r.First.Seconds())
	}
	o.set.GetOrCreateHistogram(fmt.Sprintf(`camphormill_request_seconds{organisation=%q}`, who)).Update(r.Took.Seconds())
}
