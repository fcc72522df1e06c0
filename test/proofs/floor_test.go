package proofs

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"testing"
	"time"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
)

// Guards against ejections that reduce healthy capacity below the floor. Half of
// the upstreams fail all work at once, another one leaves, the document changes,
// one instance is killed, and another is paused beyond the peer timeout.
func TestEjectionsRespectTheFloor(t *testing.T) {
	const service = "schedules"
	f := newFleet(t, options{instances: 4, services: []serviceSpec{{
		name: service, upstreams: 8, slots: 6, workMS: 5, change: func(d *document.Document) {
			d.FloorSlots = 36 // six of eight upstreams
		},
	}}})
	ctx, cancel := context.WithTimeout(t.Context(), loadLimit)
	defer cancel()
	loadCtx, stopLoad := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { newCaller("floor").load(loadCtx, 1<<20, 24, f.lookups(service)) })

	for _, u := range f.upstreams[service][:4] {
		u.setFaults(t, upstreamFaults{FailFraction: 1, Status: 500})
	}
	f.eventuallyEjected(service, f.instances)
	f.upstreams[service][7].setFaults(t, upstreamFaults{Draining: true})
	f.instances[3].kill()
	changed := *f.documents[service]
	changed.FloorSlots = 42
	f.putDocument(&changed)
	f.waitRevision(service, 2, f.instances[:3])
	f.eventuallyLeaving(service, f.upstreams[service][7].id, f.instances[:3])
	f.instances[2].pause()
	<-time.After(4 * time.Second) // longer than the peer timeout
	f.instances[2].resume()
	f.waitRevision(service, 2, f.instances[:3])
	stopLoad()
	wg.Wait()

	for _, in := range f.instances[:3] {
		f.checkFloor(in, service, map[uint64]int{1: 36, 2: 42})
	}
}

// lookups returns a generator of idempotent requests to all live instances in
// turn.
func (f *fleet) lookups(service string) func(i int) request {
	live := f.live()
	return func(i int) request {
		return request{address: live[i%len(live)].entry, host: service + ".example", method: "GET", path: "/lookup", callerID: fmt.Sprintf("till-%d", i%11)}
	}
}

// eventuallyEjected waits until every instance has ejected some upstream.
func (f *fleet) eventuallyEjected(service string, instances []*instance) {
	f.t.Helper()
	for _, in := range instances {
		eventually(f.t, "ejection at "+in.name, waitTimeout, func() (bool, string) {
			for _, c := range f.changes(in, service) {
				if c.To == health.Ejected {
					return true, ""
				}
			}
			return false, "no ejection yet"
		})
	}
}

// eventuallyLeaving waits until every instance knows that the upstream is leaving.
func (f *fleet) eventuallyLeaving(service, upstream string, instances []*instance) {
	f.t.Helper()
	for _, in := range instances {
		eventually(f.t, "leaving upstream at "+in.name, waitTimeout, func() (bool, string) {
			view, _, err := f.explain(in, service, upstream)
			if err != nil {
				return false, err.Error()
			}
			return view.State == health.Leaving, string(view.State)
		})
	}
}

// changes returns the state changes of a service's upstreams that an instance
// recorded, in order of time.
func (f *fleet) changes(in *instance, service string) []health.Change {
	var all []health.Change
	for _, u := range f.upstreams[service] {
		_, changes, err := f.explain(in, service, u.id)
		if err != nil {
			f.t.Fatalf("explain %s at %s: %v", u.id, in.name, err)
		}
		all = append(all, changes...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	return all
}

// checkFloor recomputes the healthy capacity after every recorded decision of an
// instance and compares it with the floor of the revision in effect. The changes
// of one decision have the same time and are checked together.
func (f *fleet) checkFloor(in *instance, service string, floors map[uint64]int) {
	f.t.Helper()
	slots := make(map[string]int)
	for _, u := range f.upstreams[service] {
		slots[u.id] = u.slots
	}
	states := make(map[string]health.State)
	all := f.changes(in, service)
	for i, c := range all {
		states[c.Upstream.Upstream] = c.To
		if i+1 < len(all) && all[i+1].Time.Equal(c.Time) || len(states) < len(slots) {
			continue
		}
		healthy, possible := 0, 0
		for id, s := range states {
			if s == health.InService {
				healthy += slots[id]
			}
			if s != health.Leaving {
				possible += slots[id]
			}
		}
		if floor := min(floors[c.Revision], possible); healthy < floor {
			f.t.Errorf("%s: %d healthy slots, floor %d after %s %s→%s by %s at %v", in.name, healthy, floor,
				c.Upstream.Upstream, c.From, c.To, c.Rule, c.Time)
		}
	}
	f.t.Logf("%s: %d changes checked", in.name, len(all))
}
