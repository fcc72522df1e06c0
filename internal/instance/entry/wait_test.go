package entry

import (
	"fmt"
	"testing"
	"time"

	"knapweedreel/internal/admission"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/evidence"
	"knapweedreel/internal/placement"
	"knapweedreel/internal/routing"
)

// newPlacerService returns the state of a service with a placer and upstreams of
// three slots.
func newPlacerService(upstreams int) (*Server, *serviceState) {
	var ups []routing.Upstream
	for i := range upstreams {
		u := upstreamAt(fmt.Sprint("u", i), "127.0.0.1:1")
		u.Slots, u.MaxConnections = 3, 64
		ups = append(ups, u)
	}
	s := New(Config{Placement: &Placement{Model: placement.DefaultModel()}}, &fakeControl{snap: snapshotOf(testDocument(), ups...)})
	return s, s.service("svc")
}

func classRequest(caller string, priority int) *slotRequest {
	req := testSlotRequest(caller)
	req.class, req.started, req.objective = admission.Class{Route: priority}, time.Now(), waitTimeout/2
	req.route = fmt.Sprint("route of priority ", priority)
	return req
}

// fillSlots takes slots for less urgent requests until none is free, and returns the
// choices.
func fillSlots(st *serviceState, priority int) []choice {
	var taken []choice
	for {
		c, ok := st.tryAcquire(classRequest("x", priority))
		if !ok {
			return taken
		}
		taken = append(taken, c)
	}
}

// Guards against a burst of a less urgent kind of request that takes all slots and
// the places beyond them, and against slots that are kept free in a service whose
// requests all have the same class.
func TestUrgentRequestsFindAFreeSlot(t *testing.T) {
	_, st := newPlacerService(8)
	if n := len(fillSlots(st, 2)); n != 8*4 {
		t.Errorf("%d requests of one class, want 24 slots and 8 places beyond", n)
	}
	_, st = newPlacerService(8)
	urgent, err := st.acquire(t.Context(), classRequest("y", 0))
	if err != nil {
		t.Fatal(err)
	}
	taken := fillSlots(st, 2)
	if n := len(taken); n >= 23 || n < 12 {
		t.Errorf("%d less urgent requests take a slot beside an urgent one", n)
	}
	st.releaseChoice(urgent, health.OK)
	if _, ok := st.tryAcquire(classRequest("y", 0)); !ok {
		t.Error("an urgent request finds no free slot")
	}
}

// queueRequest queues a request, which releases its slot at once and reports that
// on the channel.
func queueRequest(t *testing.T, st *serviceState, req *slotRequest, served chan<- string) {
	t.Helper()
	st.mu.Lock()
	before := st.queue.Len()
	st.mu.Unlock()
	go func() {
		c, err := st.acquire(t.Context(), req)
		if err != nil {
			served <- fmt.Sprint(errkind.Of(err))
			return
		}
		st.releaseChoice(c, health.OK)
		served <- req.caller
	}()
	eventually(t, "request in the queue", func() bool {
		st.mu.Lock()
		defer st.mu.Unlock()
		return st.queue.Len() > before
	})
}

// Guards against less urgent requests that are served, hedged or retried before
// urgent ones that wait, and against refusing them although they have the time: all
// slots are taken, and the less urgent request waits while the urgent one passes.
func TestUrgentRequestsPass(t *testing.T) {
	_, st := newPlacerService(1)
	it := st.newItem(&waiter{req: classRequest("waits for a better upstream", 0)})
	st.queue.Push(it, time.Now())
	if _, ok := st.tryAcquire(classRequest("hedge", 2)); ok {
		t.Error("a less urgent hedge takes a slot while an urgent request waits")
	}
	retry := classRequest("retry", 2)
	if retry.retry = true; st.mayPass(retry) {
		t.Error("a less urgent retry passes an urgent request")
	}
	if retry.class = (admission.Class{}); !st.mayPass(retry) {
		t.Error("a retry waits behind the first attempts of its class")
	}
	st.queue.Remove(it, time.Now())
	taken := fillSlots(st, 0)
	served := make(chan string, 2)
	queueRequest(t, st, classRequest("slow", 2), served)
	queueRequest(t, st, classRequest("urgent", 0), served)
	st.releaseChoice(taken[0], health.OK)
	if got := <-served; got != "urgent" {
		t.Errorf("%s is served first", got)
	}
	for _, c := range taken[1:] {
		st.releaseChoice(c, health.OK)
	}
	if got := <-served; got != "slow" {
		t.Errorf("%s instead of the less urgent request", got)
	}
}

// Guards against slots that stay unused until the next check of the queue although
// another instance has reported that its request there has ended.
func TestEndOfPeerAttemptDispatchesTheQueue(t *testing.T) {
	s, st := newPlacerService(1)
	record := evidence.Record{Service: "svc", Upstream: "u0", Route: "r", ExpectedMS: 600}
	for i := range 4 {
		record.Attempt = uint64(i)
		s.ApplyEvidence(1, []evidence.Record{record})
	}
	served := make(chan string, 1)
	queueRequest(t, st, classRequest("a", 0), served)
	st.mu.Lock()
	st.recheck.Stop() // only the end of the attempt is left to serve it
	st.mu.Unlock()
	record.Outcome = placement.Succeeded
	s.ApplyEvidence(1, []evidence.Record{record})
	if got := <-served; got != "a" {
		t.Error(got)
	}
}

// Guards against requests that wait until they are late although the queue shows
// that they can't be served in time, and against a return that is told without
// regard to the urgent requests.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	_, st := newPlacerService(1)
	for range 400 { // responses that take 300 ms
		for _, priority := range []int{0, 2} {
			st.placer.times(classRequest("x", priority)).Add(300 * time.Millisecond)
		}
	}
	fillSlots(st, 0)
	served := make(chan string, 16)
	short := func(caller string, priority int) *slotRequest {
		req := classRequest(caller, priority)
		req.objective, req.deadline = 1500*time.Millisecond, time.Now().Add(waitTimeout)
		return req
	}
	for i := range 12 {
		queueRequest(t, st, classRequest(fmt.Sprint("q", i), 0), served)
	}
	began := time.Now()
	_, err := st.acquire(t.Context(), short("late", 0))
	if errkind.Of(err) != errkind.QueueFull || time.Since(began) > time.Second {
		t.Errorf("%v after %v", err, time.Since(began))
	}
	urgent, other := st.returnDelay(short("late", 0)), st.returnDelay(short("late", 2))
	if urgent < time.Second || other <= urgent {
		t.Errorf("an urgent caller returns after %v, a less urgent one after %v", urgent, other)
	}
	// The first request of a class waits, since the class has a minimum share.
	if _, err := st.acquire(t.Context(), short("other", 2)); errkind.Of(err) != errkind.QueueTimeout {
		t.Error(err)
	}
}

// BenchmarkDispatchWithoutFreeSlot measures a dispatch of a long queue while 119
// upstreams have no free slot, the most frequent one under overload.
func BenchmarkDispatchWithoutFreeSlot(b *testing.B) {
	_, st := newPlacerService(119)
	fillSlots(st, 0)
	for i := range 300 {
		it := st.newItem(&waiter{req: classRequest(fmt.Sprint(i), i%3), until: time.Now().Add(time.Hour)})
		st.queue.Push(it, time.Now())
	}
	for b.Loop() {
		st.dispatchLocked()
	}
	st.recheck.Stop()
}
