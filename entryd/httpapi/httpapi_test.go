package httpapi_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"camphormill.dev/entryd/dispatch"
	"camphormill.dev/entryd/httpapi"
	"camphormill.dev/entryd/pool"
	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/freshness"
	"camphormill.dev/parts/platform"
	"camphormill.dev/parts/preset"
	"camphormill.dev/parts/quarantine"
	"camphormill.dev/parts/reservation"
	"camphormill.dev/parts/routing"
)

var signer = reservation.Signer{Keys: [][]byte{[]byte("a key of the tests")}}

// newHandler returns the handler of a Server whose only target cannot be reached.
func newHandler(t testing.TB, p preset.Preset) http.Handler {
	return newHandlerWithHosts(t, p, []platform.Host{{Name: "t1", Role: platform.RoleTarget, Address: "t1", ServiceName: "roster-app"}})
}

// newHandlerWithHosts is newHandler with the given host list, or without any if hosts is nil.
func newHandlerWithHosts(t testing.TB, p preset.Preset, hosts []platform.Host) http.Handler {
	return newHandlerDialing(t, p, hosts, func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") })
}

// newHandlerDialing is newHandlerWithHosts with targets that dial can reach.
func newHandlerDialing(t testing.TB, p preset.Preset, hosts []platform.Host, dial func(context.Context, string) (net.Conn, error)) http.Handler {
	targets := pool.New(pool.Config{
		EntryName: "entry-1", SubsetSize: 4, Now: time.Now, Heartbeat: time.Second,
		Dial:          dial,
		ConfigOffset:  func() int64 { return 0 },
		ConfigChanged: func() <-chan struct{} { return nil },
		Jitter:        func(d time.Duration) time.Duration { return d },
	})
	t.Cleanup(targets.Close)
	if hosts != nil {
		targets.SetHosts(hosts)
	}
	state := preset.NewState()
	state.Presets = map[string]preset.StoredPreset{preset.InitialName: {Preset: p}}
	sum := sha256.Sum256([]byte("key-of-muscat"))
	return httpapi.New(httpapi.Config{
		OrganisationKeys: map[string]string{hex.EncodeToString(sum[:]): "muscat"}, Timeout: time.Second, AddressTTL: 10 * time.Second,
		Addresses: func() []httpapi.Address { return []httpapi.Address{{URL: "http://127.0.0.1:7001", Zone: "a"}} },
		Dispatcher: dispatch.New(dispatch.Config{
			Pool: targets, Policy: routing.NewRoundRobin(), Routing: routing.PolicyConfig{Uint64N: func(uint64) uint64 { return 0 }}, Signer: signer, ReservationValidity: time.Minute, Now: time.Now,
			SteadyClock: freshness.Now, EntryCount: func() int { return 1 },
			Preset:          func() preset.Preset { return p },
			BroadcastStrike: func(context.Context, quarantine.Strike) {},
			ShareParts:      func(context.Context, []quarantine.PartRecord) []quarantine.PartRecord { return nil }, Logger: zerolog.Nop(),
		}),
		State:      func() (preset.State, bool) { return state, true },
		LimitShare: func(string) float64 { return 1 },
		Now:        time.Now,
		Observe:    func(string, contract.Class, contract.Outcome, time.Duration) {},

		MaxAnswerBytes: maxAnswerBytes,
	}).Handler()
}

// answer is the body of a failed request.
type answer struct {
	Outcome contract.Outcome `json:"outcome"`
	Kind    contract.Kind    `json:"kind"`
	Message string           `json:"message"`
	Remedy  string           `json:"remedy"`
}

// send sends a request with a known key and returns its recorded answer. header holds
// names and values by turns.
func send(t testing.TB, h http.Handler, method, path, body string, header ...string) (*httptest.ResponseRecorder, answer) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer key-of-muscat")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var a answer
	if w.Code >= http.StatusBadRequest {
		if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil {
			t.Fatalf("%s %s: status %d with a body that is not a failure: %q", method, path, w.Code, w.Body)
		}
	}
	return w, a
}

func TestInvalidRequestsGetTypedFailures(t *testing.T) {
	otherClaims := reservation.Claims{ID: "x", Organisation: "nizwa", Target: "t1", Incarnation: "t1/1", Deadline: time.Now().Add(time.Minute)}
	otherToken, err := signer.Sign(otherClaims)
	if err != nil {
		t.Fatal(err)
	}
	confirm := "/v1/services/roster-app/confirmations/1"
	cases := map[string]struct {
		method, path, body string
		header             []string
		status             int
		kind               contract.Kind
		outcome            contract.Outcome
	}{
		"bad JSON":         {"POST", "/v1/completions", "{", nil, 400, contract.KindInvalidRequest, contract.OutcomeNotRun},
		"no model":         {"POST", "/v1/completions", "{}", nil, 400, contract.KindInvalidRequest, contract.OutcomeNotRun},
		"unknown model":    {"POST", "/v1/completions", `{"model":"m"}`, nil, 404, contract.KindUnknownModel, contract.OutcomeNotRun},
		"unknown service":  {"GET", "/v1/services/nope/x", "", nil, 404, contract.KindUnknownService, contract.OutcomeNotRun},
		"long body":        {"POST", "/v1/completions", strings.Repeat("x", 2<<20), nil, 413, contract.KindTooLarge, contract.OutcomeNotRun},
		"wrong key":        {"POST", confirm, "", []string{"Authorization", "Bearer nobody"}, 401, contract.KindUnauthenticated, contract.OutcomeNotRun},
		"bad class":        {"POST", confirm, "", []string{"Camphormill-Class", "vip"}, 400, contract.KindInvalidRequest, contract.OutcomeNotRun},
		"bad timeout":      {"POST", confirm, "", []string{"Camphormill-Timeout-Ms", "-1"}, 400, contract.KindInvalidRequest, contract.OutcomeNotRun},
		"bad repeat":       {"POST", confirm, "", []string{"Camphormill-Repeat", "maybe"}, 400, contract.KindInvalidRequest, contract.OutcomeNotRun},
		"bad reservation":  {"POST", confirm, "", []string{"Camphormill-Reservation", "x.y"}, 400, contract.KindReservationInvalid, contract.OutcomeNotRun},
		"long key":         {"POST", confirm, "", []string{"Idempotency-Key", strings.Repeat("k", 300)}, 400, contract.KindInvalidRequest, contract.OutcomeUnknown},
		"read with key":    {"GET", confirm, "", []string{"Idempotency-Key", "k"}, 400, contract.KindInvalidRequest, contract.OutcomeUnknown},
		"unreachable":      {"POST", confirm, "", nil, 503, contract.KindNoTarget, contract.OutcomeNotRun},
		"no such path":     {"GET", "/v2", "", nil, 400, contract.KindInvalidRequest, contract.OutcomeNotRun},
		"no such method":   {"PUT", "/v1/completions", "", nil, 400, contract.KindInvalidRequest, contract.OutcomeNotRun},
		"no service named": {"POST", "/v1/reservations", "{}", nil, 400, contract.KindInvalidRequest, contract.OutcomeNotRun},
		// The target may have run the call before, so the entry cannot report not_run.
		"foreign reservation": {"POST", confirm, "", []string{"Camphormill-Reservation", otherToken}, 502, contract.KindTargetLost, contract.OutcomeUnknown},
		"bound, wrong key":    {"POST", confirm, "", []string{"Camphormill-Reservation", otherToken, "Authorization", "x"}, 401, contract.KindUnauthenticated, contract.OutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w, a := send(t, newHandler(t, preset.Initial()), c.method, c.path, c.body, c.header...)
			is.Equal(w.Code, c.status)
			is.Equal(a.Kind, c.kind)
			is.Equal(a.Outcome, c.outcome)
			is.True(a.Message != "" && a.Remedy != "")
		})
	}
}

// TestNotReadyBeforeHostList guards against an entry that reports a served model as
// unknown: a freshly started entry has not read the host list and cannot tell.
func TestNotReadyBeforeHostList(t *testing.T) {
	is := is.New(t)
	w, a := send(t, newHandlerWithHosts(t, preset.Initial(), nil), "POST", "/v1/completions", `{"model":"m"}`)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(a.Kind, contract.KindNotReady)
	is.True(w.Header().Get("Retry-After") != "")
}

func TestLimitFailureHasRetryAfter(t *testing.T) {
	is := is.New(t)
	p := preset.Initial()
	p.Default = preset.Organisation{RequestsPerSecond: 0.5, Burst: 1, Weight: 1}
	h := newHandler(t, p)
	_, _ = send(t, h, "GET", "/v1/services/roster-app/x", "")
	w, a := send(t, h, "GET", "/v1/services/roster-app/x", "")
	is.Equal(w.Code, http.StatusTooManyRequests)
	is.Equal(a.Kind, contract.KindOrganisationLimit)
	is.Equal(w.Header().Get("Retry-After"), "2")
}

func TestAddressesHaveMaxAge(t *testing.T) {
	is := is.New(t)
	w, _ := send(t, newHandler(t, preset.Initial()), "GET", "/v1/addresses", "", "Authorization", "")
	is.Equal(w.Code, http.StatusOK) // this path needs no key
	is.Equal(w.Header().Get("Cache-Control"), "max-age=10")
	is.True(strings.Contains(w.Body.String(), "http://127.0.0.1:7001"))
}

func FuzzCompletions(f *testing.F) {
	f.Add(`{"model":"m","prompt":"p","stream":true}`)
	f.Add(`{"model":7}`)
	f.Add(`{"model":"roster-app","prompt":"` + strings.Repeat("é", 300) + `"}`)
	h := newHandler(f, preset.Initial())
	f.Fuzz(func(t *testing.T, body string) {
		w, a := send(t, h, "POST", "/v1/completions", body)
		if w.Code < http.StatusBadRequest || a.Outcome != contract.OutcomeNotRun {
			t.Fatalf("status %d, outcome %q", w.Code, a.Outcome)
		}
		_, _ = io.Copy(io.Discard, w.Body)
	})
}
