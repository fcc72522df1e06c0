package entry

import (
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"

	"knapweedreel/internal/admission"
)

// maxClassLabels is the maximum number of classes of a service with gauges of their
// own. Further ones are summed.
const maxClassLabels = 8

// otherClasses is the class label of the sum of the further classes.
const otherClasses = "other"

// classGauges are the gauges of one class of a service.
type classGauges struct{ waiting, keptFree tally.Gauge }

// classMetrics are the gauges of a service by class.
type classMetrics struct {
	scope  tally.Scope // of the service
	gauges map[string]classGauges
}

// label returns the label of a class: the priorities of the account and the route.
func (m *classMetrics) label(c admission.Class) string {
	label := fmt.Sprintf("%d.%d", c.Account, c.Route)
	if _, ok := m.gauges[label]; !ok && len(m.gauges) >= maxClassLabels {
		return otherClasses
	}
	return label
}

// update sets the gauges of a service. keptFree returns the number of slots that the
// requests of a class leave free.
func (m *classMetrics) update(waiting []admission.ClassCount, recent []admission.Class, keptFree func(admission.Class) int) {
	if m.gauges == nil {
		m.gauges = make(map[string]classGauges)
	}
	waits, kept := map[string]int{}, map[string]int{}
	for _, c := range recent {
		label := m.label(c)
		m.add(label)
		kept[label] = max(kept[label], keptFree(c))
	}
	for _, c := range waiting {
		label := m.label(c.Class)
		m.add(label)
		waits[label] += c.Waiting
	}
	for label, g := range m.gauges {
		g.waiting.Update(float64(waits[label]))
		g.keptFree.Update(float64(kept[label]))
	}
}

func (m *classMetrics) add(label string) {
	if _, ok := m.gauges[label]; !ok {
		sc := m.scope.Tagged(map[string]string{"class": label})
		m.gauges[label] = classGauges{waiting: sc.Gauge("class_requests_waiting"), keptFree: sc.Gauge("class_slots_kept_free")}
	}
}

// updateClassGauges updates the gauges by class. st.mu is held.
func (st *serviceState) updateClassGauges(now time.Time) {
	p := st.placer
	if p == nil {
		return
	}
	st.metrics.classes.update(st.queue.Classes(), p.demand.Classes(now), func(c admission.Class) int {
		return p.tracker.Reserved(p.headroom(c, false, now))
	})
}
