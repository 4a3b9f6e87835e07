package pool

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	"github.com/matryer/is"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
)

// TestOverflowAtAnswerIsReported guards against an answer that is passed on as whole although frames before
// it were dropped because the caller was too slow.
func TestOverflowAtAnswerIsReported(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	link.NewConn(far, link.Methods{
		contract.MethodRun: {Run: func(context.Context, *link.Conn, json.RawMessage) (any, error) {
			return contract.Answer{Outcome: contract.OutcomeDone}, nil
		}},
	})
	conn := link.NewConn(near, nil)
	defer conn.Close()
	s := newStream()
	s.overflow = true
	p := &Pool{}
	answer, err := p.exchange(t.Context(), &member{pool: p, removed: true}, conn, contract.Call{}, s, func(contract.Frame) {})
	is.NoErr(err)
	is.Equal(answer.Outcome, contract.OutcomeUnknown)
	is.Equal(answer.Failure.Kind, contract.KindTooLarge)
}
