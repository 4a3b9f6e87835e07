package contract

import (
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Kind names one kind of failure. Callers may branch on it.
type Kind string

// The kinds of failure.
const (
	KindInvalidRequest      Kind = "invalid_request"
	KindTooLarge            Kind = "too_large"
	KindUnauthenticated     Kind = "unauthenticated"
	KindUnknownModel        Kind = "unknown_model"
	KindUnknownService      Kind = "unknown_service"
	KindReservationInvalid  Kind = "reservation_invalid"
	KindReservationExpired  Kind = "reservation_expired"
	KindReservationVoided   Kind = "reservation_voided"
	KindReservationMismatch Kind = "reservation_mismatch"
	KindIncarnationGone     Kind = "incarnation_gone"
	KindOrganisationLimit   Kind = "organisation_limit"
	KindOverloaded          Kind = "overloaded"
	KindBusy                Kind = "busy"
	KindDeadline            Kind = "deadline"
	KindLeaving             Kind = "leaving"
	KindNoTarget            Kind = "no_target"
	KindTargetLost          Kind = "target_lost"
	KindEngineLost          Kind = "engine_lost"
	KindQuarantined         Kind = "quarantined"
	KindLogUnavailable      Kind = "log_unavailable"
	KindNotReady            Kind = "not_ready"
	KindStaleConfiguration  Kind = "stale_configuration"
	KindStaleFence          Kind = "stale_fence"
	KindUpstream            Kind = "upstream_failure"
)

// Failure is a typed error whose message names the remedy.
type Failure struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// RetryAt is when to come back; zero when coming back does not help.
	RetryAt time.Time `json:"retry_at,omitzero"`
	// Offset is the configuration version to start from again, for
	// KindStaleConfiguration.
	Offset int64 `json:"offset,omitempty"`
}

// NewFailure returns a failure of the kind.
func NewFailure(kind Kind, message, remedy string) *Failure {
	return &Failure{Kind: kind, Message: message, Remedy: remedy}
}

// Error gives the message and the remedy in one line.
func (f *Failure) Error() string {
	return f.Message + "; " + f.Remedy
}

// WithRetryAt returns a copy that says when to come back.
func (f *Failure) WithRetryAt(at time.Time) *Failure {
	next := *f
	next.RetryAt = at
	return &next
}

// WithOffset returns a copy that names a configuration version.
func (f *Failure) WithOffset(offset int64) *Failure {
	next := *f
	next.Offset = offset
	return &next
}

// AsFailure finds the Failure in an error chain. Any other error becomes an
// upstream failure.
func AsFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return NewFailure(KindUpstream, err.Error(), "look in the daemon's log, then try again")
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

// HTTPStatus is the status code that a failure has at the callers' door.
func (f *Failure) HTTPStatus() int {
	if status, ok := httpStatus[f.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}
