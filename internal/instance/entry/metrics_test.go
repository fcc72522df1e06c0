package entry

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"knapweedreel/internal/telemetry"
)

// Guards against counters of one name with different labels: the second one's
// registration fails and its requests are not counted.
func TestRequestsOfAnyServiceHaveTheSameLabels(t *testing.T) {
	m := telemetry.NewMetrics(func(err error) { t.Error(err) })
	defer m.Close()
	newServiceMetrics(m.Scope, noService).request(404, "unknown-service").Inc(1)
	newServiceMetrics(m.Scope, "entries").request(200, "").Inc(1)
}

// Guards against missing gauges of queued requests, requests in flight and
// slots of the region, from which the load is computed.
func TestSlotGauges(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	near, far := upstreamAt("u1", "127.0.0.1:1"), upstreamAt("u2", "127.0.0.1:2")
	near.Region, near.Slots, far.Region = "south", 1, "elsewhere"
	control := &fakeControl{snap: snapshotOf(testDocument(), near, far)}
	control.snap.Self.Region = "south"
	s := New(Config{Scope: scope}, control)
	name := testDocument().Service
	st := s.service(name)
	st.inFlight["u1"] = 1
	st.queue.Push(st.newItem(&waiter{req: &slotRequest{caller: "c"}}), time.Now())
	s.tidyOnce(control.snap, time.Now())
	for gauge, want := range map[string]float64{"requests_waiting": 1, "requests_in_flight": 1, "region_slots": 1} {
		g := scope.Snapshot().Gauges()[gauge+"+service="+name]
		if g == nil || g.Value() != want {
			t.Errorf("%s is %v, want %v", gauge, g, want)
		}
	}
}
