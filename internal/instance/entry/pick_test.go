package entry

import (
	"testing"
	"time"

	"knapweedreel/internal/admission"
	"knapweedreel/internal/health"
)

// Guards against sending an upstream that is ramping up its full share of
// requests, or none.
func TestWeightLimitsRequests(t *testing.T) {
	ramping := upstreamAt("u1", "127.0.0.1:1")
	ramping.Weight = 0.25
	st := newService(&fakeControl{snap: snapshotOf(testDocument(), ramping, upstreamAt("u2", "127.0.0.1:1"))})
	const requests = 1000
	chosen := map[string]int{}
	for range requests {
		c, err := st.acquire(t.Context(), testSlotRequest("x"))
		if err != nil {
			t.Fatal(err)
		}
		chosen[c.upstream.ID]++
		st.release(c.upstream.ID)
	}
	// Of two upstreams with equal load, each is chosen half of the times that
	// it is considered.
	if n := chosen["u1"]; n < requests/16 || n > requests/4 {
		t.Errorf("chosen %v", chosen)
	}
}

// Guards against limiting a service because all its upstreams are ramping up.
func TestWeightWithoutOtherUpstreams(t *testing.T) {
	u := upstreamAt("u1", "127.0.0.1:1")
	u.Weight, u.HomeSlots, u.Slots = 0.1, 4, 4
	st := newService(&fakeControl{snap: snapshotOf(testDocument(), u)})
	for i := range u.Slots {
		if _, ok := st.tryAcquire(testSlotRequest("x")); !ok {
			t.Fatalf("slot %d is not used", i)
		}
	}
}

// Guards against many requests waiting for a connection to an unreachable
// upstream.
func TestUnreachableUpstreamGetsOneRequest(t *testing.T) {
	u := upstreamAt("u1", "127.0.0.1:1")
	st := newService(&fakeControl{snap: snapshotOf(testDocument(), u)})
	st.setUnreachable("u1", true)
	if _, ok := st.tryAcquire(testSlotRequest("x")); !ok {
		t.Fatal("the upstream is never tried again")
	}
	if _, ok := st.tryAcquire(testSlotRequest("x")); ok {
		t.Error("a second request is sent to it")
	}
	st.setUnreachable("u1", false)
	if _, ok := st.tryAcquire(testSlotRequest("x")); !ok {
		t.Error("the upstream is not used although it is reachable")
	}
}

// Guards against an upstream that can never pass probation because the service
// has no other upstream.
func TestProbationWithoutOtherUpstreams(t *testing.T) {
	u := upstreamAt("u1", "127.0.0.1:1")
	u.State = health.Probation
	st := newService(&fakeControl{snap: snapshotOf(testDocument(), u)})
	probes := 0
	for range 100 {
		st.requestArrived()
		if c, ok := st.tryAcquire(testSlotRequest("x")); ok {
			probes++
			st.release(c.upstream.ID)
		}
	}
	if probes < 4 || probes > 5 {
		t.Errorf("%d probes in 100 requests", probes)
	}
}

// Guards against an instance that keeps sending requests to failing upstreams
// of the local region, and against one that never tries them again.
func TestFailingUpstreamIsChosenLast(t *testing.T) {
	near, far := upstreamAt("u1", "127.0.0.1:1"), upstreamAt("u2", "127.0.0.1:1")
	far.Region = "north"
	snap := snapshotOf(testDocument(), near, far)
	snap.Self.Region = near.Region
	st := newService(&fakeControl{snap: snap})
	for range failingThreshold {
		st.recordOutcome("u1", health.Failed, time.Now())
	}
	chosen := map[string]int{}
	req := testSlotRequest("x")
	req.idempotent = true
	for range 1000 {
		c, ok := st.tryAcquire(req)
		if !ok {
			t.Fatal("no upstream was chosen")
		}
		chosen[c.upstream.ID]++
		st.release(c.upstream.ID)
	}
	if n := chosen["u1"]; n < 50 || n > 200 {
		t.Errorf("chosen %v, want u1 in about 1 of 10", chosen)
	}
	st.recordOutcome("u1", health.OK, time.Now())
	if c, _ := st.tryAcquire(testSlotRequest("x")); c.upstream.ID != "u1" {
		t.Errorf("chosen %s after a success, want the upstream of the local region", c.upstream.ID)
	}
}

// Guards against refusing a caller because of the many requests of another one of
// its class, which don't delay it: callers take turns. All requests of more urgent
// classes do.
func TestQueueAheadCountsTurns(t *testing.T) {
	st := &serviceState{queue: newRequestQueue(true)}
	push := func(caller string, priority int) {
		st.queue.Push(&admission.Item[*waiter]{Class: admission.Class{Route: priority}, Account: caller, Work: time.Second}, time.Now())
	}
	for range 10 {
		push("many", 1)
	}
	push("few", 1)
	push("few", 2)
	for _, c := range []struct {
		caller   string
		priority int
		want     int
	}{
		{"new", 1, 2}, {"few", 1, 2 * 2}, {"few", 2, 11 + 1}, {"many", 1, 10 + 1}, {"many", 2, 11 + 1}, {"new", 0, 0},
	} {
		if got := st.queue.AheadOf(admission.Class{Route: c.priority}, c.caller, false, time.Now()).Requests; got != c.want {
			t.Errorf("%s with priority %d: %d ahead, want %d", c.caller, c.priority, got, c.want)
		}
	}
}
