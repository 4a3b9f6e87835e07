//go:build crowd

package crowd

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/matryer/is"

	"camphormill.dev/standin/fakeplatform"
)

const (
	meshPort      = 7340
	callersPort   = 8227
	readyPort     = 8220
	directoryPort = 8224
	metricsPort   = 9464
	enginePort    = 8228
	storePort     = 8223

	entryOctet  = 1
	targetOctet = 100
	plainOctet  = 150
	storeOctet  = 200
	// strangerOctet is the address of hosts that run no daemon.
	strangerOctet = 250

	startTimeout = 20 * time.Second

	// The published limits of requests.
	maxBodyBytes = 4 << 20
	maxHeadBytes = 16 << 10

	apiKey = "key-0"
)

// limits is what a daemon may hold.
type limits struct {
	memoryMB, descriptors int
}

// The lowered limits of the daemons.
var (
	entryLimits  = limits{memoryMB: 96, descriptors: 512}
	targetLimits = limits{memoryMB: 64, descriptors: 512}
)

// process is one daemon.
type process struct {
	name, ip string
	limits   limits
	exited   chan struct{} // closed when the process has ended
	usage    usage
}

// address returns the address of a port of the daemon.
func (p *process) address(port int) string { return fmt.Sprintf("%s:%d", p.ip, port) }

// fleet is one entry, the stand-ins that it needs, and for some tests a target daemon beside an engine.
type fleet struct {
	subnet  string // first three octets of the addresses
	dir     string
	store   *fakeplatform.Store
	plain   *target
	entry   *process
	targets []*process // none or one
}

// startEntry starts an entry and a plain target and returns when the entry is ready.
func startEntry(t *testing.T) *fleet {
	t.Helper()
	is := is.New(t)
	f := &fleet{dir: t.TempDir(), store: fakeplatform.NewStore(), plain: newTarget("r-0")}
	router := chi.NewRouter()
	f.store.Routes(router)
	for range 20 { // another run may use the same addresses
		f.subnet = fmt.Sprintf("127.%d.%d", 130+rand.IntN(60), rand.IntN(256))
		if serve(t, f.address(storeOctet, storePort), router) == nil {
			break
		}
	}
	is.NoErr(serve(t, f.address(plainOctet, enginePort), f.plain))
	is.NoErr(f.store.Register(f.plain.id, fakeplatform.RosterService, f.address(plainOctet, enginePort)))
	f.publish(t)
	f.entry = f.start(t, "entry", entryOctet, entryLimits, map[string]any{
		"callers": f.address(entryOctet, callersPort), "ready": f.address(entryOctet, readyPort), "directory": f.address(entryOctet, directoryPort),
		"address_ttl_s": 5, "key_bound_ms": 5000, "stop_within_s": 8, "retry_share": 0.2, "retry_slack": 200,
	})
	deadline := time.Now().Add(startTimeout)
	for !fakeplatform.IsReady(context.Background(), http.DefaultClient, f.entry.address(readyPort)) {
		is.True(time.Now().Before(deadline)) // the entry starts
		time.Sleep(20 * time.Millisecond)
	}
	return f
}

// startTarget starts a fleet with a target daemon beside an engine too.
func startTarget(t *testing.T) *fleet {
	t.Helper()
	is := is.New(t)
	f := startEntry(t)
	router := chi.NewRouter()
	fakeplatform.NewGroup(groupConfig(), fakeplatform.NewRecorder()).Routes(0)(router)
	is.NoErr(serve(t, f.address(targetOctet, enginePort), router))
	is.NoErr(f.store.Register("i-0", fakeplatform.DraftService, f.address(targetOctet, enginePort)))
	f.targets = append(f.targets, f.start(t, "target", targetOctet, targetLimits, map[string]any{
		"engine": f.address(targetOctet, enginePort), "service": fakeplatform.DraftService,
	}))
	is.NoErr(newCaller(f).lookUp(f.targets[0].address(metricsPort), "/healthz"))
	is.NoErr(newCaller(f).draft())
	return f
}

func groupConfig() fakeplatform.GroupConfig {
	return fakeplatform.GroupConfig{Ranks: 1, Sets: 1, Experts: 4, ExpertSlots: 4, SpareExpertSlots: 2, Slots: 8, PassInterval: 10 * time.Millisecond, CopyTime: 50 * time.Millisecond}
}

// serve serves a stand-in until the test ends.
func serve(t *testing.T, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return nil
}

// address returns an address in the subnet of the fleet.
func (f *fleet) address(octet, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.subnet, octet, port)
}

// publish writes the configuration to the store.
func (f *fleet) publish(t *testing.T) {
	t.Helper()
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": fakeplatform.Host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 20_000, "goalMs": 1000, "service": service, "maxAttempts": 2,
			"resumable": kind == "stream",
		}
	}
	group := groupConfig()
	engine := map[string]any{
		"slots": group.Slots, "sets": group.Sets, "experts": group.Experts, "placements": group.ExpertSlots, "spare": group.SpareExpertSlots, "step_ms": 5.0, "read_per_s": 60_000.0,
	}
	raw, err := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{
			route("calls", "non_idempotent", fakeplatform.RosterService), route("reads", "idempotent", fakeplatform.RosterService),
			route("streams", "stream", fakeplatform.RosterService), route("drafts", "stream", fakeplatform.DraftService),
		},
		"services": []any{map[string]any{"name": fakeplatform.RosterService, "maxConns": 1000}, map[string]any{"name": fakeplatform.DraftService, "maxConns": 500, "engine": engine}},
		"limits":   map[string]int{"maxHeaderBytes": maxHeadBytes, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
		"tenants":  []any{map[string]any{"name": fakeplatform.Organisation, "apiKeys": []string{apiKey}}},
	})
	is.New(t).NoErr(err)
	f.store.Put("keyed.op", "config", raw)
}

// start starts a daemon, whose process is killed when the test ends.
func (f *fleet) start(t *testing.T, role string, octet int, l limits, own map[string]any) *process {
	t.Helper()
	is := is.New(t)
	p := &process{name: role, ip: fmt.Sprintf("%s.%d", f.subnet, octet), limits: l, exited: make(chan struct{})}
	settings := map[string]any{
		"name": fmt.Sprint(role, "-", octet), "zone": "z", "address": p.address(meshPort), "metrics": p.address(metricsPort), "port": meshPort,
		"store": f.address(storeOctet, storePort), "memory_mb": l.memoryMB, "max_descriptors": l.descriptors, "seeds": []string{f.address(entryOctet, meshPort)},
	}
	for name, value := range own {
		settings[name] = value
	}
	raw, err := json.Marshal(settings)
	is.NoErr(err)
	path := filepath.Join(f.dir, role+".jsonc")
	is.NoErr(os.WriteFile(path, raw, 0o600))
	log, err := os.Create(filepath.Join(f.dir, role+".log"))
	is.NoErr(err)
	defer func() { _ = log.Close() }()
	command := exec.Command(program, role, "--settings", path)
	command.Stdout, command.Stderr = log, log
	is.NoErr(command.Start())
	go func() {
		_ = command.Wait() // it is killed, so an exit error is expected
		close(p.exited)
	}()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		p.usage.watch(command.Process, p.exited)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill() // fails if the process has ended already
		<-p.exited
		<-watched
	})
	return p
}

// check checks that the daemons live and have held less than their limits.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	is := is.NewRelaxed(t)
	for _, p := range append([]*process{f.entry}, f.targets...) {
		lives := true
		select {
		case <-p.exited:
			lives = false
		default:
		}
		peakMiB, descriptors := p.usage.peak()
		t.Logf("%s: peak memory %d MiB of %d, %d descriptors of %d, lives: %t", p.name, peakMiB, p.limits.memoryMB, descriptors, p.limits.descriptors, lives)
		is.True(lives)                              // the process lives
		is.True(peakMiB < p.limits.memoryMB)        // its memory stays below the limit
		is.True(descriptors < p.limits.descriptors) // its open descriptors stay below the limit
	}
}
