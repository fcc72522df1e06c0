package health

import (
	"testing"
	"time"
)

// eject lets two peers report failures until the upstream is out.
func (f *fleet) eject(u int) {
	f.t.Helper()
	f.report("i1", "r0", u, 0, 2, 1, 2)
	f.report("i2", "r1", u, 0, 2, 3, 4)
	f.wait(3 * TickInterval)
	f.mustBe(u, Ejected)
}

// Guards against a flapping upstream that gets work again and again after the
// same short wait.
func TestWaitDoubles(t *testing.T) {
	f := newFleet(t, 12)
	f.eject(0)
	for i, w := range []time.Duration{5, 10, 20, 40, 80, 160, 300, 300} {
		f.wait(w*time.Second - TickInterval)
		f.mustBe(0, Ejected)
		f.wait(TickInterval)
		f.mustBe(0, Probation)
		f.report([]string{"i1", "i2"}[i%2], "r0", 0, 0, 1, 1)
		f.mustBe(0, Ejected)
	}
}

// Guards against one instance that cannot reach an upstream and keeps it out of
// service at all others.
func TestOneReporterCannotFailEveryProbation(t *testing.T) {
	f := newFleet(t, 12)
	f.eject(0)
	f.wait(firstWait)
	f.report("i1", "r0", 0, 0, 1, 1)
	f.mustBe(0, Ejected)
	f.wait(2 * firstWait)
	f.report("i1", "r0", 0, 0, 1, 1)
	f.mustBe(0, Probation)
	f.report("i2", "r1", 0, probationSuccesses, 0)
	f.mustBe(0, InService)
}

// Guards against a slowly flapping upstream that is forgiven because time passed
// without work.
func TestEjectionsAreForgottenByWorkOnly(t *testing.T) {
	f := newFleet(t, 12)
	f.eject(0)
	f.wait(firstWait)
	f.report("i1", "r0", 0, probationSuccesses, 0)
	f.mustBe(0, InService)
	f.wait(10 * time.Minute)
	if got := f.engine.services["s"].byID["u0"].recovery.ejections; got != 1 {
		t.Fatalf("%d ejections are remembered after 10 minutes, want 1", got)
	}
	for range servedForStep {
		f.outcome(0, OK, 1)
	}
	if got := f.engine.services["s"].byID["u0"].recovery.ejections; got != 0 {
		t.Fatalf("%d ejections are remembered after %d served requests, want 0", got, servedForStep)
	}
}

// Guards against answers to requests from before the ejection that decide the
// probation.
func TestLateAnswersDoNotCountInProbation(t *testing.T) {
	f := newFleet(t, 12)
	f.eject(0)
	f.wait(firstWait)
	f.mustBe(0, Probation)
	f.apply(Event{Outcome: &Outcome{Upstream: key(0), Route: "GET /", Class: Failed, Latency: 10 * time.Second}})
	f.mustBe(0, Probation)
}

// Guards against an upstream that stays out for ever because its service has no
// idempotent requests to try it with.
func TestProbationWithoutOutcomesEnds(t *testing.T) {
	f := newFleet(t, 12)
	f.eject(0)
	f.wait(firstWait + probationPatience)
	f.mustBe(0, InService)
}

// Guards against a raised floor that is not met while an ejected upstream could
// serve; the least sick must come back first.
func TestRaisedFloorReinstatesLeastSick(t *testing.T) {
	f := newFleet(t, 4)
	f.eject(0)
	f.report("i3", "r2", 1, 0, 2, 1, 2)
	f.eject(1)
	changes := f.document(2, 4, 3, 9)
	if len(changes) != 1 || changes[0].Rule != RuleFloorReinstate {
		t.Fatalf("changes are %+v, want one reinstatement", changes)
	}
	f.mustBe(0, InService)
	f.mustBe(1, Ejected)
}

// Guards against work for a leaving upstream, whatever it was learned from, and
// against peers that are told twice or of what they told themselves.
func TestLeavingBySource(t *testing.T) {
	f := newFleet(t, 12)
	f.apply(Event{Outcome: &Outcome{Upstream: key(0), Class: Neutral, Draining: true}})
	f.apply(Event{Leaving: &Leaving{Upstream: key(1), Source: LeavingPeer, Gone: true}})
	f.apply(Event{Leaving: &Leaving{Upstream: key(2), Source: LeavingList, Gone: true}})
	for u := range 3 {
		f.mustBe(u, Leaves)
	}
	if got := f.engine.Leaving(); len(got) != 2 || got[0] != key(0) || got[1] != key(2) {
		t.Fatalf("peers are told of %v, want the first and the third", got)
	}
	if got := f.engine.Leaving(); len(got) != 0 {
		t.Fatalf("peers are told of %v twice", got)
	}
	f.apply(Event{Leaving: &Leaving{Upstream: key(0), Source: LeavingList}})
	f.mustBe(0, Leaves) // the list never said that it left
	f.apply(Event{Leaving: &Leaving{Upstream: key(2), Source: LeavingList}})
	f.mustBe(2, InService)
	f.wait(leavingExpiry)
	f.mustBe(0, Probation)
}

// Guards against a leaving upstream that is used because the list was read
// before the document.
func TestLeavingBeforeDocument(t *testing.T) {
	e := New(Config{Instance: "i0"})
	now := time.Unix(1000, 0)
	e.Apply(now, Event{Leaving: &Leaving{Upstream: key(0), Source: LeavingList, Gone: true}})
	e.Apply(now, Event{Document: &DocumentChanged{Service: "s", Revision: 1, Document: testDocument(2, 3, 0)}})
	if got := e.Views("s")[0].State; got != Leaves {
		t.Fatalf("state is %s, want %s", got, Leaves)
	}
}

// Guards against an older document that arrives late and reverts a newer one.
func TestOlderDocumentIsIgnored(t *testing.T) {
	f := newFleet(t, 3)
	f.document(5, 4, 3, 3)
	if changes := f.document(4, 2, 3, 3); len(changes) != 0 {
		t.Fatalf("an older document gave %+v", changes)
	}
	if got := len(f.engine.Views("s")); got != 4 {
		t.Fatalf("%d upstreams, want 4", got)
	}
}
