package relay

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/parts/httpclient"
)

// breakPosition tells where in a response its early end came.
type breakPosition string

const (
	breakBeforeEvents  breakPosition = "before_first_event"
	breakInsideEvent   breakPosition = "inside_event"
	breakBetweenEvents breakPosition = "between_events"
	breakInsideBody    breakPosition = "inside_body" // of a response that is not a stream
)

// connectionEnd tells how the connection of a response ended early.
type connectionEnd string

const (
	endedByClose   connectionEnd = "close"
	endedByReset   connectionEnd = "reset"
	endedBySilence connectionEnd = "silence" // nothing came until the deadline
	endedByCaller  connectionEnd = "caller"  // the caller left
	endedByBytes   connectionEnd = "bytes"   // bytes that are no response, or exceed a limit
)

// responseBreak describes a response that ended early.
type responseBreak struct {
	targetID string
	framing  httpclient.Framing
	position breakPosition
	endedBy  connectionEnd
	events   int           // events that the caller had got by then, of all attempts
	bytes    int64         // of the body, or of the event in which the stream ended
	after    time.Duration // since the start of the request
	cause    error
}

// newStreamBreak describes a stream that ended early after the given bytes of an event.
func newStreamBreak(c *call, a *httpclient.Answer, partial int, cause error) responseBreak {
	position := breakBetweenEvents
	switch {
	case partial > 0:
		position = breakInsideEvent
	case c.attemptEvents == 0:
		position = breakBeforeEvents
	}
	return responseBreak{framing: a.Framing(), position: position, endedBy: connectionEndOf(cause), bytes: int64(partial), cause: cause}
}

// newBodyBreak describes another response that ended early after the given bytes of its body.
func newBodyBreak(a *httpclient.Answer, bytes int64, cause error) responseBreak {
	return responseBreak{framing: a.Framing(), position: breakInsideBody, endedBy: connectionEndOf(cause), bytes: bytes, cause: cause}
}

// connectionEndOf returns how a connection ended on which reading failed.
func connectionEndOf(cause error) connectionEnd {
	var timeout net.Error
	switch {
	case errors.Is(cause, io.ErrUnexpectedEOF), errors.Is(cause, errDiedAtEnd):
		return endedByClose
	case errors.Is(cause, syscall.ECONNRESET), errors.Is(cause, syscall.EPIPE):
		return endedByReset
	case errors.As(cause, &timeout) && timeout.Timeout():
		return endedBySilence
	}
	return endedByBytes
}

// What a caller got in the end for a request that had a response that ended early.
const (
	callerGotWhole   = "whole"   // a complete response, of another target or resumed there
	callerGotCutOff  = "cut_off" // a response that was broken off for the caller too
	callerGotFailure = "failure" // a status of the relay itself
)

// BrokenResponse is a response of a target that ended early.
type BrokenResponse struct {
	Framing   string // what marks the end of its body
	CallerGot string // what the caller got in the end
}

// reportBreaks writes a line for each response of the request that ended early, and adds it to the
// outcome. It is called at the request's end, when it is known what the caller got.
func (rl *Relay) reportBreaks(c *call, broken bool) {
	got := callerGotWhole
	switch {
	case broken:
		got = callerGotCutOff
	case c.outcome.Reason != "":
		got = callerGotFailure
	}
	for _, b := range c.breaks {
		c.outcome.Broken = append(c.outcome.Broken, BrokenResponse{Framing: string(b.framing), CallerGot: got})
		rl.config.Log.Info().Str("request", c.info.AttemptID).Str("target", b.targetID).Str("framing", string(b.framing)).
			Str("position", string(b.position)).Str("ended_by", string(b.endedBy)).Int("events", b.events).Int64("bytes", b.bytes).
			Dur("after", b.after).Str("caller_got", got).Err(b.cause).Msg("response ended early")
	}
}
