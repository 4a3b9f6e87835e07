package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"camphormill.dev/parts/exchange"
	"camphormill.dev/parts/registry"
)

// maxEvent bounds one event of a stream.
const maxEvent = 64 << 10

func itoa(n int) string { return strconv.Itoa(n) }

// passEvents passes a stream on, event by event. Only whole events leave, so that
// another target may go on behind the last one.
func (y *Relay) passEvents(ctx context.Context, c *call, t registry.Target, a *exchange.Answer) result {
	flush := http.NewResponseController(c.out)
	reader := bufio.NewReaderSize(a.Body, 4<<10)
	for {
		event, err := readEvent(reader)
		if err == io.EOF {
			return y.endEvents(c, a)
		}
		if err != nil {
			return y.brokenStream(ctx, c, t, err)
		}
		if !c.wrote {
			y.head(c, a)
			c.out.Header().Del("Content-Length")
			c.out.WriteHeader(a.StatusCode)
		}
		if c.first.IsZero() {
			c.first = y.config.Now()
		}
		if _, err := c.out.Write(event); err != nil {
			return result{answered: true, broken: true}
		}
		if err := flush.Flush(); err != nil {
			return result{answered: true, broken: true}
		}
		if id, ok := eventID(event); ok {
			c.after = id
		}
	}
}

// endEvents ends a whole stream. One without any event still has its head.
func (y *Relay) endEvents(c *call, a *exchange.Answer) result {
	if !c.wrote {
		y.head(c, a)
		c.out.WriteHeader(a.StatusCode)
	}
	y.loads.served(c.target)
	return result{answered: true}
}

// brokenStream decides about a stream whose target broke off. Without a resume
// another run must not be joined to what has left.
func (y *Relay) brokenStream(ctx context.Context, c *call, t registry.Target, err error) result {
	r := y.brokenAnswer(ctx, c, t, err)
	r.refusal.reason = "stream_broken"
	if c.wrote && (!c.route.Resumable || c.after == "") {
		c.outcome.Reason = r.refusal.reason
		return result{answered: true, broken: true}
	}
	return r
}

// readEvent reads up to the blank line that ends an event. What follows the last
// whole event at a proper end belongs to the stream too.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEvent {
			return nil, errors.New("an event is too long; the target's stream cannot be read")
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(event) > 0:
			return event, nil
		case err != nil:
			return nil, err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, nil
		}
	}
}

func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return strings.TrimSpace(string(value)), true
		}
	}
	return "", false
}
