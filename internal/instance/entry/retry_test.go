package entry

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/entry/upstream"
	"knapweedreel/internal/routing"
)

// countingStandin starts a stand-in that counts the requests whose header it has
// read.
func countingStandin(t *testing.T, id string, n *atomic.Int64, h http.HandlerFunc) (u routing.Upstream) {
	t.Helper()
	return standin(t, id, func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		h(w, r)
	})
}

func refuse(reason string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.HeaderRefused, reason)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// reset reads the request and closes the connection without a response.
func reset(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func succeed(w http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	_, _ = w.Write(data)
}

// Guards against requests that are run twice or lost, and against wrong run
// states of failed requests.
func TestRetryRules(t *testing.T) {
	body := bytes.Repeat([]byte("b"), 40<<10)
	long := bytes.Repeat([]byte("b"), 4<<20)
	for _, tc := range []struct {
		name          string
		path          string
		body          []byte
		first, second http.HandlerFunc
		kind          errkind.Kind // empty for a success
		ran           int64        // requests at both upstreams; at most 2 retries
	}{
		{"refusal is retried", "/write/x", body, refuse("shed"), succeed, "", 2},
		{"draining is retried", "/write/x", body, refuse("draining"), succeed, "", 2},
		{"all upstreams refuse", "/write/x", body, refuse("shed"), refuse("shed"), errkind.UpstreamRefused, 3},
		{"a non-idempotent request that may have run is not retried", "/write/x", body, reset, succeed, errkind.UpstreamReset, 1},
		{"an idempotent request is retried", "/read/x", body, reset, succeed, "", 2},
		{"a body that is too long to keep is not sent again", "/read/x", long, reset, succeed, errkind.UpstreamReset, 1},
		{"a refusal does not hide that the request may have run", "/read/x", body, reset, refuse("shed"), errkind.UpstreamReset, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var n atomic.Int64
			u1, u2 := countingStandin(t, "u1", &n, tc.first), countingStandin(t, "u2", &n, tc.second)
			u1.Region = "south" // home slots of the local region come first
			c := &fakeControl{snap: snapshotOf(testDocument(), u1, u2)}
			_, url := startServer(t, c, nil)
			resp, got := roundTrip(t, request(t, http.MethodPost, url+tc.path, tc.body))
			if n.Load() != tc.ran {
				t.Errorf("%d requests reached the upstreams", n.Load())
			}
			if tc.kind == "" {
				if resp.StatusCode != http.StatusOK || !bytes.Equal(got, tc.body) {
					t.Errorf("status %d, %d bytes", resp.StatusCode, len(got))
				}
				return
			}
			if k := resp.Header.Get(errkind.HeaderError); k != string(tc.kind) {
				t.Errorf("kind %q, body %q", k, got)
			}
			if run := resp.Header.Get(errkind.HeaderRun); run != string(errkind.Lookup(tc.kind).Run) {
				t.Errorf("run state %q", run)
			}
		})
	}
}

// Guards against sending the next request to an upstream that has just been
// unreachable or reported that it is draining, and against the wrong outcome
// class: only the failed connection is a failure.
func TestAvoidsUpstream(t *testing.T) {
	for _, tc := range []struct {
		name     string
		first    func(t *testing.T, n *atomic.Int64) routing.Upstream
		class    health.Class
		draining bool
	}{
		{"draining", func(t *testing.T, n *atomic.Int64) routing.Upstream {
			return countingStandin(t, "u1", n, refuse("draining"))
		}, health.Neutral, true},
		{"connect failure", func(t *testing.T, n *atomic.Int64) routing.Upstream {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			_ = l.Close()
			return upstreamAt("u1", l.Addr().String())
		}, health.Failed, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var n, m atomic.Int64
			u1, u2 := tc.first(t, &n), countingStandin(t, "u2", &m, succeed)
			u1.Region = "south"
			c := &fakeControl{snap: snapshotOf(testDocument(), u1, u2)}
			s, url := startServer(t, c, nil)
			for range 3 {
				if resp, _ := roundTrip(t, request(t, http.MethodPost, url+"/write/x", []byte("b"))); resp.StatusCode != http.StatusOK {
					t.Fatalf("status %d", resp.StatusCode)
				}
			}
			if n.Load() > 1 || m.Load() != 3 {
				t.Errorf("%d and %d requests", n.Load(), m.Load())
			}
			out := c.reported()
			if len(out) != 4 || out[0].Upstream.Upstream != "u1" || out[0].Class != tc.class || out[0].Draining != tc.draining {
				t.Errorf("outcomes %+v", out)
			}
			if len(s.InFlight()) != 0 {
				t.Errorf("in flight %v", s.InFlight())
			}
		})
	}
}

// Guards against retries that multiply the load of a service whose upstreams all
// fail.
func TestRetryBudget(t *testing.T) {
	var n atomic.Int64
	c := &fakeControl{snap: snapshotOf(testDocument(), countingStandin(t, "u1", &n, reset), countingStandin(t, "u2", &n, reset))}
	_, url := startServer(t, c, nil)
	const requests = 200
	for range requests {
		roundTrip(t, request(t, http.MethodGet, url+"/read/x", nil))
	}
	if limit := int64(requests*(1+retryShare)) + retryReserve; n.Load() < requests || n.Load() > limit {
		t.Errorf("%d attempts for %d requests, limit %d", n.Load(), requests, limit)
	}
}

// Guards against dropping an unhealthy response when there is no better one, and
// against forwarding it while another upstream is healthy.
func TestUnhealthyResponse(t *testing.T) {
	broken := func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "broken", http.StatusInternalServerError) }
	for _, tc := range []struct {
		name   string
		second http.HandlerFunc
		status int
		body   string
	}{
		{"second healthy", succeed, http.StatusOK, ""},
		{"second broken", broken, http.StatusInternalServerError, "broken"},
		{"second refuses", refuse("shed"), http.StatusInternalServerError, "broken"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u1, u2 := standin(t, "u1", broken), standin(t, "u2", tc.second)
			u1.Region = "south"
			c := &fakeControl{snap: snapshotOf(testDocument(), u1, u2)}
			_, url := startServer(t, c, nil)
			resp, got := roundTrip(t, request(t, http.MethodGet, url+"/read/x", nil))
			if resp.StatusCode != tc.status || strings.TrimSpace(string(got)) != tc.body {
				t.Errorf("status %d, %q", resp.StatusCode, got)
			}
		})
	}
}
