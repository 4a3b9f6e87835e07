package gate

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
)

// ConfigurationSync connects the gate to the configuration that entries distribute.
type ConfigurationSync struct {
	// Offset returns the offset of the current configuration, which is its version.
	Offset func() int64
	// OnNewerVersion is called in a new goroutine when a peer has a newer configuration than
	// the current one, whose version is offset.
	OnNewerVersion func(peer *link.Conn, offset int64)
}

// Methods returns the handlers for calls from entry daemons. zone is the target's zone. Only the
// handler of MethodRun may block; the others are inline and must not.
func (g *Gate) Methods(zone string, c ConfigurationSync) link.Methods {
	return link.Methods{
		contract.MethodHello:     {Inline: true, Run: g.hello(zone)},
		contract.MethodHeartbeat: {Inline: true, Run: g.heartbeat(c)},
		contract.MethodRun:       {Run: g.run, Refused: g.refuseRun},
		contract.MethodSettle:    {Inline: true, Run: g.settle},
		contract.MethodCancel:    {Inline: true, Run: g.cancel},
	}
}

type methodFunc = func(ctx context.Context, peer *link.Conn, params json.RawMessage) (any, error)

func (g *Gate) hello(zone string) methodFunc {
	return func(context.Context, *link.Conn, json.RawMessage) (any, error) {
		c := g.config
		return contract.Hello{
			Target: c.Target, Incarnation: c.Incarnation, Zone: zone, Kind: c.Kind,
			ServiceName: c.ServiceName, Version: c.Version, Capacity: c.Capacity, Clock: c.Now(), Load: g.Load(),
		}, nil
	}
}

func (g *Gate) heartbeat(c ConfigurationSync) methodFunc {
	return func(_ context.Context, peer *link.Conn, params json.RawMessage) (any, error) {
		request, err := link.Decode[contract.HeartbeatRequest](params)
		if err != nil {
			return nil, err
		}
		offset := c.Offset()
		if request.ConfigOffset > offset {
			go c.OnNewerVersion(peer, offset)
		}
		return contract.Heartbeat{ConfigOffset: offset, Load: g.Load()}, nil
	}
}

func (g *Gate) run(ctx context.Context, peer *link.Conn, params json.RawMessage) (any, error) {
	call, err := link.Decode[contract.Call](params)
	if err != nil {
		return nil, err
	}
	if call.Class, err = contract.ParseClass(string(call.Class)); err != nil {
		return contract.NotRunAnswer(contract.AsFailure(err)), nil
	}
	writer := g.frames.writerFor(peer)
	var sequence atomic.Int64
	sequence.Store(int64(call.ResumeFrom))
	// The first token that Work emits is the one that the entry asked for by ResumeFrom.
	emit := func(token string) {
		n := int(sequence.Add(1)) - 1
		writer.add(contract.Frame{Attempt: call.Attempt, Sequence: n, Token: token})
	}
	answer := g.Run(ctx, call, emit)
	writer.flush() // the answer must follow the last frame
	answer.Frames = int(sequence.Load()) - call.ResumeFrom
	return answer, nil
}

// refuseRun returns the answer to a call that there is no memory to run. A call under a reservation may have run before.
func (g *Gate) refuseRun(params json.RawMessage, f *contract.Failure) any {
	call, err := link.Decode[contract.Call](params)
	if err != nil || call.Reservation != "" {
		return g.withReportedLoad(contract.UnknownAnswer(f))
	}
	return g.withReportedLoad(contract.NotRunAnswer(f))
}

func (g *Gate) settle(_ context.Context, _ *link.Conn, params json.RawMessage) (any, error) {
	request, err := link.Decode[contract.SettleRequest](params)
	if err != nil {
		return nil, err
	}
	return g.Settle(request), nil
}

func (g *Gate) cancel(_ context.Context, _ *link.Conn, params json.RawMessage) (any, error) {
	request, err := link.Decode[contract.CancelRequest](params)
	if err != nil {
		return nil, err
	}
	g.Cancel(request)
	return nil, nil
}
