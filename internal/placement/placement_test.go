package placement

import (
	"testing"
	"time"
)

const (
	medianTime = 400 * time.Millisecond
	tick       = 100 * time.Millisecond
)

var epoch = time.Unix(1_000_000, 0)

// atMS returns the time the given number of milliseconds after the epoch.
func atMS(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func candidates(ids ...string) []Candidate {
	var c []Candidate
	for _, id := range ids {
		c = append(c, Candidate{ID: id, Slots: 6, Connections: 64})
	}
	return c
}

// serve sends n sequential requests to an upstream, starting at from, and returns
// the end of the last one, in milliseconds.
func serve(t *Tracker, id string, n, from int, o Outcome) int {
	times := t.ResponseTimes("r", medianTime)
	for range n {
		a := t.Start(id, times, atMS(from))
		from += int(medianTime.Milliseconds())
		t.End(id, a, o, atMS(from))
	}
	return from
}

func failureProbability(t *Tracker, id string, now time.Time) float64 {
	return t.model.failureProbability(t.upstreamState(id, now).posterior(&t.model, now))
}

// Guards against a hanging upstream that is detected only when its requests have
// failed: pending requests that are late are evidence too.
func TestLatePendingRequestsRaiseFailureProbability(t *testing.T) {
	tr := NewTracker(DefaultModel())
	now := serve(tr, "a", 10, 0, Succeeded)
	before := failureProbability(tr, "a", atMS(now))
	times := tr.ResponseTimes("r", medianTime)
	for range 3 {
		tr.Start("a", times, atMS(now))
	}
	young, late := failureProbability(tr, "a", atMS(now+200)), failureProbability(tr, "a", atMS(now+1500))
	if young > before+0.05 || late < 0.5 {
		t.Errorf("failure probability %.2f before, %.2f after 0.2 s, %.2f after 1.5 s", before, young, late)
	}
}

// Guards against an upstream that is never used again after a fault period, and
// against one that counts as healthy right away.
func TestFailureProbabilityReturnsToPrior(t *testing.T) {
	tr := NewTracker(DefaultModel())
	now := serve(tr, "a", 4, 0, Failed)
	soon, later := failureProbability(tr, "a", atMS(now)), failureProbability(tr, "a", atMS(now+60_000))
	if soon < 0.5 || later > tr.priorFailure+0.01 {
		t.Errorf("failure probability %.2f at once, %.2f after a minute, prior %.2f", soon, later, tr.priorFailure)
	}
}

// Guards against requests to an upstream that other instances can reach and this
// instance cannot.
func TestPeerAttemptsAreNoEvidenceOfThePath(t *testing.T) {
	tr := NewTracker(DefaultModel())
	times := tr.ResponseTimes("r", medianTime)
	now := serve(tr, "a", 4, 0, Failed)
	for i := range 12 {
		a := tr.PeerStart("a", times, atMS(now-1000+80*i), atMS(now-1000+80*i))
		tr.PeerEnd("a", a, Succeeded, atMS(now+10*i))
	}
	if got := failureProbability(tr, "a", atMS(now+200)); got < 0.4 {
		t.Errorf("failure probability %.2f after this instance's failures and other instances' successes", got)
	}
}

// Guards against an instance that ignores the failures of other instances.
func TestPeerFailuresAreEvidenceOfTheUpstream(t *testing.T) {
	tr := NewTracker(DefaultModel())
	times := tr.ResponseTimes("r", medianTime)
	now := serve(tr, "a", 5, 0, Succeeded)
	for i := range 4 {
		a := tr.PeerStart("a", times, atMS(now+i), atMS(now+i))
		tr.PeerEnd("a", a, Failed, atMS(now+500))
	}
	if got := failureProbability(tr, "a", atMS(now+500)); got < 0.4 {
		t.Errorf("failure probability %.2f after failures of other instances", got)
	}
}

// Guards against attempts of a failed instance that stay pending forever.
func TestPeerAttemptWithoutOutcomeExpires(t *testing.T) {
	tr := NewTracker(DefaultModel())
	times := tr.ResponseTimes("r", medianTime)
	tr.PeerStart("a", times, atMS(0), atMS(0))
	tr.PeerStart("a", times, atMS(9000), atMS(9000))
	if s := tr.upstreamState("a", atMS(9000)); len(s.evidence) != 1 || s.load(atMS(9000)) != 1 {
		t.Errorf("%d attempts kept, load %d", len(s.evidence), s.load(atMS(9000)))
	}
}

// Guards against more requests than an upstream has capacity for: its slots and
// a few more, its connections, and none for a while after a refusal.
func TestChooseRespectsCapacity(t *testing.T) {
	tr := NewTracker(DefaultModel())
	times := tr.ResponseTimes("r", medianTime)
	c := candidates("a")
	for n := 0; ; n++ {
		if _, ok := tr.Choose(c, nil, Request{}, atMS(0)); !ok {
			if n != 8 {
				t.Errorf("%d requests at once, want 6 slots and 2", n)
			}
			break
		}
		tr.Start("a", times, atMS(0))
	}
	tr = NewTracker(DefaultModel())
	tr.RecordRefusal(Incarnation{ID: "a"}, 0, atMS(0))
	if _, ok := tr.Choose(c, nil, Request{}, atMS(100)); ok {
		t.Error("an upstream that has just refused a request is chosen")
	}
	if _, ok := tr.Choose(c, nil, Request{}, atMS(200)); !ok {
		t.Error("an upstream is not chosen again some time after a refusal")
	}
	c[0].Connections = 1
	tr.Start("a", times, atMS(200))
	if _, ok := tr.Choose(c, nil, Request{}, atMS(200)); ok {
		t.Error("more requests than connections")
	}
	// The load that the upstream reports includes requests of other instances.
	tr = NewTracker(DefaultModel())
	tr.SetLoad("a", 8, atMS(0))
	if _, ok := tr.Choose(candidates("a"), nil, Request{}, atMS(100)); ok {
		t.Error("an upstream that reports a full load is chosen")
	}
}

// checkPrefers checks that the preferred one of two healthy candidates is chosen,
// and the other one once the preferred one fails.
func checkPrefers(t *testing.T, c []Candidate, preferred, other int) {
	t.Helper()
	tr := NewTracker(DefaultModel())
	now := serve(tr, c[preferred].ID, 3, 0, Succeeded)
	serve(tr, c[other].ID, 3, 0, Succeeded)
	if got, _ := tr.Choose(c, nil, Request{}, atMS(now)); got.Index != preferred {
		t.Errorf("%s is chosen first", c[other].ID)
	}
	now = serve(tr, c[preferred].ID, 3, now, Failed)
	serve(tr, c[other].ID, 3, now-1200, Succeeded)
	if got, _ := tr.Choose(c, nil, Request{}, atMS(now)); got.Index != other {
		t.Errorf("%s is not chosen while %s fails", c[other].ID, c[preferred].ID)
	}
}

// Guards against requests to a remote region while the local one can serve them,
// and against a remote region that gets no requests when the local one cannot.
func TestChoosePrefersTheLocalRegion(t *testing.T) {
	c := candidates("near", "far")
	c[1].Remote, c[1].TransferCost = true, 0.1
	checkPrefers(t, c, 0, 1)
}

// Guards against needless traffic between failure domains, and against requests
// that stay in their failure domain although its upstream is faulty.
func TestChoosePrefersTheSameFailureDomain(t *testing.T) {
	c := candidates("across", "own")
	c[0].TransferCost = 0.02
	checkPrefers(t, c, 1, 0)
}

// Guards against a newly joined upstream that gets no requests while the others
// are healthy, and against trials of all upstreams when an instance starts.
func TestJoinedUpstreamIsTried(t *testing.T) {
	tr := NewTracker(DefaultModel())
	old := candidates("a", "b", "c")
	now := 0
	used := map[int]bool{}
	for range 30 {
		got, _ := tr.Choose(old, nil, Request{}, atMS(now))
		used[got.Index] = true
		now = serve(tr, old[got.Index].ID, 1, now, Succeeded)
	}
	if len(used) == 0 || now < int(initialPeriod.Milliseconds()) {
		t.Fatalf("used %v until %d ms", used, now)
	}
	joined := candidates("a", "b", "c", "d")
	tr.Choose(joined, nil, Request{}, atMS(now))
	if got, _ := tr.Choose(joined, nil, Request{}, atMS(now+1100)); joined[got.Index].ID != "d" {
		t.Errorf("%s is chosen after an upstream has joined", joined[got.Index].ID)
	}
}

// Guards against an estimate that never recovers from a wrong initial guess, so
// that no response counts as late.
func TestResponseTimesConvergeFromInitialGuess(t *testing.T) {
	e := NewResponseTimes(3 * time.Second)
	for i := range 100 {
		e.Add(medianTime + time.Duration(i%5)*20*time.Millisecond)
	}
	if m := e.Median(); m < medianTime*8/10 || m > medianTime*14/10 {
		t.Errorf("median %v", m)
	}
	if e.tailProbability(e.Median()) < 0.4 || e.tailProbability(3*time.Second) > 0.2 {
		t.Errorf("shares %.2f and %.2f", e.tailProbability(e.Median()), e.tailProbability(3*time.Second))
	}
}

// Guards against timeouts that leave no time for another attempt: with few
// samples of a route the estimate is so wide that late attempts would be
// abandoned only shortly before the deadline.
func TestLateAfterLeavesTimeForAnotherAttempt(t *testing.T) {
	const left = 3 * time.Second
	e := NewResponseTimes(700 * time.Millisecond)
	if after := e.LateAfter(left); left-after < e.Median() || after < e.Median() {
		t.Errorf("timeout %v of %v left, median %v", after, left, e.Median())
	}
	if after, late := e.LateAfter(time.Second), e.AtDeviations(lateDeviations); after != late {
		t.Errorf("timeout %v without time for two attempts, want %v", after, late)
	}
	for range 200 {
		e.Add(700 * time.Millisecond)
	}
	if after, late := e.LateAfter(left), e.AtDeviations(lateDeviations); after != late {
		t.Errorf("timeout %v for a route with many samples, want %v", after, late)
	}
}

// Guards against an upstream that stays unused for seconds after its fault is over,
// although requests that can be repeated could test it; against a test by requests
// that would be lost; and against more tests than needed. The load is 50 requests a
// second at a service that is otherwise well.
func TestRepeatableRequestsTestSuspects(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		tr := NewTracker(DefaultModel())
		cands := []Candidate{{ID: "a", Slots: 6, Connections: 64}, {ID: "b", Slots: 6, Connections: 64}}
		now := serve(tr, "b", 4, 0, Failed)
		now = serve(tr, "a", 10, now, Succeeded)
		tests := 0
		for step := range 125 {
			at := now + 20*step
			got, ok := tr.Choose(cands, nil, Request{Repeatable: repeatable && step%3 == 0}, atMS(at))
			if !ok {
				t.Fatal("no upstream")
			}
			id, outcome := cands[got.Index].ID, Succeeded
			if id == "b" {
				outcome = Failed
				tests++
				if step%3 != 0 {
					t.Error("tested by a request that cannot be repeated")
				}
			}
			a := tr.Start(id, tr.ResponseTimes("r", medianTime), atMS(at))
			tr.End(id, a, outcome, atMS(at+10))
		}
		if repeatable && (tests < 1 || tests > 2) || !repeatable && tests > 0 {
			t.Errorf("repeatable %t: %d tests within 2.5 s", repeatable, tests)
		}
	}
}

// Guards against upstreams that seem faulty because callers stop in the middle of
// their bodies.
func TestCallerPacedAttemptsAreNoEvidence(t *testing.T) {
	tr := NewTracker(DefaultModel())
	times := tr.ResponseTimes("r", 100*time.Millisecond)
	before := tr.upstreamState("u", epoch).failureProbability(&tr.model, epoch)
	var attempts []*Attempt
	for range 6 {
		a := tr.Start("u", times, epoch)
		tr.SetCallerPaced("u", a, epoch)
		attempts = append(attempts, a)
	}
	later := epoch.Add(5 * time.Second)
	if got := tr.upstreamState("u", later).failureProbability(&tr.model, later); got > before+0.01 || tr.isFailing(later) {
		t.Errorf("failure probability %.2f while bodies are awaited, %.2f before", got, before)
	}
	for _, a := range attempts {
		tr.End("u", a, Neutral, later)
	}
	if got := tr.upstreamState("u", later).failureProbability(&tr.model, later); got > before+0.01 {
		t.Errorf("failure probability %.2f after the callers have stopped, %.2f before", got, before)
	}
	a := tr.Start("u", times, later)
	tr.SetCallerPaced("u", a, later)
	tr.End("u", a, Failed, later)
	if got := tr.upstreamState("u", later).failureProbability(&tr.model, later); got <= before+0.1 {
		t.Errorf("failure probability %.2f after a failure, %.2f before", got, before)
	}
}
