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
// their times: a trace of a real instance replays to the same changes.
func TestRecordedTraceReplaysExactly(t *testing.T) {
	const service = "schedules"
	f := newFleet(t, options{instances: 3, services: []serviceSpec{{name: service, upstreams: 6, slots: 6, workMS: 5}}})
	in := f.instances[0]
	tracing, stopTrace := context.WithCancel(t.Context())
	defer stopTrace()
	var events []admin.TracedEvent
	begun := make(chan struct{})
	var reading sync.WaitGroup
	reading.Go(func() {
		client, _, cancel := f.operator(in)
		defer cancel()
		_ = client.Trace(tracing, func(e admin.TracedEvent) error {
			if len(events) == 0 {
				close(begun)
			}
			events = append(events, e)
			return nil
		})
	})
	<-begun

	loading, stopLoad := context.WithCancel(t.Context())
	var load sync.WaitGroup
	load.Go(func() { newCaller("replay").load(loading, 1<<20, 12, f.lookups(service)) })
	f.upstreams[service][0].set(t, upstreamFaults{FailFraction: 0.2, Status: 500})
	f.upstreams[service][1].set(t, upstreamFaults{FlapMS: 700, FailFraction: 1, Status: 503})
	f.eventuallyEjected(service, f.instances[:1])
	f.upstreams[service][0].set(t, upstreamFaults{})
	eventually(t, "probation", eventLimit, func() (bool, string) {
		for _, c := range f.changes(in, service) {
			if c.To == health.Probation {
				return true, ""
			}
		}
		return false, "none yet"
	})
	stopLoad()
	load.Wait()
	recorded := decisions(f.changes(in, service))
	// Events reach the trace before the decision they lead to is shown.
	stopTrace()
	reading.Wait()
	got := replay(events, health.Config{Instance: in.name, Region: in.region}, recorded[len(recorded)-1].Time)
	if diff := cmp.Diff(recorded, got); diff != "" {
		t.Errorf("the replay differs (-recorded +replayed):\n%s", diff)
	}
	t.Logf("%d events, %d decisions", len(events), len(recorded))
}

// decisions leaves out the changes that were made before a trace began.
func decisions(changes []health.Change) []health.Change {
	var kept []health.Change
	for _, c := range changes {
		if c.Rule != health.RuleNewUpstream {
			kept = append(kept, c)
		}
	}
	return kept
}

// replay feeds a fresh engine with the events up to the given time.
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
	return decisions(changes)
}
