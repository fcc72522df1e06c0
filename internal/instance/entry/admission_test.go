package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"knapweedreel/internal/document"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/routing"
)

// newService returns the state of the test document's service.
func newService(c Control) *serviceState {
	s := New(Config{Scope: tally.NoopScope, Rand: rand.New(rand.NewPCG(1, 2))}, c)
	return s.service("svc")
}

func testSlotRequest(caller string) *slotRequest {
	return &slotRequest{caller: caller, route: "* /read/*", idempotent: true, deadline: time.Now().Add(waitTimeout)}
}

// Guards against one caller filling the queue or taking every freed slot, and
// against a queue that exceeds its length.
func TestFairQueue(t *testing.T) {
	u := upstreamAt("u1", "127.0.0.1:1")
	u.HomeSlots, u.Slots = 1, 1
	doc := testDocument()
	doc.Queue = document.Queue{Length: 8, TimeoutMS: int(waitTimeout / time.Millisecond)}
	st := newService(&fakeControl{snap: snapshotOf(doc, u)})
	if _, err := st.acquire(t.Context(), testSlotRequest("x")); err != nil {
		t.Fatal(err)
	}
	served := make(chan string, 8)
	var wg sync.WaitGroup
	queued := 0
	enqueue := func(caller string) {
		wg.Go(func() {
			if _, err := st.acquire(t.Context(), testSlotRequest(caller)); err != nil {
				t.Error(err)
			}
			served <- caller
		})
		queued++
		eventually(t, "request in the queue", func() bool {
			st.mu.Lock()
			defer st.mu.Unlock()
			return st.queue.Len() == queued
		})
	}
	for _, caller := range []string{"a", "a", "b", "b", "c", "c", "d", "d"} {
		enqueue(caller)
	}
	for _, caller := range []string{"a", "e"} {
		if _, err := st.acquire(t.Context(), testSlotRequest(caller)); errkind.Of(err) != errkind.QueueFull {
			t.Errorf("caller %s: %v", caller, err)
		}
	}
	order := ""
	for range 8 {
		st.release("u1")
		order += <-served
	}
	wg.Wait()
	if order != "abcdabcd" {
		t.Errorf("served in the order %s", order)
	}
}

// Guards against waiting beyond the queue timeout or the end of the context, and
// against slots that leak when a wait ends.
func TestQueueWaitEnds(t *testing.T) {
	u := upstreamAt("u1", "127.0.0.1:1")
	u.HomeSlots, u.Slots = 1, 1
	doc := testDocument()
	doc.Queue.TimeoutMS = 20
	st := newService(&fakeControl{snap: snapshotOf(doc, u)})
	if _, err := st.acquire(t.Context(), testSlotRequest("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := st.acquire(t.Context(), testSlotRequest("x")); errkind.Of(err) != errkind.QueueTimeout {
		t.Errorf("error %v", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if _, err := st.acquire(ctx, testSlotRequest("x")); errkind.Of(err) != errkind.DeadlineBeforeSend {
		t.Errorf("error %v", err)
	}
	st.release("u1")
	if _, err := st.acquire(t.Context(), testSlotRequest("x")); err != nil {
		t.Error(err)
	}
	if st.queue.Len() != 0 || len(st.queue.Classes()) != 0 {
		t.Errorf("queue %+v", st.queue.Classes())
	}
}

// Guards against slots spent on requests whose response would miss their
// deadline: under overload that work is wasted.
func TestLateWaiterIsDropped(t *testing.T) {
	u := upstreamAt("u1", "127.0.0.1:1")
	u.HomeSlots, u.Slots = 1, 1
	st := newService(&fakeControl{snap: snapshotOf(testDocument(), u)})
	for range minSamples {
		st.observe("* /read/*", waitTimeout)
	}
	if _, err := st.acquire(t.Context(), testSlotRequest("x")); err != nil {
		t.Fatal(err)
	}
	req := testSlotRequest("x")
	req.deadline = time.Now().Add(waitTimeout / 2)
	if _, err := st.acquire(t.Context(), req); errkind.Of(err) != errkind.DeadlineBeforeSend {
		t.Errorf("error %v", err)
	}
}

// Guards against requests to upstreams that are ejected, leaving, avoided or
// full, against borrowing while a home slot is free, and, at a load low enough
// to spread requests, against choosing an upstream that doesn't have the fewest
// requests.
func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var ups []routing.Upstream
		states := []health.State{health.InService, health.InService, health.InService, health.Ejected, health.Probation, health.Leaving}
		for i := range rapid.IntRange(0, 6).Draw(rt, "upstreams") {
			u := upstreamAt(fmt.Sprint("u", i), "127.0.0.1:1")
			u.State = rapid.SampledFrom(states).Draw(rt, "state")
			u.Slots = rapid.IntRange(1, 4).Draw(rt, "slots")
			u.HomeSlots = rapid.IntRange(0, u.Slots).Draw(rt, "home")
			u.PeerInFlight = rapid.IntRange(0, 4).Draw(rt, "peers")
			u.MaxConnections = rapid.IntRange(1, 4).Draw(rt, "connections")
			u.Weight = rapid.SampledFrom([]float64{1, 1, 1, 0.5}).Draw(rt, "weight")
			ups = append(ups, u)
		}
		st := newService(&fakeControl{snap: snapshotOf(testDocument(), ups...)})
		snap, svc := st.control.Snapshot(), st.control.Snapshot().Services["svc"]
		now := time.Now()
		for _, u := range ups {
			st.inFlight[u.ID] = rapid.IntRange(0, 3).Draw(rt, "own")
			if rapid.Bool().Draw(rt, "avoided") {
				st.avoidUntil[u.ID] = now.Add(time.Second)
			}
		}
		req := testSlotRequest("x")
		req.idempotent = rapid.Bool().Draw(rt, "idempotent")
		req.borrowed = rapid.IntRange(0, maxBorrows).Draw(rt, "borrowed")
		st.probeBudget.tokens = rapid.SampledFrom([]float64{0, 1}).Draw(rt, "probes")
		probes := st.probeBudget.tokens
		c, ok := st.pick(snap, svc, req, now)
		spread, freeHome, fewest := st.shouldSpread(svc), false, 100
		for _, u := range ups {
			inFlight := st.inFlight[u.ID]
			if u.State != health.InService || u.Weight != 1 || inFlight >= u.MaxConnections || st.avoided(u.ID, now) {
				continue
			}
			freeHome = freeHome || inFlight < u.HomeSlots
			if inFlight < u.HomeSlots || req.borrowed < maxBorrows && inFlight+u.PeerInFlight < u.Slots {
				fewest = min(fewest, inFlight)
			}
		}
		if !ok {
			if freeHome {
				rt.Fatal("a free home slot was not taken")
			}
			return
		}
		u, inFlight := c.upstream, st.inFlight[c.upstream.ID]
		switch {
		case st.avoided(u.ID, now), inFlight >= u.MaxConnections:
			rt.Fatalf("chose %+v with %d requests in flight", u, inFlight)
		case c.probe:
			if u.State != health.Probation || !req.idempotent || inFlight > 0 || probes < 1 {
				rt.Fatalf("unexpected probe of %+v", u)
			}
		case u.State != health.InService:
			rt.Fatalf("chose %+v", u)
		case spread && inFlight > fewest:
			rt.Fatalf("chose %+v with %d requests in flight, others have %d", u, inFlight, fewest)
		case c.home:
			if inFlight >= u.HomeSlots {
				rt.Fatalf("no home slot is free at %+v", u)
			}
		case freeHome && !spread, req.borrowed >= maxBorrows, inFlight+u.PeerInFlight >= u.Slots:
			rt.Fatalf("borrowed a slot of %+v with %d requests in flight", u, inFlight)
		}
	})
}

// Guards against an upstream in probation getting more than its share of
// requests, or more than one at a time.
func TestProbationShare(t *testing.T) {
	probed := upstreamAt("u2", "127.0.0.1:1")
	probed.State = health.Probation
	st := newService(&fakeControl{snap: snapshotOf(testDocument(), upstreamAt("u1", "127.0.0.1:1"), probed)})
	const requests = 400
	probes := 0
	for range requests {
		st.requestArrived()
		req := testSlotRequest("x")
		c, err := st.acquire(t.Context(), req)
		if err != nil {
			t.Fatal(err)
		}
		if c.probe {
			probes++
			st.probeBudget.tokens = 1
			if second, err := st.acquire(t.Context(), req); err != nil || second.probe {
				t.Fatalf("second probe: %+v, %v", second, err)
			} else {
				st.release(second.upstream.ID)
			}
			st.probeBudget.tokens = 0
		}
		st.release(c.upstream.ID)
	}
	if limit := int(requests * probeShare); probes < limit-1 || probes > limit {
		t.Errorf("%d probes in %d requests", probes, requests)
	}
}

// Guards against callers waiting for the queue timeout when the service has no
// upstream in service.
func TestNoUpstreamFailsAtOnce(t *testing.T) {
	u := upstreamAt("u1", "127.0.0.1:1")
	u.State = health.Ejected
	doc := testDocument()
	doc.Queue.TimeoutMS = int(10 * waitTimeout / time.Millisecond)
	doc.DeadlineMS = doc.Queue.TimeoutMS
	c := &fakeControl{snap: snapshotOf(doc, u)}
	_, url := startServer(t, c, nil)
	resp, _ := roundTrip(t, request(t, http.MethodGet, url+"/write/x", nil))
	if resp.Header.Get(errkind.HeaderError) != string(errkind.NoUpstream) || resp.Header.Get("Retry-After") == "" {
		t.Errorf("header %v", resp.Header)
	}
}

// Guards against instances that keep borrowing under a surge, and against a
// pause that continues after it.
func TestBorrowPause(t *testing.T) {
	var p borrowPause
	now := time.Now()
	if !p.over(now) {
		t.Error("borrowing starts paused")
	}
	p.refused(now)
	if p.over(now.Add(minBorrowPause-1)) || !p.over(now.Add(minBorrowPause)) {
		t.Errorf("first pause %+v", p)
	}
	for range 10 {
		p.refused(now)
	}
	if p.over(now.Add(maxBorrowPause-1)) || !p.over(now.Add(maxBorrowPause)) {
		t.Errorf("longest pause %+v", p)
	}
	p.accepted()
	if !p.over(now) {
		t.Error("the pause continues after a free slot")
	}
}
