package httpapi_test

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/entryd/httpapi"
	"camphormill.dev/parts/bytebudget"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/preset"
)

// newRefusingHandler returns a handler that has no targets.
func newRefusingHandler(budget *bytebudget.Budget) http.Handler {
	sum := sha256.Sum256([]byte("key-of-muscat"))
	state := preset.NewState()
	state.Presets = map[string]preset.StoredPreset{preset.InitialName: {Preset: preset.Initial()}}
	return httpapi.New(httpapi.Config{
		OrganisationKeys: map[string]string{hex.EncodeToString(sum[:]): "muscat"}, Timeout: time.Second, Now: time.Now, Budget: budget,
		State: func() (preset.State, bool) { return state, true }, LimitShare: func(string) float64 { return 1 },
	}).Handler()
}

// TestBodyWithoutMemoryIsRefused guards against bodies that are held in any number, and against a refusal that says of a
// call which may have run before that it hasn't.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	budget := bytebudget.New(bytebudget.Config{Bytes: 1 << 20, StallTime: time.Second, Now: time.Now})
	other := budget.Open(func() {})
	is.True(other.Grow(budget.Size()))
	other.Settle()
	h := newRefusingHandler(budget)
	const path = "/v1/services/roster-app/confirmations/1"
	body := strings.Repeat("x", 100<<10)
	for name, outcome := range map[string]contract.Outcome{
		httpapi.HeaderClass: contract.OutcomeNotRun, httpapi.HeaderIdempotencyKey: contract.OutcomeUnknown, httpapi.HeaderReservation: contract.OutcomeUnknown,
	} {
		w, a := send(t, h, http.MethodPost, path, body, name, "batch")
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(a.Kind, contract.KindOverloaded)
		is.Equal(a.Outcome, outcome)
		is.True(w.Header().Get("Retry-After") != "")
	}
	is.Equal(budget.Stats().Held, budget.Size()) // refused requests hold nothing
}

// TestAnnouncedBodyOverLimitIsNotRead guards against reading a body that is refused anyway.
func TestAnnouncedBodyOverLimitIsNotRead(t *testing.T) {
	is := is.New(t)
	r := httptest.NewRequest(http.MethodPost, "/v1/completions", iotest.ErrReader(errors.New("body was read")))
	r.ContentLength = 1<<20 + 1
	r.Header.Set("Authorization", "Bearer key-of-muscat")
	w := httptest.NewRecorder()
	newRefusingHandler(nil).ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusRequestEntityTooLarge)
}
