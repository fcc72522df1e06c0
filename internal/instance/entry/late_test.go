package entry

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
)

// trainLatency feeds the latency estimates of the test document's routes until
// they are usable.
func trainLatency(s *Server, latency time.Duration) {
	for range minSamples {
		for _, route := range []string{"* /read/*", "* /write/*"} {
			s.service("svc").observe(route, latency)
		}
	}
}

// finishOnceReported sends a request, lets its upstream finish once an outcome
// has been reported, and returns the status of the response, 0 if there is
// none.
func finishOnceReported(t *testing.T, c *fakeControl, finish chan struct{}, req *http.Request) int {
	t.Helper()
	status := make(chan int, 1)
	go func() {
		resp, err := callers.RoundTrip(req)
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	defer func() { close(finish) }()
	eventually(t, "report", func() bool { return len(c.reported()) > 0 })
	finish <- struct{}{}
	return <-status
}

// Guards against detecting a silent upstream only at the deadline, and against
// an idempotent request that waits for it although another upstream is free.
func TestLateResponseIsHedged(t *testing.T) {
	silent := standin(t, "u1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	silent.Region = "south"
	c := &fakeControl{snap: snapshotOf(testDocument(), silent, standin(t, "u2", succeed))}
	s, url := startServer(t, c, nil)
	trainLatency(s, time.Millisecond)
	began := time.Now()
	resp, _ := roundTrip(t, request(t, http.MethodGet, url+"/read/x", nil))
	if resp.StatusCode != http.StatusOK || time.Since(began) > 5*time.Second {
		t.Errorf("status %d after %v", resp.StatusCode, time.Since(began))
	}
	out := c.reported()
	if len(out) != 2 || out[0].Upstream.Upstream != "u1" || out[0].Class != health.Failed || out[0].Latency < minSilentAfter {
		t.Errorf("outcomes %+v", out)
	}
	if len(s.InFlight()) != 0 {
		t.Errorf("in flight %v", s.InFlight())
	}
}

// Guards against retrying a non-idempotent request because its response is late.
func TestLateResponseIsAwaitedUnlessIdempotent(t *testing.T) {
	finish := make(chan struct{})
	up := standin(t, "u1", func(_ http.ResponseWriter, _ *http.Request) { <-finish })
	up.Region = "south"
	c := &fakeControl{snap: snapshotOf(testDocument(), up, standin(t, "u2", func(http.ResponseWriter, *http.Request) {
		t.Error("sent again")
	}))}
	s, url := startServer(t, c, nil)
	trainLatency(s, time.Millisecond)
	if status := finishOnceReported(t, c, finish, request(t, http.MethodGet, url+"/write/x", nil)); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if out := c.reported(); len(out) != 1 || out[0].Class != health.Failed || out[0].Latency < minSilentAfter {
		t.Errorf("outcomes %+v", out)
	}
}

// Guards against reporting a slow response only when it arrives, twice, or as a
// failure, which would make no allowance for cold starts.
func TestSlowResponseIsReportedEarly(t *testing.T) {
	finish := make(chan struct{})
	doc := testDocument()
	doc.Unhealthy.SlowAfterMS = 20
	c := &fakeControl{snap: snapshotOf(doc, standin(t, "u1", func(http.ResponseWriter, *http.Request) { <-finish }))}
	_, url := startServer(t, c, nil)
	if status := finishOnceReported(t, c, finish, request(t, http.MethodGet, url+"/write/x", nil)); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if out := c.reported(); len(out) != 1 || out[0].Class != health.OK || out[0].Latency != 20*time.Millisecond {
		t.Errorf("outcomes %+v", out)
	}
}

// Guards against counting a dead pooled connection as a failure of the upstream,
// and against not counting dead fresh connections as failures.
func TestDeadConnections(t *testing.T) {
	die := make(chan bool, 1) // whether to close the connection without a response
	up := rawStandin(t, "u1", func(c net.Conn, req *http.Request) {
		if <-die {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		buf := make([]byte, 1)
		_, _ = c.Read(buf) // the connection is closed at the first byte of the next request
	})
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	_, url := startServer(t, c, nil)
	die <- false
	roundTrip(t, request(t, http.MethodGet, url+"/read/x", nil))
	die <- false
	if resp, _ := roundTrip(t, request(t, http.MethodGet, url+"/read/x", nil)); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	out := c.reported()
	if len(out) != 3 || out[1].Class != health.Neutral || out[2].Class != health.OK {
		t.Fatalf("outcomes %+v", out)
	}
	go func() {
		for range 3 {
			die <- true
		}
	}()
	resp, _ := roundTrip(t, request(t, http.MethodGet, url+"/read/x", nil))
	if kind := resp.Header.Get(errkind.HeaderError); kind != string(errkind.UpstreamReset) {
		t.Errorf("kind %s", kind)
	}
	for _, o := range c.reported()[4:] {
		if o.Class != health.Failed {
			t.Errorf("outcome %+v", o)
		}
	}
}

// Guards against refusing callers beyond the connection limit, against ending a
// request at an upstream for a new caller, and against callers without a request
// that keep others out.
func TestCallerConnectionLimit(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	up := standin(t, "u1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read/first" {
			close(started)
			<-finish
		}
		succeed(w, r)
	})
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	_, url := startServer(t, c, func(cfg *Config) { cfg.Limits.CallerConnections = 1 })
	silent, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	first := make(chan struct{})
	go func() {
		defer close(first)
		if resp, _ := roundTrip(t, request(t, http.MethodGet, url+"/read/first", nil)); resp.StatusCode != http.StatusOK {
			t.Errorf("status %d", resp.StatusCode)
		}
	}()
	<-started
	if _, err := silent.Read(make([]byte, 1)); err == nil {
		t.Error("the silent connection is still open")
	}
	responded := make(chan struct{})
	go func() {
		defer close(responded)
		if resp, _ := roundTrip(t, request(t, http.MethodGet, url+"/read/x", nil)); resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("status %d, close %t", resp.StatusCode, resp.Close)
		}
	}()
	select {
	case <-responded:
		t.Error("a caller beyond the limit was served")
	case <-time.After(100 * time.Millisecond):
	}
	close(finish)
	<-first
	select {
	case <-responded:
	case <-time.After(waitTimeout):
		t.Error("the waiting caller was not served")
	}
}
