package health

import (
	"testing"
	"time"
)

func (f *fleet) score(u int) float64 { return f.engine.Views("s")[u].Score }

// Guards against counting a duplicate or late report again.
func TestRepeatedReportCountsOnce(t *testing.T) {
	f := newFleet(t, 12)
	ev := Evidence{Upstream: key(0), Failures: 1, Callers: []uint64{1}}
	f.send("i1", "r0", ev)
	want := f.score(0)
	f.send("i1", "r0", ev)
	ev.Failures = 0
	f.send("i1", "r0", ev)
	f.apply(Event{Peer: &PeerEvidence{Reporter: "i1", Incarnation: 1, Sequence: 0, Evidence: []Evidence{{Upstream: key(0), Failures: 9}}}})
	f.apply(Event{Peer: &PeerEvidence{Reporter: "i1", Incarnation: 0, Sequence: 99, Evidence: []Evidence{{Upstream: key(0), Failures: 9}}}})
	if got := f.score(0); got != want {
		t.Fatalf("score is %v after repeated and late reports, want %v", got, want)
	}
}

// Guards against ignoring a restarted peer, whose counts start from 0, until they
// exceed those of the earlier incarnation.
func TestReportOfRestartedPeerCounts(t *testing.T) {
	f := newFleet(t, 12)
	f.report("i1", "r0", 0, 0, 1, 1)
	before := f.score(0)
	f.apply(Event{Peer: &PeerEvidence{Reporter: "i1", Incarnation: 2, Sequence: 0, Evidence: []Evidence{{Upstream: key(0), Failures: 1, Callers: []uint64{2}}}}})
	if got := f.score(0); got <= before {
		t.Fatalf("score is %v after the report of the new incarnation, want more than %v", got, before)
	}
}

// Guards against an instance that has just started or reconnected and counts a
// peer's old failures as new.
func TestOldFailuresDoNotCount(t *testing.T) {
	f := newFleet(t, 12)
	for _, peer := range []string{"i1", "i2", "i3"} {
		f.send(peer, "r0", Evidence{Upstream: key(0), Failures: 500, Old: 500, Callers: []uint64{1}})
	}
	if got := f.score(0); got != 0 {
		t.Fatalf("score is %v from old failures, want 0", got)
	}
}

// Guards against counting failures that a peer observed during a partition once
// it has reconnected.
func TestFailuresOfReconnectedPeerAreIgnored(t *testing.T) {
	f := newFleet(t, 12)
	f.report("i1", "r1", 1, 1, 0)
	f.apply(Event{PeerLost: &PeerLost{Reporter: "i1"}})
	f.report("i1", "r1", 0, 0, 2, 1, 2)
	if got := f.score(0); got != 0 {
		t.Fatalf("score is %v from a peer that has just reconnected, want 0", got)
	}
	f.wait(partitionHold)
	f.report("i1", "r1", 0, 0, 1, 1)
	if got := f.score(0); got == 0 {
		t.Fatal("failures of a reconnected peer are never counted")
	}
}

// Guards against evidence that never decays because a peer repeats it.
func TestRepeatedEvidenceDecays(t *testing.T) {
	f := newFleet(t, 12)
	f.report("i1", "r0", 0, 0, 1, 1)
	start := f.score(0)
	for range 600 {
		f.report("i1", "r0", 0, 0, 0, 1)
		f.wait(TickInterval)
	}
	if got := f.score(0); got > 0.3*start {
		t.Fatalf("score is %v after a minute of repetition, want well below %v", got, start)
	}
}

// Guards against reports to peers while nothing fails, and against missing
// reports of successes of a suspected upstream.
func TestOutgoingOnlyWithUpdates(t *testing.T) {
	f := newFleet(t, 12)
	f.outcome(0, OK, 1)
	if out := f.engine.Outgoing(f.now); len(out) != 0 {
		t.Fatalf("%v is sent although no upstream is suspected", out)
	}
	f.outcome(0, Failed, 1)
	if out := f.engine.Outgoing(f.now); len(out) != 1 || out[0].Failures != 1 || len(out[0].Callers) != 1 {
		t.Fatalf("%v is sent after a failure, want one entry with its caller", out)
	}
	if out := f.engine.Outgoing(f.now); len(out) != 0 {
		t.Fatalf("%v is sent again", out)
	}
	f.outcome(0, OK, 1)
	f.outcome(1, OK, 1)
	if out := f.engine.Outgoing(f.now); len(out) != 1 || out[0].Successes != 1 {
		t.Fatalf("%v is sent, want the success of the suspected upstream", out)
	}
}

// Guards against unbounded memory use with many callers, reporters and routes.
func TestMemoryIsBounded(t *testing.T) {
	f := newFleet(t, 3)
	for i := range uint64(2000) {
		f.apply(Event{Outcome: &Outcome{Upstream: key(0), Route: string(rune(0x4e00 + i)), Caller: i, Class: OK}})
		f.apply(Event{Outcome: &Outcome{Upstream: key(int(i % 3)), Route: "GET /", Caller: i, Class: Failed}})
		name := string(rune(0x4e00 + i))
		f.apply(Event{Peer: &PeerEvidence{Reporter: name, Incarnation: 1, Evidence: []Evidence{{Upstream: key(0), Failures: 1}}}})
		f.apply(Event{Leaving: &LeavingChanged{Upstream: Key{Service: "none", Upstream: name}, Source: LeavingInstanceList, Gone: true}})
	}
	e, s := f.engine, f.engine.services["s"]
	if len(e.peers) > maxPeers || len(s.routes) > maxRoutes || len(s.callers.records) > maxCallerRecords || len(e.pendingLeaving) > maxPendingLeaving {
		t.Fatalf("%d peers, %d routes, %d callers, %d pending", len(e.peers), len(s.routes), len(s.callers.records), len(e.pendingLeaving))
	}
	for _, u := range s.upstreams {
		if len(u.failed.callers) > maxShares+1 || len(u.failed.reporters) > maxShares {
			t.Fatalf("%d callers and %d reporters in a score", len(u.failed.callers), len(u.failed.reporters))
		}
	}
}

// Guards against comparing responses with the median of another route, and
// against slow home upstreams that determine the median.
func TestSlowIsMeasuredByRoute(t *testing.T) {
	f := newFleet(t, 4)
	respond := func(u int, route string, ms time.Duration) float64 {
		f.apply(Event{Outcome: &Outcome{Upstream: key(u), Route: route, Caller: 1, Class: OK, Latency: ms * time.Millisecond}})
		return f.score(u)
	}
	for i := range 40 {
		respond(i%4, "GET /fast", 10)
		respond(i%4, "GET /slow", 100)
	}
	if got := respond(0, "GET /slow", 110); got != 0 {
		t.Fatalf("score is %v for a normal response of a slow route", got)
	}
	if got := respond(0, "GET /fast", 110); got == 0 {
		t.Fatal("a response with 11 times the median latency does not count")
	}
	for range 40 {
		respond(1, "GET /fast", 110)
	}
	if got := f.score(1); got == 0 {
		t.Fatal("a slow upstream with most of the samples has raised the median")
	}
}

// Guards against ejecting upstreams that are slow only while they start.
func TestColdStartSlownessIsNeutral(t *testing.T) {
	f := newFleet(t, 4)
	for i := range 40 {
		f.outcome(i%4, OK, 1)
	}
	f.document(2, 5, 3, 3)
	slow := Event{Outcome: &Outcome{Upstream: key(4), Route: "GET /", Caller: 1, Class: OK, Latency: time.Second}}
	f.apply(slow)
	if got := f.score(4); got != 0 {
		t.Fatalf("score is %v during the cold start, want 0", got)
	}
	f.wait(defaultColdStart)
	f.apply(slow)
	if got := f.score(4); got == 0 {
		t.Fatal("slowness after the cold start does not count")
	}
}
