// Package expertmap switches a group of ranks from one expert map to another so
// that in every step all ranks use the same map.
//
// Steps are numbered. All ranks advance in lock-step: a rank starts step t only
// when all ranks have completed step t-1. An engine runs only steps for which
// its rank has granted a permit, and a permit names the map. Which map belongs
// to which step is a Schedule; a switch proposes a longer one. Its phases, each
// of which every rank acknowledges before the next begins:
//
//	read    every rank takes the coordinator's fence and tells its state
//	load    every rank fetches the weights that the wanted map needs
//	freeze  every rank stops granting permits and tells its horizon, the last
//	        step for which it may have granted one
//	commit  every rank records the proposed schedule, whose new part begins
//	        above every horizon
//	resume  ranks put the schedule in force and grant permits again
//
// A group with a missing rank makes no step, so needing all ranks costs nothing:
// there is no quorum. A coordinator that dies is replaced; the next one finishes
// a proposal that every rank with a memory holds, and drops any other, which
// cannot have been resumed anywhere. A rank whose process was replaced remembers
// nothing and stays frozen until a coordinator has brought it into the group. At
// least one rank must keep its memory from one coordinator to the next; when all
// have lost it, the engines must start anew (PhaseReset).
package expertmap
