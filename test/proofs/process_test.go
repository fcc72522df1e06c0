package proofs

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"knapweedreel/internal/standin/freeport"
)

// eventLimit bounds the wait for an event that must come. It is generous, so
// that a slow machine changes no verdict.
const eventLimit = 60 * time.Second

// process is a process that a test started.
type process struct {
	name string
	log  string // path of the file with its output
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended

	mu  sync.Mutex
	err error
}

// startProcess starts a program and ends it when the test ends.
func startProcess(t testing.TB, dir, name string, argv ...string) *process {
	t.Helper()
	p := &process{name: name, log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(argv[0], argv[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	// The kernel ends the process when the test process dies.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go func() {
		err := p.cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.done)
	}()
	t.Cleanup(func() { p.kill() })
	return p
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends sig to the process.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill ends the process at once and waits for it.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// wait waits for the process to end by itself and returns its error.
func (p *process) wait(limit time.Duration) error {
	select {
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(limit):
		return fmt.Errorf("%s is still running after %v", p.name, limit)
	}
}

// tail returns the last lines of the process's output without those of
// requests.
func (p *process) tail(lines int) string {
	text, _ := os.ReadFile(p.log)
	all := slices.DeleteFunc(strings.Split(strings.TrimSpace(string(text)), "\n"), func(line string) bool {
		return strings.Contains(line, "event=request ")
	})
	if len(all) > lines {
		all = all[len(all)-lines:]
	}
	return strings.Join(all, "\n")
}

// freeAddress returns a loopback address that is free, for TCP and UDP.
func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := freeport.Loopback()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// eventually waits until condition holds. The reason that it returns last is
// shown when it never does.
func eventually(t testing.TB, what string, limit time.Duration, condition func() (bool, string)) time.Duration {
	t.Helper()
	started := time.Now()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		ok, reason := condition()
		if ok {
			return time.Since(started)
		}
		if time.Since(started) > limit {
			t.Fatalf("%s: not within %v: %s", what, limit, reason)
		}
		<-tick.C
	}
}
