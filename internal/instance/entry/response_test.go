package entry

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/routing"
)

// rawStandin starts an upstream that responds to each request with the bytes
// that serve writes, and then closes the connection.
func rawStandin(t *testing.T, id string, serve func(c net.Conn, req *http.Request)) routing.Upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(waitTimeout))
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c, req)
				}
			}()
		}
	}()
	return upstreamAt(id, l.Addr().String())
}

// roundTripRaw sends bytes to the server and returns everything it sends back,
// with an error if the connection was reset.
func roundTripRaw(t *testing.T, url, request string) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	data, err := io.ReadAll(c)
	return string(data), err
}

// Guards against changes of the framing or the trailers of responses.
func TestResponseFramingIsPreserved(t *testing.T) {
	big := strings.Repeat("x", 100<<10)
	for _, tc := range []struct {
		name, method string
		handler      http.HandlerFunc
		status       int
		length       int64
		body         string
		trailer      string
	}{
		{"short chunked response gets a length", "GET", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "a")
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, "b")
		}, 200, 2, "ab", ""},
		{"long chunked response", "GET", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, big) }, 200, -1, big, ""},
		{"long response with length", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(len(big)))
			_, _ = io.WriteString(w, big)
		}, 200, int64(len(big)), big, ""},
		{"head", "HEAD", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "7") }, 200, 7, "", ""},
		{"no content", "GET", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }, 204, 0, "", ""},
		{"not modified", "GET", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(304) }, 304, 0, "", ""},
		{"trailer", "GET", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "X-Sum")
			_, _ = io.WriteString(w, "ab")
			w.Header().Set("X-Sum", "9")
		}, 200, -1, "ab", "9"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &fakeControl{snap: snapshotOf(testDocument(), standin(t, "u1", tc.handler))}
			_, url := startServer(t, c, nil)
			resp, got := roundTrip(t, request(t, tc.method, url+"/read/x", nil))
			if resp.StatusCode != tc.status || resp.ContentLength != tc.length || string(got) != tc.body || resp.Trailer.Get("X-Sum") != tc.trailer {
				t.Errorf("status %d, length %d, %d bytes, trailer %v", resp.StatusCode, resp.ContentLength, len(got), resp.Trailer)
			}
			if _, ok := resp.Header["Content-Type"]; tc.method == "HEAD" && ok {
				t.Error("a Content-Type was added")
			}
		})
	}
}

// Guards against callers, including HTTP/1.0 callers without framing, mistaking
// a truncated response for a complete one.
func TestTruncatedResponseAbortsConnection(t *testing.T) {
	long := strings.Repeat("x", 200<<10)
	for name, response := range map[string]string{
		"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long)+1, long),
		"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long),
	} {
		for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+" "+proto, func(t *testing.T) {
				up := rawStandin(t, "u1", func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+response) })
				c := &fakeControl{snap: snapshotOf(testDocument(), up)}
				_, url := startServer(t, c, nil)
				data, err := roundTripRaw(t, url, "GET /write/x "+proto+"\r\nHost: svc\r\n\r\n")
				if err == nil {
					t.Errorf("%d bytes, closed normally", len(data))
				}
				eventually(t, "outcome", func() bool { return len(c.reported()) == 1 })
				if out := c.reported()[0]; out.Class != health.Failed || out.Reason != string(errkind.TruncatedAnswer) {
					t.Errorf("outcome %+v", out)
				}
			})
		}
	}
}

// Guards against forwarding a truncated short response, and against giving up on
// it although nothing has been sent to the caller.
func TestShortTruncatedResponse(t *testing.T) {
	truncating := rawStandin(t, "u1", func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort")
	})
	truncating.Region = "south"
	c := &fakeControl{snap: snapshotOf(testDocument(), truncating, standin(t, "u2", succeed))}
	_, url := startServer(t, c, nil)
	if resp, got := roundTrip(t, request(t, http.MethodPost, url+"/read/x", []byte("b"))); resp.StatusCode != 200 || string(got) != "b" {
		t.Errorf("status %d, %q", resp.StatusCode, got)
	}
	resp, _ := roundTrip(t, request(t, http.MethodPost, url+"/write/x", []byte("b")))
	if resp.Header.Get(errkind.HeaderError) != string(errkind.TruncatedAnswer) || resp.Header.Get(errkind.HeaderRun) != string(errkind.Unknown) {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
}

// Guards against buffering a response until the upstream has finished, and
// against memory that grows with its length.
func TestStreamsLongResponses(t *testing.T) {
	more := make(chan struct{})
	first := bytes.Repeat([]byte("x"), 65<<10)
	up := standin(t, "u1", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(first)
		_ = http.NewResponseController(w).Flush()
		<-more
		_, _ = io.WriteString(w, "end")
	})
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	s, url := startServer(t, c, nil)
	resp, err := callers.RoundTrip(request(t, http.MethodGet, url+"/read/x", nil))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadFull(resp.Body, make([]byte, len(first))); err != nil {
		t.Fatal(err)
	}
	if in := s.InFlight(); len(in) != 1 || in[0].Count != 1 {
		t.Errorf("in flight %v", in)
	}
	close(more)
	if rest, err := io.ReadAll(resp.Body); err != nil || string(rest) != "end" {
		t.Errorf("rest %q, %v", rest, err)
	}
	eventually(t, "release of the slot", func() bool { return len(s.InFlight()) == 0 })
}
