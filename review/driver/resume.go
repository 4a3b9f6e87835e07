package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// failedResume lets three of seven model servers break off one answer in twenty, and another one fail
// nine requests in twenty with a status 500. A stream that the caller sees end regularly has to hold all
// its events.
func failedResume(f *fleet, trouble bool) (bool, error) {
	const (
		ranks, garbling = 7, 3
		pieces          = 28
		gap             = 10 * time.Millisecond
		length          = 60 * time.Second
		callers         = 40
	)
	models, _, err := f.startTargets(ranks, 0, pieces, gap)
	if err != nil {
		return false, err
	}
	if trouble {
		for _, t := range models[:garbling] {
			t.misbehave = breakOff(t, 20)
		}
		models[garbling].misbehave = failSome(models[garbling], 9, 20)
	}
	if err := f.publish(); err != nil {
		return false, err
	}
	entries, err := f.startAll(2, ranks)
	if err != nil {
		return false, err
	}
	var broken atomic.Bool
	var wg sync.WaitGroup
	start := time.Now()
	for i := range callers {
		wg.Go(func() {
			c := f.newCaller(entries[i%len(entries)])
			for time.Since(start) < length && !broken.Load() {
				a := c.send(http.MethodPost, "/drafts/1", "case 7", 8*time.Second)
				f.record.printf("%s got %s", a.attempt, a.describe())
				if a.status == http.StatusOK && a.err == nil && len(a.events()) != pieces {
					f.record.printf("ORDER: the stream of %s has %d of %d events and ends as complete; its body ends with %q", a.attempt, len(a.events()), pieces, tail(a.body))
					broken.Store(true)
				}
			}
		})
	}
	wg.Wait()
	return broken.Load(), nil
}

func tail(body string) string { return body[max(0, len(body)-40):] }

// breakOff returns a function that breaks off one answer in n in the middle of an event.
func breakOff(t *target, n int64) func(w http.ResponseWriter, r *http.Request) bool {
	var count atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) bool {
		if count.Add(1)%n != 0 {
			return false
		}
		t.stream(w, r, t.pieces/2)
		_, _ = fmt.Fprintf(w, "id: %d\nda", t.pieces/2+1)
		_ = http.NewResponseController(w).Flush()
		t.fleet.record.printf("%s breaks off %s", t.id, r.Header.Get("Attempt-Id"))
		panic(http.ErrAbortHandler)
	}
}

// failSome returns a function that answers k requests in n with a status 500.
func failSome(t *target, k, n int64) func(w http.ResponseWriter, r *http.Request) bool {
	var count atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) bool {
		if count.Add(1)%n >= k {
			return false
		}
		t.fleet.record.printf("%s fails %s with 500", t.id, r.Header.Get("Attempt-Id"))
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "error\n")
		return true
	}
}
