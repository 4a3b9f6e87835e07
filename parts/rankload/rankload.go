// Package rankload gives requests their places at the ranks of a lock-step
// group. All ranks wait for the slowest, so places are given where they make the
// longest part of a pass least longer; what cannot start in time is refused when
// it comes, with when to come back.
//
// It answers two loads. A burst, twice what the group can run for seconds: longer
// batches would make every pass longer and every stream late. And a rank that becomes
// many times slower than the others: all wait for it for as long as it has requests
// of its own, so those that can go on elsewhere are moved at once.
package rankload

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"camphormill.dev/parts/admission"
	"camphormill.dev/parts/contract"
)

const (
	// fixedPart is the part of a pass that does not depend on the batch, in
	// requests of a batch: 5.85 ms against 0.355 ms a request.
	fixedPart = 16
	// sharedPart is the part of a pass in which all ranks work for all requests, as a
	// share of what a rank's own requests take at pace 1: some 20 ms of experts,
	// evened out by the map, to 29 ms.
	sharedPart = 0.7
	// promptTokens is how many prompt tokens weigh as much as one request that
	// writes, while they are read.
	promptTokens = 200
	// readTime is how long a prompt counts as being read.
	readTime = 150 * time.Millisecond
	// zoneCost is what another availability zone costs, in requests of a batch: its
	// bytes are paid for, and a connection is less often kept. With 3 more
	// streams were late on one day: docs/MEASUREMENTS.md.
	zoneCost = 1
	// maxHold bounds how long a place is kept whose release was lost; no route
	// of the users lets an answer last longer.
	maxHold = 9 * time.Second
	// maxRefused bounds how many refused requests are remembered: some seconds of
	// a burst at ten times today's load.
	maxRefused = 8192
	// maxTold is how often a move is told, a tick of the leader apart: datagrams get
	// lost.
	maxTold = 3
	// leastReturn is the shortest time after which a refused request should
	// come back: about what one stream takes.
	leastReturn = 500 * time.Millisecond
)

// Rank is what is known of one rank.
type Rank struct {
	Engine string // address
	Zone   string
	Slots  int
	Active int // as the engine told, waiting ones included
	Pace   float64
}

// Request asks for a place.
type Request struct {
	ID           string
	Organisation string
	Zone         string // of the entry that asks
	// Fingerprint is the same when a caller sends a request again.
	Fingerprint uint64
	Prompt      int // tokens
	// StartBy is when it must have its place to meet its goal, as if it came for
	// the first time; Latest is when a place is of no use any more.
	StartBy time.Time
	Latest  time.Time
	Not     []string // engines that are left out
	// Movable says that it may go on at another rank while it runs.
	Movable bool
}

// Verdict is the word on a request.
type Verdict struct {
	ID     string
	Engine string // set when it has a place
	Wait   bool
	// Moved says that it ran elsewhere and goes on at the engine.
	Moved  bool
	Return time.Time // when a refused request should come back
}

type job struct {
	request Request
	engine  string
	since   time.Time
	told    int // how often it was told to move
}

// Placer is not safe for concurrent use. Time passes only by arguments.
type Placer struct {
	ranks   map[string]Rank
	jobs    map[string]job
	waiting map[string]Request
	queue   *admission.Queue
	// refused holds when requests first came that were sent away.
	refused map[uint64]time.Time
	// places is how many requests each engine should run at most.
	places map[string]int
}

// New returns a placer without ranks.
func New() *Placer {
	return &Placer{ranks: map[string]Rank{}, jobs: map[string]job{}, waiting: map[string]Request{}, queue: admission.NewQueue(0), refused: map[uint64]time.Time{}}
}

// SetRanks takes the ranks that may be given work.
func (p *Placer) SetRanks(ranks []Rank) {
	p.ranks = make(map[string]Rank, len(ranks))
	for _, r := range ranks {
		p.ranks[r.Engine] = r
	}
	slowest := slowestPace(ranks)
	running := make(map[string]int, len(ranks))
	for _, j := range p.jobs {
		running[j.engine]++
	}
	p.places = make(map[string]int, len(ranks))
	capacity := 0
	for _, r := range ranks {
		p.places[r.Engine] = r.Slots
		if r.Pace > slowest {
			p.places[r.Engine] = 0
		}
		// What a rank ran before it became slow takes no place of the others.
		capacity += max(p.places[r.Engine], min(running[r.Engine], r.Slots))
	}
	p.queue.SetCapacity(capacity)
}

// slowestPace is the pace up to which ranks should run requests, so that the group
// gets through most: each further rank brings its places, and makes every pass as
// long as the slowest takes. A rank without requests holds nobody up.
func slowestPace(ranks []Rank) float64 {
	order := slices.Clone(ranks)
	slices.SortFunc(order, func(a, b Rank) int { return cmp.Compare(a.Pace, b.Pace) })
	slots, best, slowest := 0, 0.0, math.Inf(1)
	for _, r := range order {
		slots += r.Slots
		if through := float64(slots) / (max(r.Pace, 1) + sharedPart); through >= best {
			best, slowest = through, max(r.Pace, 1)
		}
	}
	return slowest
}

// Vacate moves what may go on elsewhere away from ranks that are too slow for any
// request. Each move is told again until its request has ended or it was told often
// enough.
func (p *Placer) Vacate(now time.Time) []Verdict {
	var verdicts []Verdict
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		j := p.jobs[id]
		switch {
		case j.told > 0 && j.told < maxTold: // told again
		case j.told == 0 && j.request.Movable && p.tooSlow(j.engine):
			if j.engine = p.best(now, j.request.Zone, []string{j.engine}); p.tooSlow(j.engine) {
				continue // all are
			}
			j.since = now // its prompt is read again
		default:
			continue
		}
		j.told++
		p.jobs[id] = j
		verdicts = append(verdicts, Verdict{ID: id, Engine: j.engine, Moved: true})
	}
	return verdicts
}

// Slow returns the engines that are too slow for any request, by address.
func (p *Placer) Slow() []string {
	var slow []string
	for _, engine := range slices.Sorted(maps.Keys(p.places)) {
		if p.places[engine] == 0 {
			slow = append(slow, engine)
		}
	}
	return slow
}

// tooSlow says whether a rank should run nothing; one that is not known is left
// alone.
func (p *Placer) tooSlow(engine string) bool {
	places, known := p.places[engine]
	return engine == "" || (known && places == 0)
}

// Running counts the places taken.
func (p *Placer) Running() int { return len(p.jobs) }

// Waiting counts the requests without a place yet.
func (p *Placer) Waiting() int { return len(p.waiting) }

// Offer gives a request a place, lets it wait, or refuses it. A request that was
// offered before gets the same word again.
func (p *Placer) Offer(now time.Time, r Request) Verdict {
	if j, ok := p.jobs[r.ID]; ok {
		return Verdict{ID: r.ID, Engine: j.engine}
	}
	if _, ok := p.waiting[r.ID]; ok {
		return Verdict{ID: r.ID, Wait: true}
	}
	if len(p.ranks) == 0 {
		return p.refuse(now, r, now)
	}
	word, free := p.queue.Offer(now, p.asked(now, r))
	switch word {
	case admission.VerdictRun:
		return p.place(now, r)
	case admission.VerdictWait:
		p.waiting[r.ID] = r
		return Verdict{ID: r.ID, Wait: true}
	}
	return p.refuse(now, r, free)
}

// refuse sends a request away and remembers when it first came: its goal counts
// from then.
func (p *Placer) refuse(now time.Time, r Request, free time.Time) Verdict {
	if _, ok := p.refused[r.Fingerprint]; !ok {
		if len(p.refused) >= maxRefused {
			p.forget(now)
		}
		if len(p.refused) < maxRefused {
			p.refused[r.Fingerprint] = now
		}
	}
	return Verdict{ID: r.ID, Return: later(free, now.Add(leastReturn))}
}

func (p *Placer) forget(now time.Time) {
	for fingerprint, first := range p.refused {
		if now.Sub(first) > maxHold {
			delete(p.refused, fingerprint)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// asked puts a request into its line. One that has come back too late for its
// goal goes behind those that can still meet theirs, and may wait longer.
func (p *Placer) asked(now time.Time, r Request) admission.Request {
	line := admission.Request{ID: r.ID, Organisation: r.Organisation, Class: contract.ClassInteractive, Deadline: r.StartBy}
	if first, ok := p.refused[r.Fingerprint]; ok && now.Sub(first) > r.StartBy.Sub(now) {
		line.Class, line.Deadline = contract.ClassBatch, r.Latest
	}
	return line
}

// place chooses the rank whose part of a pass stays shortest, rather in the zone of
// the entry.
func (p *Placer) place(now time.Time, r Request) Verdict {
	engine := p.best(now, r.Zone, r.Not)
	if engine == "" {
		engine = p.best(now, r.Zone, nil)
	}
	p.jobs[r.ID] = job{request: r, engine: engine, since: now}
	return Verdict{ID: r.ID, Engine: engine}
}

func (p *Placer) best(now time.Time, zone string, not []string) string {
	load := p.loads(now)
	best, least := "", math.Inf(1)
	for _, engine := range slices.Sorted(maps.Keys(p.ranks)) {
		if slices.Contains(not, engine) {
			continue
		}
		rank := p.ranks[engine]
		part := max(rank.Pace, 1) * (fixedPart + load[engine])
		if rank.Zone != zone {
			part += zoneCost
		}
		if load[engine] >= float64(rank.Slots) {
			part += fixedPart // it may wait there
		}
		if part < least {
			best, least = engine, part
		}
	}
	return best
}

// loads is what each rank has to do: what it was given, or what it says if that
// is more, and the prompts that it still reads.
func (p *Placer) loads(now time.Time) map[string]float64 {
	given := make(map[string]float64, len(p.ranks))
	reading := make(map[string]float64, len(p.ranks))
	for _, j := range p.jobs {
		given[j.engine]++
		if now.Sub(j.since) < readTime {
			reading[j.engine] += float64(j.request.Prompt) / promptTokens
		}
	}
	for engine, rank := range p.ranks {
		// What was released since the report is still in it.
		const released = 2
		given[engine] = max(given[engine], float64(rank.Active-released)) + reading[engine]
	}
	return given
}

// Release gives a place back and returns the verdicts on requests that waited.
func (p *Placer) Release(now time.Time, id string) []Verdict {
	if _, ok := p.waiting[id]; ok {
		delete(p.waiting, id)
		p.queue.Remove(id)
		return nil
	}
	if j, ok := p.jobs[id]; ok {
		delete(p.jobs, id)
		p.queue.Done(now.Sub(j.since))
	}
	return p.Next(now)
}

// Next returns the verdicts on requests that get a place now or wait in vain.
func (p *Placer) Next(now time.Time) []Verdict {
	var verdicts []Verdict
	for id, j := range p.jobs {
		if now.Sub(j.since) > maxHold {
			delete(p.jobs, id)
			p.queue.Done(maxHold)
		}
	}
	refused := p.queue.Expired(now)
	for len(p.ranks) > 0 {
		run, late := p.queue.Next(now)
		refused = append(refused, late...)
		if run == nil {
			break
		}
		r := p.waiting[run.ID]
		delete(p.waiting, run.ID)
		verdicts = append(verdicts, p.place(now, r))
	}
	if len(p.ranks) == 0 {
		refused = append(refused, p.queue.Flush()...)
	}
	for _, late := range refused {
		r := p.waiting[late.ID]
		delete(p.waiting, late.ID)
		verdicts = append(verdicts, p.refuse(now, r, now))
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return cmp.Compare(a.ID, b.ID) })
	return verdicts
}
