package proofs

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/admin"
)

// Guards against decisions that depend on anything but the recorded events and
// their times. Replaying the trace of a real instance must give the same changes.
func TestRecordedTraceReplaysExactly(t *testing.T) {
	const service = "schedules"
	f := newFleet(t, options{instances: 3, services: []serviceSpec{{name: service, upstreams: 6, slots: 6, workMS: 5}}})
	in := f.instances[0]
	traceCtx, stopTrace := context.WithCancel(t.Context())
	defer stopTrace()
	var events []admin.TracedEvent
	begun := make(chan struct{})
	var traceReader sync.WaitGroup
	traceReader.Go(func() {
		client, _, cancel := f.operatorClient(in)
		defer cancel()
		_ = client.Trace(traceCtx, func(e admin.TracedEvent) error {
			if len(events) == 0 {
				close(begun)
			}
			events = append(events, e)
			return nil
		})
	})
	<-begun

	loadCtx, stopLoad := context.WithCancel(t.Context())
	var load sync.WaitGroup
	load.Go(func() { newCaller("replay").load(loadCtx, 1<<20, 12, f.lookups(service)) })
	f.upstreams[service][0].setFaults(t, upstreamFaults{FailFraction: 0.2, Status: 500})
	f.upstreams[service][1].setFaults(t, upstreamFaults{FlapMS: 700, FailFraction: 1, Status: 503})
	f.eventuallyEjected(service, f.instances[:1])
	f.upstreams[service][0].setFaults(t, upstreamFaults{})
	eventually(t, "probation", waitTimeout, func() (bool, string) {
		for _, c := range f.changes(in, service) {
			if c.To == health.Probation {
				return true, ""
			}
		}
		return false, "no probation yet"
	})
	stopLoad()
	load.Wait()
	recorded := withoutInitialChanges(f.changes(in, service))
	// An event is traced before the decision that it causes becomes visible.
	stopTrace()
	traceReader.Wait()
	got := replay(events, health.Config{Instance: in.name, Region: in.region}, recorded[len(recorded)-1].Time)
	if diff := cmp.Diff(recorded, got); diff != "" {
		t.Errorf("the replay differs (-recorded +replayed):\n%s", diff)
	}
	t.Logf("%d events, %d decisions", len(events), len(recorded))
}

// withoutInitialChanges drops the changes by health.RuleNewUpstream, which precede
// the trace.
func withoutInitialChanges(changes []health.Change) []health.Change {
	var kept []health.Change
	for _, c := range changes {
		if c.Rule != health.RuleNewUpstream {
			kept = append(kept, c)
		}
	}
	return kept
}

// replay applies the events up to the given time to a new engine and returns the
// changes.
func replay(events []admin.TracedEvent, cfg health.Config, until time.Time) []health.Change {
	engine := health.New(cfg)
	var changes []health.Change
	for _, e := range events {
		if e.Time.After(until) {
			break
		}
		changes = append(changes, engine.Apply(e.Time, e.Event)...)
		if e.Event.Tick != nil {
			engine.Outgoing(e.Time)
		}
	}
	return withoutInitialChanges(changes)
}
