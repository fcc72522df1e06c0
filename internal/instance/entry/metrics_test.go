package entry

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"knapweedreel/internal/telemetry"
)

// Guards against a counter whose labels differ from those of the same counter
// elsewhere: its registration is refused and its requests are not counted.
func TestRequestsOfAnyServiceHaveTheSameLabels(t *testing.T) {
	m := telemetry.NewMetrics(func(err error) { t.Error(err) })
	defer m.Close()
	newServiceMetrics(m.Scope, noService).request(404, "unknown-service").Inc(1)
	newServiceMetrics(m.Scope, "entries").request(200, "").Inc(1)
}

// Guards against a load that cannot be told from the metrics: how many requests
// wait and how many are at upstreams, compared with the slots of the region.
func TestUseOfSlotsIsMeasured(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	near, far := upstreamAt("u1", "127.0.0.1:1"), upstreamAt("u2", "127.0.0.1:2")
	near.Region, near.Slots, far.Region = "south", 1, "elsewhere"
	control := &fakeControl{snap: snapshotOf(testDocument(), near, far)}
	control.snap.Self.Region = "south"
	s := New(Config{Scope: scope}, control)
	name := testDocument().Service
	st := s.service(name)
	st.inFlight["u1"] = 1
	st.queue.push(&waiter{want: &want{caller: "c"}})
	s.tidyOnce(control.snap, time.Now())
	for gauge, want := range map[string]float64{"requests_waiting": 1, "requests_in_flight": 1, "region_slots": 1} {
		g := scope.Snapshot().Gauges()[gauge+"+service="+name]
		if g == nil || g.Value() != want {
			t.Errorf("%s is %v, want %v", gauge, g, want)
		}
	}
}
