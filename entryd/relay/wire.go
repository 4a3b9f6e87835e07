// Package relay passes callers' requests to targets as they are and brings their
// answers back unchanged: it matches routes, checks keys, chooses targets, sends
// again what may be sent again, resumes streams, and says "not run" only of what
// did not run.
package relay

import (
	"net/http"
	"time"

	"camphormill.dev/parts/routes"
)

// Envelope is what a request says beside its method, path and body.
type Envelope struct {
	ID       string        // of this attempt of the caller
	Key      string        // empty for none
	Patience time.Duration // how long the caller waits; 0 when it does not say
	Prompt   int           // tokens
	Output   int           // tokens expected
	// After is the last event that the caller has of a stream, or empty.
	After string
}

// Sending is what a target is told beside what the caller sent.
type Sending struct {
	Target       string // id; any other target refuses
	Organisation string
	Left         time.Duration
	After        string // last event that is here already, or empty
}

// Class says what an answer means.
type Class string

// The classes.
const (
	Ran     Class = "ran"     // the target's own answer
	NotRun  Class = "not_run" // the target did not run it
	Foreign Class = "foreign" // another target has the address; not run
)

// Load is what a target tells of itself with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Wire translates between the headers of callers and targets and the types above.
type Wire struct {
	Read func(r *http.Request) Envelope
	// Prepare sets the headers of a request to a target.
	Prepare  func(h http.Header, e Envelope, s Sending)
	Classify func(r *http.Response) Class
	Load     func(r *http.Response) (Load, bool)
	// Fault names the target whose failure closed a group, or empty.
	Fault func(r *http.Response) string
}

// needsPlace says whether requests of a service get their place from the leader
// of a group.
func needsPlace(s routes.Service) bool { return s.Engine != nil }
