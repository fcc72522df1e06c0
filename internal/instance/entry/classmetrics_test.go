package entry

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"knapweedreel/internal/admission"
)

// Guards against a queue and kept slots that operators can't see by class, and
// against gauges that stay after the class has no more requests.
func TestClassGauges(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	_, st := newPlacerService(8)
	st.metrics = newServiceMetrics(scope, "svc")
	if _, err := st.acquire(t.Context(), classRequest("y", 0)); err != nil {
		t.Fatal(err)
	}
	fillSlots(st, 2)
	it := st.newItem(&waiter{req: classRequest("x", 2)})
	st.queue.Push(it, time.Now())
	check := func(waiting float64) {
		t.Helper()
		st.updateGauges(st.control.Snapshot())
		gauges := scope.Snapshot().Gauges()
		for name, want := range map[string]float64{
			"class_requests_waiting+class=0.2,service=svc": waiting, "class_requests_waiting+class=0.0,service=svc": 0,
			"class_slots_kept_free+class=0.0,service=svc": 0,
		} {
			if g := gauges[name]; g == nil || g.Value() != want {
				t.Errorf("%s is %v, want %v", name, g, want)
			}
		}
		if g := gauges["class_slots_kept_free+class=0.2,service=svc"]; g == nil || g.Value() < 1 {
			t.Errorf("slots kept free: %v", g)
		}
	}
	check(1)
	st.queue.Remove(it, time.Now())
	check(0)
}

// Guards against a metric for each of many classes.
func TestClassGaugesAreBounded(t *testing.T) {
	m := classMetrics{scope: tally.NoopScope}
	var counts []admission.ClassCount
	for i := range 100 {
		counts = append(counts, admission.ClassCount{Class: admission.Class{Route: i}, Waiting: 1})
	}
	m.update(counts, nil, nil)
	m.update(counts[50:], nil, nil)
	if n := len(m.gauges); n != maxClassLabels+1 {
		t.Errorf("%d classes have gauges", n)
	}
}
