package control

import (
	"time"

	"knapweedreel/internal/health"
)

// ReportOutcome hands over the outcome of an attempt. It never blocks: an
// outcome that does not fit in the queue is dropped and counted.
func (l *Loop) ReportOutcome(o health.Outcome) {
	select {
	case l.outcomes <- o:
	default:
		l.metrics.outcomesDropped.Inc(1)
	}
}

// outcomeEvent is a batch of outcomes. The snapshot is published after the
// batch, so that a burst of failures costs one snapshot.
type outcomeEvent []health.Outcome

func (e outcomeEvent) apply(l *Loop, now time.Time) {
	for i := range e {
		l.feed(now, health.Event{Outcome: &e[i]})
	}
}
