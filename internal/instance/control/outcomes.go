package control

import (
	"time"

	"knapweedreel/internal/health"
)

// ReportOutcome queues the outcome of an attempt. It never blocks: if the queue
// is full, the outcome is dropped and counted.
func (l *Loop) ReportOutcome(o health.Outcome) {
	select {
	case l.outcomes <- o:
	default:
		l.metrics.outcomesDropped.Inc(1)
	}
}

// outcomeEvent is a batch of outcomes. At most one snapshot is published per
// batch, so that a burst of failures does not cause a snapshot per failure.
type outcomeEvent []health.Outcome

func (e outcomeEvent) apply(l *Loop, now time.Time) {
	for i := range e {
		l.feed(now, health.Event{Outcome: &e[i]})
	}
}
