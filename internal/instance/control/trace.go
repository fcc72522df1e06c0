package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"knapweedreel/internal/health"
	"knapweedreel/internal/instance/admin"
)

// trace is a reader of the engine's events.
type trace struct {
	ctx    context.Context
	events chan admin.TracedEvent
}

// Trace streams the events of the health engine until ctx is done, then closes
// the channel. Events that do not fit in a slow reader's queue are dropped and
// counted.
func (l *Loop) Trace(ctx context.Context) (<-chan admin.TracedEvent, error) {
	t := &trace{ctx: ctx, events: make(chan admin.TracedEvent, traceQueue)}
	if err := l.submit(ctx, startTraceEvent{t}); err != nil {
		return nil, err
	}
	return t.events, nil
}

type startTraceEvent struct{ trace *trace }

func (e startTraceEvent) apply(l *Loop, _ time.Time) {
	l.pendingTraces = append(l.pendingTraces, e.trace)
}

// startTraces starts the traces requested since the last tick. A trace starts
// with the documents in the engine, followed by a tick, so that a replay knows
// the upstreams and decays scores from the same times.
func (l *Loop) startTraces(now time.Time) {
	at := l.engineClock.time(now)
	for _, t := range l.pendingTraces {
		for _, name := range slices.Sorted(maps.Keys(l.documents.byService)) {
			if l.serves(name, l.shards) {
				t.send(l, at, health.Event{Document: documentChanged(l.documents.byService[name])})
			}
		}
	}
	l.traces = append(l.traces, l.pendingTraces...)
	l.pendingTraces = nil
}

func (t *trace) send(l *Loop, at time.Time, e health.Event) {
	select {
	case t.events <- admin.TracedEvent{Time: at, Event: e}:
	default:
		l.metrics.traceDropped.Inc(1)
	}
}

// closeTraces closes the channels of all readers when the loop ends.
func (l *Loop) closeTraces() {
	for _, t := range append(l.traces, l.pendingTraces...) {
		close(t.events)
	}
	l.traces, l.pendingTraces = nil, nil
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
		t.send(l, at, e)
		return false
	})
}
