package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"knapweedreel/platform"
)

// zones maps the failure domains of the small deployment to their regions.
var zones = map[string]string{
	"south-hobart": "south", "south-huon": "south",
	"north-launceston": "north", "north-deloraine": "north",
	"northwest-burnie": "northwest", "northwest-devonport": "northwest",
}

// instance is an instance of the fleet: a process with a loopback address of its
// own, as the deploy file and the template of the settings start it.
type instance struct {
	run                     *run
	name, zone, ip          string
	front, directory, ready string
	settings                string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Files of the deployment, in the root of the repository.
const (
	deployFile   = "deploy/system.toml"
	templateFile = "deploy/settings.jsonc"
)

var (
	runLine     = regexp.MustCompile(`(?m)^run = "([^"]+)"`)
	placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)
)

// addInstance prepares an instance. start starts it.
func (r *run) addInstance(zone string) *instance {
	n := len(r.instances)
	i := &instance{run: r, name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, os.Getpid()/200%250, n+2)}
	var ports []string
	for range 4 {
		l, err := net.Listen("tcp", i.ip+":0")
		if err != nil {
			r.failf("%v", err)
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().String())
	}
	i.front, i.directory, i.ready = ports[0], ports[1], ports[2]
	_, innerPort, _ := net.SplitHostPort(ports[3])
	values := map[string]any{
		"node": i.name, "region": zones[zone], "zone": zone, "ip": i.ip, "listen.front": i.front, "listen.ready": i.ready, "listen.directory": i.directory,
		"internalPorts.0": innerPort, "provider.address": r.store.address, "zones": zones,
		"limits.cpuShare": 0.32, "limits.memoryMb": 284, "limits.linkMbps": 1000, "limits.maxFds": 4100,
		"bounds.retryBudgetRatio": 0.2, "bounds.retryBudgetSlack": 56, "bounds.grace": "6s",
	}
	template, err := os.ReadFile(templateFile)
	if err != nil {
		r.failf("%v", err)
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, ok := values[m[1]]
		if !ok {
			r.failf("the template uses the unknown field %s", m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		out, _ := json.Marshal(v)
		return string(out)
	})
	i.settings = filepath.Join(r.dir, i.name+".jsonc")
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		r.failf("%v", err)
	}
	r.instances = append(r.instances, i)
	return i
}

// start starts the process with the command of the deploy file.
func (i *instance) start() {
	deploy, err := os.ReadFile(deployFile)
	if err != nil {
		i.run.failf("%v", err)
	}
	line := runLine.FindSubmatch(deploy)
	if line == nil {
		i.run.failf("%s has no run line", deployFile)
	}
	words := strings.Fields(string(line[1]))
	log, err := os.OpenFile(filepath.Join(i.run.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		i.run.failf("%v", err)
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + i.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		i.run.failf("%v", err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	i.mu.Lock()
	i.cmd, i.exited = cmd, exited
	i.mu.Unlock()
	i.run.note("%s: started", i.name)
}

// kill sends SIGKILL and waits for the end of the process.
func (i *instance) kill() {
	i.mu.Lock()
	cmd, exited := i.cmd, i.exited
	i.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
	i.run.note("%s: killed", i.name)
}

// isReady asks the instance's readiness address.
func (i *instance) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + i.ready + names["readiness"])
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (r *run) awaitReady() {
	for _, i := range r.instances {
		r.await(i.name+" is ready", 15*time.Second, i.isReady)
		r.note("%s: ready", i.name)
	}
}

// routeSpec is a route of the configuration.
type routeSpec struct {
	prefix, kind, service string
	timeoutMS, aimMS      int
	attempts              int
}

// host is the host of all routes.
const host = "shows.example"

// configure writes the next version of the configuration, with the services that
// its routes name.
func (r *run) configure(routes map[string]routeSpec) time.Time {
	r.version += 3
	outRoutes, outServices := make(map[string]json.RawMessage), make(map[string]json.RawMessage)
	for name, s := range routes {
		outRoutes[name] = json.RawMessage(fmt.Sprintf(names["route"], host, s.prefix, s.kind, s.timeoutMS, s.aimMS, s.service, s.attempts))
		outServices[s.service] = json.RawMessage(names["service"])
	}
	a, err := json.Marshal(outRoutes)
	if err != nil {
		r.failf("%v", err)
	}
	b, err := json.Marshal(outServices)
	if err != nil {
		r.failf("%v", err)
	}
	at := r.store.put("op/config", fmt.Sprintf(names["config"], r.version, a, b))
	r.note("store: configuration %d: %s", r.version, a)
	return at
}
