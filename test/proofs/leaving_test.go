package proofs

import (
	"context"
	"sync"
	"testing"
	"time"
)

// leavingLimit is the time after which a leaving upstream gets no new work.
const leavingLimit = 3 * time.Second

// Guards against new work for a leaving upstream, whichever way the leaving is
// learned; its health answers go on saying that all is well.
func TestLeavingUpstreamsGetNoNewWork(t *testing.T) {
	const service = "entries"
	f := newFleet(t, options{instances: 3, services: []serviceSpec{{name: service, upstreams: 6, slots: 6, workMS: 5}}})
	ctx, cancel := context.WithTimeout(t.Context(), loadLimit)
	defer cancel()
	loading, stopLoad := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { newCaller("leaving").load(loading, 1<<20, 24, f.lookups(service)) })
	defer wg.Wait()
	defer stopLoad()

	ways := []struct {
		name  string
		leave func(u *standinUpstream)
	}{
		{"refusal", func(u *standinUpstream) { u.set(t, upstreamFaults{Draining: true}) }},
		{"list", func(u *standinUpstream) { f.listLeaving(service, u) }},
		{"document", func(u *standinUpstream) { f.documentLeaving(service, u) }},
	}
	for i, way := range ways {
		u := f.upstreams[service][i]
		before := u.accepted(t)
		eventually(t, "work before leaving by "+way.name, eventLimit, func() (bool, string) {
			return u.accepted(t) > before, "no request accepted"
		})
		way.leave(u)
		// The interval is part of the claim: work is counted only after it.
		<-time.After(leavingLimit)
		settled := u.accepted(t)
		<-time.After(time.Second)
		if now := u.accepted(t); now != settled {
			t.Errorf("%s: %d requests accepted later than %v after leaving", way.name, now-settled, leavingLimit)
		}
	}
}
