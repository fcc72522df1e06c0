package control

import (
	"context"
	"time"

	"knapweedreel/internal/audit"
	"knapweedreel/internal/errkind"
	"knapweedreel/internal/health"
)

// decisions is a ring buffer of the latest changes of upstream states.
type decisions struct {
	ring []health.Change
	next int
}

func newDecisions(limit int) decisions {
	return decisions{ring: make([]health.Change, 0, max(limit, 1))}
}

func (d *decisions) add(c health.Change) {
	if len(d.ring) < cap(d.ring) {
		d.ring = append(d.ring, c)
		return
	}
	d.ring[d.next] = c
	d.next = (d.next + 1) % len(d.ring)
}

// forUpstream returns the changes of an upstream, newest last.
func (d *decisions) forUpstream(key health.Key) []health.Change {
	var out []health.Change
	for i := range d.ring {
		c := d.ring[(d.next+i)%len(d.ring)]
		if c.Upstream == key {
			out = append(out, c)
		}
	}
	return out
}

// ExplainUpstream returns the current view of an upstream and the recent
// changes of its state, newest last. It returns errkind.NotFound if no document
// contains the upstream.
func (l *Loop) ExplainUpstream(ctx context.Context, key health.Key) (health.View, []health.Change, error) {
	reply := make(chan explanation, 1)
	if err := l.submit(ctx, explainEvent{key: key, reply: reply}); err != nil {
		return health.View{}, nil, err
	}
	select {
	case e := <-reply:
		return e.view, e.changes, e.err
	case <-ctx.Done():
		return health.View{}, nil, ctx.Err()
	case <-l.stopped:
		return health.View{}, nil, ErrStopped
	}
}

type explanation struct {
	view    health.View
	changes []health.Change
	err     error
}

type explainEvent struct {
	key   health.Key
	reply chan<- explanation
}

func (e explainEvent) apply(l *Loop, _ time.Time) {
	changes := l.decisions.forUpstream(e.key)
	for _, v := range l.engine.Views(e.key.Service) {
		if v.Upstream == e.key {
			e.reply <- explanation{view: v, changes: changes}
			return
		}
	}
	err := errkind.New(errkind.NotFound, "no upstream %s of service %s", e.key.Upstream, e.key.Service)
	e.reply <- explanation{changes: changes, err: err}
}

func changeRecord(instance string, c health.Change) audit.Record {
	return audit.Record{
		Time: c.Time, Instance: instance, Kind: audit.KindUpstream, Service: c.Upstream.Service,
		Subject: c.Upstream.Upstream, Action: string(c.To), Rule: string(c.Rule), Revision: c.Revision,
		Detail: changeDetail(c),
	}
}
