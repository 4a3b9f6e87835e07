package rankagent

import (
	"time"

	"camphormill.dev/parts/mapswitch"
	"camphormill.dev/parts/mesh"
)

const (
	// largeGroupReportInterval is the interval, in reads of the engine, at which a rank of a
	// large group sends a report when it has nothing urgent to report.
	largeGroupReportInterval = 2
	// maxReportInterval is the longest such interval.
	maxReportInterval = 6
	// reportBytes is the size of a report without choices and experts, with its headers.
	reportBytes = 380
	// reportLinkShare and choicesLinkShare are the shares of the leader's link that reports and the
	// choices in them may take.
	reportLinkShare  = 0.2
	choicesLinkShare = 0.2
	// base64Growth is the factor by which JSON enlarges bytes.
	base64Growth = 4.0 / 3
	// expertsRepeats is how often a rank of a large group reports the same experts, and
	// expertsInterval the interval, in reads of the engine, at which it does so again, in case that a
	// report was lost.
	expertsRepeats  = 2
	expertsInterval = 30
	// minReportAge is the least maxReportAge. It stays under the second within which a held pass (see
	// mapswitch.Hold) must be released.
	minReportAge = 600 * time.Millisecond
	// readsPerSecond is the rate that readInterval makes.
	readsPerSecond = 10
)

// reportSchedule says how often the ranks of a group report, so that the leader's link bears it.
type reportSchedule struct {
	interval      int64 // reads of the engine between two reports without news
	choiceTurns   int64 // reads of the engine between two reports with choices
	coarseChoices bool
}

// newReportSchedule returns the schedule of a group with the given number of ranks and of experts in all
// sets. Ranks of a large group take turns in reporting choices: reports of all ranks at once would
// saturate the leader's link.
func newReportSchedule(ranks, experts int, linkBytesPerSecond float64) reportSchedule {
	if ranks <= largeGroupSize {
		return reportSchedule{interval: 1, choiceTurns: 1}
	}
	s := reportSchedule{interval: largeGroupReportInterval, choiceTurns: int64(ranks+largeGroupSize-1) / largeGroupSize}
	if linkBytesPerSecond <= 0 {
		return s
	}
	readsOfAll := float64(ranks * readsPerSecond)
	s.interval = min(max(s.interval, int64(readsOfAll*reportBytes/(reportLinkShare*linkBytesPerSecond)+1)), maxReportInterval)
	turns := func(bytesPerChoice float64) int64 {
		bytes := reportBytes + base64Growth*bytesPerChoice*float64(experts)
		return int64(readsOfAll*bytes/(choicesLinkShare*linkBytesPerSecond) + 1)
	}
	if turns(1) > s.choiceTurns {
		s.coarseChoices = true
		s.choiceTurns = max(s.choiceTurns, turns(0.5))
	}
	return s
}

// maxReportAge returns the age up to which a rank's report counts as fresh. Decisions that need all ranks
// require fresh reports. Two reports in succession may be lost.
func (s reportSchedule) maxReportAge() time.Duration {
	return max(minReportAge, time.Duration(s.interval)*readInterval*5/2)
}

// silentAfter returns the time without a report after which the leader reads a rank's engine itself.
func (s reportSchedule) silentAfter() time.Duration { return s.maxReportAge() / 2 }

// expertsSent says which experts a rank has reported to which leader.
type expertsSent struct {
	fence     mapswitch.Fence
	epoch     int64
	expertMap mapswitch.Version
	count     int // reports with these experts
}

// schedule returns the schedule of the rank's reports. The caller holds mu.
func (a *Agent) schedule() reportSchedule {
	return newReportSchedule(a.rank.Size, len(a.choiceCounts), a.config.LinkBytesPerSecond)
}

// encodeChoices returns the choices since the last read of the engine, if it is the rank's turn to report
// them. The caller holds mu and has set the report's sequence number.
func (a *Agent) encodeChoices(choices []int64) []byte {
	s := a.schedule()
	switch {
	case (a.rank.Sequence+int64(a.rank.Rank))%s.choiceTurns != 0:
		return nil
	case s.coarseChoices:
		return mesh.EncodeCoarseChoices(a.choiceCounts, choices)
	}
	return mesh.EncodeChoices(a.choiceCounts, choices)
}

// sendReport sends the latest report of the local engine to the leader, if it is due, or hands it
// over when this daemon leads.
func (a *Agent) sendReport() {
	l := a.currentLeader()
	a.mu.Lock()
	r, leaderHost := a.rank, a.leaderHost
	r.Fence = a.announced.Fence
	a.rank.Choices = nil // they are reported once
	ready := a.hasReport && r.Group != ""
	a.mu.Unlock()
	if !ready {
		return
	}
	if l != nil && !l.isRetiring() {
		l.handleReport(a.config.Self.Name, r)
		return
	}
	if leaderHost != "" && a.reportDue(&r) {
		a.config.Mesh.Send(leaderHost, mesh.Message{RankReport: &r})
	}
}

// urgentState is the part of a report whose change makes a report due at once. That a rank of a large group
// is armed shows in the result of its order, and that it runs a new map can wait: reports of all ranks at the
// same moment would delay requests for slots.
type urgentState struct {
	down, open bool
	epoch      int64
	prepared   mapswitch.Version
	held       mapswitch.Pass
	fence      mapswitch.Fence // of the leader to which the rank reports
}

func newUrgentState(r *mesh.RankReport) urgentState {
	return urgentState{down: r.Down, open: r.Open, epoch: r.View.Epoch, prepared: r.View.Prepared, held: r.View.Held, fence: r.Fence}
}

// reportDue returns whether a rank sends its report now, and then records it as sent. It removes experts
// from the report that the leader should know already. A rank that holds a pass reports at each read.
func (a *Agent) reportDue(r *mesh.RankReport) bool {
	if r.Size <= largeGroupSize {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	cycle := r.Sequence + int64(r.Rank)
	state := newUrgentState(r)
	previous := a.lastReported
	if cycle%(a.schedule().interval-1) != 0 {
		previous.prepared = state.prepared // the copies of all ranks end at about the same time
	}
	urgent := state != previous || state.down || state.held != mapswitch.NoPass
	if !urgent && r.Choices == nil && cycle%a.schedule().interval != 0 {
		return false
	}
	a.lastReported = state
	sent := expertsSent{fence: r.Fence, epoch: r.View.Epoch, expertMap: r.View.Map, count: a.expertsSent.count}
	if sent != a.expertsSent {
		sent.count = 0
	}
	if sent.count >= expertsRepeats && cycle%expertsInterval != 0 {
		r.Experts = nil
	} else if len(r.Experts) > 0 {
		sent.count++
	}
	a.expertsSent = sent
	return true
}
