// Package expertmap decides how a group of ranks switches from one expert map to
// another so that in every step all ranks use the same map.
//
// Steps are numbered. All ranks advance in lock-step: a rank starts step t only
// when all ranks have completed step t-1. An engine runs only steps for which
// its rank has granted a permit, and a permit names the map. A Schedule assigns a
// map to each step; a switch proposes a schedule with one more segment. Every rank
// acknowledges each phase of a switch before the next phase begins:
//
//	read    every rank accepts the coordinator's fence and reports its state
//	load    every rank fetches the weights that the wanted map needs
//	freeze  every rank stops granting permits and reports its horizon, the last
//	        step for which it may have granted one
//	commit  every rank records the proposed schedule, whose new segment begins
//	        above every horizon
//	resume  every rank puts the schedule in force and grants permits again
//
// The protocol needs all ranks instead of a quorum. This costs nothing, because a
// group with a missing rank makes no step. If a coordinator dies, the next one
// finishes a proposal that every rank that has kept its state holds, and drops any
// other proposal, which cannot be in force at any rank. A rank whose process was
// replaced has lost its state and stays frozen until a coordinator has added it to
// the group. At least one rank must keep its state from one coordinator to the next.
// If all ranks have lost it, the engines must be restarted (PhaseReset).
package expertmap
