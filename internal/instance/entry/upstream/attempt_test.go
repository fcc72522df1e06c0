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

// phase is a point at which an upstream ends the connection under a request.
type phase struct {
	name string
	kind errkind.Kind
	kill func(u *rawUpstream, c *net.TCPConn, br *bufio.Reader)
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
		u.request(br)
		reset(c)
	}},
	{"close after the whole request", errkind.UpstreamReset, func(u *rawUpstream, c *net.TCPConn, br *bufio.Reader) {
		if req := u.request(br); req != nil {
			_, _ = io.Copy(io.Discard, req.Body)
		}
	}},
	{"close in the answer header", errkind.TruncatedAnswer, func(u *rawUpstream, c *net.TCPConn, br *bufio.Reader) {
		if req := u.request(br); req != nil {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
		}
	}},
}

// Guards against requests that net/http sends again by itself: it does so for
// methods without effects, requests without body and requests with an
// idempotency key, and most eagerly on connections that were used before.
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
	u := newRaw(t, func(u *rawUpstream, n int, c *net.TCPConn, br *bufio.Reader) {
		if pooled && n == 0 {
			answer(c, u.request(br), 200, "", "warm")
		}
		ph.kill(u, c, br)
	})
	p := newPools(t)
	ctx := testContext(t)
	before := 0
	if pooled {
		readAll(t, ctx, p, u.get("warm"))
		before = 1
	}
	a := u.get("id-1")
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
	u.waiters.Wait()
	conns, requests := u.counts()
	if conns != 1 || requests-before != 1 {
		t.Errorf("%d connections, %d requests", conns, requests-before)
	}
}

// readAll makes an attempt that succeeds and reads its answer.
func readAll(t *testing.T, ctx context.Context, p *Pools, a Attempt) (*Answer, Trace, string) {
	t.Helper()
	ans, trace, err := p.Do(ctx, a)
	if err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(ans.Body)
	if err != nil {
		t.Fatal(err)
	}
	_ = ans.Body.Close()
	awaitParked(t, p, a.Target)
	return ans, trace, string(data)
}

// awaitParked waits until the readers of idle connections wait for the next
// answer. On a busy machine that can take longer than parkLimit, after which an
// attempt rightly opens a connection.
func awaitParked(t *testing.T, p *Pools, target Target) {
	t.Helper()
	pl := p.pool(target)
	pl.mu.Lock()
	idle := slices.Clone(pl.idle)
	pl.mu.Unlock()
	for limit := time.Now().Add(waitLimit); len(idle) > 0; {
		if time.Now().After(limit) {
			t.Fatal("the reader of an idle connection does not wait for an answer")
		}
		idle = slices.DeleteFunc(idle, func(c *conn) bool { return c.counted.waitParked() || c.client.Err() != nil })
	}
}

// Guards against answers that are passed on although they are not the whole
// answer to the request, and against refusals that prove nothing.
func TestChecksAnswers(t *testing.T) {
	const id = HeaderRequestID + ": id-1\r\n"
	for _, tc := range []struct {
		name, method, answer string
		kind                 errkind.Kind // empty for a good answer
		refused              Refusal
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
		{"two identities", "GET", "HTTP/1.1 200 OK\r\n" + id + HeaderRequestID + ": id-2\r\nContent-Length: 2\r\n\r\nok", errkind.CrossedAnswer, NotRefused},
		{"no framing", "GET", "HTTP/1.1 200 OK\r\n" + id + "\r\nok", errkind.BadAnswer, NotRefused},
		{"switching protocols", "GET", "HTTP/1.1 101 S\r\n" + id + "Connection: upgrade\r\nUpgrade: x\r\n\r\n", errkind.BadAnswer, NotRefused},
		{"no HTTP", "GET", "NOTHTTP\r\n\r\n", errkind.BadAnswer, NotRefused},
		{"two lengths", "GET", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", errkind.BadAnswer, NotRefused},
		{"header too large", "GET", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", errkind.BadAnswer, NotRefused},
		{"ends in the header", "GET", "HTTP/1.1 200 OK\r\n" + id, errkind.TruncatedAnswer, NotRefused},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := newRaw(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
				u.request(br)
				_, _ = io.WriteString(c, tc.answer)
				_ = c.CloseWrite()
				drain(br)
			})
			p := newPools(t)
			a := u.get("id-1")
			a.Request.Method = tc.method
			ans, _, err := p.Do(testContext(t), a)
			if tc.kind != "" {
				if err == nil || errkind.Of(err) != tc.kind {
					t.Fatalf("error %v", err)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if ans.Refused != tc.refused {
				t.Errorf("refused %q", ans.Refused)
			}
			if _, err := io.ReadAll(ans.Body); err != nil {
				t.Error(err)
			}
			_ = ans.Body.Close()
		})
	}
}

// Guards against an answer that is thrown away, where the protocol has answers
// that end with their connection, against one that a reset cuts short and that
// looks whole, and against a connection that is used again after one.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		u := newRaw(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
			u.request(br)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+HeaderRequestID+": id-1\r\n\r\nbody")
			if reset {
				_ = c.SetLinger(0)
				return
			}
			_ = c.CloseWrite()
			drain(br)
		})
		protocol := OwnProtocol()
		protocol.Unframed = true
		p := newPools(t, func(c *Config) { c.Protocol = protocol })
		for range 2 {
			ans, trace, err := p.Do(testContext(t), u.get("id-1"))
			if err != nil {
				if !reset || errkind.Of(err) != errkind.UpstreamReset && errkind.Of(err) != errkind.TruncatedAnswer {
					t.Fatal(err)
				}
				continue // the reset overtook the answer
			}
			if !trace.Fresh {
				t.Error("the connection is used again")
			}
			got, err := io.ReadAll(ans.Body)
			if reset && errkind.Of(err) != errkind.TruncatedAnswer || !reset && (err != nil || string(got) != "body") {
				t.Errorf("reset %t: got %q, error %v", reset, got, err)
			}
			_ = ans.Body.Close()
		}
	}
}

// Guards against a short answer that is taken for a whole one.
func TestTruncatedBody(t *testing.T) {
	for _, tc := range []string{
		"Content-Length: 9\r\n\r\nshort",
		"Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"Transfer-Encoding: chunked\r\n\r\n9\r\nshort",
		"Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n",
	} {
		u := newRaw(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
			u.request(br)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+tc)
		})
		p := newPools(t)
		ans, _, err := p.Do(testContext(t), u.get("id-1"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err = io.ReadAll(ans.Body); err == nil || errkind.Of(err) != errkind.TruncatedAnswer {
			t.Errorf("%q: error %v", tc, err)
		}
		_ = ans.Body.Close()
	}
}

// Guards against "not run" claims about requests that were written, and
// against "sent" claims about those that were not.
func TestSentIsExact(t *testing.T) {
	t.Run("nothing listens", func(t *testing.T) {
		u := newRaw(t, func(*rawUpstream, int, *net.TCPConn, *bufio.Reader) {})
		_ = u.l.Close()
		_, trace, err := newPools(t).Do(testContext(t), u.get("id-1"))
		if trace.Sent || !trace.Fresh || errkind.Of(err) != errkind.ConnectFailed {
			t.Errorf("trace %+v, error %v", trace, err)
		}
	})
	t.Run("the first write fails", func(t *testing.T) {
		u := newRaw(t, func(_ *rawUpstream, _ int, _ *net.TCPConn, br *bufio.Reader) { drain(br) })
		p := New(Config{ConnectTimeout: waitLimit, HeaderBytes: 8 << 10, Dial: dialFailingWrites})
		t.Cleanup(p.Close)
		a := u.get("id-1")
		a.Request.Body, a.Request.ContentLength = io.NopCloser(strings.NewReader("body")), 4
		_, trace, err := p.Do(testContext(t), a)
		if trace.Sent || errkind.Of(err) != errkind.ConnectFailed {
			t.Errorf("trace %+v, error %v", trace, err)
		}
	})
	t.Run("cancelled while waiting", func(t *testing.T) {
		ctx, cancel := context.WithCancel(testContext(t))
		u := newRaw(t, func(u *rawUpstream, _ int, _ *net.TCPConn, br *bufio.Reader) {
			u.request(br)
			cancel()
			drain(br)
		})
		_, trace, err := newPools(t).Do(ctx, u.get("id-1"))
		if !trace.Sent || !errors.Is(err, context.Canceled) {
			t.Errorf("trace %+v, error %v", trace, err)
		}
	})
	t.Run("cancelled before", func(t *testing.T) {
		ctx, cancel := context.WithCancel(testContext(t))
		u := newRaw(t, func(u *rawUpstream, _ int, c *net.TCPConn, br *bufio.Reader) {
			answer(c, u.request(br), 200, "", "warm")
			if u.request(br) != nil {
				t.Error("a cancelled request was sent")
			}
		})
		p := newPools(t)
		readAll(t, ctx, p, u.get("warm"))
		cancel()
		_, trace, err := p.Do(ctx, u.get("id-1"))
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
