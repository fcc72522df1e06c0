package health

import (
	"testing"
	"time"
)

// fleet adds peers to a clock. Each has its own counts.
type fleet struct {
	*clock
	counts   map[string]map[Key]Evidence
	sequence uint64
}

func newFleet(t *testing.T, upstreams int) *fleet {
	f := &fleet{clock: newClock(t, upstreams, 3, 3), counts: map[string]map[Key]Evidence{}}
	f.wait(20 * time.Second) // cold start
	return f
}

// report lets a peer report more successes and failures.
func (f *fleet) report(peer, region string, u int, successes, failures uint64, callers ...uint64) []Change {
	if f.counts[peer] == nil {
		f.counts[peer] = map[Key]Evidence{}
	}
	ev := f.counts[peer][key(u)]
	ev.Upstream = key(u)
	ev.Old = ev.Failures
	ev.Successes += successes
	ev.Failures += failures
	ev.Callers = callers
	ev.Traffic = 100
	f.counts[peer][key(u)] = ev
	return f.send(peer, region, ev)
}

func (f *fleet) send(peer, region string, ev ...Evidence) []Change {
	f.sequence++
	return f.apply(Event{Peer: &PeerEvidence{Reporter: peer, Boot: 1, Sequence: f.sequence, Region: region, Evidence: ev}})
}

// Guards against slow detection: two reporters with a few failures must suffice
// within three ticks.
func TestMergedEvidenceEjects(t *testing.T) {
	f := newFleet(t, 12)
	f.report("i1", "r0", 0, 0, 2, 1, 2)
	f.mustBe(0, InService)
	f.report("i2", "r1", 0, 0, 2, 3, 4)
	f.wait(3 * TickInterval)
	f.mustBe(0, Ejected)
}

// Guards against one instance with a bad network path that ejects an upstream
// for all.
func TestOneReporterCannotEject(t *testing.T) {
	f := newFleet(t, 12)
	f.report("i2", "r1", 0, 1, 0)
	for i := range uint64(50) {
		f.report("i1", "r0", 0, 0, 1, i)
		f.report("i2", "r1", 0, 1, 0)
		f.wait(TickInterval)
	}
	f.mustBe(0, InService)
}

// Guards against an upstream with a single user that is never ejected.
func TestLoneReporterEjectsAfterDelay(t *testing.T) {
	f := newFleet(t, 12)
	for i := range uint64(10) {
		f.outcome(0, Failed, i)
	}
	f.mustBe(0, InService)
	f.wait(loneReporterDelay)
	for i := range uint64(4) {
		f.outcome(0, Failed, i)
	}
	f.mustBe(0, Ejected)
}

// Guards against one caller with bad requests that ejects an upstream.
func TestOneCallerCannotEject(t *testing.T) {
	f := newFleet(t, 12)
	f.outcome(1, OK, 8)
	f.outcome(1, OK, 9)
	for range 20 {
		f.outcome(0, Failed, 7)
		f.report("i1", "r0", 0, 0, 1, 7)
		f.report("i2", "r1", 0, 0, 1, 7)
		f.wait(TickInterval)
	}
	f.mustBe(0, InService)
}

// Guards against two callers with bad requests, each below its own cap, that
// together eject the upstreams at which they fail.
func TestPoisonousCallerIsIgnored(t *testing.T) {
	f := newFleet(t, 12)
	f.outcome(11, OK, 8)
	f.outcome(11, OK, 9)
	for u := range 4 {
		f.outcome(u, Failed, 7)
		f.outcome(u, Failed, 7)
		f.wait(TickInterval)
	}
	if !f.engine.services["s"].callers.isPoisonous(7, f.now) {
		t.Fatal("a caller that fails at 4 upstreams is not recognised")
	}
	before := f.engine.Views("s")[0].Score
	f.outcome(0, Failed, 7)
	if after := f.engine.Views("s")[0].Score; after > before {
		t.Fatalf("score rose from %v to %v with a poisonous caller", before, after)
	}
}

// Guards against several faulty upstreams that make every caller look poisonous,
// so that their failures are ignored.
func TestFaultyUpstreamsDoNotMakeCallersPoisonous(t *testing.T) {
	f := newFleet(t, 20)
	for u := range 3 {
		for c := range uint64(4) {
			f.report("i1", "r0", u, 0, 1, c)
			f.report("i2", "r1", u, 0, 1, c)
		}
	}
	f.wait(3 * TickInterval)
	for u := range 3 {
		f.mustBe(u, Ejected)
	}
}

// Guards against an instance with a fault of its own that ejects healthy
// upstreams at itself, or goes on to convince its peers.
func TestFailingInstanceDoubtsItself(t *testing.T) {
	f := newFleet(t, 12)
	for u := range 12 {
		f.outcome(u, OK, 1)
	}
	for range 10 {
		for u := range 8 {
			f.outcome(u, Failed, uint64(u))
		}
		f.wait(TickInterval)
	}
	for u := range 12 {
		f.mustBe(u, InService)
	}
	for _, ev := range f.engine.Outgoing(f.now) {
		if !ev.SelfSuspect {
			t.Fatalf("%v is reported without the doubt", ev.Upstream)
		}
	}
	before := f.engine.Views("s")[0].Score
	f.outcome(0, Failed, 3)
	if after := f.engine.Views("s")[0].Score; after > before {
		t.Fatalf("score rose from %v to %v by a doubted failure", before, after)
	}
}

// Guards against a doubt that outlasts its cause: first only the upstreams of a
// failed region are used, then also others, which work.
func TestDoubtEndsWhenOtherUpstreamsWork(t *testing.T) {
	f := newFleet(t, 12)
	for range 5 {
		for u := range 6 {
			f.outcome(u, Failed, uint64(u))
		}
		f.wait(TickInterval)
	}
	if !f.engine.selfSuspect() {
		t.Fatal("no doubt although all used upstreams fail")
	}
	for u := 6; u < 12; u++ {
		f.outcome(u, OK, 1)
	}
	f.wait(TickInterval)
	if f.engine.selfSuspect() {
		t.Fatal("the doubt goes on although half of the upstreams work")
	}
}

// Guards against the evidence of a peer that has come to doubt itself.
func TestDoubtOfPeerTakesItsShareBack(t *testing.T) {
	f := newFleet(t, 12)
	f.report("i1", "r0", 0, 0, 2, 1, 2)
	ev := f.counts["i1"][key(0)]
	ev.SelfSuspect = true
	f.send("i1", "r0", ev)
	if got := f.engine.Views("s")[0].Score; got != 0 {
		t.Fatalf("score is %v, want 0", got)
	}
}

// Guards against timeouts that ran out while the process stood still.
func TestPauseMakesOwnFailuresDoubtful(t *testing.T) {
	f := newFleet(t, 12)
	f.apply(Event{Paused: &Paused{Duration: 2 * time.Second}})
	f.outcome(0, Failed, 1)
	if got := f.engine.Views("s")[0].Score; got != 0 {
		t.Fatalf("score is %v after a pause, want 0", got)
	}
	f.wait(pauseDoubt)
	f.outcome(0, Failed, 1)
	if got := f.engine.Views("s")[0].Score; got == 0 {
		t.Fatal("score is still 0 after the doubt has ended")
	}
}

// Guards against ejections behind a cut link: all upstreams of region r1 fail as
// seen from r0 and r2, and work as seen from r1.
func TestCutRegionEjectsNobody(t *testing.T) {
	f := newFleet(t, 12)
	for range 30 {
		for u := 1; u < 12; u += 3 {
			f.report("i1", "r0", u, 0, 1, 1)
			f.report("i2", "r2", u, 0, 1, 2)
			f.outcome(u, Failed, 3)
			f.outcome((u+1)%12, OK, 3)
			f.outcome((u+2)%12, OK, 3)
		}
		f.wait(TickInterval)
	}
	for u := range 12 {
		f.mustBe(u, InService)
	}
}

// Guards against a fault of the whole service, as of a shared dependency, that
// ejects upstreams down to the floor.
func TestServiceWideFaultEjectsNobody(t *testing.T) {
	f := newFleet(t, 12)
	for i := range 50 {
		for u := range 12 {
			f.report("i1", "r0", u, 2, uint64((i+u)%2), uint64(u%5))
			f.report("i2", "r1", u, 2, uint64((i+u+1)%2), uint64(u%7))
		}
		f.wait(TickInterval)
	}
	for u := range 12 {
		f.mustBe(u, InService)
	}
}

// Guards against a fault in quiet hours that is never acted on because a few
// other upstreams have failed once.
func TestRareFailuresElsewhereDoNotHideAFault(t *testing.T) {
	f := newFleet(t, 12)
	for u := 1; u < 5; u++ {
		f.report("i3", "r2", u, 20, 1, 9)
	}
	for i := range uint64(8) {
		f.report([]string{"i1", "i2"}[i%2], "r0", 0, 0, 1, i)
		f.wait(2 * time.Second)
	}
	f.mustBe(0, Ejected)
}
