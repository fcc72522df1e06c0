package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
)

// Guards against reuse of pooled connections that are closed, or on which
// unexpected bytes have arrived, which would be read as the response.
func TestVerifiesPooledConnections(t *testing.T) {
	for _, tc := range []struct {
		name       string
		reuse      bool
		afterFirst func(c *net.TCPConn) // what the upstream does after its first response
	}{
		{"healthy", true, func(*net.TCPConn) {}},
		{"closed", false, func(c *net.TCPConn) { _ = c.CloseWrite() }},
		{"reset", false, reset},
		{"unexpected bytes", false, func(c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			done := make(chan struct{})
			u := newRawUpstream(t, func(u *rawUpstream, n int, c *net.TCPConn, br *bufio.Reader) {
				respond(c, u.readRequest(br), 200, "", "one")
				if n == 0 {
					tc.afterFirst(c)
					close(done)
				}
				if req := u.readRequest(br); req != nil {
					respond(c, req, 200, "", "two")
				}
				drain(br)
			})
			p := newPools(t)
			ctx := testContext(t)
			readAll(t, ctx, p, u.newAttempt("id-1"))
			<-done
			// Loopback delivers in order and at once, but the transport may read
			// the bytes or the EOF before the check sees them.
			_, trace, data := readAll(t, ctx, p, u.newAttempt("id-2"))
			want := map[bool]string{true: "two", false: "one"}[tc.reuse]
			if trace.Fresh == tc.reuse || data != want {
				t.Errorf("fresh %t, response %q", trace.Fresh, data)
			}
		})
	}
}

// Guards against sending a request that is not idempotent on a connection that
// the upstream may be closing, because it has been idle for long.
func TestAgeOfPooledConnections(t *testing.T) {
	u := newRawUpstream(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
		for req := u.readRequest(br); req != nil; req = u.readRequest(br) {
			respond(c, req, 200, "", "ok")
		}
	})
	p := newPools(t)
	ctx := testContext(t)
	requests := 0
	fresh := func(idempotent bool) bool {
		requests++
		a := u.newAttempt(fmt.Sprint("id-", requests))
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
		t.Error("a verified connection was not reused")
	}
	age(maxIdleNonIdempotent)
	if fresh(true) {
		t.Error("an idempotent request did not use a pooled connection")
	}
	age(maxIdleNonIdempotent)
	if !fresh(false) {
		t.Error("a request that is not idempotent was sent on a connection that was idle for long")
	}
	age(u.target().IdleTimeout)
	if !fresh(true) {
		t.Error("a connection was used after the idle timeout")
	}
}

// Guards against more connections to an upstream than MaxConnections.
func TestConnectionLimit(t *testing.T) {
	u := newRawUpstream(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
		for req := u.readRequest(br); req != nil; req = u.readRequest(br) {
			respond(c, req, 200, "", "ok")
		}
	})
	p := newPools(t)
	ctx := testContext(t)
	var responses []*Response
	for range 2 {
		resp, _, err := p.Do(ctx, u.newAttempt("id"))
		if err != nil {
			t.Fatal(err)
		}
		responses = append(responses, resp)
	}
	_, trace, err := p.Do(ctx, u.newAttempt("id"))
	if errkind.Of(err) != errkind.NoUpstream || trace.Sent {
		t.Errorf("error %v", err)
	}
	for _, resp := range responses {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	a := u.newAttempt("id")
	a.FreshOnly = true
	if _, trace, _ := readAll(t, ctx, p, a); !trace.Fresh {
		t.Error("a pooled connection was used despite FreshOnly")
	}
	pl := p.pool(u.target())
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.busy != 0 || len(pl.idle) != 2 {
		t.Errorf("%d busy and %d idle connections", pl.busy, len(pl.idle))
	}
}
