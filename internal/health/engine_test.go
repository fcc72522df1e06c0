package health

import (
	"fmt"
	"testing"
	"time"

	"knapweedreel/internal/document"
)

// clock drives an Engine through a test.
type clock struct {
	t      *testing.T
	now    time.Time
	engine *Engine
}

func newClock(t *testing.T, upstreams, slots, floor int) *clock {
	t.Helper()
	c := &clock{t: t, now: time.Unix(1000, 0), engine: New(Config{Instance: "i0", Region: "r0"})}
	c.document(1, upstreams, slots, floor)
	return c
}

func (c *clock) document(revision uint64, upstreams, slots, floor int) []Change {
	return c.apply(Event{Document: &DocumentChanged{Service: "s", Revision: revision, Document: testDocument(upstreams, slots, floor)}})
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

func (c *clock) apply(ev Event) []Change { return c.engine.Apply(c.now, ev) }

// wait lets time pass in ticks and returns the changes.
func (c *clock) wait(d time.Duration) []Change {
	var all []Change
	for ; d > 0; d -= TickInterval {
		c.now = c.now.Add(TickInterval)
		all = append(all, c.apply(Event{Tick: &Tick{}})...)
	}
	return all
}

func key(i int) Key { return Key{Service: "s", Upstream: fmt.Sprintf("u%d", i)} }

// outcome applies an own outcome.
func (c *clock) outcome(u int, class Class, caller uint64) []Change {
	return c.apply(Event{Outcome: &Outcome{Upstream: key(u), Route: "GET /", Caller: caller, Class: class, Latency: 20 * time.Millisecond}})
}

func (c *clock) state(u int) State { return c.engine.Views("s")[u].State }

func (c *clock) mustBe(u int, want State) {
	c.t.Helper()
	if got := c.state(u); got != want {
		c.t.Fatalf("upstream %d is %s, want %s", u, got, want)
	}
}

// Guards against an upstream that fails all work staying in service.
func TestFailingUpstreamIsEjected(t *testing.T) {
	c := newClock(t, 4, 3, 3)
	for i := range 8 {
		c.now = c.now.Add(time.Second)
		c.outcome(0, Failed, uint64(i))
	}
	c.mustBe(0, Ejected)
	c.mustBe(1, InService)
}

// Guards against an ejection that breaks the floor.
func TestFloorHoldsEjection(t *testing.T) {
	c := newClock(t, 2, 3, 6)
	for i := range 8 {
		c.now = c.now.Add(time.Second)
		c.outcome(0, Failed, uint64(i))
	}
	c.mustBe(0, InService)
	if got := c.engine.Views("s")[0].LastChange.Rule; got != RuleHeldByFloor {
		t.Fatalf("last rule is %s, want %s", got, RuleHeldByFloor)
	}
}

// Guards against a leaving upstream taking the service below its floor while an
// ejected one could serve.
func TestLeavingReinstatesEjected(t *testing.T) {
	c := newClock(t, 3, 3, 6)
	for i := range 8 {
		c.now = c.now.Add(time.Second)
		c.outcome(0, Failed, uint64(i))
	}
	c.mustBe(0, Ejected)
	changes := c.apply(Event{Leaving: &Leaving{Upstream: key(1), Source: LeavingList, Gone: true}})
	if len(changes) != 2 || changes[1].Rule != RuleFloorReinstate {
		t.Fatalf("changes are %+v, want leaving and reinstatement", changes)
	}
	if slots, floor := c.engine.Healthy("s"); slots < floor {
		t.Fatalf("%d healthy slots are below the floor of %d", slots, floor)
	}
}

// Guards against an ejected upstream that recovered and never gets work again.
func TestReturnAfterWait(t *testing.T) {
	c := newClock(t, 4, 3, 3)
	for i := range 8 {
		c.now = c.now.Add(time.Second)
		c.outcome(0, Failed, uint64(i))
	}
	c.wait(firstWait)
	c.mustBe(0, Probation)
	for range probationSuccesses {
		c.outcome(0, OK, 1)
	}
	c.mustBe(0, InService)
	if w := c.engine.Views("s")[0].Weight; w >= 1 {
		t.Fatalf("weight is %v at the start of the ramp, want less than 1", w)
	}
	c.wait(rampTime)
	if w := c.engine.Views("s")[0].Weight; w != 1 {
		t.Fatalf("weight is %v after the ramp, want 1", w)
	}
}
