package health

import (
	"testing"
	"time"
)

// eject applies failures reported by two peers and requires an ejection.
func (f *fleet) eject(u int) {
	f.t.Helper()
	f.report("i1", "r0", u, 0, 2, 1, 2)
	f.report("i2", "r1", u, 0, 2, 3, 4)
	f.wait(3 * TickInterval)
	f.requireState(u, Ejected)
}

// Guards against a flapping upstream that is retried after the same short
// ejection time again and again.
func TestEjectionTimeDoubles(t *testing.T) {
	f := newFleet(t, 12)
	f.eject(0)
	for i, w := range []time.Duration{5, 10, 20, 40, 80, 160, 300, 300} {
		f.wait(w*time.Second - TickInterval)
		f.requireState(0, Ejected)
		f.wait(TickInterval)
		f.requireState(0, Probation)
		f.report([]string{"i1", "i2"}[i%2], "r0", 0, 0, 1, 1)
		f.requireState(0, Ejected)
	}
}

// Guards against one instance that cannot reach an upstream and keeps it ejected
// at all others.
func TestOneReporterCannotFailEveryProbation(t *testing.T) {
	f := newFleet(t, 12)
	f.eject(0)
	f.wait(baseEjectionTime)
	f.report("i1", "r0", 0, 0, 1, 1)
	f.requireState(0, Ejected)
	f.wait(2 * baseEjectionTime)
	f.report("i1", "r0", 0, 0, 1, 1)
	f.requireState(0, Probation)
	f.report("i2", "r1", 0, probationSuccesses, 0)
	f.requireState(0, InService)
}

// Guards against a slowly flapping upstream whose ejection count falls although
// it has served no requests.
func TestEjectionCountFallsOnlyWithServedRequests(t *testing.T) {
	f := newFleet(t, 12)
	f.eject(0)
	f.wait(baseEjectionTime)
	f.report("i1", "r0", 0, probationSuccesses, 0)
	f.requireState(0, InService)
	f.wait(10 * time.Minute)
	if got := f.engine.services["s"].byID["u0"].recovery.ejections; got != 1 {
		t.Fatalf("ejection count is %d after 10 minutes, want 1", got)
	}
	for range servedPerDecrement {
		f.outcome(0, OK, 1)
	}
	if got := f.engine.services["s"].byID["u0"].recovery.ejections; got != 0 {
		t.Fatalf("ejection count is %d after %d served requests, want 0", got, servedPerDecrement)
	}
}

// Guards against responses to requests sent before the ejection that end the
// probation.
func TestLateResponsesDoNotCountInProbation(t *testing.T) {
	f := newFleet(t, 12)
	f.eject(0)
	f.wait(baseEjectionTime)
	f.requireState(0, Probation)
	f.apply(Event{Outcome: &Outcome{Upstream: key(0), Route: "GET /", Class: Failed, Latency: 10 * time.Second}})
	f.requireState(0, Probation)
}

// Guards against an upstream that is never reinstated because its service has no
// idempotent requests to try it with.
func TestProbationWithoutOutcomesEnds(t *testing.T) {
	f := newFleet(t, 12)
	f.eject(0)
	f.wait(baseEjectionTime + probationTimeout)
	f.requireState(0, InService)
}

// Guards against a raised floor that is not met although an ejected upstream
// could be reinstated. The one with the lowest score must come first.
func TestRaisedFloorReinstatesLowestScore(t *testing.T) {
	f := newFleet(t, 4)
	f.eject(0)
	f.report("i3", "r2", 1, 0, 2, 1, 2)
	f.eject(1)
	changes := f.document(2, 4, 3, 9)
	if len(changes) != 1 || changes[0].Rule != RuleFloorReinstate {
		t.Fatalf("changes are %+v, want one reinstatement", changes)
	}
	f.requireState(0, InService)
	f.requireState(1, Ejected)
}

// Guards against sending requests to a leaving upstream, whatever the source, and
// against announcing it to peers twice or if a peer announced it.
func TestLeavingBySource(t *testing.T) {
	f := newFleet(t, 12)
	f.apply(Event{Outcome: &Outcome{Upstream: key(0), Class: Neutral, Draining: true}})
	f.apply(Event{Leaving: &LeavingChanged{Upstream: key(1), Source: LeavingPeer, Gone: true}})
	f.apply(Event{Leaving: &LeavingChanged{Upstream: key(2), Source: LeavingInstanceList, Gone: true}})
	for u := range 3 {
		f.requireState(u, Leaving)
	}
	if got := f.engine.TakeLeaving(); len(got) != 2 || got[0] != key(0) || got[1] != key(2) {
		t.Fatalf("%v are announced to peers, want the first and the third", got)
	}
	if got := f.engine.TakeLeaving(); len(got) != 0 {
		t.Fatalf("%v are announced to peers twice", got)
	}
	f.apply(Event{Leaving: &LeavingChanged{Upstream: key(0), Source: LeavingInstanceList}})
	f.requireState(0, Leaving) // the instance list never reported it as leaving
	f.apply(Event{Leaving: &LeavingChanged{Upstream: key(2), Source: LeavingInstanceList}})
	f.requireState(2, InService)
	f.wait(leavingExpiry)
	f.requireState(0, Probation)
}

// Guards against using a leaving upstream because the instance list was read
// before the document.
func TestLeavingBeforeDocument(t *testing.T) {
	e := New(Config{Instance: "i0"})
	now := time.Unix(1000, 0)
	e.Apply(now, Event{Leaving: &LeavingChanged{Upstream: key(0), Source: LeavingInstanceList, Gone: true}})
	e.Apply(now, Event{Document: &DocumentChanged{Service: "s", Revision: 1, Document: testDocument(2, 3, 0)}})
	if got := e.Views("s")[0].State; got != Leaving {
		t.Fatalf("state is %s, want %s", got, Leaving)
	}
}

// Guards against an older document that arrives late and replaces a newer one.
func TestOlderDocumentIsIgnored(t *testing.T) {
	f := newFleet(t, 3)
	f.document(5, 4, 3, 3)
	if changes := f.document(4, 2, 3, 3); len(changes) != 0 {
		t.Fatalf("an older document caused %+v", changes)
	}
	if got := len(f.engine.Views("s")); got != 4 {
		t.Fatalf("%d upstreams, want 4", got)
	}
}
