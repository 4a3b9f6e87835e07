package contract

// Outcome is the final word on one request.
type Outcome string

// The three final outcomes.
const (
	// OutcomeDone says that the request ran and its whole answer is here.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun says that the request did not run and, under the same
	// reservation, never will.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown says that the request may have run. The caller presents
	// the same reservation again to learn more.
	OutcomeUnknown Outcome = "unknown"
)

// Class is the priority class of a request.
type Class string

// The priority classes, most urgent first.
const (
	// ClassInteractive is for a person who waits for the answer.
	ClassInteractive Class = "interactive"
	// ClassBatch is for work that may wait behind interactive requests.
	ClassBatch Class = "batch"
)

// ParseClass reads a class name; an empty name is ClassInteractive.
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
