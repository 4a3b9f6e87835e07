// Package platform holds the clients of the platform's services, the append-only
// log and the lagging host list, for the daemons and the camphormill command. They
// use these HTTP interfaces only through this package, so a change of either stays
// here.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// The streams of the log that camphormill uses.
const (
	StreamConfiguration = "configuration" // presets and their changes
	StreamClaims        = "claims"        // claims of idempotency keys by entries
	StreamLeases        = "leases"        // leases of the coordinators of groups
	StreamMaps          = "maps"          // expert maps of groups
)

// maxResponseBytes bounds one response to a read of the log or of the host list.
const maxResponseBytes = 64 << 20

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset     int64           `json:"offset"`
	AppendedAt time.Time       `json:"appended_at"`
	Data       json.RawMessage `json:"data"`
}

// Page holds consecutive records of a stream. Oldest is the first offset that the
// log still holds, and End the offset of the next record to be appended.
type Page struct {
	Records []LogRecord `json:"records"`
	Oldest  int64       `json:"oldest"`
	End     int64       `json:"end"`
}

// AppendError is the error of a failed append. If Ambiguous is true, the record may
// be in the log; otherwise it is not.
type AppendError struct {
	Ambiguous bool
	Cause     error
}

// Error returns the cause and the remedy.
func (e *AppendError) Error() string {
	if e.Ambiguous {
		return "no valid response to an append to the log: " + e.Cause.Error() + "; read the stream to see whether the record is there"
	}
	return "record not appended to the log: " + e.Cause.Error() + "; append it again later"
}

// Log is the platform's append-only log.
type Log struct {
	// Append appends a record and returns its offset. The error is an *AppendError.
	Append func(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns the records from an offset on. If there are none, it waits for
	// one for up to wait.
	Read func(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error)
}

// NewHTTPLog returns a client of the log at the base URL. The client has no timeout:
// only the context bounds a request.
func NewHTTPLog(base string) Log {
	h := httpLog{base: base, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	return Log{Append: h.append, Read: h.read}
}

type httpLog struct {
	base   string
	client *http.Client
}

func (h httpLog) url(stream string) string {
	return h.base + "/v1/streams/" + stream + "/records"
}

func (h httpLog) append(ctx context.Context, stream string, data []byte) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, &AppendError{Cause: err}
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, &AppendError{Ambiguous: !isDialError(err), Cause: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusCreated {
		rejected := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode/100 == 4
		return 0, &AppendError{Ambiguous: !rejected, Cause: errors.Errorf("status %d", resp.StatusCode)}
	}
	var created struct {
		Offset int64 `json:"offset"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&created); err != nil {
		return 0, &AppendError{Ambiguous: true, Cause: err}
	}
	return created.Offset, nil
}

// isDialError reports whether no connection was opened, so that no byte of the
// request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (h httpLog) read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	url := fmt.Sprintf("%s?from=%s&wait_ms=%d", h.url(stream), strconv.FormatInt(from, 10), wait.Milliseconds())
	var page Page
	err := getJSON(ctx, h.client, url, &page)
	return page, err
}

// getJSON requests url and decodes the JSON response into value.
func getJSON(ctx context.Context, client *http.Client, url string, value any) error {
	return get(ctx, client, url, func(body io.Reader) error {
		return errors.Wrap(json.NewDecoder(body).Decode(value), "platform: response cannot be decoded")
	})
}

// get requests a URL and passes the body of a response with status 200 to read.
func get(ctx context.Context, client *http.Client, url string, read func(body io.Reader) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("platform: status %d from %s; check the platform's service", resp.StatusCode, url)
	}
	return read(io.LimitReader(resp.Body, maxResponseBytes))
}
