package contract

import "time"

// The methods of the link between entryd and targetd, and between two entryd.
const (
	MethodHello         = "hello"
	MethodRun           = "run"
	MethodSettle        = "settle"
	MethodCancel        = "cancel"
	MethodHeartbeat     = "heartbeat"
	MethodFrames        = "frames"  // of all streams to one entry
	MethodLeaving       = "leaving" // a target tells its entries
	MethodExchange      = "exchange"
	MethodConfiguration = "configuration"
)

// WorkKind says which adapter of the target carries the work.
type WorkKind string

// The kinds of work a target carries.
const (
	WorkDraft   WorkKind = "draft"
	WorkService WorkKind = "service"
)

// HelloRequest opens a link. Entry names the entry daemon.
type HelloRequest struct {
	Entry string `json:"entry"`
}

// Hello is the target's answer: who it is, what it serves, and its clock.
type Hello struct {
	Target      string    `json:"target"`
	Incarnation string    `json:"incarnation"`
	Zone        string    `json:"zone"`
	Kind        WorkKind  `json:"kind"`
	Serves      string    `json:"serves"`  // model or service name
	Version     string    `json:"version"` // version of the model or service
	Capacity    int       `json:"capacity"`
	Clock       time.Time `json:"clock"` // the target's clock when it answered
	Load        Load      `json:"load"`
}

// Load is a target's own view of its load.
type Load struct {
	Running  int     `json:"running,omitempty"`   // admitted and not finished
	Queued   int     `json:"queued,omitempty"`    // waiting at the gate
	Capacity int     `json:"capacity"`            // how many may run side by side
	StepMS   float64 `json:"step_ms,omitempty"`   // recent step time of its slowest rank
	EngineMS float64 `json:"engine_ms,omitempty"` // recent service time of one request
	Leaving  bool    `json:"leaving,omitempty"`
}

// HeartbeatRequest carries the entry's configuration version to the target.
type HeartbeatRequest struct {
	ConfigOffset int64 `json:"config_offset"`
}

// Heartbeat answers with the target's load and configuration version.
type Heartbeat struct {
	ConfigOffset int64 `json:"config_offset"`
	Load         Load  `json:"load"`
}

// Call is one attempt of one request, from entryd to targetd.
type Call struct {
	Attempt      string    `json:"attempt"`     // unique to this attempt
	Reservation  string    `json:"reservation"` // empty when Repeatable
	Organisation string    `json:"organisation"`
	Class        Class     `json:"class"`
	Kind         WorkKind  `json:"kind"`
	Serves       string    `json:"serves"`
	Version      string    `json:"version"`
	Method       string    `json:"method,omitempty"` // HTTP method of a service call
	Path         string    `json:"path,omitempty"`   // path of a service call
	ContentType  string    `json:"content_type,omitempty"`
	Body         []byte    `json:"body,omitempty"`
	Deadline     time.Time `json:"deadline"` // in the target's clock
	ResumeFrom   int       `json:"resume_from,omitempty"`
	Stream       bool      `json:"stream,omitempty"`
	// NoWait asks the gate to refuse at once, as busy, what would have to wait:
	// another target is likely to have a free place.
	NoWait bool `json:"no_wait,omitempty"`
}

// Answer ends an attempt.
type Answer struct {
	Outcome     Outcome  `json:"outcome"`
	Status      int      `json:"status,omitempty"`
	ContentType string   `json:"content_type,omitempty"`
	Body        []byte   `json:"body,omitempty"`
	Replayed    bool     `json:"replayed,omitempty"`
	Frames      int      `json:"frames,omitempty"` // frames that preceded this answer
	Failure     *Failure `json:"failure,omitempty"`
	Load        Load     `json:"load"`
}

// Refusal returns the answer for a request that the gate did not run.
func Refusal(f *Failure) Answer {
	return Answer{Outcome: OutcomeNotRun, Failure: f}
}

// Uncertain returns the answer for a request that may have run.
func Uncertain(f *Failure) Answer {
	return Answer{Outcome: OutcomeUnknown, Failure: f}
}

// Frame is one piece of a streamed answer. Sequence counts from ResumeFrom.
type Frame struct {
	Attempt  string `json:"attempt"`
	Sequence int    `json:"sequence"`
	Token    string `json:"token"`
}

// SettleRequest asks what became of a reservation, and voids it if it has not
// started.
type SettleRequest struct {
	Reservation  string `json:"reservation"`
	Organisation string `json:"organisation"`
}

// SettleState is what the gate found.
type SettleState string

// What became of a reservation.
const (
	SettleVoided  SettleState = "voided"  // it had not started and never will
	SettleRunning SettleState = "running" // present it again to wait for the answer
	SettleDone    SettleState = "done"    // present it again to get the answer
	SettleUnknown SettleState = "unknown" // this incarnation cannot tell
)

// Settlement is the gate's answer to SettleRequest.
type Settlement struct {
	State   SettleState `json:"state"`
	Failure *Failure    `json:"failure,omitempty"`
}

// CancelRequest says that nobody waits for the attempt any more.
type CancelRequest struct {
	Attempt string `json:"attempt"`
}
