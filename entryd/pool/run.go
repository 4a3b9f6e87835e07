package pool

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
)

// ErrNotLinked reports that a call was not sent because there is no link to the
// target.
var ErrNotLinked = errors.New("pool: no link to the target; try another target")

// ErrLinkLost reports that the link was lost after the call was sent, so the call may
// have run.
var ErrLinkLost = errors.New("pool: the link was lost after sending; settle the reservation")

// maxBacklog bounds the frames that are queued for a slow caller.
const maxBacklog = 1 << 16

// stream queues the frames of one attempt that the caller has not taken yet.
type stream struct {
	mu       sync.Mutex
	frames   []contract.Frame
	arrived  chan struct{} // has one element while frames are queued
	overflow bool          // a frame was dropped because the queue was full
}

func newStream() *stream {
	return &stream{arrived: make(chan struct{}, 1)}
}

// push queues a frame without blocking.
func (s *stream) push(f contract.Frame) {
	s.mu.Lock()
	if len(s.frames) >= maxBacklog {
		s.overflow = true
	} else {
		s.frames = append(s.frames, f)
	}
	s.mu.Unlock()
	select {
	case s.arrived <- struct{}{}:
	default:
	}
}

// take removes and returns the queued frames, and reports whether any was dropped.
func (s *stream) take() ([]contract.Frame, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	frames := s.frames
	s.frames = nil
	return frames, s.overflow
}

// conn returns the open link to a target. It starts a link to a listed target outside
// this entry's subset. It waits for the link until ctx ends and then returns ErrNotLinked,
// which it returns at once for a target that is not listed.
func (p *Pool) conn(ctx context.Context, target string) (*member, *link.Conn, error) {
	for {
		p.mu.Lock()
		m, ok := p.members[target]
		if !ok {
			h, listed := p.hosts[target]
			if !listed {
				p.mu.Unlock()
				return nil, nil, ErrNotLinked
			}
			m = p.ensure(h)
		}
		conn, changed := m.conn, m.changed
		p.mu.Unlock()
		if conn != nil {
			return m, conn, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ErrNotLinked
		}
	}
}

// linkTimeout bounds how long a call waits for a link.
const linkTimeout = callTimeout / 2

// Run sends one attempt and passes its frames to onFrame in order. The error is
// ErrNotLinked, ErrLinkLost, the error of ctx, or a *contract.Failure from the target.
func (p *Pool) Run(ctx context.Context, target string, call contract.Call, onFrame func(contract.Frame)) (contract.Answer, error) {
	waitCtx, cancel := context.WithTimeout(ctx, linkTimeout)
	m, conn, err := p.conn(waitCtx, target)
	cancel()
	if err != nil {
		return contract.Answer{}, err
	}
	s := newStream()
	p.mu.Lock()
	call.Deadline = call.Deadline.Add(m.clockOffset) // by the target's clock
	m.streams[call.Attempt] = s
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(m.streams, call.Attempt)
		p.mu.Unlock()
	}()
	return p.exchange(ctx, m, conn, call, s, onFrame)
}

// reply is the end of a call on a link.
type reply struct {
	answer contract.Answer
	err    error
}

// exchange sends the call and passes its frames on until the answer arrives. It
// cancels the attempt at the target if ctx ends first or the caller is too slow.
func (p *Pool) exchange(ctx context.Context, m *member, conn *link.Conn, call contract.Call, s *stream, onFrame func(contract.Frame)) (contract.Answer, error) {
	ended := make(chan reply, 1)
	go func() {
		var r reply
		r.err = conn.Call(ctx, contract.MethodRun, call, &r.answer)
		ended <- r
	}()
	for {
		select {
		case <-s.arrived:
			if overflow := deliver(s, onFrame); overflow {
				p.cancelAttempt(conn, call.Attempt)
				return overflowAnswer(), nil
			}
		case r := <-ended:
			if r.err != nil && ctx.Err() != nil {
				p.cancelAttempt(conn, call.Attempt)
				return contract.Answer{}, ctx.Err()
			}
			if r.err != nil {
				return contract.Answer{}, refusalOrLinkLost(r.err)
			}
			overflow := deliver(s, onFrame)
			p.mu.Lock()
			m.setLoad(r.answer.Load)
			p.mu.Unlock()
			if overflow {
				return overflowAnswer(), nil
			}
			return r.answer, nil
		}
	}
}

// overflowAnswer returns the answer to a call of which frames were dropped.
func overflowAnswer() contract.Answer {
	return contract.UnknownAnswer(contract.NewFailure(contract.KindTooLarge,
		"the caller read the answer too slowly", "read the stream as it arrives"))
}

// refusalOrLinkLost returns a typed refusal unchanged and ErrLinkLost for any other error.
func refusalOrLinkLost(err error) error {
	var f *contract.Failure
	if errors.As(err, &f) {
		return f
	}
	return ErrLinkLost
}

// deliver passes the queued frames to onFrame and reports whether any was dropped.
func deliver(s *stream, onFrame func(contract.Frame)) bool {
	frames, overflow := s.take()
	for _, f := range frames {
		onFrame(f)
	}
	return overflow
}

// cancelAttempt asks the target to cancel an attempt.
func (p *Pool) cancelAttempt(conn *link.Conn, attempt string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	// If the message is lost, so is the link, and the target then cancels the
	// attempt by itself.
	_ = conn.Notify(ctx, contract.MethodCancel, contract.CancelRequest{Attempt: attempt})
}

// Settle asks a target what became of the call under a reservation. It waits for the link
// and the answer for callTimeout in all. The error is ErrNotLinked or that of the call.
func (p *Pool) Settle(ctx context.Context, target string, r contract.SettleRequest) (contract.Settlement, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, conn, err := p.conn(ctx, target)
	if err != nil {
		return contract.Settlement{}, err
	}
	var s contract.Settlement
	err = conn.Call(ctx, contract.MethodSettle, r, &s)
	return s, err
}

// StillRuns reports whether the given incarnation of the target answers before ctx
// ends. After a lost link it distinguishes a network fault from the death of the target.
func (p *Pool) StillRuns(ctx context.Context, target, incarnation string) bool {
	for {
		m, conn, err := p.conn(ctx, target)
		if err != nil {
			return false
		}
		p.mu.Lock()
		current, changed := m.incarnation == incarnation, m.changed
		p.mu.Unlock()
		if !current {
			return false
		}
		if m.heartbeat(ctx, conn) {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
