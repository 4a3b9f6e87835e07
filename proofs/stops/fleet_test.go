package stops

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/matryer/is"

	entrycommand "camphormill.dev/entryd/command"
	"camphormill.dev/parts/platform"
	"camphormill.dev/standin/logstore"
	targetcommand "camphormill.dev/targetd/command"
)

// daemonVariable names the daemon that the test process runs in place of the tests.
const daemonVariable = "STOPS_DAEMON"

func TestMain(m *testing.M) {
	switch os.Getenv(daemonVariable) {
	case "entryd":
		os.Exit(entrycommand.Main(context.Background(), os.Args))
	case "targetd":
		os.Exit(targetcommand.Main(context.Background(), os.Args))
	}
	os.Exit(m.Run())
}

const (
	model   = "brief-model"
	service = "roster-app"
	// endTimeout bounds the wait for the end of a process; the stop timeouts of tests are far below it, and the
	// default stop timeout is far above.
	endTimeout = time.Minute
	// longTimeout is a timeout of requests that outlasts each test.
	longTimeout = "600000"
)

// fleet is the platform's log and host list, and the daemons that use them.
type fleet struct {
	t        *testing.T
	is       *is.I
	dir      string
	platform string // URL

	mu        sync.Mutex
	hosts     []platform.Host
	hostsHeld bool // the host list can't be read
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, is: is.New(t), dir: t.TempDir()}
	router := chi.NewRouter()
	logstore.New(time.Hour, time.Now).Routes(router)
	router.Get("/v1/hosts", func(w http.ResponseWriter, _ *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.hostsHeld {
			http.Error(w, "not read yet", http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"hosts": f.hosts})
	})
	f.platform = f.serve(router)
	return f
}

// holdHosts sets whether the host list can't be read.
func (f *fleet) holdHosts(held bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hostsHeld = held
}

// serve serves the handler and returns its URL.
func (f *fleet) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	f.t.Cleanup(server.Close)
	return server.URL
}

// lastPort is the port of the address that freeAddress returned last.
var lastPort atomic.Int64

// freeAddress returns an address that no one else uses: each test process has a loopback IP address of its own.
func freeAddress() string {
	const firstPort = 7000
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x3f, pid>>8&0xff, pid&0xff, firstPort+lastPort.Add(1))
}

// daemon is a process of entryd or targetd.
type daemon struct {
	fleet      *fleet
	name       string
	callers    string // URL, of entryd
	operations string // URL
	command    *exec.Cmd
	log        bytes.Buffer // valid after the end
	ended      chan struct{}
}

// start starts a process with the settings, which start adds name, addresses and keys to.
func (f *fleet) start(program, name string, settings map[string]any) *daemon {
	d := &daemon{fleet: f, name: name, ended: make(chan struct{})}
	operations := freeAddress()
	d.operations = "http://" + operations
	settings["name"], settings["zone"], settings["operations"] = name, "a", operations
	settings["reservation_keys"] = []string{"b25seSBmb3IgdGhlIHRlc3RzIG9mIHN0b3Bz"}
	raw, err := json.Marshal(settings)
	f.is.NoErr(err)
	path := filepath.Join(f.dir, name+".json")
	f.is.NoErr(os.WriteFile(path, raw, 0o600))
	d.command = exec.Command(os.Args[0], "run", "--settings", path)
	d.command.Env = append(os.Environ(), daemonVariable+"="+program)
	d.command.Stderr = &d.log
	f.is.NoErr(d.command.Start())
	go func() {
		_ = d.command.Wait() // the state of the process tells its end
		close(d.ended)
	}()
	f.t.Cleanup(func() {
		_ = d.command.Process.Kill() // fails if the process has ended
		<-d.ended
		if f.t.Failed() {
			f.t.Logf("%s:\n%s", name, d.log.String())
		}
	})
	return d
}

// startTarget starts a target daemon and adds it to the host list.
func (f *fleet) startTarget(name, kind, serves, stopWithin string, backend http.Handler) *daemon {
	address := freeAddress()
	d := f.start("targetd", name, map[string]any{
		"kind": kind, "serves": serves, "version": "v1", "link": address, "backend": f.serve(backend), "stop_within": stopWithin,
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = append(f.hosts, platform.Host{Name: name, Role: platform.RoleTarget, Address: address, Zone: "a", ServiceName: serves})
	return d
}

// startEntry starts an entry daemon.
func (f *fleet) startEntry(name, stopWithin string) *daemon {
	callers, sum := freeAddress(), sha256.Sum256([]byte("key-of-muscat"))
	d := f.start("entryd", name, map[string]any{
		"callers": callers, "public_url": "http://" + callers, "link": freeAddress(), "platform_log": f.platform, "platform_hosts": f.platform,
		"address_ttl": "500ms", "host_list_every": "50ms", "stop_within": stopWithin,
		"organisations": []any{map[string]any{"name": "muscat", "key_sha256": hex.EncodeToString(sum[:])}},
	})
	d.callers = "http://" + callers
	return d
}

// awaitStatus waits until /readyz has the status.
func (d *daemon) awaitStatus(status int) {
	eventually(d.fleet.t, d.name+" has another status", func() bool { return d.readyStatus() == status })
}

// readyStatus returns the status of /readyz, or 0 if there is none.
func (d *daemon) readyStatus() int {
	status, _ := d.ready()
	return status
}

// readyReason returns the text of /readyz.
func (d *daemon) readyReason() string {
	_, reason := d.ready()
	return reason
}

func (d *daemon) ready() (int, string) {
	response, err := http.Get(d.operations + "/readyz")
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	raw, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(raw))
}

func eventually(t *testing.T, message string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(endTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(message)
		}
	}
}

func (d *daemon) signal() { d.fleet.is.NoErr(d.command.Process.Signal(syscall.SIGTERM)) }

// exitCode waits for the end of the process.
func (d *daemon) exitCode() int {
	d.fleet.t.Helper()
	select {
	case <-d.ended:
	case <-time.After(endTimeout):
		d.fleet.t.Fatal(d.name + " does not end")
	}
	return d.command.ProcessState.ExitCode()
}

// response is what a caller got. err is set if the body has no regular end.
type response struct {
	status int
	header http.Header
	body   string
	err    error

	Outcome     string    `json:"outcome"`
	Kind        string    `json:"kind"`
	Reservation string    `json:"reservation"`
	RetryAt     time.Time `json:"retry_at"`
}

// send sends a request with a key. header holds names and values by turns.
func (d *daemon) send(method, path, body string, header ...string) response {
	r, err := http.NewRequest(method, d.callers+path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	r.Header.Set("Authorization", "Bearer key-of-muscat")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	raw, err := io.ReadAll(answer.Body)
	got := response{status: answer.StatusCode, header: answer.Header, body: string(raw), err: err}
	_ = json.Unmarshal(raw, &got) // the body of a success is something else
	return got
}

// sendAsync sends a request with longTimeout in a new goroutine.
func (d *daemon) sendAsync(method, path, body string, header ...string) <-chan response {
	got := make(chan response, 1)
	go func() { got <- d.send(method, path, body, append(header, "Camphormill-Timeout-Ms", longTimeout)...) }()
	return got
}

// awaitTargets waits until the entry has links to all targets.
func (d *daemon) awaitTargets(count int) {
	eventually(d.fleet.t, "no links", func() bool {
		response, err := http.Get(d.operations + "/v1/status")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		var status struct {
			Targets struct {
				Linked int `json:"linked"`
			} `json:"targets"`
		}
		return json.NewDecoder(response.Body).Decode(&status) == nil && status.Targets.Linked == count
	})
}

// engine is a model engine or service. It runs requests until they end by themselves or their caller leaves.
type engine struct {
	run func(r *http.Request, body string, events func(from, end int)) // nil if it stays silent

	mu     sync.Mutex
	bodies []string // of all requests
}

func (e *engine) runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.bodies)
}

const eventCount = 6

// ServeHTTP answers a request of a model engine by events, and of a service by one body.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.bodies = append(e.bodies, string(raw))
	e.mu.Unlock()
	if e.run == nil {
		<-r.Context().Done()
		return
	}
	e.run(r, string(raw), func(from, end int) {
		for n := from; n < end; n++ {
			_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"text\":\"w%d \"}]}\n\n", n)
		}
		if end == eventCount {
			_, _ = io.WriteString(w, "data: [DONE]\n\n")
		}
		_ = http.NewResponseController(w).Flush()
	})
}

// resumeFrom returns the number of the first event that a request asks for.
func resumeFrom(body string) int {
	var request struct {
		ResumeFrom int `json:"resume_from"`
	}
	_ = json.Unmarshal([]byte(body), &request) // 0 for anything else
	return request.ResumeFrom
}
