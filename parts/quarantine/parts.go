package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstHold is the time for which a part is refused after a death that it may have caused,
	// and repeatedHold that after another one. The first hold costs the callers of one part,
	// while another death may cost those of a whole group.
	firstHold    = 30 * time.Second
	repeatedHold = strikeTTL
	// trialHold is the time for which other requests wait for the outcome of a trial.
	trialHold = 2 * time.Second
	// answerTTL is how long an answer shows that a part is harmless.
	answerTTL = 5 * time.Minute
	// sameCause is the time between two deaths up to which they count as one, since targets that
	// die together may have another cause in common.
	sameCause = 2 * time.Second
	// maxPartDeaths bounds the deaths that are kept for a part. The oldest are dropped.
	maxPartDeaths = 4
	// maxPartsPerGeneration bounds the parts in each of a PartList's two generations.
	maxPartsPerGeneration = 8192
	// maxKeptSuspects bounds the parts with deaths that a new generation begins with.
	maxKeptSuspects = 1024
	// maxPartsOfDeath bounds the parts that are kept for one death, far above the number of parts of a request.
	maxPartsOfDeath = 1024
)

// PartID identifies a part of a prompt that several requests for a service may share.
type PartID uint64

// NewPartID returns the ID of a part at a service. A part that kills the targets of one service
// may be harmless at another.
func NewPartID(service string, part uint64) PartID {
	raw := binary.LittleEndian.AppendUint64([]byte(service), part)
	return PartID(xxhash.Sum64(raw))
}

// PartDeath records that a target died after it had got a request with a part and before it had
// answered it.
type PartDeath struct {
	Incarnation string
	At          time.Time
}

// partState is what is known of one part.
type partState struct {
	answeredAt time.Time // when a target last answered a request with the part and lived on
	deaths     []PartDeath
	trialUntil time.Time // end of the wait for the outcome of a trial
}

// PartList decides which prompt parts are refused because they kill the targets that begin to
// answer them, whatever else the request holds. After a death, each part of the request is a
// suspect, except that an answer clears a part. A suspect is refused for firstHold; then one
// request tries it. A part that has been answered recently becomes a suspect only with the second
// death since. A death counts for none but the part that has more deaths than the others that were
// in requests to the same target.
//
// The state of a part is merged from all entries: the newest answer and the union of the deaths
// since. The order of the records doesn't matter. A PartList is not safe for concurrent use.
type PartList struct {
	// The states are kept in two generations. When current is full, it replaces previous; see
	// startGeneration.
	current, previous map[PartID]*partState
	// partsByDeath holds the parts with a death of each incarnation, and may hold parts that were
	// cleared since.
	partsByDeath map[string][]PartID
}

// NewPartList returns a list without suspects.
func NewPartList() *PartList {
	return &PartList{current: map[PartID]*partState{}, previous: map[PartID]*partState{}, partsByDeath: map[string][]PartID{}}
}

// state returns the state of a part, or nil if nothing is known of it.
func (l *PartList) state(id PartID) *partState {
	if s, ok := l.current[id]; ok {
		return s
	}
	return l.previous[id]
}

// edit returns the state of a part to be changed. It creates the state if there is none.
func (l *PartList) edit(id PartID) *partState {
	if s, ok := l.current[id]; ok {
		return s
	}
	s, ok := l.previous[id]
	if !ok {
		s = &partState{}
	}
	if len(l.current) >= maxPartsPerGeneration {
		l.startGeneration()
	}
	l.current[id] = s
	return s
}

// startGeneration drops the states of previous, except that those with the latest deaths stay: a
// refused part is not used until it is tried.
func (l *PartList) startGeneration() {
	var withDeaths []PartID
	for id, s := range l.previous {
		if len(s.deaths) > 0 {
			withDeaths = append(withDeaths, id)
		}
	}
	slices.SortFunc(withDeaths, func(a, b PartID) int { return l.previous[b].lastDeath().Compare(l.previous[a].lastDeath()) })
	next := map[PartID]*partState{}
	for _, id := range withDeaths[:min(len(withDeaths), maxKeptSuspects)] {
		next[id] = l.previous[id]
	}
	l.current, l.previous = next, l.current
}

// dropClearedDeaths removes from partsByDeath the parts that were cleared, and the incarnations that
// have no other.
func (l *PartList) dropClearedDeaths() {
	for incarnation, parts := range l.partsByDeath {
		known := slices.DeleteFunc(parts, func(id PartID) bool {
			s := l.state(id)
			return s == nil || !s.hasDeath(incarnation)
		})
		if l.partsByDeath[incarnation] = known; len(known) == 0 {
			delete(l.partsByDeath, incarnation)
		}
	}
}

// Answered records that a target answered a request with the parts and lived on. It returns the
// parts that are no suspects any more, so that the peers can be told.
func (l *PartList) Answered(now time.Time, parts []PartID) []PartID {
	var cleared []PartID
	for _, id := range parts {
		s := l.edit(id)
		if len(s.deaths) > 0 {
			cleared = append(cleared, id)
		}
		s.answer(now)
	}
	return cleared
}

// answer records an answer, which refutes the deaths before it.
func (s *partState) answer(at time.Time) {
	if !at.After(s.answeredAt) {
		return
	}
	s.answeredAt = at
	s.deaths = slices.DeleteFunc(s.deaths, func(d PartDeath) bool { return !d.At.After(at) })
	if len(s.deaths) == 0 {
		s.deaths, s.trialUntil = nil, time.Time{}
	}
}

// AddDeath records that a target died now, after it had got a request with the parts and before it
// had answered it. If some of the parts are refused already, the death is put down to them alone.
// It returns the parts that are suspects now.
func (l *PartList) AddDeath(now time.Time, incarnation string, parts []PartID) []PartID {
	return l.AddDeathAt(now, now, incarnation, parts)
}

// AddDeathAt is AddDeath for a target that died at an earlier time. Answers since then clear their parts.
func (l *PartList) AddDeathAt(now, diedAt time.Time, incarnation string, parts []PartID) []PartID {
	charged := l.Suspects(now, parts)
	if len(charged) == 0 {
		charged = parts
	}
	for _, id := range charged {
		l.addDeath(id, PartDeath{Incarnation: incarnation, At: diedAt})
	}
	return l.Suspects(now, charged)
}

// addDeath records a death of a part unless it is known or refuted by a later answer.
func (l *PartList) addDeath(id PartID, d PartDeath) {
	s := l.edit(id)
	if !d.At.After(s.answeredAt) || s.hasDeath(d.Incarnation) || len(d.Incarnation) > maxIncarnationBytes {
		return
	}
	s.deaths = append(s.deaths, d)
	slices.SortFunc(s.deaths, func(a, b PartDeath) int { return a.At.Compare(b.At) })
	if len(s.deaths) > maxPartDeaths {
		s.deaths = slices.Delete(s.deaths, 0, len(s.deaths)-maxPartDeaths)
	}
	parts, known := l.partsByDeath[d.Incarnation]
	if !known && len(l.partsByDeath) >= maxKeptSuspects {
		l.dropClearedDeaths()
	}
	if len(parts) >= maxPartsOfDeath {
		return
	}
	if known || len(l.partsByDeath) < maxKeptSuspects {
		l.partsByDeath[d.Incarnation] = append(parts, id)
	}
}

// lastDeath returns the time of the latest death. There must be one.
func (s *partState) lastDeath() time.Time { return s.deaths[len(s.deaths)-1].At }

func (s *partState) hasDeath(incarnation string) bool {
	return slices.ContainsFunc(s.deaths, func(d PartDeath) bool { return d.Incarnation == incarnation })
}

// deathCount returns the number of targets that died of a part since it was last answered.
func (l *PartList) deathCount(now time.Time, id PartID) int {
	count := 0
	if s := l.state(id); s != nil {
		for _, d := range s.deaths {
			if now.Sub(d.At) < strikeTTL {
				count++
			}
		}
	}
	return count
}

// unexplained returns the deaths that no other part explains.
func (l *PartList) unexplained(now time.Time, id PartID, s *partState) []PartDeath {
	own := l.deathCount(now, id)
	return slices.DeleteFunc(slices.Clone(s.deaths), func(d PartDeath) bool {
		return now.Sub(d.At) >= strikeTTL || slices.ContainsFunc(l.partsByDeath[d.Incarnation], func(other PartID) bool {
			o := l.state(other)
			return o != nil && o.hasDeath(d.Incarnation) && l.deathCount(now, other) > own
		})
	})
}

// hold returns how long the part is refused after its last death, and when that was. The hold is 0
// for a part that is no suspect.
func (l *PartList) hold(now time.Time, id PartID) (time.Duration, time.Time) {
	s := l.state(id)
	if s == nil {
		return 0, time.Time{}
	}
	causes := 0
	var last time.Time
	for _, d := range l.unexplained(now, id, s) {
		if causes == 0 || d.At.Sub(last) > sameCause {
			causes++
		}
		last = d.At
	}
	suspectFrom := 1
	if !s.answeredAt.IsZero() && now.Sub(s.answeredAt) < answerTTL {
		suspectFrom = 2
	}
	switch {
	case causes < suspectFrom:
		return 0, time.Time{}
	case causes == suspectFrom:
		return firstHold, last
	}
	return repeatedHold, last
}

// suspected reports whether the part may kill the targets that begin to answer it, also while its
// hold is over and no request has tried it yet.
func (l *PartList) suspected(now time.Time, id PartID) bool {
	hold, _ := l.hold(now, id)
	return hold > 0
}

// Refused reports whether a request with the parts must not be sent to a target now, and until
// when. The time is that at which the last hold of its parts ends.
func (l *PartList) Refused(now time.Time, parts []PartID) (time.Time, bool) {
	var until time.Time
	for _, id := range parts {
		hold, last := l.hold(now, id)
		if hold == 0 {
			continue
		}
		until = slices.MaxFunc([]time.Time{until, last.Add(hold), l.state(id).trialUntil}, time.Time.Compare)
	}
	return until, until.After(now)
}

// StartTrial makes the request that is about to be sent the trial of its suspected parts. Other
// requests with these parts are refused until its outcome is known, for trialHold at most. The
// caller tells the peers about the returned parts, and must have checked Refused.
func (l *PartList) StartTrial(now time.Time, parts []PartID) []PartID {
	tried := l.Suspects(now, parts)
	for _, id := range tried {
		l.edit(id).trialUntil = now.Add(trialHold)
	}
	return tried
}

// Len returns the number of states that are kept, where a part may count twice.
func (l *PartList) Len() int { return len(l.current) + len(l.previous) }

// Suspects returns those of the parts that are suspects.
func (l *PartList) Suspects(now time.Time, parts []PartID) []PartID {
	return slices.DeleteFunc(slices.Clone(parts), func(id PartID) bool { return !l.suspected(now, id) })
}

// allSuspects returns all suspected parts, the last death first.
func (l *PartList) allSuspects(now time.Time) []PartID {
	lastDeath := map[PartID]time.Time{}
	for _, generation := range []map[PartID]*partState{l.previous, l.current} {
		for id, s := range generation {
			if len(s.deaths) > 0 && l.suspected(now, id) {
				lastDeath[id] = s.lastDeath()
			}
		}
	}
	suspects := slices.Collect(maps.Keys(lastDeath))
	slices.SortFunc(suspects, func(a, b PartID) int {
		return cmp.Or(lastDeath[b].Compare(lastDeath[a]), cmp.Compare(a, b))
	})
	return suspects
}
