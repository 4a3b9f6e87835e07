package reservation_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/reservation"
)

// TestRetainedAnswersAreBounded guards against memory that grows with the answers of reserved calls.
func TestRetainedAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	l := newLedger(100_000)
	body := make([]byte, 8<<20)
	retained := 0
	for i := range 1000 {
		id := fmt.Sprint(i)
		decision, refusal := l.Begin(start, claims(id), "muscat", 1)
		if decision != reservation.DecisionStart {
			is.Equal(refusal.Outcome, contract.OutcomeUnknown)
			is.True(refusal.Failure.RetryAt.After(start))
			continue
		}
		retained += len(body)
		l.Finish(start, id, contract.Answer{Outcome: contract.OutcomeDone, Status: 200, Body: body})
	}
	is.True(retained <= 512<<20)
	decision, _ := l.Begin(start, claims("0"), "muscat", 1)
	is.Equal(decision, reservation.DecisionReplay) // what was promised is kept
	later := claims("later")
	later.Deadline = start.Add(30 * 60e9)
	decision, _ = l.Begin(start.Add(20*60e9), later, "muscat", 1)
	is.Equal(decision, reservation.DecisionStart) // the answers have expired
}
