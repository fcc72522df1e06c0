package proofs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"knapweedreel/internal/settings"
)

// Guards against a graceful shutdown that interrupts or refuses requests. All
// instances are shut down and replaced one after another under load, with long
// uploads and downloads, while callers use cached addresses.
func TestGracefulShutdownsInterruptNoRequests(t *testing.T) {
	const cacheTime = 2 * time.Second
	f := newFleet(t, options{instances: 3,
		services: []serviceSpec{{name: "photos", upstreams: 6, slots: 6, workMS: 5}},
		settings: func(_ int, s *settings.Settings) { s.Times.KeepMS = int(cacheTime / time.Millisecond) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	var failed []string
	served := 0
	record := func(resp response) {
		mu.Lock()
		defer mu.Unlock()
		if resp.served() && resp.mismatch == "" {
			served++
			return
		}
		failed = append(failed, fmt.Sprintf("%s: status %d %s/%s %v %s", resp.id, resp.status, resp.kind, resp.run, resp.err, resp.mismatch))
	}
	var wg sync.WaitGroup
	for w := range 8 {
		first := f.instances[w%len(f.instances)].entry
		wg.Go(func() { callWithCachedAddresses(ctx, w, first, cacheTime, record) })
	}
	for i := range f.instances {
		old := f.instances[i]
		f.startInstance(i, fmt.Sprintf("next%02d", i))
		f.waitReady(f.instances[i : i+1])
		f.waitRevision("photos", 1, f.instances[i:i+1])
		old.stop()
		if err := old.wait(waitTimeout); err != nil {
			t.Errorf("%s: %v\n%s", old.name, err, old.tail(20))
		}
	}
	cancel()
	wg.Wait()
	if len(failed) > 0 {
		t.Errorf("%d of %d requests were interrupted or refused, first: %v", len(failed), len(failed)+served, failed[:min(5, len(failed))])
	}
	if served == 0 {
		t.Error("no request was served")
	}
	t.Logf("%d requests served during three graceful shutdowns", served)
}

// callWithCachedAddresses sends requests as callers do. It asks the instance at
// entry for addresses, uses them for the full cache time, and asks again.
func callWithCachedAddresses(ctx context.Context, worker int, entry string, cacheTime time.Duration, record func(response)) {
	c := newCaller(fmt.Sprintf("stop%d", worker))
	for n := 0; ctx.Err() == nil; {
		addresses, err := locate(entry, "photos", regions[worker%len(regions)])
		if err != nil || len(addresses) == 0 {
			record(response{id: "locate", err: fmt.Errorf("no address from %s: %w", entry, err)})
			return
		}
		until := time.Now().Add(cacheTime)
		for ; time.Now().Before(until) && ctx.Err() == nil; n++ {
			r := request{address: addresses[n%len(addresses)], host: "photos.example", callerID: fmt.Sprintf("w%d", worker)}
			switch n % 8 {
			case 0:
				r.method, r.path, r.body = "POST", "/upload", make([]byte, 4<<20)
			case 1:
				r.method, r.path = "GET", "/bytes/4000000"
			default:
				r.method, r.path = "GET", "/lookup"
			}
			// A request in flight is not canceled when the test ends.
			record(c.do(context.WithoutCancel(ctx), r))
		}
		entry = addresses[0]
	}
}
