package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedreel/internal/health"
)

// zeros is an endless stream of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a lost refusal: the upstream refuses the request and closes the
// connection without reading the body, so writing fails before the refusal has
// been read.
func TestResponseBeforeBodyEnds(t *testing.T) {
	u := newRawUpstream(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
		respond(c, u.readRequest(br), http.StatusServiceUnavailable, HeaderRefused+": shed\r\n", strings.Repeat("x", 8<<10))
	})
	p := newPools(t)
	const size = 16 << 20
	for range 50 {
		a := u.newAttempt("id-1")
		a.Request.Method = http.MethodPost
		a.Request.Body, a.Request.ContentLength = io.NopCloser(io.LimitReader(zeros{}, size)), size
		resp, trace, err := p.Do(testContext(t), a)
		if err != nil {
			t.Fatalf("trace %+v, error %v", trace, err)
		}
		data, err := io.ReadAll(resp.Body)
		if resp.Refused != Shed || len(data) != 8<<10 || err != nil {
			t.Fatalf("refused %q, %d bytes, error %v", resp.Refused, len(data), err)
		}
		_ = resp.Body.Close()
	}
}

// Guards against connections that stay open although their upstream was removed
// or they were idle for too long.
func TestClosesUnusedConnections(t *testing.T) {
	ended := make(chan struct{}, 2)
	u := newRawUpstream(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
		for req := u.readRequest(br); req != nil; req = u.readRequest(br) {
			respond(c, req, 200, "", "ok")
		}
		ended <- struct{}{}
	})
	p := newPools(t)
	readAll(t, testContext(t), p, u.newAttempt("id-1"))
	p.Prune(map[health.Key]time.Duration{u.target().Key: time.Minute})
	if _, trace, _ := readAll(t, testContext(t), p, u.newAttempt("id-2")); trace.Fresh {
		t.Error("a recently used connection was closed")
	}
	p.Prune(map[health.Key]time.Duration{u.target().Key: 0})
	awaitEnd(t, ended)
	readAll(t, testContext(t), p, u.newAttempt("id-3"))
	p.Prune(nil)
	awaitEnd(t, ended)
}

func awaitEnd(t *testing.T, ended <-chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Fatal("the connection stays open")
	}
}
