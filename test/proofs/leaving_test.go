package proofs

import (
	"context"
	"sync"
	"testing"
	"time"
)

// leavingLimit is the time after which a leaving upstream must get no new work.
const leavingLimit = 3 * time.Second

// Guards against new work for a leaving upstream, whether instances learn of it
// from a refusal, the instance list or the document. The health endpoint of the
// upstream keeps reporting healthy.
func TestLeavingUpstreamsGetNoNewWork(t *testing.T) {
	const service = "entries"
	f := newFleet(t, options{instances: 3, services: []serviceSpec{{name: service, upstreams: 6, slots: 6, workMS: 5}}})
	ctx, cancel := context.WithTimeout(t.Context(), loadLimit)
	defer cancel()
	loadCtx, stopLoad := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { newCaller("leaving").load(loadCtx, 1<<20, 24, f.lookups(service)) })
	defer wg.Wait()
	defer stopLoad()

	sources := []struct {
		name  string
		leave func(u *standinUpstream)
	}{
		{"refusal", func(u *standinUpstream) { u.setFaults(t, upstreamFaults{Draining: true}) }},
		{"list", func(u *standinUpstream) { f.listLeaving(service, u) }},
		{"document", func(u *standinUpstream) { f.documentLeaving(service, u) }},
	}
	for i, source := range sources {
		u := f.upstreams[service][i]
		before := u.startedRuns(t)
		eventually(t, "work before leaving by "+source.name, waitTimeout, func() (bool, string) {
			return u.startedRuns(t) > before, "no request started"
		})
		source.leave(u)
		// New work is allowed within leavingLimit, so it is counted only afterwards.
		<-time.After(leavingLimit)
		settled := u.startedRuns(t)
		<-time.After(time.Second)
		if now := u.startedRuns(t); now != settled {
			t.Errorf("%s: %d requests started later than %v after leaving", source.name, now-settled, leavingLimit)
		}
	}
}
