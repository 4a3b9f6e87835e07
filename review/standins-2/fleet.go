package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of every host, which has a loopback address of its own.
const (
	meshPort      = 7340
	serverPort    = 8228
	callersPort   = 8227
	readyPort     = 8220
	directoryPort = 8224
	metricsPort   = 9464
	storePort     = 8223
)

// The bounds of the small deployment.
const (
	revokeTime    = 5 * time.Second
	graceTime     = 8 * time.Second
	drainTime     = 2 * time.Second
	heartbeatTime = 1200 * time.Millisecond
)

// run holds what one run of a case uses.
type run struct {
	trouble bool
	dir     string // of the case
	work    string // temporary
	program string // of the daemons
	subnet  string
	store   *store
	started time.Time
	idle    []net.Conn // channels that nothing is sent on
	http    *http.Server

	mu        sync.Mutex
	record    *os.File
	processes []*process
	runs      map[string][]serverEvent // by attempt id
}

// process is a program that the run started.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// serverEvent is a line that a server process writes.
type serverEvent struct {
	At      time.Time `json:"at"`
	Server  string    `json:"server"`
	Kind    string    `json:"kind"`
	Attempt string    `json:"attempt,omitempty"`
	Tenant  string    `json:"tenant,omitempty"`
	Of      int       `json:"of,omitempty"`
	Made    int       `json:"made,omitempty"`
}

func newRun(trouble bool, dir, program string) (*run, error) {
	work, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, dir: dir, work: work, program: program, store: newStore(), started: time.Now(), record: record, runs: map[string][]serverEvent{}}
	for n := range 100 {
		r.subnet = fmt.Sprintf("127.%d.%d", 90+n, os.Getpid()%250)
		listener, err := net.Listen("tcp", r.address(250, storePort))
		if err != nil {
			continue
		}
		r.http = &http.Server{Handler: r.store}
		go func() { _ = r.http.Serve(listener) }()
		return r, nil
	}
	return nil, fmt.Errorf("no free loopback address for the store")
}

func (r *run) address(host, port int) string { return fmt.Sprintf("%s.%d:%d", r.subnet, host, port) }

// logf writes a line to the record.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f s  ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.record, line)
	fmt.Println(line)
}

// startEntry starts an entry daemon on a host, as the deploy file does.
func (r *run) startEntry(host int) (*process, error) {
	name, ip := fmt.Sprintf("front-z-a-%d", host), fmt.Sprintf("%s.%d", r.subnet, host)
	return r.startDaemon("entry", name, ip, map[string]any{
		"callers": fmt.Sprintf("%s:%d", ip, callersPort), "ready": fmt.Sprintf("%s:%d", ip, readyPort), "directory": fmt.Sprintf("%s:%d", ip, directoryPort),
		"engine": "", "service": "", "memory_mb": 206, "max_descriptors": 2870, "link_mbps": 700.0,
	})
}

// startTarget starts the daemon beside an engine on the engine's host, as the deploy file does.
func (r *run) startTarget(host int, service string) (*process, error) {
	name, ip := fmt.Sprintf("side-z-a-%d", host), fmt.Sprintf("%s.%d", r.subnet, host)
	return r.startDaemon("target", name, ip, map[string]any{
		"callers": "", "ready": "", "directory": "", "engine": r.address(host, serverPort), "service": service,
		"memory_mb": 152, "max_descriptors": 2048, "link_mbps": 20.0,
	})
}

func (r *run) startDaemon(role, name, ip string, own map[string]any) (*process, error) {
	settings := map[string]any{
		"name": name, "zone": "z-a", "address": fmt.Sprintf("%s:%d", ip, meshPort), "metrics": fmt.Sprintf("%s:%d", ip, metricsPort),
		"seeds": []string{r.address(1, 8229), r.address(2, 8229), r.address(3, 8229)}, "port": meshPort,
		"store": r.address(250, storePort), "address_ttl_s": 5,
		"key_bound_ms": revokeTime.Milliseconds(), "stop_within_s": graceTime.Seconds(), "admission": map[string]any{"by_priority": true, "minimum_share": 0.1},
		"retry_share": 0.2, "retry_window_s": 10, "retry_slack": 207,
	}
	maps.Copy(settings, own)
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.work, name+".conf")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(r.work, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command := exec.Command(r.program, role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAMPHORMILL_CONFIG=" + path}
	command.Stdout, command.Stderr = log, log
	return r.start(name, command, log)
}

// startServer starts a server process, which writes a line for each request that it begins and ends.
func (r *run) startServer(id string, host int, args ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	command := exec.Command(self, append([]string{"server", "-id", id, "-listen", r.address(host, serverPort)}, args...)...)
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	command.Stderr = os.Stderr
	p, err := r.start(id, command, nil)
	if err != nil {
		return nil, err
	}
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var e serverEvent
			if json.Unmarshal(lines.Bytes(), &e) != nil {
				continue
			}
			r.mu.Lock()
			r.runs[e.Attempt] = append(r.runs[e.Attempt], e)
			r.mu.Unlock()
			r.logf("server %s: %s", id, strings.TrimSpace(lines.Text()))
		}
	}()
	return p, nil
}

func (r *run) start(name string, command *exec.Cmd, log *os.File) (*process, error) {
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, command: command, ended: make(chan struct{})}
	go func() {
		state, _ := command.Process.Wait()
		if log != nil {
			_ = log.Close()
		}
		r.logf("process %s ended: %v", name, state)
		close(p.ended)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.logf("process %s started", name)
	return p, nil
}

// register writes the entry of a server into the store, as the server does.
func (r *run) register(id, service string, host int, state string, born time.Time, seq int) {
	r.store.put("keyed.servers", id, map[string]any{
		"service": service, "address": r.address(host, serverPort), "zone": "z-a", "version": "1", "slots": 6, "state": state,
		"coldLeftMs": 0, "seq": seq, "born": born.UnixMilli(),
	})
}

// registration is a server that writes its entry at each heartbeat until it is stopped.
type registration struct {
	mu    sync.Mutex
	state string
	ended bool
	write func(state string)
}

func (r *run) keepRegistered(id, service string, host int) *registration {
	born, seq := time.Now(), 0
	g := &registration{state: "ready"}
	g.write = func(state string) {
		seq++
		r.register(id, service, host, state, born, seq)
	}
	g.write("ready")
	go func() {
		for {
			time.Sleep(heartbeatTime)
			g.mu.Lock()
			if g.ended {
				g.mu.Unlock()
				return
			}
			g.write(g.state)
			g.mu.Unlock()
		}
	}()
	return g
}

// set changes the state and writes it at once.
func (g *registration) set(state string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = state
	g.write(state)
}

// end ends the heartbeats.
func (g *registration) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
}

// awaitReady waits until the entries on the hosts are ready.
func (r *run) awaitReady(hosts ...int) error {
	deadline := time.Now().Add(20 * time.Second)
	for _, host := range hosts {
		for {
			if time.Now().After(deadline) {
				return fmt.Errorf("the entry on host %d did not become ready", host)
			}
			response, err := http.Get("http://" + r.address(host, readyPort) + "/api/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes that the run started.
func (r *run) close() {
	r.mu.Lock()
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.ended
	}
	_ = r.http.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.work)
	} else {
		fmt.Println("logs in", r.work)
	}
	_ = r.record.Close()
}
