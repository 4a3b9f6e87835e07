package expertmap

import (
	"slices"

	"camphormill.dev/parts/contract"
)

// OrderKind is the kind of an order.
type OrderKind string

// The kinds of orders.
const (
	OrderRead   OrderKind = "read"
	OrderLoad   OrderKind = "load"
	OrderFreeze OrderKind = "freeze"
	OrderCommit OrderKind = "commit"
	OrderResume OrderKind = "resume"
	// OrderCancel ends a freeze and drops a proposal that was never put in force.
	OrderCancel OrderKind = "cancel"
)

// Order is an instruction from a coordinator to a rank. Orders may arrive late, more
// than once and in any sequence. A rank ignores an order that is older, by fence and
// then by round, than one it has accepted.
type Order struct {
	Kind  OrderKind `json:"kind"`
	Fence Fence     `json:"fence"`
	Round int       `json:"round"` // incremented with each phase of one coordinator
	// Incarnation is the process that the order is for, as reported in the status
	// after a read. A read order is accepted by any process.
	Incarnation string   `json:"incarnation,omitempty"`
	Map         MapID    `json:"map"`                // map of a load order
	Schedule    Schedule `json:"schedule,omitempty"` // schedule of a commit or resume order
}

// Proposal is a schedule that a rank has recorded but not put in force.
type Proposal struct {
	Schedule Schedule `json:"schedule"`
	Fence    Fence    `json:"fence"`
	Round    int      `json:"round"`
}

func (p Proposal) newer(other Proposal) bool {
	if p.Fence != other.Fence {
		return p.Fence > other.Fence
	}
	return p.Round > other.Round
}

// Status is the state that a rank reports. A rank answers every order with it.
type Status struct {
	Rank int `json:"rank"`
	// Incarnation identifies the process that serves the rank.
	Incarnation string    `json:"incarnation"`
	Fence       Fence     `json:"fence"`              // highest accepted fence
	Round       int       `json:"round"`              // highest accepted round of that fence
	Schedule    Schedule  `json:"schedule,omitempty"` // in force; empty for a rank without state
	Proposed    *Proposal `json:"proposed,omitempty"`
	// Completed is the last step that the engine has completed. Horizon is the
	// last step for which a permit may have been granted.
	Completed Step    `json:"completed"`
	Horizon   Step    `json:"horizon"`
	Loaded    []MapID `json:"loaded,omitempty"`
	Frozen    bool    `json:"frozen"`
	FrozenBy  Fence   `json:"frozen_by"` // fence of the coordinator whose freeze the rank acknowledged
	// Refused is set if the fence of the order was too low.
	Refused *contract.Failure `json:"refused,omitempty"`
}

// HasState reports whether the rank has state of the group: a schedule or a proposal.
func (s Status) HasState() bool {
	return len(s.Schedule) > 0 || s.Proposed != nil
}

// HasSchedule reports whether the rank has the schedule in force or recorded as a proposal.
func (s Status) HasSchedule(schedule Schedule) bool {
	return s.Schedule.Equal(schedule) || (s.Proposed != nil && s.Proposed.Schedule.Equal(schedule))
}

// Rank is the state machine of one rank, kept by its target. It is immutable.
type Rank struct {
	status      Status
	lastGranted Step // last step for which this process has granted a permit or that is completed
	window      Step // number of steps permitted ahead of the last completed one
}

// RankConfig configures a Rank.
type RankConfig struct {
	Rank int
	// Incarnation identifies this process; it is never used again.
	Incarnation string
	Window      int // number of steps permitted ahead of the last completed one
	// Completed is the last step that the engine reports as completed, NoStep for a
	// new engine.
	Completed Step
}

// NewRank returns a frozen rank without a schedule. An earlier process may have
// granted permits for a full window, so the horizon is set to the end of that window.
func NewRank(c RankConfig) Rank {
	window := Step(c.Window)
	horizon := NoStep
	if c.Completed > NoStep {
		horizon = c.Completed + window
	}
	status := Status{Rank: c.Rank, Incarnation: c.Incarnation, Fence: NoFence, Completed: c.Completed, Horizon: horizon, Frozen: true, FrozenBy: NoFence}
	return Rank{status: status, lastGranted: c.Completed, window: window}
}

// Status returns the state of the rank.
func (r Rank) Status() Status {
	return r.status
}

// WithOrder returns the rank updated with an order, and the status to answer with.
// For a load order, the caller loads the weights and calls WithLoaded when they are
// loaded.
func (r Rank) WithOrder(o Order) (Rank, Status) {
	if o.Fence < r.status.Fence {
		refused := r.status
		refused.Refused = contract.NewFailure(contract.KindStaleFence,
			"order refused: its fence is lower than that of the current coordinator", "stop coordinating and read the lease again")
		return r, refused
	}
	// An order to an earlier process of this rank relies on acknowledgements that
	// this process has not given.
	otherProcess := o.Kind != OrderRead && o.Incarnation != r.status.Incarnation
	if otherProcess || (o.Fence == r.status.Fence && o.Round < r.status.Round) {
		return r, r.status
	}
	r.status.Fence = o.Fence
	r.status.Round = o.Round
	switch o.Kind {
	case OrderFreeze:
		r.status.Frozen = true
		r.status.FrozenBy = o.Fence
	case OrderCommit:
		r = r.commit(o)
	case OrderResume:
		r = r.resume(o)
	case OrderCancel:
		r.status.Proposed = nil
		r.status.Frozen = len(r.status.Schedule) == 0 // a rank without a schedule stays frozen
	}
	return r, r.status
}

// commit records a proposal if the rank has acknowledged the freeze of the same
// coordinator. If the process was replaced since the freeze, the acknowledgement of
// the earlier process is lost. A schedule already in force is not recorded again.
func (r Rank) commit(o Order) Rank {
	frozen := r.status.Frozen && r.status.FrozenBy == o.Fence
	if !frozen || len(o.Schedule) == 0 || r.status.Schedule.Equal(o.Schedule) {
		return r
	}
	r.status.Proposed = &Proposal{Schedule: o.Schedule, Fence: o.Fence, Round: o.Round}
	return r
}

// resume puts the proposal of the same coordinator in force and ends the freeze.
func (r Rank) resume(o Order) Rank {
	p := r.status.Proposed
	if p != nil && p.Fence == o.Fence && p.Schedule.Equal(o.Schedule) {
		r.status.Schedule = p.Schedule
		r.status.Proposed = nil
	}
	if r.status.Schedule.Equal(o.Schedule) {
		r.status.Frozen = false
	}
	return r
}

// maxUnusedMaps is the number of loaded maps that a rank keeps without a schedule
// that uses them.
const maxUnusedMaps = 2

// WithLoaded returns the rank after its weights for the map have been loaded. It drops
// the oldest loaded maps that no schedule uses beyond maxUnusedMaps.
func (r Rank) WithLoaded(m MapID) Rank {
	if slices.Contains(r.status.Loaded, m) {
		return r
	}
	loaded := append(slices.Clone(r.status.Loaded), m)
	unused := 0
	for _, candidate := range slices.Backward(loaded) {
		if r.needs(candidate) {
			continue
		}
		if unused++; unused > maxUnusedMaps {
			loaded = slices.DeleteFunc(loaded, func(other MapID) bool { return other == candidate })
		}
	}
	r.status.Loaded = loaded
	return r
}

// needs reports whether a schedule that is in force or proposed needs the map.
func (r Rank) needs(m MapID) bool {
	if r.status.Schedule.Since(r.status.Completed).Uses(m) {
		return true
	}
	return r.status.Proposed != nil && r.status.Proposed.Schedule.Uses(m)
}

// WithCompleted returns the rank after its engine has completed a step.
func (r Rank) WithCompleted(t Step) Rank {
	r.status.Completed = max(r.status.Completed, t)
	r.lastGranted = max(r.lastGranted, t)
	return r
}

// Permit allows the engine to run the steps From to Through, inclusive, under a map.
type Permit struct {
	From    Step  `json:"from"`
	Through Step  `json:"through"`
	Map     MapID `json:"map"`
}

// WithPermits returns the rank after it has granted all permits that it may grant, and
// these permits. It grants no permit for a step whose map is not loaded.
func (r Rank) WithPermits() (Rank, []Permit) {
	if r.status.Frozen {
		return r, nil
	}
	var permits []Permit
	for r.lastGranted < r.status.Completed+r.window {
		t := r.lastGranted + 1
		m := r.status.Schedule.At(t)
		if m == NoMap || !slices.Contains(r.status.Loaded, m) {
			break
		}
		permits = appendStep(permits, t, m)
		r.lastGranted = t
	}
	r.status.Horizon = max(r.status.Horizon, r.lastGranted)
	return r, permits
}

// appendStep adds a step to the permits, to the last permit if the map is the same.
func appendStep(permits []Permit, t Step, m MapID) []Permit {
	if n := len(permits); n > 0 && permits[n-1].Map == m {
		permits[n-1].Through = t
		return permits
	}
	return append(permits, Permit{From: t, Through: t, Map: m})
}

// MissingMaps returns the maps that the rank needs but has not loaded.
func (r Rank) MissingMaps() []MapID {
	var missing []MapID
	schedules := []Schedule{r.status.Schedule.Since(r.status.Completed)}
	if r.status.Proposed != nil {
		schedules = append(schedules, r.status.Proposed.Schedule)
	}
	for _, s := range schedules {
		for _, segment := range s {
			if !slices.Contains(r.status.Loaded, segment.Map) && !slices.Contains(missing, segment.Map) {
				missing = append(missing, segment.Map)
			}
		}
	}
	return missing
}
