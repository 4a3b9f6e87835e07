// Package mapswitch leads the ranks of a lock-step group to another expert map,
// by engines that hold, arm and go on by themselves. All ranks change at one
// pass or none does, whatever dies and however late an order is carried out:
//
//   - every rank prepares the map;
//   - one rank holds a pass H that has not begun, so that no rank begins it;
//   - every rank confirms that it is armed for H;
//   - only then the holding rank is told to go on.
//
// A switch that cannot be finished is undone under a higher fence: once every
// rank has taken an order with it, late orders of the switch are refused
// everywhere, and the held pass may begin under the old map.
package mapswitch

import "maps"

// Pass numbers the passes of a group.
type Pass int64

// NoPass says that no pass is held.
const NoPass Pass = -1

// Version numbers the maps of a group. 0 is the one it forms with.
type Version int64

// Fence is a fencing token; an engine refuses orders below the highest it saw.
type Fence int64

// View is what a rank's engine says of itself.
type View struct {
	Epoch    int64
	Pass     Pass // the last that was begun
	Map      Version
	Prepared Version // complete copy; 0 for none
	Armed    Version // 0 for none
	Held     Pass
}

// Kind is what an order asks of an engine.
type Kind string

// The orders.
const (
	Prepare Kind = "prepare"
	Arm     Kind = "arm"
	Disarm  Kind = "disarm"
	Hold    Kind = "hold"
	Go      Kind = "go"
)

// Order goes to the engine of one rank.
type Order struct {
	Kind    Kind
	Fence   Fence
	Epoch   int64
	Version Version
	Pass    Pass
}

// Result is an engine's answer to an order.
type Result string

// The answers.
const (
	Done    Result = "done"    // it has begun or holds already
	Refused Result = "refused" // it does not fit the engine's state
	Fenced  Result = "fenced"  // a higher fence was seen
)

// Phase is where a switch is.
type Phase string

// The phases.
const (
	Preparing Phase = "preparing"
	Holding   Phase = "holding"
	Arming    Phase = "arming"
	Claiming  Phase = "claiming" // holds again what an earlier leader held
	Undoing   Phase = "undoing"  // disarms every rank under a higher fence
	Releasing Phase = "releasing"
	Finished  Phase = "finished"
)

// Config is what a Switch is built from.
type Config struct {
	Fence   Fence // Fence+1 is used to undo
	Epoch   int64
	Ranks   int
	Version Version
	// Holder is the rank that holds the pass.
	Holder int
	// Ahead is how many passes lie between the newest known one and the held
	// one, so that all ranks are armed before it is reached.
	Ahead Pass
}

// Switch is one change of maps. It is immutable.
type Switch struct {
	config  Config
	phase   Phase
	pass    Pass         // held, or to be held
	holders map[int]Pass // passes that must be let go when undone
	done    map[int]bool // ranks that did their part of the phase
	undone  bool         // ended under the old map
}

// New returns a switch that begins by preparing.
func New(c Config) Switch {
	return Switch{config: c, phase: Preparing, pass: NoPass}
}

// Undo returns a switch that lets go what an earlier one left held. It holds the
// passes itself first: a late go of the earlier leader must not let them begin
// while some ranks are disarmed and others are not.
func Undo(c Config, holders map[int]Pass) Switch {
	return Switch{config: c, phase: Claiming, pass: NoPass, holders: maps.Clone(holders), undone: true}
}

// Phase returns where the switch is.
func (s Switch) Phase() Phase { return s.phase }

// Undone says whether the old map stays in force.
func (s Switch) Undone() bool { return s.undone }

// Version returns the wanted map.
func (s Switch) Version() Version { return s.config.Version }

// Epoch returns the group's epoch.
func (s Switch) Epoch() int64 { return s.config.Epoch }

// Orders returns what to send, by rank, until the answers have come. Sending
// again is harmless.
func (s Switch) Orders() map[int]Order {
	orders := map[int]Order{}
	order := Order{Fence: s.config.Fence, Epoch: s.config.Epoch, Version: s.config.Version, Pass: s.pass}
	if s.undone {
		order.Fence++
	}
	switch s.phase {
	case Preparing:
		order.Kind = Prepare
		s.each(orders, order)
	case Holding:
		order.Kind = Hold
		if s.pass != NoPass {
			orders[s.config.Holder] = order
		}
	case Arming:
		order.Kind = Arm
		s.each(orders, order)
	case Undoing:
		order.Kind = Disarm
		s.each(orders, order)
	case Claiming, Releasing:
		order.Kind = Go
		if s.phase == Claiming {
			order.Kind = Hold
		}
		for rank, pass := range s.holders {
			if !s.done[rank] {
				order.Pass = pass
				orders[rank] = order
			}
		}
	}
	return orders
}

func (s Switch) each(orders map[int]Order, order Order) {
	for rank := range s.config.Ranks {
		if !s.done[rank] {
			orders[rank] = order
		}
	}
}

// WithView returns the switch after a rank's engine was read.
func (s Switch) WithView(rank int, v View) Switch {
	if s.phase == Finished {
		return s
	}
	if v.Epoch != s.config.Epoch {
		s.phase = Finished // the group formed anew, with nothing armed or held
		s.undone = s.undone || v.Map != s.config.Version
		return s
	}
	switch s.phase {
	case Preparing:
		if v.Prepared == s.config.Version {
			return s.withDone(rank)
		}
	case Holding:
		return s.withHolderView(rank, v)
	case Arming:
		if v.Armed == s.config.Version || v.Map == s.config.Version {
			return s.withDone(rank)
		}
	case Releasing:
		if pass, held := s.holders[rank]; held && v.Pass >= pass {
			return s.withDone(rank)
		}
	}
	return s
}

// withHolderView chooses the pass to hold from the newest one begun. A hold
// that was carried out late is taken over, by an order of our own: only then
// does the engine refuse a late go of the one who held it before.
func (s Switch) withHolderView(rank int, v View) Switch {
	if rank != s.config.Holder {
		return s
	}
	if v.Held != NoPass && v.Held > v.Pass {
		s.pass = v.Held
		return s
	}
	if s.pass <= v.Pass {
		s.pass = v.Pass + s.config.Ahead
	}
	return s
}

// WithResult returns the switch after an engine's answer to an order.
func (s Switch) WithResult(rank int, o Order, r Result) Switch {
	current, waits := s.Orders()[rank]
	if !waits || current != o {
		return s
	}
	switch {
	case r == Fenced:
		s.phase = Finished // another leader has taken over, and undoes what is held
		s.undone = true
	case r == Done && s.phase != Preparing: // a copy is complete only when its rank says so
		return s.withDone(rank)
	case r == Refused && s.phase == Claiming:
		s.phase = Finished // it was let go and the pass has begun, all ranks armed
	case r == Refused && s.phase == Holding:
		s.pass = NoPass // the pass has begun; the next view gives another
	case r == Refused && s.phase == Arming:
		return s.GivenUp()
	case r == Refused && (s.phase == Releasing || s.phase == Undoing):
		return s.withDone(rank) // nothing is held there any more, or the map is in force
	}
	return s
}

func (s Switch) withDone(rank int) Switch {
	done := maps.Clone(s.done)
	if done == nil {
		done = map[int]bool{}
	}
	done[rank] = true
	s.done = done
	if !s.complete() {
		return s
	}
	s.done = nil
	switch s.phase {
	case Preparing:
		s.phase = Holding
	case Holding:
		s.phase = Arming
		s.holders = map[int]Pass{s.config.Holder: s.pass}
	case Claiming:
		s.phase = Undoing
	case Arming, Undoing:
		s.phase = Releasing
		if len(s.holders) == 0 {
			s.phase = Finished
		}
	case Releasing:
		s.phase = Finished
	}
	return s
}

func (s Switch) complete() bool {
	switch s.phase {
	case Holding:
		return s.done[s.config.Holder]
	case Claiming, Releasing:
		return len(s.done) == len(s.holders)
	}
	return len(s.done) == s.config.Ranks
}

// GivenUp returns the switch when it takes too long. Before any rank could be
// armed it simply ends, but for a pass that may be held.
func (s Switch) GivenUp() Switch {
	switch s.phase {
	case Preparing:
		s.phase = Finished
		s.undone = true
	case Holding:
		s.undone = true
		s.phase = Finished
		if s.pass != NoPass {
			s.holders = map[int]Pass{s.config.Holder: s.pass}
			s.phase = Releasing
			s.done = nil
		}
	case Arming:
		s.undone = true
		s.phase = Undoing
		s.done = nil
	}
	return s
}
