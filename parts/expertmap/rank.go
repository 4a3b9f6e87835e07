package expertmap

import (
	"slices"

	"camphormill.dev/parts/contract"
)

// OrderKind is what a coordinator asks of a rank.
type OrderKind string

// The orders.
const (
	OrderRead   OrderKind = "read"
	OrderLoad   OrderKind = "load"
	OrderFreeze OrderKind = "freeze"
	OrderCommit OrderKind = "commit"
	OrderResume OrderKind = "resume"
	// OrderCancel ends a freeze that led to nothing and drops a proposal that
	// was never resumed.
	OrderCancel OrderKind = "cancel"
)

// Order goes from a coordinator to a rank. Orders may arrive late, doubled and
// in any order: a rank acts on none that is older than one it has taken, by
// fence and then by round.
type Order struct {
	Kind  OrderKind `json:"kind"`
	Fence Fence     `json:"fence"`
	Round int       `json:"round"` // counts the phases of one coordinator
	// Incarnation is the process that the order is for, as it told in its
	// answer to a read. A read is for any.
	Incarnation string   `json:"incarnation,omitempty"`
	Map         MapID    `json:"map"`                // of load
	Schedule    Schedule `json:"schedule,omitempty"` // of commit and resume
}

// Proposal is a schedule that a rank has recorded and not put in force.
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

// Status is a rank's answer to an order: its whole state.
type Status struct {
	Rank int `json:"rank"`
	// Incarnation names the process that holds the rank.
	Incarnation string    `json:"incarnation"`
	Fence       Fence     `json:"fence"`              // the highest one it has taken
	Round       int       `json:"round"`              // the highest one of that fence
	Schedule    Schedule  `json:"schedule,omitempty"` // empty for a rank without a memory
	Proposed    *Proposal `json:"proposed,omitempty"`
	// Completed is the last step that the engine has completed, Horizon the
	// last that may hold a permit.
	Completed Step    `json:"completed"`
	Horizon   Step    `json:"horizon"`
	Loaded    []MapID `json:"loaded,omitempty"`
	Frozen    bool    `json:"frozen"`
	FrozenBy  Fence   `json:"frozen_by"` // whose freeze it acknowledged
	// Refused says that the order carried an old fence.
	Refused *contract.Failure `json:"refused,omitempty"`
}

// Remembers says whether the rank has a memory of the group.
func (s Status) Remembers() bool {
	return len(s.Schedule) > 0 || s.Proposed != nil
}

// Holds says whether the rank has the schedule in force or recorded.
func (s Status) Holds(schedule Schedule) bool {
	return s.Schedule.Equal(schedule) || (s.Proposed != nil && s.Proposed.Schedule.Equal(schedule))
}

// Rank is the state of one rank at its target daemon. It is immutable.
type Rank struct {
	status  Status
	granted Step // last step for which this process has granted a permit
	window  Step // how many steps may be permitted ahead
}

// RankConfig is what a Rank is built from.
type RankConfig struct {
	Rank int
	// Incarnation is unique to this process.
	Incarnation string
	Window      int // steps permitted ahead of the last completed one
	// Completed is the last step that the engine says it has completed; a new
	// engine says NoStep.
	Completed Step
}

// NewRank returns a rank that remembers nothing. An earlier process may have
// granted permits up to the window ahead, so that is taken as its horizon.
func NewRank(c RankConfig) Rank {
	window := Step(c.Window)
	horizon := NoStep
	if c.Completed > NoStep {
		horizon = c.Completed + window
	}
	status := Status{Rank: c.Rank, Incarnation: c.Incarnation, Fence: NoFence, Completed: c.Completed, Horizon: horizon, Frozen: true, FrozenBy: NoFence}
	return Rank{status: status, granted: c.Completed, window: window}
}

// Status returns the rank's state.
func (r Rank) Status() Status {
	return r.status
}

// WithOrder returns the rank after an order and its answer. Loading goes on
// outside: see WithLoaded.
func (r Rank) WithOrder(o Order) (Rank, Status) {
	if o.Fence < r.status.Fence {
		refused := r.status
		refused.Refused = contract.NewFailure(contract.KindStaleFence,
			"another coordinator has taken over", "stop coordinating and read the lease again")
		return r, refused
	}
	// An order to an earlier process of this rank would build on promises that
	// this one knows nothing of.
	foreign := o.Kind != OrderRead && o.Incarnation != r.status.Incarnation
	if foreign || (o.Fence == r.status.Fence && o.Round < r.status.Round) {
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
		r.status.Frozen = len(r.status.Schedule) == 0
	}
	return r, r.status
}

// commit records a proposal. Only a rank that acknowledged the freeze of the
// same coordinator does so: one whose process was replaced since then has lost
// the promises of the earlier one.
func (r Rank) commit(o Order) Rank {
	frozen := r.status.Frozen && r.status.FrozenBy == o.Fence
	if !frozen || len(o.Schedule) == 0 || r.status.Schedule.Equal(o.Schedule) {
		return r
	}
	r.status.Proposed = &Proposal{Schedule: o.Schedule, Fence: o.Fence, Round: o.Round}
	return r
}

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

// spareMaps is how many loaded maps a rank keeps that no schedule uses.
const spareMaps = 2

// WithLoaded returns the rank after its weights for the map have arrived. The
// oldest maps that no schedule uses are given up.
func (r Rank) WithLoaded(m MapID) Rank {
	if slices.Contains(r.status.Loaded, m) {
		return r
	}
	loaded := append(slices.Clone(r.status.Loaded), m)
	spare := 0
	for _, candidate := range slices.Backward(loaded) {
		if r.uses(candidate) {
			continue
		}
		if spare++; spare > spareMaps {
			loaded = slices.DeleteFunc(loaded, func(other MapID) bool { return other == candidate })
		}
	}
	r.status.Loaded = loaded
	return r
}

func (r Rank) uses(m MapID) bool {
	if r.status.Schedule.Since(r.status.Completed).Uses(m) {
		return true
	}
	return r.status.Proposed != nil && r.status.Proposed.Schedule.Uses(m)
}

// WithCompleted returns the rank after its engine completed a step.
func (r Rank) WithCompleted(t Step) Rank {
	r.status.Completed = max(r.status.Completed, t)
	r.granted = max(r.granted, t)
	return r
}

// Permit lets the engine run the steps From to Through under the map.
type Permit struct {
	From    Step  `json:"from"`
	Through Step  `json:"through"`
	Map     MapID `json:"map"`
}

// WithPermits returns the rank after it granted what it may, and the permits.
// It grants no step whose map it has not loaded.
func (r Rank) WithPermits() (Rank, []Permit) {
	if r.status.Frozen {
		return r, nil
	}
	var permits []Permit
	for r.granted < r.status.Completed+r.window {
		t := r.granted + 1
		m := r.status.Schedule.At(t)
		if m == NoMap || !slices.Contains(r.status.Loaded, m) {
			break
		}
		permits = extend(permits, t, m)
		r.granted = t
	}
	r.status.Horizon = max(r.status.Horizon, r.granted)
	return r, permits
}

func extend(permits []Permit, t Step, m MapID) []Permit {
	if n := len(permits); n > 0 && permits[n-1].Map == m {
		permits[n-1].Through = t
		return permits
	}
	return append(permits, Permit{From: t, Through: t, Map: m})
}

// Wanted returns the maps whose weights the rank needs and has not loaded.
func (r Rank) Wanted() []MapID {
	var wanted []MapID
	schedules := []Schedule{r.status.Schedule.Since(r.status.Completed)}
	if r.status.Proposed != nil {
		schedules = append(schedules, r.status.Proposed.Schedule)
	}
	for _, s := range schedules {
		for _, segment := range s {
			if !slices.Contains(r.status.Loaded, segment.Map) && !slices.Contains(wanted, segment.Map) {
				wanted = append(wanted, segment.Map)
			}
		}
	}
	return wanted
}
