// Package mapswitch decides which orders the leader of a lock-step group sends
// to the engines of its ranks to change the expert map. Either all ranks change
// at the same pass or none does, even if processes die or orders are executed
// late. A switch runs in four steps:
//
//   - Every rank prepares (copies) the map.
//   - One rank holds a pass H that has not begun, so that no rank can begin it.
//   - Every rank confirms that it is armed to change its map at pass H.
//   - Only then is the holding rank ordered to release pass H.
//
// A switch that cannot be finished is rolled back under a higher fencing token.
// Once every rank has accepted an order with that token, all ranks refuse late
// orders of the switch, and the held pass can safely begin under the old map.
package mapswitch

import "maps"

// Pass is the sequence number of a pass (one step of all ranks) of a group.
type Pass int64

// NoPass is the value of View.Held when no pass is held.
const NoPass Pass = -1

// Version is the number of an expert map. A group starts with version 0.
type Version int64

// Fence is a fencing token. An engine refuses orders whose token is lower than
// the highest one it has seen.
type Fence int64

// View is the state that a rank's engine reports.
type View struct {
	Epoch    int64 // number that changes when the group is re-formed
	Pass     Pass  // the last pass that has begun
	Map      Version
	Prepared Version // map with a complete copy at the rank; 0 for none
	Armed    Version // map that the rank is armed for; 0 for none
	Held     Pass    // NoPass if no pass is held
}

// Kind is the kind of an order.
type Kind string

// The kinds of orders.
const (
	Prepare Kind = "prepare" // fetch a complete copy of the map
	Arm     Kind = "arm"     // change to the map when the pass begins
	Disarm  Kind = "disarm"  // cancel an Arm
	Hold    Kind = "hold"    // do not let the pass begin
	Release Kind = "go"      // release the held pass
)

// Order is an instruction to the engine of one rank. An engine refuses an order of
// another epoch. Version is the map of a Prepare, Arm or Disarm order; Pass is the
// pass of an Arm, Hold or Release order.
type Order struct {
	Kind    Kind
	Fence   Fence
	Epoch   int64
	Version Version
	Pass    Pass
}

// Result is an engine's response to an order.
type Result string

// The results of an order.
const (
	Done    Result = "done"    // the order is in effect, or its execution has begun
	Refused Result = "refused" // the order does not fit the engine's state
	Fenced  Result = "fenced"  // the engine has seen a higher fencing token
)

// Phase is the phase of a switch.
type Phase string

// The phases of a switch.
const (
	Preparing   Phase = "preparing"
	Holding     Phase = "holding"
	Arming      Phase = "arming"
	Claiming    Phase = "claiming" // the switch holds the passes of an earlier leader under its own fencing token
	RollingBack Phase = "undoing"  // the switch disarms every rank under a higher fencing token
	Releasing   Phase = "releasing"
	Finished    Phase = "finished"
)

// Config configures a Switch.
type Config struct {
	Fence   Fence // token of the orders; a rollback uses Fence+1
	Epoch   int64
	Ranks   int
	Version Version // map to change to, or map whose switch NewRollback rolls back
	// Holder is the rank that holds the pass. NewRollback does not use it.
	Holder int
	// HoldAhead is the number of passes from the newest known pass to the held
	// pass. It gives all ranks time to be armed before the held pass is due.
	// NewRollback does not use it.
	HoldAhead Pass
}

// Switch is the state of one change of maps. It is immutable.
type Switch struct {
	config     Config
	phase      Phase
	holdPass   Pass         // the pass that is held or is to be held
	holders    map[int]Pass // held passes by rank, which a rollback must release
	completed  map[int]bool // ranks that have completed the phase
	rolledBack bool         // the switch no longer tries to put its map in force
}

// New returns a switch in the Preparing phase.
func New(c Config) Switch {
	return Switch{config: c, phase: Preparing, holdPass: NoPass}
}

// NewRollback returns a switch that rolls back an earlier one, whose leader left passes
// held. holders gives the held pass by rank. The switch first holds these passes
// under its own fencing token: a late Release order of the earlier leader must not let
// them begin while some ranks are disarmed and others are not.
func NewRollback(c Config, holders map[int]Pass) Switch {
	return Switch{config: c, phase: Claiming, holdPass: NoPass, holders: maps.Clone(holders), rolledBack: true}
}

// Phase returns the phase of the switch.
func (s Switch) Phase() Phase { return s.phase }

// RolledBack reports whether the switch no longer tries to put its map in force. The
// old map then stays in force, unless an earlier or later leader puts the new one in
// force.
func (s Switch) RolledBack() bool { return s.rolledBack }

// Version returns the map that the switch changes to or whose switch it rolls back.
func (s Switch) Version() Version { return s.config.Version }

// Epoch returns the epoch of the group.
func (s Switch) Epoch() int64 { return s.config.Epoch }

// Orders returns the pending orders by rank. The caller sends them until their results
// arrive: orders are idempotent.
func (s Switch) Orders() map[int]Order {
	orders := map[int]Order{}
	order := Order{Fence: s.config.Fence, Epoch: s.config.Epoch, Version: s.config.Version, Pass: s.holdPass}
	if s.rolledBack {
		order.Fence++
	}
	switch s.phase {
	case Preparing:
		order.Kind = Prepare
		s.addPending(orders, order)
	case Holding:
		order.Kind = Hold
		if s.holdPass != NoPass {
			orders[s.config.Holder] = order
		}
	case Arming:
		order.Kind = Arm
		s.addPending(orders, order)
	case RollingBack:
		order.Kind = Disarm
		s.addPending(orders, order)
	case Claiming, Releasing:
		order.Kind = Release
		if s.phase == Claiming {
			order.Kind = Hold
		}
		for rank, pass := range s.holders {
			if !s.completed[rank] {
				order.Pass = pass
				orders[rank] = order
			}
		}
	}
	return orders
}

// addPending adds the order for every rank that has not completed the phase.
func (s Switch) addPending(orders map[int]Order, order Order) {
	for rank := range s.config.Ranks {
		if !s.completed[rank] {
			orders[rank] = order
		}
	}
}

// WithView returns the switch updated with the state of a rank's engine.
func (s Switch) WithView(rank int, v View) Switch {
	if s.phase == Finished {
		return s
	}
	if v.Epoch != s.config.Epoch {
		s.phase = Finished // the group was re-formed, and no rank is armed or holds a pass
		s.rolledBack = s.rolledBack || v.Map != s.config.Version
		return s
	}
	switch s.phase {
	case Preparing:
		if v.Prepared == s.config.Version {
			return s.withCompleted(rank)
		}
	case Holding:
		return s.withHolderView(rank, v)
	case Arming:
		if v.Armed == s.config.Version || v.Map == s.config.Version {
			return s.withCompleted(rank)
		}
	case Releasing:
		if pass, held := s.holders[rank]; held && v.Pass >= pass {
			return s.withCompleted(rank)
		}
	}
	return s
}

// withHolderView chooses the pass to hold from the newest pass that has begun. If
// a late order of an earlier leader already holds a pass, the switch chooses that
// pass and sends its own Hold order for it: only then does the engine refuse a
// late Release order of the earlier leader.
func (s Switch) withHolderView(rank int, v View) Switch {
	if rank != s.config.Holder {
		return s
	}
	if v.Held != NoPass && v.Held > v.Pass {
		s.holdPass = v.Held
		return s
	}
	if s.holdPass <= v.Pass {
		s.holdPass = v.Pass + s.config.HoldAhead
	}
	return s
}

// WithResult returns the switch updated with the result of an order. A result of
// any order but the pending one is ignored. A refused Prepare order stays pending.
func (s Switch) WithResult(rank int, o Order, r Result) Switch {
	current, pending := s.Orders()[rank]
	if !pending || current != o {
		return s
	}
	switch {
	case r == Fenced:
		s.phase = Finished // another leader has taken over and rolls back the held passes
		s.rolledBack = true
	case r == Done && s.phase != Preparing: // a copy is complete only when View.Prepared shows it
		return s.withCompleted(rank)
	case r == Refused && s.phase == Claiming:
		s.phase = Finished // the pass has begun; an earlier leader releases it only when all ranks are armed or none is
	case r == Refused && s.phase == Holding:
		s.holdPass = NoPass // the pass has begun; the next view selects another one
	case r == Refused && s.phase == Arming:
		return s.TimedOut()
	case r == Refused && (s.phase == Releasing || s.phase == RollingBack):
		return s.withCompleted(rank) // Release: the rank holds no pass any more; Disarm: the new map is in force
	}
	return s
}

// withCompleted records that a rank has completed the phase, and enters the next
// phase when all ranks have.
func (s Switch) withCompleted(rank int) Switch {
	completed := maps.Clone(s.completed)
	if completed == nil {
		completed = map[int]bool{}
	}
	completed[rank] = true
	s.completed = completed
	if !s.phaseCompleted() {
		return s
	}
	s.completed = nil
	switch s.phase {
	case Preparing:
		s.phase = Holding
	case Holding:
		s.phase = Arming
		s.holders = map[int]Pass{s.config.Holder: s.holdPass}
	case Claiming:
		s.phase = RollingBack
	case Arming, RollingBack:
		s.phase = Releasing
		if len(s.holders) == 0 {
			s.phase = Finished
		}
	case Releasing:
		s.phase = Finished
	}
	return s
}

// phaseCompleted reports whether every rank that takes part has completed the phase.
func (s Switch) phaseCompleted() bool {
	switch s.phase {
	case Holding:
		return s.completed[s.config.Holder]
	case Claiming, Releasing:
		return len(s.completed) == len(s.holders)
	}
	return len(s.completed) == s.config.Ranks
}

// TimedOut returns the switch after a timeout: it is rolled back. If no rank can
// be armed yet, the switch finishes at once, except that a pass that may be held
// is released first. In the Claiming, RollingBack, Releasing and Finished phases it
// returns the switch unchanged.
func (s Switch) TimedOut() Switch {
	switch s.phase {
	case Preparing:
		s.phase = Finished
		s.rolledBack = true
	case Holding:
		s.rolledBack = true
		s.phase = Finished
		if s.holdPass != NoPass {
			s.holders = map[int]Pass{s.config.Holder: s.holdPass}
			s.phase = Releasing
			s.completed = nil
		}
	case Arming:
		s.rolledBack = true
		s.phase = RollingBack
		s.completed = nil
	}
	return s
}
