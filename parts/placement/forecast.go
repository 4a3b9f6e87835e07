package placement

// Forecast predicts the load of each expert from the observed loads by double
// exponential smoothing with a damped trend (Holt's method). It is immutable. The
// zero value has no observations.
type Forecast struct {
	level, trend []float64
}

// Smoothing factors of the level and of the trend (the weight of the newest
// observation), and the share of the trend that is carried into a forecast.
const (
	levelSmoothing = 0.7
	trendSmoothing = 0.2
	trendDamping   = 0.5
)

// With returns the forecast updated with the loads of an interval, by expert. A
// change of the number of experts restarts the forecast.
func (f Forecast) With(loads []float64) Forecast {
	next := Forecast{level: make([]float64, len(loads)), trend: make([]float64, len(loads))}
	for e, observed := range loads {
		if len(f.level) != len(loads) {
			next.level[e] = observed
			continue
		}
		expected := f.level[e] + trendDamping*f.trend[e]
		next.level[e] = levelSmoothing*observed + (1-levelSmoothing)*expected
		next.trend[e] = trendSmoothing*(next.level[e]-f.level[e]) + (1-trendSmoothing)*f.trend[e]
	}
	return next
}

// Next returns the predicted loads of the next interval, by expert.
func (f Forecast) Next() []float64 {
	loads := make([]float64, len(f.level))
	for e := range loads {
		loads[e] = max(0, f.level[e]+trendDamping*f.trend[e])
	}
	return loads
}
