// Package trace reads, writes and makes recorded traces of callers: one JSON
// object a line.
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

// Kind is what a caller did.
type Kind string

// The kinds of events.
const (
	KindDraft   Kind = "draft"   // a model draft, which may be repeated
	KindLookup  Kind = "lookup"  // a read of a service
	KindConfirm Kind = "confirm" // a call that may not be repeated
)

// Binding is how a confirmation is kept from running twice.
type Binding string

// The bindings.
const (
	BindingReservation Binding = "reservation"
	BindingKey         Binding = "key"
)

// Event is one request of the trace.
type Event struct {
	AtMS         int64   `json:"at_ms"` // since the start of the trace
	Organisation string  `json:"organisation"`
	Class        string  `json:"class,omitempty"`
	Kind         Kind    `json:"kind"`
	Serves       string  `json:"serves"` // model or service
	ID           string  `json:"id"`     // unique in the trace
	Prompt       string  `json:"prompt,omitempty"`
	MaxTokens    int     `json:"max_tokens,omitempty"`
	Stream       bool    `json:"stream,omitempty"`
	Binding      Binding `json:"binding,omitempty"`
}

// maxLine bounds one line of a trace, in bytes.
const maxLine = 1 << 20

// Read reads a trace.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for number := 1; lines.Scan(); number++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var e Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, errors.Wrapf(err, "trace line %d cannot be read; mend or remove it", number)
		}
		events = append(events, e)
	}
	return events, errors.Wrap(lines.Err(), "trace cannot be read")
}

// Write writes a trace.
func Write(w io.Writer, events []Event) error {
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

// DayConfig shapes a made-up working day, squeezed into a short time.
type DayConfig struct {
	Seed          uint64
	Events        int
	LengthMS      int64
	Organisations []string // the first ones send most
	Model         string
	Service       string
}

// Day makes the trace of a working day: busy in the morning and the afternoon,
// few organisations sending most.
func Day(c DayConfig) []Event {
	rng := rand.New(rand.NewPCG(c.Seed, c.Seed))
	events := make([]Event, 0, c.Events)
	at := 0.0
	mean := float64(c.LengthMS) / float64(c.Events)
	for i := range c.Events {
		at += rng.ExpFloat64() * mean / busyness(at/float64(c.LengthMS))
		events = append(events, c.event(rng, i, int64(at)))
	}
	return events
}

// busyness is the rate at a part of the day against the mean.
func busyness(part float64) float64 {
	return 1 + 0.5*math.Sin(part*2*math.Pi*2)
}

func (c DayConfig) event(rng *rand.Rand, i int, at int64) Event {
	// A square of a uniform number sends most events to the first names.
	u := rng.Float64()
	organisation := c.Organisations[int(u*u*float64(len(c.Organisations)))]
	id := fmt.Sprintf("%d-%d", c.Seed, i)
	e := Event{AtMS: at, Organisation: organisation, ID: id}
	switch pick := rng.IntN(10); {
	case pick < 5:
		e.Kind, e.Serves = KindDraft, c.Model
		e.Prompt = fmt.Sprintf("brief for case %s of %s", id, organisation)
		e.MaxTokens = 8 + rng.IntN(32)
		e.Stream = rng.IntN(3) > 0
		if rng.IntN(4) == 0 {
			e.Class = "batch"
		}
	case pick < 8:
		e.Kind, e.Serves = KindLookup, c.Service
	default:
		e.Kind, e.Serves = KindConfirm, c.Service
		e.Binding = BindingReservation
		if rng.IntN(2) == 0 {
			e.Binding = BindingKey
		}
	}
	return e
}
