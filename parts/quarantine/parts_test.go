package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/quarantine"
)

const (
	sound  = quarantine.PartID(1)
	poison = quarantine.PartID(2)
	other  = quarantine.PartID(3)
)

func refused(l *quarantine.PartList, now time.Time, parts ...quarantine.PartID) bool {
	_, refused := l.Refused(now, parts)
	return refused
}

func ExamplePartList() {
	now := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	l := quarantine.NewPartList()
	common, added := quarantine.NewPartID("brief-model", 0xa1), quarantine.NewPartID("brief-model", 0xd2)
	l.Answered(now, []quarantine.PartID{common})
	l.AddDeath(now.Add(time.Second), "t1", []quarantine.PartID{common, added})
	_, commonRefused := l.Refused(now.Add(time.Second), []quarantine.PartID{common})
	until, addedRefused := l.Refused(now.Add(time.Second), []quarantine.PartID{common, added})
	fmt.Println(commonRefused, addedRefused, until.Format(time.TimeOnly))
	// Output: false true 09:00:31
}

func TestAnswerClearsSuspectedPart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := quarantine.NewPartList()
	l.AddDeath(now, "t1", []quarantine.PartID{sound})
	is.True(refused(l, now, sound))
	is.Equal(l.Answered(now.Add(time.Second), []quarantine.PartID{sound}), []quarantine.PartID{sound})
	is.True(!refused(l, now.Add(time.Second), sound))
}

// TestSuspectedPartIsTriedByOneRequest checks that a part is tried by one request when its first
// hold is over, and refused much longer if another target dies.
func TestSuspectedPartIsTriedByOneRequest(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := quarantine.NewPartList()
	l.AddDeath(now, "t1", []quarantine.PartID{poison})
	until, _ := l.Refused(now, []quarantine.PartID{poison})
	now = until.Add(time.Millisecond)
	is.True(!refused(l, now, poison))
	is.Equal(l.StartTrial(now, []quarantine.PartID{poison}), []quarantine.PartID{poison})
	is.True(refused(l, now, poison)) // the next request waits for the outcome
	l.AddDeath(now, "t2", []quarantine.PartID{poison})
	is.True(refused(l, now.Add(5*time.Minute), poison))
}

// TestDeathIsExplainedByAnotherPart checks that a part which has never been answered does not stay
// refused because of a request that a poison part was in too.
func TestDeathIsExplainedByAnotherPart(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := quarantine.NewPartList()
	l.AddDeath(now, "t1", []quarantine.PartID{sound, poison})
	is.True(refused(l, now, sound))
	l.AddDeath(now.Add(time.Second), "t2", []quarantine.PartID{other, poison})
	is.True(!refused(l, now.Add(time.Second), sound))
	is.True(!refused(l, now.Add(time.Second), other))
	is.True(refused(l, now.Add(time.Second), poison))
}

// TestDeathIsExplainedByAnotherRequest guards against refusing the parts of sound requests that waited
// at the same target as a poison part.
func TestDeathIsExplainedByAnotherRequest(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := quarantine.NewPartList()
	l.AddDeath(now, "t1", []quarantine.PartID{sound})
	l.AddDeath(now, "t1", []quarantine.PartID{poison})
	is.True(refused(l, now, sound)) // nothing tells which of the two it was
	l.AddDeath(now.Add(time.Second), "t2", []quarantine.PartID{other})
	l.AddDeath(now.Add(time.Second), "t2", []quarantine.PartID{poison})
	is.True(!refused(l, now.Add(time.Second), sound))
	is.True(!refused(l, now.Add(time.Second), other))
	is.True(refused(l, now.Add(time.Second), poison))
}

// TestTargetsThatDieTogetherCountOnce guards against quarantining a part for long because several
// hosts that ran requests with it failed at the same moment.
func TestTargetsThatDieTogetherCountOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := quarantine.NewPartList()
	l.Answered(now.Add(-time.Second), []quarantine.PartID{sound})
	for i := range 4 {
		l.AddDeath(now.Add(time.Duration(i)*100*time.Millisecond), fmt.Sprint("t", i), []quarantine.PartID{sound})
	}
	is.True(!refused(l, now.Add(time.Second), sound))
}

// TestPartRecordsMergeInAnyOrder checks that entries agree on a part whatever the order in which
// the records of their peers arrive, also if some arrive twice.
func TestPartRecordsMergeInAnyOrder(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	parts := []quarantine.PartID{sound, poison, other}
	var messages [][]quarantine.PartRecord
	for i := range 4 {
		l := quarantine.NewPartList()
		l.Answered(now.Add(-time.Duration(i)*time.Second), []quarantine.PartID{sound})
		l.AddDeath(now.Add(time.Duration(i)*time.Second), fmt.Sprint("t", i), []quarantine.PartID{parts[i%3], poison})
		messages = append(messages, l.Records(now.Add(10*time.Second), parts))
	}
	now = now.Add(10 * time.Second)
	for seed := range uint64(50) {
		order := rand.New(rand.NewPCG(seed, seed)).Perm(len(messages))
		l := quarantine.NewPartList()
		for _, i := range append(order, order[0]) {
			l.Merge(now, messages[i])
		}
		is.True(refused(l, now, poison))
		is.True(!refused(l, now, sound))
		is.True(!refused(l, now, other))
	}
}

// TestManyPartsDoNotReleaseSuspect guards against a poison part that is forgotten because callers
// send many other parts, and against memory that grows with what they send.
func TestManyPartsDoNotReleaseSuspect(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := quarantine.NewPartList()
	l.AddDeath(now, "t1", []quarantine.PartID{poison})
	for i := range 100_000 {
		l.Answered(now, []quarantine.PartID{quarantine.PartID(1000 + i)})
	}
	is.True(refused(l, now, poison))
	is.True(l.Len() <= 3*8192)
}

// TestManyDeathsDoNotHideExplanation guards against deaths that can't be related to each other any more
// after a long time with many cleared ones.
func TestManyDeathsDoNotHideExplanation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := quarantine.NewPartList()
	for i := range 3000 {
		now = now.Add(time.Second)
		l.AddDeath(now, fmt.Sprint("old", i), []quarantine.PartID{sound})
		now = now.Add(time.Second)
		l.Answered(now, []quarantine.PartID{sound})
	}
	now = now.Add(time.Hour)
	l.AddDeath(now, "t1", []quarantine.PartID{other, poison})
	l.AddDeath(now.Add(time.Second), "t2", []quarantine.PartID{poison})
	is.True(refused(l, now.Add(time.Second), poison))
	is.True(!refused(l, now.Add(time.Second), other))
}

// BenchmarkRequestWithParts measures what the list costs a request with two shared parts, while it
// holds as many parts as it may and ten of them are suspects.
func BenchmarkRequestWithParts(b *testing.B) {
	now := time.Now()
	l := quarantine.NewPartList()
	for i := range 16_384 {
		l.Answered(now, []quarantine.PartID{quarantine.PartID(1000 + i)})
	}
	for i := range 10 {
		l.AddDeath(now, "t1", []quarantine.PartID{quarantine.PartID(i)})
	}
	for i := 0; b.Loop(); i++ {
		parts := []quarantine.PartID{quarantine.PartID(1000 + i%16_384), quarantine.PartID(1000 + 7*i%16_384)}
		l.Refused(now, parts)
		l.Answered(now, parts)
	}
}
