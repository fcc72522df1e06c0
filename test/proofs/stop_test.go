package proofs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"knapweedreel/internal/settings"
)

// Guards against a planned stop that cuts or refuses requests: all instances
// are stopped and replaced one after another under load, with long uploads and
// downloads, while callers keep old address answers.
func TestPlannedStopsCutNothing(t *testing.T) {
	const keep = 2 * time.Second
	f := newFleet(t, options{instances: 3,
		services: []serviceSpec{{name: "photos", upstreams: 6, slots: 6, workMS: 5}},
		settings: func(_ int, s *settings.Settings) { s.Times.KeepMS = int(keep / time.Millisecond) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var mu sync.Mutex
	var bad []string
	served := 0
	note := func(a answer) {
		mu.Lock()
		defer mu.Unlock()
		if a.served() && a.mismatch == "" {
			served++
			return
		}
		bad = append(bad, fmt.Sprintf("%s: status %d %s/%s %v %s", a.id, a.status, a.kind, a.run, a.err, a.mismatch))
	}
	var wg sync.WaitGroup
	for w := range 8 {
		first := f.instances[w%len(f.instances)].entry
		wg.Go(func() { callWithKeptAddresses(ctx, w, first, keep, note) })
	}
	for i := range f.instances {
		old := f.instances[i]
		f.startInstance(i, fmt.Sprintf("next%02d", i))
		f.waitReady(f.instances[i : i+1])
		f.waitRevision("photos", 1, f.instances[i:i+1])
		old.stop()
		if err := old.wait(eventLimit); err != nil {
			t.Errorf("%s: %v\n%s", old.name, err, old.tail(20))
		}
	}
	cancel()
	wg.Wait()
	if len(bad) > 0 {
		t.Errorf("%d of %d requests were cut or refused, first: %v", len(bad), len(bad)+served, bad[:min(5, len(bad))])
	}
	if served == 0 {
		t.Error("no request was served")
	}
	t.Logf("%d requests served during three planned stops", served)
}

// callWithKeptAddresses calls as callers do: it asks an instance for addresses,
// keeps the answer for the whole allowed time and uses it to the end.
func callWithKeptAddresses(ctx context.Context, worker int, known string, keep time.Duration, note func(answer)) {
	c := newCaller(fmt.Sprintf("stop%d", worker))
	for n := 0; ctx.Err() == nil; {
		addresses, err := locate(known, "photos", regions[worker%len(regions)])
		if err != nil || len(addresses) == 0 {
			note(answer{id: "locate", err: fmt.Errorf("no address from %s: %w", known, err)})
			return
		}
		until := time.Now().Add(keep)
		for ; time.Now().Before(until) && ctx.Err() == nil; n++ {
			r := request{address: addresses[n%len(addresses)], host: "photos.example", account: fmt.Sprintf("w%d", worker)}
			switch n % 8 {
			case 0:
				r.method, r.path, r.body = "POST", "/upload", make([]byte, 4<<20)
			case 1:
				r.method, r.path = "GET", "/bytes/4000000"
			default:
				r.method, r.path = "GET", "/lookup"
			}
			// The request in flight is not cancelled when the test ends.
			note(c.do(context.WithoutCancel(ctx), r))
		}
		known = addresses[0]
	}
}
