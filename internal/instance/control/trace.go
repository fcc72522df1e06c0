package control

import (
	"context"
	"slices"
	"time"

	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/admin"
)

// trace is one reader of the engine's events.
type trace struct {
	ctx    context.Context
	events chan admin.TracedEvent
}

// Trace streams the events of the health engine until ctx ends, then closes
// the channel. Events that a slow reader has no room for are dropped and
// counted.
func (l *Loop) Trace(ctx context.Context) (<-chan admin.TracedEvent, error) {
	t := &trace{ctx: ctx, events: make(chan admin.TracedEvent, traceQueue)}
	if err := l.submit(ctx, traceStarted{t}); err != nil {
		return nil, err
	}
	return t.events, nil
}

type traceStarted struct{ trace *trace }

func (e traceStarted) apply(l *Loop, _ time.Time) { l.traces = append(l.traces, e.trace) }

// closeTraces ends all readers when the loop ends.
func (l *Loop) closeTraces() {
	for _, t := range l.traces {
		close(t.events)
	}
	l.traces = nil
}

func (l *Loop) traceEvent(now time.Time, e health.Event) {
	if len(l.traces) == 0 {
		return
	}
	l.traces = slices.DeleteFunc(l.traces, func(t *trace) bool {
		if t.ctx.Err() != nil {
			close(t.events)
			return true
		}
		select {
		case t.events <- admin.TracedEvent{Time: now, Event: e}:
		default:
			l.metrics.traceDropped.Inc(1)
		}
		return false
	})
}
