package guard

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// waitTimeout is generous: tests reach it only if they fail.
const waitTimeout = 20 * time.Second

// Guards against a connection of an authenticated client that is closed for a new one,
// against more connections than the limit, and against an address that keeps others
// out.
func TestLimitOfConnections(t *testing.T) {
	const limit = 4 // three for one address
	l, err := Listen(t.Context(), "test", "127.0.0.1:0", limit, tally.NoopScope)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	accepted := make(chan *Conn, 2*limit)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c.(*Conn)
		}
	}()
	dial := func(from string) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		c, err := d.DialContext(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(waitTimeout))
		return c
	}
	ended := func(c net.Conn) {
		t.Helper()
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Error("the connection stays open")
		} else if ne, ok := err.(net.Error); ok && ne.Timeout() {
			t.Error("the connection stays open")
		}
	}
	kept := dial("127.0.0.1")
	trusted := <-accepted
	trusted.Keep()
	dial("127.0.0.1")
	(<-accepted).Keep()
	dial("127.0.0.1")
	last := <-accepted
	last.Keep()
	ended(dial("127.0.0.1")) // its address has three that are kept
	last.SetIdle(true)
	dial("127.0.0.1")
	<-accepted // in place of the idle one
	dial("127.0.0.2")
	<-accepted // the last quarter
	dial("127.0.0.3")
	<-accepted // in place of one of the address that has most
	if _, err := io.WriteString(trusted, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(kept, make([]byte, 1)); err != nil {
		t.Errorf("the kept connection: %v", err)
	}
	if used, _ := l.budget.Used(); used != limit {
		t.Errorf("%d connections, want %d", used, limit)
	}
}
