// Package preset builds the fleet's configuration from the configuration stream
// of the platform's log, for all daemons and the camphormill command. It decides
// which published changes are accepted and which preset is active. Every reader
// applies the same records in the same order with the same validation, so that
// of two concurrent changes the same one is accepted everywhere.
//
// The version of a configuration is the offset of the last record applied to it.
// A State is immutable; Apply returns the next one.
package preset

import (
	"maps"
	"slices"

	"camphormill.dev/parts/contract"
)

// InitialName is the name of the preset that is active before an operator
// activates another.
const InitialName = "genesis"

// Organisation holds the limits of one organisation in a preset. Burst is a
// number of requests.
type Organisation struct {
	RequestsPerSecond float64 `json:"requests_per_second"`
	Burst             float64 `json:"burst"`
	Weight            float64 `json:"weight"` // relative share of slots when all targets are full
}

// Model holds the distribution of one model's targets over its versions.
type Model struct {
	// Versions maps each version to its relative share of targets. A version
	// that is not listed receives no requests.
	Versions map[string]int `json:"versions"`
	// MinTargets maps a version to the minimum number of its targets. The JSON field and
	// the error texts call it the floor.
	MinTargets map[string]int `json:"floors,omitempty"`
}

// Rebalance holds the weights of step-time skew and of the cost of moving experts
// in the objective of expert placement.
type Rebalance struct {
	SkewWeight float64 `json:"skew_weight"`
	CostWeight float64 `json:"cost_weight"` // per GiB of experts moved
}

// Preset is a named set of limits, model versions and weights for the fleet.
type Preset struct {
	Name          string                  `json:"name"`
	Default       Organisation            `json:"default"` // for organisations that are not listed
	Organisations map[string]Organisation `json:"organisations,omitempty"`
	Models        map[string]Model        `json:"models,omitempty"`
	Rebalance     Rebalance               `json:"rebalance"`
	RetryShare    float64                 `json:"retry_share"` // retries allowed per first attempt, 0 to 1
}

// Initial returns the preset that is active before an operator activates another.
func Initial() Preset {
	return Preset{
		Name:       InitialName,
		Default:    Organisation{RequestsPerSecond: 1000, Burst: 1000, Weight: 1},
		Rebalance:  Rebalance{SkewWeight: 1, CostWeight: 1},
		RetryShare: 0.1,
	}
}

// Organisation returns the limits of the organisation, or the default limits if
// the preset does not list it.
func (p Preset) Organisation(name string) Organisation {
	if o, ok := p.Organisations[name]; ok {
		return o
	}
	return p.Default
}

// AllowsVersion reports whether requests for the model may go to targets of the
// version. All versions of a model that the preset does not list are allowed.
func (p Preset) AllowsVersion(model, version string) bool {
	m, ok := p.Models[model]
	if !ok {
		return true
	}
	return m.Versions[version] > 0
}

// Check returns the first fault of the preset as an invalid_request failure, or
// nil.
func (p Preset) Check() *contract.Failure {
	if p.Name == "" {
		return invalid("the preset has no name", "give it a name")
	}
	if p.RetryShare < 0 || p.RetryShare > 1 {
		return invalid("retry_share of "+p.Name+" is outside 0 to 1", "set a share such as 0.1")
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
		return invalid("the limits of "+name+" are negative, or the weight is not above 0",
			"set requests_per_second and burst to 0 or more and weight above 0")
	}
	return nil
}

func (m Model) check(name string) *contract.Failure {
	total := 0
	for version, share := range m.Versions {
		if share < 0 || m.MinTargets[version] < 0 {
			return invalid("model "+name+" has a negative share or floor for version "+version, "set both to 0 or more")
		}
		total += share
	}
	if total == 0 {
		return invalid("model "+name+" has no version with a share above 0", "set a share above 0 for at least one version")
	}
	return nil
}

func invalid(message, remedy string) *contract.Failure {
	return contract.NewFailure(contract.KindInvalidRequest, message, remedy)
}

// Change replaces single parts of an existing preset. Parts that it does not set
// stay as they are.
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

// merge returns base with the entries of over added or replaced. It modifies
// neither map.
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
