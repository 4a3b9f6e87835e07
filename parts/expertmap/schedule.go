package expertmap

import "slices"

// MapID names an expert map: the offset of its record in the platform's log.
type MapID int64

// NoMap is the map of a step that no schedule covers.
const NoMap MapID = -1

// Step numbers the steps of a group.
type Step int64

// NoStep is before every step.
const NoStep Step = -1

// Fence is a fencing number: the offset of a coordinator's lease in the log.
type Fence int64

// NoFence is below every fence.
const NoFence Fence = -1

// Segment says that steps from From on use Map.
type Segment struct {
	From Step  `json:"from"`
	Map  MapID `json:"map"`
}

// Schedule gives each step its map: that of the last segment which begins at or
// before it. It is immutable.
type Schedule []Segment

// At returns the map of a step.
func (s Schedule) At(t Step) MapID {
	for _, segment := range slices.Backward(s) {
		if segment.From <= t {
			return segment.Map
		}
	}
	return NoMap
}

// Last returns the newest segment.
func (s Schedule) Last() Segment {
	if len(s) == 0 {
		return Segment{From: NoStep, Map: NoMap}
	}
	return s[len(s)-1]
}

// With returns the schedule followed by a segment.
func (s Schedule) With(next Segment) Schedule {
	return append(slices.Clone(s), next)
}

// Since returns the schedule without the segments that end before the step.
func (s Schedule) Since(t Step) Schedule {
	first := 0
	for first+1 < len(s) && s[first+1].From <= t {
		first++
	}
	return s[first:]
}

// Uses says whether a segment has the map.
func (s Schedule) Uses(m MapID) bool {
	return slices.ContainsFunc(s, func(segment Segment) bool { return segment.Map == m })
}

// Equal says whether two schedules are the same. An empty one equals none.
func (s Schedule) Equal(other Schedule) bool {
	return len(s) > 0 && slices.Equal(s, other)
}
