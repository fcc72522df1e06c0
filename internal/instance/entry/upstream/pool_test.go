package upstream

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
)

// Guards against requests on pooled connections that are dead or that carry
// bytes nobody asked for, which would be read as the answer.
func TestVerifiesPooledConnections(t *testing.T) {
	for _, tc := range []struct {
		name  string
		reuse bool
		idle  func(c *net.TCPConn) // what the upstream does after its first answer
	}{
		{"healthy", true, func(*net.TCPConn) {}},
		{"closed", false, func(c *net.TCPConn) { _ = c.CloseWrite() }},
		{"reset", false, reset},
		{"unexpected bytes", false, func(c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			idled := make(chan struct{})
			u := newRaw(t, func(u *rawUpstream, n int, c *net.TCPConn, br *bufio.Reader) {
				answer(c, u.request(br), 200, "", "one")
				if n == 0 {
					tc.idle(c)
					close(idled)
				}
				if req := u.request(br); req != nil {
					answer(c, req, 200, "", "two")
				}
				drain(br)
			})
			p := newPools(t)
			ctx := testContext(t)
			readAll(t, ctx, p, u.get("id-1"))
			<-idled
			// Loopback delivers in order and at once, but the reader of the
			// connection may take the bytes or the end before the check does.
			_, trace, data := readAll(t, ctx, p, u.get("id-2"))
			want := map[bool]string{true: "two", false: "one"}[tc.reuse]
			if trace.Fresh == tc.reuse || data != want {
				t.Errorf("fresh %t, answer %q", trace.Fresh, data)
			}
		})
	}
}

// Guards against requests that are not idempotent on connections that may be
// closed by the upstream at that moment.
func TestAgeOfPooledConnections(t *testing.T) {
	u := newRaw(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
		for req := u.request(br); req != nil; req = u.request(br) {
			answer(c, req, 200, "", "ok")
		}
	})
	p := newPools(t)
	ctx := testContext(t)
	fresh := func(idempotent bool) bool {
		a := u.get("id")
		a.Idempotent = idempotent
		_, trace, _ := readAll(t, ctx, p, a)
		return trace.Fresh
	}
	age := func(d time.Duration) {
		pl := p.pool(u.target())
		pl.mu.Lock()
		defer pl.mu.Unlock()
		for _, c := range pl.idle {
			c.lastUsed = c.lastUsed.Add(-d)
		}
	}
	if !fresh(false) || fresh(false) {
		t.Error("a verified connection was not used again")
	}
	age(verifiedFor)
	if fresh(true) {
		t.Error("an idempotent request did not use a pooled connection")
	}
	age(verifiedFor)
	if !fresh(false) {
		t.Error("a connection that was idle for long carried a request that is not idempotent")
	}
	age(u.target().IdleTimeout)
	if !fresh(true) {
		t.Error("a connection was used after the idle timeout")
	}
}

// Guards against more connections than the upstream allows this instance.
func TestConnectionLimit(t *testing.T) {
	u := newRaw(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
		for req := u.request(br); req != nil; req = u.request(br) {
			answer(c, req, 200, "", "ok")
		}
	})
	p := newPools(t)
	ctx := testContext(t)
	var held []*Answer
	for range 2 {
		ans, _, err := p.Do(ctx, u.get("id"))
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, ans)
	}
	_, trace, err := p.Do(ctx, u.get("id"))
	if errkind.Of(err) != errkind.NoUpstream || trace.Sent {
		t.Errorf("error %v", err)
	}
	for _, ans := range held {
		_, _ = io.Copy(io.Discard, ans.Body)
		_ = ans.Body.Close()
	}
	a := u.get("id")
	a.FreshOnly = true
	if _, trace, _ := readAll(t, ctx, p, a); !trace.Fresh {
		t.Error("a pooled connection was used against the request")
	}
	pl := p.pool(u.target())
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.busy != 0 || len(pl.idle) != 2 {
		t.Errorf("%d busy and %d idle connections", pl.busy, len(pl.idle))
	}
}
