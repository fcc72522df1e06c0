package health

import (
	"testing"
	"time"
)

// fleet adds peers with their own counts to a harness.
type fleet struct {
	*harness
	counts   map[string]map[Key]Evidence
	sequence uint64
}

func newFleet(t *testing.T, upstreams int) *fleet {
	f := &fleet{harness: newHarness(t, upstreams, 3, 3), counts: map[string]map[Key]Evidence{}}
	f.wait(20 * time.Second) // cold start
	return f
}

// report applies a peer's report of additional successes and failures.
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
	return f.apply(Event{Peer: &PeerEvidence{Reporter: peer, Incarnation: 1, Sequence: f.sequence, Region: region, Evidence: ev}})
}

// Guards against slow detection: a few failures from two reporters must eject the
// upstream within three ticks.
func TestMergedEvidenceEjects(t *testing.T) {
	f := newFleet(t, 12)
	f.report("i1", "r0", 0, 0, 2, 1, 2)
	f.requireState(0, InService)
	f.report("i2", "r1", 0, 0, 2, 3, 4)
	f.wait(3 * TickInterval)
	f.requireState(0, Ejected)
}

// Guards against one instance with a faulty network path that ejects an upstream
// for the whole fleet.
func TestOneReporterCannotEject(t *testing.T) {
	f := newFleet(t, 12)
	f.report("i2", "r1", 0, 1, 0)
	for i := range uint64(50) {
		f.report("i1", "r0", 0, 0, 1, i)
		f.report("i2", "r1", 0, 1, 0)
		f.wait(TickInterval)
	}
	f.requireState(0, InService)
}

// Guards against an upstream used by a single instance that is never ejected.
func TestLoneReporterEjectsAfterDelay(t *testing.T) {
	f := newFleet(t, 12)
	for i := range uint64(10) {
		f.outcome(0, Failed, i)
	}
	f.requireState(0, InService)
	f.wait(loneReporterDelay)
	for i := range uint64(4) {
		f.outcome(0, Failed, i)
	}
	f.requireState(0, Ejected)
}

// Guards against one caller with faulty requests that ejects an upstream.
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
	f.requireState(0, InService)
}

// Guards against two callers with faulty requests, each below its cap, that
// together eject the upstreams at which they fail.
func TestFaultyCallerIsIgnored(t *testing.T) {
	f := newFleet(t, 12)
	f.outcome(11, OK, 8)
	f.outcome(11, OK, 9)
	for u := range 4 {
		f.outcome(u, Failed, 7)
		f.outcome(u, Failed, 7)
		f.wait(TickInterval)
	}
	if !f.engine.services["s"].callers.isFaulty(7, f.now) {
		t.Fatal("a caller whose requests fail at 4 upstreams is not detected as faulty")
	}
	before := f.engine.Views("s")[0].Score
	f.outcome(0, Failed, 7)
	if after := f.engine.Views("s")[0].Score; after > before {
		t.Fatalf("score rose from %v to %v with a faulty caller", before, after)
	}
}

// Guards against several faulty upstreams that make every caller look faulty, so
// that their failures are ignored.
func TestFaultyUpstreamsDoNotMakeCallersFaulty(t *testing.T) {
	f := newFleet(t, 20)
	for u := range 3 {
		for c := range uint64(4) {
			f.report("i1", "r0", u, 0, 1, c)
			f.report("i2", "r1", u, 0, 1, c)
		}
	}
	f.wait(3 * TickInterval)
	for u := range 3 {
		f.requireState(u, Ejected)
	}
}

// Guards against an instance that is itself at fault and ejects healthy
// upstreams, or makes its peers eject them.
func TestFailingInstanceSuspectsItself(t *testing.T) {
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
		f.requireState(u, InService)
	}
	for _, ev := range f.engine.Outgoing(f.now) {
		if !ev.SelfSuspect {
			t.Fatalf("%v is reported without self-suspicion", ev.Upstream)
		}
	}
	before := f.engine.Views("s")[0].Score
	f.outcome(0, Failed, 3)
	if after := f.engine.Views("s")[0].Score; after > before {
		t.Fatalf("score rose from %v to %v after a failure during self-suspicion", before, after)
	}
}

// Guards against self-suspicion that outlasts its cause: at first only upstreams
// of a failed region are used, then healthy ones too.
func TestSelfSuspicionEndsWhenOtherUpstreamsWork(t *testing.T) {
	f := newFleet(t, 12)
	for range 5 {
		for u := range 6 {
			f.outcome(u, Failed, uint64(u))
		}
		f.wait(TickInterval)
	}
	if !f.engine.selfSuspect() {
		t.Fatal("no self-suspicion although all used upstreams fail")
	}
	for u := 6; u < 12; u++ {
		f.outcome(u, OK, 1)
	}
	f.wait(TickInterval)
	if f.engine.selfSuspect() {
		t.Fatal("self-suspicion continues although half of the upstreams are healthy")
	}
}

// Guards against keeping the evidence of a peer that now suspects itself.
func TestSelfSuspectPeerLosesItsShare(t *testing.T) {
	f := newFleet(t, 12)
	f.report("i1", "r0", 0, 0, 2, 1, 2)
	ev := f.counts["i1"][key(0)]
	ev.SelfSuspect = true
	f.send("i1", "r0", ev)
	if got := f.engine.Views("s")[0].Score; got != 0 {
		t.Fatalf("score is %v, want 0", got)
	}
}

// Guards against counting timeouts that expired while the process was paused.
func TestOwnFailuresAfterPauseAreIgnored(t *testing.T) {
	f := newFleet(t, 12)
	f.apply(Event{Paused: &Paused{Duration: 2 * time.Second}})
	f.outcome(0, Failed, 1)
	if got := f.engine.Views("s")[0].Score; got != 0 {
		t.Fatalf("score is %v after a pause, want 0", got)
	}
	f.wait(selfSuspicionAfterPause)
	f.outcome(0, Failed, 1)
	if got := f.engine.Views("s")[0].Score; got == 0 {
		t.Fatal("score is still 0 after self-suspicion has ended")
	}
}

// Guards against ejections during a network partition: all upstreams of region r1
// fail for reporters in r0 and r2, and work for those in r1.
func TestPartitionedRegionEjectsNoUpstream(t *testing.T) {
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
		f.requireState(u, InService)
	}
}

// Guards against a service-wide fault, such as that of a shared dependency, that
// ejects upstreams down to the floor.
func TestServiceWideFaultEjectsNoUpstream(t *testing.T) {
	f := newFleet(t, 12)
	for i := range 50 {
		for u := range 12 {
			f.report("i1", "r0", u, 2, uint64((i+u)%2), uint64(u%5))
			f.report("i2", "r1", u, 2, uint64((i+u+1)%2), uint64(u%7))
		}
		f.wait(TickInterval)
	}
	for u := range 12 {
		f.requireState(u, InService)
	}
}

// Guards against a fault during low traffic that causes no ejection because a few
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
	f.requireState(0, Ejected)
}
