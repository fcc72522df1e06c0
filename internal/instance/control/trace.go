package control

import (
	"context"
	"maps"
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

// apply begins a trace with the documents that the engine has, so that a replay
// knows the upstreams.
func (e traceStarted) apply(l *Loop, now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(l.documents.byService)) {
		f := l.documents.byService[name]
		if l.serves(name, l.shards) {
			e.trace.add(l, now, health.Event{Document: documentChanged(f)})
		}
	}
	l.traces = append(l.traces, e.trace)
}

func (t *trace) add(l *Loop, now time.Time, e health.Event) {
	select {
	case t.events <- admin.TracedEvent{Time: now, Event: e}:
	default:
		l.metrics.traceDropped.Inc(1)
	}
}

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
		t.add(l, now, e)
		return false
	})
}
