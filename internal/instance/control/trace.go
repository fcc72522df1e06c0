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

func (e traceStarted) apply(l *Loop, _ time.Time) { l.newTraces = append(l.newTraces, e.trace) }

// beginTraces begins the traces that were asked for since the last tick. A trace
// begins with the documents that the engine has and a tick, so that a replay
// knows the upstreams and lets scores decay from the same moments.
func (l *Loop) beginTraces(now time.Time) {
	at := l.engineClock.time(now)
	for _, t := range l.newTraces {
		for _, name := range slices.Sorted(maps.Keys(l.documents.byService)) {
			if l.serves(name, l.shards) {
				t.add(l, at, health.Event{Document: documentChanged(l.documents.byService[name])})
			}
		}
	}
	l.traces = append(l.traces, l.newTraces...)
	l.newTraces = nil
}

func (t *trace) add(l *Loop, at time.Time, e health.Event) {
	select {
	case t.events <- admin.TracedEvent{Time: at, Event: e}:
	default:
		l.metrics.traceDropped.Inc(1)
	}
}

// closeTraces ends all readers when the loop ends.
func (l *Loop) closeTraces() {
	for _, t := range append(l.traces, l.newTraces...) {
		close(t.events)
	}
	l.traces, l.newTraces = nil, nil
}

func (l *Loop) traceEvent(at time.Time, e health.Event) {
	if len(l.traces) == 0 {
		return
	}
	l.traces = slices.DeleteFunc(l.traces, func(t *trace) bool {
		if t.ctx.Err() != nil {
			close(t.events)
			return true
		}
		t.add(l, at, e)
		return false
	})
}
