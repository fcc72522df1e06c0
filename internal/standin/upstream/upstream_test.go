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

const limit = 20 * time.Second // for events that a test waits for

func start(t *testing.T, cfg Config) (*Server, *httptest.Server) {
	t.Helper()
	s := New(cfg)
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return s, h
}

// get sends a request with an identity and returns the answer with its body.
func get(ctx context.Context, h *httptest.Server, path, id string) (*http.Response, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL+path, strings.NewReader("body of "+id))
	if err != nil {
		return nil, nil, err
	}
	r.Header.Set(HeaderRequestID, id)
	answer, err := h.Client().Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer, body, err
}

func mustGet(t *testing.T, h *httptest.Server, path, id string) (*http.Response, []byte) {
	t.Helper()
	answer, body, err := get(t.Context(), h, path, id)
	if err != nil {
		t.Fatal(err)
	}
	return answer, body
}

func waitFor(t *testing.T, what string, reached func() bool) {
	t.Helper()
	deadline := time.After(limit)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !reached() {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("%s: not reached within %v", what, limit)
		}
	}
}

func checksum(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Guards against answers whose identity, checksum or size a test cannot trust.
func TestAnswersCarryIdentityAndChecksum(t *testing.T) {
	s, h := start(t, Config{ID: "u1", Slots: 2})
	for path, size := range map[string]int{"/bytes/100000": 100_000, "/chunked/5": 5, "/bytes/0": 0, "/entries": -1} {
		answer, body := mustGet(t, h, path, "id-1")
		if answer.Header.Get(HeaderRequestID) != "id-1" || answer.Header.Get(HeaderUpstream) != "u1" || answer.Header.Get(HeaderChecksum) != checksum(body) {
			t.Errorf("%s: header %v", path, answer.Header)
		}
		if size >= 0 && len(body) != size {
			t.Errorf("%s: %d bytes", path, len(body))
		}
		if chunked := len(answer.TransferEncoding) > 0; chunked != strings.HasPrefix(path, "/chunked") {
			t.Errorf("%s: transfer encoding %v", path, answer.TransferEncoding)
		}
	}
	_, body := mustGet(t, h, "/entries", "id-2")
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

// Guards against an upstream that runs more than its slots allow, or that
// counts refused requests as run.
func TestShedsBeyondQueue(t *testing.T) {
	s, h := start(t, Config{ID: "u1", Slots: 1})
	s.SetControl(Control{Hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	for i := range 2 {
		go func() { _, _, err := get(ctx, h, "/", fmt.Sprint("held-", i)); ended <- err }()
	}
	waitFor(t, "one running, one waiting", func() bool { st := s.Stats(); return st.Running == 1 && st.Waiting == 1 })
	answer, _ := mustGet(t, h, "/", "shed")
	if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get(HeaderRefused) != RefusedShed {
		t.Errorf("status %d, header %v", answer.StatusCode, answer.Header)
	}
	if st, runs := s.Stats(), s.Runs(); st.MaxRunning != 1 || runs.Total != 1 || runs.ByID["shed"] != 0 {
		t.Errorf("stats %+v, runs %+v", st, runs)
	}
	cancel()
	for range 2 {
		if err := <-ended; err == nil {
			t.Error("a request that hangs was answered")
		}
	}
	waitFor(t, "all slots free after cancellation", func() bool { st := s.Stats(); return st.Running == 0 && st.Waiting == 0 })
}

// Guards against a fault that does not happen, which would make every proof
// that uses it pass without showing anything.
func TestFaults(t *testing.T) {
	s, h := start(t, Config{ID: "u1", Slots: 2})
	s.SetControl(Control{FailFraction: 1, FailPath: "/x", Status: 502})
	if answer, _ := mustGet(t, h, "/x/1", "a"); answer.StatusCode != 502 {
		t.Errorf("matching path: status %d", answer.StatusCode)
	}
	if answer, _ := mustGet(t, h, "/y", "b"); answer.StatusCode != 200 {
		t.Errorf("other path: status %d", answer.StatusCode)
	}
	s.SetControl(Control{FailFraction: 1, FailCaller: "someone"})
	if answer, _ := mustGet(t, h, "/x", "c"); answer.StatusCode != 200 {
		t.Errorf("other caller: status %d", answer.StatusCode)
	}
	s.SetControl(Control{Draining: true})
	if answer, _ := mustGet(t, h, "/", "d"); answer.Header.Get(HeaderRefused) != RefusedDraining || s.Runs().ByID["d"] != 0 {
		t.Errorf("draining: header %v", answer.Header)
	}
	s.SetControl(Control{Truncate: true})
	for _, path := range []string{"/bytes/1000", "/chunked/1000", "/"} {
		if _, body, err := get(t.Context(), h, path, "e"); err == nil {
			t.Errorf("truncated %s: no error, %d bytes", path, len(body))
		}
	}
	s.SetControl(Control{CrossedFraction: 1})
	mustGet(t, h, "/", "first")
	if answer, body := mustGet(t, h, "/", "second"); answer.Header.Get(HeaderRequestID) != "first" || !strings.Contains(string(body), `"first"`) {
		t.Errorf("crossed: header %v, body %s", answer.Header, body)
	}
	s.SetControl(Control{NoFraming: true})
	if answer, body := mustGet(t, h, "/bytes/10", "f"); answer.ContentLength != -1 || len(answer.TransferEncoding) != 0 || len(body) != 10 {
		t.Errorf("no framing: length %d, %d bytes", answer.ContentLength, len(body))
	}
	s.SetControl(Control{})
	if answer, _ := mustGet(t, h, "/", "g"); answer.StatusCode != 200 {
		t.Errorf("without faults: status %d", answer.StatusCode)
	}
}

// Guards against a late duplicate that comes on another connection or not at
// all.
func TestLateDuplicateFollowsOnTheSameConnection(t *testing.T) {
	s, h := start(t, Config{ID: "u1", Slots: 1})
	s.SetControl(Control{LateDuplicateFraction: 1})
	conn, err := net.Dial("tcp", h.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "GET /bytes/10 HTTP/1.1\r\nHost: x\r\n%s: id-1\r\n\r\n", HeaderRequestID)
	reader := bufio.NewReader(conn)
	for i := range 2 {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		body, err := io.ReadAll(answer.Body)
		if err != nil || len(body) != 10 || answer.Header.Get(HeaderRequestID) != "id-1" {
			t.Errorf("answer %d: %d bytes, header %v, error %v", i, len(body), answer.Header, err)
		}
	}
}

// Guards against a control that ignores what a script asks for.
func TestControlRefusesUnknownFaults(t *testing.T) {
	_, h := start(t, Config{ID: "u1"})
	for body, status := range map[string]int{`{"hang": true}`: 200, `{"hangs": true}`: 400, `{`: 400} {
		answer, err := h.Client().Post(h.URL+"/.standin/control", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		if answer.StatusCode != status {
			t.Errorf("%s: status %d, want %d", body, answer.StatusCode, status)
		}
	}
	for _, path := range []string{"health", "runs", "stats", "control"} {
		answer, err := h.Client().Get(h.URL + "/.standin/" + path)
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		if answer.StatusCode != 200 {
			t.Errorf("%s: status %d", path, answer.StatusCode)
		}
	}
}
