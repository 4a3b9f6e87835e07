package httpapi

import (
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-chi/chi/v5"

	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/contract"
)

// reserve serves a reservation for a later call of the caller.
func (s *Server) reserve(w http.ResponseWriter, r *http.Request) {
	hold := s.openHold(w)
	defer hold.Close()
	request, failure := s.admit(w, r, hold)
	if failure != nil {
		s.writeRefusal(w, r, failure)
		return
	}
	body, failure := decodeReservation(request.Body)
	if failure != nil {
		s.writeRefusal(w, r, failure)
		return
	}
	token, deadline, err := s.config.Dispatcher.Reserve(request.Organisation, body.Service, nil)
	if err != nil {
		s.writeRefusal(w, r, contract.AsFailure(err))
		return
	}
	writeJSON(w, http.StatusCreated, reservationResponse{Reservation: token, ExpiresAt: deadline})
}

// callService serves a call of a service.
func (s *Server) callService(w http.ResponseWriter, r *http.Request) {
	start := s.config.Now()
	hold := s.openHold(w)
	defer hold.Close()
	request, failure := s.admit(w, r, hold)
	if failure == nil {
		failure = serviceRequest(r, &request)
	}
	if failure != nil {
		s.writeRefusal(w, r, failure)
		return
	}
	repeatable, failure := isRepeatable(r)
	if failure == nil {
		failure = s.refuseOutlasting(request.Deadline)
	}
	if failure != nil {
		s.writeRefusal(w, r, failure)
		return
	}
	ctx, cancel := s.requestContext(r, request.Deadline)
	defer cancel()
	var result dispatch.Result
	if repeatable {
		result = s.config.Dispatcher.RunRepeatable(ctx, request, func(string) {})
	} else {
		result = s.config.Dispatcher.RunOnce(ctx, request)
	}
	s.config.Observe(request.Organisation, request.Class, result.Outcome, s.config.Now().Sub(start))
	s.writeResult(w, result, hold)
}

// serviceRequest fills in the service, path, reservation and idempotency key of the
// request.
func serviceRequest(r *http.Request, request *dispatch.Request) *contract.Failure {
	request.Kind = contract.WorkService
	request.ServiceName = chi.URLParam(r, "service")
	path, ok := servicePath(r.RequestURI)
	if !ok {
		return contract.NewFailure(contract.KindInvalidRequest,
			"the path cannot be passed on as it is", "send a path in UTF-8 that begins with one slash, in a request target without a host")
	}
	request.Path = path
	request.Reservation = r.Header.Get(HeaderReservation)
	request.IdempotencyKey = r.Header.Get(HeaderIdempotencyKey)
	if len(request.IdempotencyKey) > maxKeyBytes {
		return contract.NewFailure(contract.KindInvalidRequest,
			HeaderIdempotencyKey+" is over "+strconv.Itoa(maxKeyBytes)+" bytes", "send a shorter key")
	}
	return nil
}

// servicePath returns the path and query for a service, byte for byte as they stand in the request target
// /v1/services/NAME/PATH. It returns false if they can't be passed on unchanged: in a target that names a host,
// for a path that begins with two slashes, which would be taken for a host, and for bytes that are no UTF-8, which
// the links to targets don't carry.
func servicePath(requestTarget string) (string, bool) {
	named, ok := strings.CutPrefix(requestTarget, "/v1/services/")
	if !ok {
		return "", false
	}
	_, rest, ok := strings.Cut(named, "/")
	return "/" + rest, ok && !strings.HasPrefix(rest, "/") && utf8.ValidString(rest)
}

// isRepeatable reports whether a call may run more than once. A read may. Any other
// call may only if the caller allows it and sends no reservation or idempotency key.
func isRepeatable(r *http.Request) (bool, *contract.Failure) {
	bound := r.Header.Get(HeaderReservation) != "" || r.Header.Get(HeaderIdempotencyKey) != ""
	read := r.Method == http.MethodGet || r.Method == http.MethodHead
	if read && bound {
		return false, contract.NewFailure(contract.KindInvalidRequest,
			"a read needs no reservation or key", "send it without them")
	}
	switch strings.ToLower(r.Header.Get(HeaderRepeat)) {
	case "", "never":
		return read, nil
	case "allowed":
		return !bound, nil
	}
	return false, contract.NewFailure(contract.KindInvalidRequest,
		HeaderRepeat+" has an unknown value", "send never or allowed")
}

// writeResult writes the target's answer or the failure. The answer is counted with the hold, which gives way if the caller
// doesn't read.
func (s *Server) writeResult(w http.ResponseWriter, result dispatch.Result, hold *bytebudget.Hold) {
	if len(result.Body) > bytebudget.FreeBytes {
		connection := http.NewResponseController(w)
		hold.Unsettle(func() { _ = connection.SetWriteDeadline(time.Unix(1, 0)) })
		hold.Grow(int64(len(result.Body))) // an answer that is ready is written in any case
	}
	w.Header().Set(HeaderAttempts, strconv.Itoa(result.Attempts))
	if result.Outcome != contract.OutcomeDone {
		reservation := ""
		if result.Outcome == contract.OutcomeUnknown {
			reservation = result.Reservation
		}
		s.writeFailure(w, result.Answer, reservation)
		return
	}
	if result.ContentType != "" {
		w.Header().Set("Content-Type", result.ContentType)
	}
	w.Header().Set(HeaderOutcome, string(result.Outcome))
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body) // fails only if the caller has disconnected
}
