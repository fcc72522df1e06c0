package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"knapweedreel/internal/errkind"
)

// phase is a point of a request at which the upstream breaks the connection.
type phase struct {
	name      string
	kind      errkind.Kind
	breakConn func(u *rawUpstream, c *net.TCPConn, br *bufio.Reader)
}

var phases = []phase{
	{"close after the first byte", errkind.UpstreamReset, func(u *rawUpstream, c *net.TCPConn, br *bufio.Reader) {
		if _, err := br.Peek(1); err == nil {
			u.mu.Lock()
			u.requests++
			u.mu.Unlock()
		}
		_ = c.CloseWrite()
		drain(br)
	}},
	{"reset after the header", errkind.UpstreamReset, func(u *rawUpstream, c *net.TCPConn, br *bufio.Reader) {
		u.readRequest(br)
		reset(c)
	}},
	{"close after the complete request", errkind.UpstreamReset, func(u *rawUpstream, c *net.TCPConn, br *bufio.Reader) {
		if req := u.readRequest(br); req != nil {
			_, _ = io.Copy(io.Discard, req.Body)
		}
	}},
	{"close in the response header", errkind.TruncatedAnswer, func(u *rawUpstream, c *net.TCPConn, br *bufio.Reader) {
		if req := u.readRequest(br); req != nil {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
		}
	}},
}

// Guards against requests that net/http resends on its own. It does so for safe
// methods, for requests without a body and for requests with an idempotency key,
// mostly on reused connections.
func TestNeverResends(t *testing.T) {
	for _, ph := range phases {
		for _, pooled := range []bool{false, true} {
			for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPut, http.MethodPost, http.MethodDelete, http.MethodOptions} {
				for _, key := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
					for _, body := range []string{"", "body"} {
						name := fmt.Sprintf("%s/pooled=%t/%s/%s/%s", ph.name, pooled, method, key, body)
						t.Run(name, func(t *testing.T) { neverResends(t, ph, pooled, method, key, body) })
					}
				}
			}
		}
	}
}

func neverResends(t *testing.T, ph phase, pooled bool, method, key, body string) {
	u := newRawUpstream(t, func(u *rawUpstream, n int, c *net.TCPConn, br *bufio.Reader) {
		if pooled && n == 0 {
			respond(c, u.readRequest(br), 200, "", "warm")
		}
		ph.breakConn(u, c, br)
	})
	p := newPools(t)
	ctx := testContext(t)
	earlier := 0
	if pooled {
		readAll(t, ctx, p, u.newAttempt("warm"))
		earlier = 1
	}
	a := u.newAttempt("id-1")
	a.Request.Method = method
	if body != "" {
		a.Request.Body = io.NopCloser(strings.NewReader(body))
		a.Request.ContentLength = int64(len(body))
		a.Request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(body)), nil }
	}
	if key != "" {
		a.Request.Header.Set(key, "k")
	}
	_, trace, err := p.Do(ctx, a)
	if err == nil {
		t.Fatal("no error")
	}
	if trace.Fresh == pooled || !trace.Sent {
		t.Errorf("trace %+v", trace)
	}
	if kind := errkind.Of(err); kind != ph.kind {
		t.Errorf("kind %s: %v", kind, err)
	}
	p.Close()
	_ = u.l.Close()
	u.wg.Wait()
	conns, requests := u.counts()
	if conns != 1 || requests-earlier != 1 {
		t.Errorf("%d connections, %d requests", conns, requests-earlier)
	}
}

// readAll makes an attempt, which must succeed, and reads the response.
func readAll(t *testing.T, ctx context.Context, p *Pools, a Attempt) (*Response, Trace, string) {
	t.Helper()
	resp, trace, err := p.Do(ctx, a)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	awaitReading(t, p, a.Target)
	return resp, trace, string(data)
}

// awaitReading waits until the transport reads from all idle connections. On a
// busy machine that can take longer than readStartTimeout, after which an
// attempt correctly opens a new connection.
func awaitReading(t *testing.T, p *Pools, target Target) {
	t.Helper()
	pl := p.pool(target)
	pl.mu.Lock()
	idle := slices.Clone(pl.idle)
	pl.mu.Unlock()
	for deadline := time.Now().Add(waitTimeout); len(idle) > 0; {
		if time.Now().After(deadline) {
			t.Fatal("the transport does not read from an idle connection")
		}
		idle = slices.DeleteFunc(idle, func(c *conn) bool { return c.netConn.waitReading() || c.client.Err() != nil })
	}
}

// Guards against forwarding a response that is not the complete response to the
// request, and against trusting a refusal that proves nothing.
func TestChecksResponses(t *testing.T) {
	const id = HeaderRequestID + ": id-1\r\n"
	for _, tc := range []struct {
		name, method, response string
		kind                   errkind.Kind // empty for a valid response
		refused                Refusal
	}{
		{"whole", "GET", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok", "", NotRefused},
		{"no echo", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "", NotRefused},
		{"chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "", NotRefused},
		{"early hints", "GET", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok", "", NotRefused},
		{"head", "HEAD", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 9\r\n\r\n", "", NotRefused},
		{"head without length", "HEAD", "HTTP/1.1 200 OK\r\n" + id + "\r\n", "", NotRefused},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n" + id + "\r\n", "", NotRefused},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\n" + id + "\r\n", "", NotRefused},
		{"shed", "GET", "HTTP/1.1 503 S\r\n" + id + "Knapweedreel-Refused: shed\r\nContent-Length: 0\r\n\r\n", "", Shed},
		{"draining", "GET", "HTTP/1.1 503 S\r\n" + id + "Knapweedreel-Refused: draining\r\nContent-Length: 0\r\n\r\n", "", Draining},
		{"refused with another status", "GET", "HTTP/1.1 500 S\r\n" + id + "Knapweedreel-Refused: shed\r\nContent-Length: 0\r\n\r\n", "", NotRefused},
		{"unknown refusal", "GET", "HTTP/1.1 503 S\r\n" + id + "Knapweedreel-Refused: tired\r\nContent-Length: 0\r\n\r\n", "", NotRefused},
		{"crossed", "GET", "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": id-2\r\nContent-Length: 2\r\n\r\nok", errkind.CrossedAnswer, NotRefused},
		{"crossed refusal", "GET", "HTTP/1.1 503 S\r\n" + HeaderRequestID + ": id-2\r\nKnapweedreel-Refused: shed\r\nContent-Length: 0\r\n\r\n", errkind.CrossedAnswer, NotRefused},
		{"two request IDs", "GET", "HTTP/1.1 200 OK\r\n" + id + HeaderRequestID + ": id-2\r\nContent-Length: 2\r\n\r\nok", errkind.CrossedAnswer, NotRefused},
		{"no framing", "GET", "HTTP/1.1 200 OK\r\n" + id + "\r\nok", errkind.BadAnswer, NotRefused},
		{"switching protocols", "GET", "HTTP/1.1 101 S\r\n" + id + "Connection: upgrade\r\nUpgrade: x\r\n\r\n", errkind.BadAnswer, NotRefused},
		{"not HTTP", "GET", "NOTHTTP\r\n\r\n", errkind.BadAnswer, NotRefused},
		{"two lengths", "GET", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", errkind.BadAnswer, NotRefused},
		{"header too large", "GET", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", errkind.BadAnswer, NotRefused},
		{"ends in the header", "GET", "HTTP/1.1 200 OK\r\n" + id, errkind.TruncatedAnswer, NotRefused},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := newRawUpstream(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
				u.readRequest(br)
				_, _ = io.WriteString(c, tc.response)
				_ = c.CloseWrite()
				drain(br)
			})
			p := newPools(t)
			a := u.newAttempt("id-1")
			a.Request.Method = tc.method
			resp, _, err := p.Do(testContext(t), a)
			if tc.kind != "" {
				if err == nil || errkind.Of(err) != tc.kind {
					t.Fatalf("error %v", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if resp.Refused != tc.refused {
				t.Errorf("refused %q", resp.Refused)
			}
			if _, err := io.ReadAll(resp.Body); err != nil {
				t.Error(err)
			}
			_ = resp.Body.Close()
		})
	}
}

// Guards against three faults with protocols whose responses end when the
// connection closes: such a response is rejected, one that a reset truncated is
// taken for complete, or the connection is reused afterwards.
func TestResponsesEndedByConnectionClose(t *testing.T) {
	for _, reset := range []bool{false, true} {
		u := newRawUpstream(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
			u.readRequest(br)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+HeaderRequestID+": id-1\r\n\r\nbody")
			if reset {
				_ = c.SetLinger(0)
				return
			}
			_ = c.CloseWrite()
			drain(br)
		})
		protocol := DefaultProtocol()
		protocol.Unframed = true
		p := newPools(t, func(c *Config) { c.Protocol = protocol })
		for range 2 {
			resp, trace, err := p.Do(testContext(t), u.newAttempt("id-1"))
			if err != nil {
				if !reset || errkind.Of(err) != errkind.UpstreamReset && errkind.Of(err) != errkind.TruncatedAnswer {
					t.Fatal(err)
				}
				continue // the reset came before the response was read
			}
			if !trace.Fresh {
				t.Error("the connection was reused")
			}
			got, err := io.ReadAll(resp.Body)
			if reset && errkind.Of(err) != errkind.TruncatedAnswer || !reset && (err != nil || string(got) != "body") {
				t.Errorf("reset %t: got %q, error %v", reset, got, err)
			}
			_ = resp.Body.Close()
		}
	}
}

// Guards against taking a truncated response for a complete one.
func TestTruncatedBody(t *testing.T) {
	for _, tc := range []string{
		"Content-Length: 9\r\n\r\nshort",
		"Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"Transfer-Encoding: chunked\r\n\r\n9\r\nshort",
		"Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n",
	} {
		u := newRawUpstream(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
			u.readRequest(br)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+tc)
		})
		p := newPools(t)
		resp, _, err := p.Do(testContext(t), u.newAttempt("id-1"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err = io.ReadAll(resp.Body); err == nil || errkind.Of(err) != errkind.TruncatedAnswer {
			t.Errorf("%q: error %v", tc, err)
		}
		_ = resp.Body.Close()
	}
}

// Guards against Trace.Sent being false for a request that was written, and true
// for one that was not.
func TestSentIsExact(t *testing.T) {
	t.Run("no listener", func(t *testing.T) {
		u := newRawUpstream(t, func(*rawUpstream, int, *net.TCPConn, *bufio.Reader) {})
		_ = u.l.Close()
		_, trace, err := newPools(t).Do(testContext(t), u.newAttempt("id-1"))
		if trace.Sent || !trace.Fresh || errkind.Of(err) != errkind.ConnectFailed {
			t.Errorf("trace %+v, error %v", trace, err)
		}
	})
	t.Run("the first write fails", func(t *testing.T) {
		u := newRawUpstream(t, func(_ *rawUpstream, _ int, _ *net.TCPConn, br *bufio.Reader) { drain(br) })
		p := New(Config{ConnectTimeout: waitTimeout, HeaderBytes: 8 << 10, Dial: dialFailingWrites})
		t.Cleanup(p.Close)
		a := u.newAttempt("id-1")
		a.Request.Body, a.Request.ContentLength = io.NopCloser(strings.NewReader("body")), 4
		_, trace, err := p.Do(testContext(t), a)
		if trace.Sent || errkind.Of(err) != errkind.ConnectFailed {
			t.Errorf("trace %+v, error %v", trace, err)
		}
	})
	t.Run("canceled while waiting", func(t *testing.T) {
		ctx, cancel := context.WithCancel(testContext(t))
		u := newRawUpstream(t, func(u *rawUpstream, _ int, _ *net.TCPConn, br *bufio.Reader) {
			u.readRequest(br)
			cancel()
			drain(br)
		})
		_, trace, err := newPools(t).Do(ctx, u.newAttempt("id-1"))
		if !trace.Sent || !errors.Is(err, context.Canceled) {
			t.Errorf("trace %+v, error %v", trace, err)
		}
	})
	t.Run("canceled before sending", func(t *testing.T) {
		ctx, cancel := context.WithCancel(testContext(t))
		u := newRawUpstream(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
			respond(c, u.readRequest(br), 200, "", "warm")
			if u.readRequest(br) != nil {
				t.Error("a canceled request was sent")
			}
		})
		p := newPools(t)
		readAll(t, ctx, p, u.newAttempt("warm"))
		cancel()
		_, trace, err := p.Do(ctx, u.newAttempt("id-1"))
		if trace.Sent || !errors.Is(err, context.Canceled) {
			t.Errorf("trace %+v, error %v", trace, err)
		}
	})
}

func dialFailingWrites(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return failingWrites{c}, nil
}

type failingWrites struct{ net.Conn }

func (failingWrites) Write([]byte) (int, error) { return 0, errors.New("no write") }

// Guards against the second copy of a response that arrives after the connection
// was taken for the next request: the next caller must not receive it, whatever
// its status and whether it carries its request's ID.
func TestLateSecondCopyIsNotTheNextResponse(t *testing.T) {
	copies := map[string]string{
		"success":                     "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": id-1\r\nTest-Signature: s\r\nContent-Length: 5\r\n\r\nfirst",
		"failure":                     "HTTP/1.1 500 S\r\n" + HeaderRequestID + ": id-1\r\nContent-Length: 5\r\n\r\nfirst",
		"success without ID":          "HTTP/1.1 200 OK\r\nTest-Signature: s\r\nContent-Length: 5\r\n\r\nfirst",
		"failure without ID":          "HTTP/1.1 500 S\r\nContent-Length: 5\r\n\r\nfirst",
		"failure, signed, without ID": "HTTP/1.1 504 S\r\nTest-Signature: s\r\nContent-Length: 5\r\n\r\nfirst",
		"refusal without ID":          "HTTP/1.1 503 S\r\nKnapweedreel-Refused: shed\r\nContent-Length: 0\r\n\r\n",
		"redirect without ID":         "HTTP/1.1 304 S\r\n\r\n",
	}
	for name, late := range copies {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, func(u *rawUpstream, n int, c *net.TCPConn, br *bufio.Reader) {
				req := u.readRequest(br)
				if req == nil {
					return
				}
				respond(c, req, 200, "Test-Signature: s\r\n", "first")
				if n == 0 && u.readRequest(br) != nil {
					_, _ = io.WriteString(c, late)
				}
				drain(br)
			})
			p := newPools(t, func(cfg *Config) {
				cfg.Protocol = DefaultProtocol()
				cfg.Protocol.Signature = "Test-Signature"
			})
			ctx := testContext(t)
			resp, _, err := p.Do(ctx, u.newAttempt("id-1"))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			resp, trace, err := p.Do(ctx, u.newAttempt("id-2"))
			if err == nil {
				data, _ := io.ReadAll(resp.Body)
				t.Errorf("status %d, %q on a fresh connection: %t", resp.StatusCode, data, trace.Fresh)
				_ = resp.Body.Close()
			} else if kind := errkind.Of(err); kind != errkind.CrossedAnswer && kind != errkind.BadAnswer {
				t.Errorf("error %v", err)
			}
		})
	}
}
