package reservation_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/reservation"
)

var (
	start  = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	signer = reservation.Signer{Keys: [][]byte{[]byte("a key of the tests")}}
)

func newLedger(capacity int) *reservation.Ledger {
	return reservation.NewLedger(reservation.LedgerConfig{Target: "t", Incarnation: "t/1", Capacity: capacity, MaxAhead: time.Hour})
}

func claims(id string) reservation.Claims {
	return reservation.Claims{ID: id, Organisation: "muscat", Target: "t", Incarnation: "t/1", Deadline: start.Add(time.Minute)}
}

func done(text string) contract.Answer {
	return contract.Answer{Outcome: contract.OutcomeDone, Status: 200, Body: []byte(text)}
}

func TestClockSteppedBackRevivesNothing(t *testing.T) {
	is := is.New(t)
	l := newLedger(10)
	decision, _ := l.Begin(start, claims("a"), "muscat", 1)
	is.Equal(decision, reservation.DecisionStart)
	l.Finish(start, "a", done("ran"))
	_, _ = l.Begin(start.Add(2*time.Minute), claims("b"), "muscat", 1) // two minutes pass, so a expires
	decision, answer := l.Begin(start, claims("a"), "muscat", 1)       // the system clock is set back
	is.Equal(decision, reservation.DecisionRefuse)
	is.Equal(answer.Outcome, contract.OutcomeUnknown)
	is.Equal(answer.Failure.Kind, contract.KindReservationExpired)
}

func TestFullLedgerNeverSaysNotRun(t *testing.T) {
	is := is.New(t)
	l := newLedger(1)
	_, _ = l.Begin(start, claims("a"), "muscat", 1)
	decision, answer := l.Begin(start, claims("b"), "muscat", 1)
	is.Equal(decision, reservation.DecisionRefuse)
	is.Equal(answer.Outcome, contract.OutcomeUnknown) // the ledger cannot record a refusal, so "not run" would be wrong
	is.Equal(l.Settle(start, claims("b"), "muscat").State, contract.SettleUnknown)
	later := start.Add(2 * time.Minute)
	c := claims("c")
	c.Deadline = later.Add(time.Minute)
	decision, _ = l.Begin(later, c, "muscat", 1)
	is.Equal(decision, reservation.DecisionStart) // a has expired, so there is room
}

func TestReservationIsBoundToFirstBody(t *testing.T) {
	is := is.New(t)
	l := newLedger(10)
	_, _ = l.Begin(start, claims("a"), "muscat", 1)
	l.Finish(start, "a", done("ran"))
	_, answer := l.Begin(start, claims("a"), "muscat", 2)
	is.Equal(answer.Failure.Kind, contract.KindReservationMismatch)
	decision, answer := l.Begin(start, claims("a"), "muscat", 1)
	is.Equal(decision, reservation.DecisionReplay)
	is.Equal(string(answer.Body), "ran")
}

func TestOtherOrganisationGetsNoAnswer(t *testing.T) {
	is := is.New(t)
	l := newLedger(10)
	_, _ = l.Begin(start, claims("a"), "muscat", 1)
	l.Finish(start, "a", done("secret"))
	decision, answer := l.Begin(start, claims("a"), "nizwa", 1)
	is.Equal(decision, reservation.DecisionRefuse)
	is.Equal(answer.Failure.Kind, contract.KindReservationInvalid) // the same kind as for an invalid token
	is.Equal(len(answer.Body), 0)
}

// BenchmarkMemory reports the heap bytes of one retained reservation with a small
// answer.
func BenchmarkMemory(b *testing.B) {
	const n = 100_000
	for b.Loop() {
		before := heapAlloc()
		l := newLedger(n)
		for i := range n {
			c := claims(fmt.Sprint(i))
			_, _ = l.Begin(start, c, "muscat", 1)
			l.Finish(start, c.ID, done("{\"effects\":1}"))
		}
		b.ReportMetric(float64(heapAlloc()-before)/n, "B/reservation")
		runtime.KeepAlive(l)
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func FuzzVerify(f *testing.F) {
	token, err := signer.Sign(claims("a"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(token)
	f.Add("")
	f.Add(".")
	f.Add("e30.e30")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := signer.Verify(text)
		if err == nil && text != token {
			resigned, _ := signer.Sign(c)
			if resigned != text {
				t.Fatalf("Verify accepted a token that Sign does not produce: %q", text)
			}
		}
	})
}

func ExampleLedger() {
	l := newLedger(10)
	decision, _ := l.Begin(start, claims("a"), "muscat", 1)
	fmt.Println(decision)
	decision, _ = l.Begin(start, claims("a"), "muscat", 1)
	fmt.Println(decision)
	l.Finish(start, "a", done("confirmed"))
	decision, answer := l.Begin(start, claims("a"), "muscat", 1)
	fmt.Println(decision, string(answer.Body))
	// Output:
	// start
	// wait
	// replay confirmed
}

func ExampleSigner() {
	token, _ := signer.Sign(claims("a"))
	c, err := signer.Verify(token)
	fmt.Println(c.Target, err)
	_, err = signer.Verify("x" + token)
	fmt.Println(err)
	// Output:
	// t <nil>
	// the reservation is not one of ours; send it as it was given, or ask for a new one
}
