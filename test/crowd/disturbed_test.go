package crowd

import (
	"io"
	"net"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"knapweedreel/platform/standin"
)

// Each of the two crowds has half of the usual number of members.
const halfCrowd = bodyCrowd / 2

// Guards against a process that ends, hangs or exceeds its memory when something
// else happens to it while one crowd doesn't end its bodies and another one doesn't
// read its responses.
func TestCrowdsDuringDisruptions(t *testing.T) {
	for _, tc := range []struct {
		name    string
		disrupt func(*process)
		stops   bool
	}{
		{"planned stop", func(p *process) { p.signal(syscall.SIGTERM) }, true},
		{"reloads and configurations", func(p *process) {
			for range 20 {
				p.signal(syscall.SIGHUP)
				p.putConfiguration()
				time.Sleep(50 * time.Millisecond)
			}
		}, false},
		{"store is lost", func(p *process) { p.store.SetFault(standin.Silent) }, false},
		{"upstreams are lost", func(p *process) {
			p.upstreams[0].Close()
			p.store.Delete("servers/" + p.upstreams[0].ID)
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := startProcess(t, bodyDescriptors)
			p.addUpstream(crowdService, slots, slowWork)
			p.addUpstream(otherService, slots, workTime)
			p.checkOrdinary(otherService)
			m := p.watchTotal()
			(&crowd{t: t, address: p.entry, send: sendWithLength(keptBody, leftOut)}).gather(halfCrowd)
			p.addReaders(halfCrowd)
			tc.disrupt(p)
			if tc.stops {
				p.checkStopped()
				m.checkPeaks(bodyDescriptors)
				return
			}
			for range 3 {
				p.checkOrdinary(otherService)
			}
			m.check(bodyDescriptors)
		})
	}
}

// addReaders adds an upstream of a service with large responses, and a crowd that
// doesn't read them.
func (p *process) addReaders(size int) {
	server := httptest.NewServer(&largeUpstream{size: sentAhead, written: make(map[string]*atomic.Int64)})
	p.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	p.addUpstream(crowdService, slots, workTime).SetAddress(server.Listener.Addr().String())
	c := &crowd{t: p.t, address: p.entry, slow: true, send: func(c net.Conn, id string) error {
		_, err := io.WriteString(c, header(crowdService, id, "Content-Length: 0"))
		return err
	}}
	c.gather(size)
}

// checkStopped waits until the process has ended by itself and checks its exit code.
func (p *process) checkStopped() {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		p.t.Fatal("the process doesn't stop")
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		log, _ := os.ReadFile(p.logFile)
		p.t.Errorf("exit code %d:\n%s", code, log[max(0, len(log)-4096):])
	}
}
