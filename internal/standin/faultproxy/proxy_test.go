package faultproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const waitTimeout = 20 * time.Second // limits how long a test waits for an event

// startEcho runs a TCP server that echoes all input.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen(TCP, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); _, _ = io.Copy(conn, conn) }()
		}
	}()
	return l.Addr().String()
}

func startProxy(t *testing.T, network, target string) *Proxy {
	t.Helper()
	p, err := Start(Config{Network: network, Listen: "127.0.0.1:0", Target: target})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close() })
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial(p.cfg.Network, p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// expect sends a text and checks the reply.
func expect(t *testing.T, conn net.Conn, send, want string) {
	t.Helper()
	if _, err := conn.Write([]byte(send)); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(want))
	if _, err := io.ReadFull(conn, got); err != nil || string(got) != want {
		t.Fatalf("sent %q: got %q, error %v, want %q", send, got, err, want)
	}
}

func set(t *testing.T, p *Proxy, c Control) {
	t.Helper()
	if err := p.SetControl(c); err != nil {
		t.Fatal(err)
	}
}

func eventually(t *testing.T, p *Proxy, what string, condition func(Counts) bool) {
	t.Helper()
	deadline := time.After(waitTimeout)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !condition(p.Status().Counts) {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("%s: not reached, counts %+v", what, p.Status().Counts)
		}
	}
}

// Guards against a one-way partition that stops both directions or closes the
// connection.
func TestPartitionAffectsOneDirection(t *testing.T) {
	p := startProxy(t, TCP, startEcho(t))
	conn := dial(t, p)
	expect(t, conn, "before", "before")
	set(t, p, Control{CutToClient: true})
	if _, err := conn.Write([]byte("lost response")); err != nil {
		t.Fatal(err)
	}
	eventually(t, p, "response discarded", func(c Counts) bool { return c.Discarded == int64(len("lost response")) })
	if got := p.Status().Counts.BytesToTarget; got != int64(len("before")+len("lost response")) {
		t.Errorf("%d bytes went to the target", got)
	}
	set(t, p, Control{CutToTarget: true})
	if _, err := conn.Write([]byte("lost request")); err != nil {
		t.Fatal(err)
	}
	eventually(t, p, "request discarded", func(c Counts) bool {
		return c.Discarded == int64(len("lost response")+len("lost request"))
	})
	set(t, p, Control{})
	expect(t, conn, "after", "after")
}

// Guards against silent connections that recover, and against new connections
// that are silent too.
func TestSilentExistingLeavesNewConnectionsWorking(t *testing.T) {
	p := startProxy(t, TCP, startEcho(t))
	old := dial(t, p)
	expect(t, old, "x", "x")
	set(t, p, Control{SilentExisting: true})
	expect(t, dial(t, p), "new", "new")
	set(t, p, Control{})
	if _, err := old.Write([]byte("old")); err != nil {
		t.Fatal(err)
	}
	eventually(t, p, "bytes of the old connection discarded", func(c Counts) bool { return c.Discarded == 3 })
}

// Guards against resets that a client sees as a normal close, and against
// resets after too many bytes.
func TestResets(t *testing.T) {
	p := startProxy(t, TCP, startEcho(t))
	set(t, p, Control{ResetAfterAnswerBytes: 4})
	conn := dial(t, p)
	if _, err := conn.Write([]byte("0123456789")); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(conn)
	if !errors.Is(err, syscall.ECONNRESET) || len(got) > 4 {
		t.Errorf("reset after response bytes: %q, error %v", got, err)
	}
	set(t, p, Control{ResetAfterRequestBytes: 4})
	conn = dial(t, p)
	if _, err := conn.Write([]byte("0123456789")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("reset after request bytes: error %v", err)
	}
	set(t, p, Control{ResetOnAccept: true})
	if err := readOnce(p); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("reset on accept: error %v", err)
	}
	if got := p.Status().Counts.Resets; got != 3 {
		t.Errorf("%d resets counted", got)
	}
}

// readOnce connects and reads. Either may fail with the reset.
func readOnce(p *Proxy) error {
	conn, err := net.Dial(TCP, p.Address())
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		return err
	}
	_, err = io.ReadAll(conn)
	return err
}

// Guards against a Refuse fault that cannot be switched off or that closes open
// connections.
func TestRefuseClosesOnlyTheListener(t *testing.T) {
	p := startProxy(t, TCP, startEcho(t))
	conn := dial(t, p)
	expect(t, conn, "a", "a")
	set(t, p, Control{Refuse: true})
	if _, err := net.Dial(TCP, p.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial while refused: %v", err)
	}
	expect(t, conn, "b", "b")
	set(t, p, Control{})
	expect(t, dial(t, p), "c", "c")
}

// Guards against a delay without effect.
func TestDelay(t *testing.T) {
	p := startProxy(t, TCP, startEcho(t))
	set(t, p, Control{DelayMS: 30})
	conn := dial(t, p)
	began := time.Now()
	expect(t, conn, "late", "late")
	if took := time.Since(began); took < 60*time.Millisecond {
		t.Errorf("took %v with a delay of 30 ms in each direction", took)
	}
}

// Guards against duplicates that corrupt a response, which no client could
// detect, and against responses of several reads that are not duplicated.
func TestDuplicatesAreCompleteResponses(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range 30 {
			fmt.Fprintf(w, "%s%s", r.URL.Path, strings.Repeat("x", 10_000))
		}
	}))
	t.Cleanup(server.Close)
	p := startProxy(t, TCP, server.Listener.Addr().String())
	set(t, p, Control{DuplicateAnswers: true})
	conn := dial(t, p)
	reader := bufio.NewReader(conn)
	for _, path := range []string{"/first", "/second"} {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path)
		for i := range 2 {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("%s, response %d: %v", path, i, err)
			}
			body, err := io.ReadAll(resp.Body)
			want := strings.Repeat(path+strings.Repeat("x", 10_000), 30)
			if err != nil || string(body) != want {
				t.Fatalf("%s, response %d: %d bytes, want %d, error %v", path, i, len(body), len(want), err)
			}
		}
	}
}

// Guards against datagrams that reach the wrong client, and against faults that
// have no effect over UDP.
func TestUDP(t *testing.T) {
	target, err := net.ListenPacket(UDP, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { target.Close() })
	go func() {
		b := make([]byte, readBufferBytes)
		for {
			n, from, err := target.ReadFrom(b)
			if err != nil {
				return
			}
			_, _ = target.WriteTo(b[:n], from)
		}
	}()
	p := startProxy(t, UDP, target.LocalAddr().String())
	a, b := dial(t, p), dial(t, p)
	expect(t, a, "from a", "from a")
	expect(t, b, "from b", "from b")
	set(t, p, Control{SilentExisting: true})
	if _, err := a.Write([]byte("lost")); err != nil {
		t.Fatal(err)
	}
	eventually(t, p, "datagram discarded", func(c Counts) bool { return c.Discarded == 4 })
	expect(t, dial(t, p), "from c", "from c")
}
