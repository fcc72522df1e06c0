package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
)

// earlyCopies are responses to a first attempt whose second copy comes while a
// second attempt of the same request waits for its own response.
var earlyCopies = map[string]string{
	"refusal":              "HTTP/1.1 503 S\r\n" + HeaderRequestID + ": id-1\r\nKnapweedreel-Refused: shed\r\nContent-Length: 0\r\n\r\n",
	"refusal with backoff": "HTTP/1.1 503 S\r\n" + HeaderRequestID + ": id-1\r\nKnapweedreel-Refused: shed\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n",
	"draining":             "HTTP/1.1 503 S\r\n" + HeaderRequestID + ": id-1\r\nKnapweedreel-Refused: draining\r\nContent-Length: 0\r\n\r\n",
	"failure":              "HTTP/1.1 500 S\r\n" + HeaderRequestID + ": id-1\r\nContent-Length: 5\r\n\r\nfirst",
	"failure, leaving":     "HTTP/1.1 500 S\r\n" + HeaderRequestID + ": id-1\r\nTest-Leaving: 1\r\nContent-Length: 5\r\n\r\nfirst",
	"success":              "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": id-1\r\nTest-Signature: s\r\nContent-Length: 5\r\n\r\nfirst",
}

// Guards against the second copy of a response that is taken for the response to
// another attempt of the same request, on the connection of the first attempt: a
// refusal then says of a running request that it was not run.
func TestLateCopyIsNotTheResponseToAnotherAttempt(t *testing.T) {
	for name, early := range earlyCopies {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, func(u *rawUpstream, n int, c *net.TCPConn, br *bufio.Reader) {
				for range 2 {
					req := u.readRequest(br)
					if req == nil {
						return
					}
					if n == 0 {
						_, _ = io.WriteString(c, early)
					} else {
						respond(c, req, 200, "Test-Signature: s\r\n", "second")
					}
				}
			})
			p := newPools(t, func(cfg *Config) {
				cfg.Protocol = DefaultProtocol()
				cfg.Protocol.Signature, cfg.Protocol.Leaving = "Test-Signature", "Test-Leaving"
			})
			ctx := testContext(t)
			readAll(t, ctx, p, u.newAttempt("id-1"))
			resp, trace, body := readAll(t, ctx, p, u.newAttempt("id-1"))
			if resp.StatusCode != http.StatusOK || body != "second" || trace.Backoff != 0 || trace.Leaving {
				t.Errorf("status %d, %q, trace %+v", resp.StatusCode, body, trace)
			}
			if conns, requests := u.counts(); conns != 2 || requests != 2 {
				t.Errorf("%d connections, %d requests", conns, requests)
			}
		})
	}
}

// Guards against attempts of one request that share a connection although other
// requests were sent on it in between, and against connections that other
// requests no longer share.
func TestConnectionCarriesEachRequestIDOnce(t *testing.T) {
	var repeated atomic.Int64
	u := newRawUpstream(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
		seen := make(map[string]bool)
		for {
			req := u.readRequest(br)
			if req == nil {
				return
			}
			id := req.Header.Get(HeaderRequestID)
			if seen[id] {
				repeated.Add(1)
			}
			seen[id] = true
			respond(c, req, 200, "", "ok")
		}
	})
	p := newPools(t)
	ctx := testContext(t)
	for _, id := range []string{"a", "b", "c", "a", "b", "d", "a"} {
		readAll(t, ctx, p, u.newAttempt(id))
	}
	// The connections carry a, b, c; a, b, d; and a.
	if conns, requests := u.counts(); conns != 3 || requests != 7 || repeated.Load() != 0 {
		t.Errorf("%d connections, %d requests, %d repeated", conns, requests, repeated.Load())
	}
}

// Guards against a connection whose record of request IDs grows without a bound.
func TestConnectionIsReplacedAfterMaxRequests(t *testing.T) {
	u := newRawUpstream(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
		for req := u.readRequest(br); req != nil; req = u.readRequest(br) {
			respond(c, req, 200, "", "ok")
		}
	})
	p := newPools(t)
	ctx := testContext(t)
	for n := range maxRequests + 1 {
		readAll(t, ctx, p, u.newAttempt(fmt.Sprint("id-", n)))
	}
	if conns, _ := u.counts(); conns != 2 {
		t.Errorf("%d connections for %d requests", conns, maxRequests+1)
	}
}

// Guards against a backoff that a rejected response asks for: a late copy repeats
// one that the upstream asked for earlier, or that was meant for another instance.
func TestRejectedResponseSetsNoBackoff(t *testing.T) {
	u := newRawUpstream(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
		respond(c, u.readRequest(br), 200, "", "ok")
		if u.readRequest(br) != nil {
			_, _ = io.WriteString(c, earlyCopies["refusal with backoff"])
		}
		drain(br)
	})
	p := newPools(t)
	ctx := testContext(t)
	readAll(t, ctx, p, u.newAttempt("id-1"))
	_, trace, err := p.Do(ctx, u.newAttempt("id-2"))
	if errkind.Of(err) != errkind.CrossedAnswer || trace.Backoff != 0 {
		t.Errorf("backoff of %v, error %v", trace.Backoff.Round(time.Second), err)
	}
}
