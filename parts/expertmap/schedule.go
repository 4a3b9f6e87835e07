package expertmap

import "slices"

// MapID identifies an expert map by the offset of its record in the platform's log.
type MapID int64

// NoMap is the map of a step that no schedule covers.
const NoMap MapID = -1

// Step is the sequence number of a step of a group.
type Step int64

// NoStep is lower than every step.
const NoStep Step = -1

// Fence is a fencing token: the offset of a coordinator's lease in the log.
type Fence int64

// NoFence is lower than every fence.
const NoFence Fence = -1

// Segment assigns Map to the steps from From on.
type Segment struct {
	From Step  `json:"from"`
	Map  MapID `json:"map"`
}

// Schedule assigns a map to each step: the map of the last segment that begins at or
// before the step. It is immutable.
type Schedule []Segment

// At returns the map of a step, NoMap if no segment covers it.
func (s Schedule) At(t Step) MapID {
	for _, segment := range slices.Backward(s) {
		if segment.From <= t {
			return segment.Map
		}
	}
	return NoMap
}

// Last returns the last segment. For an empty schedule it has NoStep and NoMap.
func (s Schedule) Last() Segment {
	if len(s) == 0 {
		return Segment{From: NoStep, Map: NoMap}
	}
	return s[len(s)-1]
}

// With returns the schedule with a segment appended.
func (s Schedule) With(next Segment) Schedule {
	return append(slices.Clone(s), next)
}

// Since returns the schedule without the segments that end before step t.
func (s Schedule) Since(t Step) Schedule {
	first := 0
	for first+1 < len(s) && s[first+1].From <= t {
		first++
	}
	return s[first:]
}

// Uses reports whether any segment has the map.
func (s Schedule) Uses(m MapID) bool {
	return slices.ContainsFunc(s, func(segment Segment) bool { return segment.Map == m })
}

// Equal reports whether two schedules are equal. An empty schedule is equal to none,
// not even to another empty one.
func (s Schedule) Equal(other Schedule) bool {
	return len(s) > 0 && slices.Equal(s, other)
}
