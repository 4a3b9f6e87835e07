package command

import (
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"camphormill.dev/parts/contract"
)

// maxOrganisationLabels bounds how many organisations have their own histograms. All
// others share the label value "other".
const maxOrganisationLabels = 50

// observer records the duration of requests by organisation, class and outcome.
type observer struct {
	set *metrics.Set

	mu    sync.Mutex
	known map[string]bool
}

func newObserver(set *metrics.Set) *observer {
	return &observer{set: set, known: map[string]bool{}}
}

// label returns the metric label value of an organisation, without characters that
// would need escaping.
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

// observe records one request.
func (o *observer) observe(organisation string, class contract.Class, outcome contract.Outcome, elapsed time.Duration) {
	name := `camphormill_request_seconds{organisation="` + o.label(organisation) +
		`",class="` + string(class) + `",outcome="` + string(outcome) + `"}`
	o.set.GetOrCreateHistogram(name).Update(elapsed.Seconds())
}
