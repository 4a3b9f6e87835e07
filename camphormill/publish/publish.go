// Package publish appends records to the configuration stream for the operators'
// command. It reports a record as accepted only after it has read the record back from
// the log and applied it as accepted, as every daemon does.
package publish

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/parts/platform"
	"camphormill.dev/parts/preset"
	"camphormill.dev/parts/randomname"
)

const (
	readWait      = 500 * time.Millisecond // long poll of one read of the log
	appendTimeout = 3 * time.Second        // bounds one append
	retryBackoff  = 250 * time.Millisecond // pause after a failed read
)

// Publisher reads the configuration stream and appends to it. It applies the stream as
// every daemon does. It is not safe for concurrent use.
type Publisher struct {
	log    platform.Log
	reader *preset.Reader
}

// New returns a publisher that has read nothing of the log yet.
func New(log platform.Log) *Publisher {
	return &Publisher{log: log, reader: preset.NewReader()}
}

// Load reads the log to its end and returns the state. It fails if the log cannot be
// read or holds no snapshot to start from.
func (p *Publisher) Load(ctx context.Context) (preset.State, error) {
	for {
		page, err := p.read(ctx, 0)
		if err != nil {
			return preset.State{}, errors.Wrap(err, "the log cannot be read; try again when the platform's log is available")
		}
		if p.reader.NextOffset() < page.End {
			continue
		}
		state, loaded := p.reader.State()
		if !loaded {
			return preset.State{}, errors.New("the log holds no snapshot to start from; wait for an entry daemon to append one")
		}
		return state, nil
	}
}

func (p *Publisher) read(ctx context.Context, wait time.Duration) (platform.Page, error) {
	page, err := p.log.Read(ctx, platform.StreamConfiguration, p.reader.NextOffset(), wait)
	if err != nil {
		return page, err
	}
	p.reader.HandleTruncation(page.Oldest)
	for _, r := range page.Records {
		p.reader.Read(preset.Entry{Offset: r.Offset, Data: r.Data})
	}
	if p.reader.NextOffset() >= page.End {
		p.reader.HandleEnd()
	}
	return page, nil
}

// Publish appends the record on top of version base and waits for the result until ctx
// ends. If an append fails and the log does not show the record, Publish appends the
// record again. The answer to an append may have been lost: the change ID keeps the
// record from taking effect twice. A record that would be refused on top of the state
// that Load has read is not appended. A refusal is in the result. An error after an
// append means that it is not known whether the change was published.
func (p *Publisher) Publish(ctx context.Context, r preset.Record, base int64) (preset.ChangeResult, error) {
	r.ChangeID = randomname.New()
	r.BaseOffset = base
	data, err := json.Marshal(r)
	if err != nil {
		return preset.ChangeResult{}, err
	}
	if result, refused := p.precheck(r.ChangeID, data); refused {
		return result, nil
	}
	for {
		appendErr := p.append(ctx, data)
		result, found, err := p.awaitResult(ctx, r.ChangeID, appendErr == nil)
		switch {
		case found:
			return result, nil
		case ctx.Err() != nil && appendErr != nil:
			return result, errors.Wrap(appendErr, "not known whether the change was published")
		case ctx.Err() != nil:
			return result, errors.Wrap(err, "not known whether the change was published; run camphormill preset show to find out")
		}
	}
}

// precheck applies the record to the loaded state without appending it. It returns
// true with the result if the record is refused, as it would be by every daemon.
func (p *Publisher) precheck(changeID string, data []byte) (preset.ChangeResult, bool) {
	state, _ := p.reader.State()
	next := state.Apply(preset.Entry{Offset: state.Offset + 1, Data: data})
	result, _ := next.ChangeResult(changeID)
	return result, result.Failure != nil
}

func (p *Publisher) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := p.log.Append(ctx, platform.StreamConfiguration, data)
	return err
}

// awaitResult reads the log until the change is applied and returns its result. After a
// failed append it returns false once the end of the log shows that the record is not
// there.
func (p *Publisher) awaitResult(ctx context.Context, changeID string, appended bool) (preset.ChangeResult, bool, error) {
	for ctx.Err() == nil {
		page, err := p.read(ctx, readWait)
		state, _ := p.reader.State()
		if result, found := state.ChangeResult(changeID); found {
			return result, true, nil
		}
		if err != nil {
			waitBackoff(ctx)
			continue
		}
		if !appended && p.reader.NextOffset() >= page.End {
			return preset.ChangeResult{}, false, nil
		}
	}
	return preset.ChangeResult{}, false, ctx.Err()
}

// waitBackoff waits retryBackoff or until ctx ends.
func waitBackoff(ctx context.Context) {
	timer := time.NewTimer(retryBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
