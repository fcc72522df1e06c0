package control

import (
	"github.com/uber-go/tally/v4"

	"knapweedreel/internal/health"
	"knapweedreel/internal/member"
)

type metrics struct {
	scope             tally.Scope
	outcomesDropped   tally.Counter
	auditDropped      tally.Counter
	traceDropped      tally.Counter
	documentsApplied  tally.Counter
	documentsRefused  tally.Counter
	documentConflicts tally.Counter
	pauses            tally.Counter
	snapshots         tally.Counter
	members           tally.Gauge
	links             tally.Gauge
	auditQueued       tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		scope:             s,
		outcomesDropped:   s.Counter("outcomes_dropped"),
		auditDropped:      s.Counter("audit_dropped"),
		traceDropped:      s.Counter("trace_dropped"),
		documentsApplied:  s.Counter("documents_applied"),
		documentsRefused:  s.Counter("documents_refused"),
		documentConflicts: s.Counter("document_conflicts"),
		pauses:            s.Counter("process_pauses"),
		snapshots:         s.Counter("snapshots"),
		members:           s.Gauge("members_live"),
		links:             s.Gauge("links"),
		auditQueued:       s.Gauge("audit_queued"),
	}
}

func (m *metrics) countDecision(c health.Change) {
	m.scope.Tagged(map[string]string{"rule": string(c.Rule)}).Counter("decisions").Inc(1)
}

// updateGauges updates the gauges.
func (m *metrics) updateGauges(l *Loop) {
	live := 0
	for row := range l.table.All() {
		if row.Presence == member.Live {
			live++
		}
	}
	m.members.Update(float64(live))
	m.links.Update(float64(len(l.links)))
	m.auditQueued.Update(float64(len(l.audits.records)))
}
