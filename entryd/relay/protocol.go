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

// RequestInfo holds what a request carries in its headers.
type RequestInfo struct {
	AttemptID    string        // identifies the caller's attempt; the relay's retries keep it
	Key          string        // the organisation's key; empty if the request has none
	Timeout      time.Duration // time the caller waits for the response; 0 if not given
	PromptTokens int           // prompt length in tokens
	OutputTokens int           // expected output length in tokens
	// MaxOutputTokens is the longest output that the caller allows, in tokens.
	MaxOutputTokens int
	// SharedParts identifies the parts of the prompt that other requests may have too, in order.
	SharedParts []uint64
	// LastEventID is the ID of the last event the caller has received of a stream; empty at its
	// start.
	LastEventID string
}

// TargetHeaders holds what the relay adds to a request for a target.
type TargetHeaders struct {
	TargetID     string // ID of the target; any other target refuses the request
	Organisation string
	Priority     *routes.Priority // nil if the configuration calls for none
	Remaining    time.Duration    // time left until the request's deadline
	LastEventID  string           // ID of the last event the relay has sent to the caller; empty at the stream's start
}

// ResponseClass tells whether a target ran the request that it answered.
type ResponseClass string

// The classes of responses.
const (
	Ran         ResponseClass = "ran"     // response of the target that ran the request
	NotRun      ResponseClass = "not_run" // the target did not run the request
	WrongTarget ResponseClass = "foreign" // another target has the address and did not run the request
)

// Load is the load that a target reports with a response, in requests.
type Load struct {
	Running, Waiting, Slots int
}

// Availability is what a target says in a response about the requests that it wants from this entry.
type Availability struct {
	Leaving   bool          // it is about to stop and wants no more
	PausedFor time.Duration // it wants none for this time
	ColdUntil time.Time     // it is cold until then; zero if it does not say so
}

// Protocol translates between HTTP headers and the types of this package.
type Protocol struct {
	// Read returns the information in a caller's request.
	Read func(r *http.Request) RequestInfo
	// SetHeaders sets the headers of a request to a target.
	SetHeaders func(h http.Header, info RequestInfo, target TargetHeaders)
	// Classify reports whether a target ran the request.
	Classify func(r *http.Response) ResponseClass
	// ReportedLoad returns the load reported with a response; false if there is none.
	ReportedLoad func(r *http.Response) (Load, bool)
	// ReportedLimit returns the requests per second that a target takes from all entries together,
	// as it says in a response; false if it names no limit.
	ReportedLimit func(r *http.Response) (perSecond float64, ok bool)
	// Availability returns what a target says about further requests.
	Availability func(r *http.Response) Availability
	// FailedTarget returns the address of the target whose failure closed a group, or an empty
	// string.
	FailedTarget func(r *http.Response) string
}

// needsSlot reports whether a request of the service needs a slot from the leader of its
// group.
func needsSlot(s routes.Service) bool { return s.Engine != nil }
