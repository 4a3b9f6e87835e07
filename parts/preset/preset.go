// Package preset folds the configuration stream of the platform's log. Every
// reader folds the same records in the same order with the same validation, so
// that of two racing changes the same one is accepted everywhere.
//
// The version of a configuration is the offset of the last record folded into
// it. A State is immutable; Fold returns the next one.
package preset

import (
	"maps"
	"slices"

	"camphormill.dev/parts/contract"
)

// GenesisName names the preset in force before any is published.
const GenesisName = "genesis"

// Organisation holds the limits of one organisation in a preset.
type Organisation struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	Burst             float64 `json:"burst"`
	Weight            float64 `json:"weight"` // share when targets are full
}

// Model holds what a preset wants of one model.
type Model struct {
	// Versions gives the wanted share of targets for each version; a version
	// that is not named receives no requests.
	Versions map[string]int `json:"versions"`
	// Floors gives the least number of targets to keep for each version.
	Floors map[string]int `json:"floors,omitempty"`
}

// Rebalance weighs step-time skew against the cost of moving experts.
type Rebalance struct {
	SkewWeight float64 `json:"skew_weight"`
	CostWeight float64 `json:"cost_weight"` // per GiB moved
}

// Preset is a named way to run the fleet.
type Preset struct {
	Name          string                  `json:"name"`
	Default       Organisation            `json:"default"` // for organisations not named
	Organisations map[string]Organisation `json:"organisations,omitempty"`
	Models        map[string]Model        `json:"models,omitempty"`
	Rebalance     Rebalance               `json:"rebalance"`
	RetryShare    float64                 `json:"retry_share"` // retries per first try
}

// Genesis is the preset in force before any is published.
func Genesis() Preset {
	return Preset{
		Name:       GenesisName,
		Default:    Organisation{RequestsPerSecond: 1000, Burst: 1000, Weight: 1},
		Rebalance:  Rebalance{SkewWeight: 1, CostWeight: 1},
		RetryShare: 0.1,
	}
}

// Organisation returns the limits that hold for the organisation.
func (p Preset) Organisation(name string) Organisation {
	if o, ok := p.Organisations[name]; ok {
		return o
	}
	return p.Default
}

// AllowsVersion says whether requests for the model may go to the version.
// A model that the preset does not name may run in any version.
func (p Preset) AllowsVersion(model, version string) bool {
	m, ok := p.Models[model]
	if !ok {
		return true
	}
	return m.Versions[version] > 0
}

// Check returns what is wrong with the preset, or nil.
func (p Preset) Check() *contract.Failure {
	if p.Name == "" {
		return invalid("the preset has no name", "give it a name")
	}
	if p.RetryShare < 0 || p.RetryShare > 1 {
		return invalid("retry_share of "+p.Name+" is outside 0 to 1", "write a share such as 0.1")
	}
	if f := p.Default.check("default"); f != nil {
		return f
	}
	for _, name := range slices.Sorted(maps.Keys(p.Organisations)) {
		if f := p.Organisations[name].check(name); f != nil {
			return f
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.Models)) {
		if f := p.Models[name].check(name); f != nil {
			return f
		}
	}
	return nil
}

func (o Organisation) check(name string) *contract.Failure {
	if o.RequestsPerSecond < 0 || o.Burst < 0 || o.Weight <= 0 {
		return invalid("the limits of "+name+" are negative or have no weight",
			"write requests_per_second and burst from 0 up and a weight above 0")
	}
	return nil
}

func (m Model) check(name string) *contract.Failure {
	total := 0
	for version, share := range m.Versions {
		if share < 0 || m.Floors[version] < 0 {
			return invalid("model "+name+" has a negative count for version "+version, "write counts from 0 up")
		}
		total += share
	}
	if total == 0 {
		return invalid("model "+name+" has no version to run", "give at least one version a count above 0")
	}
	return nil
}

func invalid(message, remedy string) *contract.Failure {
	return contract.NewFailure(contract.KindInvalidRequest, message, remedy)
}

// Change sets single organisations or models of an existing preset.
type Change struct {
	Preset        string                  `json:"preset"`
	Organisations map[string]Organisation `json:"organisations,omitempty"`
	Models        map[string]Model        `json:"models,omitempty"`
	Rebalance     *Rebalance              `json:"rebalance,omitempty"`
	RetryShare    *float64                `json:"retry_share,omitempty"`
}

// WithChange returns the preset with the change applied.
func (p Preset) WithChange(c Change) Preset {
	next := p
	next.Organisations = merge(p.Organisations, c.Organisations)
	next.Models = merge(p.Models, c.Models)
	if c.Rebalance != nil {
		next.Rebalance = *c.Rebalance
	}
	if c.RetryShare != nil {
		next.RetryShare = *c.RetryShare
	}
	return next
}

func merge[V any](base, over map[string]V) map[string]V {
	if len(over) == 0 {
		return base
	}
	next := maps.Clone(base)
	if next == nil {
		next = map[string]V{}
	}
	maps.Copy(next, over)
	return next
}
