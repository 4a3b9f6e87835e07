package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/parts/httpclient"
	"camphormill.dev/parts/registry"
)

// maxEventBytes bounds one event of a stream, because an event is held in memory until it
// is complete.
const maxEventBytes = 64 << 10

// relayEvents sends a stream to the caller event by event. It sends only complete events,
// so that another target can resume after the last one.
func (rl *Relay) relayEvents(ctx context.Context, c *call, t registry.Target, a *httpclient.Answer) result {
	controller := http.NewResponseController(c.writer)
	reader := bufio.NewReaderSize(a.Body, 4<<10)
	goesOn := c.lastEventID == "" // the attempt is known to go on after the last event that was sent
	for {
		event, err := readEvent(reader)
		id, hasID := eventID(event)
		if err == nil && hasID && !goesOn {
			if startsAgain(id, c.lastEventID) {
				err = errStartedAgain
			}
			goesOn = true
		}
		if err == io.EOF && c.attemptEvents == 0 && a.Framing() == httpclient.FramedByConnection {
			err = io.ErrUnexpectedEOF // without events or a framing, nothing tells a complete stream from a broken one
		}
		if err == io.EOF && rl.diedAtEnd(ctx, t, a) {
			err = errDiedAtEnd
		}
		if err == io.EOF {
			return rl.finishEvents(c, a)
		}
		if err != nil {
			return rl.handleBrokenStream(ctx, c, t, a, len(event), err)
		}
		if !c.headSent {
			rl.copyHeader(c, a) // also sets headSent
			c.writer.Header().Del("Content-Length")
			c.writer.WriteHeader(a.StatusCode)
		}
		if c.firstByteAt.IsZero() {
			c.firstByteAt = rl.config.Now()
		}
		if _, err := c.writer.Write(event); err != nil {
			return result{answered: true, broken: true}
		}
		if err := controller.Flush(); err != nil {
			return result{answered: true, broken: true}
		}
		c.countEvent(rl.config.Now())
		if c.attemptEvents++; c.attemptEvents == answeredEvents {
			rl.recordAnswered(c)
		}
		if hasID {
			c.lastEventID = id
			c.unresumable.Store(false)
		} else if hasData(event) {
			c.unresumable.Store(true)
		}
	}
}

// countEvent counts an event that was sent to the caller.
func (c *call) countEvent(now time.Time) {
	if c.events++; c.events > 1 {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

// errStartedAgain reports a resumed stream whose target ignores which event was the last one.
var errStartedAgain = errors.New("target resumed the stream at an event that the caller has got; check that it heeds the last event's ID")

// startsAgain reports whether the first ID of a resumed stream is not after the last one that was sent.
// Of IDs that are no numbers it knows only whether they are the same.
func startsAgain(firstID, lastID string) bool {
	first, err := strconv.ParseUint(firstID, 10, 64)
	last, lastErr := strconv.ParseUint(lastID, 10, 64)
	if err != nil || lastErr != nil {
		return firstID == lastID
	}
	return first <= last
}

// checkLastEvent returns an error if a body that has ended regularly is an event stream that was broken
// off. last are the last bytes of the body.
func checkLastEvent(a *httpclient.Answer, last []byte) error {
	if !isEventStream(a.Header) || (len(last) == 0 && a.Framing() != httpclient.FramedByConnection) {
		return nil
	}
	line, ended := bytes.CutSuffix(last, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !ended || (len(line) > 0 && line[len(line)-1] != '\n') {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// finishEvents ends a complete stream. The header of a stream without events is still to
// be sent.
func (rl *Relay) finishEvents(c *call, a *httpclient.Answer) result {
	if !c.headSent {
		rl.copyHeader(c, a)
		c.writer.WriteHeader(a.StatusCode)
	}
	rl.loads.recordSuccess(c.targetID)
	rl.recordAnswered(c)
	return result{answered: true}
}

// handleBrokenStream handles a stream that its target ended early. If the response header
// has been sent and the stream cannot be resumed, the response is cut off: the events of
// another run of the request must not be appended to those already sent. A stream can be
// resumed if its route allows it and the last event that was sent has an ID. partial is the number of bytes
// of the event in which the stream ended.
func (rl *Relay) handleBrokenStream(ctx context.Context, c *call, t registry.Target, a *httpclient.Answer, partial int, err error) result {
	r := rl.handleCutOff(ctx, c, t, newStreamBreak(c, a, partial, err))
	r.refusal.reason = "stream_broken"
	if c.headSent && (!c.route.Resumable || c.unresumable.Load()) {
		c.outcome.Reason = r.refusal.reason
		return result{answered: true, broken: true}
	}
	return r
}

// resumesStream reports whether a response goes on with the stream whose head the caller has got. Any other
// response must not be appended to it.
func resumesStream(c *call, a *httpclient.Answer) bool {
	return a.StatusCode == c.outcome.Status && isEventStream(a.Header)
}

// handleFailedResume handles the response of a target that was to resume a stream and did not. Another
// target may resume it. If none does, the response to the caller is cut off.
func (rl *Relay) handleFailedResume(c *call, t registry.Target, a *httpclient.Answer) result {
	if a.StatusCode >= http.StatusInternalServerError {
		rl.loads.recordServerError(rl.config.Now(), t.ID)
	}
	rl.config.Log.Warn().Str("request", c.info.AttemptID).Str("target", t.ID).Int("status", a.StatusCode).
		Str("content_type", a.Header.Get("Content-Type")).Str("after_event", c.lastEventID).Int("events", c.events).
		Msg("target did not resume the stream")
	c.outcome.FailedResumes++
	a.Discard(maxBufferedBody, discardTimeout)
	return result{sent: true, mayHaveRun: true, refusal: refusal{status: http.StatusBadGateway, reason: "resume_failed"}}
}

// readEvent reads up to the blank line that ends an event. At the end of the stream, the error is
// io.EOF. A stream that ends inside an event has been broken off, also where the end of its
// connection is its regular end. An event of more than maxEventBytes is an error. With an error, the
// bytes are those of an event that is not complete.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	lineStart := 0 // index in event
	for {
		part, err := r.ReadSlice('\n') // a line that exceeds the buffer comes in parts
		event = append(event, part...)
		if len(event) > maxEventBytes {
			return event, errors.New("event of the target's stream exceeds the size limit; the target must send smaller events")
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(event) > 0:
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err
		}
		if len(bytes.TrimRight(event[lineStart:], "\r\n")) == 0 {
			return event, nil
		}
		lineStart = len(event)
	}
}

// eventID returns the value of the first "id:" line of an event, or false if it has none.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return strings.TrimSpace(string(value)), true
		}
	}
	return "", false
}

// hasData reports whether an event holds a part of the stream. Others, such as comments that keep a
// connection open, may come any number of times.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if field, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":")); string(field) == "data" {
			return true
		}
	}
	return false
}
