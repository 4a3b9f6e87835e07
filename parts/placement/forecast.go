package placement

// Forecast predicts the loads of experts from what was observed, by a level and
// a trend for each (Holt's method). It is immutable.
type Forecast struct {
	level, trend []float64
}

// How much the newest observation counts for level and trend, and how much of a
// trend is carried on.
const (
	levelShare = 0.7
	trendShare = 0.2
	trendDamp  = 0.5
)

// With returns the forecast after an observation.
func (f Forecast) With(loads []float64) Forecast {
	next := Forecast{level: make([]float64, len(loads)), trend: make([]float64, len(loads))}
	for e, observed := range loads {
		if len(f.level) != len(loads) {
			next.level[e] = observed
			continue
		}
		expected := f.level[e] + trendDamp*f.trend[e]
		next.level[e] = levelShare*observed + (1-levelShare)*expected
		next.trend[e] = trendShare*(next.level[e]-f.level[e]) + (1-trendShare)*f.trend[e]
	}
	return next
}

// Next returns the loads expected in the next interval.
func (f Forecast) Next() []float64 {
	loads := make([]float64, len(f.level))
	for e := range loads {
		loads[e] = max(0, f.level[e]+trendDamp*f.trend[e])
	}
	return loads
}
