package entry

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/entry/upstream"
)

func bodyReader(b []byte) io.Reader {
	if b == nil {
		return nil
	}
	return bytes.NewReader(b)
}

// roundTrip sends a request and returns the response and its body.
func roundTrip(t *testing.T, req *http.Request) (*http.Response, []byte) {
	t.Helper()
	resp, err := callers.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, data
}

// Guards against modified or truncated bodies, and against forwarding hop-by-hop
// and reserved headers.
func TestProxiesRequestAndResponse(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 100<<10)
	up := standin(t, "u1", func(w http.ResponseWriter, r *http.Request) {
		for _, name := range []string{"X-Named", "Keep-Alive"} {
			if r.Header.Get(name) != "" {
				t.Errorf("header %s reached the upstream", name)
			}
		}
		w.Header().Set(errkind.HeaderRun, "not-run")
		w.Header().Set("X-Path", r.URL.RequestURI())
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.Copy(w, r.Body)
	})
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	s, url := startServer(t, c, nil)
	req := request(t, http.MethodPost, url+"/write/a%2Fb?q=1", body)
	req.Header.Set("Connection", "X-Named")
	req.Header.Set("X-Named", "1")
	req.Header.Set(upstream.HeaderRequestID, "id-1")
	resp, got := roundTrip(t, req)
	if resp.StatusCode != http.StatusAccepted || !bytes.Equal(got, body) {
		t.Fatalf("status %d, %d bytes", resp.StatusCode, len(got))
	}
	if resp.Header.Get(errkind.HeaderRun) != "" {
		t.Error("a reserved header of the upstream was forwarded")
	}
	if p := resp.Header.Get("X-Path"); p != "/write/a%2Fb?q=1" {
		t.Errorf("the upstream saw %s", p)
	}
	eventually(t, "explanation", func() bool { _, ok := s.ExplainRequest("id-1"); return ok })
	if out := c.reported(); len(out) != 1 || out[0].Class != health.OK {
		t.Errorf("outcomes %+v", out)
	}
}

// Guards against error responses without error kind or run state.
func TestErrorResponses(t *testing.T) {
	c := &fakeControl{snap: snapshotOf(testDocument())}
	_, url := startServer(t, c, nil)
	for _, tc := range []struct {
		host, path string
		kind       errkind.Kind
	}{
		{"svc", "/read/x", errkind.NoUpstream},
		{"svc", "/nowhere", errkind.UnknownRoute},
		{"other", "/read/x", errkind.UnknownService},
	} {
		req := request(t, http.MethodGet, url+tc.path, nil)
		req.Host = tc.host
		resp, _ := roundTrip(t, req)
		want := errkind.Lookup(tc.kind)
		if resp.StatusCode != want.Status || resp.Header.Get(errkind.HeaderError) != string(tc.kind) || resp.Header.Get(errkind.HeaderRun) != string(want.Run) {
			t.Errorf("%s %s: status %d, header %v", tc.host, tc.path, resp.StatusCode, resp.Header)
		}
	}
}

// panickingControl panics when an outcome is reported.
type panickingControl struct{ fakeControl }

func (c *panickingControl) ReportOutcome(health.Outcome) { panic("broken") }

// Guards against a panic that leaves a caller without a response, leaks a slot
// or ends the process.
func TestPanicGetsErrorResponse(t *testing.T) {
	c := &panickingControl{fakeControl{snap: snapshotOf(testDocument(), standin(t, "u1", succeed))}}
	s, url := startServer(t, c, nil)
	resp, _ := roundTrip(t, request(t, http.MethodPost, url+"/write/x", []byte("b")))
	if resp.Header.Get(errkind.HeaderError) != string(errkind.Internal) || resp.Header.Get(errkind.HeaderRun) != string(errkind.Unknown) {
		t.Errorf("status %d, header %v", resp.StatusCode, resp.Header)
	}
	if len(s.InFlight()) != 0 {
		t.Errorf("in flight %v", s.InFlight())
	}
}
