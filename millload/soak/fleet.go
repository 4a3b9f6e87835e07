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

	"camphormill.dev/standin/faults"
	"camphormill.dev/standin/rack"
)

const (
	meshPort     = 7340
	callersPort  = 8227
	readyPort    = 8220
	namesPort    = 8224
	metricsPort  = 9464
	enginePort   = 8228
	storePort    = 8223
	keyBound     = 5 * time.Second
	stopWithin   = 8 * time.Second
	addressTTL   = 5
	soakMemoryMB = 200
)

// host is one daemon as a process.
type host struct {
	name, ip, role string
	store          *proxy // its own path to the store
	settings       string

	// restarting is held from the end of a process to the start of the next, so
	// that overlapping faults never start two.
	restarting sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// fleet is the stand-ins and the daemons.
type fleet struct {
	config   Config
	net      string // first three parts of the addresses
	store    *rack.Store
	switches *faults.Switches
	book     *rack.Book
	group    *rack.Group
	shape    rack.GroupConfig
	hosts    []*host
	targets  []*proxy // paths to engines and services
	servers  []*http.Server
	version  int64
	routes   int
	keys     []string
	outage   atomic.Bool // the long one

	mu sync.Mutex
}

func (f *fleet) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", f.net, host, port) }

// listen serves a stand-in.
func (f *fleet) listen(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "soak: cannot listen on %s; end the run that uses it", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	return nil
}

func router(routes func(r chi.Router)) http.Handler {
	r := chi.NewRouter()
	routes(r)
	return r
}

// startStandins serves the store, the engines and the plain services. Entries
// reach targets by way of proxies, target daemons reach their engine directly.
func (f *fleet) startStandins() error {
	if err := f.listen(f.address(200, storePort), f.switches.Wrap(router(f.store.Routes))); err != nil {
		return err
	}
	for rank := range f.config.Targets {
		if err := f.listen(f.address(100+rank, enginePort), router(f.group.Routes(rank))); err != nil {
			return err
		}
		if err := f.target(fmt.Sprintf("i-%d", rank), rack.DraftService, 100+rank, enginePort); err != nil {
			return err
		}
	}
	for i := range f.config.Services {
		id := fmt.Sprintf("r-%d", i)
		if err := f.listen(f.address(150+i, enginePort), router(f.book.Service(id, serviceWork, lostPart))); err != nil {
			return err
		}
		if err := f.target(id, rack.RosterService, 150+i, enginePort); err != nil {
			return err
		}
	}
	return nil
}

// target registers a target under a proxied address. The engines' own address is
// what leaders and their target daemons know, so drafts go there directly.
func (f *fleet) target(id, service string, host, port int) error {
	address := f.address(host, port)
	if service == rack.RosterService {
		p, err := newProxy(f.address(host, port+1), address)
		if err != nil {
			return err
		}
		f.targets = append(f.targets, p)
		address = f.address(host, port+1)
	}
	return f.store.Register(id, service, address)
}

// publish writes the next configuration.
func (f *fleet) publish() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += 3
	return f.store.Publish(rack.Publication{Version: f.version, Keys: f.keys, ExtraRoutes: f.routes, Group: f.shape})
}

// addHost prepares a daemon.
func (f *fleet) addHost(role string, number int) error {
	h := &host{name: fmt.Sprint(role, "-", number), role: role, ip: fmt.Sprintf("%s.%d", f.net, number)}
	storeAt := fmt.Sprintf("%s:%d", h.ip, storePort)
	var err error
	if h.store, err = newProxy(storeAt, f.address(200, storePort)); err != nil {
		return errors.Wrap(err, "soak: a path to the store cannot be opened")
	}
	settings := map[string]any{
		"name": h.name, "zone": "z", "address": fmt.Sprintf("%s:%d", h.ip, meshPort), "metrics": fmt.Sprintf("%s:%d", h.ip, metricsPort),
		"port": meshPort, "store": storeAt, "memory_mb": soakMemoryMB, "address_ttl_s": addressTTL, "key_bound_ms": keyBound.Milliseconds(),
		"stop_within_s": stopWithin.Seconds(), "retry_share": 0.2, "retry_slack": 200, "seeds": []string{f.address(1, 1)},
	}
	if role == "entry" {
		settings["callers"] = fmt.Sprintf("%s:%d", h.ip, callersPort)
		settings["ready"] = fmt.Sprintf("%s:%d", h.ip, readyPort)
		settings["directory"] = fmt.Sprintf("%s:%d", h.ip, namesPort)
	} else {
		settings["engine"] = fmt.Sprintf("%s:%d", h.ip, enginePort)
		settings["service"] = rack.DraftService
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	h.settings = filepath.Join(f.config.Work, h.name+".jsonc")
	f.hosts = append(f.hosts, h)
	return os.WriteFile(h.settings, raw, 0o600)
}

// start starts the daemon's process; its log goes on in one file.
func (f *fleet) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(f.config.Work, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(f.config.Program, h.role, "--settings", h.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "soak: %s cannot be started; build it first", f.config.Program)
	}
	exited := make(chan struct{})
	h.command, h.exited = command, exited
	go func() {
		_ = command.Wait() // a killed process is no error here
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that was started last, by its id.
func (h *host) signal(s syscall.Signal) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil && h.command.Process != nil {
		_ = h.command.Process.Signal(s) // it may have ended by itself
	}
	return h.exited
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.signal(syscall.SIGCONT)
		exited := h.signal(syscall.SIGKILL)
		if exited != nil {
			<-exited
		}
		h.store.close()
	}
	for _, p := range f.targets {
		p.close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// settled waits until every entry is ready.
func (f *fleet) settled(ctx context.Context) bool {
	for ctx.Err() == nil {
		ready := 0
		for _, h := range f.hosts {
			if h.role != "entry" {
				continue
			}
			if rack.IsReady(ctx, http.DefaultClient, fmt.Sprintf("%s:%d", h.ip, readyPort)) {
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
