package entry

import (
	"testing"
	"time"

	"knapweedreel/internal/health"
)

// Guards against full work for an upstream whose capacity only just returns,
// and against none at all.
func TestWeightLimitsWork(t *testing.T) {
	ramping := upstreamAt("u1", "127.0.0.1:1")
	ramping.Weight = 0.25
	st := newService(&fakeControl{snap: snapshotOf(testDocument(), ramping, upstreamAt("u2", "127.0.0.1:1"))})
	const requests = 1000
	chosen := map[string]int{}
	for range requests {
		c, err := st.acquire(t.Context(), wantOf("x"))
		if err != nil {
			t.Fatal(err)
		}
		chosen[c.upstream.ID]++
		st.release(c.upstream.ID)
	}
	// Of two upstreams with equal load each gets half of the choices in which
	// it takes part.
	if n := chosen["u1"]; n < requests/16 || n > requests/4 {
		t.Errorf("chosen %v", chosen)
	}
}

// Guards against a service that is held back because all its upstreams have
// just come back.
func TestWeightWithoutOtherUpstreams(t *testing.T) {
	u := upstreamAt("u1", "127.0.0.1:1")
	u.Weight, u.HomeSlots, u.Slots = 0.1, 4, 4
	st := newService(&fakeControl{snap: snapshotOf(testDocument(), u)})
	for i := range u.Slots {
		if _, ok := st.tryAcquire(wantOf("x")); !ok {
			t.Fatalf("slot %d is not used", i)
		}
	}
}

// Guards against many requests that wait for a connection to an upstream that
// cannot be reached.
func TestUnreachedUpstreamGetsOneRequest(t *testing.T) {
	u := upstreamAt("u1", "127.0.0.1:1")
	st := newService(&fakeControl{snap: snapshotOf(testDocument(), u)})
	st.setUnreached("u1", true)
	if _, ok := st.tryAcquire(wantOf("x")); !ok {
		t.Fatal("the upstream is never tried again")
	}
	if _, ok := st.tryAcquire(wantOf("x")); ok {
		t.Error("a second request goes to it")
	}
	st.setUnreached("u1", false)
	if _, ok := st.tryAcquire(wantOf("x")); !ok {
		t.Error("the upstream is not used although it can be reached")
	}
}

// Guards against an upstream in probation that can never pass it, because the
// service has no other one.
func TestProbationWithoutOtherUpstreams(t *testing.T) {
	u := upstreamAt("u1", "127.0.0.1:1")
	u.State = health.Probation
	st := newService(&fakeControl{snap: snapshotOf(testDocument(), u)})
	probes := 0
	for range 100 {
		st.arrive()
		if c, ok := st.tryAcquire(wantOf("x")); ok {
			probes++
			st.release(c.upstream.ID)
		}
	}
	if probes < 4 || probes > 5 {
		t.Errorf("%d probes of 100 requests", probes)
	}
}

// Guards against an instance that goes on sending requests to the upstreams of
// its own region while they fail, and against one that never tries them again.
func TestFailingUpstreamIsChosenLast(t *testing.T) {
	near, far := upstreamAt("u1", "127.0.0.1:1"), upstreamAt("u2", "127.0.0.1:1")
	far.Region = "north"
	snap := snapshotOf(testDocument(), near, far)
	snap.Self.Region = near.Region
	st := newService(&fakeControl{snap: snap})
	for range failingAfter {
		st.noteOutcome("u1", health.Failed, time.Now())
	}
	chosen := map[string]int{}
	w := wantOf("x")
	w.idempotent = true
	for range 1000 {
		c, ok := st.tryAcquire(w)
		if !ok {
			t.Fatal("no upstream was chosen")
		}
		chosen[c.upstream.ID]++
		st.release(c.upstream.ID)
	}
	if n := chosen["u1"]; n < 50 || n > 200 {
		t.Errorf("chosen %v, want u1 in about 1 of 10", chosen)
	}
	st.noteOutcome("u1", health.OK, time.Now())
	if c, _ := st.tryAcquire(wantOf("x")); c.upstream.ID != "u1" {
		t.Errorf("chosen %s after a success, want the upstream of the own region", c.upstream.ID)
	}
}
