package contract

// Outcome is the final outcome of one request.
type Outcome string

// The three final outcomes.
const (
	// OutcomeDone means that the request ran and its response is complete.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request did not run and never will under the
	// same reservation.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run. The caller may send it
	// again under the same reservation to ask for its outcome.
	OutcomeUnknown Outcome = "unknown"
)

// Class is the priority class of a request.
type Class string

// The priority classes, most urgent first.
const (
	// ClassInteractive is for requests whose response a person waits for.
	ClassInteractive Class = "interactive"
	// ClassBatch is for requests that may queue behind interactive ones.
	ClassBatch Class = "batch"
)

// ParseClass returns the class of a name, and ClassInteractive for an empty name.
// The error is an invalid_request failure.
func ParseClass(name string) (Class, error) {
	switch Class(name) {
	case "", ClassInteractive:
		return ClassInteractive, nil
	case ClassBatch:
		return ClassBatch, nil
	}
	return "", NewFailure(KindInvalidRequest,
		"the class "+name+" is not known", "send interactive or batch")
}
