package crowd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"knapweedreel/internal/standin/freeport"
	"knapweedreel/platform/standin"
)

// waitTimeout limits how long a test waits for an event. It only ends a test that
// would hang otherwise.
const waitTimeout = 15 * time.Second

// memoryMB is the memory of the instance's machine. The smallest machine of the
// platform's users has 136 MB; less memory needs a smaller crowd.
const memoryMB = 64

const host = "crowd.example"

// Services of the tests. Each has a route whose prefix is its name.
const (
	crowdService = "uploads"
	otherService = "other"
)

// process is an instance process with its store and upstreams.
type process struct {
	t         *testing.T
	store     *standin.Store
	entry     string // IP:port
	ready     string
	directory string
	peer      string
	cmd       *exec.Cmd
	exited    chan struct{} // closed when cmd has exited
	descPeak  atomic.Int64  // most open descriptors seen
	logFile   string
	sampling  chan struct{} // closed to end the samples
	upstreams []*standin.Upstream
}

var buildBinary = sync.OnceValues(func() (string, error) {
	path := filepath.Join(os.TempDir(), fmt.Sprintf("knapweedreel-crowd-%d", os.Getpid()))
	out, err := exec.Command("go", "build", "-o", path, "knapweedreel/cmd/knapweedreel").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return path, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildBinary(); err == nil {
		_ = os.Remove(path)
	}
	os.Exit(code)
}

// startProcess starts an instance with the given number of descriptors and waits
// until it is ready.
func startProcess(t *testing.T, descriptors int) *process {
	t.Helper()
	p := &process{t: t, store: standin.NewStore(), exited: make(chan struct{}), sampling: make(chan struct{})}
	storeServer := httptest.NewServer(p.store)
	t.Cleanup(func() {
		storeServer.CloseClientConnections()
		storeServer.Close()
	})
	p.putConfiguration()
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeport.Loopback(); err != nil {
			t.Fatal(err)
		}
	}
	p.entry, p.ready = addresses[0], addresses[1]
	p.peer, p.directory = addresses[2], addresses[3]
	dir := t.TempDir()
	settings := filepath.Join(dir, "settings.jsonc")
	text, err := json.Marshal(map[string]any{
		"instance": "front", "region": "south", "failure_domain": "south-1", "entry_address": p.entry,
		"peer_address": addresses[2], "store_address": storeServer.Listener.Addr().String(),
		// As in deploy/settings.jsonc.
		"limits": map[string]any{"header_bytes": 131072, "buffered_body_bytes": 524288, "explanations": 128},
		"times":  map[string]any{"connect_ms": 400, "keep_ms": 1000, "drain_ms": 2900, "quiet_limit_ms": 1, "stop_limit_ms": 2650},
		"platform": map[string]any{
			"ready_address": p.ready, "directory_address": addresses[3], "regions": map[string]string{"south-1": "south"},
			"memory_mb": memoryMB, "descriptors": descriptors, "retry_share": 0.2, "retry_reserve": 56,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p.logFile = filepath.Join(dir, "front.log")
	p.start(settings)
	eventually(t, "the instance is ready", func() bool {
		resp, err := http.Get("http://" + p.ready + "/knapweedreel/readiness")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return p
}

// start starts the process and the samples of its descriptors.
func (p *process) start(settings string) {
	path, err := buildBinary()
	if err != nil {
		p.t.Fatal(err)
	}
	out, err := os.Create(p.logFile)
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(path, "serve", settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The kernel kills the process when the test process dies.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		p.sampleDescriptors()
	}()
	p.t.Cleanup(func() {
		close(p.sampling)
		<-sampled
		_ = p.cmd.Process.Kill()
		<-p.exited
		for _, u := range p.upstreams {
			u.Close()
		}
	})
}

// sampleDescriptors records the peak of open descriptors.
func (p *process) sampleDescriptors() {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-p.sampling:
			return
		case <-tick.C:
		}
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)); err == nil {
			p.descPeak.Store(max(p.descPeak.Load(), int64(len(entries))))
		}
	}
}

func (p *process) putConfiguration() {
	routes, services := map[string]any{}, map[string]any{}
	for _, service := range []string{crowdService, otherService} {
		services[service] = map[string]any{"maxConnections": 330}
		routes[service] = map[string]any{
			"host": host, "prefix": "/" + service + "/", "kind": "unsafe", "timeout": "20000ms", "aim": "10000ms",
			"priority": 1, "service": service, "maxAttempts": 2,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	if err != nil {
		p.t.Fatal(err)
	}
	p.store.Put("op/config", value)
}

// addUpstream starts an upstream and returns it.
func (p *process) addUpstream(service string, slots int, work time.Duration) *standin.Upstream {
	u, err := standin.StartUpstream(p.store, fmt.Sprint("u-", len(p.upstreams)), service, "south-1", slots, work)
	if err != nil {
		p.t.Fatal(err)
	}
	p.upstreams = append(p.upstreams, u)
	return u
}

// memoryPeak returns the peak of the process's memory in bytes.
func (p *process) memoryPeak() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			if err != nil {
				p.t.Fatal(err)
			}
			return kb << 10
		}
	}
	p.t.Fatal("no peak of the memory")
	return 0
}

// check fails the test if the process has ended or exceeds the bounds. heldBytes
// is what it keeps outside its own memory, as far as the test knows.
func (p *process) check(descriptors int, heldBytes int64) {
	p.t.Helper()
	select {
	case <-p.exited:
		log, _ := os.ReadFile(p.logFile)
		p.t.Fatalf("the process has ended:\n%s", log[max(0, len(log)-4096):])
	default:
	}
	peak := p.memoryPeak()
	p.t.Logf("peak of the memory %d KiB, held in sockets %d KiB, %d descriptors", peak>>10, heldBytes>>10, p.descPeak.Load())
	if peak+heldBytes > memoryMB<<20 {
		p.t.Errorf("the process uses %d KiB and %d KiB in sockets, the machine has %d", peak>>10, heldBytes>>10, memoryMB<<10)
	}
	if n := p.descPeak.Load(); n > int64(descriptors) {
		p.t.Errorf("%d open descriptors, %d allowed", n, descriptors)
	}
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	limit := time.After(waitTimeout)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-limit:
			t.Fatalf("not reached in time: %s", what)
		case <-tick.C:
		}
	}
}
