//go:build crowd

package crowd

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"camphormill.dev/parts/contract"
	"camphormill.dev/parts/link"
)

// The settings that the daemons under test get, and the size of the crowds. Both are fixed.
const (
	ownMemoryMB       = 96
	ownMaxDescriptors = 512
	ownBodyBytes      = 1 << 20 // the largest body that an entry accepts
	ownBodies         = 300     // connections that send bodies or messages
	ownConnections    = 800     // connections that send little or nothing
)

const (
	ownKey      = "key-of-the-crowd"
	ownService  = "roster-app"
	ownCallPath = "/v1/services/" + ownService + "/confirmations/"
	// ownSendTime bounds how long a member of a crowd tries to send.
	ownSendTime = 10 * time.Second
	// ownPatience bounds how long an ordinary caller tries again.
	ownPatience = 60 * time.Second
)

// ownFleet is one entryd and one targetd, with the stand-ins that they need.
type ownFleet struct {
	entry, target                    *ownProcess
	callers, entryLink, entryOps     string
	targetLink, targetOps, logServer string
	effects                          string
	ordinary                         atomic.Int64
}

var ownBuild = sync.OnceValue(func() error {
	build := exec.Command("go", "build", "-o", "bin/", "./entryd", "./standin", "./targetd")
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
})

// newOwnFleet starts the processes and returns when a request has been answered.
func newOwnFleet(t *testing.T) *ownFleet {
	t.Helper()
	is := is.New(t)
	is.NoErr(ownBuild())
	folder := t.TempDir()
	out, err := exec.Command("../../bin/standin", "ports", "--count", "8").Output()
	is.NoErr(err)
	ports := strings.Fields(string(out))
	f := &ownFleet{
		callers: ports[0], entryLink: ports[1], entryOps: ports[2], targetLink: ports[3], targetOps: ports[4],
		logServer: ports[5], effects: ports[7],
	}
	hosts := filepath.Join(folder, "hosts.json")
	is.NoErr(os.WriteFile(hosts, fmt.Appendf(nil,
		`{"hosts": [{"name": "target", "role": "target", "address": %q, "zone": "a", "serves": %q},
		            {"name": "entry", "role": "entry", "address": %q, "zone": "a"}]}`, f.targetLink, ownService, f.entryLink), 0o600))
	startOwn(t, "log", "standin", "log", "--listen", f.logServer)
	startOwn(t, "hosts", "standin", "hosts", "--listen", ports[6], "--file", hosts, "--lag", "0s")
	startOwn(t, "service", "standin", "service", "--listen", f.effects)
	secret := base64.StdEncoding.EncodeToString([]byte("only for tests on loopback"))
	limits := fmt.Sprintf(`"memory_mb": %d, "max_descriptors": %d`, ownMemoryMB, ownMaxDescriptors)
	targetSettings := filepath.Join(folder, "target.jsonc")
	is.NoErr(os.WriteFile(targetSettings, fmt.Appendf(nil,
		`{"name": "target", "zone": "a", "kind": "service", "serves": %q, "version": "v1", "link": %q, "operations": %q,
		  "backend": "http://%s", "capacity": 24, "reservation_keys": [%q], %s}`,
		ownService, f.targetLink, f.targetOps, f.effects, secret, limits), 0o600))
	f.target = startOwn(t, "targetd", "targetd", "run", "--settings", targetSettings)
	key := sha256.Sum256([]byte(ownKey))
	entrySettings := filepath.Join(folder, "entry.jsonc")
	is.NoErr(os.WriteFile(entrySettings, fmt.Appendf(nil,
		`{"name": "entry", "zone": "a", "callers": %q, "public_url": "http://%s", "link": %q, "operations": %q,
		  "platform_log": "http://%s", "platform_hosts": "http://%s", "host_list_every": "200ms", "address_ttl": "1s",
		  "reservation_keys": [%q], "organisations": [{"name": "crowd", "key_sha256": %q}], %s}`,
		f.callers, f.callers, f.entryLink, f.entryOps, f.logServer, ports[6], secret, hex.EncodeToString(key[:]), limits), 0o600))
	f.entry = startOwn(t, "entryd", "entryd", "run", "--settings", entrySettings)
	f.serveOrdinary(t)
	return f
}

// serveOrdinary fails the test unless each door still serves an ordinary client.
func (f *ownFleet) serveOrdinary(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: ownSendTime, Transport: &http.Transport{DisableKeepAlives: true}}
	ownRetry(t, "a call of the service", func() error {
		id := "ordinary-" + strconv.FormatInt(f.ordinary.Add(1), 10)
		req, err := http.NewRequest(http.MethodPost, "http://"+f.callers+ownCallPath+id, strings.NewReader("{}"))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+ownKey)
		return ownDo(client, req)
	})
	for _, address := range []string{f.entryOps, f.targetOps} {
		ownRetry(t, "a request of the operator", func() error {
			req, err := http.NewRequest(http.MethodGet, "http://"+address+"/healthz", nil)
			if err != nil {
				return err
			}
			return ownDo(client, req)
		})
	}
	ownRetry(t, "a message to the entry", func() error {
		return ownCallLink(f.entryLink, contract.MethodConfiguration, contract.ConfigurationRequest{})
	})
	ownRetry(t, "a message to the target", func() error {
		return ownCallLink(f.targetLink, contract.MethodHello, contract.HelloRequest{Entry: "another"})
	})
}

// withstand runs the checks while a crowd holds on and after it has gone.
func (f *ownFleet) withstand(t *testing.T, c *ownCrowd) {
	t.Helper()
	f.serveOrdinary(t)
	f.entry.countDescriptors()
	f.target.countDescriptors()
	c.close()
	f.serveOrdinary(t)
	f.entry.check(t)
	f.target.check(t)
}

// effectsOf returns how often each call has taken effect.
func (f *ownFleet) effectsOf(t *testing.T) map[string]int {
	t.Helper()
	is := is.New(t)
	resp, err := http.Get("http://" + f.effects + "/effects")
	is.NoErr(err)
	defer resp.Body.Close()
	var effects map[string]int
	is.NoErr(json.NewDecoder(resp.Body).Decode(&effects))
	return effects
}

func ownRetry(t *testing.T, what string, try func() error) {
	t.Helper()
	var err error
	for until := time.Now().Add(ownPatience); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if err = try(); err == nil {
			return
		}
	}
	t.Errorf("%s was not answered; last: %v", what, err)
}

func ownDo(client *http.Client, req *http.Request) error {
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return err
}

func ownCallLink(address, method string, params any) error {
	raw, err := net.DialTimeout("tcp", address, ownSendTime)
	if err != nil {
		return err
	}
	conn := link.NewConn(raw, nil)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), ownSendTime)
	defer cancel()
	return conn.Call(ctx, method, params, nil)
}

// ownProcess is a process under test.
type ownProcess struct {
	name        string
	pid         int
	ended       chan struct{}
	descriptors atomic.Int64 // most that were open at once
}

func startOwn(t *testing.T, name, program string, args ...string) *ownProcess {
	t.Helper()
	cmd := exec.Command("../../bin/"+program, args...)
	var log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &log, &log
	is.New(t).NoErr(cmd.Start())
	p := &ownProcess{name: name, pid: cmd.Process.Pid, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	go p.watchDescriptors()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			lines := strings.Split(strings.TrimSpace(log.String()), "\n")
			t.Logf("last lines of %s: %s", name, strings.Join(lines[max(0, len(lines)-5):], "\n"))
		}
	})
	return p
}

func (p *ownProcess) watchDescriptors() {
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		p.countDescriptors()
	}
}

func (p *ownProcess) countDescriptors() {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	for old := p.descriptors.Load(); err == nil && int64(len(open)) > old; old = p.descriptors.Load() {
		p.descriptors.CompareAndSwap(old, int64(len(open)))
	}
}

// check fails the test if the process has ended or was ever beyond its settings.
func (p *ownProcess) check(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		t.Errorf("%s has ended", p.name)
		return
	default:
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	is.New(t).NoErr(err)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kib, err := strconv.Atoi(strings.Fields(rest)[0])
	is.New(t).NoErr(err)
	t.Logf("%s: VmHWM %d MiB, %d descriptors", p.name, kib>>10, p.descriptors.Load())
	if kib >= ownMemoryMB<<10 {
		t.Errorf("%s held %d MiB; memory_mb is %d", p.name, kib>>10, ownMemoryMB)
	}
	if p.descriptors.Load() >= ownMaxDescriptors {
		t.Errorf("%s had %d descriptors open; max_descriptors is %d", p.name, p.descriptors.Load(), ownMaxDescriptors)
	}
}

// ownCrowd is a number of connections that stay open.
type ownCrowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// newOwnCrowd opens the connections, lets each send, and returns when all have sent or given up.
func newOwnCrowd(address string, size int, send func(i int, conn net.Conn)) *ownCrowd {
	c := &ownCrowd{}
	var wg sync.WaitGroup
	for i := range size {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, ownSendTime)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(ownSendTime))
			send(i, conn)
		})
	}
	wg.Wait()
	return c
}

func (c *ownCrowd) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
