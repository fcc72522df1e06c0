package upstream

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const waitTimeout = 20 * time.Second // limits how long a test waits for an event

func start(t *testing.T, cfg Config) (*Server, *httptest.Server) {
	t.Helper()
	s := New(cfg)
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return s, h
}

// post sends a POST request with the given ID and returns the response and its
// body.
func post(ctx context.Context, h *httptest.Server, path, id string) (*http.Response, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL+path, strings.NewReader("body of "+id))
	if err != nil {
		return nil, nil, err
	}
	r.Header.Set(HeaderRequestID, id)
	resp, err := h.Client().Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

func mustPost(t *testing.T, h *httptest.Server, path, id string) (*http.Response, []byte) {
	t.Helper()
	resp, body, err := post(t.Context(), h, path, id)
	if err != nil {
		t.Fatal(err)
	}
	return resp, body
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.After(waitTimeout)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("%s: not reached within %v", what, waitTimeout)
		}
	}
}

func checksum(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Guards against responses with a wrong request ID, checksum or size. Tests use
// these to detect responses to other requests and damaged bodies.
func TestResponsesCarryRequestIDAndChecksum(t *testing.T) {
	s, h := start(t, Config{ID: "u1", Slots: 2})
	for path, size := range map[string]int{"/bytes/100000": 100_000, "/chunked/5": 5, "/bytes/0": 0, "/entries": -1} {
		resp, body := mustPost(t, h, path, "id-1")
		if resp.Header.Get(HeaderRequestID) != "id-1" || resp.Header.Get(HeaderUpstream) != "u1" || resp.Header.Get(HeaderChecksum) != checksum(body) {
			t.Errorf("%s: header %v", path, resp.Header)
		}
		if size >= 0 && len(body) != size {
			t.Errorf("%s: %d bytes", path, len(body))
		}
		if chunked := len(resp.TransferEncoding) > 0; chunked != strings.HasPrefix(path, "/chunked") {
			t.Errorf("%s: transfer encoding %v", path, resp.TransferEncoding)
		}
	}
	_, body := mustPost(t, h, "/entries", "id-2")
	var echo Echo
	if err := json.Unmarshal(body, &echo); err != nil {
		t.Fatal(err)
	}
	want := Echo{"u1", "id-2", http.MethodPost, "/entries", 12, checksum([]byte("body of id-2"))}
	if echo != want {
		t.Errorf("got %+v, want %+v", echo, want)
	}
	if runs := s.Runs(); runs.Total != 5 || runs.ByID["id-1"] != 4 || runs.ByID["id-2"] != 1 {
		t.Errorf("runs %+v", runs)
	}
}

// Guards against running more requests than there are slots, and against
// counting refused requests as run.
func TestShedsWhenQueueIsFull(t *testing.T) {
	s, h := start(t, Config{ID: "u1", Slots: 1})
	s.SetControl(Control{Hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	for i := range 2 {
		go func() { _, _, err := post(ctx, h, "/", fmt.Sprint("held-", i)); ended <- err }()
	}
	eventually(t, "one running, one waiting", func() bool { st := s.Stats(); return st.Running == 1 && st.Waiting == 1 })
	resp, _ := mustPost(t, h, "/", "shed")
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(HeaderRefused) != RefusedShed {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	if st, runs := s.Stats(), s.Runs(); st.MaxRunning != 1 || runs.Total != 1 || runs.ByID["shed"] != 0 {
		t.Errorf("stats %+v, runs %+v", st, runs)
	}
	cancel()
	for range 2 {
		if err := <-ended; err == nil {
			t.Error("hanging request got a response")
		}
	}
	eventually(t, "all slots free after cancellation", func() bool { st := s.Stats(); return st.Running == 0 && st.Waiting == 0 })
}

// Guards against a fault without effect: every test that uses it would pass
// without testing anything.
func TestFaults(t *testing.T) {
	s, h := start(t, Config{ID: "u1", Slots: 2})
	s.SetControl(Control{FailFraction: 1, FailPath: "/x", Status: 502})
	if resp, _ := mustPost(t, h, "/x/1", "a"); resp.StatusCode != 502 {
		t.Errorf("matching path: status %d", resp.StatusCode)
	}
	if resp, _ := mustPost(t, h, "/y", "b"); resp.StatusCode != 200 {
		t.Errorf("other path: status %d", resp.StatusCode)
	}
	s.SetControl(Control{FailFraction: 1, FailCaller: "someone"})
	if resp, _ := mustPost(t, h, "/x", "c"); resp.StatusCode != 200 {
		t.Errorf("other caller: status %d", resp.StatusCode)
	}
	s.SetControl(Control{Draining: true})
	if resp, _ := mustPost(t, h, "/", "d"); resp.Header.Get(HeaderRefused) != RefusedDraining || s.Runs().ByID["d"] != 0 {
		t.Errorf("draining: header %v", resp.Header)
	}
	s.SetControl(Control{Truncate: true})
	for _, path := range []string{"/bytes/1000", "/chunked/1000", "/"} {
		if _, body, err := post(t.Context(), h, path, "e"); err == nil {
			t.Errorf("truncated %s: no error, %d bytes", path, len(body))
		}
	}
	s.SetControl(Control{CrossedFraction: 1})
	mustPost(t, h, "/", "first")
	if resp, body := mustPost(t, h, "/", "second"); resp.Header.Get(HeaderRequestID) != "first" || !strings.Contains(string(body), `"first"`) {
		t.Errorf("crossed: header %v, body %s", resp.Header, body)
	}
	s.SetControl(Control{NoFraming: true})
	if resp, body := mustPost(t, h, "/bytes/10", "f"); resp.ContentLength != -1 || len(resp.TransferEncoding) != 0 || len(body) != 10 {
		t.Errorf("no framing: length %d, %d bytes", resp.ContentLength, len(body))
	}
	s.SetControl(Control{})
	if resp, _ := mustPost(t, h, "/", "g"); resp.StatusCode != 200 {
		t.Errorf("without faults: status %d", resp.StatusCode)
	}
}

// Guards against a late duplicate that is missing or arrives on another
// connection.
func TestLateDuplicateUsesTheSameConnection(t *testing.T) {
	s, h := start(t, Config{ID: "u1", Slots: 1})
	s.SetControl(Control{LateDuplicateFraction: 1})
	conn, err := net.Dial("tcp", h.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "GET /bytes/10 HTTP/1.1\r\nHost: x\r\n%s: id-1\r\n\r\n", HeaderRequestID)
	reader := bufio.NewReader(conn)
	for i := range 2 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || len(body) != 10 || resp.Header.Get(HeaderRequestID) != "id-1" {
			t.Errorf("response %d: %d bytes, header %v, error %v", i, len(body), resp.Header, err)
		}
	}
}

// Guards against a misspelled fault that is ignored silently.
func TestControlRejectsUnknownFields(t *testing.T) {
	_, h := start(t, Config{ID: "u1"})
	for body, status := range map[string]int{`{"hang": true}`: 200, `{"hangs": true}`: 400, `{`: 400} {
		resp, err := h.Client().Post(h.URL+"/.standin/control", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != status {
			t.Errorf("%s: status %d, want %d", body, resp.StatusCode, status)
		}
	}
	for _, path := range []string{"health", "runs", "stats", "control"} {
		resp, err := h.Client().Get(h.URL + "/.standin/" + path)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != 200 {
			t.Errorf("%s: status %d", path, resp.StatusCode)
		}
	}
}
