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

// waitTimeout limits how long a test waits for an event.
const waitTimeout = 30 * time.Second

// Sizes of a fleet.
const (
	instanceCount = 4
	upstreamCount = 3 // of each service
	slots         = 6
	workTime      = 60 * time.Millisecond
)

var regions = []string{"south", "north"}

// fleet is a stand-in platform with the instances that run on it.
type fleet struct {
	t           *testing.T
	rng         *rand.Rand
	dir         string
	store       *standin.Store
	storeServer *httptest.Server
	instances   []*instance

	mu           sync.Mutex
	upstreams    []*proxiedUpstream // including those that have left
	version      int
	routes       map[string]string // prefix → service, in the current configuration
	maxAttempts  int               // of each route
	timeout      time.Duration     // of each route; its latency objective is half of it
	lastUpstream int               // number of the last upstream
	accounts     testAccounts      // nil for none
	limits       map[string]limit  // of accounts
	events       []string
	started      time.Time
}

// proxiedUpstream is an upstream behind a fault proxy.
type proxiedUpstream struct {
	*standin.Upstream
	proxy   *faultproxy.Proxy
	leaving bool
}

// instance is an instance process with a fault proxy between it and the store.
type instance struct {
	name       string
	region     string
	settings   string // path
	entry      string // IP:port
	directory  string
	ready      string
	storeProxy *faultproxy.Proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed when cmd has exited
}

// buildBinary builds the binary on its first call and returns the path.
var buildBinary = sync.OnceValues(func() (string, error) {
	path := filepath.Join(os.TempDir(), fmt.Sprintf("knapweedreel-soak-%d", os.Getpid()))
	out, err := exec.Command("go", "build", "-o", path, "knapweedreel/cmd/knapweedreel").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return path, nil
})

// newFleet starts a fleet without client accounts.
func newFleet(t *testing.T, seed uint64) *fleet {
	t.Helper()
	return newFleetWith(t, seed, nil)
}

func newFleetWith(t *testing.T, seed uint64, accounts testAccounts) *fleet {
	t.Helper()
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), dir: dir, store: standin.NewStore(),
		routes: map[string]string{"/read/": "lookups", "/write/": "orders"}, maxAttempts: 2, timeout: routeTimeout, accounts: accounts, started: time.Now(),
	}
	f.store.SetEra(1)
	f.storeServer = httptest.NewServer(f.store)
	t.Cleanup(f.close)
	f.putConfiguration(1)
	for _, service := range []string{"lookups", "orders"} {
		for range upstreamCount {
			f.addUpstream(service)
		}
	}
	for i := range instanceCount {
		f.addInstance(i)
	}
	return f
}

// close stops everything that the fleet has started. It keeps the logs if the
// test failed.
func (f *fleet) close() {
	for _, i := range f.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		_ = i.storeProxy.Close()
	}
	for _, u := range f.upstreams {
		u.Close()
		_ = u.proxy.Close()
	}
	f.storeServer.CloseClientConnections()
	f.storeServer.Close()
	if !f.t.Failed() {
		_ = os.RemoveAll(f.dir)
		return
	}
	f.t.Logf("logs are in %s; events:", f.dir)
	for _, e := range f.events {
		f.t.Log(e)
	}
}

// logEvent records an event. The events are logged if the test fails.
func (f *fleet) logEvent(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, fmt.Sprintf("%6.2f s ", time.Since(f.started).Seconds())+fmt.Sprintf(format, args...))
}

// putConfiguration writes a configuration with the current routes and a version
// that is higher by step.
func (f *fleet) putConfiguration(step int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += step
	routes, services := map[string]any{}, map[string]any{}
	for prefix, service := range f.routes {
		services[service] = map[string]any{"maxConnections": 330}
		kind := "unsafe"
		if service == "lookups" {
			kind = "safe"
		}
		routes["r"+prefix[1:len(prefix)-1]] = map[string]any{
			"host": "soak.example", "prefix": prefix, "kind": kind, "timeout": fmt.Sprint(f.timeout.Milliseconds(), "ms"), "aim": fmt.Sprint(f.timeout.Milliseconds()/2, "ms"),
			"priority": 1, "service": service, "maxAttempts": f.maxAttempts,
		}
	}
	configuration := map[string]any{
		"version": f.version, "routes": routes,
		"services": services,
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
	if f.accounts != nil {
		entries := f.accounts.entries()
		for name, limit := range f.limits {
			entries[name].(map[string]any)["ratePerS"], entries[name].(map[string]any)["burst"] = limit.rate, limit.burst
		}
		configuration["tenants"] = entries
	}
	value, err := json.Marshal(configuration)
	if err != nil {
		f.t.Fatal(err)
	}
	f.store.Put("op/config", value)
}

// maxBodyBytes is the longest body that the configuration allows.
const maxBodyBytes = 1 << 20

func (f *fleet) addUpstream(service string) *proxiedUpstream {
	return f.addUpstreamOf(service, slots, workTime)
}

// addUpstreamOf starts an upstream with the given slots and time to run a request.
func (f *fleet) addUpstreamOf(service string, slots int, workTime time.Duration) *proxiedUpstream {
	f.mu.Lock()
	f.lastUpstream++
	n := f.lastUpstream
	f.mu.Unlock()
	zone := regions[n%len(regions)] + "-1"
	u, err := standin.StartUpstream(f.store, fmt.Sprintf("i-%d", n), service, zone, slots, workTime)
	if err != nil {
		f.t.Fatal(err)
	}
	p, err := faultproxy.Start(faultproxy.Config{Network: faultproxy.TCP, Listen: "127.0.0.1:0", Target: u.Address()})
	if err != nil {
		f.t.Fatal(err)
	}
	u.SetAddress(p.Address())
	out := &proxiedUpstream{Upstream: u, proxy: p}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams = append(f.upstreams, out)
	return out
}

// active returns the upstreams that are not leaving.
func (f *fleet) active() []*proxiedUpstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*proxiedUpstream
	for _, u := range f.upstreams {
		if !u.leaving {
			out = append(out, u)
		}
	}
	return out
}

// freeAddresses returns free loopback addresses. No address is returned twice.
func freeAddresses(t *testing.T, n int) []string {
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

func (f *fleet) addInstance(n int) {
	p, err := faultproxy.Start(faultproxy.Config{Network: faultproxy.TCP, Listen: "127.0.0.1:0", Target: f.storeServer.Listener.Addr().String()})
	if err != nil {
		f.t.Fatal(err)
	}
	addresses := freeAddresses(f.t, 4)
	i := &instance{
		name: fmt.Sprintf("front-%d", n), region: regions[n%len(regions)], entry: addresses[0], ready: addresses[1], directory: addresses[2], storeProxy: p,
	}
	i.settings = filepath.Join(f.dir, i.name+".jsonc")
	i.writeSettings(f.t, 1000, addresses[3])
	f.instances = append(f.instances, i)
	i.start(f)
}

func (i *instance) writeSettings(t *testing.T, ttlMS int, peerAddress string) {
	text, err := json.Marshal(map[string]any{
		"instance": i.name, "region": i.region, "failure_domain": i.region + "-1", "entry_address": i.entry,
		"peer_address": peerAddress, "store_address": i.storeProxy.Address(),
		"times": map[string]any{"connect_ms": 400, "keep_ms": ttlMS, "drain_ms": 2900, "quiet_limit_ms": 1, "stop_limit_ms": 2650},
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

// start starts the process. Its output is appended to the instance's log file.
func (i *instance) start(f *fleet) {
	path, err := buildBinary()
	if err != nil {
		f.t.Fatal(err)
	}
	out, err := os.OpenFile(filepath.Join(f.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(path, "serve", i.settings)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the process when the test process dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	i.mu.Lock()
	i.cmd, i.exited = cmd, exited
	i.mu.Unlock()
}

// signal sends a signal to the process unless it has exited.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.exited:
	default:
		_ = i.cmd.Process.Signal(s)
	}
}

// done returns a channel that is closed when the current process has exited.
func (i *instance) done() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.exited
}

// Guards against two instances that get the same port, so that the second one
// cannot start. Seed 1796398989781745171 failed for this reason.
func TestPortsAreGivenOnce(t *testing.T) {
	seen := make(map[string]bool)
	for range 500 {
		for _, address := range freeAddresses(t, 4) {
			if seen[address] {
				t.Fatalf("%s was returned twice", address)
			}
			seen[address] = true
		}
	}
}
