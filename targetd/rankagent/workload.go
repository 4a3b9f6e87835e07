package rankagent

import (
	"time"

	"github.com/rs/zerolog"
)

// workloadInterval is the interval between the log lines on a leader's work.
const workloadInterval = time.Second

// workload counts what a leader did since the last log line.
type workload struct {
	since         time.Time
	ticks         int
	longestTick   time.Duration
	longestGap    time.Duration // between the ends of two ticks
	lastTick      time.Time
	slotRequests  int
	slotRepeats   int // requests for slots that already had a decision
	reports       int
	announcements int
}

// withTick returns the workload after a tick.
func (w workload) withTick(started, ended time.Time) workload {
	if w.since.IsZero() {
		w.since = started
	}
	if !w.lastTick.IsZero() {
		w.longestGap = max(w.longestGap, ended.Sub(w.lastTick))
	}
	w.ticks, w.longestTick, w.lastTick = w.ticks+1, max(w.longestTick, ended.Sub(started)), ended
	return w
}

// logWorkload logs the leader's work if it is due.
func (l *leader) logWorkload(now time.Time) {
	if w := l.workload; now.Sub(w.since) >= workloadInterval {
		l.log.Info().Dur("interval", now.Sub(w.since)).Int("ticks", w.ticks).Dur("longest_tick", w.longestTick).Dur("longest_gap", w.longestGap).
			Int("slot_requests", w.slotRequests).Int("slot_repeats", w.slotRepeats).Int("reports", w.reports).Int("announcements", w.announcements).
			Int("running", l.scheduler.Running()).Int("waiting", l.scheduler.Waiting()).Int64("step", int64(l.ranks[l.ownRank].rank.View.Pass)).Dur("pass", l.passDurations.mean).Float64("skew", l.skew).Msg("work of the leader")
		l.workload = workload{since: now, lastTick: w.lastTick}
	}
}

// withPending adds to a log line what the ranks lack that have not completed the phase of the current
// switch.
func (l *leader) withPending(now time.Time, event *zerolog.Event) *zerolog.Event {
	unsent, unanswered, unfinished, tries, oldest := 0, 0, 0, 0, time.Duration(0)
	var ranks []int
	orders := l.current.Orders()
	for _, rank := range sortedRanks(l.ranks) {
		o, pending := orders[rank]
		if !pending {
			continue
		}
		ranks = append(ranks, rank)
		oldest = max(oldest, now.Sub(l.ranks[rank].receivedAt))
		switch sent, known := l.sentOrders[rank]; {
		case !known || sent.order != o:
			unsent++
		case sent.accepted:
			unfinished++
			tries = max(tries, sent.tries)
		default:
			unanswered++
			tries = max(tries, sent.tries)
		}
	}
	const maxListed = 8
	return event.Int("pending", len(ranks)).Int("unsent", unsent).Int("unanswered", unanswered).Int("unfinished", unfinished).
		Int("tries", tries).Dur("oldest_report", oldest).Ints("ranks", ranks[:min(len(ranks), maxListed)])
}
