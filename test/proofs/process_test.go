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

// waitTimeout limits how long a test waits for an event. It is generous, so that a
// slow machine does not fail a test.
const waitTimeout = 60 * time.Second

// process is a process started by a test.
type process struct {
	name string
	log  string // path of the file with the output
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has exited

	mu  sync.Mutex
	err error
}

// startProcess starts a program and kills it when the test ends.
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
	// The kernel kills the process when the test process dies.
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

// exited reports whether the process has exited.
func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends sig to the process.
func (p *process) signal(sig syscall.Signal) { _ = p.cmd.Process.Signal(sig) }

// kill kills the process and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// wait waits until the process has exited by itself and returns its error.
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

// tail returns the last lines of the process's output, without the log lines of
// single requests.
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

// freeAddress returns a loopback address that is free for TCP and UDP.
func freeAddress(t testing.TB) string {
	t.Helper()
	address, err := freeport.Loopback()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// eventually waits until condition holds and returns how long that took. After
// limit, it fails the test with the reason that condition returned last.
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
