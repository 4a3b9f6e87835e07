package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"camphormill.dev/standin/fakeplatform"
	"camphormill.dev/standin/faults"
)

const (
	meshPort      = 7340
	callersPort   = 8227
	readyPort     = 8220
	directoryPort = 8224
	metricsPort   = 9464
	enginePort    = 8228
	storePort     = 8223
	// maxRevocationDelay bounds how long a revoked key may still be accepted.
	maxRevocationDelay = 5 * time.Second
	stopTimeout        = 8 * time.Second
	addressTTLSeconds  = 5
	daemonMemoryMB     = 200
)

// host is one daemon that runs as a process with an address of its own.
type host struct {
	name, ip, role string
	storeLink      *proxy // link from this daemon to the store
	settingsPath   string

	// restarting is held from the signal that ends a process to the start of the next
	// one, so that overlapping faults never start two processes. It is locked before mu.
	restarting sync.Mutex

	mu      sync.Mutex // guards the fields below
	command *exec.Cmd
	exited  chan struct{} // closed when the process has ended
}

// fleet holds the stand-ins and the daemons of one run.
type fleet struct {
	config      Config
	subnet      string // first three octets of the addresses, such as 127.77.0
	store       *fakeplatform.Store
	storeFaults *faults.Injector
	executions  *fakeplatform.Recorder
	group       *fakeplatform.Group
	groupConfig fakeplatform.GroupConfig
	hosts       []*host
	targetLinks []*proxy // links from entries to plain services
	servers     []*http.Server
	version     int64
	extraRoutes int
	keys        []string
	longOutage  atomic.Bool // whether the long outage of the store lasts

	mu sync.Mutex // guards version, extraRoutes and keys
}

// address returns an address in the subnet of the run. last is its last octet: 1 and up for
// entries, 100 + rank for a target daemon and the engine of its rank, 150 and up for plain
// services, and 200 for the store.
func (f *fleet) address(last, port int) string { return fmt.Sprintf("%s.%d:%d", f.subnet, last, port) }

// serve starts an HTTP server for a stand-in. It fails if it cannot listen on the address;
// close ends the server.
func (f *fleet) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "soak: cannot listen on %s; end the run that uses the address or choose another --net", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return nil
}

func router(routes func(r chi.Router)) http.Handler {
	r := chi.NewRouter()
	routes(r)
	return r
}

// startStandins serves the store, the engines and the plain services. Plain services have
// no target daemon; entries reach them by way of proxies. Target daemons reach their engine
// directly.
func (f *fleet) startStandins() error {
	if err := f.serve(f.address(200, storePort), f.storeFaults.Wrap(router(f.store.Routes))); err != nil {
		return err
	}
	for rank := range f.config.Targets {
		if err := f.serve(f.address(100+rank, enginePort), router(f.group.Routes(rank))); err != nil {
			return err
		}
		if err := f.registerTarget(fmt.Sprintf("i-%d", rank), fakeplatform.DraftService, 100+rank, enginePort); err != nil {
			return err
		}
	}
	for i := range f.config.Services {
		id := fmt.Sprintf("r-%d", i)
		if err := f.serve(f.address(150+i, enginePort), router(f.executions.ServiceRoutes(id, serviceTime, lostAnswerShare))); err != nil {
			return err
		}
		if err := f.registerTarget(id, fakeplatform.RosterService, 150+i, enginePort); err != nil {
			return err
		}
	}
	return nil
}

// targetIDs returns the IDs of all registered targets.
func (f *fleet) targetIDs() []string {
	var ids []string
	for rank := range f.config.Targets {
		ids = append(ids, fmt.Sprintf("i-%d", rank))
	}
	for i := range f.config.Services {
		ids = append(ids, fmt.Sprintf("r-%d", i))
	}
	return ids
}

// registerTarget registers a target in the store. A plain service is registered under
// the address of a proxy in front of it, on the next port. An engine is registered under
// its own address, which target daemons use, also the one that leads the group, so drafts
// reach it without a proxy.
func (f *fleet) registerTarget(id, service string, octet, port int) error {
	address := f.address(octet, port)
	if service == fakeplatform.RosterService {
		p, err := newProxy(f.address(octet, port+1), address)
		if err != nil {
			return err
		}
		f.targetLinks = append(f.targetLinks, p)
		address = f.address(octet, port+1)
	}
	return f.store.Register(id, service, address)
}

// publish writes the configuration with the current keys and routes to the store,
// under a higher version. It calls the store in process, so it works during store faults
// too. It locks f.mu.
func (f *fleet) publish() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += 3
	return f.store.Publish(fakeplatform.Publication{Version: f.version, Keys: f.keys, ExtraRoutes: f.extraRoutes, Group: f.groupConfig})
}

// addHost opens the store link of a daemon, writes its settings and appends it to f.hosts.
// role is "entry" or "target", octet the last octet of the address. The daemon runs only
// once start is called.
func (f *fleet) addHost(role string, octet int) error {
	h := &host{name: fmt.Sprint(role, "-", octet), role: role, ip: fmt.Sprintf("%s.%d", f.subnet, octet)}
	storeAddress := fmt.Sprintf("%s:%d", h.ip, storePort)
	var err error
	if h.storeLink, err = newProxy(storeAddress, f.address(200, storePort)); err != nil {
		return errors.Wrap(err, "soak: the proxy in front of the store cannot listen")
	}
	// Of the seeds only the host part is used, so their port 1 has no meaning.
	settings := map[string]any{
		"name": h.name, "zone": "z", "address": fmt.Sprintf("%s:%d", h.ip, meshPort), "metrics": fmt.Sprintf("%s:%d", h.ip, metricsPort),
		"port": meshPort, "store": storeAddress, "memory_mb": daemonMemoryMB, "address_ttl_s": addressTTLSeconds, "key_bound_ms": maxRevocationDelay.Milliseconds(),
		"stop_within_s": stopTimeout.Seconds(), "retry_share": 0.2, "retry_slack": 200, "seeds": []string{f.address(1, 1)},
	}
	if role == "entry" {
		settings["callers"] = fmt.Sprintf("%s:%d", h.ip, callersPort)
		settings["ready"] = fmt.Sprintf("%s:%d", h.ip, readyPort)
		settings["directory"] = fmt.Sprintf("%s:%d", h.ip, directoryPort)
	} else {
		settings["engine"] = fmt.Sprintf("%s:%d", h.ip, enginePort)
		settings["service"] = fakeplatform.DraftService
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	h.settingsPath = filepath.Join(f.config.WorkDir, h.name+".jsonc")
	f.hosts = append(f.hosts, h)
	return os.WriteFile(h.settingsPath, raw, 0o600)
}

// start starts the process of the daemon. All processes of a daemon append to one log
// file.
func (f *fleet) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(f.config.WorkDir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(f.config.Program, h.role, "--settings", h.settingsPath)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "soak: %s cannot be started; build it with scripts/build.sh", f.config.Program)
	}
	exited := make(chan struct{})
	h.command, h.exited = command, exited
	go func() {
		_ = command.Wait() // faults kill processes, so an exit error is expected
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of the daemon that was started last. It returns
// the channel that is closed when this process has ended, or nil if none was started.
func (h *host) signal(s syscall.Signal) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil && h.command.Process != nil {
		_ = h.command.Process.Signal(s) // fails if the process has already ended
	}
	return h.exited
}

// close kills the daemons one by one, waits for their end, and closes the links and the
// servers of the stand-ins. SIGCONT first resumes daemons that a fault has frozen.
func (f *fleet) close() {
	for _, h := range f.hosts {
		h.signal(syscall.SIGCONT)
		exited := h.signal(syscall.SIGKILL)
		if exited != nil {
			<-exited
		}
		h.storeLink.close()
	}
	for _, p := range f.targetLinks {
		p.close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// waitReady waits until every entry is ready and returns false if ctx ends before.
func (f *fleet) waitReady(ctx context.Context) bool {
	for ctx.Err() == nil {
		ready := 0
		for _, h := range f.hosts {
			if h.role != "entry" {
				continue
			}
			if fakeplatform.IsReady(ctx, http.DefaultClient, fmt.Sprintf("%s:%d", h.ip, readyPort)) {
				ready++
			}
		}
		if ready == f.config.Entries {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
