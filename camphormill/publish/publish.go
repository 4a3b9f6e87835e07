// Package publish puts a record into the configuration stream and says accepted
// only once it has read the record back, folded as accepted.
package publish

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"camphormill.dev/parts/identity"
	"camphormill.dev/parts/platform"
	"camphormill.dev/parts/preset"
)

// Times of a publication.
const (
	readWait    = 500 * time.Millisecond
	appendLimit = 3 * time.Second
	retryPause  = 250 * time.Millisecond
)

// Publisher folds the log as every daemon does.
type Publisher struct {
	log    platform.Log
	reader *preset.Reader
}

// New returns a publisher that has read nothing.
func New(log platform.Log) *Publisher {
	return &Publisher{log: log, reader: preset.NewReader()}
}

// Load reads the log to its end and returns the state.
func (p *Publisher) Load(ctx context.Context) (preset.State, error) {
	for {
		page, err := p.read(ctx, 0)
		if err != nil {
			return preset.State{}, errors.Wrap(err, "the log cannot be read; come back when the platform has mended it")
		}
		if p.reader.Next() < page.End {
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
	page, err := p.log.Read(ctx, platform.StreamConfiguration, p.reader.Next(), wait)
	if err != nil {
		return page, err
	}
	p.reader.Truncated(page.Oldest)
	for _, r := range page.Records {
		p.reader.Read(preset.Entry{Offset: r.Offset, Data: r.Data})
	}
	if p.reader.Next() >= page.End {
		p.reader.Reached()
	}
	return page, nil
}

// Publish appends the record on top of the state just loaded and waits for the
// verdict. Its answer may be lost and the record appended again: the change id
// keeps it from counting twice.
func (p *Publisher) Publish(ctx context.Context, r preset.Record, base int64) (preset.Verdict, error) {
	r.ChangeID = identity.New()
	r.BaseOffset = base
	data, err := json.Marshal(r)
	if err != nil {
		return preset.Verdict{}, err
	}
	if verdict, refused := p.rehearse(r.ChangeID, data); refused {
		return verdict, nil
	}
	for {
		appendErr := p.append(ctx, data)
		verdict, found, err := p.awaitVerdict(ctx, r.ChangeID, appendErr == nil)
		switch {
		case found:
			return verdict, nil
		case ctx.Err() != nil && appendErr != nil:
			return verdict, errors.Wrap(appendErr, "not known whether the change was published")
		case ctx.Err() != nil:
			return verdict, errors.Wrap(err, "not known whether the change was published; look with: camphormill preset show")
		}
	}
}

// rehearse folds the record onto what was loaded, to refuse at once what would
// be refused everywhere.
func (p *Publisher) rehearse(changeID string, data []byte) (preset.Verdict, bool) {
	state, _ := p.reader.State()
	next := state.Fold(preset.Entry{Offset: state.Offset + 1, Data: data})
	verdict, _ := next.Verdict(changeID)
	return verdict, verdict.Failure != nil
}

func (p *Publisher) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendLimit)
	defer cancel()
	_, err := p.log.Append(ctx, platform.StreamConfiguration, data)
	return err
}

// awaitVerdict reads on until the change is folded, or, after a failed append,
// until the log's end shows that it is not there.
func (p *Publisher) awaitVerdict(ctx context.Context, changeID string, appended bool) (preset.Verdict, bool, error) {
	for ctx.Err() == nil {
		page, err := p.read(ctx, readWait)
		state, _ := p.reader.State()
		if verdict, found := state.Verdict(changeID); found {
			return verdict, true, nil
		}
		if err != nil {
			pause(ctx)
			continue
		}
		if !appended && p.reader.Next() >= page.End {
			return preset.Verdict{}, false, nil
		}
	}
	return preset.Verdict{}, false, ctx.Err()
}

func pause(ctx context.Context) {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
