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

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a refusal that is lost when the upstream closes its connection
// without reading the body: writing fails, and the refusal is still unread.
func TestAnswerBeforeBodyEnds(t *testing.T) {
	u := newRaw(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
		answer(c, u.request(br), http.StatusServiceUnavailable, HeaderRefused+": shed\r\n", strings.Repeat("x", 8<<10))
	})
	p := newPools(t)
	const size = 16 << 20
	for range 50 {
		a := u.get("id-1")
		a.Request.Method = http.MethodPost
		a.Request.Body, a.Request.ContentLength = io.NopCloser(io.LimitReader(zeros{}, size)), size
		ans, trace, err := p.Do(testContext(t), a)
		if err != nil {
			t.Fatalf("trace %+v, error %v", trace, err)
		}
		data, err := io.ReadAll(ans.Body)
		if ans.Refused != Shed || len(data) != 8<<10 || err != nil {
			t.Fatalf("refused %q, %d bytes, error %v", ans.Refused, len(data), err)
		}
		_ = ans.Body.Close()
	}
}

// Guards against connections to removed upstreams, and against idle ones, that
// stay open.
func TestTidy(t *testing.T) {
	ended := make(chan struct{}, 2)
	u := newRaw(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
		for req := u.request(br); req != nil; req = u.request(br) {
			answer(c, req, 200, "", "ok")
		}
		ended <- struct{}{}
	})
	p := newPools(t)
	readAll(t, testContext(t), p, u.get("id-1"))
	p.Tidy(map[health.Key]time.Duration{u.target().Key: time.Minute})
	if _, trace, _ := readAll(t, testContext(t), p, u.get("id-2")); trace.Fresh {
		t.Error("a connection in use was closed")
	}
	p.Tidy(map[health.Key]time.Duration{u.target().Key: 0})
	awaitEnd(t, ended)
	readAll(t, testContext(t), p, u.get("id-3"))
	p.Tidy(nil)
	awaitEnd(t, ended)
}

func awaitEnd(t *testing.T, ended <-chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(waitLimit):
		t.Fatal("the connection stays open")
	}
}
