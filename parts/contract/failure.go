package contract

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind is the kind of a failure. Callers may branch on it.
type Kind string

// The kinds of failure.
const (
	KindInvalidRequest      Kind = "invalid_request"
	KindTooLarge            Kind = "too_large" // the body or the answer exceeds a limit, or the caller reads the answer too slowly
	KindUnauthenticated     Kind = "unauthenticated"
	KindUnknownModel        Kind = "unknown_model"
	KindUnknownService      Kind = "unknown_service"
	KindReservationInvalid  Kind = "reservation_invalid"
	KindReservationExpired  Kind = "reservation_expired"
	KindReservationVoided   Kind = "reservation_voided"   // the reservation was voided before the call ran
	KindReservationMismatch Kind = "reservation_mismatch" // the reservation was used with a different request body
	KindIncarnationGone     Kind = "incarnation_gone"     // the target process of the reservation has ended
	KindOrganisationLimit   Kind = "organisation_limit"
	KindOverloaded          Kind = "overloaded" // the target cannot start the request before its deadline
	KindBusy                Kind = "busy"       // no free slot for a call with NoWait
	KindDeadline            Kind = "deadline"
	KindLeaving             Kind = "leaving"
	KindNoTarget            Kind = "no_target"
	KindTargetLost          Kind = "target_lost" // the target could not be reached, or was lost while the call may have run
	KindEngineLost          Kind = "engine_lost" // the engine or service of the target failed during the call, or could not be reached
	KindQuarantined         Kind = "quarantined" // targets died while they ran this request
	KindLogUnavailable      Kind = "log_unavailable"
	KindNotReady            Kind = "not_ready"
	KindStaleConfiguration  Kind = "stale_configuration"
	KindStaleFence          Kind = "stale_fence" // the fence of an order is lower than that of the current coordinator
	KindUpstream            Kind = "upstream_failure"
)

// Failure is a typed error with a message for people and the remedy.
type Failure struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// RetryAt is the earliest time for a retry; zero if a retry does not help.
	RetryAt time.Time `json:"retry_at,omitzero"`
	// Offset is the configuration version on which to base a refused change
	// instead. It is set for KindStaleConfiguration.
	Offset int64 `json:"offset,omitempty"`
}

// NewFailure returns a failure with the kind, message and remedy.
func NewFailure(kind Kind, message, remedy string) *Failure {
	return &Failure{Kind: kind, Message: message, Remedy: remedy}
}

// Error returns the message and the remedy in one line.
func (f *Failure) Error() string {
	return f.Message + "; " + f.Remedy
}

// WithRetryAt returns a copy with the earliest time for a retry.
func (f *Failure) WithRetryAt(at time.Time) *Failure {
	next := *f
	next.RetryAt = at
	return &next
}

// WithOffset returns a copy with a configuration version.
func (f *Failure) WithOffset(offset int64) *Failure {
	next := *f
	next.Offset = offset
	return &next
}

// AsFailure returns the Failure in an error chain. It wraps any other error as
// KindUpstream.
func AsFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return NewFailure(KindUpstream, err.Error(), "see the daemon's log, then try again")
}

var httpStatus = map[Kind]int{
	KindInvalidRequest:      http.StatusBadRequest,
	KindTooLarge:            http.StatusRequestEntityTooLarge,
	KindUnauthenticated:     http.StatusUnauthorized,
	KindUnknownModel:        http.StatusNotFound,
	KindUnknownService:      http.StatusNotFound,
	KindReservationInvalid:  http.StatusBadRequest,
	KindReservationExpired:  http.StatusGone,
	KindReservationVoided:   http.StatusConflict,
	KindReservationMismatch: http.StatusConflict,
	KindIncarnationGone:     http.StatusGone,
	KindOrganisationLimit:   http.StatusTooManyRequests,
	KindOverloaded:          http.StatusServiceUnavailable,
	KindBusy:                http.StatusServiceUnavailable,
	KindDeadline:            http.StatusServiceUnavailable,
	KindLeaving:             http.StatusServiceUnavailable,
	KindNoTarget:            http.StatusServiceUnavailable,
	KindTargetLost:          http.StatusBadGateway,
	KindEngineLost:          http.StatusBadGateway,
	KindQuarantined:         http.StatusUnprocessableEntity,
	KindLogUnavailable:      http.StatusServiceUnavailable,
	KindNotReady:            http.StatusServiceUnavailable,
	KindStaleConfiguration:  http.StatusConflict,
	KindStaleFence:          http.StatusConflict,
	KindUpstream:            http.StatusBadGateway,
}

// HTTPStatus returns the status code of a failure in entryd's HTTP responses.
func (f *Failure) HTTPStatus() int {
	if status, ok := httpStatus[f.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}
