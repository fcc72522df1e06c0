package proofs

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knapweedreel/internal/document"
)

// phase is a period of constant load.
type phase struct {
	name     string
	rate     int // requests/s
	duration time.Duration
}

// phaseResult counts the responses in a phase.
type phaseResult struct {
	sent, served, notRun, unknown atomic.Int64
	servedInPhase                 atomic.Int64 // served before the phase ended
	late                          atomic.Int64 // responses after the deadline
}

// Guards against a sudden surge that reduces goodput, makes callers wait beyond
// their deadline, multiplies work by retries, or leaves the fleet slow after it
// has ended.
func TestSurgeIsShedWithoutLosingGoodput(t *testing.T) {
	const (
		service  = "jars"
		slots    = 12 * 3
		workMS   = 50
		capacity = slots * 1000 / workMS // requests/s
		deadline = 2 * time.Second
	)
	f := newFleet(t, options{instances: 8, services: []serviceSpec{{
		name: service, upstreams: 12, slots: 3, workMS: workMS,
		change: func(d *document.Document) { d.DeadlineMS = int(deadline / time.Millisecond) },
	}}})
	phases := []phase{
		{"normal", capacity / 5, 3 * time.Second},
		{"surge", 10 * capacity / 5, 10 * time.Second},
		{"settling", capacity / 5, 2 * time.Second},
		{"after", capacity / 5, 3 * time.Second},
	}
	results := make(map[string]*phaseResult)
	for _, p := range phases {
		results[p.name] = f.runPhase(t, service, p, deadline)
	}
	runs := countRuns(t, f.upstreams[service])
	total, sent := 0, int64(0)
	for _, n := range runs {
		total += n
	}
	for _, p := range phases {
		r := results[p.name]
		sent += r.sent.Load()
		t.Logf("%s: sent %d, served %d, not-run %d, unknown %d, late %d", p.name, r.sent.Load(), r.served.Load(), r.notRun.Load(), r.unknown.Load(), r.late.Load())
		if r.late.Load() > 0 {
			t.Errorf("%s: %d responses came later than the deadline of %v", p.name, r.late.Load(), deadline)
		}
	}
	surge := results["surge"]
	goodput := float64(surge.servedInPhase.Load()) / phases[1].duration.Seconds()
	t.Logf("goodput in the surge: %.0f/s of %d/s (%.1f%%)", goodput, capacity, 100*goodput/capacity)
	if goodput < 0.95*capacity {
		t.Errorf("goodput %.0f/s is below 95%% of the slots' capacity of %d/s", goodput, capacity)
	}
	if surge.unknown.Load() > 0 {
		t.Errorf("%d requests of the surge got an unknown run state, want all shed as not-run", surge.unknown.Load())
	}
	if after := results["after"]; after.served.Load() != after.sent.Load() {
		t.Errorf("after the surge %d of %d requests were served", after.served.Load(), after.sent.Load())
	}
	if extra := total - len(runs); extra*10 > int(sent) {
		t.Errorf("%d repeated runs for %d requests, want at most 10%%", extra, sent)
	}
}

// runPhase sends lookups at a constant rate, independent of response times.
func (f *fleet) runPhase(t *testing.T, service string, p phase, deadline time.Duration) *phaseResult {
	t.Helper()
	r := new(phaseResult)
	c := newCaller(p.name)
	next := f.lookups(service)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	started := time.Now()
	var wg sync.WaitGroup
	for sent := 0; time.Since(started) < p.duration; <-tick.C {
		for due := int(time.Since(started).Seconds() * float64(p.rate)); sent < due; sent++ {
			lookup := next(sent)
			wg.Go(func() {
				resp := c.do(context.Background(), lookup)
				if resp.served() && time.Since(started) <= p.duration {
					r.servedInPhase.Add(1)
				}
				r.add(resp, deadline)
			})
		}
	}
	wg.Wait()
	return r
}

// add counts a response. A response may arrive after the deadline by the time that
// a busy machine takes to deliver it.
func (r *phaseResult) add(resp response, deadline time.Duration) {
	const delivery = time.Second
	r.sent.Add(1)
	if resp.took > deadline+delivery {
		r.late.Add(1)
	}
	switch {
	case resp.served():
		r.served.Add(1)
	case resp.run == "not-run":
		r.notRun.Add(1)
	default:
		r.unknown.Add(1)
	}
}
