package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"knapweedreel/internal/health"
)

// waitTimeout is the generous timeout for any event that a test waits for.
const waitTimeout = 20 * time.Second

// rawUpstream is an upstream that works directly on TCP connections, so that it
// can end a connection at any byte. It counts the requests whose first byte
// arrived.
type rawUpstream struct {
	t *testing.T
	l net.Listener

	mu       sync.Mutex
	conns    int
	requests int
	wg       sync.WaitGroup
}

// newRawUpstream starts an upstream that handles each connection with serve; n
// numbers the connections from 0.
func newRawUpstream(t *testing.T, serve func(u *rawUpstream, n int, c *net.TCPConn, br *bufio.Reader)) *rawUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{t: t, l: l}
	u.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			n := u.conns
			u.conns++
			u.mu.Unlock()
			u.wg.Go(func() {
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(waitTimeout))
				serve(u, n, c.(*net.TCPConn), bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		u.wg.Wait()
	})
	return u
}

// readRequest waits for the first byte of a request, counts the request and
// reads its header. It returns nil if the connection ends first.
func (u *rawUpstream) readRequest(br *bufio.Reader) *http.Request {
	if _, err := br.Peek(1); err != nil {
		return nil
	}
	u.mu.Lock()
	u.requests++
	u.mu.Unlock()
	req, err := http.ReadRequest(br)
	if err != nil {
		return nil
	}
	return req
}

func (u *rawUpstream) counts() (conns, requests int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns, u.requests
}

// respond writes a complete response that echoes the ID of req.
func respond(c net.Conn, req *http.Request, status int, header, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d Status\r\n%s: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		status, HeaderRequestID, req.Header.Get(HeaderRequestID), len(body), header, body)
}

// reset closes c with a TCP reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// drain reads until the other side closes.
func drain(br *bufio.Reader) { _, _ = br.WriteTo(discard{}) }

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func (u *rawUpstream) target() Target {
	return Target{
		Key:     health.Key{Service: "svc", Upstream: "u1"},
		Address: u.l.Addr().String(), MaxConnections: 2, IdleTimeout: 10 * time.Second,
	}
}

func newPools(t *testing.T, change ...func(*Config)) *Pools {
	cfg := Config{ConnectTimeout: waitTimeout, HeaderBytes: 8 << 10}
	for _, f := range change {
		f(&cfg)
	}
	p := New(cfg)
	t.Cleanup(p.Close)
	return p
}

// newAttempt returns an idempotent GET attempt without a body.
func (u *rawUpstream) newAttempt(id string) Attempt {
	req, err := http.NewRequest(http.MethodGet, "http://"+u.l.Addr().String()+"/x", nil)
	if err != nil {
		u.t.Fatal(err)
	}
	req.Header.Set(HeaderRequestID, id)
	return Attempt{Target: u.target(), Request: req, Idempotent: true}
}

// testContext returns a context that ends with the test.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}
