package link

import (
	"sync"
	"sync/atomic"
	"time"

	"camphormill.dev/parts/bytebudget"
)

// Limits bounds what peers may make a Server hold. The zero value bounds only the size of a message.
type Limits struct {
	// Connections is how many may be open at a time; 0 sets no bound. At the bound, a connection on which no whole message
	// has come gives way to a new one, then one whose message has stalled, then one that has been idle. If there is none,
	// the new one is closed.
	Connections int
	// Budget bounds the messages that arrive, and the calls that run; nil sets no bound. A call without room is refused.
	Budget *bytebudget.Budget
}

const (
	// maxMessageBytes bounds a message. The longest are answers of 8 MiB in base64, and configurations.
	maxMessageBytes = 32 << 20
	// minMessageBytes is the memory that any message may take.
	minMessageBytes = 8 << 20
	// freeBytes is the size up to which a message isn't counted.
	freeBytes = 16 << 10
	// messageTimeout bounds the time from the first byte of a message to its last.
	messageTimeout = 30 * time.Second
	// roomTimeout is how long a message waits for room.
	roomTimeout      = 2 * time.Second
	roomPollInterval = 20 * time.Millisecond
	// messageCopies is how often the bytes of a message are held until it has been decoded, and valueBytes the memory of
	// each of its values.
	messageCopies = 3
	valueBytes    = 128
	// progressBytes is how much of a message has to come to count as progress.
	progressBytes = 64 << 10
	// maxCalls bounds the calls of one connection that run at a time.
	maxCalls = 4096
	// callsShare is the share of the budget for calls that run. The rest is left for messages that arrive.
	callsShare = 0.5
	// callBytes is the memory of a call that runs, without its parameters.
	callBytes = 8 << 10
	// refusedFor is the time after which a call should be sent again that was refused for want of memory.
	refusedFor = time.Second
	// stallTime is the time without progress after which a message has stalled, and idleTime that after which a connection
	// without calls gives way.
	stallTime = time.Second
	idleTime  = 10 * time.Second
)

// valuesBytes returns the memory that the values of a message take when it is decoded, besides their bytes.
func valuesBytes(raw []byte) int64 {
	values := int64(0)
	for _, b := range raw {
		if b == '[' || b == '{' || b == ',' {
			values++
		}
	}
	return valueBytes * values
}

// connActivity tells what a connection is doing. It is safe for concurrent use.
type connActivity struct {
	calls atomic.Int64 // that run

	mu         sync.Mutex
	openedAt   time.Time
	messageAt  time.Time // when the last whole message came; zero if none has
	progressAt time.Time // of a message that has begun to come; zero if none has
}

func (a *connActivity) recordProgress(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.progressAt = now
}

func (a *connActivity) recordMessage(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.messageAt, a.progressAt = now, time.Time{}
}

// isKnown reports whether a whole message has come.
func (a *connActivity) isKnown() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.messageAt.IsZero()
}

// rank says in which order connections give way.
type rank int

const (
	rankNever rank = iota
	rankIdle
	rankStalled
	rankUnknown
)

// rank returns how soon the connection gives way, and since when it could.
func (a *connActivity) rank(now time.Time) (rank, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.messageAt.IsZero():
		return rankUnknown, a.openedAt
	case !a.progressAt.IsZero() && now.Sub(a.progressAt) >= stallTime:
		return rankStalled, a.progressAt
	case a.progressAt.IsZero() && a.calls.Load() == 0 && now.Sub(a.messageAt) >= idleTime:
		return rankIdle, a.messageAt
	}
	return rankNever, time.Time{}
}
