package entry

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/placement"
	"knapweedreel/internal/routing"
)

// announcing returns a handler that counts requests and announces in each
// response that the upstream is leaving.
func announcing(n *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		w.Header().Set("Test-Leaving", "1")
		succeedSigned(w, r)
	}
}

// Guards against requests to an upstream that has announced in a response that it
// is leaving, while the store still lists it, and against keeping that from the
// instances that serve the same callers.
func TestUpstreamThatAnnouncesLeavingGetsNothingMore(t *testing.T) {
	for _, path := range []string{"/read/x", "/write/x"} {
		var near atomic.Int64
		records := make(chan evidence.Record, 100)
		first, second := standin(t, "near", announcing(&near)), standin(t, "far", succeedSigned)
		first.Incarnation, first.Region, second.Region = 7, "south", "elsewhere" // chosen only if the other one is not
		_, url := startPlacementServer(t, 1, func(r evidence.Record) { records <- r }, first, second)
		for range 5 {
			if resp, _ := roundTrip(t, request(t, http.MethodPost, url+path, []byte("b"))); resp.StatusCode != http.StatusOK {
				t.Errorf("%s: status %d", path, resp.StatusCode)
			}
		}
		if near.Load() != 1 {
			t.Errorf("%s: %d requests reached the leaving upstream, want 1", path, near.Load())
		}
		shared := 0
		for len(records) > 0 {
			if r := <-records; r.Outcome == placement.Leaving && r.Upstream == "near" && r.Attempt == 7 {
				shared++
			}
		}
		if shared != 1 {
			t.Errorf("%s: the departure was shared %d times", path, shared)
		}
	}
}

// Guards against waiting for an upstream when all have announced that they are
// leaving.
func TestRequestIsRefusedAtOnceWhenAllUpstreamsLeave(t *testing.T) {
	var n atomic.Int64
	_, url := startPlacementServer(t, 1, nil, standin(t, "u1", announcing(&n)))
	roundTrip(t, request(t, http.MethodPost, url+"/write/x", []byte("b")))
	began := time.Now()
	resp, _ := roundTrip(t, request(t, http.MethodPost, url+"/write/x", []byte("b")))
	if resp.Header.Get(errkind.HeaderError) != string(errkind.NoUpstream) || time.Since(began) > time.Second || n.Load() != 1 {
		t.Errorf("kind %q after %v, %d requests", resp.Header.Get(errkind.HeaderError), time.Since(began), n.Load())
	}
}

// Guards against a departure that ends with a stale entry of the store, and
// against one that outlives the upstream's restart.
func TestDepartureEndsWithRestart(t *testing.T) {
	up := upstreamAt("u1", "127.0.0.1:1")
	up.Incarnation = 7
	snap := snapshotOf(testDocument(), up, upstreamAt("u2", "127.0.0.1:2"))
	c := &fakeControl{snap: snap}
	s := New(Config{Placement: &Placement{Model: placement.DefaultModel()}}, c)
	st := s.service("svc")
	s.ApplyEvidence(1, []evidence.Record{{Attempt: 7, Service: "svc", Upstream: "u1", Outcome: placement.Leaving}})
	svc, now := snap.Services["svc"], time.Now()
	leaving := func(incarnation int64) bool {
		st.mu.Lock()
		defer st.mu.Unlock()
		return st.hasAnnouncedLeaving(&routing.Upstream{Upstream: up.Upstream, Incarnation: incarnation})
	}
	if !leaving(7) || leaving(8) {
		t.Errorf("leaving: incarnation 7 %t, 8 %t", leaving(7), leaving(8))
	}
	absent := *svc
	absent.Upstreams = svc.Upstreams[1:]
	st.prune(&absent, now.Add(departureMemory-time.Second))
	if !leaving(7) {
		t.Error("the departure is forgotten while the upstream is absent")
	}
	s.ApplyEvidence(1, []evidence.Record{{Attempt: 6, Service: "svc", Upstream: "u1", Outcome: placement.Leaving}})
	if !leaving(7) {
		t.Error("an older departure replaces a newer one")
	}
	restarted := *svc
	restarted.Upstreams = []routing.Upstream{up}
	restarted.Upstreams[0].Incarnation = 8
	st.prune(&restarted, now)
	if len(st.departures) != 0 {
		t.Errorf("kept after the restart: %v", st.departures)
	}
}

// Guards against work that is given up, or run again elsewhere, because its
// upstream has only stopped reporting: the upstream's entry disappears while a
// request that must not run twice is at work there.
func TestRunningWorkSurvivesRemovalOfItsUpstream(t *testing.T) {
	var runs, elsewhere atomic.Int64
	began, finish := make(chan struct{}), make(chan struct{})
	silent := standin(t, "silent", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		close(began)
		<-finish
		succeedSigned(w, r)
	})
	other := standin(t, "other", func(w http.ResponseWriter, r *http.Request) {
		elsewhere.Add(1)
		succeedSigned(w, r)
	})
	doc := testDocument()
	c := &fakeControl{snap: snapshotOf(doc, silent)}
	s, url := startServer(t, c, func(cfg *Config) { cfg.Placement = &Placement{Model: placement.DefaultModel(), RetryShare: 1} })
	status := make(chan int, 1)
	go func() {
		resp, err := callers.RoundTrip(request(t, http.MethodPost, url+"/write/x", []byte("b")))
		if err != nil {
			t.Error(err)
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-began
	c.mu.Lock()
	c.snap = snapshotOf(doc, other)
	c.mu.Unlock()
	for range 3 {
		s.tidyOnce(c.Snapshot(), time.Now())
	}
	close(finish)
	if got := <-status; got != http.StatusOK || runs.Load() != 1 || elsewhere.Load() != 0 {
		t.Errorf("status %d, %d runs at the silent upstream, %d elsewhere", got, runs.Load(), elsewhere.Load())
	}
}
