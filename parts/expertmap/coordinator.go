package expertmap

import (
	"math"
	"slices"
)

// Phase is the phase of a coordinator.
type Phase string

// The phases of a coordinator.
const (
	PhaseRead       Phase = "read"
	PhaseLoad       Phase = "load"
	PhaseFreeze     Phase = "freeze"
	PhaseCommit     Phase = "commit"
	PhaseResume     Phase = "resume"
	PhaseCancel     Phase = "cancel"
	PhaseDone       Phase = "done"
	PhaseSuperseded Phase = "lost"  // another coordinator has taken over
	PhaseReset      Phase = "reset" // no rank has its state any more; the engines must be restarted
)

// segmentMargin is the number of steps above horizon plus window at which a new
// segment begins. A rank that has lost its state may have started one step above the
// horizons of the others. It cannot have started a second one, because all ranks
// complete a step before any rank starts the next.
const segmentMargin Step = 2

// CoordinatorConfig configures a Coordinator.
type CoordinatorConfig struct {
	Fence  Fence // offset of the lease of the coordinator in the log
	Ranks  int
	Window int   // permit window of every rank, in steps
	Wanted MapID // map to switch to
	// Round is the first round. A later coordinator with the same fence must start
	// after the last round of the earlier one, because ranks ignore earlier rounds.
	Round int
}

// Coordinator switches a group to an expert map. It is immutable. The orders that
// Orders returns are sent until the statuses of all ranks arrive; they are
// idempotent.
type Coordinator struct {
	config   CoordinatorConfig
	phase    Phase
	round    int            // incremented with each phase; statuses of earlier rounds are ignored
	statuses map[int]Status // statuses of the ranks that have completed the phase
	// incarnations holds the process of each rank as of the last completed PhaseRead.
	incarnations map[int]string
	chosen       Schedule // schedule to commit
}

// NewCoordinator returns a coordinator in PhaseRead.
func NewCoordinator(c CoordinatorConfig) Coordinator {
	return Coordinator{config: c, phase: PhaseRead, round: c.Round}
}

// Phase returns the current phase.
func (c Coordinator) Phase() Phase {
	return c.phase
}

// Round returns the current round.
func (c Coordinator) Round() int {
	return c.round
}

// Orders returns the order for each rank that has not completed the phase. It
// returns nil if the coordinator has ended.
func (c Coordinator) Orders() map[int]Order {
	order := Order{Fence: c.config.Fence, Round: c.round, Map: c.config.Wanted, Schedule: c.chosen}
	switch c.phase {
	case PhaseRead:
		order.Kind = OrderRead
	case PhaseLoad:
		order.Kind = OrderLoad
	case PhaseFreeze:
		order.Kind = OrderFreeze
	case PhaseCommit:
		order.Kind = OrderCommit
	case PhaseResume:
		order.Kind = OrderResume
	case PhaseCancel:
		order.Kind = OrderCancel
	default:
		return nil
	}
	orders := map[int]Order{}
	for rank := range c.config.Ranks {
		if _, answered := c.statuses[rank]; !answered {
			order.Incarnation = c.incarnations[rank]
			orders[rank] = order
		}
	}
	return orders
}

// WithStatus returns the coordinator updated with the status of a rank.
func (c Coordinator) WithStatus(s Status) Coordinator {
	if c.Orders() == nil {
		return c
	}
	if s.Refused != nil || s.Fence > c.config.Fence {
		return c.enter(PhaseSuperseded)
	}
	if c.phase != PhaseRead && s.Incarnation != c.incarnations[s.Rank] {
		return c.enter(PhaseRead) // the process of the rank was replaced and has no state
	}
	if s.Fence < c.config.Fence || s.Round != c.round {
		return c
	}
	if !c.rankDone(s) {
		return c
	}
	statuses := map[int]Status{s.Rank: s}
	for rank, other := range c.statuses {
		if rank != s.Rank {
			statuses[rank] = other
		}
	}
	c.statuses = statuses
	if len(c.statuses) == c.config.Ranks {
		return c.advance()
	}
	return c
}

// rankDone reports whether the status shows that the rank has completed the phase.
func (c Coordinator) rankDone(s Status) bool {
	switch c.phase {
	case PhaseLoad:
		return slices.Contains(s.Loaded, c.config.Wanted)
	case PhaseFreeze:
		return s.Frozen && s.FrozenBy == c.config.Fence
	case PhaseCommit:
		return s.HasSchedule(c.chosen)
	case PhaseResume:
		return s.Schedule.Equal(c.chosen) && !s.Frozen
	case PhaseCancel:
		return !s.Frozen && s.Proposed == nil
	}
	return true
}

// enter starts a phase in a new round.
func (c Coordinator) enter(p Phase) Coordinator {
	c.phase = p
	c.round++
	c.statuses = nil
	return c
}

// advance enters the next phase after all ranks have completed the current one.
func (c Coordinator) advance() Coordinator {
	switch c.phase {
	case PhaseRead:
		return c.decide()
	case PhaseLoad:
		return c.enter(PhaseFreeze)
	case PhaseFreeze:
		return c.chooseSchedule()
	case PhaseCommit:
		return c.enter(PhaseResume)
	case PhaseResume:
		return c.enter(PhaseRead) // the schedule may be an earlier coordinator's, whose map is not the wanted one
	}
	return c.enter(PhaseDone)
}

// decide chooses the next phase after all ranks have been read.
func (c Coordinator) decide() Coordinator {
	c.incarnations = map[int]string{}
	for rank, s := range c.statuses {
		c.incarnations[rank] = s.Incarnation
	}
	idle, switched := true, true
	for _, s := range c.statuses {
		idle = idle && !s.Frozen && s.Proposed == nil
		switched = switched && s.Schedule.Last().Map == c.config.Wanted
	}
	switch {
	case idle && switched:
		return c.enter(PhaseDone)
	case c.commonProposal() != nil:
		return c.enter(PhaseFreeze) // finish a proposal that may already be in force at some rank
	case switched:
		return c.enter(PhaseCancel) // the wanted map is scheduled; only a freeze or proposal is left over
	}
	return c.enter(PhaseLoad)
}

// commonProposal returns the schedule of the newest proposal if every rank that has
// kept its state holds it, or nil. Any other proposal cannot be in force at any rank,
// because resuming starts only after all ranks have recorded the proposal.
func (c Coordinator) commonProposal() Schedule {
	var newest *Proposal
	for _, s := range c.statuses {
		if s.Proposed != nil && (newest == nil || s.Proposed.newer(*newest)) {
			newest = s.Proposed
		}
	}
	if newest == nil {
		return nil
	}
	for _, s := range c.statuses {
		if s.HasState() && !s.HasSchedule(newest.Schedule) {
			return nil
		}
	}
	return newest.Schedule
}

// chooseSchedule chooses the schedule to commit: a common proposal, or the schedule in
// force extended by a segment with the wanted map above every horizon.
func (c Coordinator) chooseSchedule() Coordinator {
	if c.chosen = c.commonProposal(); c.chosen != nil {
		return c.enter(PhaseCommit)
	}
	var base Schedule
	from, minCompleted := NoStep, Step(math.MaxInt64)
	for _, s := range c.statuses {
		from = max(from, s.Horizon)
		minCompleted = min(minCompleted, s.Completed)
		if len(s.Schedule) > 0 {
			base = s.Schedule
		}
	}
	switch {
	case len(base) > 0:
		from = max(from, base.Last().From) + Step(c.config.Window) + segmentMargin
		c.chosen = base.Since(minCompleted).With(Segment{From: from, Map: c.config.Wanted})
	case from == NoStep:
		c.chosen = Schedule{{From: 0, Map: c.config.Wanted}}
	default:
		return c.enter(PhaseReset)
	}
	return c.enter(PhaseCommit)
}
