package main

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
	"sync"
	"syscall"
	"time"
)

// The ports of the roles, the same on each loopback address. Each process has an address of its own.
const (
	portMesh      = 7340
	portReady     = 8220
	portEngine    = 8122
	portStore     = 8223
	portDirectory = 8224
	portCallers   = 8227
	portMetrics   = 9464
)

// The last octets of the addresses: entries from 1, target daemons and their engines from 100, plain
// services from 150.
const (
	octetEntries  = 1
	octetTargets  = 100
	octetServices = 150
	octetStore    = 200
)

// stopTime is graceS of the platform: the time from SIGTERM to SIGKILL.
const stopTime = 8 * time.Second

const (
	host     = "calls.example"
	key      = "k1"
	zone     = "zone-a"
	drafts   = "draft-model"
	bookings = "booking-app"
)

// process is one daemon.
type process struct {
	name, role, ip string
	command        *exec.Cmd
	exited         chan struct{}
}

// fleet holds the stand-ins and the daemons of one run.
type fleet struct {
	program, dir, subnet string
	record               *record
	store                *store

	mu        sync.Mutex
	version   int
	processes []*process
	servers   []*http.Server
	closed    bool
}

// newFleet finds a free network of loopback addresses and starts the store.
func newFleet(program string, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, dir: dir, record: r, store: newStore()}
	for range 20 {
		f.subnet = fmt.Sprintf("127.%d.%d", 70+rand.IntN(50), rand.IntN(256))
		if err = f.serve(f.address(octetStore, portStore), f.store); err == nil {
			return f, nil
		}
	}
	_ = os.RemoveAll(dir)
	return nil, err
}

func (f *fleet) ip(octet int) string { return fmt.Sprintf("%s.%d", f.subnet, octet) }

func (f *fleet) address(octet, port int) string { return fmt.Sprintf("%s:%d", f.ip(octet), port) }

func (f *fleet) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	f.mu.Lock()
	f.servers = append(f.servers, server)
	f.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// publish writes a configuration with a stream route, one for calls that may not be repeated and one for
// reads.
func (f *fleet) publish() error {
	f.version += 3
	route := func(prefix, kind, service string, timeoutMS, goalMS, attempts int) map[string]any {
		return map[string]any{
			"name": "r" + kind, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMS, "goalMs": goalMS, "priority": 1, "service": service, "maxAttempts": attempts,
			"anonymous": false, "sticky": kind == "stream", "resumable": kind == "stream", "gapGoalMs": 120,
		}
	}
	engine := map[string]any{
		"slots": 12, "kvCapacity": 372000, "stride": 5, "step_ms": 5.85, "per_seq_ms": 0.355, "context_per_k": 0.036, "read_per_s": 61200.0, "pairs_per_m": 0.325, "chunk": 512,
		"report_lag_ms": 200.0, "sets": 4, "experts": 72, "placements": 24, "spare": 3, "expertMb": 780.0, "linkMbps": 180000.0, "expertShare": 0.85, "form_ms": 600.0,
	}
	return f.store.put("keyed.op", "config", map[string]any{
		"version": f.version,
		"routes": []any{
			route("/drafts/", "stream", drafts, 8000, 400, 2), route("/bookings/", "non_idempotent", bookings, 800, 100, 1), route("/lookups/", "idempotent", bookings, 800, 100, 2),
		},
		"services": []any{
			map[string]any{"name": drafts, "healthPath": "/health", "maxConns": 940, "protocol": "h1", "tls": false, "engine": engine},
			map[string]any{"name": bookings, "healthPath": "/health", "maxConns": 248, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "t1", "apiKeys": []string{key}, "priority": 1}},
	})
}

// startDaemon starts a daemon as the deploy file says, with the settings of a small deployment.
func (f *fleet) startDaemon(role string, octet int) (*process, error) {
	p := &process{name: fmt.Sprintf("%s-%d", role, octet), role: role, ip: f.ip(octet), exited: make(chan struct{})}
	settings := map[string]any{
		"name": p.name, "zone": zone, "address": f.address(octet, portMesh), "metrics": f.address(octet, portMetrics), "seeds": []string{f.address(octetEntries, 8229)},
		"port": portMesh, "store": f.address(octetStore, portStore), "memory_mb": 206, "link_mbps": 700, "address_ttl_s": 5, "key_bound_ms": 5000, "stop_within_s": stopTime.Seconds(),
		"retry_share": 0.2, "retry_slack": 207,
	}
	if role == "entry" {
		settings["callers"], settings["ready"], settings["directory"] = f.address(octet, portCallers), f.address(octet, portReady), f.address(octet, portDirectory)
	} else {
		settings["engine"], settings["service"], settings["memory_mb"], settings["link_mbps"] = f.address(octet, portEngine), drafts, 152, 20
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.dir, p.name+".jsonc")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, p.name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(f.program, role)
	p.command.Env = []string{"CAMPHORMILL_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.command.Wait()
		close(p.exited)
	}()
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, nil
}

// terminate sends SIGTERM to a daemon, and SIGKILL when the time for a planned stop is over.
func (f *fleet) terminate(p *process) {
	f.record.printf("SIGTERM to %s", p.name)
	_ = p.command.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-p.exited:
			f.record.printf("%s has ended", p.name)
		case <-time.After(stopTime):
			f.record.printf("SIGKILL to %s", p.name)
			_ = p.command.Process.Kill()
		}
	}()
}

// startAll starts the entries and target daemons and waits until all entries are ready and an entry
// knows the group's leader.
func (f *fleet) startAll(entries, targets int) ([]*process, error) {
	var started []*process
	for i := range entries {
		p, err := f.startDaemon("entry", octetEntries+i)
		if err != nil {
			return nil, err
		}
		started = append(started, p)
	}
	for i := range targets {
		if _, err := f.startDaemon("target", octetTargets+i); err != nil {
			return nil, err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, p := range started {
		for !f.ready(p) {
			if time.Now().After(deadline) {
				return nil, fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	const settleTime = 3 * time.Second // the group's leader announces itself
	time.Sleep(settleTime)
	f.record.printf("%d entries and %d target daemons are ready", entries, targets)
	return started, nil
}

func (f *fleet) ready(p *process) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/api/ready", p.ip, portReady), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes that the run has started, by their ids, and removes its files. The logs of
// the daemons are kept if KEEP_LOGS names a folder.
func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.exited
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.dir))
	}
	_ = os.RemoveAll(f.dir)
}
