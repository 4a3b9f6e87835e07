// Package trace reads, writes and generates traces of callers for replays. A trace has
// one JSON object a line.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"

	"github.com/pkg/errors"
)

// Kind is the kind of an event's request.
type Kind string

// The kinds of events.
const (
	KindDraft   Kind = "draft"   // a completion by a model, which may be repeated
	KindLookup  Kind = "lookup"  // a read from a service
	KindConfirm Kind = "confirm" // a call of a service that may take effect only once
)

// Deduplication is the means that keeps a confirmation from running twice.
type Deduplication string

// The ways of deduplication.
const (
	DeduplicationReservation Deduplication = "reservation" // a reservation from an entry
	DeduplicationKey         Deduplication = "key"         // an idempotency key of the caller
)

// Event is one request of the trace.
type Event struct {
	AtMS          int64         `json:"at_ms"` // milliseconds since the start of the trace
	Organisation  string        `json:"organisation"`
	Class         string        `json:"class,omitempty"` // empty means interactive
	Kind          Kind          `json:"kind"`
	ServiceName   string        `json:"serves"` // name of the model or service
	ID            string        `json:"id"`     // unique in the trace
	Prompt        string        `json:"prompt,omitempty"`
	MaxTokens     int           `json:"max_tokens,omitempty"`
	Stream        bool          `json:"stream,omitempty"`
	Deduplication Deduplication `json:"binding,omitempty"` // of a confirmation
}

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 1 << 20

// Read reads a trace and skips empty lines. It fails on a line that is not an event or is
// longer than 1 MiB.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		if len(scanner.Bytes()) == 0 {
			continue
		}
		var e Event
		if err := json.Unmarshal(scanner.Bytes(), &e); err != nil {
			return nil, errors.Wrapf(err, "trace line %d is not a valid event; fix or remove it", number)
		}
		events = append(events, e)
	}
	return events, errors.Wrap(scanner.Err(), "trace cannot be read to its end; a line may have at most 1 MiB")
}

// Write writes the events as a trace.
func Write(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

// DayConfig describes a synthetic working day that is compressed into about LengthMS
// milliseconds. The gaps between events are drawn, so the last event may be later.
type DayConfig struct {
	Seed          uint64
	Events        int
	LengthMS      int64
	Organisations []string // the first ones send the most events
	Model         string
	Service       string
}

// GenerateDay generates the trace of a working day. The rate peaks in the morning and in the
// afternoon, and a few organisations send most events. The same config gives the same
// trace.
func GenerateDay(c DayConfig) []Event {
	rng := rand.New(rand.NewPCG(c.Seed, c.Seed))
	events := make([]Event, 0, c.Events)
	at := 0.0
	meanGap := float64(c.LengthMS) / float64(c.Events)
	for i := range c.Events {
		at += rng.ExpFloat64() * meanGap / rateFactor(at/float64(c.LengthMS))
		events = append(events, c.newEvent(rng, i, int64(at)))
	}
	return events
}

// rateFactor returns the rate of events at a fraction of the day, relative to the mean
// rate: between 0.5 and 1.5, with two peaks a day.
func rateFactor(fraction float64) float64 {
	return 1 + 0.5*math.Sin(fraction*2*math.Pi*2)
}

// newEvent draws event i of the day, which is sent at atMS.
func (c DayConfig) newEvent(rng *rand.Rand, i int, atMS int64) Event {
	// The square of a uniform number favours the first organisations.
	u := rng.Float64()
	organisation := c.Organisations[int(u*u*float64(len(c.Organisations)))]
	id := fmt.Sprintf("%d-%d", c.Seed, i)
	e := Event{AtMS: atMS, Organisation: organisation, ID: id}
	switch pick := rng.IntN(10); {
	case pick < 5:
		e.Kind, e.ServiceName = KindDraft, c.Model
		e.Prompt = fmt.Sprintf("brief for case %s of %s", id, organisation)
		e.MaxTokens = 8 + rng.IntN(32)
		e.Stream = rng.IntN(3) > 0
		if rng.IntN(4) == 0 {
			e.Class = "batch"
		}
	case pick < 8:
		e.Kind, e.ServiceName = KindLookup, c.Service
	default:
		e.Kind, e.ServiceName = KindConfirm, c.Service
		e.Deduplication = DeduplicationReservation
		if rng.IntN(2) == 0 {
			e.Deduplication = DeduplicationKey
		}
	}
	return e
}
