package command

import (
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"camphormill.dev/parts/contract"
)

// maxOrganisationLabels bounds how many organisations have histograms of their
// own; the others share one.
const maxOrganisationLabels = 50

// observer measures requests by organisation, class and outcome.
type observer struct {
	set *metrics.Set

	mu    sync.Mutex
	known map[string]bool
}

func newObserver(set *metrics.Set) *observer {
	return &observer{set: set, known: map[string]bool{}}
}

func (o *observer) label(organisation string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.known[organisation] {
		if len(o.known) >= maxOrganisationLabels {
			return "other"
		}
		o.known[organisation] = true
	}
	return strings.NewReplacer(`"`, "", `\`, "", "\n", "").Replace(organisation)
}

func (o *observer) observe(organisation string, class contract.Class, outcome contract.Outcome, took time.Duration) {
	name := `camphormill_request_seconds{organisation="` + o.label(organisation) +
		`",class="` + string(class) + `",outcome="` + string(outcome) + `"}`
	o.set.GetOrCreateHistogram(name).Update(took.Seconds())
}
