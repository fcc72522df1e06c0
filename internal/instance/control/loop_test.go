package control

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/platform"
	"knapweedreel/internal/member"
	"knapweedreel/internal/routing"
	"knapweedreel/internal/store"
	"knapweedreel/internal/wire"
)

var u1 = health.Key{Service: "entries", Upstream: "u1"}

func failure(key health.Key) health.Outcome {
	return health.Outcome{Upstream: key, Class: health.Failed}
}

func upstream(t *testing.T, n *node, key health.Key) routing.Upstream {
	t.Helper()
	for _, u := range n.Snapshot().Services[key.Service].Upstreams {
		if u.ID == key.Upstream {
			return u
		}
	}
	t.Fatalf("%s: no upstream %v", n.id, key)
	return routing.Upstream{}
}

// Guards against delaying an ejection until the next regular snapshot.
func TestEjectionIsPublishedAtOnce(t *testing.T) {
	f := newFleet(t, 1, 1)
	n := f.nodes["i00"]
	f.put(n, envelope("entries", 1, "a"), platform.SourcePut)
	n.handle(outcomeEvent{failure(u1)})
	if got := upstream(t, n, u1).State; got != health.Ejected {
		t.Fatalf("snapshot has state %s, want ejected", got)
	}
}

// Guards against snapshots that are modified after publication, and against
// repeated sequence numbers.
func TestPublishedSnapshotDoesNotChange(t *testing.T) {
	f := newFleet(t, 1, 1)
	n := f.nodes["i00"]
	n.handle(readyEvent{})
	f.put(n, envelope("entries", 1, "a"), platform.SourcePut)
	before := n.Snapshot()
	n.handle(outcomeEvent{failure(u1)})
	after := n.Snapshot()
	if after.Sequence <= before.Sequence {
		t.Errorf("sequence %d follows %d", after.Sequence, before.Sequence)
	}
	if got := before.Services["entries"].Upstreams[0].State; got != health.InService {
		t.Errorf("the earlier snapshot now has state %s", got)
	}
	if before.Hosts["entries.example"] != before.Services["entries"] || after.Hosts["entries.example"] != after.Services["entries"] {
		t.Error("hosts and services of a snapshot differ")
	}
}

// Guards against a snapshot for every small change, which would exceed the CPU
// budget of the loop, and against changes that are never published.
func TestSmallChangesArePublishedTogether(t *testing.T) {
	f := newFleet(t, 1, 1)
	n := f.nodes["i00"]
	f.put(n, envelope("entries", 1, "a"), platform.SourcePut)
	sequence := n.Snapshot().Sequence
	for range 5 {
		n.publisher.markService("entries", false)
		n.handle(publishEvent{})
	}
	if got := n.Snapshot().Sequence; got != sequence {
		t.Errorf("published %d times within the interval", got-sequence)
	}
	f.clock.now = f.clock.now.Add(PublishInterval)
	n.handle(publishEvent{})
	if got := n.Snapshot().Sequence; got != sequence+1 {
		t.Errorf("published %d times after the interval", got-sequence)
	}
}

// Guards against requests that block on a control loop that does not keep up, and
// against dropped outcomes that are not counted.
func TestReportOutcomeNeverBlocks(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	f := newFleet(t, 1, 1)
	n := f.nodes["i00"]
	n.metrics = newMetrics(scope)
	for range OutcomeQueue + 3 {
		n.ReportOutcome(failure(u1))
	}
	if got := scope.Snapshot().Counters()["outcomes_dropped+"].Value(); got != 3 {
		t.Errorf("counted %d dropped outcomes, want 3", got)
	}
}

// Guards against evidence and leaving upstreams that are not sent to the other
// members of the shard.
func TestEvidenceAndLeavingUpstreamsReachTheShard(t *testing.T) {
	f := newFleet(t, 1, 4)
	n := f.nodes["i00"]
	f.put(n, envelope("entries", 1, "a"), platform.SourcePut)
	f.deliverAll()
	n.handle(outcomeEvent{failure(u1)})
	u2 := health.Key{Service: "entries", Upstream: "u2"}
	n.handle(instancesEvent{[]store.Instance{{ID: "u2", Service: "entries", Role: store.RoleUpstream, State: store.StateLeaving}}})
	f.deliverAll()
	for _, id := range []string{"i01", "i02", "i03"} {
		if got := upstream(t, f.nodes[id], u2).State; got != health.Leaving {
			t.Errorf("%s: u2 is %s before any tick", id, got)
		}
	}
	f.run(health.TickInterval)
	for _, id := range []string{"i01", "i02", "i03"} {
		received := slices.ContainsFunc(f.nodes[id].engine.events, func(e health.Event) bool {
			return e.Peer != nil && e.Peer.Reporter == "i00" && e.Peer.Evidence[0].Upstream == u1
		})
		if !received {
			t.Errorf("%s: no evidence after a tick", id)
		}
	}
}

// Guards against serving requests, after a start or a long pause, with documents
// that have not been compared with the store or a peer.
func TestReadyNeedsStoreOrPeer(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.run(3 * time.Second)
	for id, n := range f.nodes {
		if n.Snapshot().Ready {
			t.Fatalf("%s is ready, but no instance has read the store", id)
		}
	}
	f.nodes["i00"].handle(readyEvent{})
	f.put(f.nodes["i00"], envelope("entries", 1, "a"), platform.SourceStore)
	f.run(3 * time.Second)
	for id, n := range f.nodes {
		if s := n.Snapshot(); !s.Ready || s.Self.State != member.Active {
			t.Errorf("%s: ready %v, state %s", id, s.Ready, s.Self.State)
		}
	}

	n := f.nodes["i02"]
	f.partition([]string{"i02"}, []string{"i00", "i01"}, true)
	f.clock.now = f.clock.now.Add(RecheckThreshold + time.Second)
	n.handle(tickEvent{})
	if s := n.Snapshot(); s.Ready || len(s.Hosts) != 0 {
		t.Errorf("ready %v with %d hosts after a long pause and before a comparison", s.Ready, len(s.Hosts))
	}
	f.partition([]string{"i02"}, []string{"i00", "i01"}, false)
	f.run(2 * time.Second)
	if s := n.Snapshot(); !s.Ready || len(s.Hosts) != 1 {
		t.Errorf("ready %v with %d hosts after peers responded", s.Ready, len(s.Hosts))
	}
}

// Guards against accepting a response that was buffered in a socket during a
// pause as the comparison required after the pause.
func TestResponseFromBeforePauseIsIgnored(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.nodes["i00"].handle(readyEvent{})
	f.run(2 * time.Second)
	n := f.nodes["i01"]
	stale := wire.Message{Version: wire.Version, Sender: "i00", Incarnation: f.nodes["i00"].self.Incarnation,
		RevisionVector: &wire.RevisionVector{Round: n.ready.round}}
	f.clock.now = f.clock.now.Add(RecheckThreshold + time.Second)
	n.deliver("i00", stale)
	if n.Snapshot().Ready {
		t.Fatal("ready after a response from before the pause")
	}
	f.deliverAll()
	if !n.Snapshot().Ready {
		t.Error("not ready after a response from after the pause")
	}
}

// Guards against using outcomes of a paused process as evidence, and against
// marking peers as lost because this process did not run.
func TestPauseIsReportedAndPeersStayLive(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.run(2 * time.Second)
	n := f.nodes["i00"]
	n.engine.events = nil
	f.clock.now = f.clock.now.Add(5 * time.Second)
	n.handle(outcomeEvent{failure(u1)})
	if first := n.engine.events[0]; first.Paused == nil || first.Paused.Duration < 5*time.Second {
		t.Errorf("first event after the pause is %+v", first)
	}
	n.handle(tickEvent{})
	if row, _ := n.table.Row("i01"); row.Presence != member.Live {
		t.Errorf("peer is %s after a pause of this process", row.Presence)
	}
}

// Guards against an engine clock that stops when the wall clock is set back, and
// against one that omits the time during which the machine was suspended.
func TestEngineClockOnlyGoesForward(t *testing.T) {
	now := time.Now()
	c := newEngineClock(now)
	set := func(wall time.Duration) time.Time { return now.Round(0).Add(wall) }
	if got := c.time(now.Add(time.Second)); !got.Equal(set(time.Second)) || got != got.Round(0) {
		t.Errorf("after 1 s: %v", got)
	}
	c.catchUp(set(-time.Hour))
	if got := c.time(now.Add(time.Second)); !got.Equal(set(time.Second)) {
		t.Errorf("after the clock was set back: %v", got)
	}
	c.wall = set(-time.Minute) // as if the machine was suspended for a minute
	c.catchUp(now)
	if got := c.time(now); !got.Equal(now) {
		t.Errorf("after a suspension: %v, want %v", got, now)
	}
}

// Guards against missing a pause that only one of the clocks shows.
func TestPauseDetectorUsesBothClocks(t *testing.T) {
	wall := time.Unix(0, 0)
	p := newPauseDetector(0, wall)
	if got := p.observe(100*time.Millisecond, wall.Add(100*time.Millisecond)); got != 0 {
		t.Errorf("normal tick: %v", got)
	}
	if got := p.observe(200*time.Millisecond, wall.Add(2*time.Second)); got != 1900*time.Millisecond {
		t.Errorf("suspended machine: %v", got)
	}
	if got := p.observe(2200*time.Millisecond, wall.Add(time.Second)); got != 2*time.Second {
		t.Errorf("wall clock set back during a pause: %v", got)
	}
}

// Guards against shares of slots and connections, and lists of members, that
// still include a lost peer.
func TestLostPeerReleasesItsSlots(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.put(f.nodes["i00"], envelope("entries", 1, "a"), platform.SourcePut)
	f.run(time.Second)
	if got := upstream(t, f.nodes["i00"], u1); got.HomeSlots != 2 || got.MaxConnections != 110 {
		t.Fatalf("with 3 members: %d slots, %d connections", got.HomeSlots, got.MaxConnections)
	}
	delete(f.nodes, "i02")
	f.run(4 * time.Second)
	if got := upstream(t, f.nodes["i00"], u1); got.HomeSlots != 3 || got.MaxConnections != 165 {
		t.Errorf("with 2 members: %d slots, %d connections", got.HomeSlots, got.MaxConnections)
	}
	if got := len(f.nodes["i00"].Snapshot().Members); got != 2 {
		t.Errorf("%d members in the snapshot", got)
	}
}

// Guards against a graceful shutdown that peers detect only by a timeout.
func TestLeaveIsAnnouncedAtOnce(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.run(time.Second)
	done := make(chan struct{})
	f.nodes["i00"].handle(leaveEvent{done})
	<-done
	f.deliverAll()
	f.clock.now = f.clock.now.Add(PublishInterval)
	f.nodes["i01"].handle(publishEvent{})
	if got := f.nodes["i01"].Snapshot().Members[0]; got.ID != "i00" || got.State != member.Leaving {
		t.Errorf("peer sees %s as %s", got.ID, got.State)
	}
	f.nodes["i00"].handle(readyEvent{})
	if got := f.nodes["i00"].Snapshot().Self.State; got != member.Leaving {
		t.Errorf("state %s after the store was read while leaving", got)
	}
}

// Guards against audit records that do not reach the lease holder, and against a
// former holder that is still considered the holder.
func TestAuditRecordsReachTheHolder(t *testing.T) {
	f := newFleet(t, 1, 3)
	f.put(f.nodes["i01"], envelope("entries", 1, "a"), platform.SourcePut)
	f.nodes["i01"].handle(outcomeEvent{failure(u1)})
	f.run(time.Second)
	f.nodes["i00"].handle(setHolderEvent{&wire.Holder{Instance: "i00", Fence: 3}})
	f.deliverAll()
	f.run(time.Second)
	ejections := 0
	for len(f.nodes["i00"].auditRecords) > 0 {
		if r := <-f.nodes["i00"].auditRecords; r.Kind == audit.KindUpstream && r.Instance == "i01" && r.Action == "ejected" {
			ejections++
		}
	}
	if ejections != 1 {
		t.Errorf("holder has %d ejections of i01, want 1", ejections)
	}
	f.nodes["i02"].handle(setHolderEvent{&wire.Holder{Instance: "i02", Fence: 4}})
	f.deliverAll()
	if h := f.nodes["i01"].Holder(); h == nil || h.Instance != "i02" {
		t.Errorf("holder is %+v, want i02", h)
	}
	f.nodes["i02"].handle(setHolderEvent{nil})
	f.deliverAll()
	if h := f.nodes["i01"].Holder(); h != nil && h.Instance == "i02" {
		t.Errorf("holder is %+v after it released the lease", h)
	}
}

// Guards against an audit queue that grows without bound while no lease holder is
// known.
func TestAuditQueueDropsTheOldest(t *testing.T) {
	var q auditQueue
	for i := range AuditQueue + 2 {
		q.add(audit.Record{Revision: uint64(i)})
	}
	if len(q.records) != AuditQueue || q.records[0].Revision != 2 {
		t.Errorf("%d records, first %d", len(q.records), q.records[0].Revision)
	}
}

// Guards against calls that hang and a loop that does not terminate.
func TestRunServesCallsUntilItEnds(t *testing.T) {
	f := newFleet(t, 1, 1)
	n := f.nodes["i00"]
	n.cfg.Clock = SystemClock{}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	runCtx, stop := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- n.Run(runCtx) }()
	if _, err := n.Offer(ctx, envelope("entries", 1, "a"), platform.SourcePut); err != nil {
		t.Fatal(err)
	}
	events, err := n.Trace(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if first := <-events; first.Event.Document == nil || first.Event.Document.Service != "entries" {
		t.Errorf("the trace starts with %+v", first.Event)
	}
	n.ReportOutcome(failure(u1))
	for e := range events {
		if e.Event.Outcome != nil {
			break
		}
	}
	view, changes, err := n.ExplainUpstream(ctx, u1)
	if err != nil || view.State != health.Ejected || len(changes) != 1 {
		t.Errorf("explain: %v, %v, %v", view, changes, err)
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
	n.Stop()
	if _, _, err := n.Envelope(ctx, "entries"); err == nil {
		t.Error("Envelope returned no error after Stop")
	}
}
