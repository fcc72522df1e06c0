// Command cases2 runs the cases of the second review. Each case starts instances of
// a small deployment as processes, with stand-ins for the platform's store, the
// upstreams and the callers on loopback addresses, and checks one rule by what
// callers and upstreams have seen.
package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"knapweedreel/internal/standin/freeport"
	"knapweedreel/platform"
	"knapweedreel/platform/standin"
)

const host = "review.example"

// protocol has the names of the headers of requests and responses.
var protocol = platform.Protocol()

//go:embed configuration.json
var configurationTemplate []byte

//go:embed route.json
var routeTemplate []byte

//go:embed machine.json
var machineTemplate []byte

// record writes what was seen to record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, started: time.Now()}, err
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// conclude writes a line to the record and to standard output.
func (r *record) conclude(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.add(format, args...)
}

// fleet is a deployment with its stand-ins.
type fleet struct {
	rec       *record
	dir       string
	store     *standin.Store
	listener  net.Listener
	instances []*instance
	version   int
	routes    map[string]any
	services  map[string]any
}

// instance is a process of the software under review.
type instance struct {
	name, entry, ready, directory string

	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// newFleet starts the store. The instances are started by addInstance.
func newFleet(rec *record) (*fleet, error) {
	return newFleetWith(rec, func(store http.Handler) http.Handler { return store })
}

// newFleetWith is like newFleet with a handler around that of the store.
func newFleetWith(rec *record, around func(store http.Handler) http.Handler) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, store: standin.NewStore(), routes: map[string]any{}, services: map[string]any{}}
	if f.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	server := &http.Server{Handler: around(f.store), ErrorLog: log.New(io.Discard, "", 0)}
	go func() { _ = server.Serve(f.listener) }()
	return f, nil
}

// close ends all processes that the fleet has started.
func (f *fleet) close() {
	for _, i := range f.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		<-i.exited
	}
	_ = f.listener.Close()
	_ = os.RemoveAll(f.dir)
}

// route describes a route of the configuration.
type route struct{ prefix, kind, timeout, aim, service string }

// configure adds routes and writes the configuration.
func (f *fleet) configure(routes ...route) error {
	for _, r := range routes {
		text := strings.NewReplacer("HOST", host, "PREFIX", r.prefix, "KIND", r.kind, "TIMEOUT", r.timeout, "AIM", r.aim, "SERVICE", r.service).Replace(string(routeTemplate))
		var entry any
		if err := json.Unmarshal([]byte(text), &entry); err != nil {
			return err
		}
		f.routes["r-"+strings.Trim(r.prefix, "/")] = entry
		f.services[r.service] = map[string]any{"healthPath": "/health", "maxConnections": 330}
	}
	f.version += 3
	var c map[string]any
	if err := json.Unmarshal(configurationTemplate, &c); err != nil {
		return err
	}
	c["version"], c["routes"], c["services"] = f.version, f.routes, f.services
	text, err := json.Marshal(c)
	if err != nil {
		return err
	}
	f.store.Put(standin.ConfigurationKey, text)
	f.rec.add("configuration %d is in the store", f.version)
	return nil
}

// register writes the entry of an upstream, as its heartbeat would.
func (f *fleet) register(id, address, service, zone string, slots int) {
	f.store.Put("servers/"+id, standin.ReadyEntry(address, service, zone, slots))
}

// addInstance starts an instance with the settings template of the deployment.
func (f *fleet) addInstance(zone string) (*instance, error) {
	// Each machine has an address of its own, because the template has a fixed port.
	ip := fmt.Sprintf("127.%d.%d.%d", 2+rand.IntN(200), 1+rand.IntN(250), 1+rand.IntN(250))
	var ports [4]string
	for n := range ports {
		address, err := freeport.Loopback()
		if err != nil {
			return nil, err
		}
		_, ports[n], _ = net.SplitHostPort(address)
	}
	i := &instance{
		name:  fmt.Sprintf("front-%s-%d", zone, len(f.instances)+1),
		entry: ip + ":" + ports[0], ready: ip + ":" + ports[1], directory: ip + ":" + ports[2], exited: make(chan struct{}),
	}
	var machine map[string]any
	if err := json.Unmarshal(machineTemplate, &machine); err != nil {
		return nil, err
	}
	machine["node"], machine["ip"], machine["zone"], machine["region"] = i.name, ip, zone, "south"
	machine["listen"] = map[string]any{"front": i.entry, "ready": i.ready, "directory": i.directory}
	machine["provider"] = map[string]any{"address": f.listener.Addr().String()}
	port, _ := strconv.Atoi(ports[3])
	machine["internalPorts"] = []any{port, port}
	template, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		return nil, err
	}
	i.settings = filepath.Join(f.dir, i.name+".jsonc")
	if err := os.WriteFile(i.settings, fill(template, machine), 0o600); err != nil {
		return nil, err
	}
	f.instances = append(f.instances, i)
	return i, i.start(f)
}

// placeholder is a placeholder of the settings template.
var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)(\|json)?\}\}`)

// fill fills in the template of the settings as the platform does.
func fill(template []byte, fields map[string]any) []byte {
	return placeholder.ReplaceAllFunc(template, func(p []byte) []byte {
		m := placeholder.FindSubmatch(p)
		var v any = fields
		for part := range strings.SplitSeq(string(m[1]), ".") {
			switch x := v.(type) {
			case map[string]any:
				v = x[part]
			case []any:
				n, _ := strconv.Atoi(part)
				v = x[n]
			}
		}
		if len(m[2]) > 0 {
			text, _ := json.Marshal(v)
			return text
		}
		return []byte(fmt.Sprint(v))
	})
}

// start starts the process with the command of the deploy file.
func (i *instance) start(f *fleet) error {
	out, err := os.OpenFile(filepath.Join(f.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	i.cmd = exec.Command("target/knapweedreel", "serve")
	i.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+i.settings, "QUOTA_WINDOW=", "QUOTA_OVERAGE=", "QUOTA_SLACK=")
	i.cmd.Stdout, i.cmd.Stderr = out, out
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.exited = exited
	go func() {
		_ = i.cmd.Wait()
		close(exited)
	}()
	f.rec.add("%s starts, entry %s", i.name, i.entry)
	return nil
}

// signal sends a signal to the process unless it has exited.
func (i *instance) signal(s syscall.Signal) {
	select {
	case <-i.exited:
	default:
		_ = i.cmd.Process.Signal(s)
	}
}

// platformWords are names of the platform that the cases need.
type platformWords struct {
	Paths    map[string]string `json:"paths"`
	LastPage string            `json:"lastPage"` // in the last page of a read of the store
}

func readWords() (w platformWords, err error) {
	err = json.Unmarshal(machineTemplate, &w)
	return w, err
}

// awaitReady waits until the platform's check finds all instances ready.
func (f *fleet) awaitReady() error {
	words, err := readWords()
	if err != nil {
		return err
	}
	for _, i := range f.instances {
		if !eventually(15*time.Second, func() bool {
			resp, err := http.Get("http://" + i.ready + words.Paths["ready"])
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}) {
			return fmt.Errorf("%s did not become ready", i.name)
		}
		f.rec.add("%s is ready", i.name)
	}
	return nil
}

// copyLogs adds the warnings of the instances to the record.
func (f *fleet) copyLogs(pattern string) {
	for _, i := range f.instances {
		text, err := os.ReadFile(filepath.Join(f.dir, i.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.SplitSeq(string(text), "\n") {
			if strings.Contains(line, pattern) {
				f.rec.add("log of %s: %s", i.name, line)
			}
		}
	}
}

func eventually(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// answer is what a caller has got.
type answer struct {
	status    int // 0 for none
	signature string
	body      string
	err       error
}

// head returns the head of a request.
func head(method, path, id string, deadline time.Duration, length int) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, protocol.RequestID, id, protocol.Deadline, deadline.Milliseconds())
	if length > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + "\r\n"
}

// receive reads the answer to a request.
func receive(r io.Reader, method string) answer {
	resp, err := http.ReadResponse(newReader(r), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, signature: resp.Header.Get(protocol.Signature), body: string(body), err: err}
}

var errCannotRun = errors.New("the case could not run")
