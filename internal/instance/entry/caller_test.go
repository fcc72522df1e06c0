package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/entry/upstream"
)

// Guards against answers of net/http itself, which lack the error kind, and
// against requests that would be run under another path or protocol.
func TestRefusesRequests(t *testing.T) {
	c := &fakeControl{snap: snapshotOf(testDocument(), standin(t, "u1", func(http.ResponseWriter, *http.Request) {
		t.Error("the request reached an upstream")
	}))}
	_, url := startServer(t, c, nil)
	const host = "Host: svc\r\nConnection: close\r\n"
	for _, tc := range []struct {
		name, request string
		kind          errkind.Kind
	}{
		{"no HTTP", "hello\r\n\r\n", errkind.BadRequest},
		{"no host", "GET /read/x HTTP/1.1\r\n\r\n", errkind.BadRequest},
		{"unknown transfer encoding", "POST /read/x HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip\r\n\r\n", errkind.BadRequest},
		{"unknown expectation", "POST /read/x HTTP/1.1\r\n" + host + "Expect: tea\r\n\r\n", errkind.BadRequest},
		{"header too large", "GET /read/x HTTP/1.1\r\n" + host + "X: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", errkind.HeaderTooLarge},
		{"connect", "CONNECT svc:80 HTTP/1.1\r\n" + host + "\r\n", errkind.BadRequest},
		{"upgrade", "GET /read/x HTTP/1.1\r\nHost: svc\r\nConnection: close, upgrade\r\nUpgrade: x\r\n\r\n", errkind.BadRequest},
		{"dot segments", "GET /read/../write/x HTTP/1.1\r\n" + host + "\r\n", errkind.BadRequest},
		{"encoded dot segments", "GET /read/%2e%2E%2fwrite/x HTTP/1.1\r\n" + host + "\r\n", errkind.BadRequest},
		{"bad deadline", "GET /read/x HTTP/1.1\r\n" + host + "Knapweedreel-Deadline-Ms: soon\r\n\r\n", errkind.BadRequest},
		{"bad identity", "GET /read/x HTTP/1.1\r\n" + host + "Knapweedreel-Request-Id: a b\r\n\r\n", errkind.BadRequest},
		{"announced body too large", "POST /small HTTP/1.1\r\n" + host + "Content-Length: 11\r\n\r\n01234567890", errkind.BodyTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			// The connection may be reset after the answer, because net/http
			// does not read a header to its end.
			data, _ := exchangeRaw(t, url, tc.request)
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(data)), nil)
			if err != nil {
				t.Fatalf("%v in %q", err, data)
			}
			if _, err := io.ReadAll(resp.Body); err != nil || resp.ContentLength <= 0 {
				t.Errorf("body of length %d: %v", resp.ContentLength, err)
			}
			want := errkind.Lookup(tc.kind)
			if resp.StatusCode != want.Status || resp.Header.Get(errkind.HeaderError) != string(tc.kind) || resp.Header.Get(errkind.HeaderRun) != string(want.Run) {
				t.Errorf("answer %q", data)
			}
		})
	}
}

// Guards against a body over the limit that reaches an upstream as a whole one,
// and against an answer that is lost because the caller is still sending.
func TestBodyLimit(t *testing.T) {
	whole := make(chan bool, 1)
	up := standin(t, "u1", func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		whole <- err == nil
	})
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	_, url := startServer(t, c, nil)
	req := request(t, http.MethodPost, url+"/small", bytes.Repeat([]byte("x"), 8<<20))
	req.ContentLength = -1
	resp, _ := do(t, req)
	if resp.Header.Get(errkind.HeaderError) != string(errkind.BodyLimitExceeded) {
		t.Errorf("header %v", resp.Header)
	}
	select {
	case ok := <-whole:
		if ok {
			t.Error("the upstream took the body for a whole one")
		}
	case <-time.After(waitLimit):
		t.Error("the upstream still waits for the body")
	}
	if out := c.reported(); len(out) != 1 || out[0].Class != health.Neutral {
		t.Errorf("outcomes %+v", out)
	}
}

// Guards against asking a caller for its body before there is an upstream for
// it, and against a caller that waits for 100 Continue in vain.
func TestExpectContinue(t *testing.T) {
	snap := snapshotOf(testDocument(), standin(t, "u1", succeed))
	c := &fakeControl{snap: snap}
	_, url := startServer(t, c, nil)
	const format = "POST %s HTTP/1.1\r\nHost: svc\r\nExpect: 100-continue\r\nContent-Length: 4\r\nConnection: close\r\n\r\n%s"
	data, err := exchangeRaw(t, url, fmt.Sprintf(format, "/write/x", "body"))
	if err != nil || !strings.HasPrefix(data, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n") || !strings.HasSuffix(data, "body") {
		t.Errorf("%q, %v", data, err)
	}
	data, err = exchangeRaw(t, url, fmt.Sprintf(format, "/nowhere", ""))
	if err != nil || !strings.HasPrefix(data, "HTTP/1.1 404 ") {
		t.Errorf("%q, %v", data, err)
	}
}

// Guards against upstreams that work on for a caller that has gone, slots that
// stay taken, and a caller's haste that counts against the upstream.
func TestCallerGone(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	up := standin(t, "u1", func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	s, url := startServer(t, c, nil)
	ctx, cancel := context.WithCancel(t.Context())
	req := request(t, http.MethodGet, url+"/read/x", nil).WithContext(ctx)
	req.Header.Set(upstream.HeaderRequestID, "gone")
	go func() {
		<-began
		cancel()
	}()
	if _, err := callers.RoundTrip(req); err == nil {
		t.Fatal("an answer")
	}
	select {
	case <-ended:
	case <-time.After(waitLimit):
		t.Fatal("the upstream was not told")
	}
	eventually(t, "end of the request", func() bool { _, ok := s.ExplainRequest("gone"); return ok })
	if out := c.reported(); len(out) != 1 || out[0].Class != health.Neutral || out[0].Reason != string(errkind.CallerGone) {
		t.Errorf("outcomes %+v", out)
	}
	if x, _ := s.ExplainRequest("gone"); x.Kind != string(errkind.CallerGone) || len(s.InFlight()) != 0 {
		t.Errorf("explanation %+v", x)
	}
}

// Guards against a failed upstream that is noticed only once a slow caller has
// sent its body, against a caller's stalled body that outlives the deadline, and
// against a slot that is held while a short body arrives.
func TestStalledBody(t *testing.T) {
	t.Run("a short body", func(t *testing.T) {
		c := &fakeControl{snap: snapshotOf(testDocument(), standin(t, "u1", succeed))}
		s, url := startServer(t, c, nil)
		data, _ := exchangeRaw(t, url, "POST /write/x HTTP/1.1\r\nHost: svc\r\nKnapweedreel-Deadline-Ms: 50\r\nKnapweedreel-Request-Id: id-1\r\nContent-Length: 10\r\n\r\n12345")
		if !strings.Contains(data, "Knapweedreel-Error: deadline-before-send\r\n") {
			t.Errorf("answer %q", data)
		}
		if x, _ := s.ExplainRequest("id-1"); len(x.Attempts) != 0 {
			t.Errorf("attempts %+v", x.Attempts)
		}
	})
	t.Run("the upstream fails", func(t *testing.T) {
		up := rawStandin(t, "u1", func(net.Conn, *http.Request) {})
		c := &fakeControl{snap: snapshotOf(testDocument(), up)}
		_, url := startServer(t, c, nil)
		data, _ := exchangeRaw(t, url, "POST /write/x HTTP/1.1\r\nHost: svc\r\nContent-Length: 100000\r\n\r\n12345")
		if !strings.Contains(data, "Knapweedreel-Error: upstream-reset\r\n") {
			t.Errorf("answer %q", data)
		}
	})
	t.Run("the deadline passes", func(t *testing.T) {
		c := &fakeControl{snap: snapshotOf(testDocument(), standin(t, "u1", succeed))}
		_, url := startServer(t, c, nil)
		data, _ := exchangeRaw(t, url, "POST /write/x HTTP/1.1\r\nHost: svc\r\nKnapweedreel-Deadline-Ms: 50\r\nContent-Length: 100000\r\n\r\n12345")
		if !strings.Contains(data, "Knapweedreel-Error: deadline-exceeded\r\n") {
			t.Errorf("answer %q", data)
		}
		if out := c.reported(); len(out) != 1 || out[0].Class != health.Neutral {
			t.Errorf("outcomes %+v", out)
		}
	})
}

// Guards against a deadline that is not passed on or not kept, and against an
// upstream that stays silent without being reported.
func TestDeadline(t *testing.T) {
	told := make(chan string, 1)
	up := standin(t, "u1", func(_ http.ResponseWriter, r *http.Request) {
		told <- r.Header.Get(headerDeadline)
		<-r.Context().Done()
	})
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	_, url := startServer(t, c, nil)
	req := request(t, http.MethodGet, url+"/write/x", nil)
	req.Header.Set(headerDeadline, "300")
	resp, _ := do(t, req)
	if resp.Header.Get(errkind.HeaderError) != string(errkind.DeadlineExceeded) {
		t.Errorf("header %v", resp.Header)
	}
	if ms := <-told; len(ms) != 3 || ms > "300" {
		t.Errorf("the upstream was told %s ms", ms)
	}
	if out := c.reported(); len(out) != 1 || out[0].Class != health.Failed {
		t.Errorf("outcomes %+v", out)
	}
	req.Header.Set(headerDeadline, "0")
	if resp, _ = do(t, req); resp.Header.Get(errkind.HeaderError) != string(errkind.DeadlineBeforeSend) {
		t.Errorf("header %v", resp.Header)
	}
}
