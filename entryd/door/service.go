package door

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/parts/contract"
)

// reserve binds a call that the caller will make.
func (d *Door) reserve(w http.ResponseWriter, r *http.Request) {
	request, failure := d.admitted(w, r)
	if failure != nil {
		d.refuse(w, r, failure)
		return
	}
	wanted, failure := decodeReserve(request.Body)
	if failure != nil {
		d.refuse(w, r, failure)
		return
	}
	token, deadline, err := d.config.Dispatcher.Reserve(request.Organisation, wanted.Service, nil)
	if err != nil {
		d.refuse(w, r, contract.AsFailure(err))
		return
	}
	writeJSON(w, http.StatusCreated, reserveAnswer{Reservation: token, ExpiresAt: deadline})
}

// service passes a call to a plain service.
func (d *Door) service(w http.ResponseWriter, r *http.Request) {
	began := d.config.Now()
	request, failure := d.admitted(w, r)
	if failure == nil {
		failure = serviceRequest(r, &request)
	}
	if failure != nil {
		d.refuse(w, r, failure)
		return
	}
	repeatable, failure := repeatable(r)
	if failure != nil {
		d.refuse(w, r, failure)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	var result dispatch.Result
	if repeatable {
		result = d.config.Dispatcher.Draft(ctx, request, func(string) {})
	} else {
		result = d.config.Dispatcher.Call(ctx, request)
	}
	d.config.Observe(request.Organisation, request.Class, result.Outcome, d.config.Now().Sub(began))
	d.answer(w, result)
}

func serviceRequest(r *http.Request, request *dispatch.Request) *contract.Failure {
	request.Kind = contract.WorkService
	request.Serves = chi.URLParam(r, "service")
	_, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"), "/")
	request.Path = "/" + rest
	if r.URL.RawQuery != "" {
		request.Path += "?" + r.URL.RawQuery
	}
	request.Reservation = r.Header.Get(HeaderReservation)
	request.Key = r.Header.Get(HeaderKey)
	if len(request.Key) > maxKey {
		return contract.NewFailure(contract.KindInvalidRequest,
			HeaderKey+" is over "+strconv.Itoa(maxKey)+" bytes", "send a shorter key")
	}
	return nil
}

// repeatable says whether a call may run more than once. Reads may; any other
// call may only when the caller says so and binds it to nothing.
func repeatable(r *http.Request) (bool, *contract.Failure) {
	bound := r.Header.Get(HeaderReservation) != "" || r.Header.Get(HeaderKey) != ""
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
		HeaderRepeat+" is not known", "send never or allowed")
}

// answer writes a whole answer, or why there is none.
func (d *Door) answer(w http.ResponseWriter, result dispatch.Result) {
	w.Header().Set(HeaderAttempts, strconv.Itoa(result.Attempts))
	if result.Outcome != contract.OutcomeDone {
		reservation := ""
		if result.Outcome == contract.OutcomeUnknown {
			reservation = result.Reservation
		}
		d.fail(w, result.Answer, reservation)
		return
	}
	if result.ContentType != "" {
		w.Header().Set("Content-Type", result.ContentType)
	}
	w.Header().Set(HeaderOutcome, string(result.Outcome))
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body) // a caller who has gone needs no answer
}
