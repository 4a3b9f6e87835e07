package rankagent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/mesh"
)

// TestLinkShareBoundsBytes sends as much as is allowed in a second, in messages of 6 KB.
func TestLinkShareBoundsBytes(t *testing.T) {
	is := is.New(t)
	const rate, message = 187_500, 6_000
	start := time.Now()
	share, sent := linkShare{bytesPerSecond: rate}, 0
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(paceInterval) {
		for share.allows(now) {
			share = share.withSent(now, message)
			sent += message
		}
	}
	is.True(sent >= rate-message && sent <= rate+2*message+int(rate*linkShareBurst.Seconds()))
	is.True((linkShare{}).withSent(start, message).allows(start)) // no rate, no limit
}

// TestReportsOfLargeGroupFitLeaderLink guards against reports and choices of experts that fill the link of
// the leader, so that it hears requests for slots too late or not at all.
func TestReportsOfLargeGroupFitLeaderLink(t *testing.T) {
	const link = 6e6 / 8 // bytes per second
	for _, ranks := range []int{17, 63, 129, 256} {
		is := is.New(t)
		experts := 16 * 2 * ranks
		s := newReportSchedule(ranks, experts, link)
		choices := make([]int64, experts)
		for x := range choices {
			choices[x] = int64(x)
		}
		encoded := mesh.EncodeChoices(make([]int64, experts), choices)
		if s.coarseChoices {
			encoded = mesh.EncodeCoarseChoices(make([]int64, experts), choices)
		}
		readsOfAll := float64(ranks) * float64(time.Second/readInterval)
		reports := readsOfAll / float64(s.interval) * reportBytes
		withChoices := readsOfAll / float64(s.choiceTurns) * (reportBytes + base64Growth*float64(len(encoded)))
		t.Logf("%d ranks: reports %.2f of the link, choices %.2f, a rank's choices every %d reads, coarse %v", ranks, reports/link, withChoices/link, s.choiceTurns, s.coarseChoices)
		is.True(reports/link <= 0.25)
		is.True(withChoices/link <= 0.25)
		is.True(s.choiceTurns <= int64(10*time.Second/readInterval)) // a shift of demand is seen within some seconds
		is.True(s.maxReportAge() <= 2*time.Second)
	}
	is := is.New(t)
	is.Equal(newReportSchedule(12, 288, link), reportSchedule{interval: 1, choiceTurns: 1})
}

// TestFailedSwitchesWaitLongerEachTime guards against a group that copies weights all the time for switches
// that are rolled back.
func TestFailedSwitchesWaitLongerEachTime(t *testing.T) {
	is := is.New(t)
	is.Equal(rollbackPause(0), time.Duration(0))
	is.Equal(rollbackPause(1), time.Duration(0))
	previous := time.Duration(0)
	for n := 2; n < 5; n++ {
		is.True(rollbackPause(n) >= 2*previous && rollbackPause(n) > 0)
		previous = rollbackPause(n)
	}
	is.Equal(rollbackPause(40), maxRollbackPause)
}

// TestCandidatesClaimOneAfterAnother checks that the ranks of a large group do not claim the leadership at
// the same moment, and that each waits for the others in the order of their distance from the last leader.
func TestCandidatesClaimOneAfterAnother(t *testing.T) {
	is := is.New(t)
	const size, leader = 129, 127
	last := time.Duration(0)
	for i := range maxCandidates {
		delay := claimDelay(size, (leader+1+i)%size, leader)
		is.True(delay-last >= claimInterval || i == 0)
		last = delay
	}
	for rank := range size {
		is.True(claimDelay(size, rank, leader) <= leaderTimeout(size)+maxCandidates*claimInterval+lateClaimJitter)
	}
	is.Equal(claimDelay(size, 0, noLeader), leaderTimeout(size))
}
