package contract

import "time"

// The methods of the links between entryd and targetd and between entry daemons. Those
// not marked as notifications are calls.
const (
	MethodHello         = "hello"         // entry to target: HelloRequest
	MethodRun           = "run"           // entry to target: Call, which an Answer ends
	MethodSettle        = "settle"        // entry to target: SettleRequest
	MethodCancel        = "cancel"        // notification, entry to target: CancelRequest
	MethodHeartbeat     = "heartbeat"     // entry to target: HeartbeatRequest
	MethodFrames        = "frames"        // notification, target to entry: frames of all streams to that entry
	MethodLeaving       = "leaving"       // notification, target to entry: the target drains
	MethodExchange      = "exchange"      // between entry daemons
	MethodConfiguration = "configuration" // target to entry or between entry daemons: ConfigurationRequest
)

// WorkKind is the kind of work, which selects the target's adapter.
type WorkKind string

// The kinds of work that a target runs.
const (
	WorkDraft   WorkKind = "draft"
	WorkService WorkKind = "service"
)

// HelloRequest opens a link. Entry is the name of the entry daemon.
type HelloRequest struct {
	Entry string `json:"entry"`
}

// Hello is the response to HelloRequest: the target's identity, what it serves and
// its clock.
type Hello struct {
	Target      string    `json:"target"`
	Incarnation string    `json:"incarnation"` // identifies this process of the target
	Zone        string    `json:"zone"`
	Kind        WorkKind  `json:"kind"`
	ServiceName string    `json:"serves"`   // model or service name
	Version     string    `json:"version"`  // version of the model or service
	Capacity    int       `json:"capacity"` // slots
	Clock       time.Time `json:"clock"`    // the target's time when it responded
	Load        Load      `json:"load"`
}

// Load is a target's reported load.
type Load struct {
	Running  int     `json:"running,omitempty"`   // admitted and not finished
	Queued   int     `json:"queued,omitempty"`    // waiting for a slot
	Capacity int     `json:"capacity"`            // slots: requests that may run concurrently
	StepMS   float64 `json:"step_ms,omitempty"`   // recent step time of the slowest rank
	EngineMS float64 `json:"engine_ms,omitempty"` // smoothed time for which a request holds its slot
	Leaving  bool    `json:"leaving,omitempty"`   // the target drains and takes no new requests
}

// HeartbeatRequest carries the entry's configuration version to the target. A version
// is the offset of its record in the log's configuration stream.
type HeartbeatRequest struct {
	ConfigOffset int64 `json:"config_offset"`
}

// Heartbeat is the response to HeartbeatRequest, with the target's load and
// configuration version.
type Heartbeat struct {
	ConfigOffset int64 `json:"config_offset"`
	Load         Load  `json:"load"`
}

// Call is one attempt of one request, sent by entryd to targetd.
type Call struct {
	Attempt      string    `json:"attempt"`     // unique to this attempt
	Reservation  string    `json:"reservation"` // empty if the request may run more than once
	Organisation string    `json:"organisation"`
	Class        Class     `json:"class"`
	Kind         WorkKind  `json:"kind"`
	ServiceName  string    `json:"serves"`
	Version      string    `json:"version"`
	Method       string    `json:"method,omitempty"` // HTTP method of a service call
	Path         string    `json:"path,omitempty"`   // path of a service call
	ContentType  string    `json:"content_type,omitempty"`
	Body         []byte    `json:"body,omitempty"`
	Deadline     time.Time `json:"deadline"`              // in the target's clock
	ResumeFrom   int       `json:"resume_from,omitempty"` // sequence of the first frame to send
	Stream       bool      `json:"stream,omitempty"`
	// NoWait makes the target refuse the call as busy if it would have to queue,
	// because another target is likely to have a free slot.
	NoWait bool `json:"no_wait,omitempty"`
}

// Answer is the response that ends an attempt.
type Answer struct {
	Outcome     Outcome  `json:"outcome"`
	Status      int      `json:"status,omitempty"` // HTTP status from the engine or service
	ContentType string   `json:"content_type,omitempty"`
	Body        []byte   `json:"body,omitempty"`
	Replayed    bool     `json:"replayed,omitempty"` // the retained response of an earlier attempt
	Frames      int      `json:"frames,omitempty"`   // number of frames sent before this response
	Failure     *Failure `json:"failure,omitempty"`
	Load        Load     `json:"load"`
}

// NotRunAnswer returns the answer to a call that the target did not run.
func NotRunAnswer(f *Failure) Answer {
	return Answer{Outcome: OutcomeNotRun, Failure: f}
}

// UnknownAnswer returns the answer to a call that may have run.
func UnknownAnswer(f *Failure) Answer {
	return Answer{Outcome: OutcomeUnknown, Failure: f}
}

// Frame is one token of a streamed response. The first frame of an attempt has the
// Sequence of Call.ResumeFrom.
type Frame struct {
	Attempt  string `json:"attempt"`
	Sequence int    `json:"sequence"`
	Token    string `json:"token"`
}

// SettleRequest asks for the state of a reservation, and voids the reservation if
// its request has not started.
type SettleRequest struct {
	Reservation  string `json:"reservation"`
	Organisation string `json:"organisation"`
}

// SettleState is the state of a reservation at its target.
type SettleState string

// The states of a reservation at its target.
const (
	SettleVoided  SettleState = "voided"  // the request had not started and never will
	SettleRunning SettleState = "running" // send the call again to wait for its answer
	SettleDone    SettleState = "done"    // send the call again to get its answer
	SettleUnknown SettleState = "unknown" // the target cannot tell; see Settlement.Failure
)

// Settlement is the target's response to SettleRequest.
type Settlement struct {
	State   SettleState `json:"state"`
	Failure *Failure    `json:"failure,omitempty"`
}

// CancelRequest tells the target that the entry daemon no longer waits for the
// attempt.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}
