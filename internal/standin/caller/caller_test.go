package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/standin/upstream"
)

// startFleet runs a minimal fleet: an upstream behind a server that also
// responds to locate requests.
func startFleet(t *testing.T, cfg upstream.Config) (*upstream.Server, string) {
	t.Helper()
	u := upstream.New(cfg)
	requests := u.Handler()
	var address string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/.knapweedreel/"):
			fmt.Fprintf(w, `{"addresses": [{"address": "127.0.0.1:1", "region": "south"}, {"address": %q, "region": "south"}], "keep_ms": 10000}`, address)
		case r.URL.Path == "/queue-full":
			errkind.WriteError(w, errkind.QueueFull, "full")
		case r.URL.Path == "/silent":
			errkind.WriteError(w, errkind.UpstreamSilent, "silent")
		default:
			requests.ServeHTTP(w, r)
		}
	}))
	t.Cleanup(server.Close)
	address = server.Listener.Addr().String()
	return u, address
}

func send(t *testing.T, address string, change func(*Config)) Summary {
	t.Helper()
	cfg := Config{EntryAddresses: []string{"127.0.0.1:1", address}, Service: "entries", Host: "entries.example", Region: "south", Accounts: 2,
		Method: http.MethodPost, Path: "/entries", BodyBytes: 100_000, Count: 10, Concurrency: 2,
		Timeout: 20 * time.Second, CheckRunsAt: []string{address}, AtMostOnce: true}
	if change != nil {
		change(&cfg)
	}
	s, err := New(cfg).Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against reporting correct responses as failures, and against giving up
// if one address cannot be connected to.
func TestRunAcceptsCorrectResponses(t *testing.T) {
	_, address := startFleet(t, upstream.Config{ID: "u1", Slots: 2})
	for _, path := range []string{"/entries", "/bytes/200000", "/chunked/1000"} {
		s := send(t, address, func(c *Config) { c.Path = path })
		if s.Failed() || s.Outcomes[OK] != 10 || s.Upstreams["u1"] != 10 || s.Runs.Runs != 10 || s.Failovers == 0 {
			t.Errorf("%s: %+v", path, s)
		}
	}
}

// Guards against tests that pass although callers got wrong responses.
func TestRunDetectsWrongResponses(t *testing.T) {
	cases := []struct {
		fault   upstream.Control
		path    string
		outcome Outcome
	}{
		{upstream.Control{CrossedFraction: 1}, "/entries", Wrong},
		{upstream.Control{Truncate: true}, "/bytes/1000", Broken},
		{upstream.Control{FailFraction: 1}, "/entries", UpstreamError},
		{upstream.Control{}, "/queue-full", NotRun},
		{upstream.Control{}, "/silent", Unknown},
	}
	for _, c := range cases {
		u, address := startFleet(t, upstream.Config{ID: "u1", Slots: 2})
		send(t, address, func(cfg *Config) { cfg.Count = 1 }) // a crossed response needs a previous request
		u.SetControl(c.fault)
		s := send(t, address, func(cfg *Config) { cfg.Path = c.path })
		if !s.Failed() || s.Outcomes[c.outcome] != 10 || len(s.Failures) != 10 {
			t.Errorf("%+v %s: %+v", c.fault, c.path, s)
		}
	}
}

// Guards against a check of runs that misses contradictions between the
// outcomes and the runs.
func TestCompareRuns(t *testing.T) {
	outcomes := map[string]Outcome{"lost": OK, "ran": NotRun, "twice": Unknown, "good": OK, "gone": NotRun}
	runs := map[string]int{"ran": 1, "twice": 2, "good": 1, "other": 5}
	check := compareRuns(outcomes, runs, true)
	if len(check.Mistakes) != 3 || check.Runs != 4 || check.Repeated != 1 {
		t.Errorf("%+v", check)
	}
	if check := compareRuns(outcomes, runs, false); len(check.Mistakes) != 2 {
		t.Errorf("idempotent requests may run twice: %+v", check)
	}
}

// Guards against a load generator that waits for responses: this would hide the
// delay of requests behind a slow one.
func TestRateDoesNotWaitForResponses(t *testing.T) {
	u, address := startFleet(t, upstream.Config{ID: "u1", Slots: 50})
	u.SetControl(upstream.Control{Hang: true})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := New(Config{EntryAddresses: []string{address}, Service: "entries", Method: http.MethodGet, Path: "/", Rate: 1_000,
		Duration: 50 * time.Millisecond, Timeout: 20 * time.Second})
	ended := make(chan Summary, 1)
	go func() { s, _ := c.Run(ctx); ended <- s }()
	deadline := time.After(20 * time.Second)
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for u.Stats().Running < 50 {
		select {
		case <-tick.C:
		case <-deadline:
			t.Fatalf("%d requests in flight, want 50", u.Stats().Running)
		}
	}
	cancel()
	if s := <-ended; s.Sent != 50 || s.Outcomes[Broken] != 50 {
		t.Errorf("%+v", s)
	}
}
