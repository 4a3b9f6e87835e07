package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// runsOf returns the runs of an attempt at the given targets.
func runsOf(targets []*target, attempt string) []run {
	var runs []run
	for _, t := range targets {
		t.mu.Lock()
		for _, r := range t.runs {
			if r.attempt == attempt {
				runs = append(runs, r)
			}
		}
		t.mu.Unlock()
	}
	return runs
}

// plannedStop stops one entry with SIGTERM under traffic. Callers who keep the answer with its address for
// three times the ttl, as some do, send streams to it more than 3 s and less than 4 s later. An entry that
// passes a stream on has to bring it to its end.
func plannedStop(f *fleet, trouble bool) (bool, error) {
	const (
		pieces = 48
		gap    = 105 * time.Millisecond // below the pause of 120 ms that the users accept
	)
	models, _, err := f.startTargets(3, 1, pieces, gap)
	if err != nil {
		return false, err
	}
	if err := f.publish(); err != nil {
		return false, err
	}
	entries, err := f.startAll(3, len(models))
	if err != nil {
		return false, err
	}
	if err := f.resolve(entries[1]); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	start := time.Now()
	if trouble {
		f.terminate(entries[0])
	}
	wg.Go(func() { // lookups of a caller that keeps the address as long as some callers do
		c := f.newCaller(entries[0])
		for time.Since(start) < 4*time.Second {
			a := c.send(http.MethodGet, "/lookups/1", "", 1500*time.Millisecond)
			f.record.printf("%s got %s", a.attempt, a.describe())
			time.Sleep(300 * time.Millisecond)
		}
	})
	broken := false
	var mu sync.Mutex
	for _, after := range []time.Duration{3200 * time.Millisecond, 3400 * time.Millisecond, 3600 * time.Millisecond, 3800 * time.Millisecond} {
		wg.Go(func() {
			time.Sleep(time.Until(start.Add(after)))
			a := f.newCaller(entries[0]).send(http.MethodPost, "/drafts/1", "case 7", 8*time.Second)
			f.record.printf("%s got %s", a.attempt, a.describe())
			ran := len(runsOf(models, a.attempt)) > 0
			if ran && (a.err != nil || a.status != http.StatusOK || len(a.events()) != pieces) {
				f.record.printf("LOST: %s was sent %.1f s after the SIGTERM, passed on to a server, and has no complete answer", a.attempt, after.Seconds())
				mu.Lock()
				broken = true
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return broken, nil
}

// emptyQuery sends lookups and bookings whose path ends with a question mark, that is, with an empty
// query, or without it. Each has to run with the path and query that its caller has sent.
func emptyQuery(f *fleet, trouble bool) (bool, error) {
	_, plain, err := f.startTargets(0, 2, 0, 0)
	if err != nil {
		return false, err
	}
	if err := f.publish(); err != nil {
		return false, err
	}
	entries, err := f.startAll(2, 0)
	if err != nil {
		return false, err
	}
	mark := ""
	if trouble {
		mark = "?"
	}
	broken := false
	for i := range 6 {
		method, uri, body := http.MethodGet, fmt.Sprintf("/lookups/%d%s", i, mark), ""
		if i%2 == 1 {
			method, uri, body = http.MethodPost, fmt.Sprintf("/bookings/%d%s", i, mark), "interpreter 3"
		}
		a := f.newCaller(entries[i%len(entries)]).send(method, uri, body, 1500*time.Millisecond)
		f.record.printf("%s got %s", a.attempt, a.describe())
		runs := runsOf(plain, a.attempt)
		if len(runs) == 0 {
			return false, fmt.Errorf("%s was not run", a.attempt)
		}
		for _, r := range runs {
			if r.method != method || r.uri != uri || r.body != body {
				f.record.printf("UNASKED: %s ran as %s %s, but was sent as %s %s", a.attempt, r.method, r.uri, method, uri)
				broken = true
			}
		}
	}
	return broken, nil
}
