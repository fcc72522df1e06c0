package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// injectChanges injects random faults and changes whose effects appear only
// together with others: late second copies of refusals, reads of different ages,
// and routes that move to a new service while requests wait. It has its own random
// source, so that the faults of injectFaults for a seed stay the same.
func (f *fleet) injectChanges(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		duration := time.Duration(500+rng.IntN(1500)) * time.Millisecond
		switch rng.IntN(3) {
		case 0:
			active := f.active()
			u := active[rng.IntN(len(active))]
			wg.Go(func() {
				f.logEvent("%s writes refusals twice for %v", u.ID, duration)
				u.SetRefusalCopies(true)
				wait(ctx, duration)
				u.SetRefusalCopies(false)
			})
		case 1:
			firstPage := rng.IntN(2) == 0
			wg.Go(func() {
				f.logEvent("the first page of stale reads lags: %t, other pages: %t, for %v", firstPage, !firstPage, duration)
				f.store.FreezeReplica(func(after string) bool { return (after == "") == firstPage })
				wait(ctx, duration)
				f.store.FreezeReplica(func(string) bool { return false })
			})
		case 2:
			f.moveRoute("/write/", fmt.Sprint("orders-", n))
		}
		wait(ctx, time.Duration(rng.ExpFloat64()*float64(time.Second)))
	}
}

// moveRoute moves a route to a new service with upstreams of its own. The
// configuration no longer holds the previous service, whose upstreams leave.
func (f *fleet) moveRoute(prefix, service string) {
	f.mu.Lock()
	previous := f.routes[prefix]
	f.mu.Unlock()
	f.logEvent("route %s moves from %s to %s", prefix, previous, service)
	for range upstreamCount {
		f.addUpstream(service)
	}
	f.mu.Lock()
	f.routes[prefix] = service
	f.mu.Unlock()
	f.putConfiguration(1)
	for _, u := range f.active() {
		if u.Service == previous {
			f.mu.Lock()
			u.leaving = true
			f.mu.Unlock()
			u.Drain()
		}
	}
}
