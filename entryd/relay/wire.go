// Package relay forwards callers' requests to targets and returns the targets' responses
// unchanged. It matches routes, checks keys, selects targets, retries requests that may be
// repeated and resumes streams. It reports a request as not run only if no target can have
// run it.
package relay

import (
	"net/http"
	"time"

	"camphormill.dev/parts/routes"
)

// Envelope holds what a request carries in its headers.
type Envelope struct {
	ID       string        // of this attempt of the caller
	Key      string        // empty if the request has none
	Patience time.Duration // time the caller waits for the response; 0 if not given
	Prompt   int           // prompt length in tokens
	Output   int           // expected output length in tokens
	// After is the ID of the last event the caller has received of a stream; empty at its
	// start.
	After string
}

// Sending holds what the relay adds to a request for a target.
type Sending struct {
	Target       string // ID of the target; any other target refuses the request
	Organisation string
	Left         time.Duration
	After        string // ID of the last event the relay has sent to the caller; empty at the stream's start
}

// Class tells whether a target ran the request that it answered.
type Class string

// The classes of responses.
const (
	Ran     Class = "ran"     // response of the target that ran the request
	NotRun  Class = "not_run" // the target did not run the request
	Foreign Class = "foreign" // another target has the address and did not run the request
)

// Load is the load a target reports with a response.
type Load struct {
	Running, Waiting, Slots int
}

// Wire translates between HTTP headers and the types of this package.
type Wire struct {
	// Read returns the envelope of a caller's request.
	Read func(r *http.Request) Envelope
	// Prepare sets the headers of a request to a target.
	Prepare func(h http.Header, e Envelope, s Sending)
	// Classify reports whether a target ran the request.
	Classify func(r *http.Response) Class
	// Load returns the load reported with a response; false if there is none.
	Load func(r *http.Response) (Load, bool)
	// Fault returns the address of the target whose failure closed a group, or an empty
	// string.
	Fault func(r *http.Response) string
}

// needsSlot reports whether a request of the service needs a slot from the leader of its
// group.
func needsSlot(s routes.Service) bool { return s.Engine != nil }
