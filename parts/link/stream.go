package link

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"camphormill.dev/parts/bytebudget"
)

// stream reads and writes messages: JSON objects, each after its length as a varint.
type stream struct {
	conn     net.Conn
	limits   Limits
	activity *connActivity
	onError  func(error) // called when a message breaks a limit; nil for none
	// running counts the memory of the calls that run on all connections of the server.
	running *atomic.Int64

	reader *bufio.Reader
	hold   *bytebudget.Hold // of the message that was read last; nil if it isn't counted
	bytes  int64            // memory of the message that was read last

	writeMu sync.Mutex
	writer  *bufio.Writer
}

func newStream(conn net.Conn, limits Limits, running *atomic.Int64, onError func(error)) *stream {
	return &stream{
		conn: conn, limits: limits, running: running, activity: &connActivity{openedAt: time.Now()}, onError: onError,
		reader: bufio.NewReader(conn), writer: bufio.NewWriter(conn),
	}
}

// WriteObject writes a message.
func (s *stream) WriteObject(v any) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if err := (jsonrpc2.VarintObjectCodec{}).WriteObject(s.writer, v); err != nil {
		return err
	}
	return s.writer.Flush()
}

// Close closes the connection.
func (s *stream) Close() error { return s.conn.Close() }

// ReadObject reads the next message.
func (s *stream) ReadObject(v any) error {
	s.takeHold().Close()
	if _, err := s.reader.Peek(1); err != nil {
		return err
	}
	raw, err := s.readMessage()
	if err != nil {
		s.takeHold().Close()
		if s.onError != nil {
			s.onError(err)
		}
		return err
	}
	s.activity.recordMessage(time.Now())
	return json.Unmarshal(raw, v)
}

// takeHold returns the hold of the message that was read last, which the caller must close.
func (s *stream) takeHold() *bytebudget.Hold {
	hold := s.hold
	s.hold = nil
	return hold
}

// readMessage reads a message that has begun to come, and reserves the memory that it takes.
func (s *stream) readMessage() ([]byte, error) {
	now := time.Now()
	s.activity.recordProgress(now)
	if err := s.conn.SetReadDeadline(now.Add(messageTimeout)); err != nil {
		return nil, err
	}
	length, err := binary.ReadUvarint(s.reader)
	if err != nil {
		return nil, errors.Wrap(err, "message broke off in its length")
	}
	if length > maxMessageBytes || !s.mayHold(messageCopies*int64(length)) {
		return nil, errors.Errorf("message of %d bytes exceeds the size limit; run daemons of the same version, or set a larger memory_mb", length)
	}
	raw, err := s.readBytes(int(length))
	if err != nil {
		return nil, errors.Wrapf(err, "message of %d bytes broke off", length)
	}
	if err := s.reserveValues(raw); err != nil {
		return nil, err
	}
	return raw, s.conn.SetReadDeadline(time.Time{})
}

// mayHold reports whether a message may take so many bytes. The largest call of an entry always may.
func (s *stream) mayHold(bytes int64) bool {
	return s.limits.Budget == nil || bytes <= max(s.limits.Budget.Size(), minMessageBytes)
}

// readBytes reads so many bytes. A peer of which a whole message has come before gets room for all of them at once, any
// other only for as many as it sends.
func (s *stream) readBytes(length int) ([]byte, error) {
	raw := make([]byte, 0, min(length, freeBytes))
	progress := 0 // bytes since the last reservation
	for len(raw) < length {
		if len(raw) == cap(raw) {
			size := min(2*cap(raw), length)
			if s.activity.isKnown() {
				size = length
			}
			if err := s.reserve(messageCopies * int64(size-cap(raw))); err != nil {
				return nil, err
			}
			raw = append(make([]byte, 0, size), raw...)
		}
		n, err := s.reader.Read(raw[len(raw):cap(raw)])
		raw = raw[:len(raw)+n]
		if err != nil {
			return nil, err
		}
		if progress += n; progress >= progressBytes && s.hold != nil {
			progress = 0
			s.hold.Grow(0)
			s.activity.recordProgress(time.Now())
		}
	}
	return raw, nil
}

// reserveValues reserves the memory for the values of a whole message.
func (s *stream) reserveValues(raw []byte) error {
	values := valuesBytes(raw)
	s.bytes = messageCopies*int64(len(raw)) + values
	if !s.mayHold(s.bytes) {
		return errors.Errorf("message of %d bytes takes %d when it is decoded; set a larger memory_mb", len(raw), s.bytes)
	}
	if s.hold != nil && !s.hold.Settle() {
		return errNoRoom
	}
	if s.hold == nil && values <= freeBytes {
		return nil
	}
	if err := s.reserve(values); err != nil {
		return err
	}
	s.hold.Settle()
	return nil
}

// errNoRoom reports a message for which there is no memory.
var errNoRoom = errors.New("no memory for the message is left; set a larger memory_mb")

// reserve reserves memory for the message that is being read. It waits for room, because what others hold is soon freed.
func (s *stream) reserve(bytes int64) error {
	if s.limits.Budget == nil {
		return nil
	}
	if s.hold == nil {
		conn := s.conn
		s.hold = s.limits.Budget.Open(func() { _ = conn.Close() })
	}
	deadline := time.Now().Add(roomTimeout)
	for !s.hold.Grow(bytes) {
		if s.hold.Evicted() || !time.Now().Before(deadline) {
			return errNoRoom
		}
		time.Sleep(roomPollInterval)
	}
	return nil
}

// runningCall is the memory that is reserved for a call.
type runningCall struct {
	bytes int64
	hold  *bytebudget.Hold
}

// beginCall reserves memory for the call that was read last, and reports whether it may run. endCall must be called
// with the result.
func (s *stream) beginCall() (runningCall, bool) {
	call := runningCall{bytes: s.bytes + callBytes, hold: s.takeHold()}
	calls, running := s.activity.calls.Add(1), s.running.Add(call.bytes)
	if s.limits.Budget == nil {
		return call, calls <= maxCalls
	}
	alone := running == call.bytes
	if calls > maxCalls || (!alone && float64(running) > callsShare*float64(s.limits.Budget.Size())) {
		return call, false
	}
	if call.hold == nil {
		call.hold = s.limits.Budget.Open(func() {})
		call.hold.Settle()
	}
	return call, call.hold.Grow(callBytes)
}

func (s *stream) endCall(c runningCall) {
	s.activity.calls.Add(-1)
	s.running.Add(-c.bytes)
	c.hold.Close()
}
