package crowd

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// reservedForFiles is the number of descriptors that the platform reserves for files.
const reservedForFiles = 200

// total records the peak of what counts toward the process's limits: its resident
// memory and the bytes that were received for it and not read, at the same moment,
// and its sockets.
type total struct {
	p *process

	mu               sync.Mutex
	resident, unread int64 // at the peak of their sum, in bytes
	sockets          int
	samples          int
}

// watchTotal samples until the test or the process ends.
func (p *process) watchTotal() *total {
	m := &total{p: p}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		tick := time.NewTicker(20 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-p.exited:
				return
			case <-tick.C:
				m.sample()
			}
		}
	}()
	p.t.Cleanup(func() {
		close(stop)
		<-stopped
	})
	return m
}

func (m *total) sample() {
	proc := fmt.Sprintf("/proc/%d", m.p.cmd.Process.Pid)
	own := make(map[string]bool) // by inode
	fds, _ := filepath.Glob(proc + "/fd/*")
	for _, fd := range fds {
		if link, err := os.Readlink(fd); err == nil && strings.HasPrefix(link, "socket:[") {
			own[strings.TrimSuffix(strings.TrimPrefix(link, "socket:["), "]")] = true
		}
	}
	table, err := os.ReadFile(proc + "/net/tcp")
	if err != nil {
		return
	}
	unread := int64(0)
	for line := range strings.Lines(string(table)) {
		// A crowd that reconnects leaves tens of thousands of closed connections.
		if strings.Contains(line[:min(len(line), 48)], timeWait) {
			continue
		}
		// Number, local and remote address, state, sent:received, timer, retransmits,
		// user, timeout, inode.
		f := strings.Fields(line)
		const listening, backlog = "0A", "0"
		if len(f) < 10 || f[3] == listening || !own[f[9]] && !(f[9] == backlog && m.isListenPort(f[1])) {
			continue
		}
		if _, received, ok := strings.Cut(f[4], ":"); ok {
			n, _ := strconv.ParseInt(received, 16, 64)
			unread += n
		}
	}
	statm, err := os.ReadFile(proc + "/statm")
	if err != nil {
		return
	}
	resident, _ := strconv.ParseInt(strings.Fields(string(statm))[1], 10, 64)
	resident *= int64(os.Getpagesize())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.samples++
	m.sockets = max(m.sockets, len(own))
	if resident+unread > m.resident+m.unread {
		m.resident, m.unread = resident, unread
	}
}

// isListenPort reports whether an address of /proc/net/tcp has the port of one of the
// process's addresses.
func (m *total) isListenPort(address string) bool {
	_, port, _ := strings.Cut(address, ":")
	for _, a := range []string{m.p.entry, m.p.directory, m.p.ready, m.p.peer} {
		if own, err := netip.ParseAddrPort(a); err == nil && fmt.Sprintf("%04X", own.Port()) == port {
			return true
		}
	}
	return false
}

// timeWait is the state of a closed connection in /proc/net/tcp.
const timeWait = " 06 "

// sampleTimeout only ends a test that would hang otherwise. A sample takes long while
// the machine is busy with a crowd.
const sampleTimeout = 2 * time.Minute

// samplesOfCrowd is the number of samples of a complete crowd that a check waits for.
const samplesOfCrowd = 50

// check fails the test if the process has ended or has exceeded a limit.
func (m *total) check(descriptors int) {
	m.p.t.Helper()
	m.mu.Lock()
	enough := m.samples + samplesOfCrowd
	m.mu.Unlock()
	limit := time.After(sampleTimeout)
	for sampled := 0; sampled < enough; {
		select {
		case <-limit:
			m.p.t.Fatal("the crowd is not sampled in time")
		case <-time.After(20 * time.Millisecond):
		}
		m.mu.Lock()
		sampled = m.samples
		m.mu.Unlock()
	}
	m.p.check(descriptors, 0)
	m.checkPeaks(descriptors)
}

// checkPeaks fails the test if a limit was exceeded.
func (m *total) checkPeaks(descriptors int) {
	t := m.p.t
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	t.Logf("peak of the total %d KiB: %d resident, %d unread; %d sockets", (m.resident+m.unread)>>10, m.resident>>10, m.unread>>10, m.sockets)
	if m.resident+m.unread > memoryMB<<20 {
		t.Errorf("%d KiB resident and %d KiB unread, the machine has %d", m.resident>>10, m.unread>>10, memoryMB<<10)
	}
	if m.sockets > descriptors-reservedForFiles {
		t.Errorf("%d sockets, %d allowed", m.sockets, descriptors-reservedForFiles)
	}
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}
