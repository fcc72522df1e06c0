package health

import (
	"fmt"
	"testing"
	"time"

	"knapweedreel/internal/document"
)

// harness drives an Engine with a simulated clock.
type harness struct {
	t      *testing.T
	now    time.Time
	engine *Engine
}

func newHarness(t *testing.T, upstreams, slots, floor int) *harness {
	t.Helper()
	h := &harness{t: t, now: time.Unix(1000, 0), engine: New(Config{Instance: "i0", Region: "r0"})}
	h.document(1, upstreams, slots, floor)
	return h
}

func (h *harness) document(revision uint64, upstreams, slots, floor int) []Change {
	return h.apply(Event{Document: &DocumentChanged{Service: "s", Revision: revision, Document: testDocument(upstreams, slots, floor)}})
}

func testDocument(upstreams, slots, floor int) *document.Document {
	d := &document.Document{Service: "s", FloorSlots: floor}
	for i := range upstreams {
		d.Upstreams = append(d.Upstreams, document.Upstream{
			ID: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Slots: slots,
			Region: fmt.Sprintf("r%d", i%3),
		})
	}
	return d
}

func (h *harness) apply(ev Event) []Change { return h.engine.Apply(h.now, ev) }

// wait advances the time in ticks and returns the changes.
func (h *harness) wait(d time.Duration) []Change {
	var all []Change
	for ; d > 0; d -= TickInterval {
		h.now = h.now.Add(TickInterval)
		all = append(all, h.apply(Event{Tick: &Tick{}})...)
	}
	return all
}

func key(i int) Key { return Key{Service: "s", Upstream: fmt.Sprintf("u%d", i)} }

// outcome applies an outcome of the instance under test.
func (h *harness) outcome(u int, class Class, caller uint64) []Change {
	return h.apply(Event{Outcome: &Outcome{Upstream: key(u), Route: "GET /", Caller: caller, Class: class, Latency: 20 * time.Millisecond}})
}

func (h *harness) state(u int) State { return h.engine.Views("s")[u].State }

func (h *harness) requireState(u int, want State) {
	h.t.Helper()
	if got := h.state(u); got != want {
		h.t.Fatalf("upstream %d is %s, want %s", u, got, want)
	}
}

// Guards against an upstream that fails all requests staying in service.
func TestFailingUpstreamIsEjected(t *testing.T) {
	h := newHarness(t, 4, 3, 3)
	for i := range 8 {
		h.now = h.now.Add(time.Second)
		h.outcome(0, Failed, uint64(i))
	}
	h.requireState(0, Ejected)
	h.requireState(1, InService)
}

// Guards against an ejection that takes the service below its floor.
func TestFloorPreventsEjection(t *testing.T) {
	h := newHarness(t, 2, 3, 6)
	for i := range 8 {
		h.now = h.now.Add(time.Second)
		h.outcome(0, Failed, uint64(i))
	}
	h.requireState(0, InService)
	if got := h.engine.Views("s")[0].LastChange.Rule; got != RuleHeldByFloor {
		t.Fatalf("last rule is %s, want %s", got, RuleHeldByFloor)
	}
}

// Guards against a leaving upstream that takes the service below its floor while
// an ejected one could be reinstated.
func TestLeavingReinstatesEjected(t *testing.T) {
	h := newHarness(t, 3, 3, 6)
	for i := range 8 {
		h.now = h.now.Add(time.Second)
		h.outcome(0, Failed, uint64(i))
	}
	h.requireState(0, Ejected)
	changes := h.apply(Event{Leaving: &LeavingChanged{Upstream: key(1), Source: LeavingInstanceList, Gone: true}})
	if len(changes) != 2 || changes[1].Rule != RuleFloorReinstate {
		t.Fatalf("changes are %+v, want leaving and reinstatement", changes)
	}
	if slots, floor := h.engine.Healthy("s"); slots < floor {
		t.Fatalf("%d healthy slots are below the floor of %d", slots, floor)
	}
}

// Guards against an upstream that has recovered but is never reinstated.
func TestReinstatedAfterProbation(t *testing.T) {
	h := newHarness(t, 4, 3, 3)
	for i := range 8 {
		h.now = h.now.Add(time.Second)
		h.outcome(0, Failed, uint64(i))
	}
	h.wait(baseEjectionTime)
	h.requireState(0, Probation)
	for range probationSuccesses {
		h.outcome(0, OK, 1)
	}
	h.requireState(0, InService)
	if w := h.engine.Views("s")[0].Weight; w >= 1 {
		t.Fatalf("weight is %v at the start of the ramp, want less than 1", w)
	}
	h.wait(rampTime)
	if w := h.engine.Views("s")[0].Weight; w != 1 {
		t.Fatalf("weight is %v after the ramp, want 1", w)
	}
}
