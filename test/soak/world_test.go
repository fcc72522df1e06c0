package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"knapweedreel/internal/standin/faultproxy"
	"knapweedreel/internal/standin/freeport"
	"knapweedreel/platform/standin"
)

// eventLimit bounds the wait for an event that must come.
const eventLimit = 30 * time.Second

// Sizes of a world.
const (
	instanceCount = 4
	upstreamCount = 3 // of each service
	slots         = 6
	workTime      = 60 * time.Millisecond
)

var regions = []string{"south", "north"}

// world is the platform with the instances on it.
type world struct {
	t         *testing.T
	rand      *rand.Rand
	dir       string
	store     *standin.Store
	server    *httptest.Server
	instances []*instance

	mu        sync.Mutex
	upstreams []*target // also those that have ended
	version   int
	routes    map[string]string // prefix → service, of the configuration in force
	next      int               // number of the next upstream
	events    []string
	began     time.Time
}

// target is an upstream with the proxy before it.
type target struct {
	*standin.Upstream
	proxy   *faultproxy.Proxy
	leaving bool
}

// instance is one process with the proxy between it and the store.
type instance struct {
	name      string
	region    string
	settings  string // path
	entry     string // IP:port
	directory string
	ready     string
	store     *faultproxy.Proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{} // closed when cmd has ended
}

// program builds the program once for all worlds.
var program = sync.OnceValues(func() (string, error) {
	path := filepath.Join(os.TempDir(), fmt.Sprintf("knapweedreel-soak-%d", os.Getpid()))
	out, err := exec.Command("go", "build", "-o", path, "knapweedreel/cmd/knapweedreel").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return path, nil
})

func newWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		t: t, rand: rand.New(rand.NewPCG(seed, 1)), dir: dir, store: standin.NewStore(),
		routes: map[string]string{"/read/": "lookups", "/write/": "orders"}, began: time.Now(),
	}
	w.server = httptest.NewServer(w.store)
	t.Cleanup(w.close)
	w.configure(1)
	for _, service := range []string{"lookups", "orders"} {
		for range upstreamCount {
			w.addUpstream(service)
		}
	}
	for i := range instanceCount {
		w.addInstance(i)
	}
	return w
}

// close ends all that the world has started, and keeps the logs of a failure.
func (w *world) close() {
	for _, i := range w.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		_ = i.store.Close()
	}
	for _, u := range w.upstreams {
		u.Close()
		_ = u.proxy.Close()
	}
	w.server.CloseClientConnections()
	w.server.Close()
	if !w.t.Failed() {
		_ = os.RemoveAll(w.dir)
		return
	}
	w.t.Logf("logs are kept in %s; events:", w.dir)
	for _, e := range w.events {
		w.t.Log(e)
	}
}

// note records an event for the report of a failure.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, fmt.Sprintf("%6.2f s ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

// configure puts the routes in force as a new version, which is higher by step.
func (w *world) configure(step int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += step
	routes := map[string]any{}
	for prefix, service := range w.routes {
		kind := "unsafe"
		if service == "lookups" {
			kind = "safe"
		}
		routes["r"+prefix[1:len(prefix)-1]] = map[string]any{
			"host": "soak.example", "prefix": prefix, "kind": kind, "timeout": "2000ms", "aim": "1000ms",
			"priority": 1, "service": service, "maxAttempts": 2,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": w.version, "routes": routes,
		"services": map[string]any{"lookups": map[string]any{"maxConnections": 330}, "orders": map[string]any{"maxConnections": 330}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("op/config", value)
}

func (w *world) addUpstream(service string) *target {
	w.mu.Lock()
	w.next++
	n := w.next
	w.mu.Unlock()
	zone := regions[n%len(regions)] + "-1"
	u, err := standin.StartUpstream(w.store, fmt.Sprintf("i-%d", n), service, zone, slots, workTime)
	if err != nil {
		w.t.Fatal(err)
	}
	p, err := faultproxy.Start(faultproxy.Config{Network: faultproxy.TCP, Listen: "127.0.0.1:0", Target: u.Address()})
	if err != nil {
		w.t.Fatal(err)
	}
	u.SetAddress(p.Address())
	out := &target{Upstream: u, proxy: p}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstreams = append(w.upstreams, out)
	return out
}

// active returns the upstreams that have not been told to leave.
func (w *world) active() []*target {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*target
	for _, u := range w.upstreams {
		if !u.leaving {
			out = append(out, u)
		}
	}
	return out
}

// freePorts returns loopback addresses that are free now and given to nobody
// else.
func freePorts(t *testing.T, n int) []string {
	t.Helper()
	var out []string
	for range n {
		address, err := freeport.Loopback()
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, address)
	}
	return out
}

func (w *world) addInstance(n int) {
	p, err := faultproxy.Start(faultproxy.Config{Network: faultproxy.TCP, Listen: "127.0.0.1:0", Target: w.server.Listener.Addr().String()})
	if err != nil {
		w.t.Fatal(err)
	}
	ports := freePorts(w.t, 4)
	i := &instance{
		name: fmt.Sprintf("front-%d", n), region: regions[n%len(regions)], entry: ports[0], ready: ports[1], directory: ports[2], store: p,
	}
	i.settings = filepath.Join(w.dir, i.name+".jsonc")
	i.writeSettings(w.t, 1000, ports[3])
	w.instances = append(w.instances, i)
	i.start(w)
}

func (i *instance) writeSettings(t *testing.T, keepMS int, peer string) {
	text, err := json.Marshal(map[string]any{
		"instance": i.name, "region": i.region, "failure_domain": i.region + "-1", "entry_address": i.entry,
		"peer_address": peer, "store_address": i.store.Address(),
		"times": map[string]any{"connect_ms": 400, "keep_ms": keepMS, "drain_ms": 2900, "quiet_limit_ms": 1, "stop_limit_ms": 2650},
		"platform": map[string]any{
			"ready_address": i.ready, "directory_address": i.directory,
			"regions": map[string]string{"south-1": "south", "north-1": "north"}, "retry_share": 0.2, "retry_reserve": 56,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(i.settings, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// start starts the process, whose log goes on in the same file.
func (i *instance) start(w *world) {
	path, err := program()
	if err != nil {
		w.t.Fatal(err)
	}
	out, err := os.OpenFile(filepath.Join(w.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(path, "serve", i.settings)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel ends the process when the test process dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	end := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(end)
	}()
	i.mu.Lock()
	i.cmd, i.end = cmd, end
	i.mu.Unlock()
}

// signal sends a signal to the process, unless it has ended.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.end:
	default:
		_ = i.cmd.Process.Signal(s)
	}
}

// ended returns a channel that is closed when the current process has ended.
func (i *instance) ended() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.end
}

// Guards against two instances that are given the same port, of which the second
// one cannot start: seed 1796398989781745171 failed so.
func TestPortsAreGivenOnce(t *testing.T) {
	given := make(map[string]bool)
	for range 500 {
		for _, address := range freePorts(t, 4) {
			if given[address] {
				t.Fatalf("%s is given twice", address)
			}
			given[address] = true
		}
	}
}
