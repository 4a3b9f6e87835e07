package gate_test

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
	"camphormill.dev/targetd/gate"
)

func newGate(work gate.Work) *gate.Gate {
	return gate.New(gate.Config{Target: "t", Incarnation: "t/1", Kind: contract.WorkService, ServiceName: "s", Capacity: 1, Work: work, Now: time.Now})
}

// TestRefusedReservedCallIsNotSaidNotToHaveRun guards against a call that has run before and is said not to have run.
func TestRefusedReservedCallIsNotSaidNotToHaveRun(t *testing.T) {
	is := is.New(t)
	run := newGate(nil).Methods("a", gate.ConfigurationSync{})[contract.MethodRun]
	failure := contract.NewFailure(contract.KindOverloaded, "no memory", "retry")
	for reservation, outcome := range map[string]contract.Outcome{"": contract.OutcomeNotRun, "token": contract.OutcomeUnknown} {
		params, err := json.Marshal(contract.Call{Reservation: reservation})
		is.NoErr(err)
		answer, ok := run.Refused(params, failure).(contract.Answer)
		is.True(ok)
		is.Equal(answer.Outcome, outcome)
		is.Equal(answer.Failure, failure)
	}
}

// TestCallOfUnknownClassIsRefused guards against metrics whose number grows with the names that peers send.
func TestCallOfUnknownClassIsRefused(t *testing.T) {
	is := is.New(t)
	g := newGate(func(_ context.Context, call contract.Call, _ func(string)) contract.Answer {
		is.Equal(call.Class, contract.ClassInteractive)
		return contract.Answer{Outcome: contract.OutcomeDone}
	})
	near, far := net.Pipe()
	defer link.NewConn(far, g.Methods("a", gate.ConfigurationSync{})).Close()
	entry := link.NewConn(near, nil)
	defer entry.Close()
	for class, outcome := range map[contract.Class]contract.Outcome{"": contract.OutcomeDone, "stranger": contract.OutcomeNotRun} {
		call := contract.Call{Kind: contract.WorkService, ServiceName: "s", Class: class, Deadline: time.Now().Add(time.Minute)}
		var answer contract.Answer
		is.NoErr(entry.Call(t.Context(), contract.MethodRun, call, &answer))
		is.Equal(answer.Outcome, outcome)
	}
}
