package proofs

import (
	"context"
	"sync"
	"testing"
	"time"

	"knapweedreel/internal/document"
	"knapweedreel/internal/health"
)

// BenchmarkDetection measures with real processes how long a faulty upstream
// keeps receiving work, and how many healthy upstreams are ejected. The health
// endpoint of a faulty upstream keeps reporting healthy.
func BenchmarkDetection(b *testing.B) {
	for _, fault := range []struct {
		name        string
		sensitivity float64
		rate        int   // requests/s; the slots allow 1,800
		faulty      []int // indexes of upstreams; 0, 3, 6 and 9 are those in region south
		faults      upstreamFaults
		limit       time.Duration
	}{
		{"all-work-fails", 0.8, 360, []int{5}, upstreamFaults{FailFraction: 1, Status: 500}, 10 * time.Second},
		{"20%-fails", 0.8, 360, []int{5}, upstreamFaults{FailFraction: 0.2, Status: 500}, 30 * time.Second},
		{"20-times-slower", 0.8, 360, []int{5}, upstreamFaults{SlowFactor: 20}, 30 * time.Second},
		{"hangs", 0.8, 360, []int{5}, upstreamFaults{Hang: true}, 30 * time.Second},
		{"all-work-fails-quiet", 0.8, 36, []int{5}, upstreamFaults{FailFraction: 1, Status: 500}, 20 * time.Second},
		{"all-work-fails-careful-quiet", 0.2, 36, []int{5}, upstreamFaults{FailFraction: 1, Status: 500}, 30 * time.Second},
		{"region-fails", 0.8, 360, []int{0, 3, 6, 9}, upstreamFaults{FailFraction: 1, Status: 500}, 20 * time.Second},
		{"half-fails", 0.8, 360, []int{0, 3, 6, 9, 1, 2}, upstreamFaults{FailFraction: 1, Status: 500}, 20 * time.Second},
		{"all-work-fails-careful", 0.2, 360, []int{5}, upstreamFaults{FailFraction: 1, Status: 500}, 20 * time.Second},
	} {
		b.Run(fault.name, func(b *testing.B) {
			f := newFleet(b, options{instances: 12, services: []serviceSpec{{
				name: "jars", upstreams: 12, slots: 3, workMS: 20, change: func(d *document.Document) {
					d.Unhealthy.Sensitivity = &fault.sensitivity
					d.Unhealthy.ColdStartMS = new(1)
					d.DeadlineMS = 3_000
				},
			}}})
			loadCtx, stopLoad := context.WithCancel(b.Context())
			var load sync.WaitGroup
			load.Go(func() { f.steadyLookups(loadCtx, "jars", fault.rate) })
			<-time.After(3 * time.Second) // for instances to learn the usual response times of the routes
			for b.Loop() {
				f.measureDetection(b, fault.faulty, fault.faults, fault.limit)
			}
			stopLoad()
			load.Wait()
		})
	}
}

// steadyLookups sends lookups at a constant rate until ctx ends.
func (f *fleet) steadyLookups(ctx context.Context, service string, rate int) {
	c := newCaller("steady")
	next := f.lookups(service)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	started := time.Now()
	var wg sync.WaitGroup
	for sent := 0; ctx.Err() == nil; <-tick.C {
		for due := int(time.Since(started).Seconds() * float64(rate)); sent < due; sent++ {
			lookup := next(sent)
			wg.Go(func() { c.do(context.WithoutCancel(ctx), lookup) })
		}
	}
	wg.Wait()
}

// measureDetection makes upstreams faulty and reports the time until some
// instance has ejected one of them, and until all instances have ejected all. The
// times are those that the instances recorded.
func (f *fleet) measureDetection(b *testing.B, faulty []int, faults upstreamFaults, limit time.Duration) {
	began := time.Now()
	isFaulty := make(map[string]bool)
	for _, i := range faulty {
		u := f.upstreams["jars"][i]
		isFaulty[u.id] = true
		u.setFaults(b, faults)
	}
	var first, last time.Duration
	missed, wrong := 0, 0
	for _, in := range f.instances {
		for id := range isFaulty {
			at, ok := f.ejectedAt(in, "jars", id, began, limit)
			if !ok {
				missed++
				continue
			}
			if first == 0 || at < first {
				first = at
			}
			last = max(last, at)
		}
		for _, c := range f.changes(in, "jars") {
			if c.To == health.Ejected && !isFaulty[c.Upstream.Upstream] {
				wrong++
			}
		}
	}
	b.ReportMetric(first.Seconds(), "first-s")
	b.ReportMetric(last.Seconds(), "last-s")
	b.ReportMetric(float64(missed), "missed")
	b.ReportMetric(float64(wrong), "false-ejections")
	b.ReportMetric(0, "ns/op")
}

// ejectedAt waits until the instance has ejected the upstream and returns how long
// after since it did so.
func (f *fleet) ejectedAt(in *instance, service, upstream string, since time.Time, limit time.Duration) (time.Duration, bool) {
	for time.Since(since) < limit {
		_, changes, err := f.explain(in, service, upstream)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, c := range changes {
			if c.To == health.Ejected && c.Time.After(since) {
				return c.Time.Sub(since), true
			}
		}
	}
	f.t.Logf("%s has not ejected %s within %v", in.name, upstream, limit)
	return 0, false
}
