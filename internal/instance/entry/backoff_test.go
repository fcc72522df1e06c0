package entry

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knapweedreel/internal/errkind"
	"knapweedreel/internal/instance/entry/upstream"
	"knapweedreel/internal/placement"
)

// turnAway returns a handler that counts requests and refuses them, asking for no
// others for the given time.
func turnAway(n *atomic.Int64, retryAfter string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		n.Add(1)
		w.Header().Set(upstream.HeaderRefused, string(upstream.Shed))
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against requests to an upstream before the time that it has asked for
// has passed, and against one that stays unused afterwards.
func TestUpstreamGetsNothingDuringItsBackoff(t *testing.T) {
	var near atomic.Int64
	first, second := standin(t, "near", turnAway(&near, "0.8")), standin(t, "far", succeedSigned)
	first.Region, second.Region = "south", "elsewhere"
	_, url := startServer(t, &fakeControl{snap: snapshotOf(testDocument(), first, second)}, func(cfg *Config) {
		// The remote cost makes the second one the choice only while the first one is excluded.
		cfg.Placement = &Placement{Model: placement.DefaultModel(), RetryShare: 1, RemoteCost: 1}
	})
	began := time.Now()
	send := func() {
		if resp, _ := roundTrip(t, request(t, http.MethodPost, url+"/write/x", []byte("b"))); resp.StatusCode != http.StatusOK {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	for time.Since(began) < 600*time.Millisecond { // longer than the default backoff
		send()
	}
	if near.Load() != 1 && time.Since(began) < 800*time.Millisecond {
		t.Errorf("%d requests during the backoff, want 1", near.Load())
	}
	eventually(t, "a request after the backoff", func() bool {
		send()
		return near.Load() > 1
	})
	if took := time.Since(began); took < 800*time.Millisecond {
		t.Errorf("used again after %v", took)
	}
}

// Guards against requests that wait, or that another instance's guess delays,
// although all upstreams have asked for no requests: those that come later and
// those that are queued are refused at once as not run. The load is a surge at a
// service that turns away all of it.
func TestRequestsAreRefusedAtOnceDuringBackoffOfAllUpstreams(t *testing.T) {
	var n atomic.Int64
	release := make(chan struct{})
	held := make(chan struct{})
	var once sync.Once
	up := standin(t, "u1", func(w http.ResponseWriter, r *http.Request) {
		once.Do(func() { close(held) })
		<-release
		turnAway(&n, "30")(w, r)
	})
	up.Slots, up.MaxConnections = 1, 1
	_, url := startPlacementServer(t, 0, nil, up)
	var wg sync.WaitGroup
	post := func() {
		resp, _ := roundTrip(t, request(t, http.MethodPost, url+"/write/x", []byte("b")))
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(errkind.HeaderRun) != string(errkind.NotRun) {
			t.Errorf("status %d, run state %q", resp.StatusCode, resp.Header.Get(errkind.HeaderRun))
		}
		// The upstream's time is later than the last one that helps the caller.
		if after, err := strconv.Atoi(resp.Header.Get("Retry-After")); err != nil || after < 8 || after > 10 {
			t.Errorf("Retry-After %q, want the last seconds before the deadline", resp.Header.Get("Retry-After"))
		}
	}
	wg.Go(post)
	<-held
	wg.Go(post) // waits for the slot
	pause := time.NewTimer(100 * time.Millisecond)
	<-pause.C
	began := time.Now()
	close(release)
	wg.Wait()
	post()
	if took := time.Since(began); took > time.Second || n.Load() != 1 {
		t.Errorf("refused after %v, %d requests reached the upstream", took, n.Load())
	}
}

// Guards against a queued request whose wait has just ended, and which is refused
// in the name of upstreams that take requests.
func TestOnlyBackoffsTurnRequestsAway(t *testing.T) {
	st, now := &serviceState{name: "svc"}, time.Now()
	for _, c := range []struct {
		earliest, until time.Duration // from now
		refused         bool
	}{{0, -time.Millisecond, false}, {0, time.Second, false}, {time.Second, time.Second, false}, {2 * time.Second, time.Second, true}, {time.Second, -time.Second, true}} {
		if err := st.turnedAwayUntil(now.Add(c.earliest), now.Add(c.until), now); (err != nil) != c.refused {
			t.Errorf("earliest %v, until %v: %v", c.earliest, c.until, err)
		}
	}
}

// Guards against requests that are refused although the upstream that asked for
// none has restarted since.
func TestBackoffEndsWithRestart(t *testing.T) {
	var n atomic.Int64
	up := standin(t, "u1", turnAway(&n, "30"))
	up.Incarnation = 1
	c := &fakeControl{snap: snapshotOf(testDocument(), up)}
	_, url := startServer(t, c, func(cfg *Config) { cfg.Placement = &Placement{Model: placement.DefaultModel(), RetryShare: 0.1} })
	post := func() { roundTrip(t, request(t, http.MethodPost, url+"/write/x", []byte("b"))) }
	post()
	post()
	if n.Load() != 1 {
		t.Errorf("%d requests during the backoff, want 1", n.Load())
	}
	up.Incarnation = 2
	c.mu.Lock()
	c.snap = snapshotOf(testDocument(), up)
	c.mu.Unlock()
	post()
	if n.Load() != 2 {
		t.Errorf("%d requests after the restart, want 2", n.Load())
	}
}
