package proofs

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"knapweedreel/internal/document"
	"knapweedreel/internal/settings"
)

var seedFlag = flag.Uint64("proofs.seed", 1, "seed of the injected faults")

// Paths of the binaries, built once by TestMain.
var instanceBinary, standinBinary string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proofs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	instanceBinary = filepath.Join(dir, "knapweedreel")
	standinBinary = filepath.Join(dir, "standin")
	for binary, pkg := range map[string]string{instanceBinary: "knapweedreel/cmd/knapweedreel", standinBinary: "knapweedreel/cmd/standin"} {
		if err := goBuild(binary, pkg); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
	}
	return m.Run()
}

var regions = []string{"south", "north", "northwest"}

// serviceSpec describes a service under test.
type serviceSpec struct {
	name      string
	upstreams int
	slots     int
	workMS    int
	change    func(*document.Document) // optional
}

// options describes a fleet.
type options struct {
	instances int
	services  []serviceSpec
	proxied   bool // puts a fault proxy in front of every upstream
	storeLink bool // puts a fault proxy between instances and the store
	peerLinks bool // puts a fault proxy in front of every instance's peer address
	settings  func(i int, s *settings.Settings)
}

// fleet is a set of processes: a store, upstreams and instances.
type fleet struct {
	t             testing.TB
	dir           string
	rng           *rand.Rand
	opts          options
	store         string // address of the stand-in store, not of its proxy
	storeEndpoint string // address that instances use: the proxy's or the store's
	storeControl  string // control address of the proxy in front of the store
	storeProc     *process
	instances     []*instance
	upstreams     map[string][]*standinUpstream
	documents     map[string]*document.Document
	keys          keyFiles
}

// instance is an instance process.
type instance struct {
	*process
	name        string
	entry       string
	peer        string
	admin       string
	peerControl string // control address of the proxy in front of the peer address
	settings    string // path
	region      string
}

// newFleet starts a fleet and waits until every instance serves every service.
func newFleet(t testing.TB, o options) *fleet {
	t.Helper()
	f := &fleet{
		t: t, dir: t.TempDir(), opts: o,
		rng:       rand.New(rand.NewPCG(*seedFlag, 0)),
		upstreams: make(map[string][]*standinUpstream),
		documents: make(map[string]*document.Document),
	}
	t.Cleanup(func() { f.showLogs() })
	f.keys = newKeyFiles(t, f.dir)
	f.startStore()
	for _, s := range o.services {
		f.startService(s)
	}
	for i := range o.instances {
		f.startInstance(i, fmt.Sprintf("i%02d", i))
	}
	f.waitReady(f.instances)
	for _, s := range o.services {
		f.putDocument(f.documents[s.name])
		f.waitRevision(s.name, 1, f.instances)
	}
	return f
}

// showLogs logs the last lines of every instance's output if the test has failed.
func (f *fleet) showLogs() {
	if !f.t.Failed() {
		return
	}
	for _, i := range f.instances {
		f.t.Logf("log of %s:\n%s", i.name, i.tail(15))
	}
}

func (f *fleet) startStore() {
	f.store = freeAddress(f.t)
	f.storeEndpoint = f.store
	f.storeProc = startProcess(f.t, f.dir, "store", standinBinary, "store", "--address", f.store)
	f.waitHTTP("http://" + f.store + "/control/calls")
	if f.opts.storeLink {
		f.storeEndpoint, f.storeControl = f.startProxy("proxy-store", "tcp", f.store)
	}
}

// startProxy starts a fault proxy and returns its address and control address.
func (f *fleet) startProxy(name, network, target string) (listen, control string) {
	listen, control = freeAddress(f.t), freeAddress(f.t)
	startProcess(f.t, f.dir, name, standinBinary, "proxy", "--network", network, "--listen", listen, "--target", target, "--control", control)
	f.waitHTTP("http://" + control + "/control")
	return listen, control
}

func (f *fleet) waitHTTP(url string) {
	f.t.Helper()
	eventually(f.t, url, waitTimeout, func() (bool, string) {
		resp, err := controlClient.Get(url)
		if err != nil {
			return false, err.Error()
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK, resp.Status
	})
}

// startService starts the upstreams of a service and prepares its document.
func (f *fleet) startService(s serviceSpec) {
	f.t.Helper()
	doc := &document.Document{
		Service: s.name,
		Hosts:   []string{s.name + ".example"},
		Routes: []document.Route{
			{Method: "GET", Path: "/*", Idempotent: true},
			{Method: "POST", Path: "/*"},
			{Method: "PUT", Path: "/*"},
			{Method: "DELETE", Path: "/*"},
		},
		FloorSlots: s.upstreams * s.slots / 2,
		DeadlineMS: 10_000,
	}
	for i := range s.upstreams {
		u := f.startUpstream(s, fmt.Sprintf("%s-%02d", s.name, i), i)
		doc.Upstreams = append(doc.Upstreams, document.Upstream{
			ID: u.id, Address: u.endpoint, Region: u.region, FailureDomain: u.domain, Slots: u.slots, Connections: 330,
		})
	}
	if s.change != nil {
		s.change(doc)
	}
	f.documents[s.name] = doc
}

func (f *fleet) startUpstream(s serviceSpec, id string, i int) *standinUpstream {
	f.t.Helper()
	region := regions[i%len(regions)]
	u := &standinUpstream{id: id, address: freeAddress(f.t), region: region, domain: fmt.Sprintf("%s-%d", region, i/len(regions)%2), slots: s.slots}
	u.process = startProcess(f.t, f.dir, id, standinBinary, "upstream", "--address", u.address, "--id", id,
		"--service", s.name, "--slots", fmt.Sprint(s.slots), "--work-ms", fmt.Sprint(s.workMS))
	f.waitHTTP("http://" + u.address + "/.standin/health")
	u.endpoint = u.address
	if f.opts.proxied {
		u.endpoint, u.control = f.startProxy("proxy-"+id, "tcp", u.address)
	}
	f.upstreams[s.name] = append(f.upstreams[s.name], u)
	return u
}

// startInstance starts an instance with the given name as f.instances[i]. It
// takes the place of an instance that already has this index.
func (f *fleet) startInstance(i int, name string) *instance {
	f.t.Helper()
	region := regions[i%len(regions)]
	in := &instance{name: name, entry: freeAddress(f.t), peer: freeAddress(f.t), admin: freeAddress(f.t), region: region}
	certificate, key := f.keys.createInstanceCertificate(f.t, name)
	s := settings.Settings{
		Instance: name, Region: region, FailureDomain: fmt.Sprintf("%s-%d", region, i/len(regions)%2),
		EntryAddress: in.entry, PeerAddress: in.peer, AdminAddress: in.admin, StoreAddress: f.storeEndpoint,
		Keys: settings.Keys{CertificateFile: certificate, KeyFile: key, AuthorityFile: f.keys.authorityFile},
	}
	if f.opts.peerLinks {
		s.PeerListenAddress = in.peer
		in.peer, in.peerControl = f.startProxy("proxy-"+name, "udp", s.PeerListenAddress)
		s.PeerAddress = in.peer
	}
	for _, other := range f.live() {
		s.InitialPeers = append(s.InitialPeers, settings.InitialPeer{Instance: other.name, PeerAddress: other.peer})
	}
	if f.opts.settings != nil {
		f.opts.settings(i, &s)
	}
	in.settings = filepath.Join(f.dir, name+".jsonc")
	writeJSON(f.t, in.settings, s)
	in.process = startProcess(f.t, f.dir, name, instanceBinary, "serve", in.settings)
	if i < len(f.instances) {
		f.instances[i] = in
	} else {
		f.instances = append(f.instances, in)
	}
	return in
}

func writeJSON(t testing.TB, path string, value any) {
	t.Helper()
	text, err := json.MarshalIndent(dropZero(t, value), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// dropZero removes fields with zero values, so that defaults apply.
func dropZero(t testing.TB, value any) any {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	var plain any
	if err := json.Unmarshal(text, &plain); err != nil {
		t.Fatal(err)
	}
	return withoutZero(plain)
}

func withoutZero(value any) any {
	switch v := value.(type) {
	case map[string]any:
		kept := make(map[string]any)
		for k, field := range v {
			field = withoutZero(field)
			if field == nil || field == "" || field == 0.0 {
				continue
			}
			if m, ok := field.(map[string]any); ok && len(m) == 0 {
				continue
			}
			kept[k] = field
		}
		return kept
	case []any:
		for i := range v {
			v[i] = withoutZero(v[i])
		}
		return v
	default:
		return value
	}
}

// pause suspends the instance's process without notice, like a paused machine.
func (i *instance) pause() { i.signal(syscall.SIGSTOP) }

// resume continues a paused process.
func (i *instance) resume() { i.signal(syscall.SIGCONT) }

// stop begins a graceful shutdown.
func (i *instance) stop() { i.signal(syscall.SIGTERM) }

// live returns the instances whose processes are running.
func (f *fleet) live() []*instance {
	var live []*instance
	for _, i := range f.instances {
		if !i.exited() {
			live = append(live, i)
		}
	}
	return live
}

// loadLimit is the maximum time for which a test sends requests.
const loadLimit = 3 * time.Minute
